package home

import (
	"time"

	"fuchsiacross/admission"
	"fuchsiacross/event"
	"fuchsiacross/model"
	"fuchsiacross/requestjournal"
)

// HandleAttemptUpdate handles a report about an attempt from the instance
// that holds the lease of its worker. A final report is acknowledged once it
// is recorded, so that the worker can drop the result.
func (t *Table) HandleAttemptUpdate(now time.Time, from model.InstanceID, u event.AttemptUpdate) {
	a := u.Report.Attempt
	r, ok := t.requests[a.Request]
	if !ok {
		t.handleUnknownRequestUpdate(now, from, u)
		return
	}
	task := r.taskOf(a)
	if task != nil && !r.atMostOnce() && r.outcome == nil && task.canAdopt(a) {
		task.attemptNumber = a.Number
	}
	switch {
	case task == nil:
		t.acknowledgeResult(from, u)
	case r.atMostOnce() && task.lacksIntentOf(u):
		// Another instance has claimed the partition and made the attempt.
		r.partition.nextVerifyAt = now
	case task.state == taskDone || r.outcome != nil && !r.outcomePending:
		t.handleSettledUpdate(now, from, r, task, u)
	case a.Number != task.attemptNumber:
		t.handleOldAttemptUpdate(now, from, r, task, u)
	default:
		t.handleCurrentAttemptUpdate(now, from, r, task, u)
	}
}

// handleSettledUpdate handles an update for a finished task or for a settled
// request. A result is acknowledged unless it is not journaled yet or replaces
// an unknown outcome, and an attempt that still runs is stopped.
func (t *Table) handleSettledUpdate(now time.Time, from model.InstanceID, r *request, task *task, u event.AttemptUpdate) {
	latest := u.Report.Attempt.Number == task.attemptNumber
	switch {
	case u.State == event.AttemptStarted:
		if r.outcome != nil || !latest {
			t.stopAttempt(from, u.Worker, u.Report.Attempt, false)
		}
		return
	case u.State == event.AttemptFinished && (r.outcomePending || r.outcome == nil && !r.hasDurableResult(u.Report.Attempt)):
		return
	case u.State == event.AttemptFinished && r.outcome != nil && r.outcome.Status == model.StatusUnknown && r.partition != nil:
		e, ok := r.partition.journal.Entry(r.spec.ID)
		if !ok || !t.replaceUnknownOutcome(now, r.partition, e, u) {
			t.acknowledgeResult(from, u)
		}
	case u.State == event.AttemptFinished:
		t.acknowledgeResult(from, u)
	case u.State == event.AttemptUncertain && u.Report.State != model.TaskLost:
		return
	}
	if latest {
		t.endSettledTask(r, task)
	}
}

// endSettledTask marks a task of a settled request as ended.
func (t *Table) endSettledTask(r *request, task *task) {
	if task.state != taskDone {
		task.state = taskDone
		r.openTasks--
	}
	if r.outcome != nil && !r.outcomePending && r.partition != nil {
		t.dropIfEnded(r)
	}
}

// handleUnknownRequestUpdate handles an update for a request that is not in
// memory. Only the holder of its partition may acknowledge a result, and one of
// which the journal has no request only once the partition is confirmed.
func (t *Table) handleUnknownRequestUpdate(now time.Time, from model.InstanceID, u event.AttemptUpdate) {
	id := u.Report.Attempt.Request
	p := t.partitionOf(id)
	if from == t.opts.Self && u.State == event.AttemptFinished && t.opts.Leases.IsEphemeral(u.Report.Attempt) {
		// Only this instance knew the request, and nobody waits for it any more.
		t.acknowledgeResult(from, u)
		return
	}
	if p.state != partitionHeld {
		return
	}
	e, ok := p.journal.Entry(id)
	switch {
	case !ok && u.State == event.AttemptFinished:
		p.confirmLater(now, confirmation{request: id, from: from, update: u})
		return
	case !ok || e.IsTombstone:
	case e.Outcome == nil:
		return
	case u.State == event.AttemptStarted:
		t.stopAttempt(from, u.Worker, u.Report.Attempt, false)
	case e.Outcome.Status == model.StatusUnknown && u.State == event.AttemptFinished:
		if t.replaceUnknownOutcome(now, p, e, u) {
			return
		}
	}
	if u.State == event.AttemptFinished {
		t.acknowledgeResult(from, u)
	}
}

// replaceUnknownOutcome journals the result of a worker that has reappeared
// as the outcome of a request that was settled as unknown, and reports
// whether it does so. The result is acknowledged when the worker's owner
// sends it again. A stopped task, or one task of several, does not decide the
// outcome.
func (t *Table) replaceUnknownOutcome(now time.Time, p *partition, e *requestjournal.Entry, u event.AttemptUpdate) bool {
	if e.Request == nil || e.Request.Tasks != 1 || u.Report.State == model.TaskStopped {
		return false
	}
	o := taskOutcome(u.Report.Attempt, u.Worker, &u.Report.Result)
	t.opts.Emit(event.Trace{Kind: event.TraceSettled, Request: e.Request.ID, Detail: "the worker returned: " + o.Status.String()})
	p.journal.Append(now, requestjournal.Record{Kind: requestjournal.RecordOutcome, At: now, ID: e.Request.ID, Outcome: &o})
	return true
}

// handleOldAttemptUpdate handles an update for an attempt that is not the
// latest one. A later attempt exists only if the task may run more than once
// or the earlier attempt is known not to run.
func (t *Table) handleOldAttemptUpdate(now time.Time, from model.InstanceID, r *request, task *task, u event.AttemptUpdate) {
	switch u.State {
	case event.AttemptFinished:
		if u.Report.State == model.TaskFinished && u.Report.Result.Succeeded && r.spec.Kind != model.KindService {
			t.stopTask(r, task)
			t.handleSucceeded(now, from, r, task, u)
			return
		}
		t.acknowledgeResult(from, u)
	case event.AttemptStarted:
		if task.state != taskWaiting {
			t.stopAttempt(from, u.Worker, u.Report.Attempt, false)
		}
	}
}

// handleCurrentAttemptUpdate handles an update for the latest attempt of a
// task.
func (t *Table) handleCurrentAttemptUpdate(now time.Time, from model.InstanceID, r *request, task *task, u event.AttemptUpdate) {
	switch u.State {
	case event.AttemptStarted:
		t.markRunning(now, from, r, task, u)
	case event.AttemptFinished:
		t.handleFinished(now, from, r, task, u)
	case event.AttemptRefused:
		if task.state == taskRunning {
			return
		}
		proof := model.ProofTargetRefused
		if u.Report.State == model.TaskNeverSeen {
			proof = model.ProofTargetFenced
		}
		r.excludedWorkers = appendExcluded(r.excludedWorkers, u.Worker)
		t.handleNotStarted(now, r, task, proof, u.Reason)
	case event.AttemptUncertain:
		t.handleUncertain(now, r, task, u)
	}
}

// markRunning records that the latest attempt of a task runs, and stops it if
// the request is cancelled or settled.
func (t *Table) markRunning(now time.Time, from model.InstanceID, r *request, task *task, u event.AttemptUpdate) {
	r.attemptMayHaveRun = true
	task.worker, task.owner = u.Worker, from
	t.dequeueTask(r, task)
	if task.state != taskRunning {
		r.addHistory(now, u.Report.Attempt, u.Worker, "running", u.Reason)
		t.traceTask(event.TraceStarted, r, task, u.Reason)
	}
	task.state = taskRunning
	task.fenceAt, task.fencingDeadline = time.Time{}, time.Time{}
	t.scheduleCheck(now, r, task)
	if r.cancelled || r.outcome != nil && !r.outcomePending {
		t.stopTask(r, task)
		return
	}
	t.answerServiceWaiters(r)
}

// dequeueTask removes a waiting task from the queue, either because it is
// cancelled or because a worker reports it after recovery has enqueued it.
// The single item of a gang is kept while other tasks of the gang wait.
func (t *Table) dequeueTask(r *request, task *task) {
	if task.state != taskWaiting {
		return
	}
	index := task.index
	if r.spec.Gang {
		if waiting, _ := r.waitingTasks(); len(waiting) > 1 {
			return
		}
		index = 0
	}
	t.opts.Queue.Remove(r.spec.ID, index)
}

// answerServiceWaiters answers the waiters of a service once all of its tasks
// run. Waiters for a cancellation keep waiting.
func (t *Table) answerServiceWaiters(r *request) {
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
		w.SendOutcome(t.opts.Emit, r.currentOutcome())
	}
	r.waiters = kept
}

// handleFinished handles the result of the latest attempt of a task.
func (t *Table) handleFinished(now time.Time, from model.InstanceID, r *request, task *task, u event.AttemptUpdate) {
	task.worker, task.owner = u.Worker, from
	task.fenceAt, task.fencingDeadline = time.Time{}, time.Time{}
	r.attemptMayHaveRun = true
	t.dequeueTask(r, task)
	t.traceTask(event.TraceFinished, r, task, resultDetail(u))
	r.addHistory(now, u.Report.Attempt, u.Worker, "finished", resultDetail(u))
	switch {
	case u.Report.State == model.TaskStopped && (r.cancelled || r.outcome != nil):
		t.acknowledgeResult(from, u)
		t.endCancelledTask(now, r, task)
	case u.Report.State == model.TaskStopped:
		t.acknowledgeResult(from, u)
		t.handleStopped(now, r, task)
	case r.spec.Kind == model.KindService:
		t.acknowledgeResult(from, u)
		task.failures++
		t.requeueTask(now, r, task, admission.Backoff(task.failures+1, t.opts.Random()))
	case u.Report.Result.Succeeded:
		t.handleSucceeded(now, from, r, task, u)
	default:
		t.handleFailed(now, from, r, task, u)
	}
}

// handleStopped handles an attempt that was preempted. A task that must run
// at most once is not started again, because its first attempt has run in
// part.
func (t *Table) handleStopped(now time.Time, r *request, task *task) {
	if r.atMostOnce() {
		r.failureMessage = "the attempt was stopped"
		t.settleRequest(now, r, model.Outcome{Status: model.StatusFailed, Reason: r.failureMessage, Worker: task.worker, Attempt: task.attemptID(r.spec.ID)})
		return
	}
	t.traceTask(event.TracePreempted, r, task, "waits for another start")
	t.requeueTask(now, r, task, t.jitter(remoteRetryDelay))
}

// handleSucceeded records the result of a task. With the last task the
// request is settled.
func (t *Table) handleSucceeded(now time.Time, from model.InstanceID, r *request, task *task, u event.AttemptUpdate) {
	result := u.Report.Result
	task.state = taskDone
	task.result = &result
	task.worker, task.owner = u.Worker, from
	task.attemptNumber = u.Report.Attempt.Number
	r.openTasks--
	if r.openTasks > 0 {
		t.journalTaskResult(now, r, task)
		return
	}
	if r.cancelled && len(r.tasks) > 1 {
		t.settleRequest(now, r, model.Outcome{Status: model.StatusCancelled, Reason: "some tasks had finished"})
		return
	}
	t.settleRequest(now, r, t.combineOutcomes(r))
}

// journalTaskResult journals the result of one of several tasks that run at
// most once, so that a takeover does not have to query the worker for it.
func (t *Table) journalTaskResult(now time.Time, r *request, task *task) {
	if !r.atMostOnce() {
		return
	}
	r.partition.journal.Append(now, requestjournal.Record{
		Kind:    requestjournal.RecordTaskResult,
		At:      now,
		ID:      r.spec.ID,
		Attempt: task.attemptID(r.spec.ID),
		Result:  task.result,
	})
}

// handleFailed retries a failed task if it may run again, and otherwise
// settles its request.
func (t *Table) handleFailed(now time.Time, from model.InstanceID, r *request, task *task, u event.AttemptUpdate) {
	task.failures++
	r.failureMessage = u.Report.Result.Message
	r.excludedWorkers = appendExcluded(r.excludedWorkers, u.Worker)
	retry := !r.atMostOnce() && !r.cancelled && task.failures < maxTaskFailures && now.Before(r.spec.Deadline)
	if retry && t.opts.RetryBudget.AllowRetry(now) {
		t.acknowledgeResult(from, u)
		t.traceTask(event.TraceRetry, r, task, r.failureMessage)
		t.requeueTask(now, r, task, admission.Backoff(task.attemptCount+1, t.opts.Random()))
		return
	}
	result := u.Report.Result
	task.state = taskDone
	task.result = &result
	r.openTasks--
	t.settleRequest(now, r, taskOutcome(u.Report.Attempt, u.Worker, &result))
}

// handleNotStarted enqueues a task whose attempt is proved not to have run.
// For a task that must run at most once it also journals that.
func (t *Table) handleNotStarted(now time.Time, r *request, task *task, proof model.Proof, reason string) {
	t.traceTask(event.TraceRefused, r, task, reason)
	r.addHistory(now, task.attemptID(r.spec.ID), task.worker, "not started", reason)
	r.notRunProof = proof
	task.fenceAt, task.fencingDeadline = time.Time{}, time.Time{}
	if r.atMostOnce() && proof != model.ProofNone {
		r.partition.journal.Append(now, requestjournal.Record{
			Kind:    requestjournal.RecordTaskResult,
			At:      now,
			ID:      r.spec.ID,
			Attempt: task.attemptID(r.spec.ID),
		})
	}
	if res, ok := t.reservationOf(r, task); ok {
		t.dropReservation(now, res, true)
	}
	t.requeueTask(now, r, task, admission.Backoff(task.attemptCount+1, t.opts.Random()))
}

// handleUncertain handles an attempt whose state is not known. An ephemeral
// request is retried elsewhere; the attempt of a journaled one is fenced
// first.
func (t *Table) handleUncertain(now time.Time, r *request, task *task, u event.AttemptUpdate) {
	r.attemptMayHaveRun = true
	r.addHistory(now, u.Report.Attempt, u.Worker, "uncertain", u.Reason)
	if r.partition == nil {
		t.retryEphemeral(now, r, task, u.Worker)
		return
	}
	if u.Report.State == model.TaskLost {
		t.handleLost(now, r, task)
		return
	}
	t.startFencing(now, r, task)
}

// retryEphemeral retries an ephemeral request although its earlier attempt
// may still run. If the retry budget is used up, it waits for a late answer
// until the deadline.
func (t *Table) retryEphemeral(now time.Time, r *request, task *task, w model.WorkerID) {
	r.excludedWorkers = appendExcluded(r.excludedWorkers, w)
	r.hasAbandonedAttempt = true
	if !t.opts.RetryBudget.AllowRetry(now) {
		task.state = taskFencing
		task.fencingDeadline = r.spec.Deadline
		t.scheduleCheck(now, r, task)
		return
	}
	t.traceTask(event.TraceRetry, r, task, "the earlier attempt is uncertain")
	t.requeueTask(now, r, task, 0)
}

// startFencing fences an attempt whose state is unknown until it is known or
// fencingTimeout has passed.
func (t *Table) startFencing(now time.Time, r *request, task *task) {
	if task.state == taskFencing && !task.fencingDeadline.IsZero() {
		return
	}
	task.state = taskFencing
	task.fenceAt = now
	task.fencingDeadline = now.Add(fencingTimeout)
	t.scheduleCheck(now, r, task)
}

// handleLost handles an attempt whose worker has restarted and has no record
// of it.
func (t *Table) handleLost(now time.Time, r *request, task *task) {
	r.attemptMayHaveRun = true
	if r.outcome != nil {
		t.endSettledTask(r, task)
		return
	}
	if r.atMostOnce() {
		t.settleRequest(now, r, model.Outcome{
			Status:  model.StatusUnknown,
			Reason:  "the worker restarted and cannot tell whether the request ran",
			Worker:  task.worker,
			Attempt: task.attemptID(r.spec.ID),
		})
		return
	}
	t.traceTask(event.TraceRetry, r, task, "the worker restarted")
	t.requeueTask(now, r, task, t.jitter(remoteRetryDelay))
}

// HandleFenceReply handles the answer of a worker to a fence, which the owner
// of the worker passes on.
func (t *Table) HandleFenceReply(now time.Time, from model.InstanceID, m event.FenceReply) {
	a := m.Report.Attempt
	r, ok := t.requests[a.Request]
	if !ok || !m.Reachable {
		return
	}
	task := r.taskOf(a)
	if task == nil || task.attemptNumber != a.Number || task.state == taskDone || task.state == taskWaiting {
		return
	}
	u := event.AttemptUpdate{Worker: m.Worker, Report: m.Report}
	if r.outcome != nil && !r.outcomePending {
		u.State = event.AttemptFinished
		switch m.Report.State {
		case model.TaskRunning:
			u.State = event.AttemptStarted
		case model.TaskNeverSeen:
			u.State = event.AttemptRefused
		case model.TaskLost:
			u.State = event.AttemptUncertain
		}
		t.handleSettledUpdate(now, from, r, task, u)
		return
	}
	switch m.Report.State {
	case model.TaskRunning:
		u.State = event.AttemptStarted
		t.markRunning(now, from, r, task, u)
	case model.TaskFinished, model.TaskStopped:
		u.State = event.AttemptFinished
		t.handleFinished(now, from, r, task, u)
	case model.TaskNeverSeen:
		t.handleNotStarted(now, r, task, model.ProofTargetFenced, "the worker never saw the attempt")
	case model.TaskLost:
		t.handleLost(now, r, task)
	}
}

// acknowledgeResult lets a worker drop the result of an attempt.
func (t *Table) acknowledgeResult(to model.InstanceID, u event.AttemptUpdate) {
	if to == t.opts.Self {
		t.opts.Leases.AcknowledgeAttempt(u.Worker, u.Report.Attempt)
		return
	}
	t.opts.Emit(event.SendPeer{To: to, Message: event.AttemptAck{Worker: u.Worker, Attempt: u.Report.Attempt}})
}

// stopTask stops the latest attempt of a task that was sent and may run.
func (t *Table) stopTask(r *request, task *task) {
	if task.state != taskRunning && task.state != taskSent && task.state != taskFencing {
		return
	}
	task.stopSent = true
	t.stopAttempt(task.owner, task.worker, task.attemptID(r.spec.ID), false)
}

// stopAttempt stops an attempt on a worker of this instance or of a peer.
func (t *Table) stopAttempt(owner model.InstanceID, w model.WorkerID, a model.Attempt, checkpoint bool) {
	if owner == t.opts.Self {
		t.opts.Leases.StopAttempt(w, a, checkpoint)
		return
	}
	t.opts.Emit(event.SendPeer{To: owner, Message: event.StopAttempt{Worker: w, Attempt: a, Checkpoint: checkpoint}})
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

// maxExcludedWorkers is the maximum number of workers that later attempts
// avoid.
const maxExcludedWorkers = 8

// appendExcluded adds a worker and drops the oldest one if the list is full.
func appendExcluded(list []model.WorkerID, w model.WorkerID) []model.WorkerID {
	if w == "" {
		return list
	}
	if len(list) == maxExcludedWorkers {
		list = append(list[:0:0], list[1:]...)
	}
	return append(list, w)
}
