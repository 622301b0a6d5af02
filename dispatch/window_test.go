package dispatch_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"fuchsiacross/dispatch"
	"fuchsiacross/job"
)

var _ = Describe("Pending starts", func() {
	// limitOrderRate simulates a leader whose processor needs some time for each order. Orders
	// that have waited for half a second, beyond their timeout, cost no more time.
	limitOrderRate := func(sim *simulation, timePerOrder time.Duration) {
		const maxWait = 500 * time.Millisecond
		freeAt := sim.now
		sim.started = func(dispatch.StartRun) (bool, time.Duration) {
			wait := min(max(0, freeAt.Sub(sim.now))+timePerOrder, maxWait)
			freeAt = sim.now.Add(wait)
			return wait < orderTimeout, wait
		}
	}

	// A new leader amid a burst sent 617 orders within 0.1 s, more than its processor could
	// send before their timeout. A thousand starts got no answer and were stopped again,
	// instances and workers counted as lost, and the leader lost its leadership after 2.4 s
	// (grown Kraamnet, trouble-2, seed 1075486663917).
	tests := []struct {
		name         string
		timePerOrder time.Duration
		maxPending   int // Options.MaxPendingStarts
		maxUnknown   int // limit of the starts without an answer
	}{
		{"a large machine", 1500 * time.Microsecond, 64, 0},
		{"a small machine", 6 * time.Millisecond, 14, 0},
	}
	for _, test := range tests {
		It("are limited to what the leader can send in time on "+test.name, func() {
			sim := newSimulation(100, 16, plain)
			sim.options.MaxPendingStarts = test.maxPending
			sim.startLeader(sim.options)
			sim.advance(100 * time.Millisecond)
			limitOrderRate(sim, test.timePerOrder)
			const jobs = 800
			for n := range jobs {
				sim.submit(newJob(n, "plain", job.Step{Tasks: 1, Demand: demand(2, 2), EstimateMilliseconds: 800}))
			}
			sim.advance(jobs*test.timePerOrder + 8*time.Second)
			Expect(sim.noteCounts[dispatch.NoteRunUnknown]).To(BeNumerically("<=", test.maxUnknown))
			for n := range jobs {
				s, _ := sim.reducer.Status(id(n))
				Expect(s).To(Equal(job.StateCompleted))
			}
			Expect(sim.violations).To(BeEmpty())
		})
	}

	// Orders that workers leave unanswered say nothing about the leader. With half of the
	// orders unanswered, the window of pending starts closed and half of the jobs failed (grown
	// Kraamnet, late-orders, seed 353434424273, in a trial).
	for _, test := range []struct {
		name         string
		lostInterval int // one order in so many gets no answer
		maxTime      time.Duration
	}{
		{"some", 20, 2 * time.Second},
		{"half of the", 2, 5 * time.Second},
	} {
		It("are not reduced when "+test.name+" orders get no answer", func() {
			sim := newSimulation(300, 16, plain)
			sim.advance(100 * time.Millisecond)
			orders := 0
			sim.started = func(dispatch.StartRun) (bool, time.Duration) {
				orders++
				return orders%test.lostInterval != 0, 0
			}
			const jobs = 2000
			for n := range jobs {
				sim.submit(newJob(n, "plain", job.Step{Tasks: 1, Demand: demand(1, 1), EstimateMilliseconds: 100}))
			}
			sim.advance(test.maxTime)
			Expect(orders).To(BeNumerically(">=", jobs))
		})
	}

	// A gang that is wider than the limit would never start if it could not exceed the limit.
	It("may exceed the limit for a gang", func() {
		sim := newSimulation(100, 16, plain)
		sim.advance(100 * time.Millisecond)
		sim.submit(newJob(1, "plain", job.Step{Tasks: 700, Gang: true, Demand: demand(2, 2), EstimateMilliseconds: 300}))
		sim.advance(2 * time.Second)
		s, _ := sim.reducer.Status(id(1))
		Expect(s).To(Equal(job.StateCompleted))
	})
})
