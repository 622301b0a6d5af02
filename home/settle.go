package home

import (
	"time"

	"fuchsiacross/admission"
	"fuchsiacross/event"
	"fuchsiacross/model"
	"fuchsiacross/requestjournal"
)

// taskOutcome returns the outcome of a request that the result of one task
// decides.
func taskOutcome(a model.Attempt, w model.WorkerID, result *model.TaskResult) model.Outcome {
	o := model.Outcome{
		Status:  model.StatusDone,
		Answer:  result.Answer,
		Digest:  result.Digest,
		Worker:  w,
		Attempt: a,
	}
	if !result.Succeeded {
		o.Status = model.StatusFailed
		o.Reason = result.Message
	}
	return o
}

// combineOutcomes returns the outcome of a request whose tasks have all
// succeeded. The answers of several tasks are concatenated in the order of
// the tasks.
func (t *Table) combineOutcomes(r *request) model.Outcome {
	last := &r.tasks[len(r.tasks)-1]
	if len(r.tasks) == 1 {
		return taskOutcome(last.attemptID(r.spec.ID), last.worker, last.result)
	}
	o := model.Outcome{Status: model.StatusDone, Worker: last.worker, Attempt: last.attemptID(r.spec.ID)}
	for i := range r.tasks {
		o.Answer = append(o.Answer, r.tasks[i].result.Answer...)
	}
	o.Digest = model.DigestOf(o.Answer)
	return o
}

// settleRequest sets the outcome of a request and releases the capacity that is
// held for it. The outcome of a journaled request is published, and its tasks
// are stopped, once the outcome is committed: until then another instance may
// have claimed the partition and decided otherwise.
func (t *Table) settleRequest(now time.Time, r *request, o model.Outcome) {
	if r.outcome != nil {
		return
	}
	r.outcome = &o
	for i := range r.tasks {
		task := &r.tasks[i]
		t.opts.Queue.Remove(r.spec.ID, task.index)
	}
	t.releaseGang(now, r)
	t.opts.Index.ReleaseHolds(r.spec.ID)
	if r.partition == nil {
		t.publishOutcome(now, r)
		return
	}
	r.outcomePending = true
	r.partition.journal.Append(now, requestjournal.Record{Kind: requestjournal.RecordOutcome, At: now, ID: r.spec.ID, Outcome: r.outcome})
}

// publishOutcome sends a final outcome to all waiters, stops the tasks that still
// run and acknowledges the results of the finished ones, so that the workers can
// drop them.
func (t *Table) publishOutcome(now time.Time, r *request) {
	r.outcomePending = false
	o := *r.outcome
	t.traceRequest(event.TraceSettled, r, o.Status.String())
	t.Counters.Settled[o.Status]++
	for _, w := range r.waiters {
		w.SendOutcome(t.opts.Emit, o)
	}
	r.waiters = nil
	for i := range r.tasks {
		task := &r.tasks[i]
		t.stopTask(r, task)
		task.fencingDeadline = now.Add(fencingTimeout)
		t.dueTasks.add(r, task, now.Add(updateTimeout))
		if task.state == taskDone && task.worker != "" {
			t.acknowledgeResult(task.owner, event.AttemptUpdate{Worker: task.worker, Report: model.TaskReport{Attempt: task.attemptID(r.spec.ID)}})
		}
	}
	delete(t.forwardedCalls, r.forwardCall)
	if r.partition != nil {
		t.dropIfEnded(r)
		return
	}
	t.dropBody(r)
	r.dropAt = now.Add(settledRetention)
	t.settledEphemeral = append(t.settledEphemeral, r)
}

// dropIfEnded drops a settled journaled request if all of its tasks have
// ended; from then on it is answered from the journal. Otherwise the request
// is kept until its running tasks have stopped.
func (t *Table) dropIfEnded(r *request) {
	for i := range r.tasks {
		switch r.tasks[i].state {
		case taskRunning, taskSent, taskFencing:
			return
		}
	}
	t.removeRequest(r)
}

// maxSettledEphemeral is the maximum number of settled ephemeral requests
// kept.
const maxSettledEphemeral = 10_000

// dropSettledEphemeral drops settled ephemeral requests whose retention has
// passed, and the oldest ones beyond maxSettledEphemeral.
func (t *Table) dropSettledEphemeral(now time.Time) {
	n := 0
	for n < len(t.settledEphemeral) && (now.After(t.settledEphemeral[n].dropAt) || len(t.settledEphemeral)-n > maxSettledEphemeral) {
		r := t.settledEphemeral[n]
		if t.requests[r.spec.ID] == r {
			t.removeRequest(r)
		}
		t.settledEphemeral[n] = nil
		n++
	}
	t.settledEphemeral = t.settledEphemeral[n:]
}

// expireItem settles a request whose deadline has passed while it was in the
// queue. A service that has already started once is enqueued again instead.
func (t *Table) expireItem(now time.Time, item *admission.Item) {
	r, ok := t.requests[item.Request.ID]
	if !ok || r.outcome != nil {
		return
	}
	if r.spec.Kind == model.KindService && r.started {
		t.enqueueTask(now, r, item.TaskIndex, now)
		return
	}
	reason := "it could not be started before the deadline"
	if r.waitReason != "" {
		reason += ": " + r.waitReason
	}
	t.settleRequest(now, r, t.finalOutcome(r, reason))
}

// finalOutcome returns the outcome of a request that will not be tried again.
// It is StatusNotRun only if every attempt is proved not to have run.
func (t *Table) finalOutcome(r *request, reason string) model.Outcome {
	switch {
	case !r.mayHaveRun():
		return notRunOutcome(reason, r.notRunProof)
	case r.failureMessage != "":
		return model.Outcome{Status: model.StatusFailed, Reason: r.failureMessage}
	default:
		return model.Outcome{Status: model.StatusUnknown, Reason: "an earlier attempt may have run; " + reason}
	}
}

// Cancel cancels a request whose home is this instance. Among cancellation,
// start and finish, the first to arrive here wins, and the answer to the
// waiter says which one did. Cancel returns false, without an answer, if the
// request is not in memory and this instance does not hold its partition.
func (t *Table) Cancel(now time.Time, w Waiter, id model.RequestID) bool {
	r, ok := t.requests[id]
	if !ok {
		return t.AnswerStatus(now, w, id)
	}
	if r.outcome != nil && !r.outcomePending {
		w.SendOutcome(t.opts.Emit, *r.outcome)
		return true
	}
	r.addWaiter(w)
	if r.cancelled || r.outcome != nil {
		return true
	}
	r.cancelled = true
	t.traceRequest(event.TraceCancelled, r, "")
	if !r.accepted {
		return true
	}
	t.cancelTasks(now, r)
	return true
}

// cancelTasks ends the tasks that wait and stops those that were sent.
func (t *Table) cancelTasks(now time.Time, r *request) {
	if r.gang != nil {
		t.releaseGang(now, r)
	}
	for i := range r.tasks {
		task := &r.tasks[i]
		switch task.state {
		case taskWaiting, taskReserving:
			t.dequeueTask(r, task)
			t.endCancelledTask(now, r, task)
		case taskSent, taskRunning, taskFencing:
			t.stopTask(r, task)
		}
	}
}

// endCancelledTask ends a task that was cancelled before it finished. With
// the last task the request is settled.
func (t *Table) endCancelledTask(now time.Time, r *request, task *task) {
	if task.state == taskDone {
		return
	}
	task.state = taskDone
	r.openTasks--
	if r.outcome != nil {
		if !r.outcomePending && r.partition != nil {
			t.dropIfEnded(r)
		}
		return
	}
	if r.openTasks > 0 {
		return
	}
	if r.hasAbandonedAttempt {
		t.settleRequest(now, r, model.Outcome{Status: model.StatusUnknown, Reason: "it was cancelled, but an earlier attempt may still run"})
		return
	}
	t.settleRequest(now, r, model.Outcome{Status: model.StatusCancelled})
}
