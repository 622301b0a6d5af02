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

// job is one task of a trace. Times are seconds.
type job struct {
	request *model.Request
	amount  model.Resources
	arrival float64
	runs    float64
}

// rule chooses a worker.
type rule struct {
	name    string
	policy  placement.Policy
	flat    bool // wait in order of arrival, whatever the class
	choose  func(x *placement.Index, ask placement.Requirements) (model.WorkerID, bool)
	product bool
}

func byProduct(x *placement.Index, ask placement.Requirements) (model.WorkerID, bool) {
	c, ok := x.Pick(epoch, ask)
	return c.Worker, ok
}

// byScan chooses the worker with the least cost among those that fit.
func byScan(cost func(v placement.View) float64) func(*placement.Index, placement.Requirements) (model.WorkerID, bool) {
	return func(x *placement.Index, ask placement.Requirements) (best model.WorkerID, ok bool) {
		least := math.Inf(1)
		for v := range x.Workers() {
			if c := cost(v); ask.Resources.Fits(v.Capacity.Sub(v.Reserved)) && c < least {
				best, least, ok = v.Worker.ID, c, true
			}
		}
		return best, ok
	}
}

// baselines returns first-fit, least-loaded and random placement.
func baselines(flat bool) []rule {
	random := rand.New(rand.NewPCG(1, 1))
	return []rule{
		{name: "first-fit", flat: flat, choose: byScan(func(placement.View) float64 { return 0 })},
		{name: "least-loaded", flat: flat, choose: byScan(func(v placement.View) float64 { return v.Reserved.DominantShare(v.Capacity) })},
		{name: "random", flat: flat, choose: byScan(func(placement.View) float64 { return random.Float64() })},
	}
}

// ending is a running job in the order of its end.
type ending struct {
	at float64
	id model.Attempt
}

type endings []ending

func (e endings) Len() int           { return len(e) }
func (e endings) Less(i, j int) bool { return e[i].at < e[j].at }
func (e endings) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *endings) Push(v any)        { *e = append(*e, v.(ending)) }
func (e *endings) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// result is what a run of a trace measured.
type result struct {
	waits [model.ClassCount + 1][]float64 // seconds from arrival to start, by class
	used  float64                         // mean dominant share of the cell that is reserved, over the arrivals
	left  int                             // jobs that still wait at the end of the arrivals
}

func (r *result) mean(c model.Class) float64 {
	sum := 0.0
	for _, w := range r.waits[c] {
		sum += w
	}
	return sum / float64(len(r.waits[c]))
}

func (r *result) p99(c model.Class) float64 {
	slices.Sort(r.waits[c])
	return r.waits[c][len(r.waits[c])*99/100]
}

// replay runs a trace in virtual time until its last arrival. Jobs that have
// not started by then count with the time that they have waited.
func replay(x *placement.Index, jobs []job, r rule) result {
	o := admission.DefaultOptions()
	o.ClassLimits, o.MaxTeamFraction = [model.ClassCount]int{1 << 20, 1 << 20, 1 << 20}, 1
	q := admission.NewQueue(o, func(model.Team) float64 { return 0 })
	var res result
	var running endings
	byID := make(map[model.RequestID]*job, len(jobs))
	last, area := 0.0, 0.0
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
			if s, starved := q.StarvedItem(); starved && r.product {
				if _, held := x.HoldWorker(placement.Requirements{Request: s.Request, Resources: s.Resources}); held {
					q.MarkHeld(s)
				}
			}
			if !ok {
				return
			}
			j := byID[i.Request.ID]
			a := attempt(string(i.Request.ID))
			if !x.Reserve(worker, a, i.Request, j.amount) {
				panic("a rule chose a worker that does not hold the job")
			}
			res.waits[j.request.Class] = append(res.waits[j.request.Class], at-j.arrival)
			heap.Push(&running, ending{at + j.runs, a})
		}
	}
	pass := func(at float64) {
		area += (at - last) * x.TotalReserved().DominantShare(x.TotalCapacity())
		last = at
	}
	for k := range jobs {
		j := &jobs[k]
		for len(running) > 0 && running[0].at <= j.arrival {
			e := heap.Pop(&running).(ending)
			pass(e.at)
			x.Release(e.id)
			dispatch(e.at)
		}
		pass(j.arrival)
		request := *j.request
		if r.flat {
			request.Class = model.ClassStandard
		}
		byID[request.ID] = j
		now := epoch.Add(time.Duration(j.arrival * float64(time.Second)))
		request.Deadline = now.Add(time.Hour)
		if err := q.Push(now, &admission.Item{Request: &request, Resources: j.amount, EnqueuedAt: now}); err != nil {
			panic(err)
		}
		dispatch(j.arrival)
	}
	for i := range q.All() {
		j := byID[i.Request.ID]
		res.waits[j.request.Class] = append(res.waits[j.request.Class], last-j.arrival)
		res.left++
	}
	res.used = area / last
	return res
}

// mixture returns jobs of mixed kinds that take the given share of the
// processors and of the slots in the mean. The demand swings by a third around
// its mean within two minutes: with steady arrivals a cell of dozens of workers
// is never full at 90% and no rule makes urgent work wait.
func mixture(seed uint64, total model.Resources, load, seconds float64) []job {
	random := rand.New(rand.NewPCG(seed, 0))
	kinds := []struct {
		class       model.Class
		part, runs  float64 // of the slots, or of the processors that requests leave; seconds
		slots       int64
		least, most int64 // quarters of a processor
	}{
		{model.ClassUrgent, 0.3, 0.4, 1, 2, 4},
		{model.ClassStandard, 0.7, 4, 1, 2, 8},
		{model.ClassStandard, 0.6, 20, 0, 4, 32},
		{model.ClassBackground, 0.4, 120, 0, 4, 16},
	}
	var jobs []job
	left := load * float64(total.MilliCPU) / 250
	for _, k := range kinds {
		mean := float64(k.least+k.most) / 2
		rate := load * k.part * float64(total.Slots) / k.runs
		if k.slots > 0 {
			left -= rate * k.runs * mean
		} else {
			rate = k.part * left / (mean * k.runs)
		}
		for at := 0.0; at < seconds; {
			swing := 1 + math.Copysign(1./3, math.Sin(at*2*math.Pi/120))
			at += random.ExpFloat64() / (rate * swing)
			size := k.least + random.Int64N(k.most-k.least+1)
			jobs = append(jobs, job{
				request: request(fmt.Sprint(k.class, len(jobs)), k.class),
				amount:  model.Resources{MilliCPU: size * 250, MemoryBytes: size * gb / 8 * (1 + random.Int64N(4)), Slots: k.slots},
				arrival: at,
				runs:    random.ExpFloat64() * k.runs,
			})
		}
	}
	slices.SortFunc(jobs, func(a, b job) int { return cmp.Compare(a.arrival, b.arrival) })
	return jobs
}
