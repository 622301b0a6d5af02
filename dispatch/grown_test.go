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

// grown is the traffic of the stalls after their growth: 350 workers.
func grown() load {
	l := schrijfkraam()
	l.workers, l.lanes = 350, 36
	l.paces, l.gangPart = []float64{0.92, 0.92, 1.2}, 0.055
	l.span = 20 * time.Second
	for i, rate := range []float64{4.3, 11.2, 100} {
		l.kinds[i].perSecond = rate
	}
	for i, width := range []float64{20, 25, 3} {
		l.kinds[i].width = width
	}
	return l
}

// secado is the traffic of the drying logs after their growth: 350 workers of 32
// processors, wide gangs beside small checks.
func secado() load {
	return load{
		workers: 350, processors: 32, lanes: 38, span: 30 * time.Second, seed: 1, paces: []float64{0.8, 1, 1.25}, gangPart: 0.055,
		factor: func(string, time.Duration) float64 { return 1 },
		kinds: []kind{
			{
				queue: job.Queue{
					Name: "reconciliations", Pool: "pool", Priority: 1, MaxAttempts: 2, Stretch: 2.2, LatencyMilliseconds: 1000,
					RequiresAdvice: true, AdviceCallMilliseconds: 430, AdviceWorkerMilliseconds: 6.2, TicketMilliseconds: 2500,
				},
				perSecond: 4.33, worth: 10.6, steps: 1.2, width: 20, maxWidth: 120, work: 5 * time.Second, maxWork: 12 * time.Second,
				milliCPU: 9000, megabytes: 13000, gang: 1, good: 0.35, estimate: 0.5,
			},
			{
				queue: job.Queue{
					Name: "summaries", Pool: "pool", Priority: 2, MaxAttempts: 3, Stretch: 4, LatencyMilliseconds: 3000,
					RequiresAdvice: true, AdviceCallMilliseconds: 100, AdviceWorkerMilliseconds: 1.4, TicketMilliseconds: 2500,
				},
				perSecond: 8.98, worth: 3.2, steps: 1.5, width: 25, maxWidth: 150, work: 2700 * time.Millisecond, maxWork: 6800 * time.Millisecond,
				milliCPU: 3500, megabytes: 5000, good: 0.45, estimate: 0.5,
			},
			{
				queue: job.Queue{
					Name: "checks", Pool: "pool", Priority: 0, MaxAttempts: 4, Stretch: 1.5, LatencyMilliseconds: 300,
					RequiresAdvice: true, AdviceCallMilliseconds: 9, AdviceWorkerMilliseconds: 0.13, TicketMilliseconds: 2500,
				},
				perSecond: 100, worth: 0.402, steps: 1, width: 3.2, maxWidth: 19, work: 800 * time.Millisecond, maxWork: 2 * time.Second,
				milliCPU: 5000, megabytes: 5100, gang: 0.3, good: 0.7, estimate: 0.5,
			},
		},
	}
}

// slowWorkers makes one worker in some take several times as long, from the
// fourth to the fourteenth second.
func slowWorkers(oneIn int, factor float64) func(*cell) {
	return func(c *cell) {
		set := func(slow float64) func() {
			return func() {
				n := 0
				for _, id := range slices.Sorted(maps.Keys(c.workers)) {
					if n++; n%oneIn == 0 {
						c.workers[id].slow = slow
					}
				}
			}
		}
		c.after(4*time.Second, set(factor))
		c.after(14*time.Second, set(0))
	}
}

// notices takes one worker in some away twice, two seconds after a notice; others
// come four seconds later.
func notices(oneIn int) func(*cell) {
	return func(c *cell) {
		for turn, at := range []time.Duration{8 * time.Second, 20 * time.Second} {
			c.after(at, func() {
				for n, id := range slices.Sorted(maps.Keys(c.workers)) {
					if n%oneIn == turn {
						c.workers[id].leave(c)
					}
				}
			})
		}
	}
}

// leave takes a worker away after a notice and brings it back.
func (w *fakeWorker) leave(c *cell) {
	const notice, pause = 2 * time.Second, 4 * time.Second
	w.worker.Leaving, w.worker.LeavesAt = true, c.now.Add(notice)
	c.apply(dispatch.WorkerListed{Worker: w.worker})
	c.after(notice, func() {
		w.dark = true
		c.apply(dispatch.WorkerUnlisted{ID: w.worker.ID})
	})
	c.after(notice+pause, func() {
		w.restart()
		w.worker.Leaving, w.worker.LeavesAt = false, time.Time{}
		c.apply(dispatch.WorkerListed{Worker: w.worker})
	})
}

// lateOrders makes one worker in some leave half of its orders and readings
// unanswered and carry the orders out some seconds later, from the fourth to the
// fourteenth second.
func lateOrders(oneIn int) func(*cell) {
	return func(c *cell) {
		random := rand.New(rand.NewPCG(3, 4))
		bad := map[job.WorkerID]bool{}
		for n, id := range slices.Sorted(maps.Keys(c.workers)) {
			bad[id] = n%oneIn == 0
		}
		c.late = func(id job.WorkerID) time.Duration {
			at := c.now.Sub(c.start)
			if !bad[id] || at < 4*time.Second || at > 14*time.Second || random.IntN(2) == 0 {
				return 0
			}
			return 2*time.Second + time.Duration(random.Int64N(int64(10*time.Second)))
		}
	}
}

var _ = Describe("Grown load", func() {
	// Measures worth and, with -cpuprofile, the processor time of the reducer.
	It("reports the worth of loads on 350 workers", func() {
		if os.Getenv("DISPATCH_GROWN") == "" {
			Skip("set DISPATCH_GROWN to measure loads on 350 workers")
		}
		loads := []struct {
			name   string
			load   load
			factor func(string, time.Duration) float64
		}{
			{"letters calm", grown(), func(string, time.Duration) float64 { return 1 }},
			{"letters overload 1.5", grown(), func(string, time.Duration) float64 { return 1.5 }},
			{"logs calm", secado(), func(string, time.Duration) float64 { return 1 }},
			{"logs burst", secado(), burst("reconciliations", 10*time.Second, 1.8)},
			{"logs overload 1.5", secado(), func(string, time.Duration) float64 { return 1.5 }},
		}
		for _, l := range loads {
			l.load.factor = l.factor
			fmt.Printf("LOAD %-20s %s\n", l.name, average(l.load, 5, nil))
		}
		fmt.Printf("LOAD %-20s %s\n", "logs slow workers", average(secado(), 5, slowWorkers(8, 8)))
		fmt.Printf("LOAD %-20s %s\n", "logs notices", average(secado(), 5, notices(10)))
		fmt.Printf("LOAD %-20s %s\n", "letters notices", average(grown(), 5, notices(10)))
		fmt.Printf("LOAD %-20s %s\n", "letters slow", average(grown(), 5, slowWorkers(8, 8)))
		fmt.Printf("LOAD %-20s %s\n", "logs late orders", average(secado(), 5, lateOrders(3)))
		fmt.Printf("LOAD %-20s %s\n", "stalls late orders", average(schrijfkraam(), 5, lateOrders(3)))
		fmt.Printf("LOAD %-20s %s\n", "logs stalled", average(secado(), 5, slowWorkers(8, 1000)))
	})
})
