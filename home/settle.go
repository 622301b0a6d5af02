package home

import (
	"time"

	"fuchsiacross/admission"
	"fuchsiacross/event"
	"fuchsiacross/model"
	"fuchsiacross/requestjournal"
)

// outcomeOf returns the outcome that one task's result amounts to.
func outcomeOf(a model.Attempt, w model.WorkerID, result *model.TaskResult) model.Outcome {
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

// combine returns the outcome of a request whose tasks have all succeeded. The
// answers of several tasks follow each other in the order of the tasks.
func (t *Table) combine(r *request) model.Outcome {
	last := &r.tasks[len(r.tasks)-1]
	if len(r.tasks) == 1 {
		return outcomeOf(last.attempt(r.spec.ID), last.worker, last.result)
	}
	o := model.Outcome{Status: model.StatusDone, Worker: last.worker, Attempt: last.attempt(r.spec.ID)}
	for i := range r.tasks {
		o.Answer = append(o.Answer, r.tasks[i].result.Answer...)
	}
	o.Digest = model.DigestOf(o.Answer)
	return o
}

// settle decides the outcome of a request. Whoever waits for a journaled one
// hears of it once it is committed.
func (t *Table) settle(now time.Time, r *request, o model.Outcome) {
	if r.outcome != nil {
		return
	}
	r.outcome = &o
	for i := range r.tasks {
		x := &r.tasks[i]
		t.o.Queue.Remove(r.spec.ID, x.index)
		t.stopTask(r, x)
		x.giveUpAt = now.Add(giveUpAfter)
		t.due.add(r, x, now.Add(silenceLimit))
	}
	t.dropGang(now, r)
	t.o.Index.ReleaseHolds(r.spec.ID)
	if r.partition == nil {
		t.published(now, r)
		return
	}
	r.settling = true
	r.partition.journal.Append(now, requestjournal.Record{Kind: requestjournal.RecordOutcome, At: now, ID: r.spec.ID, Outcome: r.outcome})
}

// published tells everybody who waits about an outcome that stands.
func (t *Table) published(now time.Time, r *request) {
	r.settling = false
	o := *r.outcome
	t.trace(event.TraceSettled, r, o.Status.String())
	t.Counters.Settled[o.Status]++
	for _, w := range r.waiters {
		w.SendOutcome(t.o.Emit, o)
	}
	r.waiters = nil
	for i := range r.tasks {
		x := &r.tasks[i]
		if x.state == taskDone && x.worker != "" {
			t.acknowledge(x.owner, event.AttemptUpdate{Worker: x.worker, Report: model.TaskReport{Attempt: x.attempt(r.spec.ID)}})
		}
	}
	delete(t.forwardedCalls, r.call)
	if r.partition != nil {
		t.forgetSettled(r)
		return
	}
	r.dropAt = now.Add(settledTime)
	t.settledEphemeral = append(t.settledEphemeral, r)
}

// forgetSettled drops a journaled request whose tasks have all ended; the
// journal answers for it. One whose tasks still run stays until they stop.
func (t *Table) forgetSettled(r *request) {
	for i := range r.tasks {
		switch r.tasks[i].state {
		case taskRunning, taskSent, taskFencing:
			return
		}
	}
	delete(t.requests, r.spec.ID)
}

// maxSettled bounds the outcomes of ephemeral requests that are kept.
const maxSettled = 10_000

func (t *Table) dropSettled(now time.Time) {
	n := 0
	for n < len(t.settledEphemeral) && (now.After(t.settledEphemeral[n].dropAt) || len(t.settledEphemeral)-n > maxSettled) {
		r := t.settledEphemeral[n]
		if t.requests[r.spec.ID] == r {
			delete(t.requests, r.spec.ID)
		}
		t.settledEphemeral[n] = nil
		n++
	}
	t.settledEphemeral = t.settledEphemeral[n:]
}

// expire settles a request that was not started by its deadline.
func (t *Table) expire(now time.Time, item *admission.Item) {
	r, ok := t.requests[item.Request.ID]
	if !ok || r.outcome != nil {
		return
	}
	if r.spec.Kind == model.KindService && r.started {
		t.push(now, r, item.TaskIndex, now)
		return
	}
	reason := "it could not be started before the deadline"
	if r.reason != "" {
		reason += ": " + r.reason
	}
	t.settle(now, r, t.verdict(r, reason))
}

// verdict is the truth about a request that will not be tried again: it was not
// run only if every attempt is proved not to have run.
func (t *Table) verdict(r *request, reason string) model.Outcome {
	switch {
	case !r.mayHaveRun():
		return notRun(reason, r.proof)
	case r.message != "":
		return model.Outcome{Status: model.StatusFailed, Reason: r.message}
	default:
		return model.Outcome{Status: model.StatusUnknown, Reason: "an earlier attempt may have run; " + reason}
	}
}

// Cancel cancels a request whose home is this instance. The first of
// cancellation, start and finish to arrive here wins, and the waiter hears
// which. It returns false when the request is not known here.
func (t *Table) Cancel(now time.Time, w Waiter, id model.RequestID) bool {
	r, ok := t.requests[id]
	if !ok {
		return t.AnswerStatus(w, id)
	}
	if r.outcome != nil && !r.settling {
		w.SendOutcome(t.o.Emit, *r.outcome)
		return true
	}
	r.addWaiter(w)
	if r.cancelled || r.outcome != nil {
		return true
	}
	r.cancelled = true
	t.trace(event.TraceCancelled, r, "")
	if !r.accepted {
		return true
	}
	t.cancelTasks(now, r)
	return true
}

func (t *Table) cancelTasks(now time.Time, r *request) {
	if r.gang != nil {
		t.dropGang(now, r)
	}
	for i := range r.tasks {
		x := &r.tasks[i]
		switch x.state {
		case taskWaiting, taskReserving:
			t.unqueue(r, x)
			t.finishCancelled(now, r, x)
		case taskSent, taskRunning, taskFencing:
			t.stopTask(r, x)
		}
	}
}

// finishCancelled ends a task that was cancelled before it finished. The
// request is settled with its last task.
func (t *Table) finishCancelled(now time.Time, r *request, x *task) {
	if x.state == taskDone {
		return
	}
	x.state = taskDone
	r.open--
	if r.outcome != nil {
		if !r.settling && r.partition != nil {
			t.forgetSettled(r)
		}
		return
	}
	if r.open > 0 {
		return
	}
	if r.astray {
		t.settle(now, r, model.Outcome{Status: model.StatusUnknown, Reason: "it was cancelled, but an earlier attempt may still run"})
		return
	}
	t.settle(now, r, model.Outcome{Status: model.StatusCancelled})
}
