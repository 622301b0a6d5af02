package home

import (
	"time"

	"fuchsiacross/event"
	"fuchsiacross/model"
)

// reservation is a request to a peer to reserve capacity for tasks, with the
// peer's answer.
type reservation struct {
	id             event.CallID
	peer           model.InstanceID
	request        *request
	tasks          []uint32
	expiresAt      time.Time
	attempts       []event.AttemptPlacement // one for each task; nil until the peer has answered
	pendingIntents int                      // number of intents that are not committed yet
}

// reserveAtPeer asks a peer to reserve capacity for tasks.
func (t *Table) reserveAtPeer(now time.Time, r *request, peer model.InstanceID, tasks []uint32) *reservation {
	res := &reservation{
		id:        t.opts.NextCall(),
		peer:      peer,
		request:   r,
		tasks:     tasks,
		expiresAt: now.Add(reservationTimeout),
	}
	t.reservations[res.id] = res
	for _, i := range tasks {
		r.tasks[i].state = taskReserving
		r.tasks[i].owner = peer
	}
	t.opts.Emit(event.SendPeer{To: peer, Message: event.Reserve{
		Call:    res.id,
		Request: withoutBody(r.spec),
		Count:   uint32(len(tasks)),
		Until:   res.expiresAt,
	}})
	return res
}

// withoutBody returns a copy of a request without its body, which a peer does
// not need to reserve capacity.
func withoutBody(r *model.Request) *model.Request {
	c := *r
	c.Body = nil
	return &c
}

// HandleReserved handles a peer's answer to a reservation. Capacity that an
// unexpected or late answer reserved is released.
func (t *Table) HandleReserved(now time.Time, peer model.InstanceID, m event.Reserved) {
	res, ok := t.reservations[m.Call]
	if !ok || res.peer != peer || res.attempts != nil {
		t.opts.Emit(event.SendPeer{To: peer, Message: event.ReleaseReservation{Call: m.Call}})
		return
	}
	r := res.request
	if r.gang != nil {
		t.handleGangReserved(now, res, m)
		return
	}
	if len(m.Workers) == 0 || len(m.WorkerIncarnations) < len(m.Workers) || r.outcome != nil || r.cancelled {
		t.dropReservation(now, res, len(m.Workers) > 0)
		return
	}
	t.assignReservedWorkers(now, res, m)
	t.launchReservation(now, res)
}

// assignReservedWorkers assigns the workers that the peer has reserved to the
// tasks and numbers their next attempts.
func (t *Table) assignReservedWorkers(_ time.Time, res *reservation, m event.Reserved) {
	r := res.request
	for i, index := range res.tasks[:min(len(res.tasks), len(m.Workers))] {
		task := &r.tasks[index]
		task.assignAttemptNumber()
		task.worker, task.workerIncarnation, task.owner = m.Workers[i], m.WorkerIncarnations[i], res.peer
		res.attempts = append(res.attempts, event.AttemptPlacement{Attempt: task.attemptID(r.spec.ID), Worker: task.worker, WorkerIncarnation: task.workerIncarnation})
		t.traceTask(event.TraceReserved, r, task, "")
	}
}

// launchReservation confirms a reservation. If the tasks must run at most
// once, it is confirmed only after their intents have been committed.
func (t *Table) launchReservation(now time.Time, res *reservation) {
	r := res.request
	r.waitReason = ""
	if !r.atMostOnce() {
		t.confirmReservation(now, res)
		return
	}
	res.pendingIntents = len(res.attempts)
	for _, placed := range res.attempts {
		task := r.taskOf(placed.Attempt)
		task.state = taskCommittingIntent
		t.appendIntent(now, r, task)
	}
}

// confirmReservation starts the reserved attempts at the peer, or releases
// them if the request has been cancelled or settled.
func (t *Table) confirmReservation(now time.Time, res *reservation) {
	delete(t.reservations, res.id)
	r := res.request
	if r.cancelled || r.outcome != nil {
		t.opts.Emit(event.SendPeer{To: res.peer, Message: event.ReleaseReservation{Call: res.id}})
		for _, placed := range res.attempts {
			t.endCancelledTask(now, r, r.taskOf(placed.Attempt))
		}
		return
	}
	t.opts.Emit(event.SendPeer{To: res.peer, Message: event.Confirm{Call: res.id, Request: r.spec, Attempts: res.attempts}})
	for _, placed := range res.attempts {
		t.recordStart(now, r, r.taskOf(placed.Attempt))
	}
}

// reservationOf returns the reservation at a peer to which an attempt
// belongs.
func (t *Table) reservationOf(r *request, task *task) (*reservation, bool) {
	if task.owner == t.opts.Self {
		return nil, false
	}
	for _, res := range t.reservations {
		if res.request != r {
			continue
		}
		for _, placed := range res.attempts {
			if placed.Attempt == task.attemptID(r.spec.ID) {
				return res, true
			}
		}
	}
	return nil, false
}

// dropReservation drops a reservation and enqueues the tasks that still wait
// for its answer. isReserved says whether the peer may hold capacity that has
// to be released.
func (t *Table) dropReservation(now time.Time, res *reservation, isReserved bool) {
	delete(t.reservations, res.id)
	if isReserved {
		t.opts.Emit(event.SendPeer{To: res.peer, Message: event.ReleaseReservation{Call: res.id}})
	}
	for _, i := range res.tasks {
		if task := &res.request.tasks[i]; task.state == taskReserving {
			t.requeueTask(now, res.request, task, t.jitter(remoteRetryDelay))
		}
	}
}
