package dispatch_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"fuchsiacross/job"
)

var _ = Describe("The capacity report", func() {
	// On-call engineers saw wide gangs wait next to free workers, and no reason.
	It("tells for whom capacity is reserved, and how long a step has been passed over", func() {
		sim := newSimulation(4, 16, plain)
		sim.allows = func(job.StepID, job.WorkerID) bool { return true }
		sim.submit(newJob(1, "plain", job.Step{Tasks: 1, Demand: demand(10, 4), EstimateMilliseconds: 8000}))
		sim.advance(100 * time.Millisecond)
		sim.submit(newJob(2, "plain", job.Step{Tasks: 4, Gang: true, Demand: demand(16, 4), EstimateMilliseconds: 1000}))
		sim.advance(100 * time.Millisecond)
		sim.submit(newJob(3, "plain", job.Step{Tasks: 1, Demand: demand(6, 4), EstimateMilliseconds: 1000}))
		sim.advance(5 * time.Second)
		gang := job.StepID{Job: id(2)}
		Expect(sim.capacity).NotTo(BeNil())
		Expect(sim.capacity.TotalMilliCPU).To(Equal(int64(64_000)))
		Expect(sim.capacity.FreeMilliCPU).To(Equal(int64(54_000)))
		Expect(sim.capacity.ReservedMilliCPU).To(Equal(int64(54_000)))
		Expect(sim.capacity.WaitingSteps).To(Equal(1))
		Expect(sim.capacity.Reservations).To(HaveLen(1))
		reserved := sim.capacity.Reservations[0]
		Expect(reserved.Step).To(Equal(gang))
		Expect(reserved.Workers).To(Equal(4))
		Expect(reserved.Since).To(BeTemporally("~", sim.start.Add(100*time.Millisecond), 100*time.Millisecond))
		Expect(reserved.Until).To(BeTemporally("~", sim.start.Add(8*time.Second), 200*time.Millisecond))
		Expect(sim.capacity.PassedOver).To(Equal(gang))
		Expect(sim.capacity.PassedOverSince).To(BeTemporally("~", sim.start.Add(200*time.Millisecond), 200*time.Millisecond))
		Expect(sim.lastExplanation).To(MatchRegexp(`passed over for \d`))
	})
})
