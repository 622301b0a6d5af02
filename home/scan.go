package home

import (
	"time"

	"fuchsiacross/event"
	"fuchsiacross/model"
)

// scanDueTasks checks all tasks that are due, drops reservations that peers
// did not answer, rejects requests whose acceptance could not be written in
// time, and drops old outcomes of ephemeral requests.
func (t *Table) scanDueTasks(now time.Time) {
	for {
		r, task, ok := t.dueTasks.popDue(now)
		if !ok {
			break
		}
		switch {
		case t.requests[r.spec.ID] != r:
		case r.outcome == nil:
			t.checkTask(now, r, task)
			t.scheduleCheck(now, r, task)
		default:
			t.checkSettledTask(now, r, task)
		}
	}
	for _, res := range t.sortedReservations() {
		if now.After(res.expiresAt) && res.attempts == nil {
			t.opts.Emit(event.SendPeer{To: res.peer, Message: event.ReleaseReservation{Call: res.id}})
			t.handleReservationTimeout(now, res)
		}
	}
	for i := range t.partitions {
		t.partitions[i].expireUnaccepted(now)
	}
	t.dropSettledEphemeral(now)
}

// scheduleCheck schedules the next check of a task according to its state.
func (t *Table) scheduleCheck(now time.Time, r *request, task *task) {
	switch task.state {
	case taskForwarded:
		t.dueTasks.add(r, task, now.Add(updateTimeout))
	case taskSent, taskFencing:
		if !task.fenceAt.IsZero() {
			t.dueTasks.add(r, task, task.fenceAt)
		}
		if !task.fencingDeadline.IsZero() {
			t.dueTasks.add(r, task, task.fencingDeadline)
		}
	case taskRunning:
		if r.partition != nil {
			t.dueTasks.add(r, task, now.Add(ownerCheckInterval))
		}
	}
}

// checkForwarded handles a forward that has not been answered. It retries the
// request elsewhere if the peer is dead, gives up after the deadline, and
// otherwise sends the forward again; the peer recognises the request by its
// identifier.
func (t *Table) checkForwarded(now time.Time, r *request, task *task) {
	switch {
	case !t.opts.Members.IsLive(task.owner):
		delete(t.forwardedCalls, r.forwardCall)
		r.attemptMayHaveRun = true
		t.retryEphemeral(now, r, task, "")
	case now.After(r.spec.Deadline.Add(updateTimeout)):
		t.settleRequest(now, r, model.Outcome{Status: model.StatusUnknown, Reason: "the peer that took the request did not answer in time"})
	default:
		// Another process of the same name may have replaced the peer since it
		// received the request, so its answer proves nothing about the first
		// forward.
		r.attemptMayHaveRun = true
		t.opts.Emit(event.SendPeer{To: task.owner, Message: event.Forward{Call: r.forwardCall, Request: r.spec, Hops: r.hops + 1}})
	}
}

// checkSettledTask keeps stopping a task whose request is settled until the
// task ends or fencingTimeout has passed. If a worker reports the task later,
// it is stopped then.
func (t *Table) checkSettledTask(now time.Time, r *request, task *task) {
	switch task.state {
	case taskSent, taskRunning, taskFencing:
	default:
		return
	}
	if r.outcomePending {
		return
	}
	if now.After(task.fencingDeadline) {
		t.endSettledTask(r, task)
		return
	}
	t.stopTask(r, task)
	t.requestFence(now, r, task)
	t.dueTasks.add(r, task, now.Add(updateTimeout))
}

// checkTask checks a task of an unsettled request: it fences an attempt whose
// state is unknown, and queries or stops a running one.
func (t *Table) checkTask(now time.Time, r *request, task *task) {
	switch {
	case task.state == taskForwarded:
		t.checkForwarded(now, r, task)
	case task.state == taskFencing && !task.fencingDeadline.IsZero() && now.After(task.fencingDeadline):
		t.giveUpAttempt(now, r, task)
	case r.partition == nil:
	case task.state == taskRunning && task.owner != t.opts.Self && !t.opts.Members.IsLive(task.owner):
		t.startFencing(now, r, task)
		t.requestFence(now, r, task)
	case task.state == taskRunning && r.cancelled:
		// The stop may have been lost, or the task has ended at an owner that
		// reported it to the former home.
		t.stopTask(r, task)
		t.requestFence(now, r, task)
	case task.state == taskRunning:
		t.auditRunningTask(now, r, task)
	case (task.state == taskFencing || task.state == taskSent) && !task.fenceAt.IsZero() && !now.Before(task.fenceAt):
		if task.state == taskSent {
			t.startFencing(now, r, task)
		}
		t.requestFence(now, r, task)
	}
}

// auditRunningTask fences a running task to learn its state where its end
// might go unnoticed: if this instance owns the worker and does not track the
// attempt, if another instance is now the preferred owner of the worker, and
// every auditInterval in any case for a task at a peer.
func (t *Table) auditRunningTask(now time.Time, r *request, task *task) {
	needsQuery := task.owner == t.opts.Self && !t.opts.Leases.IsTracked(task.attemptID(r.spec.ID))
	if w, ok := t.opts.Leases.ListedWorker(task.worker); ok && t.opts.Members.PreferredOwner(w) != task.owner {
		needsQuery = true
	}
	if task.nextAuditAt.IsZero() {
		task.nextAuditAt = now.Add(auditInterval)
	}
	if needsQuery || task.owner != t.opts.Self && !now.Before(task.nextAuditAt) {
		task.nextAuditAt = now.Add(auditInterval)
		t.requestFence(now, r, task)
	}
}

// requestFence asks the preferred owner of the worker to fence the attempt:
// the worker reports its state and refuses the attempt if it never received
// it.
func (t *Table) requestFence(now time.Time, r *request, task *task) {
	task.fenceAt = now.Add(fenceInterval)
	a := task.attemptID(r.spec.ID)
	owner := task.owner
	if w, ok := t.opts.Leases.ListedWorker(task.worker); ok {
		owner = t.opts.Members.PreferredOwner(w)
	}
	if owner == t.opts.Self {
		t.opts.Leases.FenceAttempt(now, t.opts.Self, task.worker, task.workerIncarnation, a)
		return
	}
	t.opts.Emit(event.SendPeer{To: owner, Message: event.FenceQuery{Worker: task.worker, WorkerIncarnation: task.workerIncarnation, Attempt: a}})
}

// giveUpAttempt stops waiting for an attempt whose state could not be
// determined. A journaled task that may run again is started elsewhere; any
// other request is settled as unknown.
func (t *Table) giveUpAttempt(now time.Time, r *request, task *task) {
	if !r.atMostOnce() && r.partition != nil {
		t.requeueTask(now, r, task, 0)
		return
	}
	t.settleRequest(now, r, model.Outcome{
		Status:  model.StatusUnknown,
		Reason:  "the worker that was asked to run the request cannot be reached",
		Worker:  task.worker,
		Attempt: task.attemptID(r.spec.ID),
	})
}
