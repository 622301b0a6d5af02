package dispatch_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"fuchsiacross/job"
)

var _ = Describe("Passes", func() {
	// After an outage, passes over all waiting steps took half of the leader's time, so that it
	// stayed behind. A tenth of a processor at 50 ns for each worker is two million workers a
	// second; the checks may add half of that.
	It("take a bounded time while hundreds of steps wait, and do not delay urgent work", func() {
		const (
			workers, waiting  = 540, 500
			firstCheck, count = 1000, 300
			interval          = 10 * time.Millisecond
			maxExamined       = 3e6 // workers a second
			maxDelay          = 200 * time.Millisecond
		)
		sim := newSimulation(workers, 16, checks, plain)
		sim.allows = func(job.StepID, job.WorkerID) bool { return true }
		sim.submit(newJob(1, "plain", job.Step{Tasks: workers, Demand: demand(12, 4), EstimateMilliseconds: 60_000}))
		sim.advance(500 * time.Millisecond)
		for n := range waiting {
			sim.submit(newJob(2+n, "plain", job.Step{Tasks: 4, Demand: demand(8, 4), EstimateMilliseconds: 2000}))
		}
		for n := range count {
			sim.schedule(time.Duration(n)*interval, func() {
				sim.submit(newJob(firstCheck+n, "checks", job.Step{Tasks: 2, Demand: demand(1, 1), EstimateMilliseconds: 300}))
			})
		}
		began, before := sim.now, sim.reducer.ExaminedWorkers()
		sim.advance(count * interval)
		examined := float64(sim.reducer.ExaminedWorkers()-before) / sim.now.Sub(began).Seconds()
		Expect(examined).To(BeNumerically("<", maxExamined))
		sim.advance(time.Second)
		for n := range count {
			check := id(firstCheck + n)
			Expect(sim.startedAt[check].Sub(sim.submittedAt[check])).To(BeNumerically("<", maxDelay), "check %d", n)
		}
		Expect(sim.violations).To(BeEmpty())
	})
})
