package placement

import (
	"math"
	"slices"

	"fuchsiacross/model"
)

// usage records the observed resource use of each workload. A workload is a kind
// of work that a team names.
type usage struct {
	workloads map[workloadKey]*workloadUsage
}

type workloadKey struct {
	team     model.Team
	workload model.Workload
}

const (
	// windowSize is the number of latest samples that a quantile is computed from.
	windowSize = 64
	// usageQuantile is the quantile of the observed use that is reserved. With
	// the maximum, one outlier would raise the reservation of the whole workload.
	usageQuantile = 0.95
	// minSamples is the number of samples below which the declared amounts are used.
	minSamples = 8
	// maxWorkloads limits the memory for observations to about 8 MB.
	maxWorkloads = 10_000
)

// workloadUsage is the observed use of one workload. Processors and memory are
// recorded as ratios of used to declared amounts, because requests of one workload
// may differ in size. Where nothing was declared, the used amount itself is
// recorded. Slots and accelerators are not observed; they are used as declared.
type workloadUsage struct {
	processorRatios, memoryRatios      window // used / declared
	absoluteProcessors, absoluteMemory window // thousandths of a processor, bytes
	runSeconds                         window
}

// window holds the latest samples of one quantity in a ring buffer.
type window struct {
	samples  []float32
	next     int
	quantile float64 // usageQuantile of the samples
}

// add adds a sample, which replaces the oldest one if the window is full.
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
	w.quantile = float64(sorted[int(math.Ceil(usageQuantile*float64(n)))-1])
}

// maxDeclaredObserved returns the larger of a declared amount and the observed
// quantile, which counts only with enough samples.
func maxDeclaredObserved(declared int64, ratio, absolute *window) int64 {
	observed := 0.0
	switch {
	case declared > 0 && len(ratio.samples) >= minSamples:
		observed = ratio.quantile * float64(declared)
	case declared == 0 && len(absolute.samples) >= minSamples:
		observed = absolute.quantile
	}
	return max(declared, int64(math.Ceil(min(observed, 1<<52))))
}

// recordSample adds a used amount to the window of ratios, or to the window of
// absolute amounts if nothing was declared. Negative amounts are ignored.
func recordSample(declared, used int64, ratio, absolute *window) {
	switch {
	case used < 0:
	case declared > 0:
		ratio.add(float64(used) / float64(declared))
	case used > 0:
		absolute.add(float64(used))
	}
}

// getOrAdd returns the record of a workload and adds it if there is space for it.
// It returns false if maxWorkloads is reached.
func (u *usage) getOrAdd(team model.Team, workload model.Workload) (*workloadUsage, bool) {
	key := workloadKey{team, workload}
	o, ok := u.workloads[key]
	if !ok && len(u.workloads) < maxWorkloads {
		o, ok = &workloadUsage{}, true
		u.workloads[key] = o
	}
	return o, ok
}

// ObserveUsage records what one running attempt of a workload uses, next to what
// its request declared.
func (x *Index) ObserveUsage(team model.Team, workload model.Workload, declared, used model.Resources) {
	o, ok := x.usage.getOrAdd(team, workload)
	if !ok {
		return
	}
	recordSample(declared.MilliCPU, used.MilliCPU, &o.processorRatios, &o.absoluteProcessors)
	recordSample(declared.MemoryBytes, used.MemoryBytes, &o.memoryRatios, &o.absoluteMemory)
}

// ObserveRunTime records how many seconds one attempt of a workload ran.
func (x *Index) ObserveRunTime(team model.Team, workload model.Workload, seconds float64) {
	if o, ok := x.usage.getOrAdd(team, workload); ok && seconds >= 0 {
		o.runSeconds.add(seconds)
	}
}

// RunTimeSeconds returns the 95th percentile of the observed run times of a
// workload in seconds, or false if too few were observed.
func (x *Index) RunTimeSeconds(team model.Team, workload model.Workload) (float64, bool) {
	o, ok := x.usage.workloads[workloadKey{team, workload}]
	if !ok || len(o.runSeconds.samples) < minSamples {
		return 0, false
	}
	return o.runSeconds.quantile, true
}

// EffectiveResources returns what to reserve for a task: the larger of the
// declared amount and the 95th percentile of the observed use. If no worker has
// that capacity, it is limited to the capacity of a worker that fits the declared
// amount, so that the task can still run.
func (x *Index) EffectiveResources(team model.Team, workload model.Workload, declared model.Resources) model.Resources {
	o, ok := x.usage.workloads[workloadKey{team, workload}]
	if !ok {
		return declared
	}
	want := declared
	want.MilliCPU = maxDeclaredObserved(declared.MilliCPU, &o.processorRatios, &o.absoluteProcessors)
	want.MemoryBytes = maxDeclaredObserved(declared.MemoryBytes, &o.memoryRatios, &o.absoluteMemory)
	if want == declared {
		return declared
	}
	want = want.Min(x.potentials.largestCapacity()).Max(declared)
	if _, ok := x.potentials.findFirst(0, func(p *potential) bool { return want.Fits(p.capacity) }); ok {
		return want
	}
	i, ok := x.potentials.findFirst(0, func(p *potential) bool { return declared.Fits(p.capacity) })
	if !ok {
		return declared
	}
	return want.Min(x.nodes[i].capacity).Max(declared)
}
