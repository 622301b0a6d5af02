package scheduler_test

import (
	"time"

	"fuchsiacross/document"
	"fuchsiacross/event"
	"fuchsiacross/model"
	"fuchsiacross/requestjournal"
)

type head struct {
	version requestjournal.Version
	records []requestjournal.Record
}

// store is the table service with conditional appends, outages, and appends
// that are applied while their answer is lost and resolved later.
type store struct {
	cell      *cell
	heads     [partitions]head
	down      bool
	loseTimes int // answers to lose
	document  *document.Document
	commits   int
}

func newStore(c *cell) *store {
	return &store{cell: c, document: &document.Document{
		Revision: 1,
		Cell:     document.DefaultCell(),
		Teams: []document.TeamSection{{Team: "team", Workloads: []document.Workload{
			{Name: "work", Kind: model.KindBatch, Class: model.ClassStandard, MaxQueued: 1000},
		}}},
	}}
}

// repair ends an outage; what was applied without an answer is then resolved.
func (s *store) repair() {
	s.down = false
	s.loseTimes = 0
}

// resolve answers for an append that was applied, once its token can be read.
func (s *store) resolve(answer func()) {
	s.cell.after(500*time.Millisecond, func() {
		if s.down {
			s.resolve(answer)
			return
		}
		answer()
	})
}

func (s *store) cut(n *node) bool { return s.down || s.cell.cuts[way{n.name(), "store"}] }

func (s *store) load(n *node, p model.Partition) {
	life := n.life
	s.cell.after(5*time.Millisecond, func() {
		if s.cut(n) {
			n.take(life, event.JournalLoadFailed{Partition: p, Reason: "down"})
			return
		}
		h := s.heads[p]
		n.take(life, event.JournalLoaded{Partition: p, Version: h.version, Records: h.records[:len(h.records):len(h.records)]})
	})
}

func (s *store) commit(n *node, id event.CallID, p model.Partition, v requestjournal.Version, records []requestjournal.Record, replace bool) {
	life := n.life
	answer := func(r event.CommitResult, version requestjournal.Version) {
		n.take(life, event.CommitDone{CommitID: id, Partition: p, Version: version, Result: r})
	}
	if s.cut(n) {
		s.cell.after(100*time.Millisecond, func() { answer(event.CommitFailed, 0) })
		return
	}
	s.cell.after(5*time.Millisecond, func() {
		h := &s.heads[p]
		if h.version != v {
			answer(event.CommitConflict, 0)
			return
		}
		h.version++
		if replace {
			h.records = nil
		}
		h.records = append(h.records, records...)
		s.commits++
		version := h.version
		if s.loseTimes > 0 {
			s.loseTimes--
			s.resolve(func() { answer(event.CommitApplied, version) })
			return
		}
		s.cell.after(2*time.Millisecond, func() { answer(event.CommitApplied, version) })
	})
}

// entry replays the journal of a request's partition.
func (s *store) entry(id model.RequestID) (*requestjournal.Entry, bool) {
	p := requestjournal.PartitionOf(id, partitions)
	return requestjournal.Open(p, s.heads[p].version, s.heads[p].records).Entry(id)
}

// edit commits a new document revision.
func (s *store) edit(change func(*document.Document)) {
	d := *s.document
	d.Revision++
	change(&d)
	s.document = &d
}

func (s *store) fetchDocument(n *node, life model.Incarnation) {
	s.cell.after(5*time.Millisecond, func() {
		if !s.cut(n) {
			n.take(life, event.DocumentChanged{Document: s.document})
		}
	})
}
