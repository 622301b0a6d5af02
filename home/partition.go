package home

import (
	"time"

	"fuchsiacross/event"
	"fuchsiacross/model"
	"fuchsiacross/requestjournal"
)

// partitionState is the relation of this instance to a journal partition.
type partitionState uint8

const (
	partitionAbsent   partitionState = iota // not held
	partitionLoading                        // the journal is being read
	partitionClaiming                       // the claim is being committed
	partitionHeld                           // this instance is the holder
)

const (
	// loadRetryDelay is the delay before a journal that could not be read is
	// read again. Up to the same time is added as jitter.
	loadRetryDelay = 500 * time.Millisecond
	// loadTimeout is the time after which an unanswered load is repeated.
	loadTimeout = 10 * time.Second
	// reclaimDelay prevents two instances that disagree about the preferred home
	// from claiming a partition from each other at every heartbeat.
	reclaimDelay = 2 * time.Second
	// recoveryTimeout is how long a new holder waits for peers to list the
	// attempts that run on their workers.
	recoveryTimeout = time.Second
	// verifyInterval is how long a holder goes without a committed append before
	// it claims its partition again. An instance that no other could reach may
	// have claimed the partition and released it without the holder noticing.
	verifyInterval = 5 * time.Second
	// Peers that have not listed their attempts are queried again every
	// runningQueryInterval for runningQueryWindow. By then the workers of a
	// failed instance have been leased to others, which list the attempts.
	runningQueryInterval = 2 * time.Second
	runningQueryWindow   = time.Minute
	// adoptionWindow is how long after a claim recovered tasks that are not
	// urgent wait before they are started again, if the former holder is dead or
	// was this instance. Within it the leases of that instance's workers, which
	// last 1.5 s, expire, and the next owners list what runs there.
	adoptionWindow = 3 * time.Second
	// maintenanceInterval is the time between searches for expired records.
	maintenanceInterval = 10 * time.Second
)

// partition is the state of one journal partition at this instance. A journal
// partition stores the journaled requests whose identifiers hash to it.
type partition struct {
	table             *Table
	id                model.Partition
	state             partitionState
	journal           *requestjournal.Partition
	nextLoadAt        time.Time // time of the next load
	parked            []parkedSubmission
	unansweredPeers   map[model.InstanceID]bool // peers that the recovery waits for; nil after recovery
	recoveryDeadline  time.Time
	formerHolder      model.InstanceID          // holder before the last claim
	adoptionDeadline  time.Time                 // end of the adoption window
	urgentQueued      bool                      // recovered urgent requests have been enqueued
	answeredPeers     map[model.InstanceID]bool // peers that have listed their attempts since the claim
	nextQueryAt       time.Time                 // when the other peers are queried again
	queryDeadline     time.Time
	nextMaintenanceAt time.Time
	nextVerifyAt      time.Time    // when ownership is verified next
	lastReclaimAt     time.Time    // last claim made because another instance announced that it holds the partition
	latestCommit      event.CallID // last append or compaction
	unconfirmed       []confirmation
	confirming        []confirmation // those that the outstanding write confirms
}

// parkedSubmission is a submission that waits until its partition is claimed.
type parkedSubmission struct {
	waiter Waiter
	spec   *model.Request
}

// maxParked is the maximum number of submissions parked for one partition.
const maxParked = 10_000

// parkSubmission keeps a submission until the partition is claimed or its
// home turns out to be another instance.
func (p *partition) parkSubmission(w Waiter, spec *model.Request) {
	if len(p.parked) >= maxParked {
		w.Reject(p.table.opts.Emit, event.CodeExhausted, "", "too many requests wait for the journal partition")
		return
	}
	p.parked = append(p.parked, parkedSubmission{waiter: w, spec: spec})
}

// step loads, keeps or gives up the partition as its preferred home requires,
// and commits buffered records.
func (p *partition) step(now time.Time) {
	t := p.table
	preferred := t.opts.Members.PreferredHolder(p.id) == t.opts.Self && !t.draining && t.opts.Members.HasConverged(now)
	switch p.state {
	case partitionAbsent, partitionLoading:
		if preferred && !now.Before(p.nextLoadAt) {
			p.state = partitionLoading
			p.nextLoadAt = now.Add(loadTimeout)
			t.opts.Emit(event.LoadJournal{Partition: p.id})
		}
		if !preferred && t.opts.Members.HasConverged(now) {
			p.rerouteParked(now)
		}
	case partitionHeld:
		p.stepHeld(now, preferred)
	}
	p.expireParked(now)
	p.commitNextBatch(now)
}

// stepHeld gives up a held partition that this instance should no longer
// hold, once that loses no record. Otherwise it maintains the partition.
func (p *partition) stepHeld(now time.Time, preferred bool) {
	if !preferred && p.canRelinquish() {
		p.relinquish(now, "another instance is preferred")
		return
	}
	p.expireConfirmations(now)
	p.requestConfirmation(now)
	p.verifyOwnership(now)
	p.stepRecovery(now)
	p.queryUnansweredPeers(now)
	if !now.Before(p.nextMaintenanceAt) {
		p.nextMaintenanceAt = now.Add(maintenanceInterval)
		p.journal.ExpireSettled(now, p.table.retentionSeconds)
		p.compact(now)
	}
}

// verifyOwnership claims the partition again if another instance may have
// claimed it unnoticed. The append fails if one has. If records are buffered,
// their append serves as the check, and no claim is added.
func (p *partition) verifyOwnership(now time.Time) {
	holder, ok := p.table.opts.Members.PartitionHolder(p.id)
	contested := ok && holder != p.table.opts.Self && now.After(p.lastReclaimAt.Add(reclaimDelay))
	if p.hasOutstandingWrite() || !contested && now.Before(p.nextVerifyAt) {
		return
	}
	if contested {
		p.lastReclaimAt = now
	}
	p.nextVerifyAt = now.Add(verifyInterval)
	if p.journal.Buffered() == 0 {
		p.appendClaim(now)
	}
}

// appendClaim journals that this instance holds the partition.
func (p *partition) appendClaim(now time.Time) {
	p.journal.Append(now, requestjournal.Record{Kind: requestjournal.RecordClaim, At: now, Holder: p.table.opts.Self, HolderIncarnation: p.table.opts.Incarnation})
}

// canRelinquish reports whether the partition can be given up without losing
// a record: no write is outstanding, and either another instance announces
// that it holds the partition, or this instance drains and nothing is
// buffered.
func (p *partition) canRelinquish() bool {
	if p.hasOutstandingWrite() {
		return false
	}
	if p.table.draining {
		return p.journal.Buffered() == 0
	}
	holder, ok := p.table.opts.Members.PartitionHolder(p.id)
	return ok && holder != p.table.opts.Self
}

// expireParked rejects parked submissions whose deadline has passed. They are
// not reported as not run: the journal is not known here, and an earlier
// submission with the same identifier may have been accepted and run.
func (p *partition) expireParked(now time.Time) {
	kept := p.parked[:0]
	for _, sub := range p.parked {
		if now.Before(sub.spec.Deadline) {
			kept = append(kept, sub)
			continue
		}
		sub.waiter.Reject(p.table.opts.Emit, event.CodeUnavailable, "", "the journal could not be read before the deadline; this submission was not accepted")
	}
	p.parked = kept
}

// expireUnaccepted rejects requests whose acceptance was not sent to the
// store before their deadline. They are not reported as not run: another
// instance may have claimed the partition and accepted the same request. A
// request whose append is outstanding may already be durable and is kept
// until the answer arrives.
func (p *partition) expireUnaccepted(now time.Time) {
	if p.state != partitionHeld || p.journal.Buffered() == 0 {
		return
	}
	var expired []*request
	p.journal.DropBuffered(func(rec requestjournal.Record) bool {
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
			w.Reject(p.table.opts.Emit, event.CodeUnavailable, "", "the journal could not be written before the deadline; this submission was not accepted")
		}
	}
}

// commitNextBatch sends the next batch of records if one is due.
func (p *partition) commitNextBatch(now time.Time) {
	if p.hasOutstandingWrite() || (p.state != partitionHeld && p.state != partitionClaiming) {
		return
	}
	batch, ok := p.journal.NextBatch(now, p.table.opts.WriteBudget)
	if !ok {
		return
	}
	p.table.Counters.Commits++
	p.table.Counters.Records += uint64(len(batch.Records))
	p.latestCommit = p.table.opts.NextCall()
	p.startConfirming()
	p.table.opts.Emit(event.CommitJournal{CommitID: p.latestCommit, Partition: p.id, Version: batch.Version, Records: batch.Records})
}

// compact rewrites a journal that has many more records than live entries.
func (p *partition) compact(now time.Time) {
	if p.hasOutstandingWrite() || !p.table.opts.WriteBudget.TakeToken(now) {
		return
	}
	records, ok := p.journal.StartCompaction()
	if !ok {
		return
	}
	p.latestCommit = p.table.opts.NextCall()
	p.startConfirming()
	p.table.opts.Emit(event.CompactJournal{CommitID: p.latestCommit, Partition: p.id, Version: p.journal.Version(), Records: records})
}

// hasOutstandingWrite reports whether an append or a compaction has not been
// answered yet.
func (p *partition) hasOutstandingWrite() bool {
	return p.journal != nil && p.journal.HasOutstandingWrite()
}

// HandleJournalLoaded replays a journal and claims its partition.
func (t *Table) HandleJournalLoaded(now time.Time, e event.JournalLoaded) {
	p := &t.partitions[e.Partition]
	if p.state != partitionLoading {
		return
	}
	p.journal = requestjournal.Open(e.Partition, e.Version, e.Records)
	p.formerHolder, _ = p.journal.Holder()
	p.state = partitionClaiming
	p.appendClaim(now)
	p.commitNextBatch(now)
}

// HandleJournalLoadFailed schedules another load.
func (t *Table) HandleJournalLoadFailed(now time.Time, e event.JournalLoadFailed) {
	p := &t.partitions[e.Partition]
	if p.state == partitionLoading {
		p.state = partitionAbsent
		p.nextLoadAt = now.Add(loadRetryDelay + t.jitter(loadRetryDelay))
	}
}

// HandleCommitDone handles the answer to an append or a compaction.
func (t *Table) HandleCommitDone(now time.Time, e event.CommitDone) {
	p := &t.partitions[e.Partition]
	if !p.hasOutstandingWrite() || e.CommitID != p.latestCommit {
		// The answer belongs to an append made before the partition was lost.
		return
	}
	switch e.Result {
	case event.CommitApplied:
		p.nextVerifyAt = now.Add(verifyInterval)
		for _, rec := range p.journal.HandleCommitted(e.Version) {
			t.applyRecord(now, p, rec)
		}
		p.finishConfirming(now)
		t.dispatchNeeded = true
	case event.CommitConflict:
		p.relinquish(now, "another instance appended")
	case event.CommitFailed:
		p.journal.HandleFailed()
		p.restartConfirming()
	}
	p.commitNextBatch(now)
}

// applyRecord performs the action that a record allows once it is durable.
func (t *Table) applyRecord(now time.Time, p *partition, rec requestjournal.Record) {
	if rec.Kind == requestjournal.RecordClaim {
		if p.state == partitionClaiming {
			t.handlePartitionClaimed(now, p)
		}
		return
	}
	r, ok := t.requests[rec.ID]
	if !ok || r.partition != p {
		return
	}
	switch rec.Kind {
	case requestjournal.RecordAccepted:
		t.acceptRequest(now, r)
	case requestjournal.RecordIntent:
		t.handleIntentCommitted(now, r, rec.Attempt)
	case requestjournal.RecordOutcome:
		t.publishOutcome(now, r)
	}
}

// handlePartitionClaimed makes this instance the holder, recovers the
// requests in the journal and submits the parked ones.
func (t *Table) handlePartitionClaimed(now time.Time, p *partition) {
	p.state = partitionHeld
	p.nextMaintenanceAt = now.Add(maintenanceInterval)
	t.opts.Emit(event.Trace{Kind: event.TracePartitionClaimed, Detail: partitionName(p.id)})
	t.opts.Members.BroadcastNextHeartbeat()
	t.recoverPartition(now, p)
	parked := p.parked
	p.parked = nil
	for _, sub := range parked {
		t.Submit(now, sub.waiter, sub.spec, 0)
	}
}

// relinquish gives up a partition. The next holder takes over its requests,
// so they are dropped here and their waiters are rerouted.
func (p *partition) relinquish(now time.Time, reason string) {
	t := p.table
	if p.state == partitionHeld {
		t.opts.Emit(event.Trace{Kind: event.TracePartitionLost, Detail: partitionName(p.id) + ": " + reason})
	}
	p.state = partitionAbsent
	p.unansweredPeers = nil
	p.dropConfirmations()
	p.nextLoadAt = now.Add(reclaimDelay/2 + t.jitter(reclaimDelay))
	if t.opts.Members.PreferredHolder(p.id) != t.opts.Self {
		p.nextLoadAt = now
	}
	for _, r := range t.sortedRequests() {
		if r.partition != p {
			continue
		}
		t.releaseResources(now, r)
		spec := r.spec // Reroute needs its body
		t.removeRequest(r)
		if len(r.waiters) > 0 {
			t.opts.Reroute(now, spec, r.waiters)
		}
	}
	p.rerouteParked(now)
	p.journal = nil
}

// rerouteParked sends the parked submissions to their current home.
func (p *partition) rerouteParked(now time.Time) {
	parked := p.parked
	p.parked = nil
	for _, sub := range parked {
		p.table.opts.Reroute(now, sub.spec, []Waiter{sub.waiter})
	}
}

// releaseResources releases what a request holds at this instance and at
// peers without settling it.
func (t *Table) releaseResources(now time.Time, r *request) {
	for i := range r.tasks {
		task := &r.tasks[i]
		t.opts.Queue.Remove(r.spec.ID, task.index)
		if task.state == taskCommittingIntent {
			t.opts.Leases.ReleaseAttempt(task.attemptID(r.spec.ID))
		}
	}
	t.releaseGang(now, r)
	t.opts.Index.ReleaseHolds(r.spec.ID)
	for _, res := range t.sortedReservations() {
		if res.request == r {
			delete(t.reservations, res.id)
			t.opts.Emit(event.SendPeer{To: res.peer, Message: event.ReleaseReservation{Call: res.id}})
		}
	}
}

// HeldPartitionFraction returns the fraction (0 to 1) of the partitions that
// this instance holds or is about to hold. It is the instance's part of the
// store's write budget. Equal parts for all instances would waste those of
// instances without a partition.
func (t *Table) HeldPartitionFraction() float64 {
	held := 0
	for i := range t.partitions {
		if t.partitions[i].state != partitionAbsent {
			held++
		}
	}
	return float64(held) / float64(len(t.partitions))
}

// HeldPartitions returns the partitions that this instance holds.
func (t *Table) HeldPartitions() []model.Partition {
	var held []model.Partition
	for i := range t.partitions {
		if t.partitions[i].state == partitionHeld {
			held = append(held, t.partitions[i].id)
		}
	}
	return held
}
