package lease

import (
	"fmt"
	"slices"
	"time"

	"fuchsiacross/event"
	"fuchsiacross/model"
)

// attemptState is the state of an attempt at the instance that holds the
// lease of its worker.
type attemptState uint8

const (
	attemptReserved attemptState = iota + 1 // capacity is reserved, the start was not sent
	attemptSent                             // the start was sent and not answered
	attemptRunning
	attemptFinished // the final update awaits the home's acknowledgement
)

// attempt is one attempt to run a task on a worker whose lease this instance
// holds or held.
type attempt struct {
	id                model.Attempt
	worker            model.WorkerID
	workerIncarnation model.Incarnation // incarnation of the worker at the start
	request           *model.Request    // nil for an attempt that only the worker reported
	kind              model.Kind
	team              model.Team
	workload          model.Workload
	startedAt         time.Time
	chargedToQuota    bool            // the resources count towards the quota of the team
	resources         model.Resources // reserved on the worker
	state             attemptState
	report            model.TaskReport
	finalState        event.AttemptState // state sent in the final update
	reason            string             // reason sent in the final update
	resendAt          time.Time          // when the final update or the fence is sent again
	resultCallEnded   bool               // the call that was to return the result has ended without it
}

// isFinished reports whether the attempt waits for an acknowledgement of its
// final update.
func (a *attempt) isFinished() bool { return a.state == attemptFinished }

// hasRunnerCall reports whether the result is the answer to a call to the
// worker's runner, the process that serves requests. Such a call does not
// depend on the lease.
func (a *attempt) hasRunnerCall() bool {
	return a.kind == model.KindRequest && a.request != nil && a.state >= attemptSent
}

// isEphemeral reports whether the request is ephemeral, so that it is known
// to this instance only.
func (a *attempt) isEphemeral() bool {
	return a.request != nil && a.request.Durability() == model.Ephemeral
}

// grantDetail returns the detail of the trace of a granted lease.
func grantDetail(term model.Term, tasks int) string {
	return fmt.Sprintf("term %d, %d tasks", term, tasks)
}

// homeOf returns the home of the attempt's request, the instance that decides
// about it.
func (h *Holder) homeOf(a *attempt) model.InstanceID {
	if a.isEphemeral() {
		return h.opts.Self
	}
	return h.opts.HomeOf(a.id.Request)
}

// sendUpdate reports the state of an attempt to the home of its request.
func (h *Holder) sendUpdate(a *attempt, state event.AttemptState, report model.TaskReport, reason string) {
	h.opts.DeliverUpdate(h.homeOf(a), event.AttemptUpdate{Worker: a.worker, State: state, Report: report, Reason: reason})
}

// dropAttempt stops tracking an attempt and releases its resources. w is nil
// if the worker is no longer known.
func (h *Holder) dropAttempt(w *worker, a *attempt) {
	delete(h.attempts, a.id)
	if w != nil {
		delete(w.attempts, a.id)
	}
	h.releaseResources(a)
}

// releaseResources releases the resources of an attempt on its worker and in
// its team's quota.
func (h *Holder) releaseResources(a *attempt) {
	h.opts.Index.Release(a.id)
	if !a.chargedToQuota {
		return
	}
	a.chargedToQuota = false
	h.opts.Quota.Release(a.team, a.resources)
}

// chargeQuota counts the resources of an attempt towards its team's quota.
func (h *Holder) chargeQuota(a *attempt) {
	a.chargedToQuota = true
	h.opts.Quota.Charge(a.team, a.resources)
}

// trackAttempt adds an attempt to those of its worker.
func (h *Holder) trackAttempt(w *worker, a *attempt) {
	h.attempts[a.id] = a
	w.attempts[a.id] = a
}

// ReserveAttempt reserves resources for an attempt of a request whose home is
// this instance. It returns the worker's incarnation, or false if the
// worker's lease is not held or the resources are no longer free.
func (h *Holder) ReserveAttempt(id model.WorkerID, key model.Attempt, r *model.Request, resources model.Resources) (model.Incarnation, bool) {
	w, ok := h.workers[id]
	if !ok || !w.held || h.startsSuspended {
		return 0, false
	}
	if !h.opts.Index.Reserve(id, key, r, resources) {
		return 0, false
	}
	a := &attempt{
		id:                key,
		worker:            id,
		workerIncarnation: w.incarnation,
		request:           r,
		kind:              r.Kind,
		team:              r.Team,
		workload:          r.Workload,
		resources:         resources,
		state:             attemptReserved,
	}
	h.trackAttempt(w, a)
	h.chargeQuota(a)
	return w.incarnation, true
}

// IsEphemeral reports whether an attempt was started by this instance and
// belongs to an ephemeral request.
func (h *Holder) IsEphemeral(key model.Attempt) bool {
	a, ok := h.attempts[key]
	return ok && a.isEphemeral()
}

// IsTracked reports whether an attempt is known here.
func (h *Holder) IsTracked(key model.Attempt) bool {
	_, ok := h.attempts[key]
	return ok
}

// SetStartsSuspended suspends or resumes all reservations and starts.
func (h *Holder) SetStartsSuspended(suspended bool) { h.startsSuspended = suspended }

// ReleaseAttempt releases what ReserveAttempt has reserved. It does nothing
// once the start has been sent.
func (h *Holder) ReleaseAttempt(key model.Attempt) {
	a, ok := h.attempts[key]
	if !ok || a.state != attemptReserved {
		return
	}
	h.dropAttempt(h.workers[a.worker], a)
}

// StartAttempt sends the start of a reserved attempt. It returns false if the
// reservation was lost in the meantime or the worker must not start tasks
// now.
func (h *Holder) StartAttempt(key model.Attempt) bool {
	a, ok := h.attempts[key]
	if !ok || a.state != attemptReserved {
		return false
	}
	w := h.workers[a.worker]
	if h.startsSuspended || w.isDraining() {
		// The worker may have begun to drain while the intent was being committed.
		h.dropAttempt(w, a)
		return false
	}
	a.state = attemptSent
	h.opts.Emit(event.StartTask{
		Worker:   a.worker,
		Term:     w.term,
		Attempt:  key,
		Request:  a.request,
		Reserved: a.resources,
		AnswerBy: a.request.Deadline,
	})
	return true
}

// HandleTaskStarted handles a worker's report that it has started an attempt.
func (h *Holder) HandleTaskStarted(now time.Time, e event.TaskStarted) {
	a, ok := h.attempts[e.Attempt]
	if !ok || a.state > attemptSent {
		return
	}
	a.state = attemptRunning
	a.startedAt = now
	h.opts.Index.RecordStart(e.Worker, now)
	h.sendUpdate(a, event.AttemptStarted, model.TaskReport{Attempt: e.Attempt, State: model.TaskRunning}, "")
}

// HandleTaskFinished reports a result to the home of its request. A result
// that arrives again is reported again until the home acknowledges it.
func (h *Holder) HandleTaskFinished(now time.Time, e event.TaskFinished) {
	w, a := h.findOrTrack(e.Worker, e.Attempt)
	if a.isFinished() && a.finalState == event.AttemptFinished {
		h.sendFinalUpdate(now, a)
		return
	}
	switch {
	case e.Stopped:
	case e.Result.Succeeded:
		h.recordSuccess(now, w)
	default:
		h.recordFailure(now, e.Worker)
	}
	if e.Result.Succeeded && !a.startedAt.IsZero() {
		h.opts.Index.ObserveRunTime(a.team, a.workload, now.Sub(a.startedAt).Seconds())
	}
	report := model.TaskReport{
		Attempt:   e.Attempt,
		State:     model.TaskFinished,
		Resources: a.resources,
		Kind:      a.kind,
		Result:    e.Result,
	}
	if e.Stopped {
		report.State = model.TaskStopped
	}
	h.finishAttempt(now, w, a, event.AttemptFinished, report, "")
}

// recordSuccess counts a success of a worker, which may end its quarantine.
func (h *Holder) recordSuccess(now time.Time, w *worker) {
	quarantined, _ := h.opts.Index.RecordSuccess(w.ID, now)
	w.quarantined = quarantined
}

// recordFailure counts a failure of a worker, which may quarantine it: a
// quarantined worker is only probed with single idempotent tasks until one
// succeeds.
func (h *Holder) recordFailure(now time.Time, id model.WorkerID) {
	quarantined, changed := h.opts.Index.RecordFailure(id, now)
	if w, ok := h.workers[id]; ok {
		w.quarantined = quarantined
	}
	if !changed {
		return
	}
	h.opts.Emit(event.Trace{Kind: event.TraceQuarantined, Worker: id, Detail: "failed what it started"})
}

// HandleStartRefused handles a worker's answer that it has not started an
// attempt and will not start it.
func (h *Holder) HandleStartRefused(now time.Time, e event.StartRefused) {
	a, ok := h.attempts[e.Attempt]
	if !ok || a.state >= attemptRunning {
		return
	}
	h.finishAttempt(now, h.workers[a.worker], a, event.AttemptRefused, model.TaskReport{Attempt: e.Attempt}, e.Reason)
}

// HandleStartUncertain handles the loss of the answer to a start. If the
// lease is still held, the resources stay reserved until the worker has
// reported the state of the attempt.
func (h *Holder) HandleStartUncertain(now time.Time, e event.StartUncertain) {
	a, ok := h.attempts[e.Attempt]
	if !ok || a.isFinished() {
		return
	}
	h.opts.Emit(event.Trace{
		Kind:    event.TraceUncertain,
		Request: e.Attempt.Request,
		Attempt: e.Attempt,
		Worker:  e.Worker,
		Detail:  e.Reason,
	})
	if w := h.workers[a.worker]; !w.held {
		h.dropAttempt(w, a)
		h.sendUpdate(a, event.AttemptUncertain, model.TaskReport{Attempt: e.Attempt}, e.Reason)
		return
	}
	a.resultCallEnded = true
	a.resendAt = now.Add(resultQueryInterval)
	h.FenceAttempt(now, h.opts.Self, a.worker, a.workerIncarnation, e.Attempt)
	h.sendUpdate(a, event.AttemptUncertain, model.TaskReport{Attempt: e.Attempt}, e.Reason)
}

// findOrTrack returns a tracked attempt and its worker, and starts to track
// an attempt that only the worker reported.
func (h *Holder) findOrTrack(id model.WorkerID, key model.Attempt) (*worker, *attempt) {
	w, ok := h.workers[id]
	if !ok {
		w = &worker{Worker: model.Worker{ID: id}, attempts: map[model.Attempt]*attempt{}}
		h.workers[id] = w
	}
	a, ok := h.attempts[key]
	if ok && a.worker != id && a.state == attemptReserved {
		// Another instance has made the attempt that this one had reserved room for.
		h.dropAttempt(h.workers[a.worker], a)
		ok = false
	}
	if !ok {
		a = &attempt{id: key, worker: id, workerIncarnation: w.incarnation, state: attemptRunning}
		h.trackAttempt(w, a)
	}
	return w, a
}

// adoptReported tracks an attempt that a worker reports when it grants its
// lease.
func (h *Holder) adoptReported(now time.Time, w *worker, report model.TaskReport) {
	_, a := h.findOrTrack(w.ID, report.Attempt)
	a.workerIncarnation = w.incarnation
	if report.State == model.TaskRunning {
		a.state = attemptRunning
		h.reserveReported(w, a, report)
		h.sendUpdate(a, event.AttemptStarted, report, "found at the worker")
		return
	}
	h.finishAttempt(now, w, a, event.AttemptFinished, report, "")
}

// reserveReported reserves the resources of an attempt that a worker
// reported.
func (h *Holder) reserveReported(w *worker, a *attempt, report model.TaskReport) {
	h.releaseResources(a)
	a.kind, a.team, a.workload = report.Kind, report.Team, report.Workload
	a.resources = report.Resources
	a.startedAt = report.StartedAt
	h.opts.Index.AddRunningAttempt(w.ID, report)
	h.chargeQuota(a)
}

// finishAttempt releases the resources of an attempt and reports its final
// state. A result is reported again until the home acknowledges it.
func (h *Holder) finishAttempt(now time.Time, w *worker, a *attempt, state event.AttemptState, report model.TaskReport, reason string) {
	h.releaseResources(a)
	a.state = attemptFinished
	a.finalState = state
	a.report = report
	a.reason = reason
	if state != event.AttemptFinished {
		// Only results need an acknowledgement: the worker keeps them until then.
		delete(h.attempts, a.id)
		delete(w.attempts, a.id)
		h.sendUpdate(a, state, report, reason)
		return
	}
	h.sendFinalUpdate(now, a)
}

// sendFinalUpdate sends the final update and schedules its repetition.
func (h *Holder) sendFinalUpdate(now time.Time, a *attempt) {
	a.resendAt = now.Add(updateResendInterval)
	h.sendUpdate(a, a.finalState, a.report, a.reason)
}

// AcknowledgeAttempt drops a finished attempt whose result the home has
// recorded, and lets the worker drop it.
func (h *Holder) AcknowledgeAttempt(id model.WorkerID, key model.Attempt) {
	h.opts.Emit(event.AcknowledgeTask{Worker: id, Attempt: key})
	a, ok := h.attempts[key]
	if !ok || !a.isFinished() {
		return
	}
	h.dropAttempt(h.workers[a.worker], a)
}

// StopAttempt makes a worker stop an attempt. It returns false if this
// instance does not hold the worker's lease.
func (h *Holder) StopAttempt(id model.WorkerID, key model.Attempt, checkpoint bool) bool {
	w, ok := h.workers[id]
	if !ok || !w.held {
		return false
	}
	h.opts.Emit(event.StopTask{Worker: id, Term: w.term, Attempt: key, Checkpoint: checkpoint})
	return true
}

// resendDue sends unacknowledged results and unanswered fences again. Updates
// that are not results are not repeated: the home fences the attempt if it
// receives no update. Only the attempts that are due are sorted, since almost
// all attempts run and are not due.
func (h *Holder) resendDue(now time.Time) {
	var due []*attempt
	for _, a := range h.attempts {
		if !now.Before(a.resendAt) && (a.isFinished() || a.resultCallEnded) {
			due = append(due, a)
		}
	}
	slices.SortFunc(due, func(a, b *attempt) int { return compareAttempts(a.id, b.id) })
	for _, a := range due {
		switch {
		case a.isFinished():
			h.sendFinalUpdate(now, a)
		case a.resultCallEnded && h.workers[a.worker].held:
			a.resendAt = now.Add(resultQueryInterval)
			h.FenceAttempt(now, h.opts.Self, a.worker, a.workerIncarnation, a.id)
		}
	}
	h.resendFences(now)
}

// HandleWorkerUsage records a worker's report of the resources that its
// attempts use. Such reports lag.
func (h *Holder) HandleWorkerUsage(e event.WorkerUsage) {
	for _, u := range e.Usage {
		if a, ok := h.attempts[u.Attempt]; ok && a.request != nil {
			h.opts.Index.ObserveUsage(a.team, a.workload, a.request.Resources, u.Used)
		}
	}
}

// RunningAttempts lists the attempts on this instance's workers that belong
// to a partition, including finished ones that are not acknowledged, for an
// instance that has just claimed the partition. Ephemeral requests and
// attempts that were not sent are left out.
func (h *Holder) RunningAttempts(inPartition func(model.RequestID) bool) []event.AttemptUpdate {
	var updates []event.AttemptUpdate
	for _, a := range sortedAttempts(h.attempts) {
		key := a.id
		if a.state == attemptReserved || a.isEphemeral() || !inPartition(key.Request) {
			continue
		}
		u := event.AttemptUpdate{Worker: a.worker, State: event.AttemptStarted, Report: a.report, Reason: a.reason}
		u.Report.Attempt = key
		if a.isFinished() {
			u.State = a.finalState
		}
		updates = append(updates, u)
	}
	return updates
}
