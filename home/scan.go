package home

import (
	"time"

	"fuchsiacross/event"
	"fuchsiacross/model"
)

// scan fences attempts whose time has come and gives up those that cannot be
// accounted for.
func (t *Table) scan(now time.Time) {
	for {
		r, x, ok := t.due.next(now)
		if !ok {
			break
		}
		switch {
		case t.requests[r.spec.ID] != r:
		case r.outcome == nil:
			t.scanTask(now, r, x)
			t.watch(now, r, x)
		default:
			t.scanSettled(now, r, x)
		}
	}
	for _, c := range t.sortedCalls() {
		if now.After(c.until) && c.rooms == nil {
			t.o.Emit(event.SendPeer{To: c.peer, Message: event.ReleaseReservation{Call: c.id}})
			t.callTimedOut(now, c)
		}
	}
	for i := range t.partitions {
		t.partitions[i].expireUnaccepted(now)
	}
	t.dropSettled(now)
}

// watch makes a task due when it has to be looked at next.
func (t *Table) watch(now time.Time, r *request, x *task) {
	switch x.state {
	case taskForwarded:
		t.due.add(r, x, now.Add(silenceLimit))
	case taskSent, taskFencing:
		if !x.askAt.IsZero() {
			t.due.add(r, x, x.askAt)
		}
		if !x.giveUpAt.IsZero() {
			t.due.add(r, x, x.giveUpAt)
		}
	case taskRunning:
		if r.partition != nil {
			t.due.add(r, x, now.Add(ownerCheck))
		}
	}
}

// scanForwarded repeats a forward that has no answer. The peer knows the request
// by its identifier.
func (t *Table) scanForwarded(now time.Time, r *request, x *task) {
	switch {
	case !t.o.Members.IsLive(x.owner):
		delete(t.forwardedCalls, r.call)
		r.ran = true
		t.retryEphemeral(now, r, x, "")
	case now.After(r.spec.Deadline.Add(silenceLimit)):
		t.settle(now, r, model.Outcome{Status: model.StatusUnknown, Reason: "the peer that took the request did not answer in time"})
	default:
		// The peer may have been replaced under its name since it took the
		// request, so its answer proves nothing about the first forward.
		r.ran = true
		t.o.Emit(event.SendPeer{To: x.owner, Message: event.Forward{Call: r.call, Request: r.spec, Hops: r.hops + 1}})
	}
}

// scanSettled stops a task that still runs although its request is settled,
// until it ends or cannot be reached. A worker that returns with it later is
// told then.
func (t *Table) scanSettled(now time.Time, r *request, x *task) {
	switch x.state {
	case taskSent, taskRunning, taskFencing:
	default:
		return
	}
	if now.After(x.giveUpAt) && !r.settling {
		t.ended(r, x)
		return
	}
	t.stopTask(r, x)
	t.askFence(now, r, x)
	t.due.add(r, x, now.Add(silenceLimit))
}

func (t *Table) scanTask(now time.Time, r *request, x *task) {
	switch {
	case x.state == taskForwarded:
		t.scanForwarded(now, r, x)
	case x.state == taskFencing && !x.giveUpAt.IsZero() && now.After(x.giveUpAt):
		t.giveUp(now, r, x)
	case r.partition == nil:
	case x.state == taskRunning && x.owner != t.o.Self && !t.o.Members.IsLive(x.owner):
		t.startFencing(now, r, x)
		t.askFence(now, r, x)
	case x.state == taskRunning && r.cancelled:
		// The stop may have been lost, or the task has ended at an owner that
		// reported it to the former home.
		t.stopTask(r, x)
		t.askFence(now, r, x)
	case x.state == taskRunning:
		t.audit(now, r, x)
	case (x.state == taskFencing || x.state == taskSent) && !x.askAt.IsZero() && !now.Before(x.askAt):
		if x.state == taskSent {
			t.startFencing(now, r, x)
		}
		t.askFence(now, r, x)
	}
}

// audit asks after a running task whose end would not be heard of: when this
// instance holds the worker and does not know the task, when another instance
// is to own the worker, and at long intervals in any case.
func (t *Table) audit(now time.Time, r *request, x *task) {
	missing := x.owner == t.o.Self && !t.o.Leases.IsTracked(x.attempt(r.spec.ID))
	if w, ok := t.o.Leases.ListedWorker(x.worker); ok && t.o.Members.PreferredOwner(w) != x.owner {
		missing = true
	}
	if x.auditAt.IsZero() {
		x.auditAt = now.Add(auditInterval)
	}
	if missing || x.owner != t.o.Self && !now.Before(x.auditAt) {
		x.auditAt = now.Add(auditInterval)
		t.askFence(now, r, x)
	}
}

// askFence asks the preferred owner of the worker to fence the attempt.
func (t *Table) askFence(now time.Time, r *request, x *task) {
	x.askAt = now.Add(fenceInterval)
	a := x.attempt(r.spec.ID)
	owner := x.owner
	if w, ok := t.o.Leases.ListedWorker(x.worker); ok {
		owner = t.o.Members.PreferredOwner(w)
	}
	if owner == t.o.Self {
		t.o.Leases.FenceAttempt(now, t.o.Self, x.worker, x.life, a)
		return
	}
	t.o.Emit(event.SendPeer{To: owner, Message: event.FenceQuery{Worker: x.worker, WorkerIncarnation: x.life, Attempt: a}})
}

// giveUp reports an attempt that cannot be accounted for. A task that may run
// again is started elsewhere.
func (t *Table) giveUp(now time.Time, r *request, x *task) {
	if !r.atMostOnce() && r.partition != nil {
		t.requeue(now, r, x, 0)
		return
	}
	t.settle(now, r, model.Outcome{
		Status:  model.StatusUnknown,
		Reason:  "the worker that was asked to run the request cannot be reached",
		Worker:  x.worker,
		Attempt: x.attempt(r.spec.ID),
	})
}
