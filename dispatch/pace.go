package dispatch

import (
	"math"
	"slices"
	"time"
)

// equalPaceTolerance is the difference up to which two workers count as equally fast.
const equalPaceTolerance = 0.07

// lengths sums the logarithms of the lengths of a step's completed runs, less the paces of
// their workers.
type lengths struct {
	sum   float64
	count int
}

// observeWorkerPace compares the length of a completed run with the other runs of its step.
// The members of a gang end together, so they say nothing about single workers.
func (r *Reducer) observeWorkerPace(run *run) {
	s := run.step
	if run.resumed || s.step.Gang || !s.hasComparablePace() {
		return
	}
	logLength := math.Log(float64(max(time.Millisecond, r.now.Sub(run.orderedAt))))
	w := run.worker
	if s.lengths.count > 0 {
		w.pace.Observe(logLength - s.lengths.sum/float64(s.lengths.count))
	}
	s.lengths.sum += logLength - w.pace.LogFactor
	s.lengths.count++
}

// keepEvenPlaces keeps the places that let a gang end soonest and its members wait the least.
// The members of a gang end together, so those on fast workers wait for the slowest one. Of the
// fastest places that suffice, the slower ones are kept.
func (p *pass) keepEvenPlaces(s *stepState, missing int) {
	if p.keepEvenSpeeds(s, missing) {
		return
	}
	slices.SortStableFunc(p.places, func(a, b place) int { return compare(a.worker.pace.LogFactor, b.worker.pace.LogFactor) })
	capacity, last := 0, 0
	for ; last < len(p.places) && capacity < missing; last++ {
		capacity += s.taskCapacity(&p.places[last])
	}
	if last == 0 || capacity < missing {
		return
	}
	slowest := p.places[last-1].worker.pace.LogFactor + equalPaceTolerance
	for last < len(p.places) && p.places[last].worker.pace.LogFactor <= slowest {
		last++
	}
	capacity = 0
	first := last
	for first > 0 && capacity < missing {
		first--
		capacity += s.taskCapacity(&p.places[first])
	}
	fastest := p.places[first].worker.pace.LogFactor - equalPaceTolerance
	for first > 0 && p.places[first-1].worker.pace.LogFactor >= fastest {
		first--
	}
	p.places = slices.Delete(p.places, last, len(p.places))
	p.places = slices.Delete(p.places, 0, first)
}
