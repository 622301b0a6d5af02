package lease

import (
	"fmt"
	"slices"
	"time"

	"fuchsiacross/event"
	"fuchsiacross/model"
)

type attemptState uint8

const (
	attemptReserved attemptState = iota + 1 // room is held, nothing was sent
	attemptSent                             // the start was sent and not answered
	attemptRunning
	attemptFinished // the final update awaits the home's acknowledgement
)

// attempt is one attempt on a worker whose lease this instance holds or held.
type attempt struct {
	id       model.Attempt
	worker   model.WorkerID
	life     model.Incarnation // of the worker at the start
	request  *model.Request    // nil for an attempt found at the worker
	kind     model.Kind
	team     model.Team
	workload model.Workload
	started  time.Time
	charged  bool // the team's usage counts the amount
	amount   model.Resources
	state    attemptState
	report   model.TaskReport
	outcome  event.AttemptState // when finished
	reason   string
	repeatAt time.Time // of the final update or of the fence
	unheard  bool      // the call that would bring the result is over
}

func (a *attempt) final() bool { return a.state == attemptFinished }

func (a *attempt) viaRunner() bool {
	return a.kind == model.KindRequest && a.request != nil && a.state >= attemptSent
}

// ephemeral reports whether only this instance knows the request.
func (a *attempt) ephemeral() bool {
	return a.request != nil && a.request.Durability() == model.Ephemeral
}

func termDetail(term model.Term, tasks int) string {
	return fmt.Sprintf("term %d, %d tasks", term, tasks)
}

// home returns the instance that decides about the attempt's request.
func (h *Holder) home(a *attempt) model.InstanceID {
	if a.ephemeral() {
		return h.o.Self
	}
	return h.o.HomeOf(a.id.Request)
}

func (h *Holder) tell(a *attempt, state event.AttemptState, report model.TaskReport, reason string) {
	h.o.DeliverUpdate(h.home(a), event.AttemptUpdate{Worker: a.worker, State: state, Report: report, Reason: reason})
}

func (h *Holder) forget(w *worker, a *attempt) {
	delete(h.attempts, a.id)
	if w != nil {
		delete(w.attempts, a.id)
	}
	h.free(a)
}

// free gives back the room of an attempt.
func (h *Holder) free(a *attempt) {
	h.o.Index.Release(a.id)
	if !a.charged {
		return
	}
	a.charged = false
	h.o.Quota.Release(a.team, a.amount)
}

// charge counts the room of an attempt for its team.
func (h *Holder) charge(a *attempt) {
	a.charged = true
	h.o.Quota.Charge(a.team, a.amount)
}

func (h *Holder) track(w *worker, a *attempt) {
	h.attempts[a.id] = a
	w.attempts[a.id] = a
}

// Reserve holds room for an attempt of a request whose home is this instance.
// It returns the worker's incarnation, or false when the room is gone.
func (h *Holder) ReserveAttempt(id model.WorkerID, key model.Attempt, r *model.Request, amount model.Resources) (model.Incarnation, bool) {
	w, ok := h.workers[id]
	if !ok || !w.held || h.holding {
		return 0, false
	}
	if !h.o.Index.Reserve(id, key, r, amount) {
		return 0, false
	}
	a := &attempt{
		id:       key,
		worker:   id,
		life:     w.life,
		request:  r,
		kind:     r.Kind,
		team:     r.Team,
		workload: r.Workload,
		amount:   amount,
		state:    attemptReserved,
	}
	h.track(w, a)
	h.charge(a)
	return w.life, true
}

// Ephemeral reports whether an attempt is one of an ephemeral request that this
// instance started.
func (h *Holder) IsEphemeral(key model.Attempt) bool {
	a, ok := h.attempts[key]
	return ok && a.ephemeral()
}

// Tracks reports whether an attempt is known here.
func (h *Holder) IsTracked(key model.Attempt) bool {
	_, ok := h.attempts[key]
	return ok
}

// SetHold makes the holder place and start nothing for a while.
func (h *Holder) SetStartsSuspended(hold bool) { h.holding = hold }

// Release gives back room that Reserve holds. It does nothing once the start
// has been sent.
func (h *Holder) ReleaseAttempt(key model.Attempt) {
	a, ok := h.attempts[key]
	if !ok || a.state != attemptReserved {
		return
	}
	h.forget(h.workers[a.worker], a)
}

// Start sends the start of a reserved attempt. It returns false when the room
// was lost in the meantime.
func (h *Holder) StartAttempt(key model.Attempt) bool {
	a, ok := h.attempts[key]
	if !ok || a.state != attemptReserved {
		return false
	}
	w := h.workers[a.worker]
	if h.holding || w.draining() {
		// The worker may have been named as leaving while the intent was
		// committed.
		h.forget(w, a)
		return false
	}
	a.state = attemptSent
	h.o.Emit(event.StartTask{
		Worker:   a.worker,
		Term:     w.term,
		Attempt:  key,
		Request:  a.request,
		Reserved: a.amount,
		AnswerBy: a.request.Deadline,
	})
	return true
}

// Started notes that a worker runs an attempt.
func (h *Holder) HandleTaskStarted(now time.Time, e event.TaskStarted) {
	a, ok := h.attempts[e.Attempt]
	if !ok || a.state > attemptSent {
		return
	}
	a.state = attemptRunning
	a.started = now
	h.o.Index.RecordStart(e.Worker, now)
	h.tell(a, event.AttemptStarted, model.TaskReport{Attempt: e.Attempt, State: model.TaskRunning}, "")
}

// Finished passes a result to the home. A result that arrives again is passed
// on again until the home acknowledges it.
func (h *Holder) HandleTaskFinished(now time.Time, e event.TaskFinished) {
	w, a := h.find(e.Worker, e.Attempt)
	if a.final() && a.outcome == event.AttemptFinished {
		h.announce(now, a)
		return
	}
	switch {
	case e.Stopped:
	case e.Result.Succeeded:
		h.noteSuccess(now, w)
	default:
		h.noteFailure(now, e.Worker)
	}
	if e.Result.Succeeded && !a.started.IsZero() {
		h.o.Index.ObserveRunTime(a.team, a.workload, now.Sub(a.started).Seconds())
	}
	report := model.TaskReport{
		Attempt:   e.Attempt,
		State:     model.TaskFinished,
		Resources: a.amount,
		Kind:      a.kind,
		Result:    e.Result,
	}
	if e.Stopped {
		report.State = model.TaskStopped
	}
	h.finish(now, w, a, event.AttemptFinished, report, "")
}

func (h *Holder) noteSuccess(now time.Time, w *worker) {
	quarantined, _ := h.o.Index.RecordSuccess(w.ID, now)
	w.quarantined = quarantined
}

func (h *Holder) noteFailure(now time.Time, id model.WorkerID) {
	quarantined, changed := h.o.Index.RecordFailure(id, now)
	if w, ok := h.workers[id]; ok {
		w.quarantined = quarantined
	}
	if !changed {
		return
	}
	h.o.Emit(event.Trace{Kind: event.TraceQuarantined, Worker: id, Detail: "failed what it started"})
}

// Refused passes on that a worker did not and will not start an attempt.
func (h *Holder) HandleStartRefused(now time.Time, e event.StartRefused) {
	a, ok := h.attempts[e.Attempt]
	if !ok || a.state >= attemptRunning {
		return
	}
	h.finish(now, h.workers[a.worker], a, event.AttemptRefused, model.TaskReport{Attempt: e.Attempt}, e.Reason)
}

// Uncertain notes that the answer to a start was lost. The room stays reserved
// until the worker accounts for the attempt.
func (h *Holder) HandleStartUncertain(now time.Time, e event.StartUncertain) {
	a, ok := h.attempts[e.Attempt]
	if !ok || a.final() {
		return
	}
	h.o.Emit(event.Trace{
		Kind:    event.TraceUncertain,
		Request: e.Attempt.Request,
		Attempt: e.Attempt,
		Worker:  e.Worker,
		Detail:  e.Reason,
	})
	if w := h.workers[a.worker]; !w.held {
		h.forget(w, a)
		h.tell(a, event.AttemptUncertain, model.TaskReport{Attempt: e.Attempt}, e.Reason)
		return
	}
	a.unheard = true
	a.repeatAt = now.Add(unheardRetry)
	h.FenceAttempt(now, h.o.Self, a.worker, a.life, e.Attempt)
	h.tell(a, event.AttemptUncertain, model.TaskReport{Attempt: e.Attempt}, e.Reason)
}

// find returns a tracked attempt, or starts to track one that was found at the
// worker.
func (h *Holder) find(id model.WorkerID, key model.Attempt) (*worker, *attempt) {
	w, ok := h.workers[id]
	if !ok {
		w = &worker{Worker: model.Worker{ID: id}, attempts: map[model.Attempt]*attempt{}}
		h.workers[id] = w
	}
	a, ok := h.attempts[key]
	if !ok {
		a = &attempt{id: key, worker: id, life: w.life, state: attemptRunning}
		h.track(w, a)
	}
	return w, a
}

// adopt takes over an attempt that a worker reports in a grant.
func (h *Holder) adopt(now time.Time, w *worker, report model.TaskReport) {
	_, a := h.find(w.ID, report.Attempt)
	a.life = w.life
	if report.State == model.TaskRunning {
		a.state = attemptRunning
		h.hold(w, a, report)
		h.tell(a, event.AttemptStarted, report, "found at the worker")
		return
	}
	h.finish(now, w, a, event.AttemptFinished, report, "")
}

// hold counts the room of an attempt that was found at a worker.
func (h *Holder) hold(w *worker, a *attempt, report model.TaskReport) {
	h.free(a)
	a.kind, a.team, a.workload = report.Kind, report.Team, report.Workload
	a.amount = report.Resources
	a.started = report.StartedAt
	h.o.Index.AddRunningAttempt(w.ID, report)
	h.charge(a)
}

// finish releases the room and passes the final state on until it is
// acknowledged.
func (h *Holder) finish(now time.Time, w *worker, a *attempt, state event.AttemptState, report model.TaskReport, reason string) {
	h.free(a)
	a.state = attemptFinished
	a.outcome = state
	a.report = report
	a.reason = reason
	if state != event.AttemptFinished {
		// Only a result is held by the worker until it is acknowledged.
		delete(h.attempts, a.id)
		delete(w.attempts, a.id)
		h.tell(a, state, report, reason)
		return
	}
	h.announce(now, a)
}

func (h *Holder) announce(now time.Time, a *attempt) {
	a.repeatAt = now.Add(updateRetry)
	h.tell(a, a.outcome, a.report, a.reason)
}

// Acknowledge forgets a finished attempt whose result the home has recorded.
func (h *Holder) AcknowledgeAttempt(id model.WorkerID, key model.Attempt) {
	h.o.Emit(event.AcknowledgeTask{Worker: id, Attempt: key})
	a, ok := h.attempts[key]
	if !ok || !a.final() {
		return
	}
	h.forget(h.workers[a.worker], a)
}

// Stop asks a worker to stop an attempt. It returns false when this instance
// does not hold the worker's lease.
func (h *Holder) StopAttempt(id model.WorkerID, key model.Attempt, checkpoint bool) bool {
	w, ok := h.workers[id]
	if !ok || !w.held {
		return false
	}
	h.o.Emit(event.StopTask{Worker: id, Term: w.term, Attempt: key, Checkpoint: checkpoint})
	return true
}

// repeat sends unacknowledged results again. Updates that are not results are
// not repeated: their home fences the attempt when it hears nothing. Only what
// is due is put in order, since almost all attempts run and nothing is due.
func (h *Holder) repeat(now time.Time) {
	var due []*attempt
	for _, a := range h.attempts {
		if !now.Before(a.repeatAt) && (a.final() || a.unheard) {
			due = append(due, a)
		}
	}
	slices.SortFunc(due, func(a, b *attempt) int { return compareAttempts(a.id, b.id) })
	for _, a := range due {
		switch {
		case a.final():
			h.announce(now, a)
		case a.unheard && h.workers[a.worker].held:
			a.repeatAt = now.Add(unheardRetry)
			h.FenceAttempt(now, h.o.Self, a.worker, a.life, a.id)
		}
	}
	h.repeatFences(now)
}

// Usage takes a worker's lagging reports of what its attempts use.
func (h *Holder) HandleWorkerUsage(e event.WorkerUsage) {
	for _, u := range e.Usage {
		if a, ok := h.attempts[u.Attempt]; ok && a.request != nil {
			h.o.Index.ObserveUsage(a.team, a.workload, a.request.Resources, u.Used)
		}
	}
}

// Running lists the attempts of a partition's requests on this instance's
// workers, for a home that has just claimed the partition.
func (h *Holder) RunningAttempts(belongs func(model.RequestID) bool) []event.AttemptUpdate {
	var updates []event.AttemptUpdate
	for _, a := range sortedAttempts(h.attempts) {
		key := a.id
		if a.state == attemptReserved || a.ephemeral() || !belongs(key.Request) {
			continue
		}
		u := event.AttemptUpdate{Worker: a.worker, State: event.AttemptStarted, Report: a.report, Reason: a.reason}
		u.Report.Attempt = key
		if a.final() {
			u.State = a.outcome
		}
		updates = append(updates, u)
	}
	return updates
}
