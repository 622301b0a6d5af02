package dispatch

import (
	"time"

	"fuchsiacross/job"
)

// startRun orders a run of a task on a worker. The members of a gang share one run number. A start
// without a ticket is sent once it is recorded.
func (r *Reducer) startRun(s *stepState, index int, w *worker, number int64, ticket string) {
	ordered := &run{
		task: job.TaskID{StepID: s.id, Index: index}, number: number, token: r.fence(w), step: s, worker: w, orderedAt: r.now,
		percentOfTime: fullPercent, ticketless: ticket == "",
	}
	r.addRun(ordered)
	if ordered.ticketless {
		r.awaitRecord(ordered)
		return
	}
	r.sendStart(ordered, ticket)
}

// sendStart sends the start order of a run.
func (r *Reducer) sendStart(ordered *run, ticket string) {
	s, w := ordered.step, ordered.worker
	end := r.leaseEnd()
	w.extendLease(r.now, end)
	checkpoint := s.tasks[ordered.task.Index].checkpoint
	if s.step.Gang {
		checkpoint = s.checkpoint
	}
	ordered.orderedAt, ordered.token = r.now, r.fence(w)
	ordered.resumed = checkpoint != ""
	ordered.start = r.starts.Add(r.now)
	r.effects.Starts = append(r.effects.Starts, StartRun{
		Worker: w.registration, Token: ordered.token, Task: ordered.task, Run: ordered.number, Spec: s.job.job.Definition.Spec,
		Checkpoint: checkpoint, Ticket: ticket, Deadline: w.toWorkerClock(end),
	})
	r.addNote(Note{
		Kind: NoteRunOrdered, Job: s.id.Job, Task: ordered.task, Run: ordered.number, Worker: w.registration.ID,
		Age: r.now.Sub(s.job.job.AcceptedAt),
	})
}

// newRunNumber returns a run number above all earlier ones, including those of other leaders.
func (r *Reducer) newRunNumber() int64 {
	r.nextRun++
	return r.nextRun
}

// handleStartAnswer processes the answer to a start order, or its timeout.
func (r *Reducer) handleStartAnswer(e StartAnswered) {
	w := r.workers[e.Worker]
	if w == nil {
		return
	}
	w.health.observeOrder(r.now, e.Err == nil || e.NotExecuted)
	ordered := w.runs[runKey{e.Task, e.Run}]
	if r.isDeposed(w, e.Rejection, e.Token) {
		r.effects.LeadershipLost = true
		return
	}
	if ordered == nil {
		return
	}
	if e.Clock != 0 && w.showsRestart(e.Clock, ordered.orderedAt, r.now) {
		r.suspectRestart(w)
	}
	r.starts.Answer(ordered.start, r.now)
	note := Note{Job: e.Task.Job, Task: e.Task, Run: e.Run, Worker: e.Worker}
	switch {
	case e.Err != nil && !e.NotExecuted:
		note.Kind, note.Detail = NoteRunUnknown, e.Err.Error()
		r.addNote(note)
		// A reading shows whether the run exists. If it does not, the order may still be
		// executed later: a stop prevents that in this incarnation of the worker.
		ordered.unknownAt = r.now
		w.readSoon = true
	case e.Err != nil || e.Rejection != "":
		note.Kind, note.Detail = NoteRunRejected, string(e.Rejection)
		if e.Err != nil {
			note.Detail = e.Err.Error()
		}
		r.addNote(note)
		r.handleRejection(ordered, e)
	default:
		ordered.step.job.started = true
		r.confirmRun(ordered)
		r.orderPace(ordered)
	}
}

// noCapacityPause is how long a worker gets no starts after it reported less capacity than
// expected, or did not execute a start.
const noCapacityPause = 300 * time.Millisecond

// handleRejection releases a run that its worker refused or never started.
func (r *Reducer) handleRejection(rejected *run, e StartAnswered) {
	w, s := rejected.worker, rejected.step
	switch {
	case e.Rejection == job.RejectedInvalidTicket:
		s.advice.expireTicket(w.registration.ID)
	case e.Rejection == job.RejectedNoCapacity || e.Unhealthy || e.NotExecuted:
		w.health.pause(r.now.Add(noCapacityPause))
	}
	r.releaseRun(rejected)
	r.stopPartialGang(s)
	r.openStep(s)
}

// answeringWorker returns the worker that answers an order, or nil if it is unknown or has
// seen a higher token than the order's.
func (r *Reducer) answeringWorker(id job.WorkerID, rejection job.Rejection, token int64) *worker {
	w := r.workers[id]
	if w != nil && rejection == job.RejectedStaleToken {
		r.effects.LeadershipLost = r.effects.LeadershipLost || r.isDeposed(w, rejection, token)
		return nil
	}
	return w
}

func (r *Reducer) handleStopAnswer(e StopAnswered) {
	w := r.answeringWorker(e.Worker, e.Rejection, e.Token)
	if w == nil {
		return
	}
	w.health.observeOrder(r.now, e.Err == nil)
	stopped := w.runs[runKey{e.Task, e.Run}]
	if stopped == nil || e.Err != nil {
		return
	}
	stopped.stopAnsweredAt = r.now
	w.readSoon = true
}
