package requestjournal

import (
	"iter"
	"slices"
	"time"

	"fuchsiacross/model"
)

// node is an element of the linked list of entries.
type node struct {
	Entry
	id             model.RequestID
	previous, next *node
}

// retentionItem refers to an entry whose retention time starts at startAt. It is stale
// if the entry has another settling or tombstone time by now.
type retentionItem struct {
	id      model.RequestID
	startAt time.Time
}

// state is the result of replaying a partition's records. Entries are kept in the
// order of their first record, so that iteration and compaction are deterministic.
type state struct {
	holder            model.InstanceID
	holderIncarnation model.Incarnation
	nodes             map[model.RequestID]*node
	first, last       *node
	settled           []retentionItem // by settling time
	tombstones        []retentionItem // by tombstone time
	recordCount       int             // number of records in the durable journal
}

// apply replays one record. An intent, result or outcome has no effect unless the
// request has an entry that is not a tombstone, so that a late record has the same
// effect whether or not the tombstone still exists.
func (s *state) apply(r Record) {
	s.recordCount++
	switch r.Kind {
	case RecordClaim:
		s.holder, s.holderIncarnation = r.Holder, r.HolderIncarnation
	case RecordAccepted:
		s.applyAccepted(r)
	case RecordIntent:
		if n, ok := s.nodes[r.ID]; ok && !n.IsTombstone {
			n.addIntent(r)
		}
	case RecordTaskResult:
		if n, ok := s.nodes[r.ID]; ok && !n.IsTombstone {
			n.setResult(r.Attempt, r.Result)
		}
	case RecordOutcome:
		if n, ok := s.nodes[r.ID]; ok && !n.IsTombstone && n.setOutcome(r.At, r.Outcome) {
			s.settled = append(s.settled, retentionItem{id: r.ID, startAt: r.At})
		}
	case RecordTombstone:
		n := s.ensureNode(r.ID)
		n.Entry = Entry{IsTombstone: true, TombstoneAt: r.At}
		s.tombstones = append(s.tombstones, retentionItem{id: r.ID, startAt: r.At})
	}
}

// applyAccepted applies the acceptance of a request. It replaces a tombstone, because
// the writer accepted the request only after it had removed the tombstone. A second
// acceptance has no effect.
func (s *state) applyAccepted(r Record) {
	n := s.ensureNode(r.ID)
	if n.IsTombstone {
		n.Entry = Entry{}
	}
	if n.Request == nil {
		n.Request, n.AcceptedAt = r.Request, r.At
	}
}

// ensureNode returns the node of a request, and appends an empty one if there is none.
func (s *state) ensureNode(id model.RequestID) *node {
	if n, ok := s.nodes[id]; ok {
		return n
	}
	n := &node{id: id, previous: s.last}
	if s.last == nil {
		s.first = n
	} else {
		s.last.next = n
	}
	s.last = n
	s.nodes[id] = n
	return n
}

// removeNode removes a node from the list and the map.
func (s *state) removeNode(n *node) {
	if n.previous == nil {
		s.first = n.next
	} else {
		n.previous.next = n.next
	}
	if n.next == nil {
		s.last = n.previous
	} else {
		n.next.previous = n.previous
	}
	delete(s.nodes, n.id)
}

// sortRetentionItems sorts the retention items by time after a replay, because a
// compacted partition holds its entries in the order of acceptance.
func (s *state) sortRetentionItems() {
	byTime := func(a, b retentionItem) int { return a.startAt.Compare(b.startAt) }
	slices.SortStableFunc(s.settled, byTime)
	slices.SortStableFunc(s.tombstones, byTime)
}

// dropTombstones removes the tombstones that were created at or before a time.
func (s *state) dropTombstones(before time.Time) {
	for len(s.tombstones) > 0 && !s.tombstones[0].startAt.After(before) {
		item := s.tombstones[0]
		s.tombstones = s.tombstones[1:]
		if n, ok := s.nodes[item.id]; ok && n.IsTombstone && n.TombstoneAt.Equal(item.startAt) {
			s.removeNode(n)
		}
	}
}

// popSettled returns up to limit requests that were settled at or before a time, and
// removes their retention items. The entries stay.
func (s *state) popSettled(before time.Time, limit int) []model.RequestID {
	var ids []model.RequestID
	for len(s.settled) > 0 && len(ids) < limit && !s.settled[0].startAt.After(before) {
		item := s.settled[0]
		s.settled = s.settled[1:]
		if n, ok := s.nodes[item.id]; ok && !n.IsTombstone && n.Outcome != nil && n.SettledAt.Equal(item.startAt) {
			ids = append(ids, item.id)
		}
	}
	return ids
}

// compactedRecords returns the fewest records that replay to the state.
func (s *state) compactedRecords() []Record {
	records := make([]Record, 0, 1+recordsPerRequest*len(s.nodes))
	if s.holder != "" {
		records = append(records, Record{Kind: RecordClaim, Holder: s.holder, HolderIncarnation: s.holderIncarnation})
	}
	for n := s.first; n != nil; n = n.next {
		records = n.appendRecords(n.id, records)
	}
	return records
}

// entries iterates over the entries in the order of their first record.
func (s *state) entries() iter.Seq2[model.RequestID, *Entry] {
	return func(yield func(model.RequestID, *Entry) bool) {
		for n := s.first; n != nil; n = n.next {
			if !yield(n.id, &n.Entry) {
				return
			}
		}
	}
}
