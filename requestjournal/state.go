package requestjournal

import (
	"iter"
	"slices"
	"time"

	"fuchsiacross/model"
)

// node is an entry in the list of a state's entries.
type node struct {
	Entry
	id             model.RequestID
	previous, next *node
}

// due is an entry with the time from which a retention time is counted. It is
// stale when the entry's own time differs.
type due struct {
	id   model.RequestID
	from time.Time
}

// state is what replayed records amount to. Entries are kept in the order of
// their first record, so that iteration and compaction are deterministic.
type state struct {
	holder      model.InstanceID
	life        model.Incarnation
	nodes       map[model.RequestID]*node
	first, last *node
	settled     []due // in the order of settling
	tombstones  []due // in the order of forgetting
	records     int   // replayed since the last compaction
}

// apply replays one record. Attempts, results and outcomes count only for a
// request that was accepted and not forgotten: a late one must mean the same
// whether or not its tombstone is still known.
func (s *state) apply(r Record) {
	s.records++
	switch r.Kind {
	case RecordClaim:
		s.holder, s.life = r.Holder, r.HolderIncarnation
	case RecordAccepted:
		s.accept(r)
	case RecordIntent:
		if n, ok := s.nodes[r.ID]; ok && !n.IsTombstone {
			n.addIntent(r)
		}
	case RecordTaskResult:
		if n, ok := s.nodes[r.ID]; ok && !n.IsTombstone {
			n.setResult(r.Attempt, r.Result)
		}
	case RecordOutcome:
		if n, ok := s.nodes[r.ID]; ok && !n.IsTombstone && n.settle(r.At, r.Outcome) {
			s.settled = append(s.settled, due{id: r.ID, from: r.At})
		}
	case RecordTombstone:
		n := s.open(r.ID)
		n.Entry = Entry{IsTombstone: true, ForgottenAt: r.At}
		s.tombstones = append(s.tombstones, due{id: r.ID, from: r.At})
	}
}

// accept records a request. An accepted request replaces a tombstone, because
// the writer had already dropped it; a second acceptance changes nothing.
func (s *state) accept(r Record) {
	n := s.open(r.ID)
	if n.IsTombstone {
		n.Entry = Entry{}
	}
	if n.Request == nil {
		n.Request, n.AcceptedAt = r.Request, r.At
	}
}

// open returns the node of a request and adds an empty one when it has none.
func (s *state) open(id model.RequestID) *node {
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

// remove drops a node.
func (s *state) remove(n *node) {
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

// sortDue restores the order of time after a replay: a compacted journal holds
// its entries in the order of acceptance.
func (s *state) sortDue() {
	byTime := func(a, b due) int { return a.from.Compare(b.from) }
	slices.SortStableFunc(s.settled, byTime)
	slices.SortStableFunc(s.tombstones, byTime)
}

// dropTombstones removes the tombstones made at or before a time.
func (s *state) dropTombstones(before time.Time) {
	for len(s.tombstones) > 0 && !s.tombstones[0].from.After(before) {
		d := s.tombstones[0]
		s.tombstones = s.tombstones[1:]
		if n, ok := s.nodes[d.id]; ok && n.IsTombstone && n.ForgottenAt.Equal(d.from) {
			s.remove(n)
		}
	}
}

// takeSettled removes and returns at most limit requests settled at or before a
// time.
func (s *state) takeSettled(before time.Time, limit int) []model.RequestID {
	var ids []model.RequestID
	for len(s.settled) > 0 && len(ids) < limit && !s.settled[0].from.After(before) {
		d := s.settled[0]
		s.settled = s.settled[1:]
		if n, ok := s.nodes[d.id]; ok && !n.IsTombstone && n.Outcome != nil && n.SettledAt.Equal(d.from) {
			ids = append(ids, d.id)
		}
	}
	return ids
}

// compact returns the fewest records that replay to the state.
func (s *state) compact() []Record {
	records := make([]Record, 0, 1+recordsPerRequest*len(s.nodes))
	if s.holder != "" {
		records = append(records, Record{Kind: RecordClaim, Holder: s.holder, HolderIncarnation: s.life})
	}
	for n := s.first; n != nil; n = n.next {
		records = n.records(n.id, records)
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
