package home

import (
	"time"

	"fuchsiacross/admission"
	"fuchsiacross/event"
	"fuchsiacross/model"
	"fuchsiacross/requestjournal"
)

// Update takes an owner's news of an attempt. Final news are acknowledged once
// they are recorded, so that the worker can forget the result.
func (t *Table) HandleAttemptUpdate(now time.Time, from model.InstanceID, u event.AttemptUpdate) {
	a := u.Report.Attempt
	r, ok := t.requests[a.Request]
	if !ok {
		t.updateUnknown(now, from, u)
		return
	}
	x := r.task(a)
	if x != nil && !r.atMostOnce() && r.outcome == nil && x.adopts(a) {
		x.number = a.Number
	}
	switch {
	case x == nil:
		t.acknowledge(from, u)
	case x.state == taskDone || r.outcome != nil && !r.settling:
		t.updateSettled(now, from, r, x, u)
	case a.Number != x.number:
		t.updateOld(now, from, r, x, u)
	default:
		t.updateCurrent(now, from, r, x, u)
	}
}

// updateSettled answers for a task whose result is recorded, or of a request
// that is settled: a result may be forgotten unless it replaces an unknown
// outcome, and an attempt that still runs is stopped.
func (t *Table) updateSettled(now time.Time, from model.InstanceID, r *request, x *task, u event.AttemptUpdate) {
	latest := u.Report.Attempt.Number == x.number
	switch {
	case u.State == event.AttemptStarted:
		if r.outcome != nil || !latest {
			t.stop(from, u.Worker, u.Report.Attempt, false)
		}
		return
	case u.State == event.AttemptFinished && r.settling:
		return
	case u.State == event.AttemptFinished && r.outcome != nil && r.outcome.Status == model.StatusUnknown && r.partition != nil:
		e, ok := r.partition.journal.Entry(r.spec.ID)
		if !ok || !t.settleLate(now, r.partition, e, u) {
			t.acknowledge(from, u)
		}
	case u.State == event.AttemptFinished:
		t.acknowledge(from, u)
	case u.State == event.AttemptUncertain && u.Report.State != model.TaskLost:
		return
	}
	if latest {
		t.ended(r, x)
	}
}

// ended notes that a task of a settled request has ended.
func (t *Table) ended(r *request, x *task) {
	if x.state != taskDone {
		x.state = taskDone
		r.open--
	}
	if r.outcome != nil && !r.settling && r.partition != nil {
		t.forgetSettled(r)
	}
}

// updateUnknown answers for a request that is not in memory. Only the holder of
// its partition may let the worker forget a result.
func (t *Table) updateUnknown(now time.Time, from model.InstanceID, u event.AttemptUpdate) {
	id := u.Report.Attempt.Request
	p := t.partitionOf(id)
	if from == t.o.Self && u.State == event.AttemptFinished && t.o.Leases.IsEphemeral(u.Report.Attempt) {
		// Only this instance knew the request, and nobody waits for it now.
		t.acknowledge(from, u)
		return
	}
	if p.state != partitionHeld {
		return
	}
	e, ok := p.journal.Entry(id)
	switch {
	case !ok || e.Forgotten:
	case e.Outcome == nil:
		return
	case u.State == event.AttemptStarted:
		t.stop(from, u.Worker, u.Report.Attempt, false)
	case e.Outcome.Status == model.StatusUnknown && u.State == event.AttemptFinished:
		if t.settleLate(now, p, e, u) {
			return
		}
	}
	if u.State == event.AttemptFinished {
		t.acknowledge(from, u)
	}
}

// settleLate replaces an unknown outcome by the result of a worker that has
// returned, and reports whether it does. The result is then acknowledged when it
// is announced again. One of several tasks, or a task that was stopped, settles
// nothing.
func (t *Table) settleLate(now time.Time, p *partition, e *requestjournal.Entry, u event.AttemptUpdate) bool {
	if e.Request == nil || e.Request.Tasks != 1 || u.Report.State == model.TaskStopped {
		return false
	}
	o := outcomeOf(u.Report.Attempt, u.Worker, &u.Report.Result)
	t.o.Emit(event.Trace{Kind: event.TraceSettled, Request: e.Request.ID, Detail: "the worker returned: " + o.Status.String()})
	p.journal.Append(now, requestjournal.Record{Kind: requestjournal.RecordOutcome, At: now, ID: e.Request.ID, Outcome: &o})
	return true
}

// updateOld takes news of an attempt that has a successor. The successor exists
// only where the task may run more than once, or where the old attempt is known
// not to run.
func (t *Table) updateOld(now time.Time, from model.InstanceID, r *request, x *task, u event.AttemptUpdate) {
	switch u.State {
	case event.AttemptFinished:
		if u.Report.State == model.TaskFinished && u.Report.Result.Succeeded && r.spec.Kind != model.KindService {
			t.stopTask(r, x)
			t.succeed(now, from, r, x, u)
			return
		}
		t.acknowledge(from, u)
	case event.AttemptStarted:
		if x.state != taskWaiting {
			t.stop(from, u.Worker, u.Report.Attempt, false)
		}
	}
}

func (t *Table) updateCurrent(now time.Time, from model.InstanceID, r *request, x *task, u event.AttemptUpdate) {
	switch u.State {
	case event.AttemptStarted:
		t.running(now, from, r, x, u)
	case event.AttemptFinished:
		t.finished(now, from, r, x, u)
	case event.AttemptRefused:
		if x.state == taskRunning {
			return
		}
		proof := model.ProofTargetRefused
		if u.Report.State == model.TaskNeverSeen {
			proof = model.ProofTargetFenced
		}
		r.exclude = appendWorker(r.exclude, u.Worker)
		t.notStarted(now, r, x, proof, u.Reason)
	case event.AttemptUncertain:
		t.uncertain(now, r, x, u)
	}
}

func (t *Table) running(now time.Time, from model.InstanceID, r *request, x *task, u event.AttemptUpdate) {
	r.ran = true
	x.worker, x.owner = u.Worker, from
	t.unqueue(r, x)
	if x.state != taskRunning {
		r.note(now, u.Report.Attempt, u.Worker, "running", u.Reason)
		t.traceTask(event.TraceStarted, r, x, u.Reason)
	}
	x.state = taskRunning
	x.askAt, x.giveUpAt = time.Time{}, time.Time{}
	t.watch(now, r, x)
	if r.cancelled || r.outcome != nil {
		t.stopTask(r, x)
		return
	}
	t.serviceRuns(r)
}

// unqueue takes a task that waits no more out of the queue: it is cancelled, or a
// worker has been heard of it although the journal's recovery queued it. The one item
// of a gang stays while other tasks of it wait.
func (t *Table) unqueue(r *request, x *task) {
	if x.state != taskWaiting {
		return
	}
	index := x.index
	if r.spec.Gang {
		if waiting, _ := r.waitingTasks(); len(waiting) > 1 {
			return
		}
		index = 0
	}
	t.o.Queue.Remove(r.spec.ID, index)
}

// serviceRuns answers those who wait for a service once all its tasks run.
func (t *Table) serviceRuns(r *request) {
	if r.spec.Kind != model.KindService {
		return
	}
	for i := range r.tasks {
		if r.tasks[i].state != taskRunning {
			return
		}
	}
	kept := r.waiters[:0]
	for _, w := range r.waiters {
		if w.Kind == WaitForCancel {
			kept = append(kept, w)
			continue
		}
		w.SendOutcome(t.o.Emit, r.status())
	}
	r.waiters = kept
}

// finished takes the result of a task's latest attempt.
func (t *Table) finished(now time.Time, from model.InstanceID, r *request, x *task, u event.AttemptUpdate) {
	x.worker, x.owner = u.Worker, from
	x.askAt, x.giveUpAt = time.Time{}, time.Time{}
	r.ran = true
	t.unqueue(r, x)
	t.traceTask(event.TraceFinished, r, x, resultDetail(u))
	r.note(now, u.Report.Attempt, u.Worker, "finished", resultDetail(u))
	switch {
	case u.Report.State == model.TaskStopped && (r.cancelled || r.outcome != nil):
		t.acknowledge(from, u)
		t.finishCancelled(now, r, x)
	case u.Report.State == model.TaskStopped:
		t.acknowledge(from, u)
		t.stopped(now, r, x)
	case r.spec.Kind == model.KindService:
		t.acknowledge(from, u)
		x.failures++
		t.requeue(now, r, x, admission.Backoff(x.failures+1, t.o.Random()))
	case u.Report.Result.Succeeded:
		t.succeed(now, from, r, x, u)
	default:
		t.failed(now, from, r, x, u)
	}
}

// stopped takes an attempt that was preempted. A task that runs at most once is
// not started again: its first attempt has run in part.
func (t *Table) stopped(now time.Time, r *request, x *task) {
	if r.atMostOnce() {
		r.message = "the attempt was stopped"
		t.settle(now, r, model.Outcome{Status: model.StatusFailed, Reason: r.message, Worker: x.worker, Attempt: x.attempt(r.spec.ID)})
		return
	}
	t.traceTask(event.TracePreempted, r, x, "waits for another start")
	t.requeue(now, r, x, t.jitter(remoteRetry))
}

func (t *Table) succeed(now time.Time, from model.InstanceID, r *request, x *task, u event.AttemptUpdate) {
	result := u.Report.Result
	x.state = taskDone
	x.result = &result
	x.worker, x.owner = u.Worker, from
	x.number = u.Report.Attempt.Number
	r.open--
	if r.open > 0 {
		t.recordTask(now, r, x)
		return
	}
	if r.cancelled && len(r.tasks) > 1 {
		t.settle(now, r, model.Outcome{Status: model.StatusCancelled, Reason: "some tasks had finished"})
		return
	}
	t.settle(now, r, t.combine(r))
}

// recordTask journals the result of one of several tasks that run at most once,
// so that a takeover does not have to ask for it.
func (t *Table) recordTask(now time.Time, r *request, x *task) {
	if !r.atMostOnce() {
		return
	}
	r.partition.journal.Append(now, requestjournal.Record{
		Kind:    requestjournal.RecordTaskResult,
		At:      now,
		ID:      r.spec.ID,
		Attempt: x.attempt(r.spec.ID),
		Result:  x.result,
	})
}

// failed retries a task that may run again and settles one that may not.
func (t *Table) failed(now time.Time, from model.InstanceID, r *request, x *task, u event.AttemptUpdate) {
	x.failures++
	r.message = u.Report.Result.Message
	r.exclude = appendWorker(r.exclude, u.Worker)
	retry := !r.atMostOnce() && !r.cancelled && x.failures < maxFailures && now.Before(r.spec.Deadline)
	if retry && t.o.Retries.AllowRetry(now) {
		t.acknowledge(from, u)
		t.traceTask(event.TraceRetry, r, x, r.message)
		t.requeue(now, r, x, admission.Backoff(x.tries+1, t.o.Random()))
		return
	}
	result := u.Report.Result
	x.state = taskDone
	x.result = &result
	r.open--
	t.settle(now, r, outcomeOf(u.Report.Attempt, u.Worker, &result))
}

// notStarted takes an attempt that is proved not to have run.
func (t *Table) notStarted(now time.Time, r *request, x *task, proof model.Proof, reason string) {
	t.traceTask(event.TraceRefused, r, x, reason)
	r.note(now, x.attempt(r.spec.ID), x.worker, "not started", reason)
	r.proof = proof
	x.askAt, x.giveUpAt = time.Time{}, time.Time{}
	if r.atMostOnce() && proof != model.ProofNone {
		r.partition.journal.Append(now, requestjournal.Record{
			Kind:    requestjournal.RecordTaskResult,
			At:      now,
			ID:      r.spec.ID,
			Attempt: x.attempt(r.spec.ID),
		})
	}
	if c, ok := t.callOf(r, x); ok {
		t.dropCall(now, c, true)
	}
	t.requeue(now, r, x, admission.Backoff(x.tries+1, t.o.Random()))
}

// uncertain takes an attempt whose state is not known. An ephemeral request is
// tried again elsewhere; a journaled one is fenced first.
func (t *Table) uncertain(now time.Time, r *request, x *task, u event.AttemptUpdate) {
	r.ran = true
	r.note(now, u.Report.Attempt, u.Worker, "uncertain", u.Reason)
	if r.partition == nil {
		t.retryEphemeral(now, r, x, u.Worker)
		return
	}
	if u.Report.State == model.TaskLost {
		t.lost(now, r, x)
		return
	}
	t.startFencing(now, r, x)
}

func (t *Table) retryEphemeral(now time.Time, r *request, x *task, w model.WorkerID) {
	r.exclude = appendWorker(r.exclude, w)
	r.astray = true
	if !t.o.Retries.AllowRetry(now) {
		x.state = taskFencing
		x.giveUpAt = r.spec.Deadline
		t.watch(now, r, x)
		return
	}
	t.traceTask(event.TraceRetry, r, x, "the earlier attempt is uncertain")
	t.requeue(now, r, x, 0)
}

func (t *Table) startFencing(now time.Time, r *request, x *task) {
	if x.state == taskFencing && !x.giveUpAt.IsZero() {
		return
	}
	x.state = taskFencing
	x.askAt = now
	x.giveUpAt = now.Add(giveUpAfter)
	t.watch(now, r, x)
}

// lost takes an attempt of which the worker has no memory.
func (t *Table) lost(now time.Time, r *request, x *task) {
	r.ran = true
	if r.outcome != nil {
		t.ended(r, x)
		return
	}
	if r.atMostOnce() {
		t.settle(now, r, model.Outcome{
			Status:  model.StatusUnknown,
			Reason:  "the worker restarted and cannot tell whether the request ran",
			Worker:  x.worker,
			Attempt: x.attempt(r.spec.ID),
		})
		return
	}
	t.traceTask(event.TraceRetry, r, x, "the worker restarted")
	t.requeue(now, r, x, t.jitter(remoteRetry))
}

// Fenced takes the answer to a fence.
func (t *Table) HandleFenceReply(now time.Time, from model.InstanceID, m event.FenceReply) {
	a := m.Report.Attempt
	r, ok := t.requests[a.Request]
	if !ok || !m.Reachable {
		return
	}
	x := r.task(a)
	if x == nil || x.number != a.Number || x.state == taskDone || x.state == taskWaiting {
		return
	}
	u := event.AttemptUpdate{Worker: m.Worker, Report: m.Report}
	if r.outcome != nil && !r.settling {
		u.State = event.AttemptFinished
		switch m.Report.State {
		case model.TaskRunning:
			u.State = event.AttemptStarted
		case model.TaskNeverSeen:
			u.State = event.AttemptRefused
		case model.TaskLost:
			u.State = event.AttemptUncertain
		}
		t.updateSettled(now, from, r, x, u)
		return
	}
	switch m.Report.State {
	case model.TaskRunning:
		u.State = event.AttemptStarted
		t.running(now, from, r, x, u)
	case model.TaskFinished, model.TaskStopped:
		u.State = event.AttemptFinished
		t.finished(now, from, r, x, u)
	case model.TaskNeverSeen:
		t.notStarted(now, r, x, model.ProofTargetFenced, "the worker never saw the attempt")
	case model.TaskLost:
		t.lost(now, r, x)
	}
}

func (t *Table) acknowledge(to model.InstanceID, u event.AttemptUpdate) {
	if to == t.o.Self {
		t.o.Leases.AcknowledgeAttempt(u.Worker, u.Report.Attempt)
		return
	}
	t.o.Emit(event.SendPeer{To: to, Message: event.AttemptAck{Worker: u.Worker, Attempt: u.Report.Attempt}})
}

func (t *Table) stopTask(r *request, x *task) {
	if x.state != taskRunning && x.state != taskSent && x.state != taskFencing {
		return
	}
	x.stopped = true
	t.stop(x.owner, x.worker, x.attempt(r.spec.ID), false)
}

func (t *Table) stop(owner model.InstanceID, w model.WorkerID, a model.Attempt, checkpoint bool) {
	if owner == t.o.Self {
		t.o.Leases.StopAttempt(w, a, checkpoint)
		return
	}
	t.o.Emit(event.SendPeer{To: owner, Message: event.StopAttempt{Worker: w, Attempt: a, Checkpoint: checkpoint}})
}

func resultDetail(u event.AttemptUpdate) string {
	switch {
	case u.Report.State == model.TaskStopped:
		return "stopped"
	case u.Report.Result.Succeeded:
		return "succeeded"
	default:
		return "failed: " + u.Report.Result.Message
	}
}

// maxExclude bounds the workers that later attempts avoid.
const maxExclude = 8

func appendWorker(list []model.WorkerID, w model.WorkerID) []model.WorkerID {
	if w == "" {
		return list
	}
	if len(list) == maxExclude {
		list = append(list[:0:0], list[1:]...)
	}
	return append(list, w)
}
