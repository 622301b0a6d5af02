package home

import (
	"time"

	"fuchsiacross/event"
	"fuchsiacross/model"
	"fuchsiacross/requestjournal"
)

// attemptsPerVersion spaces the attempt numbers of successive holders. A holder
// appends at least every verifyInterval, and makes far fewer attempts at one
// task between two appends.
const attemptsPerVersion = 64

// recover rebuilds the unsettled requests of a partition that was just claimed.
// Attempts of requests that run at most once are fenced at their workers. For
// the others the owners of all workers are asked first what runs, so that a
// takeover does not start everything again.
func (t *Table) recover(now time.Time, p *partition) {
	p.recovering = map[model.InstanceID]bool{}
	p.recoverBy = now.Add(recoveryLimit)
	p.adoptBy, p.urgentDone = p.recoverBy, false
	if p.former != "" && (p.former == t.o.Self || !t.o.Members.IsLive(p.former)) {
		p.adoptBy = now.Add(adoptionLimit)
	}
	p.answered = map[model.InstanceID]bool{}
	p.askAt, p.askUntil = now.Add(askInterval), now.Add(askLimit)
	for _, e := range p.journal.Entries() {
		if e.Outcome != nil || e.Forgotten || e.Request == nil {
			continue
		}
		t.restoreEntry(now, p, e)
	}
	for _, i := range t.o.Members.ServingInstances() {
		if i.ID == t.o.Self {
			continue
		}
		p.recovering[i.ID] = true
		t.o.Emit(event.SendPeer{To: i.ID, Message: event.RunningQuery{Partition: p.id}})
	}
	for _, u := range t.o.Leases.RunningAttempts(p.has) {
		t.HandleAttemptUpdate(now, t.o.Self, u)
	}
}

func (p *partition) has(id model.RequestID) bool { return p.table.partitionOf(id) == p }

func (t *Table) restoreEntry(now time.Time, p *partition, e *requestjournal.Entry) {
	r := restore(p, e)
	t.requests[e.Request.ID] = r
	// The journal has no intents of a request that may run more than once, so
	// an earlier holder may have started it.
	r.ran = r.ran || !r.atMostOnce()
	r.started = r.spec.Kind == model.KindService
	for i := range r.tasks {
		if !r.atMostOnce() {
			r.tasks[i].base = uint32(p.journal.Version()) * attemptsPerVersion
		}
		if r.tasks[i].state == taskFencing {
			r.ran = true
			r.tasks[i].state = taskSent
			t.startFencing(now, r, &r.tasks[i])
		}
	}
	if r.open == 0 {
		t.settle(now, r, t.combine(r))
	}
}

// Running takes a peer's list of the attempts of a partition.
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
	delete(p.recovering, from)
	p.answered[from] = true
}

// askOthers asks the peers again that have not answered, and those that were not
// live at the claim: their workers may run earlier attempts.
func (p *partition) askOthers(now time.Time) {
	if now.Before(p.askAt) || now.After(p.askUntil) {
		return
	}
	p.askAt = now.Add(askInterval)
	for _, i := range p.table.o.Members.ServingInstances() {
		if i.ID != p.table.o.Self && !p.answered[i.ID] {
			p.table.o.Emit(event.SendPeer{To: i.ID, Message: event.RunningQuery{Partition: p.id}})
		}
	}
}

// stepRecovery queues what no owner has named once all have answered or the
// time for it is over. Urgent requests do not wait for the workers of a dead
// owner: they may run more than once.
func (p *partition) stepRecovery(now time.Time) {
	if p.recovering == nil {
		return
	}
	for id := range p.recovering {
		if !p.table.o.Members.IsLive(id) {
			delete(p.recovering, id)
		}
	}
	if len(p.recovering) > 0 && now.Before(p.recoverBy) {
		return
	}
	late := !now.Before(p.adoptBy) || len(p.recovering) == 0 && !p.adoptBy.After(p.recoverBy)
	if late {
		p.recovering = nil
	} else if p.urgentDone {
		return
	}
	p.urgentDone = true
	for _, r := range p.table.sorted() {
		urgent := r.spec.Class == model.ClassUrgent
		if r.partition == p && r.accepted && r.outcome == nil && (late || urgent) {
			p.table.enqueueRecovered(now, r)
		}
	}
}

func (t *Table) enqueueRecovered(now time.Time, r *request) {
	if waiting, _ := r.waitingTasks(); len(waiting) == 0 {
		return
	}
	if r.spec.Gang {
		t.requeueGang(now, r, 0)
		return
	}
	if _, waits := t.o.Queue.Get(r.spec.ID, 0); waits {
		return
	}
	t.enqueue(now, r)
}
