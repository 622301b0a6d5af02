package dispatch

import (
	"time"

	"fuchsiacross/job"
)

// stray is a run of a job that this leader has not heard of. The job may have been
// stored after the others were read, and started by a predecessor that was still
// told of it.
type stray struct {
	running job.ActiveRun
	since   time.Time
}

// strayGrace is how long a run of an unknown job is kept: the changes of the store
// tell of its job within a few times the interval at which they are read.
const strayGrace = 2500 * time.Millisecond

// keepStray notes a run of a job that is not known yet; its room is not known
// either, so its worker gets no tasks. If the job does not become known, the run is
// stopped.
func (r *Reducer) keepStray(w *worker, running job.ActiveRun) {
	key := runKey{running.Task, running.Run}
	if w.strays == nil {
		w.strays = map[runKey]stray{}
	}
	kept, known := w.strays[key]
	if !known {
		kept.since = r.now
		w.extend(r.now, r.now.Add(confirmedSpan))
	}
	kept.running = running
	w.strays[key] = kept
	if r.now.Sub(kept.since) > strayGrace {
		r.effects.Stops = append(r.effects.Stops, StopRun{Worker: w.worker, Task: running.Task, Run: running.Run})
	}
}

// adoptStrays takes over the runs of a job that has become known.
func (r *Reducer) adoptStrays(j *jobState) {
	for _, w := range r.ordered {
		for key, kept := range w.strays {
			if key.task.Job == j.job.ID {
				delete(w.strays, key)
				r.adopt(w, kept.running)
			}
		}
	}
	if r.wasSettled {
		r.settleGangsOf(j)
	}
}

// adopt takes over a run that a predecessor started, or stops it.
func (r *Reducer) adopt(w *worker, running job.ActiveRun) {
	j := r.jobs[running.Task.Job]
	if j == nil {
		r.keepStray(w, running)
		return
	}
	s, ok := j.find(running.Task)
	if !ok {
		return
	}
	task := &s.tasks[running.Task.Index]
	adopted := &run{
		task: running.Task, number: running.Run, step: s, worker: w,
		orderedAt: r.now, present: r.now, resumed: true, // its beginning is not known
		tailMilliseconds: running.TailMillisecondsOrMilliCPU, percentOfTime: paceUnknown,
	}
	w.runs[runKey{running.Task, running.Run}] = adopted
	w.used = w.used.Add(s.step.Allocation())
	w.extend(r.now, r.now.Add(confirmedSpan))
	j.begun = true
	if running.Checkpoint != "" {
		s.keepCheckpoint(running.Task.Index, running.Checkpoint, running.Percent)
	}
	if task.run == nil {
		task.run = adopted
	}
	if task.done || j.closed() || task.run != adopted {
		r.stop(adopted)
	}
	r.openStep(s)
}
