package dispatch

import (
	"fmt"
	"time"

	"fuchsiacross/job"
)

const (
	// highTailThreshold is the ratio of a service's tail latency to its target above which the
	// fillers on its worker are slowed down. Below lowTailThreshold they get time back.
	highTailThreshold = 0.85
	lowTailThreshold  = 0.6
	// fillerCutDivisor divides the fraction of time that fillers work when a tail is too long.
	// Three cuts, one for each reading, stop them well within the 4 s that the platform's
	// documentation allows. Below minFillerPercent they stop.
	fillerCutDivisor = 4
	minFillerPercent = 5
	// fillerRaisePercent is given back to fillers every fillerRaiseInterval. The reported tail
	// is an average over half a second, so the effect of each step is visible before the next
	// one.
	fillerRaisePercent  = 10
	fillerRaiseInterval = time.Second
	// fillerProbeInterval is how long fillers stand still beside a service whose tail is between
	// the thresholds by itself. They then work for fillerRaisePercent of the time, and stop again
	// if that disturbs it.
	fillerProbeInterval = 5 * time.Second
	fullPercent         = 100
	// paceUnknown is the pace of a run that a predecessor started.
	paceUnknown = -1
	// paceRetryInterval is the time after which an unanswered pace order is repeated.
	paceRetryInterval = 300 * time.Millisecond
)

// fillerThrottle limits the fillers of a worker for the sake of the services on it. A filler
// is a task that uses processors left idle by other tasks.
type fillerThrottle struct {
	idlePercent int       // percent of the time that fillers do not work
	changedAt   time.Time // when idlePercent last changed
}

// hasTailTarget reports whether a step is a service, a long-running task with users of its
// own, with a target for the tail of its response times.
func hasTailTarget(s *job.Step) bool { return s.LongRunning && s.TargetMilliseconds > 0 }

// hasServicesAndFillers reports whether a worker runs services with a tail target beside
// fillers, so that the tails have to be watched.
func (w *worker) hasServicesAndFillers() bool {
	services, fillers := false, false
	for _, run := range w.runs {
		services = services || hasTailTarget(run.step.step)
		fillers = fillers || run.step.step.Fills
	}
	return services && fillers
}

// worstTailRatio returns the largest ratio of a service's tail to its target on a worker, or
// zero if there is none.
func (w *worker) worstTailRatio() float64 {
	worst := 0.0
	for _, run := range w.runs {
		if s := run.step.step; hasTailTarget(s) && !run.stopping {
			worst = max(worst, run.tailMilliseconds/s.TargetMilliseconds)
		}
	}
	return worst
}

// throttleFillers sets the pace of a worker's fillers from the tails of its services in the
// latest reading.
func (r *Reducer) throttleFillers(w *worker) {
	f := &w.fillerThrottle
	percent := fullPercent - f.idlePercent
	switch tail := w.worstTailRatio(); {
	case tail == 0:
		percent = fullPercent
	case tail > highTailThreshold:
		if percent /= fillerCutDivisor; percent < minFillerPercent {
			percent = 0
		}
	case percent == 0 && r.now.Sub(f.changedAt) >= fillerProbeInterval:
		percent = fillerRaisePercent
	case tail < lowTailThreshold && r.now.Sub(f.changedAt) >= fillerRaiseInterval:
		percent = min(fullPercent, percent+fillerRaisePercent)
	}
	if idlePercent := fullPercent - percent; idlePercent != f.idlePercent {
		f.idlePercent, f.changedAt = idlePercent, r.now
	}
	for _, run := range w.runs {
		r.orderPace(run)
	}
}

// orderPace sends a pace order to a filler whose pace differs from what the throttle of its
// worker allows.
func (r *Reducer) orderPace(run *run) {
	percent := fullPercent - run.worker.fillerThrottle.idlePercent
	if !run.step.step.Fills || run.stopping || run.presentSince.IsZero() ||
		run.percentOfTime == percent || r.now.Sub(run.pacedAt) < paceRetryInterval {
		return
	}
	run.pacedAt = r.now
	r.effects.Paces = append(r.effects.Paces, PaceRun{
		Worker: run.worker.registration, Token: r.fence(run.worker), Task: run.task, Run: run.number, Percent: percent,
	})
	r.addNote(Note{
		Kind: NoteRunPaced, Job: run.task.Job, Task: run.task, Run: run.number, Worker: run.worker.registration.ID,
		Detail: fmt.Sprintf("%d percent of the time; the longest tail on the worker is %.2f of its target", percent, run.worker.worstTailRatio()),
	})
}

func (r *Reducer) handlePaceAnswer(e PaceAnswered) {
	w := r.answeringWorker(e.Worker, e.Rejection, e.Token)
	if w == nil {
		return
	}
	if paced := w.runs[runKey{e.Task, e.Run}]; paced != nil && e.Err == nil && e.Rejection == "" {
		paced.percentOfTime = e.Percent
	}
}
