package placement_test

import (
	"cmp"
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"fuchsiacross/admission"
	"fuchsiacross/model"
	"fuchsiacross/placement"
)

// traceJob is one task of a trace. Times are in seconds.
type traceJob struct {
	request        *model.Request
	amount         model.Resources
	arrivalSeconds float64
	runSeconds     float64
}

// strategy is a way to choose workers, for comparison.
type strategy struct {
	name         string
	policy       placement.Policy
	ignoresClass bool // items wait in order of arrival, whatever their class
	choose       func(x *placement.Index, req placement.Requirements) (model.WorkerID, bool)
	holdsWorkers bool // workers are held for starved items
}

// pickByIndex chooses with Index.Pick.
func pickByIndex(x *placement.Index, req placement.Requirements) (model.WorkerID, bool) {
	c, ok := x.Pick(epoch, req)
	return c.Worker, ok
}

// pickLeastCost chooses the worker with the least cost among all that fit.
func pickLeastCost(cost func(v placement.WorkerView) float64) func(*placement.Index, placement.Requirements) (model.WorkerID, bool) {
	return func(x *placement.Index, req placement.Requirements) (best model.WorkerID, ok bool) {
		leastCost := math.Inf(1)
		for v := range x.Workers() {
			if c := cost(v); req.Resources.Fits(v.Capacity.Sub(v.Reserved)) && c < leastCost {
				best, leastCost, ok = v.Worker.ID, c, true
			}
		}
		return best, ok
	}
}

// baselineStrategies returns first-fit, least-loaded and random placement.
func baselineStrategies(ignoresClass bool) []strategy {
	random := rand.New(rand.NewPCG(1, 1))
	return []strategy{
		{name: "first-fit", ignoresClass: ignoresClass, choose: pickLeastCost(func(placement.WorkerView) float64 { return 0 })},
		{name: "least-loaded", ignoresClass: ignoresClass, choose: pickLeastCost(func(v placement.WorkerView) float64 { return v.Reserved.DominantShare(v.Capacity) })},
		{name: "random", ignoresClass: ignoresClass, choose: pickLeastCost(func(placement.WorkerView) float64 { return random.Float64() })},
	}
}

// completion is the end of a running job.
type completion struct {
	seconds float64
	attempt model.Attempt
}

// completionHeap orders completions by time.
type completionHeap []completion

func (e completionHeap) Len() int           { return len(e) }
func (e completionHeap) Less(i, j int) bool { return e[i].seconds < e[j].seconds }
func (e completionHeap) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *completionHeap) Push(v any)        { *e = append(*e, v.(completion)) }
func (e *completionHeap) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// traceResult holds the measurements of one replay of a trace.
type traceResult struct {
	waitSeconds  [model.ClassCount + 1][]float64 // seconds from arrival to start, by class
	meanReserved float64                         // mean reserved dominant share of the cell until the last arrival
	unstarted    int                             // jobs that still wait at the last arrival
}

func (r *traceResult) mean(c model.Class) float64 {
	sum := 0.0
	for _, w := range r.waitSeconds[c] {
		sum += w
	}
	return sum / float64(len(r.waitSeconds[c]))
}

func (r *traceResult) p99(c model.Class) float64 {
	slices.Sort(r.waitSeconds[c])
	return r.waitSeconds[c][len(r.waitSeconds[c])*99/100]
}

// replay runs a trace in virtual time until its last arrival. For jobs that have not
// started by then, the time that they have waited is recorded.
func replay(x *placement.Index, jobs []traceJob, r strategy) traceResult {
	o := admission.DefaultOptions()
	o.ClassLimits, o.MaxTeamFraction = [model.ClassCount]int{1 << 20, 1 << 20, 1 << 20}, 1
	q := admission.NewQueue(o, func(model.Team) float64 { return 0 })
	var result traceResult
	var running completionHeap
	byID := make(map[model.RequestID]*traceJob, len(jobs))
	last, reservedSeconds := 0.0, 0.0
	dispatch := func(at float64) {
		now := epoch.Add(time.Duration(at * float64(time.Second)))
		for {
			var worker model.WorkerID
			i, ok := q.PopNext(now, func(i *admission.Item) admission.StartResult {
				w, ok := r.choose(x, placement.Requirements{Request: i.Request, Resources: i.Resources})
				if !ok {
					return admission.NoCapacity
				}
				worker = w
				return admission.Started
			})
			if s, starved := q.StarvedItem(); starved && r.holdsWorkers {
				if _, held := x.HoldWorker(placement.Requirements{Request: s.Request, Resources: s.Resources}); held {
					q.MarkHeld(s)
				}
			}
			if !ok {
				return
			}
			j := byID[i.Request.ID]
			a := newAttempt(string(i.Request.ID))
			if !x.Reserve(worker, a, i.Request, j.amount) {
				panic("a strategy chose a worker that the job does not fit")
			}
			result.waitSeconds[j.request.Class] = append(result.waitSeconds[j.request.Class], at-j.arrivalSeconds)
			heap.Push(&running, completion{at + j.runSeconds, a})
		}
	}
	advance := func(at float64) {
		reservedSeconds += (at - last) * x.TotalReserved().DominantShare(x.TotalCapacity())
		last = at
	}
	for k := range jobs {
		j := &jobs[k]
		for len(running) > 0 && running[0].seconds <= j.arrivalSeconds {
			e := heap.Pop(&running).(completion)
			advance(e.seconds)
			x.Release(e.attempt)
			dispatch(e.seconds)
		}
		advance(j.arrivalSeconds)
		request := *j.request
		if r.ignoresClass {
			request.Class = model.ClassStandard
		}
		byID[request.ID] = j
		now := epoch.Add(time.Duration(j.arrivalSeconds * float64(time.Second)))
		request.Deadline = now.Add(time.Hour)
		if err := q.Push(now, &admission.Item{Request: &request, Resources: j.amount, EnqueuedAt: now}); err != nil {
			panic(err)
		}
		dispatch(j.arrivalSeconds)
	}
	for i := range q.All() {
		j := byID[i.Request.ID]
		result.waitSeconds[j.request.Class] = append(result.waitSeconds[j.request.Class], last-j.arrivalSeconds)
		result.unstarted++
	}
	result.meanReserved = reservedSeconds / last
	return result
}

// mixedJobs returns jobs of mixed kinds whose mean demand is the given fraction of
// the processors and of the slots. The demand varies by a third around its mean with a
// period of two minutes. With steady arrivals, a cell of dozens of workers is never
// full at 90% load, and no strategy makes urgent work wait.
func mixedJobs(seed uint64, total model.Resources, load, seconds float64) []traceJob {
	random := rand.New(rand.NewPCG(seed, 0))
	kinds := []struct {
		class                model.Class
		fraction, runSeconds float64 // fraction of the slots, or of the processors that slot work leaves; mean run time in seconds
		slots                int64
		minSize, maxSize     int64 // processors, in units of 250 millicores
	}{
		{model.ClassUrgent, 0.3, 0.4, 1, 2, 4},
		{model.ClassStandard, 0.7, 4, 1, 2, 8},
		{model.ClassStandard, 0.6, 20, 0, 4, 32},
		{model.ClassBackground, 0.4, 120, 0, 4, 16},
	}
	var jobs []traceJob
	remaining := load * float64(total.MilliCPU) / 250
	for _, k := range kinds {
		mean := float64(k.minSize+k.maxSize) / 2
		rate := load * k.fraction * float64(total.Slots) / k.runSeconds
		if k.slots > 0 {
			remaining -= rate * k.runSeconds * mean
		} else {
			rate = k.fraction * remaining / (mean * k.runSeconds)
		}
		for at := 0.0; at < seconds; {
			variation := 1 + math.Copysign(1./3, math.Sin(at*2*math.Pi/120))
			at += random.ExpFloat64() / (rate * variation)
			size := k.minSize + random.Int64N(k.maxSize-k.minSize+1)
			jobs = append(jobs, traceJob{
				request:        newRequest(fmt.Sprint(k.class, len(jobs)), k.class),
				amount:         model.Resources{MilliCPU: size * 250, MemoryBytes: size * gb / 8 * (1 + random.Int64N(4)), Slots: k.slots},
				arrivalSeconds: at,
				runSeconds:     random.ExpFloat64() * k.runSeconds,
			})
		}
	}
	slices.SortFunc(jobs, func(a, b traceJob) int { return cmp.Compare(a.arrivalSeconds, b.arrivalSeconds) })
	return jobs
}
