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

// storedJournal is what the client knows of a partition's rows.
type storedJournal struct {
	version requestjournal.Version // of the head row
	head    headWire
	left    []uint64 // batches before head.First that still have a row
}

// journals remembers the rows of partitions between effects, so that an append
// needs no read. A stale memory costs a read and is otherwise harmless, because
// each append is conditional on the head.
type journals struct {
	mu          sync.Mutex
	byPartition map[model.Partition]storedJournal
}

func (j *journals) get(p model.Partition) (storedJournal, bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	s, ok := j.byPartition[p]
	return s, ok
}

func (j *journals) set(p model.Partition, s storedJournal) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.byPartition[p] = s
}

func (j *journals) drop(p model.Partition) {
	j.mu.Lock()
	defer j.mu.Unlock()
	delete(j.byPartition, p)
}

func journalPrefix(p model.Partition) string { return fmt.Sprintf("journal/%d/", p) }

func headKey(p model.Partition) string { return journalPrefix(p) + "head" }

// batchKey pads the number to the 20 digits of the largest, so that the order
// of keys is the order of batches.
func batchKey(p model.Partition, number uint64) string {
	return journalPrefix(p) + fmt.Sprintf("%020d", number)
}

// readRow returns a row, with version 0 when it does not exist.
func (c *Client) readRow(ctx context.Context, key string) (*platformv1.Row, error) {
	request := &platformv1.ReadRequest{Key: key}
	response, err := invoke(ctx, c, readCall, readPatience, c.table.Read, request)
	if err != nil {
		return nil, errors.Wrapf(err, "read row %q", key)
	}
	if response.Row == nil {
		return &platformv1.Row{Key: key}, nil
	}
	return response.Row, nil
}

// listRows calls f for each row whose key has a prefix, in key order.
func (c *Client) listRows(ctx context.Context, prefix string, f func(*platformv1.Row) error) error {
	request := &platformv1.ListRequest{Prefix: prefix}
	for {
		response, err := invoke(ctx, c, readCall, readPatience, c.table.List, request)
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

// readHead reads the head of a partition.
func (c *Client) readHead(ctx context.Context, p model.Partition) (storedJournal, error) {
	row, err := c.readRow(ctx, headKey(p))
	if err != nil {
		return storedJournal{}, err
	}
	s := storedJournal{version: requestjournal.Version(row.Version)}
	if row.Version == 0 {
		return s, nil
	}
	return s, decode(row.Key, row.Value, &s.head)
}

// currentHead returns the rows of a partition at a version, from memory or from
// the table. Its version differs when the partition has another version.
func (c *Client) currentHead(ctx context.Context, p model.Partition, version requestjournal.Version) (storedJournal, error) {
	if s, ok := c.journals.get(p); ok && s.version == version {
		return s, nil
	}
	return c.readHead(ctx, p)
}

// readBatches reads the batch rows of a partition by number.
func (c *Client) readBatches(ctx context.Context, p model.Partition) (map[uint64]batchWire, error) {
	batches := make(map[uint64]batchWire)
	prefix := journalPrefix(p)
	err := c.listRows(ctx, prefix, func(row *platformv1.Row) error {
		number, err := strconv.ParseUint(strings.TrimPrefix(row.Key, prefix), 10, 64)
		if err != nil {
			return nil // the head
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
