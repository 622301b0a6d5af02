package home

import (
	"time"

	"fuchsiacross/event"
	"fuchsiacross/model"
	"fuchsiacross/requestjournal"
)

type partitionState uint8

const (
	partitionAbsent partitionState = iota
	partitionLoading
	partitionClaiming
	partitionHeld
)

const (
	// loadRetry is the wait before a journal that could not be read is read
	// again, doubled by a random share.
	loadRetry = 500 * time.Millisecond
	// loadTimeout bounds the wait for an answer to a load.
	loadTimeout = 10 * time.Second
	// reclaimDelay keeps two instances that disagree about the preferred home
	// from taking a partition from each other at every heartbeat.
	reclaimDelay = 2 * time.Second
	// recoveryLimit is how long a new holder waits for peers to name the
	// attempts that run on their workers.
	recoveryLimit = time.Second
	// verifyInterval is how long a holder goes without a committed append before
	// it claims its partition again. An instance that nobody could reach may have
	// claimed the partition and given it up without the holder hearing of it.
	verifyInterval = 5 * time.Second
	// askInterval is the wait before peers that have not named their attempts are
	// asked again, and askLimit how long that goes on. By then the workers of an
	// instance that was away have been granted to others, which name the attempts.
	askInterval = 2 * time.Second
	askLimit    = time.Minute
	// adoptionLimit is how long tasks that may wait are not started again after a
	// claim whose former holder is dead. Within it the leases of that instance's
	// workers, of 1.5 s, lapse and the next owners name what runs there.
	adoptionLimit = 3 * time.Second
	// upkeepInterval is the time between searches for expired records.
	upkeepInterval = 10 * time.Second
)

// partition is one journal partition as this instance sees it.
type partition struct {
	table       *Table
	id          model.Partition
	state       partitionState
	journal     *requestjournal.Partition
	retryAt     time.Time // of the next load
	parked      []parked
	recovering  map[model.InstanceID]bool // peers that have not named their attempts
	recoverBy   time.Time
	former      model.InstanceID          // holder before the claim
	adoptBy     time.Time                 // until when running tasks of a dead owner may be named
	urgentDone  bool                      // recovered urgent requests are queued
	answered    map[model.InstanceID]bool // peers that have named their attempts
	askAt       time.Time                 // when the others are asked again
	askUntil    time.Time
	upkeepAt    time.Time
	verifyAt    time.Time    // of the next claim
	contestedAt time.Time    // of the latest claim against another holder
	latest      event.CallID // commit that is outstanding, or was last
}

// parked is a submission that waits for its partition to be claimed.
type parked struct {
	waiter Waiter
	spec   *model.Request
}

// maxParked bounds the submissions that wait for one partition.
const maxParked = 10_000

func (p *partition) park(w Waiter, spec *model.Request) {
	if len(p.parked) >= maxParked {
		w.Reject(p.table.o.Emit, event.CodeExhausted, "", "too many requests wait for the journal partition")
		return
	}
	p.parked = append(p.parked, parked{waiter: w, spec: spec})
}

// step moves the partition towards its preferred holder and commits what is
// buffered.
func (p *partition) step(now time.Time) {
	t := p.table
	preferred := t.o.Members.PreferredHolder(p.id) == t.o.Self && !t.draining && t.o.Members.HasConverged(now)
	switch p.state {
	case partitionAbsent, partitionLoading:
		if preferred && !now.Before(p.retryAt) {
			p.state = partitionLoading
			p.retryAt = now.Add(loadTimeout)
			t.o.Emit(event.LoadJournal{Partition: p.id})
		}
		if !preferred && t.o.Members.HasConverged(now) {
			p.moveParked(now)
		}
	case partitionHeld:
		p.stepHeld(now, preferred)
	}
	p.expireParked(now)
	p.commit(now)
}

func (p *partition) stepHeld(now time.Time, preferred bool) {
	if !preferred && p.mayLeave() {
		p.lose(now, "another instance is preferred")
		return
	}
	p.verify(now)
	p.stepRecovery(now)
	p.askOthers(now)
	if !now.Before(p.upkeepAt) {
		p.upkeepAt = now.Add(upkeepInterval)
		p.journal.Expire(now, p.table.retention)
		p.compact(now)
	}
}

// verify claims the partition again when this instance may have lost it without
// hearing of it. The append fails when another instance has claimed since.
func (p *partition) verify(now time.Time) {
	holder, ok := p.table.o.Members.PartitionHolder(p.id)
	contested := ok && holder != p.table.o.Self && now.After(p.contestedAt.Add(reclaimDelay))
	if p.outstanding() || !contested && now.Before(p.verifyAt) {
		return
	}
	if contested {
		p.contestedAt = now
	}
	p.verifyAt = now.Add(verifyInterval)
	if p.journal.Buffered() == 0 {
		p.appendClaim(now)
	}
}

func (p *partition) appendClaim(now time.Time) {
	p.journal.Append(now, requestjournal.Record{Kind: requestjournal.RecordClaim, At: now, Holder: p.table.o.Self, Life: p.table.o.Incarnation})
}

// mayLeave reports whether the partition can be given up without losing a
// record: when everything is committed, and somebody else claims it or this
// instance drains.
func (p *partition) mayLeave() bool {
	if p.outstanding() {
		return false
	}
	if p.table.draining {
		return p.journal.Buffered() == 0
	}
	holder, ok := p.table.o.Members.PartitionHolder(p.id)
	return ok && holder != p.table.o.Self
}

// expireParked refuses submissions that were not accepted by their deadline.
// They are not reported as not run: the journal is not known here, and an
// earlier submission with the same identifier may have been accepted and run.
func (p *partition) expireParked(now time.Time) {
	kept := p.parked[:0]
	for _, x := range p.parked {
		if now.Before(x.spec.Deadline) {
			kept = append(kept, x)
			continue
		}
		x.waiter.Reject(p.table.o.Emit, event.CodeUnavailable, "", "the journal could not be read before the deadline; this submission was not accepted")
	}
	p.parked = kept
}

// expireUnaccepted ends requests whose acceptance was not sent to the store by
// their deadline. They are rejected rather than reported as not run: another
// instance may have claimed the partition and accepted the same request. One
// whose append is outstanding may already be durable and waits for the answer.
func (p *partition) expireUnaccepted(now time.Time) {
	if p.state != partitionHeld || p.journal.Buffered() == 0 {
		return
	}
	var expired []*request
	p.journal.Drop(func(rec requestjournal.Record) bool {
		if rec.Kind != requestjournal.RecordAccepted || now.Before(rec.Request.Deadline) {
			return false
		}
		r, ok := p.table.requests[rec.ID]
		if !ok || r.accepted || r.outcome != nil {
			return false
		}
		expired = append(expired, r)
		return true
	})
	for _, r := range expired {
		delete(p.table.requests, r.spec.ID)
		for _, w := range r.waiters {
			w.Reject(p.table.o.Emit, event.CodeUnavailable, "", "the journal could not be written before the deadline; this submission was not accepted")
		}
	}
}

// commit sends the next batch when one is due.
func (p *partition) commit(now time.Time) {
	if p.outstanding() || (p.state != partitionHeld && p.state != partitionClaiming) {
		return
	}
	batch, ok := p.journal.Next(now, p.table.o.Writes)
	if !ok {
		return
	}
	p.table.Counters.Commits++
	p.table.Counters.Records += uint64(len(batch.Records))
	p.latest = p.table.o.NextCall()
	p.table.o.Emit(event.CommitJournal{CommitID: p.latest, Partition: p.id, Version: batch.Version, Records: batch.Records})
}

// compact replaces a journal that is much longer than what it amounts to.
func (p *partition) compact(now time.Time) {
	if p.outstanding() || !p.table.o.Writes.Take(now) {
		return
	}
	records, ok := p.journal.Compaction()
	if !ok {
		return
	}
	p.latest = p.table.o.NextCall()
	p.table.o.Emit(event.CompactJournal{CommitID: p.latest, Partition: p.id, Version: p.journal.Version(), Records: records})
}

// outstanding reports whether an append or a compaction awaits its answer.
func (p *partition) outstanding() bool { return p.journal != nil && p.journal.Outstanding() }

// Loaded replays a journal and claims it.
func (t *Table) HandleJournalLoaded(now time.Time, e event.JournalLoaded) {
	p := &t.partitions[e.Partition]
	if p.state != partitionLoading {
		return
	}
	p.journal = requestjournal.Open(e.Partition, e.Version, e.Records)
	p.former, _ = p.journal.Holder()
	p.state = partitionClaiming
	p.appendClaim(now)
	p.commit(now)
}

// LoadFailed delays the next load.
func (t *Table) HandleJournalLoadFailed(now time.Time, e event.JournalLoadFailed) {
	p := &t.partitions[e.Partition]
	if p.state == partitionLoading {
		p.state = partitionAbsent
		p.retryAt = now.Add(loadRetry + t.jitter(loadRetry))
	}
}

// Committed takes the answer to a commit.
func (t *Table) HandleCommitDone(now time.Time, e event.CommitDone) {
	p := &t.partitions[e.Partition]
	if !p.outstanding() || e.CommitID != p.latest {
		// The answer belongs to an append from before the partition was lost.
		return
	}
	switch e.Result {
	case event.CommitApplied:
		p.verifyAt = now.Add(verifyInterval)
		for _, rec := range p.journal.Committed(e.Version) {
			t.apply(now, p, rec)
		}
		t.dirty = true
	case event.CommitConflict:
		p.lose(now, "another instance appended")
	case event.CommitFailed:
		p.journal.Failed()
	}
	p.commit(now)
}

// apply carries out what a record allows once it is durable.
func (t *Table) apply(now time.Time, p *partition, rec requestjournal.Record) {
	if rec.Kind == requestjournal.RecordClaim {
		if p.state == partitionClaiming {
			t.claimed(now, p)
		}
		return
	}
	r, ok := t.requests[rec.ID]
	if !ok || r.partition != p {
		return
	}
	switch rec.Kind {
	case requestjournal.RecordAccepted:
		t.accept(now, r)
	case requestjournal.RecordIntent:
		t.intended(now, r, rec.Attempt)
	case requestjournal.RecordOutcome:
		t.published(now, r)
	}
}

// claimed makes this instance the holder and recovers what the journal has.
func (t *Table) claimed(now time.Time, p *partition) {
	p.state = partitionHeld
	p.upkeepAt = now.Add(upkeepInterval)
	t.o.Emit(event.Trace{Kind: event.TracePartitionClaimed, Detail: partitionName(p.id)})
	t.o.Members.BroadcastNextHeartbeat()
	t.recover(now, p)
	waiting := p.parked
	p.parked = nil
	for _, x := range waiting {
		t.Submit(now, x.waiter, x.spec, 0)
	}
}

// lose gives up a partition. What it holds in memory belongs to the next
// holder; waiters follow their requests there.
func (p *partition) lose(now time.Time, reason string) {
	t := p.table
	if p.state == partitionHeld {
		t.o.Emit(event.Trace{Kind: event.TracePartitionLost, Detail: partitionName(p.id) + ": " + reason})
	}
	p.state = partitionAbsent
	p.recovering = nil
	p.retryAt = now.Add(reclaimDelay/2 + t.jitter(reclaimDelay))
	if t.o.Members.PreferredHolder(p.id) != t.o.Self {
		p.retryAt = now
	}
	for _, r := range t.sorted() {
		if r.partition != p {
			continue
		}
		t.abandon(now, r)
		delete(t.requests, r.spec.ID)
		if len(r.waiters) > 0 {
			t.o.Reroute(now, r.spec, r.waiters)
		}
	}
	p.moveParked(now)
	p.journal = nil
}

// moveParked sends the submissions that wait for the partition after its home.
func (p *partition) moveParked(now time.Time) {
	waiting := p.parked
	p.parked = nil
	for _, x := range waiting {
		p.table.o.Reroute(now, x.spec, []Waiter{x.waiter})
	}
}

// abandon frees what a request holds here without deciding anything about it.
func (t *Table) abandon(now time.Time, r *request) {
	for i := range r.tasks {
		x := &r.tasks[i]
		t.o.Queue.Remove(r.spec.ID, x.index)
		if x.state == taskIntending {
			t.o.Leases.ReleaseAttempt(x.attempt(r.spec.ID))
		}
	}
	t.dropGang(now, r)
	t.o.Index.ReleaseHolds(r.spec.ID)
	for _, c := range t.sortedCalls() {
		if c.request == r {
			delete(t.reservations, c.id)
			t.o.Emit(event.SendPeer{To: c.peer, Message: event.ReleaseReservation{Call: c.id}})
		}
	}
}

// Share returns this instance's share of the store's write budget: the share of
// the partitions that it holds or is about to hold. Equal shares for all
// instances would leave the budget of those without a partition unused.
func (t *Table) HeldPartitionFraction() float64 {
	held := 0
	for i := range t.partitions {
		if t.partitions[i].state != partitionAbsent {
			held++
		}
	}
	return float64(held) / float64(len(t.partitions))
}

// Partitions lists the partitions that this instance holds.
func (t *Table) HeldPartitions() []model.Partition {
	var held []model.Partition
	for i := range t.partitions {
		if t.partitions[i].state == partitionHeld {
			held = append(held, t.partitions[i].id)
		}
	}
	return held
}
