package dispatch_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"fuchsiacross/job"
)

var _ = Describe("Late jobs", func() {
	// After an outage all that waits is late. Those with the least work came first, so that the
	// widest gangs were too late before it was their turn.
	It("start in the order of their age, however wide they are", func() {
		const (
			outage          = 4 * time.Second
			wideLength      = 1500 * time.Millisecond
			wideObjective   = 2*wideLength + 500*time.Millisecond
			wide, firstNext = 2, 10
		)
		sim := newSimulation(48, 16, plain)
		sim.submit(newJob(1, "plain", job.Step{Tasks: 48, Demand: demand(16, 4), EstimateMilliseconds: float64(outage.Milliseconds())}))
		sim.advance(100 * time.Millisecond)
		sim.submit(newJob(wide, "plain", job.Step{Tasks: 24, Gang: true, Demand: demand(16, 4), EstimateMilliseconds: float64(wideLength.Milliseconds())}))
		sim.advance(10 * time.Millisecond)
		for n := range 150 {
			sim.submit(newJob(firstNext+n, "plain", job.Step{Tasks: 8, Gang: true, Demand: demand(7, 4), EstimateMilliseconds: 1400}))
		}
		sim.advance(20 * time.Second)
		Expect(sim.startedAt).To(HaveKey(id(wide)))
		Expect(sim.startedAt[id(wide)].Sub(sim.submittedAt[id(wide)])).To(BeNumerically("<", 3*wideObjective-wideLength))
		Expect(sim.violations).To(BeEmpty())
	})
})
