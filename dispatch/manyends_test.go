package dispatch_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"fuchsiacross/dispatch"
	"fuchsiacross/job"
	"fuchsiacross/model"
)

var _ = Describe("More ends than a worker lists at a time", func() {
	const jobs, tasks, runTime = 78, 10, 3500 * time.Millisecond
	small := job.Step{Tasks: tasks, Demand: model.Resources{MilliCPU: 10, MemoryBytes: 1 << 20}, EstimateMilliseconds: float64(runTime.Milliseconds())}
	start := func() *simulation {
		sim := newSimulation(1, 16, plain)
		for n := range jobs {
			sim.submit(newJob(n, "plain", small))
		}
		sim.advance(3 * time.Second)
		Expect(sim.workers["w00"].running).To(HaveLen(jobs * tasks))
		return sim
	}
	expectCompleted := func(sim *simulation) {
		for n := range jobs {
			state, _ := sim.reducer.Status(id(n))
			Expect(state).To(Equal(job.StateCompleted))
		}
		Expect(sim.violations).To(BeEmpty())
	}

	// A new leader took the first 500 ends of a worker for all of them and started the tasks of
	// the others again.
	It("are all read by a new leader before tasks start again", func() {
		sim := start()
		sim.loseLeader(2 * time.Second)
		sim.advance(10 * time.Second)
		expectCompleted(sim)
	})

	It("are awaited for longer than the predecessor's leases", func() {
		sim := start()
		sim.loseLeader(2 * time.Second)
		sim.storeDown = true
		sim.advance(10 * time.Second)
		Expect(sim.violations).To(BeEmpty())
		sim.storeDown = false
		sim.advance(5 * time.Second)
		expectCompleted(sim)
	})

	// The leader took runs whose ends were not listed for missing and stopped them.
	It("are awaited by the leader that ordered the runs", func() {
		sim := start()
		sim.storeDown = true
		sim.advance(3 * time.Second)
		sim.storeDown = false
		sim.advance(5 * time.Second)
		Expect(sim.noteCounts[dispatch.NoteRunGivenUp]).To(BeZero())
		expectCompleted(sim)
	})

	// An end of a job that was stored after the load kept the leader from the ends behind it.
	It("or an end of an unknown job hold back no others", func() {
		sim := newSimulation(1, 16, plain)
		sim.submit(newJob(1, "plain", job.Step{Tasks: 1, Demand: demand(1, 1), EstimateMilliseconds: 700}))
		sim.submit(newJob(2, "plain", job.Step{Tasks: 3, Demand: demand(1, 1), EstimateMilliseconds: 800}))
		sim.advance(500 * time.Millisecond)
		sim.missingFromLoad[id(1)] = true
		sim.loseLeader(500 * time.Millisecond)
		sim.advance(1500 * time.Millisecond)
		sim.reportStoreChange(id(1))
		sim.advance(3 * time.Second)
		for n := 1; n <= 2; n++ {
			state, _ := sim.reducer.Status(id(n))
			Expect(state).To(Equal(job.StateCompleted))
		}
		Expect(sim.violations).To(BeEmpty())
	})
})
