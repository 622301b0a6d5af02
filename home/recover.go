package home

import (
	"time"

	"fuchsiacross/event"
	"fuchsiacross/model"
	"fuchsiacross/requestjournal"
)

// attemptNumbersPerVersion is the number of attempt numbers reserved for each
// version of a journal, so that successive holders do not assign the same
// number to two attempts at a task whose intents are not journaled. A holder
// appends at least every verifyInterval and makes far fewer attempts at one
// task between two appends.
const attemptNumbersPerVersion = 64

// recoverPartition restores the unsettled requests of a partition that was
// just claimed. Attempts that must run at most once are fenced at their
// workers. For all other requests, the serving peers are first queried for the
// attempts that run on their workers, so that a takeover does not start every
// task again.
func (t *Table) recoverPartition(now time.Time, p *partition) {
	p.unansweredPeers = map[model.InstanceID]bool{}
	p.recoveryDeadline = now.Add(recoveryTimeout)
	p.adoptionDeadline, p.urgentQueued = p.recoveryDeadline, false
	if p.formerHolder != "" && (p.formerHolder == t.opts.Self || !t.opts.Members.IsLive(p.formerHolder)) {
		p.adoptionDeadline = now.Add(adoptionWindow)
	}
	p.answeredPeers = map[model.InstanceID]bool{}
	p.nextQueryAt, p.queryDeadline = now.Add(runningQueryInterval), now.Add(runningQueryWindow)
	for _, e := range p.journal.Entries() {
		if e.Outcome != nil || e.IsTombstone || e.Request == nil {
			continue
		}
		t.restoreEntry(now, p, e)
	}
	for _, i := range t.opts.Members.ServingInstances() {
		if i.ID == t.opts.Self {
			continue
		}
		p.unansweredPeers[i.ID] = true
		t.opts.Emit(event.SendPeer{To: i.ID, Message: event.RunningQuery{Partition: p.id}})
	}
	for _, u := range t.opts.Leases.RunningAttempts(p.contains) {
		t.HandleAttemptUpdate(now, t.opts.Self, u)
	}
}

// contains reports whether a request belongs to the partition.
func (p *partition) contains(id model.RequestID) bool { return p.table.partitionOf(id) == p }

// restoreEntry restores one unsettled request and fences its attempts whose
// state is unknown.
func (t *Table) restoreEntry(now time.Time, p *partition, e *requestjournal.Entry) {
	r := restoreRequest(p, e)
	t.keepRequest(r)
	// The journal has no intents of requests that may run more than once, so an
	// earlier holder may have started this one.
	r.attemptMayHaveRun = r.attemptMayHaveRun || !r.atMostOnce()
	r.started = r.spec.Kind == model.KindService
	for i := range r.tasks {
		if !r.atMostOnce() {
			r.tasks[i].numberBase = uint32(p.journal.Version()) * attemptNumbersPerVersion
		}
		if r.tasks[i].state == taskFencing {
			r.attemptMayHaveRun = true
			r.tasks[i].state = taskSent
			t.startFencing(now, r, &r.tasks[i])
		}
	}
	if r.openTasks == 0 {
		t.settleRequest(now, r, t.combineOutcomes(r))
	}
}

// HandleRunningReply handles a peer's list of the attempts of a partition
// that run on its workers.
func (t *Table) HandleRunningReply(now time.Time, from model.InstanceID, m event.RunningReply) {
	if int64(m.Partition) >= int64(len(t.partitions)) {
		return
	}
	p := &t.partitions[m.Partition]
	if p.state != partitionHeld {
		return
	}
	for _, u := range m.Tasks {
		t.HandleAttemptUpdate(now, from, u)
	}
	delete(p.unansweredPeers, from)
	p.answeredPeers[from] = true
}

// queryUnansweredPeers queries the serving peers that have not listed their
// attempts. This includes peers that were not serving at the claim, since their
// workers may run earlier attempts.
func (p *partition) queryUnansweredPeers(now time.Time) {
	if now.Before(p.nextQueryAt) || now.After(p.queryDeadline) {
		return
	}
	p.nextQueryAt = now.Add(runningQueryInterval)
	for _, i := range p.table.opts.Members.ServingInstances() {
		if i.ID != p.table.opts.Self && !p.answeredPeers[i.ID] {
			p.table.opts.Emit(event.SendPeer{To: i.ID, Message: event.RunningQuery{Partition: p.id}})
		}
	}
}

// stepRecovery enqueues the recovered requests that no owner has listed once
// all peers have answered or the recovery has timed out. Urgent requests do
// not wait for the adoption window: idempotent ones may run more than once, and
// waiting tasks of the others have no attempt that may have run.
func (p *partition) stepRecovery(now time.Time) {
	if p.unansweredPeers == nil {
		return
	}
	for id := range p.unansweredPeers {
		if !p.table.opts.Members.IsLive(id) {
			delete(p.unansweredPeers, id)
		}
	}
	if len(p.unansweredPeers) > 0 && now.Before(p.recoveryDeadline) {
		return
	}
	adoptionOver := !now.Before(p.adoptionDeadline) || len(p.unansweredPeers) == 0 && !p.adoptionDeadline.After(p.recoveryDeadline)
	if adoptionOver {
		p.unansweredPeers = nil
	} else if p.urgentQueued {
		return
	}
	p.urgentQueued = true
	for _, r := range p.table.sortedRequests() {
		urgent := r.spec.Class == model.ClassUrgent
		if r.partition == p && r.accepted && r.outcome == nil && (adoptionOver || urgent) {
			p.table.enqueueRecovered(now, r)
		}
	}
}

// enqueueRecovered enqueues the waiting tasks of a recovered request unless
// they are in the queue already.
func (t *Table) enqueueRecovered(now time.Time, r *request) {
	if waiting, _ := r.waitingTasks(); len(waiting) == 0 {
		return
	}
	if r.spec.Gang {
		t.requeueGang(now, r, 0)
		return
	}
	if _, queued := t.opts.Queue.Get(r.spec.ID, 0); queued {
		return
	}
	t.enqueueTasks(now, r)
}
