package lease

import (
	"maps"
	"slices"
	"time"

	"fuchsiacross/event"
	"fuchsiacross/model"
)

// pendingFence is an unanswered query to a worker about the state of an
// attempt.
type pendingFence struct {
	worker     model.WorkerID
	requesters []fenceRequester
	resendAt   time.Time // when the query is sent again
}

// fenceRequester is an instance that waits for the answer to a fence.
type fenceRequester struct {
	instance          model.InstanceID
	workerIncarnation model.Incarnation // incarnation of the worker when the attempt was sent to it
}

// FenceAttempt queries the state of an attempt from its worker and fences the
// attempt: a worker that has not received the attempt refuses it from then
// on. The answer is delivered through Options.DeliverFenceReply; it is not
// Reachable if this instance does not hold the worker's lease.
func (h *Holder) FenceAttempt(now time.Time, requester model.InstanceID, id model.WorkerID, incarnation model.Incarnation, key model.Attempt) {
	w, ok := h.workers[id]
	if !ok || !w.held {
		h.opts.DeliverFenceReply(requester, event.FenceReply{Worker: id, Report: model.TaskReport{Attempt: key}})
		return
	}
	if a, ok := h.attempts[key]; ok && a.isFinished() {
		h.opts.DeliverFenceReply(requester, event.FenceReply{Worker: id, Reachable: true, Report: a.report})
		return
	}
	f, ok := h.fences[key]
	if !ok {
		f = &pendingFence{worker: id}
		h.fences[key] = f
	}
	f.addRequester(fenceRequester{instance: requester, workerIncarnation: incarnation})
	if now.Before(f.resendAt) {
		return
	}
	f.resendAt = now.Add(fenceResendInterval)
	h.opts.Emit(event.FenceAttempt{Worker: id, Attempt: key})
}

// addRequester adds an instance that waits for the answer, or replaces its
// earlier query.
func (f *pendingFence) addRequester(requester fenceRequester) {
	for i := range f.requesters {
		if f.requesters[i].instance == requester.instance {
			f.requesters[i] = requester
			return
		}
	}
	f.requesters = append(f.requesters, requester)
}

// resendFences repeats unanswered fences, and answers those whose worker's
// lease was lost as not reachable.
func (h *Holder) resendFences(now time.Time) {
	for _, key := range slices.SortedFunc(maps.Keys(h.fences), compareAttempts) {
		f := h.fences[key]
		w, ok := h.workers[f.worker]
		switch {
		case !ok || !w.held:
			delete(h.fences, key)
			for _, requester := range f.requesters {
				h.opts.DeliverFenceReply(requester.instance, event.FenceReply{Worker: f.worker, Report: model.TaskReport{Attempt: key}})
			}
		case !now.Before(f.resendAt):
			f.resendAt = now.Add(fenceResendInterval)
			h.opts.Emit(event.FenceAttempt{Worker: f.worker, Attempt: key})
		}
	}
}

// HandleAttemptFenced handles a worker's answer to a fence. A worker that has
// restarted since the attempt was sent cannot know whether it ran, so its
// answer TaskNeverSeen is reported as TaskLost.
func (h *Holder) HandleAttemptFenced(now time.Time, e event.AttemptFenced) {
	key := e.Report.Attempt
	w, ok := h.workers[e.Worker]
	if !ok || !w.held {
		return
	}
	f, pending := h.fences[key]
	delete(h.fences, key)
	h.opts.Emit(event.Trace{
		Kind:    event.TraceFenced,
		Request: key.Request,
		Attempt: key,
		Worker:  e.Worker,
		Detail:  e.Report.State.String(),
	})
	h.applyFenceReport(now, w, e.Report)
	if !pending {
		return
	}
	for _, requester := range f.requesters {
		report := e.Report
		if report.State == model.TaskNeverSeen && requester.workerIncarnation != w.incarnation {
			report.State = model.TaskLost
		}
		h.opts.DeliverFenceReply(requester.instance, event.FenceReply{Worker: e.Worker, Reachable: true, Report: report})
	}
}

// applyFenceReport updates the tracked attempt to the state that the worker
// reported.
func (h *Holder) applyFenceReport(now time.Time, w *worker, report model.TaskReport) {
	switch report.State {
	case model.TaskRunning:
		_, a := h.findOrTrack(w.ID, report.Attempt)
		if a.state < attemptRunning {
			a.state = attemptRunning
		}
		if a.request == nil && a.resources.IsZero() {
			h.reserveReported(w, a, report)
		}
	case model.TaskFinished, model.TaskStopped:
		_, a := h.findOrTrack(w.ID, report.Attempt)
		if !a.isFinished() {
			h.finishAttempt(now, w, a, event.AttemptFinished, report, "")
		}
	default:
		if a, ok := h.attempts[report.Attempt]; ok && a.state == attemptSent {
			h.dropAttempt(w, a)
		}
	}
}
