package placement

import (
	"math"
	"slices"

	"fuchsiacross/model"
)

// usage holds what the attempts of each workload were seen to use.
type usage struct {
	workloads map[workloadKey]*observed
}

type workloadKey struct {
	team     model.Team
	workload model.Workload
}

const (
	// windowSize is the number of latest samples that a percentile is taken of.
	windowSize = 64
	// percentile of observed usage that is reserved. The largest sample would
	// let one outlier raise the reservation of the whole workload.
	percentile = 0.95
	// minSamples is the number of samples below which declarations stand.
	minSamples = 8
	// maxWorkloads bounds the memory taken by observations to about 8 MB.
	maxWorkloads = 10_000
)

// observed is what one workload was seen to use. Processors and memory are kept
// as ratios of what was declared, because requests of one workload may differ
// in size; where nothing was declared the amount itself is kept. Slots and
// accelerators are used as declared.
type observed struct {
	processors, memory           window // ratios
	plainProcessors, plainMemory window // thousandths of a processor, bytes
	runSeconds                   window
}

// window keeps the latest samples of one quantity.
type window struct {
	samples []float32
	next    int
	high    float64 // percentile of the samples
}

func (w *window) add(v float64) {
	if len(w.samples) < windowSize {
		w.samples = append(w.samples, float32(v))
	} else {
		w.samples[w.next] = float32(v)
		w.next = (w.next + 1) % windowSize
	}
	var sorted [windowSize]float32
	n := copy(sorted[:], w.samples)
	slices.Sort(sorted[:n])
	w.high = float64(sorted[int(math.Ceil(percentile*float64(n)))-1])
}

// raise returns the larger of a declared amount and the observed one.
func raise(declared int64, ratio, plain *window) int64 {
	seen := 0.0
	switch {
	case declared > 0 && len(ratio.samples) >= minSamples:
		seen = ratio.high * float64(declared)
	case declared == 0 && len(plain.samples) >= minSamples:
		seen = plain.high
	}
	return max(declared, int64(math.Ceil(min(seen, 1<<52))))
}

func record(declared, used int64, ratio, plain *window) {
	switch {
	case used < 0:
	case declared > 0:
		ratio.add(float64(used) / float64(declared))
	case used > 0:
		plain.add(float64(used))
	}
}

func (u *usage) of(team model.Team, workload model.Workload) (*observed, bool) {
	key := workloadKey{team, workload}
	o, ok := u.workloads[key]
	if !ok && len(u.workloads) < maxWorkloads {
		o, ok = &observed{}, true
		u.workloads[key] = o
	}
	return o, ok
}

// Observe records what one running attempt of a workload uses.
func (x *Index) ObserveUsage(team model.Team, workload model.Workload, declared, used model.Resources) {
	o, ok := x.usage.of(team, workload)
	if !ok {
		return
	}
	record(declared.MilliCPU, used.MilliCPU, &o.processors, &o.plainProcessors)
	record(declared.MemoryBytes, used.MemoryBytes, &o.memory, &o.plainMemory)
}

// ObserveRun records how long one attempt of a workload ran.
func (x *Index) ObserveRunTime(team model.Team, workload model.Workload, seconds float64) {
	if o, ok := x.usage.of(team, workload); ok && seconds >= 0 {
		o.runSeconds.add(seconds)
	}
}

// RunSeconds returns a high percentile of the observed run times of a workload,
// or false when too few were observed.
func (x *Index) RunSeconds(team model.Team, workload model.Workload) (float64, bool) {
	o, ok := x.usage.workloads[workloadKey{team, workload}]
	if !ok || len(o.runSeconds.samples) < minSamples {
		return 0, false
	}
	return o.runSeconds.high, true
}

// Effective returns what to reserve for a task: the larger of what is declared
// and a high percentile of what was observed, but no more than some worker that
// holds the declared amount has.
func (x *Index) EffectiveResources(team model.Team, workload model.Workload, declared model.Resources) model.Resources {
	o, ok := x.usage.workloads[workloadKey{team, workload}]
	if !ok {
		return declared
	}
	want := declared
	want.MilliCPU = raise(declared.MilliCPU, &o.processors, &o.plainProcessors)
	want.MemoryBytes = raise(declared.MemoryBytes, &o.memory, &o.plainMemory)
	if want == declared {
		return declared
	}
	want = want.Min(x.reach.largest()).Max(declared)
	if _, ok := x.reach.find(0, func(e *extent) bool { return want.Fits(e.capacity) }); ok {
		return want
	}
	i, ok := x.reach.find(0, func(e *extent) bool { return declared.Fits(e.capacity) })
	if !ok {
		return declared
	}
	return want.Min(x.nodes[i].capacity).Max(declared)
}
