package dispatch

import (
	"math"
	"slices"
	"time"
)

const (
	// minPaceWeight is the least weight of a new observation. Workers keep their pace, and the
	// tasks of a step differ by a third.
	minPaceWeight = 0.04
	// pacePriorCount is how many observations weigh as much as the assumption that a worker is
	// as fast as the others.
	pacePriorCount = 2
	// maxPaceDeviation limits the deviations that count towards a worker's usual pace. Larger
	// ones are disturbances, which the worker's health covers.
	maxPaceDeviation = 0.8
	// equalPaceTolerance is the difference up to which two workers count as equally fast.
	equalPaceTolerance = 0.07
)

// pace is how many times longer runs take on a worker than on others, as a logarithm. The
// hardware of workers differs.
type pace struct {
	logFactor float64
	count     int
}

func (p *pace) observe(logFactor float64) {
	if math.Abs(logFactor-p.logFactor) > maxPaceDeviation {
		return
	}
	p.count++
	p.logFactor += max(minPaceWeight, 1/float64(p.count+pacePriorCount)) * (logFactor - p.logFactor)
}

// factor returns how many times longer runs take.
func (p *pace) factor() float64 { return math.Exp(p.logFactor) }

// scaleByPace returns how long something takes at a pace.
func scaleByPace(duration time.Duration, p *pace) time.Duration {
	return time.Duration(float64(duration) * p.factor())
}

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
		w.pace.observe(logLength - s.lengths.sum/float64(s.lengths.count))
	}
	s.lengths.sum += logLength - w.pace.logFactor
	s.lengths.count++
}

// keepEvenPlaces keeps the places that let a gang end soonest and its members wait the least.
// The members of a gang end together, so those on fast workers wait for the slowest one. Of the
// fastest places that suffice, the slower ones are kept.
func (p *pass) keepEvenPlaces(s *stepState, missing int) {
	slices.SortStableFunc(p.places, func(a, b place) int { return compare(a.worker.pace.logFactor, b.worker.pace.logFactor) })
	capacity, last := 0, 0
	for ; last < len(p.places) && capacity < missing; last++ {
		capacity += s.taskCapacity(&p.places[last])
	}
	if last == 0 || capacity < missing {
		return
	}
	slowest := p.places[last-1].worker.pace.logFactor + equalPaceTolerance
	for last < len(p.places) && p.places[last].worker.pace.logFactor <= slowest {
		last++
	}
	capacity = 0
	first := last
	for first > 0 && capacity < missing {
		first--
		capacity += s.taskCapacity(&p.places[first])
	}
	fastest := p.places[first].worker.pace.logFactor - equalPaceTolerance
	for first > 0 && p.places[first-1].worker.pace.logFactor >= fastest {
		first--
	}
	p.places = slices.Delete(p.places, last, len(p.places))
	p.places = slices.Delete(p.places, 0, first)
}
