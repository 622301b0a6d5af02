package dispatch

import (
	"slices"
	"time"

	"fuchsiacross/job"
)

// ended processes one end that a worker lists.
func (r *Reducer) ended(w *worker, end job.EndedRun) {
	known := w.runs[runKey{end.Task, end.Run}]
	if known != nil {
		w.health.observe(r.now, end.Task.Job, end.Kind)
		if end.Kind == job.EndDone {
			r.observeEnd(known)
			known.step.observeLength(r.now, known)
			r.observeWorkerPace(known)
		}
		r.drop(known)
	}
	r.note(Note{
		Kind: NoteRunEnded, Job: end.Task.Job, Task: end.Task, Run: end.Run,
		Worker: w.worker.ID, Detail: string(end.Kind),
	})
	j := r.jobs[end.Task.Job]
	if j == nil || j.closed() {
		return
	}
	s, ok := j.find(end.Task)
	if !ok {
		return
	}
	j.begun = true
	if end.Checkpoint != "" {
		percent := 0.0
		if known != nil {
			percent = known.progress.percent
		}
		s.keepCheckpoint(end.Task.Index, end.Checkpoint, percent)
	}
	switch end.Kind {
	case job.EndDone:
		r.taskDone(s, end)
	case job.EndFailed:
		r.taskFailed(s, end)
	}
	if j.closed() {
		return
	}
	r.settleGang(s)
	r.openStep(s)
}

func (r *Reducer) taskDone(s *stepState, end job.EndedRun) {
	if s.step.LongRunning || s.complete() {
		return
	}
	r.dirty[s.job] = struct{}{}
	first, last := end.Task.Index, end.Task.Index
	if s.step.Gang {
		first, last = 0, len(s.tasks)-1
	}
	for i := first; i <= last; i++ {
		task := &s.tasks[i]
		if !task.done {
			task.done = true
			s.left--
		}
		if task.run != nil && (!s.step.Gang || task.run.number != end.Run) {
			r.stop(task.run)
		}
	}
	if s.complete() {
		if s.ended > 0 && !r.policy.TrustEstimates {
			s.job.forecast.observe(s.step.EstimateMilliseconds, s.took/time.Duration(s.ended))
		}
		r.stepDone(s)
	}
}

func (r *Reducer) stepDone(s *stepState) {
	delete(r.waiting, s)
	s.forgetAdvice()
	o := s.occurrence
	o.left--
	if o.left > 0 {
		for _, next := range o.steps {
			r.openStep(next)
		}
		return
	}
	j := s.job
	j.finished++
	if j.finished >= max(1, j.job.Definition.Occurrences) {
		r.finish(j, job.StateCompleted)
	}
}

func (r *Reducer) taskFailed(s *stepState, end job.EndedRun) {
	task := &s.tasks[s.failureIndex(end.Task.Index)]
	if task.done || s.step.LongRunning || slices.Contains(task.failures, end.Run) {
		return
	}
	task.failures = append(task.failures, end.Run)
	r.dirty[s.job] = struct{}{}
	if int64(len(task.failures)) >= s.job.queue.MaxAttempts {
		r.finish(s.job, job.StateFailed)
	}
}

// settleGangs stops the gangs of which a predecessor has started a part only. Their
// members would wait for the others until their time is over.
func (r *Reducer) settleGangs() {
	for _, j := range r.jobs {
		r.settleGangsOf(j)
	}
}

func (r *Reducer) settleGangsOf(j *jobState) {
	for _, o := range j.occurrences {
		for _, s := range o.steps {
			r.settleGang(s)
		}
	}
}

// settleGang stops the members of a gang that has lost one, so that all start
// again together.
func (r *Reducer) settleGang(s *stepState) {
	if !s.step.Gang || s.complete() {
		return
	}
	idle := s.idle()
	if idle > 0 && idle < len(s.tasks) {
		r.stopStep(s)
	}
}
