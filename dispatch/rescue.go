package dispatch

import "time"

const (
	// rescueGain: a run is moved if it would take this many times longer where it
	// is than elsewhere.
	rescueGain = 2
	// rescueCost is what a move takes besides the work: a stop and a start.
	rescueCost = 500 * time.Millisecond
	// maxMoves bounds how often the runs of a step are moved.
	maxMoves = 3
	// stillLeast is how long a run may make no progress before it is moved, and
	// stillShare the part of its estimate: readings show whole percents, and a
	// job may take ten times as long as estimated.
	stillLeast = 1500 * time.Millisecond
	stillShare = 0.2
)

// rescue stops the runs of a worker that would be done sooner elsewhere, if
// there is room for them. A gang moves as a whole.
func (r *Reducer) rescue(w *worker) {
	slow := w.health.slow
	for _, run := range w.runs {
		s := run.step
		if run.stopping || run.present.IsZero() || s.moves >= maxMoves || s.job.closed() ||
			s.step.LongRunning || s.step.Fills || s.step.Gang && !s.present() {
			continue
		}
		p := &run.progress
		stay := time.Duration(float64(p.whole()) * (1 - p.percent/100))
		if still := p.still() >= max(stillLeast, time.Duration(stillShare*float64(s.expected()))) && p.percent < 100; !still {
			again := float64(p.whole()) / max(1, w.health.ratio)
			if s.step.Checkpoints {
				again *= 1 - max(p.percent, s.savedByGang())/100
			}
			if !slow || float64(stay) < rescueGain*again+float64(rescueCost) {
				continue
			}
		}
		if !r.roomElsewhere(s, w) {
			continue
		}
		s.moves++
		r.note(Note{
			Kind: NoteRunMoved, Job: s.id.Job, Task: run.task, Run: run.number, Worker: w.worker.ID,
			Age: stay,
		})
		if s.step.Gang {
			r.stopStep(s)
			continue
		}
		r.stop(run)
	}
}

const (
	// leaveSlack is how much later than its worker leaves a run may be expected to
	// end and still stay: workers stay for somewhat longer than they say.
	leaveSlack = 250 * time.Millisecond
	// leaveMargin is kept beyond the time of a stop, for the order's way.
	leaveMargin = 250 * time.Millisecond
	// paceSpan is over how long a run's progress must have been seen to tell when
	// it ends.
	paceSpan = 300 * time.Millisecond
)

// evacuate stops the runs of a leaving worker that cannot end before it is gone,
// as soon as there is room for them elsewhere. In the end those that keep a
// checkpoint are stopped in any case, so that none of their work is lost.
func (r *Reducer) evacuate(w *worker) {
	left := w.worker.LeavesAt.Sub(r.now)
	last := left < time.Duration(r.stopMilliseconds)*time.Millisecond+leaveMargin
	for _, run := range w.runs {
		s := run.step
		if run.stopping || run.present.IsZero() || s.job.closed() || s.step.Gang && !s.present() {
			continue
		}
		remaining := r.remainingOf(run)
		if !s.step.LongRunning && remaining <= left+leaveSlack {
			continue
		}
		if !r.roomElsewhere(s, w) && !(last && s.step.Checkpoints) {
			continue
		}
		r.note(Note{
			Kind: NoteRunMoved, Job: s.id.Job, Task: run.task, Run: run.number, Worker: w.worker.ID,
			Detail: "its worker leaves", Age: remaining,
		})
		if s.step.Gang {
			r.stopStep(s)
			continue
		}
		r.stop(run)
	}
}

// remainingOf returns how long a run is expected to go on; a gang ends with its
// last member.
func (r *Reducer) remainingOf(run *run) time.Duration {
	s := run.step
	if !s.step.Gang {
		return r.remaining(run)
	}
	longest := time.Duration(0)
	for i := range s.tasks {
		if member := s.tasks[i].run; member != nil {
			longest = max(longest, r.remaining(member))
		}
	}
	return longest
}

// remaining returns how long one run is expected to go on by itself.
func (r *Reducer) remaining(run *run) time.Duration {
	p := &run.progress
	if p.percent >= 100 {
		return 0
	}
	if p.at.Sub(p.firstAt) >= paceSpan {
		return time.Duration(float64(p.whole())*(1-p.percent/100)) - r.now.Sub(p.at)
	}
	return stretched(run.step.expected(), &run.worker.pace) - r.now.Sub(run.orderedAt)
}

// savedByGang is how far the checkpoint of a gang's furthest member is, in percent.
func (s *stepState) savedByGang() float64 {
	if !s.step.Gang {
		return 0
	}
	return s.saved
}

// roomElsewhere reports whether open workers other than w have room for the runs
// of a step that are on w, on slow or on leaving ones, by the room that the last
// pass has left.
func (r *Reducer) roomElsewhere(s *stepState, w *worker) bool {
	need := 0
	for i := range s.tasks {
		if run := s.tasks[i].run; run != nil && (run.worker == w || run.worker.health.slow || run.worker.worker.Leaving) {
			need++
		}
	}
	p := pass{Reducer: r}
	p.each(s, func(other *worker, _ *ticket) {
		if other != w && !other.health.slow {
			need -= fits(s.step.Allocation(), other.roomLeft)
		}
	})
	return need <= 0
}
