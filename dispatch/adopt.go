package dispatch

import (
	"slices"
	"time"

	"fuchsiacross/job"
)

// orphanRun is a run whose job this leader does not know. The job may have been stored after
// the others were read, and started by a predecessor that was still notified of it.
type orphanRun struct {
	running job.ActiveRun
	since   time.Time // when it was first listed
}

// unknownEnd is the end of a run whose job this leader does not know. It is acknowledged once the
// stored jobs have been read after it was first listed: its job was stored before its start.
type unknownEnd struct {
	end   job.EndedRun
	since time.Time // when it was first listed
}

// unknownSince returns the time at which an end was first listed, which is now if it is not
// among the ends that were unknown before.
func unknownSince(before []unknownEnd, number int64, now time.Time) time.Time {
	at, found := slices.BinarySearchFunc(before, number, func(u unknownEnd, n int64) int { return compare(u.end.Number, n) })
	if !found {
		return now
	}
	return before[at].since
}

// keepOrphan records a run of an unknown job. Its resource demand is unknown, so its worker
// gets no tasks meanwhile. The run is stopped once the stored jobs have been read after it was
// first listed: its job was stored before its start.
func (r *Reducer) keepOrphan(w *worker, running job.ActiveRun) {
	key := runKey{running.Task, running.Run}
	if w.orphans == nil {
		w.orphans = map[runKey]orphanRun{}
	}
	orphan, known := w.orphans[key]
	if !known {
		orphan.since = r.now
		w.extendLease(r.now, r.now.Add(confirmationTimeout))
	}
	orphan.running = running
	w.orphans[key] = orphan
	if r.jobsReadAt.After(orphan.since) {
		r.effects.Stops = append(r.effects.Stops, StopRun{Worker: w.registration, Token: r.fence(w), Task: running.Task, Run: running.Run})
	}
}

// awaitsJobs reports whether a worker has listed runs or ends whose jobs may still become known.
func (r *Reducer) awaitsJobs(w *worker) bool {
	for _, orphan := range w.orphans {
		if !r.jobsReadAt.After(orphan.since) {
			return true
		}
	}
	return slices.ContainsFunc(w.unknownEnds, func(u unknownEnd) bool { return !r.jobsReadAt.After(u.since) })
}

// adoptOrphans takes over the orphaned runs of a job that has become known, and applies the
// ends that are waiting for it.
func (r *Reducer) adoptOrphans(j *jobState) {
	for _, w := range r.sortedWorkers {
		for key, orphan := range w.orphans {
			if key.task.Job == j.job.ID {
				delete(w.orphans, key)
				r.adoptRun(w, orphan.running)
			}
		}
		for _, unknown := range w.unknownEnds {
			if unknown.end.Task.Job == j.job.ID {
				r.handleEnd(w, unknown.end)
			}
		}
	}
	if r.predecessorWasSettled {
		r.stopPartialGangsOf(j)
	}
}

// adoptRun takes over a run that a predecessor started, or stops it if its task does not need
// it.
func (r *Reducer) adoptRun(w *worker, running job.ActiveRun) {
	j := r.jobs[running.Task.Job]
	if j == nil {
		r.keepOrphan(w, running)
		return
	}
	s, ok := j.findTask(running.Task)
	if !ok {
		return
	}
	task := &s.tasks[running.Task.Index]
	adopted := &run{
		task: running.Task, number: running.Run, token: r.fence(w), step: s, worker: w,
		orderedAt: r.now, presentSince: r.now, resumed: true, // its start time is unknown
		tailMilliseconds: running.TailMillisecondsOrMilliCPU, percentOfTime: paceUnknown,
	}
	r.addRun(adopted)
	w.extendLease(r.now, r.now.Add(confirmationTimeout))
	j.started = true
	r.addNote(Note{
		Kind: NoteRunAdopted, Job: running.Task.Job, Task: running.Task, Run: running.Run,
		Worker: w.registration.ID, Age: r.now.Sub(r.confirmedAt),
	})
	if running.Checkpoint != "" {
		s.recordCheckpoint(running.Task.Index, running.Checkpoint, running.Percent)
	}
	if task.done || j.closed() || task.run != adopted {
		r.stopRun(adopted)
	}
	r.openReportedStep(s)
}
