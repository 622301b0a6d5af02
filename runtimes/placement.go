package runtimes

import (
	"math"
	"time"
)

// Placement scores the workers for a task of a step. It is computed once for each step and
// pass, so that the score of a place takes no logarithm and no exponential.
type Placement struct {
	uneven        bool
	first, second float64 // logarithms of the factors on the expected length that lose worth
	ratios        *Ratios // distribution of the run times; nil if it is unknown
	variance      float64 // of the logarithm of the run time, if ratios is nil
	speedWeight   float64
}

// Need is what a step needs to meet its job's objective.
type Need struct {
	Expected time.Duration // length of a task on the average worker
	// First and Second are the times left for the task until the job is late, and until it
	// earns nothing.
	First, Second time.Duration
}

// unreachable is the logarithm of the factor that stands for a time that has passed.
const unreachable = -20

// Placement prepares the scores for a step of a queue.
func (f *Speeds) Placement(n Need, queue *Forecast) Placement {
	if !f.uneven {
		return Placement{}
	}
	logFactor := func(left time.Duration) float64 {
		if left <= 0 || n.Expected <= 0 {
			return unreachable
		}
		return math.Log(float64(left) / float64(n.Expected))
	}
	p := Placement{
		uneven: true, first: logFactor(n.First), second: logFactor(n.Second), variance: defaultSpread * defaultSpread,
		speedWeight: speedWeight - opportunityWeight*max(0, f.utilization-freeUtilization)/(1-freeUtilization),
	}
	if queue.ratios.known() {
		p.ratios = &queue.ratios
	}
	return p
}

// Score returns the part of a place's score that depends on the speed of its worker; lower is
// better. Where workers are uniform it depends on the pace only.
func (p *Placement) Score(pace *Pace, s *Speed) float64 {
	if !p.uneven {
		return paceWeight * pace.LogFactor
	}
	return p.cost(s.LogFactor, s.Variance)
}

// cost is the expected loss of worth if the task takes a factor longer than on the average
// worker, and the opportunity cost of a fast worker.
func (p *Placement) cost(logFactor, variance float64) float64 {
	return lossWeight*p.loss(logFactor, variance) + p.speedWeight*logFactor
}

// loss returns the expected loss of worth. The measured distribution includes the tail: a task
// that takes several times as long can be in time on a fast worker only.
func (p *Placement) loss(logFactor, variance float64) float64 {
	if p.ratios != nil {
		return firstLoss*p.ratios.exceeds(p.first-logFactor) + secondLoss*p.ratios.exceeds(p.second-logFactor)
	}
	scale := 1 / math.Sqrt(p.variance+variance)
	return firstLoss*normalTail((p.first-logFactor)*scale) + secondLoss*normalTail((p.second-logFactor)*scale)
}

// EndsBy returns the probability that a run ends within a time on a worker, if its expected
// length on the average worker has a lognormal spread.
func EndsBy(within, expected time.Duration, spread float64, s *Speed) float64 {
	if within <= 0 || expected <= 0 {
		return 0
	}
	z := (math.Log(float64(within)/float64(expected)) - s.LogFactor) / math.Sqrt(spread*spread+s.Variance)
	return 1 - normalTail(z)
}

const (
	tailLimit = 4.0
	tailSteps = 16 // in the table by unit
)

// tailTable holds the probabilities that a normal variable exceeds a value.
var tailTable = func() (t [2*tailLimit*tailSteps + 2]float64) {
	for i := range t {
		t[i] = math.Erfc((float64(i)/tailSteps-tailLimit)/math.Sqrt2) / 2
	}
	return t
}()

// normalTail returns the probability that a standard normal variable exceeds z, from a table
// with linear interpolation. Its error is below 0.0002.
func normalTail(z float64) float64 {
	switch {
	case z <= -tailLimit:
		return 1
	case z >= tailLimit:
		return 0
	}
	at := (z + tailLimit) * tailSteps
	i := int(at)
	return tailTable[i] + (at-float64(i))*(tailTable[i+1]-tailTable[i])
}
