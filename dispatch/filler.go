package dispatch

import (
	"fmt"
	"time"

	"fuchsiacross/job"
)

const (
	// tailHigh is the share of its target at which a service's tail slows the
	// fillers beside it, tailLow the share below which they are given more again.
	tailHigh = 0.85
	tailLow  = 0.6
	// fillCut divides the share of time that fillers work when a tail is too long:
	// three cuts, one with each reading, stop them well within the 4 s that the
	// platform's pages allow. fillLeast is the percentage below which they stop.
	fillCut   = 4
	fillLeast = 5
	// fillRaise is how many percent fillers are given back in fillRaiseSpan; the
	// tail is an average of half a second, so that each step can show its effect.
	fillRaise     = 10
	fillRaiseSpan = time.Second
	wholePercent  = 100
	// paceUnknown stands for the pace of a run that a predecessor has started.
	paceUnknown = -1
	// paceRetry repeats an order to change a run's pace that was not answered.
	paceRetry = 300 * time.Millisecond
)

// filling is how a worker's fillers are held back for the services beside them.
type filling struct {
	slowed   int       // percent of the time that fillers do not work
	raisedAt time.Time // when that last changed
}

// serves reports whether a step's tasks answer to users of their own within a
// time.
func serves(s *job.Step) bool { return s.LongRunning && s.TargetMilliseconds > 0 }

// shared reports whether services with a target run beside fillers on a worker,
// whose tails have to be watched.
func (w *worker) shared() bool {
	services, fillers := false, false
	for _, run := range w.runs {
		services = services || serves(run.step.step)
		fillers = fillers || run.step.step.Fills
	}
	return services && fillers
}

// worstTail is the longest tail of a worker's services against its target; zero
// without any.
func (w *worker) worstTail() float64 {
	worst := 0.0
	for _, run := range w.runs {
		if s := run.step.step; serves(s) && !run.stopping {
			worst = max(worst, run.tailMilliseconds/s.TargetMilliseconds)
		}
	}
	return worst
}

// holdFillers sets the pace of a worker's fillers by the tails of its services, as
// the newest reading shows them.
func (r *Reducer) holdFillers(w *worker) {
	f := &w.filling
	percent := wholePercent - f.slowed
	switch tail := w.worstTail(); {
	case tail == 0:
		percent = wholePercent
	case tail > tailHigh:
		if percent /= fillCut; percent < fillLeast {
			percent = 0
		}
	case tail < tailLow && r.now.Sub(f.raisedAt) >= fillRaiseSpan:
		percent = min(wholePercent, percent+fillRaise)
	}
	if slowed := wholePercent - percent; slowed != f.slowed {
		f.slowed, f.raisedAt = slowed, r.now
	}
	for _, run := range w.runs {
		r.pace(run)
	}
}

// pace orders a filler's pace where it is not what its worker's services allow.
func (r *Reducer) pace(run *run) {
	percent := wholePercent - run.worker.filling.slowed
	if !run.step.step.Fills || run.stopping || run.present.IsZero() ||
		run.percentOfTime == percent || r.now.Sub(run.pacedAt) < paceRetry {
		return
	}
	run.pacedAt = r.now
	r.effects.Paces = append(r.effects.Paces, PaceRun{
		Worker: run.worker.worker, Task: run.task, Run: run.number, Percent: percent,
	})
	r.note(Note{
		Kind: NoteRunPaced, Job: run.task.Job, Task: run.task, Run: run.number, Worker: run.worker.worker.ID,
		Detail: fmt.Sprintf("%d percent of the time; the longest tail on the worker is %.2f of its target", percent, run.worker.worstTail()),
	})
}

func (r *Reducer) paceAnswered(e PaceAnswered) {
	w := r.answering(e.Worker, e.Rejection)
	if w == nil {
		return
	}
	if paced := w.runs[runKey{e.Task, e.Run}]; paced != nil && e.Err == nil && e.Rejection == "" {
		paced.percentOfTime = e.Percent
	}
}
