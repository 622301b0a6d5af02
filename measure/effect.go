package measure

import (
	"time"

	"fuchsiacross/event"
	"fuchsiacross/model"
)

// carryOut does what an instance's adapters would do with an effect. Answers
// are scheduled and never applied at once.
func (c *Cell) carryOut(x *instance, e event.Effect) {
	switch e := e.(type) {
	case event.Reply:
		c.Counts.Replies[e.Outcome.Status]++
	case event.Reject:
		c.Counts.Rejects++
	case event.SendPeer:
		c.send(x, e)
	case event.FetchDocument:
		c.fetch(x, e)
	case event.LoadJournal:
		c.load(x, e)
	case event.CommitJournal:
		c.commit(x, e)
	case event.CompactJournal:
		c.compact(x, e)
	default:
		c.carryOutWorker(x, e)
	}
}

// send delivers a message in the order of its link. A lost packet delays all
// that follow it, as over TCP.
func (c *Cell) send(x *instance, e event.SendPeer) {
	if _, ok := e.Message.(event.Heartbeat); ok {
		c.Counts.Heartbeats++
	} else {
		c.Counts.Messages++
	}
	to := c.byID[e.To]
	if to == nil {
		return
	}
	arrives := c.now.Add(c.delay(x, to))
	for wait := retransmission; c.random.Float64() < c.o.Loss; wait *= 2 {
		arrives = arrives.Add(wait)
	}
	if arrives.Before(x.inOrder[to.ID]) {
		arrives = x.inOrder[to.ID]
	}
	x.inOrder[to.ID] = arrives
	c.deliver(arrives.Sub(c.now), to, event.PeerReceived{From: x.ID, Message: e.Message})
}

func (c *Cell) delay(x, to *instance) time.Duration {
	if x.DataCentre == to.DataCentre {
		return localDelay
	}
	return time.Duration(c.o.LinkMilliseconds) * time.Millisecond
}

// fetch brings a document from a peer or from the store. The question and the
// answer each cross the link and may each be lost and repeated.
func (c *Cell) fetch(x *instance, e event.FetchDocument) {
	from := c.byID[e.Peer]
	if from == nil {
		if !x.cutOff && c.head != nil {
			c.deliver(c.storeDelay(), x, event.DocumentChanged{Document: c.head})
		}
		return
	}
	wait := 2 * c.delay(x, from)
	for range 2 {
		for lost := retransmission; c.random.Float64() < c.o.Loss; lost *= 2 {
			wait += lost
		}
	}
	c.after(wait, func() {
		if !from.dead {
			c.apply(x, event.DocumentChanged{Document: from.reducer.Document()})
		}
	})
}

func (c *Cell) load(x *instance, e event.LoadJournal) {
	c.after(c.storeDelay(), func() {
		if x.cutOff {
			c.apply(x, event.JournalLoadFailed{Partition: e.Partition, Reason: "cut off"})
			return
		}
		s := c.store[e.Partition]
		c.apply(x, event.JournalLoaded{Partition: e.Partition, Version: s.version, Records: s.records})
	})
}

func (c *Cell) commit(x *instance, e event.CommitJournal) {
	c.Counts.Commits++
	c.Counts.Records += uint64(len(e.Records))
	c.write(x, e.CommitID, e.Partition, func(s *stored) event.CommitDone {
		if s.version != e.Version {
			return event.CommitDone{CommitID: e.CommitID, Partition: e.Partition, Result: event.CommitConflict}
		}
		s.version++
		s.records = append(s.records[:len(s.records):len(s.records)], e.Records...)
		return event.CommitDone{CommitID: e.CommitID, Partition: e.Partition, Version: s.version, Result: event.CommitApplied}
	})
}

func (c *Cell) compact(x *instance, e event.CompactJournal) {
	c.Counts.Commits++
	c.write(x, e.CommitID, e.Partition, func(s *stored) event.CommitDone {
		if s.version != e.Version {
			return event.CommitDone{CommitID: e.CommitID, Partition: e.Partition, Result: event.CommitConflict}
		}
		s.version++
		s.records = e.Records
		return event.CommitDone{CommitID: e.CommitID, Partition: e.Partition, Version: s.version, Result: event.CommitApplied}
	})
}

// write changes a partition in the middle of a call.
func (c *Cell) write(x *instance, commit event.CallID, p model.Partition, change func(*stored) event.CommitDone) {
	half := c.storeDelay() / 2
	c.after(half, func() {
		done := event.CommitDone{CommitID: commit, Partition: p, Result: event.CommitFailed}
		if !x.cutOff {
			done = change(&c.store[p])
		}
		c.deliver(half, x, done)
	})
}

func (c *Cell) started(id model.RequestID, at time.Time) {
	c.Counts.Starts++
	if _, ok := c.starts[id]; !ok {
		c.starts[id] = at
	}
}
