package runtimes

import "math"

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
)

// Pace is how many times longer runs take on a worker than on others, as a logarithm. The
// hardware of workers differs.
type Pace struct {
	LogFactor float64
	count     int
}

// Observe adds a deviation from other workers.
func (p *Pace) Observe(logFactor float64) {
	if math.Abs(logFactor-p.LogFactor) > maxPaceDeviation {
		return
	}
	p.count++
	p.LogFactor += max(minPaceWeight, 1/float64(p.count+pacePriorCount)) * (logFactor - p.LogFactor)
}

// Factor returns how many times longer runs take.
func (p *Pace) Factor() float64 { return math.Exp(p.LogFactor) }
