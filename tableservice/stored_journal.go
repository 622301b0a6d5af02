package tableservice

import (
	"context"
	"fmt"
	"strconv"
	"strings"
	"sync"

	"github.com/go-faster/errors"

	"fuchsiacross/model"
	"fuchsiacross/platformv1"
	"fuchsiacross/requestjournal"
)

// storedJournal is the state of a partition's rows as far as the client knows it.
type storedJournal struct {
	version      requestjournal.Version // of the head row
	head         journalHeadWire
	staleBatches []uint64 // batches before head.First whose rows are not deleted yet
}

// journalCache holds the state of partitions between effects, so that an append needs
// no read. A stale entry costs a read and is otherwise harmless, because each append
// is conditional on the version of the head.
type journalCache struct {
	mu          sync.Mutex
	byPartition map[model.Partition]storedJournal
}

func (j *journalCache) get(p model.Partition) (storedJournal, bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	s, ok := j.byPartition[p]
	return s, ok
}

func (j *journalCache) set(p model.Partition, s storedJournal) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.byPartition[p] = s
}

func (j *journalCache) remove(p model.Partition) {
	j.mu.Lock()
	defer j.mu.Unlock()
	delete(j.byPartition, p)
}

func journalPrefix(p model.Partition) string { return fmt.Sprintf("journal/%d/", p) }

func journalHeadKey(p model.Partition) string { return journalPrefix(p) + "head" }

// batchKey returns the key of a batch row. It pads the number to 20 digits, the
// length of the largest number, so that keys sort in the order of batches.
func batchKey(p model.Partition, number uint64) string {
	return journalPrefix(p) + fmt.Sprintf("%020d", number)
}

// readRow returns a row, with version 0 if it does not exist.
func (c *Client) readRow(ctx context.Context, key string) (*platformv1.Row, error) {
	request := &platformv1.ReadRequest{Key: key}
	response, err := invoke(ctx, c, readCall, readBreakerTimeout, c.table.Read, request)
	if err != nil {
		return nil, errors.Wrapf(err, "read row %q", key)
	}
	if response.Row == nil {
		return &platformv1.Row{Key: key}, nil
	}
	return response.Row, nil
}

// listRows calls f for each row whose key has a prefix, in key order, and stops at the
// first error.
func (c *Client) listRows(ctx context.Context, prefix string, f func(*platformv1.Row) error) error {
	request := &platformv1.ListRequest{Prefix: prefix}
	for {
		response, err := invoke(ctx, c, readCall, readBreakerTimeout, c.table.List, request)
		if err != nil {
			return errors.Wrapf(err, "list rows %q", prefix)
		}
		for _, row := range response.Rows {
			if err := f(row); err != nil {
				return err
			}
			request.After = row.Key
		}
		if !response.More || len(response.Rows) == 0 {
			return nil
		}
	}
}

// readJournalHead reads the head of a partition. Its version is 0 if the partition has
// no journal.
func (c *Client) readJournalHead(ctx context.Context, p model.Partition) (storedJournal, error) {
	row, err := c.readRow(ctx, journalHeadKey(p))
	if err != nil {
		return storedJournal{}, err
	}
	s := storedJournal{version: requestjournal.Version(row.Version)}
	if row.Version == 0 {
		return s, nil
	}
	return s, decode(row.Key, row.Value, &s.head)
}

// lookUpJournalHead returns the cached state of a partition if it has the given
// version. Otherwise it reads the head from the table, whose version may differ.
func (c *Client) lookUpJournalHead(ctx context.Context, p model.Partition, version requestjournal.Version) (storedJournal, error) {
	if s, ok := c.journals.get(p); ok && s.version == version {
		return s, nil
	}
	return c.readJournalHead(ctx, p)
}

// readBatches reads the batch rows of a partition and returns them by number.
func (c *Client) readBatches(ctx context.Context, p model.Partition) (map[uint64]batchWire, error) {
	batches := make(map[uint64]batchWire)
	prefix := journalPrefix(p)
	err := c.listRows(ctx, prefix, func(row *platformv1.Row) error {
		number, err := strconv.ParseUint(strings.TrimPrefix(row.Key, prefix), 10, 64)
		if err != nil {
			return nil // the head row
		}
		var b batchWire
		if err := decode(row.Key, row.Value, &b); err != nil {
			return err
		}
		batches[number] = b
		return nil
	})
	return batches, err
}
