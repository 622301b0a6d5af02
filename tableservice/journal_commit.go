package tableservice

import (
	"context"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"fuchsiacross/event"
	"fuchsiacross/logevent"
	"fuchsiacross/model"
	"fuchsiacross/platformv1"
	"fuchsiacross/requestjournal"
)

// maxDeletesPerCommit limits the rows that one transaction deletes. The remaining
// stale batches are deleted by later transactions. Until then they are ignored,
// because their numbers are below the head's first batch.
const maxDeletesPerCommit = 1000

// commitJournal carries out CommitJournal, which appends records.
func (c *Client) commitJournal(e event.CommitJournal) {
	c.commitRecords(e.CommitID, e.Partition, e.Version, e.Records, func(s storedJournal) storedJournal { return s })
}

// compactJournal carries out CompactJournal, which replaces all records of a
// journal.
func (c *Client) compactJournal(e event.CompactJournal) {
	c.commitRecords(e.CommitID, e.Partition, e.Version, e.Records, func(s storedJournal) storedJournal {
		for number := s.head.First; number < s.head.Next; number++ {
			s.staleBatches = append(s.staleBatches, number)
		}
		s.head.First = s.head.Next
		return s
	})
}

// commitRecords appends records to a partition's journal and posts the result once
// it is certain. Before the append, prepare may mark earlier batches as stale.
func (c *Client) commitRecords(
	commitID event.CallID, p model.Partition, version requestjournal.Version, records []requestjournal.Record, prepare func(storedJournal) storedJournal,
) {
	start := time.Now()
	s, r, err := c.appendRecords(c.context, p, version, records, prepare)
	if err != nil {
		return // Close cancelled the context before the result was certain.
	}
	c.metrics.commitTime.Update(microsecondsSince(start))
	done := event.CommitDone{CommitID: commitID, Partition: p, Result: r.CommitResult}
	switch r.CommitResult {
	case event.CommitApplied:
		c.journals.set(p, s)
		done.Version = s.version
	case event.CommitConflict:
		c.journals.remove(p)
	case event.CommitFailed:
		logevent.CommitFailed.Log(c.log, zap.Uint32("partition", uint32(p)), zap.Error(r.err))
	}
	c.post(done)
}

// appendRecords appends records to a partition that has the given version. The
// returned storedJournal is valid only if the result is CommitApplied. The error is
// that of ctx if it ends before the result is certain.
func (c *Client) appendRecords(
	ctx context.Context, p model.Partition, version requestjournal.Version, records []requestjournal.Record,
	prepare func(storedJournal) storedJournal,
) (storedJournal, transactionResult, error) {
	failed := func(err error) (storedJournal, transactionResult, error) {
		return storedJournal{}, transactionResult{CommitResult: event.CommitFailed, err: err}, ctx.Err()
	}
	s, err := c.lookUpJournalHead(ctx, p, version)
	if err != nil {
		return failed(err)
	}
	if s.version != version {
		return s, transactionResult{CommitResult: event.CommitConflict}, nil
	}
	values, err := c.encodeBatches(ctx, records)
	if err != nil {
		return failed(err)
	}
	s = prepare(s)
	var writes []*platformv1.Write
	for _, value := range values {
		writes = append(writes, conditionalWrite(batchKey(p, s.head.Next), 0, value))
		s.head.Next++
	}
	head, err := encode(s.head)
	if err != nil {
		return failed(err)
	}
	writes = append([]*platformv1.Write{conditionalWrite(journalHeadKey(p), uint64(version), head)}, writes...)
	n := min(len(s.staleBatches), maxDeletesPerCommit)
	for _, number := range s.staleBatches[:n] {
		writes = append(writes, &platformv1.Write{Key: batchKey(p, number), Delete: true, Unconditional: true})
	}
	r, err := c.commitTransaction(ctx, writes)
	s.staleBatches = s.staleBatches[n:]
	s.version++
	return s, r, err
}

// encodeBatches returns the values of the batch rows for records. It puts as many
// records into each row as its size limit allows.
func (c *Client) encodeBatches(ctx context.Context, records []requestjournal.Record) ([][]byte, error) {
	locations, err := c.storeLongBytes(ctx, records)
	if err != nil {
		return nil, err
	}
	codec := &recordCodec{locate: func(d model.Digest) location { return locations[d] }}
	var (
		values [][]byte
		batch  batchWire
		size   = batchOverheadBytes
	)
	flush := func() error {
		value, err := encode(batch)
		values = append(values, value)
		batch, size = batchWire{}, batchOverheadBytes
		return err
	}
	for i := range records {
		w := codec.toWire(&records[i])
		data, err := encode(w)
		if err != nil {
			return nil, errors.Wrapf(err, "request %q", records[i].ID)
		}
		if len(data)+batchOverheadBytes > maxRowBytes {
			return nil, errors.Errorf("request %q: a record of %d bytes is above the limit of a row of %d bytes",
				records[i].ID, len(data), maxRowBytes)
		}
		if size+len(data) > maxRowBytes {
			if err := flush(); err != nil {
				return nil, err
			}
		}
		batch.Records = append(batch.Records, w)
		size += len(data)
	}
	if len(batch.Records) > 0 {
		if err := flush(); err != nil {
			return nil, err
		}
	}
	return values, nil
}

// batchOverheadBytes is the size of a batch row without its records, rounded up.
const batchOverheadBytes = 64
