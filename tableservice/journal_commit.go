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

// deleteLimit bounds the rows that one transaction deletes. Batches beyond it
// are deleted by later transactions; the head says that they no longer count.
const deleteLimit = 1000

// commitJournal carries out CommitJournal.
func (c *Client) commitJournal(e event.CommitJournal) {
	c.write(e.CommitID, e.Partition, e.Version, e.Records, func(s storedJournal) storedJournal { return s })
}

// compactJournal carries out CompactJournal.
func (c *Client) compactJournal(e event.CompactJournal) {
	c.write(e.CommitID, e.Partition, e.Version, e.Records, func(s storedJournal) storedJournal {
		for number := s.head.First; number < s.head.Next; number++ {
			s.left = append(s.left, number)
		}
		s.head.First = s.head.Next
		return s
	})
}

// write appends records to a partition's journal after start has changed what
// the head says of the batches before, and posts the certain result.
func (c *Client) write(
	commit event.CallID, p model.Partition, version requestjournal.Version, records []requestjournal.Record, start func(storedJournal) storedJournal,
) {
	began := time.Now()
	s, r, err := c.appendRows(c.context, p, version, records, start)
	if err != nil {
		return // Close gave up; the result is not certain.
	}
	c.meter.commitTime.Update(microseconds(began))
	done := event.CommitDone{CommitID: commit, Partition: p, Result: r.CommitResult}
	switch r.CommitResult {
	case event.CommitApplied:
		c.journals.set(p, s)
		done.Version = s.version
	case event.CommitConflict:
		c.journals.drop(p)
	case event.CommitFailed:
		logevent.CommitFailed.Log(c.log, zap.Uint32("partition", uint32(p)), zap.Error(r.err))
	}
	c.post(done)
}

// appendRows returns what the client knows of the partition when the result is
// CommitApplied.
func (c *Client) appendRows(
	ctx context.Context, p model.Partition, version requestjournal.Version, records []requestjournal.Record,
	start func(storedJournal) storedJournal,
) (storedJournal, result, error) {
	failed := func(err error) (storedJournal, result, error) {
		return storedJournal{}, result{CommitResult: event.CommitFailed, err: err}, ctx.Err()
	}
	s, err := c.currentHead(ctx, p, version)
	if err != nil {
		return failed(err)
	}
	if s.version != version {
		return s, result{CommitResult: event.CommitConflict}, nil
	}
	values, err := c.encodeBatches(ctx, records)
	if err != nil {
		return failed(err)
	}
	s = start(s)
	var writes []*platformv1.Write
	for _, value := range values {
		writes = append(writes, put(batchKey(p, s.head.Next), 0, value))
		s.head.Next++
	}
	head, err := encode(s.head)
	if err != nil {
		return failed(err)
	}
	writes = append([]*platformv1.Write{put(headKey(p), uint64(version), head)}, writes...)
	n := min(len(s.left), deleteLimit)
	for _, number := range s.left[:n] {
		writes = append(writes, &platformv1.Write{Key: batchKey(p, number), Delete: true, Unconditional: true})
	}
	r, err := c.transact(ctx, writes)
	s.left = s.left[n:]
	s.version++
	return s, r, err
}

// encodeBatches returns the values of the rows that hold records, each as full
// as the limit of a row allows.
func (c *Client) encodeBatches(ctx context.Context, records []requestjournal.Record) ([][]byte, error) {
	stored, err := c.storeLong(ctx, records)
	if err != nil {
		return nil, err
	}
	codec := &recordCodec{find: func(d model.Digest) location { return stored[d] }}
	var (
		values [][]byte
		batch  batchWire
		size   = batchOverhead
	)
	flush := func() error {
		value, err := encode(batch)
		values = append(values, value)
		batch, size = batchWire{}, batchOverhead
		return err
	}
	for i := range records {
		w := codec.wire(&records[i])
		data, err := encode(w)
		if err != nil {
			return nil, errors.Wrapf(err, "request %q", records[i].ID)
		}
		if len(data)+batchOverhead > rowLimit {
			return nil, errors.Errorf("request %q: a record of %d bytes is above the limit of a row of %d bytes",
				records[i].ID, len(data), rowLimit)
		}
		if size+len(data) > rowLimit {
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

// batchOverhead is the size of a batch row without its records, rounded up.
const batchOverhead = 64
