package dispatch_test

import (
	"cmp"
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

// requestKind is a kind of request in the traffic of a site.
type requestKind struct {
	queue              job.Queue
	perSecond          float64
	worth              float64
	steps              float64 // mean number of steps of a job
	width              float64 // mean number of tasks of a step
	maxWidth           int
	work               time.Duration // mean length of a task
	maxWork            time.Duration
	milliCPU           float64 // mean demand of a task
	megabytes          float64 // mean demand of a task
	gangFraction       float64 // fraction of the steps that are gangs
	allowedFraction    float64 // fraction of the workers that may run a step
	estimateSpread     float64 // spread of the estimates around the true length
	failingFraction    float64 // fraction of the runs that fail by their own fault
	checkpointFraction float64 // fraction of the steps that save checkpoints
}

// workload is the traffic of a site, with a factor on the rate of each queue over time.
type workload struct {
	workers         int
	processors      int64
	kinds           []requestKind
	rateFactor      func(queue string, at time.Duration) float64
	duration        time.Duration
	paces           []float64     // factors on the length of runs, by kind of worker; nil for one kind
	maxGangFraction float64       // largest fraction of all processors that a gang takes; zero means no limit
	longFraction    float64       // fraction of the tasks that take seven times as long
	pollDelay       time.Duration // from the end of a job until its client asks for its state
	laneCount       int           // instances that request advice; zero means as many as on the standard sites
	seed            uint64
}

// result holds the fraction of the jobs' worth that was earned, in total and by queue, and other
// measures of a replay.
type result struct {
	total        float64
	queues       map[string]float64
	late         map[string]int
	expired      map[string]int
	meanWait     map[string]time.Duration // mean time to the first start
	adviceCalls  int
	usedFraction float64 // fraction of the processors in use while the load lasts
	served       map[string]servedShares
}

// servedShares holds the fractions of a queue's jobs that earned anything, by the work of the
// jobs.
type servedShares struct{ largestTenth, nextFifth, all float64 }

func (s servedShares) String() string {
	return fmt.Sprintf("%.2f of the largest tenth, %.2f of the fifth below it, %.2f of all", s.largestTenth, s.nextFifth, s.all)
}

func (r result) String() string {
	return fmt.Sprintf("total %.3f by queue %.3v late %v never %v mean wait %v, %d calls for advice, packed %.3f, served %v",
		r.total, r.queues, r.late, r.expired, r.meanWait, r.adviceCalls, r.usedFraction, r.served)
}

// schrijfkraam returns the traffic of the site Schrijfkraam, called stalls in other names: 48
// workers of 16 processors.
func schrijfkraam() workload {
	return workload{
		workers: 48, processors: 16, duration: 40 * time.Second, seed: 1,
		rateFactor: func(string, time.Duration) float64 { return 1 },
		kinds: []requestKind{
			{
				queue: job.Queue{
					Name: "appeals", Pool: "pool", Priority: 1, MaxAttempts: 2, Stretch: 2.2, LatencyMilliseconds: 1000,
					RequiresAdvice: true, AdviceCallMilliseconds: 450, AdviceWorkerMilliseconds: 6.5, TicketMilliseconds: 2500,
				},
				perSecond: 1.48, worth: 13.3, steps: 1.2, width: 8, maxWidth: 48, work: 5 * time.Second, maxWork: 12 * time.Second,
				milliCPU: 4500, megabytes: 8000, gangFraction: 1, allowedFraction: 0.35, estimateSpread: 0.9,
			},
			{
				queue: job.Queue{
					Name: "condolences", Pool: "pool", Priority: 2, MaxAttempts: 3, Stretch: 4, LatencyMilliseconds: 3000,
					RequiresAdvice: true, AdviceCallMilliseconds: 58, AdviceWorkerMilliseconds: 0.82, TicketMilliseconds: 2500,
				},
				perSecond: 6.8, worth: 1.8, steps: 1.5, width: 10, maxWidth: 60, work: 2200 * time.Millisecond, maxWork: 6 * time.Second,
				milliCPU: 980, megabytes: 2800, allowedFraction: 0.45, estimateSpread: 0.2,
			},
			{
				queue: job.Queue{
					Name: "checks", Pool: "pool", Priority: 0, MaxAttempts: 4, Stretch: 1.5, LatencyMilliseconds: 300,
					RequiresAdvice: true, AdviceCallMilliseconds: 8.1, AdviceWorkerMilliseconds: 0.12, TicketMilliseconds: 2500,
				},
				perSecond: 38.6, worth: 0.444, steps: 1, width: 2, maxWidth: 12, work: 800 * time.Millisecond, maxWork: 2 * time.Second,
				milliCPU: 1400, megabytes: 2900, gangFraction: 0.3, allowedFraction: 0.7, estimateSpread: 0.5,
			},
		},
	}
}

// sampleLogNormal draws a positive number with a mean and a spread, up to a limit.
func sampleLogNormal(r *rand.Rand, mean, spread, limit float64) float64 {
	return min(limit, mean*math.Exp(spread*r.NormFloat64()-spread*spread/2))
}

// replay simulates a workload and returns the worth that it earned.
func replay(l workload, setUp func(*simulation)) result {
	random := rand.New(rand.NewPCG(l.seed, 7))
	var queues []job.Queue
	for _, k := range l.kinds {
		queues = append(queues, k.queue)
	}
	sim := newSimulation(l.workers, l.processors, queues...)
	lengths := map[job.StepID]time.Duration{}
	sim.taskLength = func(id job.TaskID) time.Duration {
		// The lengths are the same for every policy, so that policies are compared under one
		// load.
		length := float64(lengths[id.StepID]) * (0.9 + 0.2*hashFraction(id.StepID, job.WorkerID(strconv.Itoa(id.Index))))
		if hashFraction(id.StepID, job.WorkerID("long "+strconv.Itoa(id.Index))) < l.longFraction {
			length *= 7
		}
		return time.Duration(length)
	}
	allowedFractions := map[job.ID]float64{}
	failingFractions := map[job.ID]float64{}
	failureRandom := rand.New(rand.NewPCG(l.seed, 8))
	sim.outcome = func(id job.TaskID, _ int64) job.EndKind {
		if failureRandom.Float64() < failingFractions[id.Job] {
			return job.EndFailed
		}
		return job.EndDone
	}
	sim.allows = func(step job.StepID, id job.WorkerID) bool {
		return hashFraction(step, id) < allowedFractions[step.Job]
	}
	if l.laneCount != 0 {
		sim.laneCount = l.laneCount
		sim.startLeader(sim.options)
	}
	for n, id := range slices.Sorted(maps.Keys(sim.workers)) {
		if len(l.paces) > 0 {
			sim.workers[id].pace = l.paces[n%len(l.paces)]
		}
	}
	if setUp != nil {
		setUp(sim)
	}
	type jobRecord struct {
		queue     string
		worth     float64
		work      float64
		objective time.Duration
	}
	records := map[job.ID]jobRecord{}
	workByQueue := map[string]float64{}
	countByQueue := map[string]float64{}
	n := 0
	var arrive func(k requestKind)
	arrive = func(k requestKind) {
		if sim.now.Sub(sim.start) > l.duration {
			return
		}
		rate := k.perSecond * l.rateFactor(k.queue.Name, sim.now.Sub(sim.start))
		sim.schedule(time.Duration(random.ExpFloat64()/rate*float64(time.Second)), func() { arrive(k) })
		n++
		steps := max(1, int(math.Round(sampleLogNormal(random, k.steps, 0.4, 4))))
		j := job.Job{ID: id(n), Queue: k.queue.Name, Definition: job.Definition{Spec: "spec"}}
		chain, total := time.Duration(0), 0.0
		for i := range steps {
			work := time.Duration(sampleLogNormal(random, float64(k.work), 0.5, float64(k.maxWork)))
			lengths[job.StepID{Job: j.ID, Step: i}] = work
			chain += work
			s := job.Step{
				Tasks: max(1, int(math.Round(sampleLogNormal(random, k.width, 0.8, float64(k.maxWidth))))),
				Demand: model.Resources{
					MilliCPU:    int64(sampleLogNormal(random, k.milliCPU, 0.4, float64(l.processors*1000))),
					MemoryBytes: int64(sampleLogNormal(random, k.megabytes, 0.5, 26000)) << 20,
				},
				EstimateMilliseconds: float64(work.Milliseconds()) * math.Exp(k.estimateSpread*random.NormFloat64()),
				Gang:                 random.Float64() < k.gangFraction,
				Checkpoints:          random.Float64() < k.checkpointFraction,
			}
			if i > 0 {
				s.After = []int{i - 1}
			}
			// A gang fits the workers that may run it, and takes a small part of all.
			slots := 0
			for w := range sim.workers {
				if hashFraction(job.StepID{Job: j.ID, Step: i}, w) < k.allowedFraction {
					slots += int(l.processors * 1000 / s.Demand.MilliCPU)
				}
			}
			s.Tasks = max(1, min(s.Tasks, slots*2/3))
			if s.Gang && l.maxGangFraction > 0 {
				s.Tasks = max(1, min(s.Tasks, int(l.maxGangFraction*float64(l.processors*1000)*float64(l.workers)/float64(s.Demand.MilliCPU))))
			}
			total += float64(s.Tasks) * work.Seconds() * float64(s.Demand.MilliCPU) / 1000
			j.Definition.Steps = append(j.Definition.Steps, s)
		}
		if k.queue.AdviceCallMilliseconds > 0 {
			chain += time.Duration(steps) * time.Duration((k.queue.AdviceCallMilliseconds+30*k.queue.AdviceWorkerMilliseconds)*float64(time.Millisecond))
		}
		allowedFractions[j.ID] = k.allowedFraction
		failingFractions[j.ID] = k.failingFraction
		records[j.ID] = jobRecord{
			queue: k.queue.Name, worth: k.worth, work: total,
			objective: time.Duration(float64(chain)*k.queue.Stretch) + time.Duration(k.queue.LatencyMilliseconds)*time.Millisecond,
		}
		workByQueue[k.queue.Name] += total
		countByQueue[k.queue.Name]++
		sim.submitWithOffer(j)
	}
	for _, k := range l.kinds {
		arrive(k)
	}
	used, samples := 0.0, 0.0
	var sample func()
	sample = func() {
		if sim.now.Sub(sim.start) > l.duration {
			return
		}
		for _, w := range sim.workers {
			for _, r := range w.running {
				used += float64(r.allocation.MilliCPU)
			}
		}
		samples += float64(int64(len(sim.workers)) * l.processors * 1000)
		sim.schedule(100*time.Millisecond, sample)
	}
	sim.schedule(5*time.Second, sample)
	sim.advance(l.duration + 40*time.Second)
	served := map[job.ID]bool{}
	result := result{served: map[string]servedShares{}, queues: map[string]float64{}, late: map[string]int{}, expired: map[string]int{}, meanWait: map[string]time.Duration{}, adviceCalls: sim.callCount, usedFraction: used / samples}
	maxByQueue, maxTotal, earned := map[string]float64{}, 0.0, 0.0
	for id, record := range records {
		worth := min(4, 0.3+0.7*record.work/(workByQueue[record.queue]/countByQueue[record.queue])) * record.worth
		maxByQueue[record.queue] += worth
		maxTotal += worth
		took := sim.completedAt[id].Sub(sim.submittedAt[id]) + l.pollDelay
		switch {
		case sim.completedAt[id].IsZero() || took > 3*record.objective:
			result.expired[record.queue]++
			continue
		case took > record.objective:
			result.late[record.queue]++
			worth /= 5
		}
		served[id] = true
		result.queues[record.queue] += worth
		earned += worth
	}
	for q := range result.queues {
		result.queues[q] /= maxByQueue[q]
		var all []job.ID
		for id, record := range records {
			if record.queue == q {
				all = append(all, id)
			}
		}
		slices.SortFunc(all, func(a, b job.ID) int { return cmp.Compare(records[b].work, records[a].work) })
		servedOf := func(ids []job.ID) float64 {
			n := 0
			for _, id := range ids {
				if served[id] {
					n++
				}
			}
			return float64(n) / float64(max(1, len(ids)))
		}
		result.served[q] = servedShares{servedOf(all[:len(all)/10]), servedOf(all[len(all)/10 : 3*len(all)/10]), servedOf(all)}
	}
	waitByQueue := map[string]time.Duration{}
	for id, at := range sim.startedAt {
		waitByQueue[records[id].queue] += at.Sub(sim.submittedAt[id])
	}
	for q, sum := range waitByQueue {
		result.meanWait[q] = (sum / time.Duration(countByQueue[q])).Round(time.Millisecond)
	}
	result.total = earned / maxTotal
	Expect(sim.violations).To(BeEmpty())
	return result
}

// averageReport replays a workload with several seeds and returns the mean worth and the
// summed counts as text.
func averageReport(l workload, seeds int, setUp func(*simulation)) string {
	return sumResults(replaySeeds(l, seeds, setUp)).String()
}

// meanTotal returns the fraction of the worth that was earned, as the mean over several seeds.
func meanTotal(l workload, seeds int, setUp func(*simulation)) float64 {
	return sumResults(replaySeeds(l, seeds, setUp)).total
}

// replaySeeds replays a workload with several seeds concurrently.
func replaySeeds(l workload, seeds int, setUp func(*simulation)) []result {
	return replaySeedsWith(l, seeds, func(_ int, sim *simulation) {
		if setUp != nil {
			setUp(sim)
		}
	})
}

// replaySeedsWith is replaySeeds with a set-up that knows the number of the seed.
func replaySeedsWith(l workload, seeds int, setUp func(int, *simulation)) []result {
	results := make([]result, seeds)
	var group sync.WaitGroup
	for n := range results {
		group.Go(func() {
			defer GinkgoRecover()
			own := l
			own.seed = uint64(n)
			results[n] = replay(own, func(sim *simulation) { setUp(n, sim) })
		})
	}
	group.Wait()
	return results
}

// sumResults returns the mean worth and the summed counts of several results.
func sumResults(results []result) result {
	seeds := len(results)
	sum := result{served: map[string]servedShares{}, queues: map[string]float64{}, late: map[string]int{}, expired: map[string]int{}, meanWait: map[string]time.Duration{}}
	for _, r := range results {
		sum.total += r.total / float64(seeds)
		sum.adviceCalls += r.adviceCalls
		sum.usedFraction += r.usedFraction / float64(seeds)
		for q := range r.queues {
			sum.queues[q] += r.queues[q] / float64(seeds)
			share, n := r.served[q], float64(seeds)
			total := sum.served[q]
			sum.served[q] = servedShares{total.largestTenth + share.largestTenth/n, total.nextFifth + share.nextFifth/n, total.all + share.all/n}
			sum.late[q] += r.late[q]
			sum.expired[q] += r.expired[q]
			sum.meanWait[q] += r.meanWait[q] / time.Duration(seeds)
		}
	}
	return sum
}

// hashFraction maps a step and a worker to an evenly distributed number between 0 and 1.
func hashFraction(step job.StepID, id job.WorkerID) float64 {
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

// stallsWorkload returns the traffic of the stalls as the benchmark replays it: gangs are
// narrower and workers are of two kinds.
func stallsWorkload() workload {
	l := schrijfkraam()
	l.paces, l.maxGangFraction = []float64{0.92, 0.92, 1.2}, 0.055
	for i, fraction := range []float64{0.02, 0.005, 0.005} {
		l.kinds[i].failingFraction = fraction
	}
	l.kinds[0].checkpointFraction, l.kinds[1].checkpointFraction = 0.5, 0.8
	return l
}

// fullWorkload returns a load that fills all workers, so that many gangs wait.
func fullWorkload() workload {
	l := stallsWorkload()
	l.duration = 48 * time.Second
	appeals, checks := burst("appeals", 18*time.Second, 1.7), burst("checks", 6*time.Second, 2.3)
	l.rateFactor = func(q string, at time.Duration) float64 { return 1.1 * appeals(q, at) * checks(q, at) }
	return l
}

// crashWorkersAndLeaders lets workers crash, slows other workers, reduces the lanes for a while
// and lets the leader change twice, the second time as if all instances had crashed.
func crashWorkersAndLeaders(sim *simulation) {
	sim.schedule(10500*time.Millisecond, func() {
		for _, id := range []job.WorkerID{"w03", "w17", "w29", "w41"} {
			w := sim.workers[id]
			w.unreachable = true
			sim.schedule(4*time.Second, func() { w.restart(sim.now) })
		}
	})
	sim.schedule(time.Second, func() { sim.setLanes(5) })
	sim.schedule(13*time.Second, func() { sim.setLanes(7) })
	for _, id := range []job.WorkerID{"w05", "w16", "w28", "w40"} {
		w := sim.workers[id]
		sim.schedule(11900*time.Millisecond, func() { w.slowdown = 4.9 })
		sim.schedule(18*time.Second, func() { w.slowdown = 0 })
	}
	sim.schedule(14*time.Second, func() { sim.loseLeader(700 * time.Millisecond) })
	sim.schedule(34*time.Second, func() { sim.loseLeader(1600 * time.Millisecond) })
}

var _ = Describe("Load", func() {
	// Prints the worth of several workloads, to compare policies by hand.
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
			l := stallsWorkload()
			l.rateFactor = f.factor
			fmt.Printf("LOAD %-14s %s\n", f.name, averageReport(l, 20, nil))
		}
		fmt.Printf("LOAD %-14s %s\n", "lost leaders", averageReport(fullWorkload(), 20, crashWorkersAndLeaders))
	})

	// At 20 % overload, with estimates of the expensive jobs that are off by a factor of 2.5,
	// jobs that look late without a forecast are sorted behind all others: they are served
	// when the load is over, or never.
	It("earns more than the baselines under overload", func() {
		earnedWith := func(p dispatch.Policy) float64 {
			l := schrijfkraam()
			l.rateFactor = func(string, time.Duration) float64 { return 1.2 }
			return meanTotal(l, 3, func(sim *simulation) {
				sim.options.Policy = p
				sim.startLeader(sim.options)
			})
		}
		current := earnedWith(dispatch.Policy{})
		Expect(current).To(BeNumerically(">", earnedWith(dispatch.Policy{UseRawEstimates: true})))
		Expect(current).To(BeNumerically(">", earnedWith(dispatch.Policy{FirstComeFirstServed: true})))
	})
})
