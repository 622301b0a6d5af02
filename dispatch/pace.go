package dispatch

import (
	"math"
	"slices"
	"time"
)

const (
	// paceShare is the least weight of a newest observation: workers keep their
	// pace, and the tasks of a step differ by a third.
	paceShare = 0.04
	// paceTrust is how many observations count as much as the assumption that a
	// worker is as fast as the others.
	paceTrust = 2
	// paceMost bounds what counts as a worker's usual pace; more is a disturbance,
	// which the worker's health tells of.
	paceMost = 0.8
	// alike is the difference up to which two workers count as equally fast.
	alike = 0.07
)

// pace is the logarithm of how many times longer runs take on a worker than on
// others. Workers are of different kinds.
type pace struct {
	log   float64
	count int
}

func (p *pace) observe(log float64) {
	if math.Abs(log-p.log) > paceMost {
		return
	}
	p.count++
	p.log += max(paceShare, 1/float64(p.count+paceTrust)) * (log - p.log)
}

// factor is how many times longer runs take.
func (p *pace) factor() float64 { return math.Exp(p.log) }

// stretched is how long something takes at a pace.
func stretched(span time.Duration, p *pace) time.Duration {
	return time.Duration(float64(span) * p.factor())
}

// lengths sums up the logarithms of the lengths of a step's complete runs, less
// the paces of their workers.
type lengths struct {
	sum   float64
	count int
}

// observePace compares the length of a complete run with the others of its step.
// The members of a gang end together and tell nothing.
func (r *Reducer) observeWorkerPace(run *run) {
	s := run.step
	if run.resumed || s.step.Gang || !s.comparable() {
		return
	}
	log := math.Log(float64(max(time.Millisecond, r.now.Sub(run.orderedAt))))
	w := run.worker
	if s.lengths.count > 0 {
		w.pace.observe(log - s.lengths.sum/float64(s.lengths.count))
	}
	s.lengths.sum += log - w.pace.log
	s.lengths.count++
}

// evenly keeps the places for a gang that let it end soonest and waste least: its
// members end together, so those on fast workers wait for the slowest. Of the
// fastest places that suffice, the slower ones are taken.
func (p *pass) evenly(s *stepState, missing int) {
	slices.SortStableFunc(p.places, func(a, b place) int { return compare(a.worker.pace.log, b.worker.pace.log) })
	room, last := 0, 0
	for ; last < len(p.places) && room < missing; last++ {
		room += s.mayTake(&p.places[last])
	}
	if last == 0 || room < missing {
		return
	}
	slowest := p.places[last-1].worker.pace.log + alike
	for last < len(p.places) && p.places[last].worker.pace.log <= slowest {
		last++
	}
	room = 0
	first := last
	for first > 0 && room < missing {
		first--
		room += s.mayTake(&p.places[first])
	}
	fastest := p.places[first].worker.pace.log - alike
	for first > 0 && p.places[first-1].worker.pace.log >= fastest {
		first--
	}
	p.places = slices.Delete(p.places, last, len(p.places))
	p.places = slices.Delete(p.places, 0, first)
}
