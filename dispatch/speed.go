package dispatch

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"time"

	"fuchsiacross/runtimes"
)

// describeSpeed sets the properties by which the speed of a worker is pooled with others.
func (w *worker) describeSpeed() {
	c := w.registration.Capacity
	w.speed.Describe(fmt.Sprintf("%s %d %d", strings.Join(w.registration.Labels, ","), c.MilliCPU, c.MemoryBytes), w.registration.Rack)
}

// refreshSpeeds updates the speeds of the workers and the utilization of the fast ones.
func (r *Reducer) refreshSpeeds() {
	r.speeds.Refresh(r.now)
	for _, w := range r.sortedWorkers {
		if w.registered && !w.unreachable {
			r.speeds.AddUse(w.speed, w.used.MilliCPU, w.registration.Capacity.MilliCPU)
		}
	}
	r.speeds.EndUse(r.now)
	r.effects.RunTimes = r.reporter.Report(r.now, r.forecasts, &r.speeds)
}

// scaleBySpeed returns how long something takes on a worker.
func (r *Reducer) scaleBySpeed(duration time.Duration, w *worker) time.Duration {
	return time.Duration(float64(duration) * math.Exp(r.speeds.LogFactor(&w.pace, w.speed)))
}

// stepPlacement returns what the speeds of workers mean for a task of a step.
func (p *pass) stepPlacement(c candidate) runtimes.Placement {
	s := c.step
	if !p.speeds.Uneven() || !s.hasComparablePace() {
		return runtimes.Placement{}
	}
	expected := s.expectedLength()
	after := s.job.remainingTimes[s.id.Step] - expected
	return p.speeds.Placement(runtimes.Need{
		Expected: expected,
		First:    c.deadline.Sub(p.now) - after,
		Second:   c.deadline.Add((maxLatenessFactor-1)*s.job.objective).Sub(p.now) - after,
	}, s.job.forecast)
}

// keepEvenSpeeds keeps the places for a gang by the learned speeds. It reports false if these are
// not in use.
func (p *pass) keepEvenSpeeds(s *stepState, missing int) bool {
	if !p.speeds.Uneven() {
		return false
	}
	slices.SortStableFunc(p.places, func(a, b place) int { return compare(a.worker.speed.LogFactor, b.worker.speed.LogFactor) })
	members := make([]runtimes.Member, len(p.places))
	for i := range p.places {
		members[i] = runtimes.Member{Speed: p.places[i].worker.speed, Capacity: s.taskCapacity(&p.places[i])}
	}
	first, last, ok := p.placement.EvenRange(members, missing)
	if ok {
		p.places = p.places[first:last]
	}
	return ok
}

// speedIsComparable reports whether the length of a run depends on its worker's speed. Runs away
// from their data take longer.
func (run *run) speedIsComparable() bool {
	s := run.step
	return s.hasComparablePace() && (s.step.DataRack == "" || s.step.DataRack == run.worker.registration.Rack)
}

// observeSpeedAtEnd adds the length of a completed run to its worker's speed. The members of a
// gang end together, so their ends say nothing about single workers.
func (r *Reducer) observeSpeedAtEnd(run *run) {
	s := run.step
	if run.resumed || !run.speedIsComparable() {
		return
	}
	length := r.now.Sub(run.orderedAt)
	s.job.forecast.ObserveRun(s.expectedLength(), r.speeds.Nominal(run.worker.speed, length))
	if s.step.Gang || run.speedObserved || run.presentSince.IsZero() {
		return
	}
	run.speedObserved = true
	r.speeds.ObserveRun(run.worker.speed, &s.speedLengths, length, s.expectedLength(), s.job.forecast.Spread())
}

// minSpeedPercent is the progress from which a run shows its worker's speed. Workers report
// whole percents.
const minSpeedPercent = 20

// observeSpeedInProgress adds the progress of an unfinished run to its worker's speed, once for
// each run.
func (r *Reducer) observeSpeedInProgress(run *run) {
	s, progress := run.step, &run.progress
	if run.speedObserved || !run.speedIsComparable() || progress.percent-progress.firstPercent < minSpeedPercent {
		return
	}
	run.speedObserved = true
	r.speeds.ObserveRun(run.worker.speed, &s.speedLengths, progress.projectedLength(), s.expectedLength(), s.job.forecast.Spread())
}

// SpeedsUneven reports whether tasks are placed by the learned speeds of workers.
func (r *Reducer) SpeedsUneven() bool { return r.speeds.Uneven() }
