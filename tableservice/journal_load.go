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

// maxJournalReads limits the reads of a journal that another writer compacts during
// each read.
const maxJournalReads = 5

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

// readJournal reads a whole journal, page by page, and its head before and after the
// pages. The batches are consistent if they are complete for either head: an append
// during the read only adds rows. After a compaction during the read, it starts
// again.
func (c *Client) readJournal(ctx context.Context, p model.Partition) (storedJournal, []requestjournal.Record, error) {
	for range maxJournalReads {
		before, err := c.readJournalHead(ctx, p)
		if err != nil || before.version == 0 {
			return before, nil, err
		}
		batches, err := c.readBatches(ctx, p)
		if err != nil {
			return before, nil, err
		}
		after, err := c.readJournalHead(ctx, p)
		if err != nil {
			return before, nil, err
		}
		for _, head := range []storedJournal{after, before} {
			if !hasAllBatches(head, batches) {
				continue
			}
			for number := range batches {
				if number < head.head.First {
					head.staleBatches = append(head.staleBatches, number)
				}
			}
			records, err := c.decodeBatches(ctx, head, batches)
			return head, records, err
		}
	}
	return storedJournal{}, nil, errors.Errorf("journal %d changed during each of %d reads", p, maxJournalReads)
}

// hasAllBatches reports whether every batch of a head was read.
func hasAllBatches(s storedJournal, batches map[uint64]batchWire) bool {
	for number := s.head.First; number < s.head.Next; number++ {
		if _, ok := batches[number]; !ok {
			return false
		}
	}
	return true
}

// decodeBatches returns the records of a head's batches in order. Bodies and answers
// in the object store are not fetched for requests that have a tombstone.
func (c *Client) decodeBatches(ctx context.Context, s storedJournal, batches map[uint64]batchWire) ([]requestjournal.Record, error) {
	tombstoned := make(map[string]bool)
	for number := s.head.First; number < s.head.Next; number++ {
		for _, w := range batches[number].Records {
			if requestjournal.RecordKind(w.Kind) == requestjournal.RecordTombstone {
				tombstoned[w.ID] = true
			}
		}
	}
	reader := &objectReader{client: c, cache: make(map[model.Digest][]byte)}
	var records []requestjournal.Record
	for number := s.head.First; number < s.head.Next; number++ {
		for _, w := range batches[number].Records {
			codec := &recordCodec{fetch: func(l location) ([]byte, error) {
				if tombstoned[w.ID] {
					return nil, nil
				}
				return reader.fetch(ctx, l)
			}}
			r, err := codec.fromWire(&w)
			if err != nil {
				return nil, errors.Wrapf(err, "request %q", w.ID)
			}
			records = append(records, r)
		}
	}
	return records, nil
}
