package dispatch_test

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"os"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"

	"fuchsiacross/dispatch"
	"fuchsiacross/job"
)

// grownStalls returns the traffic of the site Schrijfkraam (stalls) after its growth to 350
// workers.
func grownStalls() workload {
	l := schrijfkraam()
	l.workers, l.laneCount = 350, 36
	l.paces, l.maxGangFraction = []float64{0.92, 0.92, 1.2}, 0.055
	l.duration = 20 * time.Second
	for i, rate := range []float64{4.3, 11.2, 100} {
		l.kinds[i].perSecond = rate
	}
	for i, width := range []float64{20, 25, 3} {
		l.kinds[i].width = width
	}
	return l
}

// grownLogs returns the traffic of the drying logs after their growth: 350 workers of 32
// processors, wide gangs and small checks.
func grownLogs() workload {
	return workload{
		workers: 350, processors: 32, laneCount: 38, duration: 30 * time.Second, seed: 1, paces: []float64{0.8, 1, 1.25}, maxGangFraction: 0.055,
		rateFactor: func(string, time.Duration) float64 { return 1 },
		kinds: []requestKind{
			{
				queue: job.Queue{
					Name: "reconciliations", Pool: "pool", Priority: 1, MaxAttempts: 2, Stretch: 2.2, LatencyMilliseconds: 1000,
					RequiresAdvice: true, AdviceCallMilliseconds: 430, AdviceWorkerMilliseconds: 6.2, TicketMilliseconds: 2500,
				},
				perSecond: 4.33, worth: 10.6, steps: 1.2, width: 20, maxWidth: 120, work: 5 * time.Second, maxWork: 12 * time.Second,
				milliCPU: 9000, megabytes: 13000, gangFraction: 1, allowedFraction: 0.35, estimateSpread: 0.5,
			},
			{
				queue: job.Queue{
					Name: "summaries", Pool: "pool", Priority: 2, MaxAttempts: 3, Stretch: 4, LatencyMilliseconds: 3000,
					RequiresAdvice: true, AdviceCallMilliseconds: 100, AdviceWorkerMilliseconds: 1.4, TicketMilliseconds: 2500,
				},
				perSecond: 8.98, worth: 3.2, steps: 1.5, width: 25, maxWidth: 150, work: 2700 * time.Millisecond, maxWork: 6800 * time.Millisecond,
				milliCPU: 3500, megabytes: 5000, allowedFraction: 0.45, estimateSpread: 0.5,
			},
			{
				queue: job.Queue{
					Name: "checks", Pool: "pool", Priority: 0, MaxAttempts: 4, Stretch: 1.5, LatencyMilliseconds: 300,
					RequiresAdvice: true, AdviceCallMilliseconds: 9, AdviceWorkerMilliseconds: 0.13, TicketMilliseconds: 2500,
				},
				perSecond: 100, worth: 0.402, steps: 1, width: 3.2, maxWidth: 19, work: 800 * time.Millisecond, maxWork: 2 * time.Second,
				milliCPU: 5000, megabytes: 5100, gangFraction: 0.3, allowedFraction: 0.7, estimateSpread: 0.5,
			},
		},
	}
}

// slowWorkers slows one worker in oneIn down by a factor, from the fourth to the fourteenth
// second.
func slowWorkers(oneIn int, factor float64) func(*simulation) {
	return func(sim *simulation) {
		set := func(slow float64) func() {
			return func() {
				n := 0
				for _, id := range slices.Sorted(maps.Keys(sim.workers)) {
					if n++; n%oneIn == 0 {
						sim.workers[id].slowdown = slow
					}
				}
			}
		}
		sim.schedule(4*time.Second, set(factor))
		sim.schedule(14*time.Second, set(0))
	}
}

// announceDepartures removes one worker in oneIn, twice, two seconds after a notice.
// Replacements start four seconds later.
func announceDepartures(oneIn int) func(*simulation) {
	return func(sim *simulation) {
		for round, at := range []time.Duration{8 * time.Second, 20 * time.Second} {
			sim.schedule(at, func() {
				for n, id := range slices.Sorted(maps.Keys(sim.workers)) {
					if n%oneIn == round {
						sim.workers[id].leave(sim)
					}
				}
			})
		}
	}
}

// leave removes a worker after a notice and restarts it after a pause.
func (w *fakeWorker) leave(sim *simulation) {
	const notice, pause = 2 * time.Second, 4 * time.Second
	w.worker.Leaving, w.worker.LeavesAt = true, sim.now.Add(notice)
	sim.apply(dispatch.WorkerListed{Worker: w.worker})
	sim.schedule(notice, func() {
		w.unreachable = true
		sim.apply(dispatch.WorkerUnlisted{ID: w.worker.ID})
	})
	sim.schedule(notice+pause, func() {
		w.restart(sim.now)
		w.worker.Leaving, w.worker.LeavesAt = false, time.Time{}
		sim.apply(dispatch.WorkerListed{Worker: w.worker})
	})
}

// delayOrders makes one worker in oneIn leave half of its orders and readings unanswered and
// execute the orders some seconds later, from the fourth to the fourteenth second.
func delayOrders(oneIn int) func(*simulation) {
	return func(sim *simulation) {
		random := rand.New(rand.NewPCG(3, 4))
		affected := map[job.WorkerID]bool{}
		for n, id := range slices.Sorted(maps.Keys(sim.workers)) {
			affected[id] = n%oneIn == 0
		}
		sim.orderDelay = func(id job.WorkerID) time.Duration {
			at := sim.now.Sub(sim.start)
			if !affected[id] || at < 4*time.Second || at > 14*time.Second || random.IntN(2) == 0 {
				return 0
			}
			return 2*time.Second + time.Duration(random.Int64N(int64(10*time.Second)))
		}
	}
}

var _ = Describe("Grown load", func() {
	// Measures the worth and, with -cpuprofile, the processor time of the reducer.
	It("reports the worth of loads on 350 workers", func() {
		if os.Getenv("DISPATCH_GROWN") == "" {
			Skip("set DISPATCH_GROWN to measure loads on 350 workers")
		}
		loads := []struct {
			name   string
			load   workload
			factor func(string, time.Duration) float64
		}{
			{"letters calm", grownStalls(), func(string, time.Duration) float64 { return 1 }},
			{"letters overload 1.5", grownStalls(), func(string, time.Duration) float64 { return 1.5 }},
			{"logs calm", grownLogs(), func(string, time.Duration) float64 { return 1 }},
			{"logs burst", grownLogs(), burst("reconciliations", 10*time.Second, 1.8)},
			{"logs overload 1.5", grownLogs(), func(string, time.Duration) float64 { return 1.5 }},
		}
		for _, l := range loads {
			l.load.rateFactor = l.factor
			fmt.Printf("LOAD %-20s %s\n", l.name, averageReport(l.load, 5, nil))
		}
		fmt.Printf("LOAD %-20s %s\n", "logs slow workers", averageReport(grownLogs(), 5, slowWorkers(8, 8)))
		fmt.Printf("LOAD %-20s %s\n", "logs notices", averageReport(grownLogs(), 5, announceDepartures(10)))
		fmt.Printf("LOAD %-20s %s\n", "letters notices", averageReport(grownStalls(), 5, announceDepartures(10)))
		fmt.Printf("LOAD %-20s %s\n", "letters slow", averageReport(grownStalls(), 5, slowWorkers(8, 8)))
		fmt.Printf("LOAD %-20s %s\n", "logs late orders", averageReport(grownLogs(), 5, delayOrders(3)))
		fmt.Printf("LOAD %-20s %s\n", "stalls late orders", averageReport(schrijfkraam(), 5, delayOrders(3)))
		fmt.Printf("LOAD %-20s %s\n", "logs stalled", averageReport(grownLogs(), 5, slowWorkers(8, 1000)))
	})
})
