package dispatch_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"fuchsiacross/job"
)

var _ = Describe("Reserved workers", func() {
	// Checks may take reserved capacity, and took it while other workers had room. At any time
	// one ran on half of the workers of the large site, so that wide gangs waited for ever.
	It("are left alone by urgent tasks that find room elsewhere", func() {
		const filled, checkLength = 2 * time.Second, 900 * time.Millisecond
		sim := newSimulation(12, 16, checks, plain)
		sim.allows = func(job.StepID, job.WorkerID) bool { return true }
		sim.submit(newJob(1, "plain", job.Step{Tasks: 6, Demand: demand(10, 4), EstimateMilliseconds: float64(filled.Milliseconds())}))
		sim.advance(50 * time.Millisecond)
		sim.submit(newJob(3, "plain", job.Step{Tasks: 6, Demand: demand(10, 4), EstimateMilliseconds: 20_000}))
		sim.advance(100 * time.Millisecond)
		sim.submit(newJob(2, "plain", job.Step{Tasks: 6, Gang: true, Demand: demand(16, 4), EstimateMilliseconds: 1000}))
		for n := range 15 {
			sim.schedule(time.Duration(n)*200*time.Millisecond, func() {
				sim.submit(newJob(10+n, "checks", job.Step{Tasks: 1, Demand: demand(4, 1), EstimateMilliseconds: float64(checkLength.Milliseconds())}))
			})
		}
		sim.advance(6 * time.Second)
		waited := sim.startedAt[id(2)].Sub(sim.startedAt[id(1)].Add(filled))
		Expect(waited).To(BeNumerically("<", checkLength/2))
		Expect(sim.violations).To(BeEmpty())
	})
})
