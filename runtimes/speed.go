package runtimes

import (
	"math"
	"slices"
	"time"

	"fuchsiacross/job"
)

// Speed is what is known about the speed of a worker: how many times longer runs take on it
// than on the average worker, as the mean and the variance of a logarithm.
type Speed struct {
	LogFactor float64
	Variance  float64

	id        job.WorkerID
	startTime int64     // of the incarnation that was observed
	groups    [2]string // the kind and the rack, as prefixed keys
	// sum and precision are those of the worker's own observations.
	sum, precision float64
	drift          float64 // moving average of the normalized deviations
}

// Speeds learns the speeds of the workers of a fleet. Workers with few observations get the
// speed of their kind or of their rack.
type Speeds struct {
	// AssumeEqual disables the use of learned speeds, for comparison.
	AssumeEqual bool

	workers     []*Speed // sorted by ID
	refreshedAt time.Time
	offset      float64 // mean of all workers, which counts as a factor of 1
	variance    float64 // between workers
	uneven      bool
	fastBelow   float64 // workers with a smaller LogFactor are fast
	utilization float64 // of the fast workers
	measuredAt  time.Time
	usage       usage
}

// usage sums the processors of the fast workers.
type usage struct{ used, capacity float64 }

// Join returns the speed of a worker, and creates it if necessary.
func (f *Speeds) Join(id job.WorkerID) *Speed {
	at, found := slices.BinarySearchFunc(f.workers, id, compareSpeed)
	if !found {
		f.workers = slices.Insert(f.workers, at, &Speed{id: id, Variance: fleetVariance})
	}
	return f.workers[at]
}

func compareSpeed(s *Speed, id job.WorkerID) int {
	switch {
	case s.id < id:
		return -1
	case s.id > id:
		return 1
	}
	return 0
}

// Leave forgets a worker.
func (f *Speeds) Leave(id job.WorkerID) {
	if at, found := slices.BinarySearchFunc(f.workers, id, compareSpeed); found {
		f.workers = slices.Delete(f.workers, at, at+1)
	}
}

// Describe sets the kind and the rack of a worker.
func (s *Speed) Describe(kind, rack string) { s.groups = [2]string{"kind " + kind, "rack " + rack} }

// Restart forgets the observations of earlier incarnations of a worker.
func (s *Speed) Restart(startTime int64) {
	if s.startTime != startTime {
		s.startTime, s.sum, s.precision, s.drift = startTime, 0, 0, 0
	}
}

// Observe adds a deviation of the logarithm of a run's length from the expected one on the
// average worker, with its variance.
func (f *Speeds) Observe(s *Speed, logFactor, variance float64) {
	deviation := logFactor - s.LogFactor
	if math.IsNaN(deviation) {
		return
	}
	limited := max(-maxSpeedDeviation, min(maxSpeedDeviation, deviation))
	s.drift += driftWeight * (limited/math.Sqrt(variance+s.Variance) - s.drift)
	if math.Abs(s.drift) > driftThreshold {
		s.sum, s.precision, s.drift = driftDecay*s.sum, driftDecay*s.precision, 0
	}
	if limited != deviation {
		return
	}
	s.precision = speedDecay*s.precision + 1/variance
	s.sum = speedDecay*s.sum + (logFactor+f.offset)/variance
}

// Refresh computes the pooled estimates, at most once per refreshInterval.
func (f *Speeds) Refresh(now time.Time) {
	elapsed := now.Sub(f.refreshedAt)
	if !f.refreshedAt.IsZero() && elapsed < refreshInterval {
		return
	}
	if !f.refreshedAt.IsZero() {
		decay := math.Exp(-float64(elapsed) / float64(speedTime))
		for _, s := range f.workers {
			s.precision *= decay
			s.sum *= decay
		}
	}
	f.refreshedAt = now
	fleet := group{mean: f.offset, variance: fleetVariance}
	fleet.fit(f.workers)
	groups := map[string]*group{}
	members := map[string][]*Speed{}
	for _, s := range f.workers {
		for _, key := range s.groups {
			members[key] = append(members[key], s)
		}
	}
	for key, list := range members {
		g := fleet
		g.fit(list)
		groups[key] = &g
	}
	f.offset = fleet.mean
	for _, s := range f.workers {
		prior := fleet
		for _, key := range s.groups {
			// The group whose members differ least says most about the worker.
			if g := groups[key]; g.variance+g.error < prior.variance+prior.error {
				prior = *g
			}
		}
		weight := 1 / (max(minGroupVariance, prior.variance) + prior.error)
		s.Variance = 1 / (weight + s.precision)
		s.LogFactor = (weight*prior.mean+s.sum)*s.Variance - f.offset
	}
	f.variance = fleet.variance
	enough := fleet.known >= minKnownWorkers && float64(fleet.known) >= minKnownFraction*float64(len(f.workers))
	switch {
	case !enough || f.AssumeEqual:
		f.uneven = false
	case f.variance >= unevenVariance:
		f.uneven = true
	case f.variance < evenVariance:
		f.uneven = false
	}
	f.fastBelow = -math.Sqrt(f.variance) / 2
}

// group is the distribution of the speeds of workers that have something in common.
type group struct {
	mean, variance float64 // of the members' speeds
	error          float64 // variance of the mean
	known          int     // members with enough observations of their own
}

// fit replaces the distribution, which serves as the prior, by that of some workers. The
// variance of the observations is subtracted from that of the means.
func (g *group) fit(workers []*Speed) {
	const priorMembers = 2
	weight, sum := 0.0, 0.0
	for _, s := range workers {
		if s.precision > 0 {
			w := 1 / (max(minGroupVariance, g.variance) + 1/s.precision)
			weight += w
			sum += w * s.sum / s.precision
		}
	}
	prior := 1 / (max(minGroupVariance, g.variance) + g.error)
	mean := (prior*g.mean + sum) / (prior + weight)
	total, known := priorMembers*g.variance, 0
	for _, s := range workers {
		if s.precision >= knownPrecision {
			known++
			d := s.sum/s.precision - mean
			total += d*d - 1/s.precision
		}
	}
	g.variance = max(0, total/float64(priorMembers+known))
	g.mean, g.error, g.known = mean, 1/(prior+weight), known
}

// Uneven reports whether the workers differ in speed enough to matter.
func (f *Speeds) Uneven() bool { return f.uneven }

// Nominal returns how long a run would have taken on the average worker. Where workers are
// uniform this is its length.
func (f *Speeds) Nominal(s *Speed, length time.Duration) time.Duration {
	if !f.uneven {
		return length
	}
	return time.Duration(float64(length) * math.Exp(-s.LogFactor))
}

// LogFactor returns the learned deviation of a worker's speed, or its pace where workers are
// uniform.
func (f *Speeds) LogFactor(p *Pace, s *Speed) float64 {
	if !f.uneven {
		return p.LogFactor
	}
	return s.LogFactor
}

// AddUse adds a worker's used processors and its capacity to the utilization of the fast
// workers, which EndUse computes.
func (f *Speeds) AddUse(s *Speed, used, capacity int64) {
	if f.uneven && s.LogFactor < f.fastBelow {
		f.usage.used += float64(used)
		f.usage.capacity += float64(capacity)
	}
}

// EndUse averages the utilization that was added since the last call.
func (f *Speeds) EndUse(now time.Time) {
	if f.usage.capacity > 0 {
		weight := min(1, float64(now.Sub(f.measuredAt))/float64(utilizationTime))
		f.utilization += weight * (f.usage.used/f.usage.capacity - f.utilization)
		f.measuredAt = now
	}
	f.usage = usage{}
}

// StepLengths collects the logarithms of the lengths of a step's runs, less the deviations of
// their workers.
type StepLengths struct {
	sum   float64
	count float64
}

// ObserveRun compares the length of a run with the expected length, which has a spread as a
// logarithm, and with the other runs of its step, and adds the result to its worker's speed.
func (f *Speeds) ObserveRun(s *Speed, l *StepLengths, length, expected time.Duration, spread float64) {
	logLength := math.Log(float64(max(time.Millisecond, length)))
	weight := 1 / (spread * spread)
	precision := weight + l.count/taskVariance
	// The offset is the error that the expected lengths have on the average worker.
	logExpected := math.Log(float64(max(time.Millisecond, expected))) + f.offset
	mean := (weight*logExpected + l.sum/taskVariance) / precision
	f.Observe(s, logLength-mean, taskVariance+1/precision)
	l.sum += logLength - s.LogFactor
	l.count++
}
