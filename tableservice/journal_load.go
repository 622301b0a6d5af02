package tableservice

import (
	"context"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"fuchsiacross/event"
	"fuchsiacross/logevent"
	"fuchsiacross/model"
	"fuchsiacross/requestjournal"
)

// loadTries bounds the readings of a journal that another writer compacts
// meanwhile.
const loadTries = 5

// loadJournal carries out LoadJournal.
func (c *Client) loadJournal(e event.LoadJournal) {
	s, records, err := c.readJournal(c.context, e.Partition)
	if err != nil {
		logevent.JournalLoadFailed.Log(c.log, zap.Uint32("partition", uint32(e.Partition)), zap.Error(err))
		c.post(event.JournalLoadFailed{Partition: e.Partition, Reason: err.Error()})
		return
	}
	c.journals.set(e.Partition, s)
	c.post(event.JournalLoaded{Partition: e.Partition, Version: s.version, Records: records})
}

// readJournal reads a whole journal. Pages are read one after the other, so the
// head is read again at the end: appends in between only add rows, and after a
// compaction in between the reading starts again.
func (c *Client) readJournal(ctx context.Context, p model.Partition) (storedJournal, []requestjournal.Record, error) {
	for range loadTries {
		before, err := c.readHead(ctx, p)
		if err != nil || before.version == 0 {
			return before, nil, err
		}
		batches, err := c.readBatches(ctx, p)
		if err != nil {
			return before, nil, err
		}
		after, err := c.readHead(ctx, p)
		if err != nil {
			return before, nil, err
		}
		for _, head := range []storedJournal{after, before} {
			if !complete(head, batches) {
				continue
			}
			for number := range batches {
				if number < head.head.First {
					head.left = append(head.left, number)
				}
			}
			records, err := c.decodeBatches(ctx, head, batches)
			return head, records, err
		}
	}
	return storedJournal{}, nil, errors.Errorf("journal %d changed during each of %d readings", p, loadTries)
}

// complete reports whether every batch of a head was read.
func complete(s storedJournal, batches map[uint64]batchWire) bool {
	for number := s.head.First; number < s.head.Next; number++ {
		if _, ok := batches[number]; !ok {
			return false
		}
	}
	return true
}

// decodeBatches returns the records of a head's batches in order. Stored answers
// of requests that a later record forgets are not fetched.
func (c *Client) decodeBatches(ctx context.Context, s storedJournal, batches map[uint64]batchWire) ([]requestjournal.Record, error) {
	forgotten := make(map[string]bool)
	for number := s.head.First; number < s.head.Next; number++ {
		for _, w := range batches[number].Records {
			if requestjournal.RecordKind(w.Kind) == requestjournal.RecordTombstone {
				forgotten[w.ID] = true
			}
		}
	}
	answers := &unpacker{client: c, objects: make(map[model.Digest][]byte)}
	var records []requestjournal.Record
	for number := s.head.First; number < s.head.Next; number++ {
		for _, w := range batches[number].Records {
			codec := &recordCodec{fetch: func(l location) ([]byte, error) {
				if forgotten[w.ID] {
					return nil, nil
				}
				return answers.fetch(ctx, l)
			}}
			r, err := codec.record(&w)
			if err != nil {
				return nil, errors.Wrapf(err, "request %q", w.ID)
			}
			records = append(records, r)
		}
	}
	return records, nil
}
