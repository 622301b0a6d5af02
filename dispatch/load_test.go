package dispatch_test

import (
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"fuchsiacross/dispatch"
	"fuchsiacross/job"
	"fuchsiacross/model"
)

// kind is a kind of request of a deployment.
type kind struct {
	queue     job.Queue
	perSecond float64
	worth     float64
	steps     float64
	width     float64
	maxWidth  int
	work      time.Duration
	maxWork   time.Duration
	milliCPU  float64
	megabytes float64
	gang      float64 // share of steps that are gangs
	good      float64 // share of the workers that may run a step
	estimate  float64 // spread of the estimates around the true length
	fails     float64 // share of the runs that fail by their own fault
	saves     float64 // share of the steps that save checkpoints
}

// load is a deployment's traffic, with a factor on each kind by time.
type load struct {
	workers    int
	processors int64
	kinds      []kind
	factor     func(queue string, at time.Duration) float64
	span       time.Duration
	paces      []float64 // how many times longer runs take, by kind of worker; nil for one kind
	gangPart   float64   // largest part of all processors that a gang takes; zero for any
	lanes      int       // instances that ask for advice; zero for the standard sites'
	seed       uint64
}

// result is the worth that was earned of what was owed, by queue.
type result struct {
	total  float64
	queues map[string]float64
	late   map[string]int
	never  map[string]int
	wait   map[string]time.Duration // mean time to the first start
	asked  int
	packed float64 // share of the processors in use while the load lasts
}

func (r result) String() string {
	return fmt.Sprintf("total %.3f by queue %.3v late %v never %v mean wait %v, %d calls for advice, packed %.3f",
		r.total, r.queues, r.late, r.never, r.wait, r.asked, r.packed)
}

// schrijfkraam is the traffic of the stalls: 48 workers of 16 processors.
func schrijfkraam() load {
	return load{
		workers: 48, processors: 16, span: 40 * time.Second, seed: 1,
		factor: func(string, time.Duration) float64 { return 1 },
		kinds: []kind{
			{
				queue: job.Queue{
					Name: "appeals", Pool: "pool", Priority: 1, MaxAttempts: 2, Stretch: 2.2, LatencyMilliseconds: 1000,
					RequiresAdvice: true, AdviceCallMilliseconds: 450, AdviceWorkerMilliseconds: 6.5, TicketMilliseconds: 2500,
				},
				perSecond: 1.48, worth: 13.3, steps: 1.2, width: 8, maxWidth: 48, work: 5 * time.Second, maxWork: 12 * time.Second,
				milliCPU: 4500, megabytes: 8000, gang: 1, good: 0.35, estimate: 0.9,
			},
			{
				queue: job.Queue{
					Name: "condolences", Pool: "pool", Priority: 2, MaxAttempts: 3, Stretch: 4, LatencyMilliseconds: 3000,
					RequiresAdvice: true, AdviceCallMilliseconds: 58, AdviceWorkerMilliseconds: 0.82, TicketMilliseconds: 2500,
				},
				perSecond: 6.8, worth: 1.8, steps: 1.5, width: 10, maxWidth: 60, work: 2200 * time.Millisecond, maxWork: 6 * time.Second,
				milliCPU: 980, megabytes: 2800, good: 0.45, estimate: 0.2,
			},
			{
				queue: job.Queue{
					Name: "checks", Pool: "pool", Priority: 0, MaxAttempts: 4, Stretch: 1.5, LatencyMilliseconds: 300,
					RequiresAdvice: true, AdviceCallMilliseconds: 8.1, AdviceWorkerMilliseconds: 0.12, TicketMilliseconds: 2500,
				},
				perSecond: 38.6, worth: 0.444, steps: 1, width: 2, maxWidth: 12, work: 800 * time.Millisecond, maxWork: 2 * time.Second,
				milliCPU: 1400, megabytes: 2900, gang: 0.3, good: 0.7, estimate: 0.5,
			},
		},
	}
}

// around draws a positive number with a mean and a spread.
func around(r *rand.Rand, mean, spread, most float64) float64 {
	return min(most, mean*math.Exp(spread*r.NormFloat64()-spread*spread/2))
}

// replay plays a load and tells what it was worth.
func replay(l load, prepare func(*cell)) result {
	random := rand.New(rand.NewPCG(l.seed, 7))
	var queues []job.Queue
	for _, k := range l.kinds {
		queues = append(queues, k.queue)
	}
	c := newCell(l.workers, l.processors, queues...)
	lengths := map[job.StepID]time.Duration{}
	c.length = func(id job.TaskID) time.Duration {
		// The same for every policy, so that they are compared under one load.
		return time.Duration(float64(lengths[id.StepID]) * (0.9 + 0.2*share(id.StepID, job.WorkerID(strconv.Itoa(id.Index)))))
	}
	goodShare := map[job.ID]float64{}
	fails := map[job.ID]float64{}
	failing := rand.New(rand.NewPCG(l.seed, 8))
	c.outcome = func(id job.TaskID, _ int64) job.EndKind {
		if failing.Float64() < fails[id.Job] {
			return job.EndFailed
		}
		return job.EndDone
	}
	c.good = func(step job.StepID, id job.WorkerID) bool { return share(step, id) < goodShare[step.Job] }
	if l.lanes != 0 {
		c.laneCount = l.lanes
		c.lead(c.options)
	}
	for n, id := range slices.Sorted(maps.Keys(c.workers)) {
		if len(l.paces) > 0 {
			c.workers[id].pace = l.paces[n%len(l.paces)]
		}
	}
	if prepare != nil {
		prepare(c)
	}
	type owed struct {
		queue     string
		worth     float64
		work      float64
		objective time.Duration
	}
	owing := map[job.ID]owed{}
	works := map[string]float64{}
	counts := map[string]float64{}
	n := 0
	var arrive func(k kind)
	arrive = func(k kind) {
		if c.now.Sub(c.start) > l.span {
			return
		}
		rate := k.perSecond * l.factor(k.queue.Name, c.now.Sub(c.start))
		c.after(time.Duration(random.ExpFloat64()/rate*float64(time.Second)), func() { arrive(k) })
		n++
		steps := max(1, int(math.Round(around(random, k.steps, 0.4, 4))))
		j := job.Job{ID: id(n), Queue: k.queue.Name, Definition: job.Definition{Spec: "spec"}}
		chain, total := time.Duration(0), 0.0
		for i := range steps {
			work := time.Duration(around(random, float64(k.work), 0.5, float64(k.maxWork)))
			lengths[job.StepID{Job: j.ID, Step: i}] = work
			chain += work
			s := job.Step{
				Tasks: max(1, int(math.Round(around(random, k.width, 0.8, float64(k.maxWidth))))),
				Demand: model.Resources{
					MilliCPU:    int64(around(random, k.milliCPU, 0.4, float64(l.processors*1000))),
					MemoryBytes: int64(around(random, k.megabytes, 0.5, 26000)) << 20,
				},
				EstimateMilliseconds: float64(work.Milliseconds()) * math.Exp(k.estimate*random.NormFloat64()),
				Gang:                 random.Float64() < k.gang,
				Checkpoints:          random.Float64() < k.saves,
			}
			if i > 0 {
				s.After = []int{i - 1}
			}
			// A gang fits the workers that may run it, and takes a small part of all.
			slots := 0
			for w := range c.workers {
				if share(job.StepID{Job: j.ID, Step: i}, w) < k.good {
					slots += int(l.processors * 1000 / s.Demand.MilliCPU)
				}
			}
			s.Tasks = max(1, min(s.Tasks, slots*2/3))
			if s.Gang && l.gangPart > 0 {
				s.Tasks = max(1, min(s.Tasks, int(l.gangPart*float64(l.processors*1000)*float64(l.workers)/float64(s.Demand.MilliCPU))))
			}
			total += float64(s.Tasks) * work.Seconds() * float64(s.Demand.MilliCPU) / 1000
			j.Definition.Steps = append(j.Definition.Steps, s)
		}
		if k.queue.AdviceCallMilliseconds > 0 {
			chain += time.Duration(steps) * time.Duration((k.queue.AdviceCallMilliseconds+30*k.queue.AdviceWorkerMilliseconds)*float64(time.Millisecond))
		}
		goodShare[j.ID] = k.good
		fails[j.ID] = k.fails
		owing[j.ID] = owed{
			queue: k.queue.Name, worth: k.worth, work: total,
			objective: time.Duration(float64(chain)*k.queue.Stretch) + time.Duration(k.queue.LatencyMilliseconds)*time.Millisecond,
		}
		works[k.queue.Name] += total
		counts[k.queue.Name]++
		c.hand(j)
	}
	for _, k := range l.kinds {
		arrive(k)
	}
	packed, samples := 0.0, 0.0
	var sample func()
	sample = func() {
		if c.now.Sub(c.start) > l.span {
			return
		}
		for _, w := range c.workers {
			for _, r := range w.running {
				packed += float64(r.room.MilliCPU)
			}
		}
		samples += float64(int64(len(c.workers)) * l.processors * 1000)
		c.after(100*time.Millisecond, sample)
	}
	c.after(5*time.Second, sample)
	c.run(l.span + 40*time.Second)
	result := result{queues: map[string]float64{}, late: map[string]int{}, never: map[string]int{}, wait: map[string]time.Duration{}, asked: c.asked, packed: packed / samples}
	due, all, earned := map[string]float64{}, 0.0, 0.0
	for id, o := range owing {
		worth := min(4, 0.3+0.7*o.work/(works[o.queue]/counts[o.queue])) * o.worth
		due[o.queue] += worth
		all += worth
		took := c.shown[id].Sub(c.handed[id])
		switch {
		case c.shown[id].IsZero() || took > 3*o.objective:
			result.never[o.queue]++
			continue
		case took > o.objective:
			result.late[o.queue]++
			worth /= 5
		}
		result.queues[o.queue] += worth
		earned += worth
	}
	for q := range result.queues {
		result.queues[q] /= due[q]
	}
	first := map[string]time.Duration{}
	for id, at := range c.began {
		first[owing[id].queue] += at.Sub(c.handed[id])
	}
	for q, sum := range first {
		result.wait[q] = (sum / time.Duration(counts[q])).Round(time.Millisecond)
	}
	result.total = earned / all
	Expect(c.violations).To(BeEmpty())
	return result
}

// average replays a load with several seeds and adds the results up.
func average(l load, seeds int, prepare func(*cell)) string {
	return sum(seeded(l, seeds, prepare)).String()
}

// total is the share of the worth that was earned on average.
func total(l load, seeds int, prepare func(*cell)) float64 {
	return sum(seeded(l, seeds, prepare)).total
}

// seeded replays a load with several seeds at once.
func seeded(l load, seeds int, prepare func(*cell)) []result {
	results := make([]result, seeds)
	var group sync.WaitGroup
	for n := range results {
		group.Go(func() {
			defer GinkgoRecover()
			mine := l
			mine.seed = uint64(n)
			results[n] = replay(mine, prepare)
		})
	}
	group.Wait()
	return results
}

// sum adds the mean worth and the counts of several results up.
func sum(results []result) result {
	seeds := len(results)
	sum := result{queues: map[string]float64{}, late: map[string]int{}, never: map[string]int{}, wait: map[string]time.Duration{}}
	for _, r := range results {
		sum.total += r.total / float64(seeds)
		sum.asked += r.asked
		sum.packed += r.packed / float64(seeds)
		for q := range r.queues {
			sum.queues[q] += r.queues[q] / float64(seeds)
			sum.late[q] += r.late[q]
			sum.never[q] += r.never[q]
			sum.wait[q] += r.wait[q] / time.Duration(seeds)
		}
	}
	return sum
}

// share spreads the advice service's policy evenly over workers.
func share(step job.StepID, id job.WorkerID) float64 {
	hash := uint64(1469598103934665603) + uint64(step.Step)
	for _, b := range []byte(string(step.Job) + string(id)) {
		hash = (hash ^ uint64(b)) * 1099511628211
	}
	hash ^= hash >> 29
	hash *= 0xbf58476d1ce4e5b9
	hash ^= hash >> 32
	return float64(hash%10_000) / 10_000
}

// burst multiplies the rate of a queue for four seconds.
func burst(queue string, from time.Duration, factor float64) func(string, time.Duration) float64 {
	return func(q string, at time.Duration) float64 {
		if q == queue && at >= from && at < from+4*time.Second {
			return factor
		}
		return 1
	}
}

// stalls is the traffic of the stalls as the bench plays it: gangs are narrower
// and workers of two kinds.
func stalls() load {
	l := schrijfkraam()
	l.paces, l.gangPart = []float64{0.92, 0.92, 1.2}, 0.055
	for i, share := range []float64{0.02, 0.005, 0.005} {
		l.kinds[i].fails = share
	}
	l.kinds[0].saves, l.kinds[1].saves = 0.5, 0.8
	return l
}

// crowded is a load that fills all workers, so that many gangs wait.
func crowded() load {
	l := stalls()
	l.span = 48 * time.Second
	appeals, checks := burst("appeals", 18*time.Second, 1.7), burst("checks", 6*time.Second, 2.3)
	l.factor = func(q string, at time.Duration) float64 { return 1.1 * appeals(q, at) * checks(q, at) }
	return l
}

// lostLeaders has workers crash and the leader change twice, the second time
// with all instances.
func lostLeaders(c *cell) {
	c.after(10500*time.Millisecond, func() {
		for _, id := range []job.WorkerID{"w03", "w17", "w29", "w41"} {
			w := c.workers[id]
			w.dark = true
			c.after(4*time.Second, w.restart)
		}
	})
	c.after(time.Second, func() { c.setLanes(5) })
	c.after(13*time.Second, func() { c.setLanes(7) })
	for _, id := range []job.WorkerID{"w05", "w16", "w28", "w40"} {
		w := c.workers[id]
		c.after(11900*time.Millisecond, func() { w.slow = 4.9 })
		c.after(18*time.Second, func() { w.slow = 0 })
	}
	c.after(14*time.Second, func() { c.loseLeader(700 * time.Millisecond) })
	c.after(34*time.Second, func() { c.loseLeader(1600 * time.Millisecond) })
}

var _ = Describe("Load", func() {
	// Prints the worth of several loads, to compare policies by hand.
	It("reports the worth of several loads", func() {
		if os.Getenv("DISPATCH_LOADS") == "" {
			Skip("set DISPATCH_LOADS to print the worth of several loads")
		}
		factors := []struct {
			name   string
			factor func(string, time.Duration) float64
		}{
			{"calm", func(string, time.Duration) float64 { return 1 }},
			{"appeals burst", burst("appeals", 18*time.Second, 1.8)},
			{"checks burst", burst("checks", 18*time.Second, 2.2)},
			{"overload 1.2", func(string, time.Duration) float64 { return 1.2 }},
			{"overload 1.4", func(string, time.Duration) float64 { return 1.4 }},
			{"overload 1.7", func(string, time.Duration) float64 { return 1.7 }},
		}
		for _, f := range factors {
			l := stalls()
			l.factor = f.factor
			fmt.Printf("LOAD %-14s %s\n", f.name, average(l, 20, nil))
		}
		fmt.Printf("LOAD %-14s %s\n", "lost leaders", average(crowded(), 20, lostLeaders))
	})

	// A fifth more work than there is room for, with estimates of the dear jobs
	// that are off by a factor of 2.5: without a forecast, jobs that look late
	// step behind all others and are served when the load is over or never.
	It("earns more than the baselines under overload", func() {
		earned := func(p dispatch.Policy) float64 {
			l := schrijfkraam()
			l.factor = func(string, time.Duration) float64 { return 1.2 }
			return total(l, 3, func(c *cell) {
				c.options.Policy = p
				c.lead(c.options)
			})
		}
		ours := earned(dispatch.Policy{})
		Expect(ours).To(BeNumerically(">", earned(dispatch.Policy{TrustEstimates: true})))
		Expect(ours).To(BeNumerically(">", earned(dispatch.Policy{FirstCome: true})))
	})
})
