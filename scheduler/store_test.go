package scheduler_test

import (
	"time"

	"fuchsiacross/document"
	"fuchsiacross/event"
	"fuchsiacross/model"
	"fuchsiacross/requestjournal"
)

type journalHead struct {
	version requestjournal.Version
	records []requestjournal.Record
}

// store is a fake table service. It supports conditional appends, outages, and
// appends that are applied but whose answer is lost and resolved later.
type store struct {
	cell          *testCell
	heads         [partitionCount]journalHead
	down          bool
	answersToLose int // number of answers to lose
	document      *document.Document
	commits       int
}

func newStore(c *testCell) *store {
	return &store{cell: c, document: &document.Document{
		Revision: 1,
		Cell:     document.DefaultCellSettings(),
		Teams: []document.TeamSection{{Team: "team", Workloads: []document.Workload{
			{Name: "work", Kind: model.KindBatch, Class: model.ClassStandard, MaxQueued: 1000},
		}}},
	}}
}

// endOutage ends an outage. Appends without an answer are resolved afterwards.
func (s *store) endOutage() {
	s.down = false
	s.answersToLose = 0
}

// answerWhenReadable answers an applied append once the store can be read again.
func (s *store) answerWhenReadable(answer func()) {
	s.cell.schedule(500*time.Millisecond, func() {
		if s.down {
			s.answerWhenReadable(answer)
			return
		}
		answer()
	})
}

func (s *store) isCutFrom(n *node) bool {
	return s.down || s.cell.cutLinks[direction{n.name(), "store"}]
}

func (s *store) load(n *node, p model.Partition) {
	incarnation := n.incarnation
	s.cell.schedule(5*time.Millisecond, func() {
		if s.isCutFrom(n) {
			n.receive(incarnation, event.JournalLoadFailed{Partition: p, Reason: "down"})
			return
		}
		h := s.heads[p]
		n.receive(incarnation, event.JournalLoaded{Partition: p, Version: h.version, Records: h.records[:len(h.records):len(h.records)]})
	})
}

func (s *store) commit(n *node, id event.CallID, p model.Partition, v requestjournal.Version, records []requestjournal.Record, replace bool) {
	incarnation := n.incarnation
	answer := func(r event.CommitResult, version requestjournal.Version) {
		n.receive(incarnation, event.CommitDone{CommitID: id, Partition: p, Version: version, Result: r})
	}
	if s.isCutFrom(n) {
		s.cell.schedule(100*time.Millisecond, func() { answer(event.CommitFailed, 0) })
		return
	}
	s.cell.schedule(5*time.Millisecond, func() {
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
		if s.answersToLose > 0 {
			s.answersToLose--
			s.answerWhenReadable(func() { answer(event.CommitApplied, version) })
			return
		}
		s.cell.schedule(2*time.Millisecond, func() { answer(event.CommitApplied, version) })
	})
}

// journalEntry replays the journal of a request's partition and returns the entry
// of the request.
func (s *store) journalEntry(id model.RequestID) (*requestjournal.Entry, bool) {
	p := requestjournal.PartitionOf(id, partitionCount)
	return requestjournal.Open(p, s.heads[p].version, s.heads[p].records).Entry(id)
}

// commitRevision commits a changed copy of the document as its next revision.
func (s *store) commitRevision(change func(*document.Document)) {
	d := *s.document
	d.Revision++
	change(&d)
	s.document = &d
}

func (s *store) fetchDocument(n *node, incarnation model.Incarnation) {
	s.cell.schedule(5*time.Millisecond, func() {
		if !s.isCutFrom(n) {
			n.receive(incarnation, event.DocumentChanged{Document: s.document})
		}
	})
}
