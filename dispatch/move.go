package dispatch

import "time"

const (
	// minMoveGain is how many times longer staying must take than a restart elsewhere for a
	// run to be moved.
	minMoveGain = 2
	// moveCost is the overhead of a move: a stop and a start.
	moveCost = 500 * time.Millisecond
	// maxMoves limits how often the runs of a step are moved.
	maxMoves = 3
	// A run is moved if it made no progress for minStalledTime and for stalledFraction of its
	// estimate: workers report whole percents, and a job may take ten times as long as
	// estimated.
	minStalledTime  = 1500 * time.Millisecond
	stalledFraction = 0.2
)

// moveSlowRuns stops the runs of a worker that would be done sooner elsewhere, if there is
// capacity for them. A gang moves as a whole.
func (r *Reducer) moveSlowRuns(w *worker) {
	slow := w.health.slow
	for _, run := range w.runs {
		s := run.step
		if run.stopping || run.presentSince.IsZero() || s.moveCount >= maxMoves || s.job.closed() ||
			s.step.LongRunning || s.step.Fills || s.step.Gang && !s.allPresent() {
			continue
		}
		p := &run.progress
		remaining := time.Duration(float64(p.projectedLength()) * (1 - p.percent/100))
		if stalled := p.stalledFor() >= max(minStalledTime, time.Duration(stalledFraction*float64(s.expectedLength()))) && p.percent < 100; !stalled {
			restarted := float64(p.projectedLength()) / max(1, w.health.slowdown)
			if s.step.Checkpoints {
				restarted *= 1 - max(p.percent, s.gangCheckpointPercent())/100
			}
			if !slow || float64(remaining) < minMoveGain*restarted+float64(moveCost) {
				continue
			}
		}
		if !r.hasCapacityElsewhere(s, w) {
			continue
		}
		s.moveCount++
		r.addNote(Note{
			Kind: NoteRunMoved, Job: s.id.Job, Task: run.task, Run: run.number, Worker: w.registration.ID,
			Age: remaining,
		})
		if s.step.Gang {
			r.stopStep(s)
			continue
		}
		r.stopRun(run)
	}
}

const (
	// leaveTolerance is how long after its worker's announced departure a run may be expected
	// to end and still stay: workers stay somewhat longer than announced.
	leaveTolerance = 250 * time.Millisecond
	// leaveMargin is added to the time of a stop for the transmission of the order.
	leaveMargin = 250 * time.Millisecond
	// minProjectionWindow is the time over which a run's progress must have been observed to
	// predict its end.
	minProjectionWindow = 300 * time.Millisecond
)

// moveRunsOffLeavingWorker stops the runs of a leaving worker that cannot end before its
// departure, as soon as there is capacity for them elsewhere. At the last moment runs with
// checkpoints are stopped in any case, so that none of their work is lost.
func (r *Reducer) moveRunsOffLeavingWorker(w *worker) {
	left := w.registration.LeavesAt.Sub(r.now)
	lastMoment := left < time.Duration(r.stopTimeoutMilliseconds)*time.Millisecond+leaveMargin
	for _, run := range w.runs {
		s := run.step
		if run.stopping || run.presentSince.IsZero() || s.job.closed() || s.step.Gang && !s.allPresent() {
			continue
		}
		remaining := r.remainingTime(run)
		if !s.step.LongRunning && remaining <= left+leaveTolerance {
			continue
		}
		if !r.hasCapacityElsewhere(s, w) && !(lastMoment && s.step.Checkpoints) {
			continue
		}
		r.addNote(Note{
			Kind: NoteRunMoved, Job: s.id.Job, Task: run.task, Run: run.number, Worker: w.registration.ID,
			Detail: "the worker is leaving", Age: remaining,
		})
		if s.step.Gang {
			r.stopStep(s)
			continue
		}
		r.stopRun(run)
	}
}

// remainingTime returns how long a run is expected to continue. A gang ends with its last
// member.
func (r *Reducer) remainingTime(run *run) time.Duration {
	s := run.step
	if !s.step.Gang {
		return r.runRemainingTime(run)
	}
	longest := time.Duration(0)
	for i := range s.tasks {
		if member := s.tasks[i].run; member != nil {
			longest = max(longest, r.runRemainingTime(member))
		}
	}
	return longest
}

// runRemainingTime returns how long a single run is expected to continue.
func (r *Reducer) runRemainingTime(run *run) time.Duration {
	p := &run.progress
	if p.percent >= 100 {
		return 0
	}
	if p.at.Sub(p.firstAt) >= minProjectionWindow {
		return time.Duration(float64(p.projectedLength())*(1-p.percent/100)) - r.now.Sub(p.at)
	}
	return r.scaleBySpeed(run.step.expectedLength(), run.worker) - r.now.Sub(run.orderedAt)
}

// gangCheckpointPercent returns the progress of a gang's furthest checkpoint, or zero if the
// step is no gang.
func (s *stepState) gangCheckpointPercent() float64 {
	if !s.step.Gang {
		return 0
	}
	return s.checkpointPercent
}

// hasCapacityElsewhere reports whether workers other than w have capacity for those runs of a
// step that are on w, on slow or on leaving workers. It uses the capacity that the last pass
// left.
func (r *Reducer) hasCapacityElsewhere(s *stepState, w *worker) bool {
	need := 0
	for i := range s.tasks {
		if run := s.tasks[i].run; run != nil && (run.worker == w || run.worker.health.slow || run.worker.registration.Leaving) {
			need++
		}
	}
	p := pass{Reducer: r}
	p.eachEligible(s, func(other *worker, _ *ticket) {
		if other != w && !other.health.slow {
			need -= fitCount(s.step.Allocation(), other.uncommitted)
		}
	})
	return need <= 0
}
