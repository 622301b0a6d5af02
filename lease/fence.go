package lease

import (
	"maps"
	"slices"
	"time"

	"fuchsiacross/event"
	"fuchsiacross/model"
)

// fence is an unanswered question to a worker about one attempt.
type fence struct {
	worker   model.WorkerID
	askers   []asker
	repeatAt time.Time
}

type asker struct {
	instance model.InstanceID
	life     model.Incarnation // of the worker when the attempt was sent to it
}

// Fence asks a worker for the state of an attempt and makes it refuse an
// attempt that it never saw. The answer goes to the asker through Fenced.
func (h *Holder) FenceAttempt(now time.Time, from model.InstanceID, id model.WorkerID, life model.Incarnation, key model.Attempt) {
	w, ok := h.workers[id]
	if !ok || !w.held {
		h.o.DeliverFenceReply(from, event.FenceReply{Worker: id, Report: model.TaskReport{Attempt: key}})
		return
	}
	if a, ok := h.attempts[key]; ok && a.final() {
		h.o.DeliverFenceReply(from, event.FenceReply{Worker: id, Reachable: true, Report: a.report})
		return
	}
	f, ok := h.fences[key]
	if !ok {
		f = &fence{worker: id}
		h.fences[key] = f
	}
	f.add(asker{instance: from, life: life})
	if now.Before(f.repeatAt) {
		return
	}
	f.repeatAt = now.Add(fenceRetry)
	h.o.Emit(event.FenceAttempt{Worker: id, Attempt: key})
}

func (f *fence) add(a asker) {
	for i := range f.askers {
		if f.askers[i].instance == a.instance {
			f.askers[i] = a
			return
		}
	}
	f.askers = append(f.askers, a)
}

func (h *Holder) repeatFences(now time.Time) {
	for _, key := range slices.SortedFunc(maps.Keys(h.fences), compareAttempts) {
		f := h.fences[key]
		w, ok := h.workers[f.worker]
		switch {
		case !ok || !w.held:
			delete(h.fences, key)
			for _, a := range f.askers {
				h.o.DeliverFenceReply(a.instance, event.FenceReply{Worker: f.worker, Report: model.TaskReport{Attempt: key}})
			}
		case !now.Before(f.repeatAt):
			f.repeatAt = now.Add(fenceRetry)
			h.o.Emit(event.FenceAttempt{Worker: f.worker, Attempt: key})
		}
	}
}

// Fenced takes a worker's answer to a fence. A worker that has restarted since
// the attempt was sent cannot know whether it ran, so its answer never-seen is
// passed on as lost.
func (h *Holder) HandleAttemptFenced(now time.Time, e event.AttemptFenced) {
	key := e.Report.Attempt
	w, ok := h.workers[e.Worker]
	if !ok || !w.held {
		return
	}
	f, asked := h.fences[key]
	delete(h.fences, key)
	h.o.Emit(event.Trace{
		Kind:    event.TraceFenced,
		Request: key.Request,
		Attempt: key,
		Worker:  e.Worker,
		Detail:  e.Report.State.String(),
	})
	h.applyFenced(now, w, e.Report)
	if !asked {
		return
	}
	for _, a := range f.askers {
		report := e.Report
		if report.State == model.TaskNeverSeen && a.life != w.life {
			report.State = model.TaskLost
		}
		h.o.DeliverFenceReply(a.instance, event.FenceReply{Worker: e.Worker, Reachable: true, Report: report})
	}
}

// applyFenced brings the tracked attempt in line with the worker's answer.
func (h *Holder) applyFenced(now time.Time, w *worker, report model.TaskReport) {
	switch report.State {
	case model.TaskRunning:
		_, a := h.find(w.ID, report.Attempt)
		if a.state < attemptRunning {
			a.state = attemptRunning
		}
		if a.request == nil && a.amount.IsZero() {
			h.hold(w, a, report)
		}
	case model.TaskFinished, model.TaskStopped:
		_, a := h.find(w.ID, report.Attempt)
		if !a.final() {
			h.finish(now, w, a, event.AttemptFinished, report, "")
		}
	default:
		if a, ok := h.attempts[report.Attempt]; ok && a.state == attemptSent {
			h.forget(w, a)
		}
	}
}
