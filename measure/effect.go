package measure

import (
	"time"

	"fuchsiacross/event"
	"fuchsiacross/model"
)

// executeEffect simulates the adapters of an instance. The resulting events are
// scheduled, never applied at once.
func (c *Simulation) executeEffect(x *instance, e event.Effect) {
	switch e := e.(type) {
	case event.Reply:
		c.Counts.Replies[e.Outcome.Status]++
	case event.Reject:
		c.Counts.Rejects++
	case event.SendPeer:
		c.sendPeerMessage(x, e)
	case event.FetchDocument:
		c.fetchDocument(x, e)
	case event.LoadJournal:
		c.loadJournal(x, e)
	case event.CommitJournal:
		c.commitJournal(x, e)
	case event.CompactJournal:
		c.compactJournal(x, e)
	default:
		c.executeWorkerEffect(x, e)
	}
}

// sendPeerMessage delivers messages to a peer in order. A lost packet delays all
// messages behind it, as with TCP.
func (c *Simulation) sendPeerMessage(x *instance, e event.SendPeer) {
	if _, ok := e.Message.(event.Heartbeat); ok {
		c.Counts.Heartbeats++
	} else {
		c.Counts.PeerMessages++
	}
	to := c.instancesByID[e.To]
	if to == nil {
		return
	}
	arrives := c.now.Add(c.linkDelay(x, to))
	for timeout := minRetransmissionTimeout; c.random.Float64() < c.options.PacketLossFraction; timeout *= 2 {
		arrives = arrives.Add(timeout)
	}
	if arrives.Before(x.lastArrivals[to.ID]) {
		arrives = x.lastArrivals[to.ID]
	}
	x.lastArrivals[to.ID] = arrives
	c.scheduleEvent(arrives.Sub(c.now), to, event.PeerReceived{From: x.ID, Message: e.Message})
}

func (c *Simulation) linkDelay(x, to *instance) time.Duration {
	if x.DataCentre == to.DataCentre {
		return delayWithinDataCentre
	}
	return time.Duration(c.options.LinkDelayMilliseconds) * time.Millisecond
}

// fetchDocument fetches a document from a peer or from the store. The request
// and the response to a peer can each be lost and retransmitted.
func (c *Simulation) fetchDocument(x *instance, e event.FetchDocument) {
	from := c.instancesByID[e.Peer]
	if from == nil {
		if !x.storeUnreachable && c.committedDocument != nil {
			c.scheduleEvent(c.storeCallDuration(), x, event.DocumentChanged{Document: c.committedDocument})
		}
		return
	}
	roundTrip := 2 * c.linkDelay(x, from)
	for range 2 {
		for timeout := minRetransmissionTimeout; c.random.Float64() < c.options.PacketLossFraction; timeout *= 2 {
			roundTrip += timeout
		}
	}
	c.schedule(roundTrip, func() {
		if !from.dead {
			c.applyEvent(x, event.DocumentChanged{Document: from.reducer.Document()})
		}
	})
}

func (c *Simulation) loadJournal(x *instance, e event.LoadJournal) {
	c.schedule(c.storeCallDuration(), func() {
		if x.storeUnreachable {
			c.applyEvent(x, event.JournalLoadFailed{Partition: e.Partition, Reason: "cut off"})
			return
		}
		s := c.journalPartitions[e.Partition]
		c.applyEvent(x, event.JournalLoaded{Partition: e.Partition, Version: s.version, Records: s.records})
	})
}

func (c *Simulation) commitJournal(x *instance, e event.CommitJournal) {
	c.Counts.Commits++
	c.Counts.Records += uint64(len(e.Records))
	c.writePartition(x, e.CommitID, e.Partition, func(s *journalPartition) event.CommitDone {
		if s.version != e.Version {
			return event.CommitDone{CommitID: e.CommitID, Partition: e.Partition, Result: event.CommitConflict}
		}
		s.version++
		s.records = append(s.records[:len(s.records):len(s.records)], e.Records...)
		return event.CommitDone{CommitID: e.CommitID, Partition: e.Partition, Version: s.version, Result: event.CommitApplied}
	})
}

func (c *Simulation) compactJournal(x *instance, e event.CompactJournal) {
	c.Counts.Commits++
	c.writePartition(x, e.CommitID, e.Partition, func(s *journalPartition) event.CommitDone {
		if s.version != e.Version {
			return event.CommitDone{CommitID: e.CommitID, Partition: e.Partition, Result: event.CommitConflict}
		}
		s.version++
		s.records = e.Records
		return event.CommitDone{CommitID: e.CommitID, Partition: e.Partition, Version: s.version, Result: event.CommitApplied}
	})
}

// writePartition applies change to a partition halfway through a store call.
func (c *Simulation) writePartition(x *instance, commitID event.CallID, p model.Partition, change func(*journalPartition) event.CommitDone) {
	half := c.storeCallDuration() / 2
	c.schedule(half, func() {
		done := event.CommitDone{CommitID: commitID, Partition: p, Result: event.CommitFailed}
		if !x.storeUnreachable {
			done = change(&c.journalPartitions[p])
		}
		c.scheduleEvent(half, x, done)
	})
}

// recordStart counts a task start and keeps the first start time of its request.
func (c *Simulation) recordStart(id model.RequestID, at time.Time) {
	c.Counts.Starts++
	if _, ok := c.startTimes[id]; !ok {
		c.startTimes[id] = at
	}
}
