package dispatch

import (
	"slices"
	"time"

	"fuchsiacross/job"
)

// handleEnd processes one ended run that a worker lists.
func (r *Reducer) handleEnd(w *worker, end job.EndedRun) {
	known := w.runs[runKey{end.Task, end.Run}]
	if known != nil {
		w.health.observeEnd(r.now, known, end.Kind)
		if end.Kind == job.EndDone {
			r.observeRunLength(known)
			r.observeSpeedAtEnd(known)
			known.step.observeLength(r.now, known, &r.speeds)
			r.observeWorkerPace(known)
		}
		r.releaseRun(known)
	}
	r.addNote(Note{
		Kind: NoteRunEnded, Job: end.Task.Job, Task: end.Task, Run: end.Run,
		Worker: w.registration.ID, Detail: string(end.Kind),
	})
	j := r.jobs[end.Task.Job]
	if j == nil || j.closed() {
		return
	}
	s, ok := j.findTask(end.Task)
	if !ok {
		return
	}
	j.started = true
	if end.Checkpoint != "" {
		percent := 0.0
		if known != nil {
			percent = known.progress.percent
		}
		s.recordCheckpoint(end.Task.Index, end.Checkpoint, percent)
	}
	switch end.Kind {
	case job.EndDone:
		r.completeTask(s, end)
	case job.EndFailed:
		r.recordFailure(s, end)
	}
	if j.closed() {
		return
	}
	r.stopPartialGang(s)
	r.openReportedStep(s)
}

// completeTask marks a task as done, and with it all tasks of a gang.
func (r *Reducer) completeTask(s *stepState, end job.EndedRun) {
	if s.step.LongRunning || s.complete() {
		return
	}
	r.unsavedJobs[s.job] = struct{}{}
	first, last := end.Task.Index, end.Task.Index
	if s.step.Gang {
		first, last = 0, len(s.tasks)-1
	}
	for i := first; i <= last; i++ {
		task := &s.tasks[i]
		if !task.done {
			task.done = true
			s.tasksLeft--
		}
		if task.run != nil && (!s.step.Gang || task.run.number != end.Run) {
			r.stopRun(task.run)
		}
	}
	if s.complete() {
		if s.endedRuns > 0 && !r.policy.UseRawEstimates {
			s.job.forecast.Observe(s.step.EstimateMilliseconds, s.totalRunTime/time.Duration(s.endedRuns))
		}
		r.completeStep(s)
	}
}

// completeStep opens the steps that depend on a completed step, or completes the occurrence.
func (r *Reducer) completeStep(s *stepState) {
	delete(r.waitingSteps, s)
	s.releaseAdvice()
	o := s.occurrence
	o.stepsLeft--
	if o.stepsLeft > 0 {
		for _, next := range o.steps {
			r.openStep(next)
		}
		return
	}
	j := s.job
	if j.completedOccurrences.count+1 >= max(1, j.job.Definition.Occurrences) {
		r.closeJob(j, job.StateCompleted)
	}
	j.completeOccurrence(s.id.Occurrence)
	if j.isScheduled() {
		r.openDueOccurrences(j)
	}
}

// recordFailure records a failed run and closes the job when its attempts are used up.
func (r *Reducer) recordFailure(s *stepState, end job.EndedRun) {
	task := &s.tasks[s.failureIndex(end.Task.Index)]
	if task.done || s.step.LongRunning || slices.Contains(task.failures, end.Run) {
		return
	}
	task.failures = append(task.failures, end.Run)
	r.unsavedJobs[s.job] = struct{}{}
	if int64(len(task.failures)) >= s.job.queue.MaxAttempts {
		r.closeJob(s.job, job.StateFailed)
	}
}

// stopPartialGangs stops the gangs of which a predecessor started only some members. These
// would wait for the others until their timeout.
func (r *Reducer) stopPartialGangs() {
	for _, j := range r.jobs {
		r.stopPartialGangsOf(j)
	}
}

func (r *Reducer) stopPartialGangsOf(j *jobState) {
	for _, o := range j.occurrences {
		for _, s := range o.steps {
			r.stopPartialGang(s)
		}
	}
}

// stopPartialGang stops the remaining members of a gang that has lost one, so that all members
// start again together.
func (r *Reducer) stopPartialGang(s *stepState) {
	if !s.step.Gang || s.complete() {
		return
	}
	idle := s.idleTasks()
	if idle > 0 && idle < len(s.tasks) {
		r.stopStep(s)
	}
}
