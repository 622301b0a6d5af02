package dispatch

import (
	"time"

	"fuchsiacross/job"
)

// startRun orders a run of a task on a worker. The members of a gang share one
// run number.
func (r *Reducer) startRun(s *stepState, index int, w *worker, number int64, ticket string) {
	task := &s.tasks[index]
	started := &run{
		task: job.TaskID{StepID: s.id, Index: index}, number: number, step: s, worker: w, orderedAt: r.now,
		percentOfTime: wholePercent,
	}
	task.run = started
	w.runs[runKey{started.task, number}] = started
	w.used = w.used.Add(s.step.Allocation())
	end := r.leaseEnd()
	w.extend(r.now, end)
	checkpoint := task.checkpoint
	if s.step.Gang {
		checkpoint = s.checkpoint
	}

	started.resumed = checkpoint != ""
	r.starts.add(started)
	r.effects.Starts = append(r.effects.Starts, StartRun{
		Worker: w.worker, Task: started.task, Run: number, Spec: s.job.job.Definition.Spec,
		Checkpoint: checkpoint, Ticket: ticket, Deadline: w.deadline(end),
	})
	r.note(Note{
		Kind: NoteRunStarted, Job: s.id.Job, Task: started.task, Run: number, Worker: w.worker.ID,
		Age: r.now.Sub(s.job.job.AcceptedAt),
	})
}

// newRun returns a run number above all earlier ones, also of other leaders.
func (r *Reducer) newRun() int64 {
	r.nextRun++
	return r.nextRun
}

func (r *Reducer) startAnswered(e StartAnswered) {
	w := r.workers[e.Worker]
	if w == nil {
		return
	}
	w.health.ordered(r.now, e.Err == nil || e.NotExecuted)
	started := w.runs[runKey{e.Task, e.Run}]
	if e.Rejection == job.RejectedStaleToken {
		r.effects.LeadershipLost = true
		return
	}
	if started == nil {
		return
	}
	r.starts.close(started)
	note := Note{Job: e.Task.Job, Task: e.Task, Run: e.Run, Worker: e.Worker}
	switch {
	case e.Err != nil && !e.NotExecuted:
		note.Kind, note.Detail = NoteRunUnknown, e.Err.Error()
		r.note(note)
		// A reading tells whether the run is there. If it is not, the order may
		// still be carried out, and a stop makes that impossible.
		started.unknownAt = r.now
		w.urgent = true
	case e.Err != nil || e.Rejection != "":
		note.Kind, note.Detail = NoteRunRejected, string(e.Rejection)
		if e.Err != nil {
			note.Detail = e.Err.Error()
		}
		r.note(note)
		r.rejected(started, e)
	default:
		started.step.job.begun = true
		if started.present.IsZero() {
			started.present = r.now
		}
		r.pace(started)
	}
}

// roomPause keeps starts from a worker that reported less room than believed.
const roomPause = 300 * time.Millisecond

func (r *Reducer) rejected(started *run, e StartAnswered) {
	w, s := started.worker, started.step
	switch {
	case e.Rejection == job.RejectedInvalidTicket:
		s.advice.expire(w.worker.ID)
	case e.Rejection == job.RejectedNoCapacity || e.Unhealthy || e.NotExecuted:
		w.health.pause(r.now.Add(roomPause))
	}
	r.drop(started)
	r.settleGang(s)
	r.openStep(s)
}

// answering returns the worker that answers an order, unless it is not known any
// more or obeys another leader.
func (r *Reducer) answering(id job.WorkerID, rejection job.Rejection) *worker {
	w := r.workers[id]
	if w != nil && rejection == job.RejectedStaleToken {
		r.effects.LeadershipLost = true
		return nil
	}
	return w
}

func (r *Reducer) stopAnswered(e StopAnswered) {
	w := r.answering(e.Worker, e.Rejection)
	if w == nil {
		return
	}
	w.health.ordered(r.now, e.Err == nil)
	stopped := w.runs[runKey{e.Task, e.Run}]
	if stopped == nil || e.Err != nil {
		return
	}
	stopped.stopDone = r.now
	w.urgent = true
}
