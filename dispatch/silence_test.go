package dispatch_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"fuchsiacross/dispatch"
	"fuchsiacross/job"
)

var _ = Describe("Silence", func() {
	running := job.Step{Tasks: 4, Demand: demand(4, 4), EstimateMilliseconds: 8000}

	// Operators of a similar system saw a worker that had been silent for a while lose its
	// running work to another one.
	It("of a worker for less than its lease leaves its runs alone", func() {
		sim := newSimulation(4, 16, plain)
		sim.submit(newJob(1, "plain", running))
		sim.advance(time.Second)
		starts := sim.noteCounts[dispatch.NoteRunOrdered]
		const silence = 3 * time.Second
		for _, w := range sim.workers {
			w.unreachable = true
			sim.schedule(silence, func() { w.unreachable = false })
		}
		sim.advance(12 * time.Second)
		Expect(sim.noteCounts[dispatch.NoteRunOrdered]).To(Equal(starts))
		Expect(sim.noteCounts[dispatch.NoteRunGivenUp]).To(BeZero())
		state, _ := sim.reducer.Status(id(1))
		Expect(state).To(Equal(job.StateCompleted))
		Expect(sim.violations).To(BeEmpty())
	})

	// A registration that another writer has overwritten names no worker to use, but the worker
	// may still run tasks.
	It("of a worker's registration leaves its runs alone", func() {
		sim := newSimulation(2, 16, plain)
		sim.submit(newJob(1, "plain", running))
		sim.advance(time.Second)
		starts := sim.noteCounts[dispatch.NoteRunOrdered]
		for id := range sim.workers {
			sim.apply(dispatch.WorkerUnlisted{ID: id})
		}
		sim.submit(newJob(2, "plain", running))
		sim.advance(12 * time.Second)
		Expect(sim.noteCounts[dispatch.NoteRunOrdered]).To(Equal(starts), "no starts on workers without a registration")
		state, _ := sim.reducer.Status(id(1))
		Expect(state).To(Equal(job.StateCompleted))
		Expect(sim.violations).To(BeEmpty())
	})

	// A process that is paused may wake up long after another one has become the leader.
	It("of the store for longer than a confirmation counts ends all orders of a leader that was paused", func() {
		sim := newSimulation(2, 16, plain)
		sim.submit(newJob(1, "plain", running))
		sim.advance(time.Second)
		paused := sim.now.Add(6 * time.Second)
		j := newJob(2, "plain", running)
		j.Pool, j.AcceptedAt, j.Version = "pool", paused, sim.version+1
		effects := sim.reducer.Apply(paused, dispatch.JobAccepted{Job: j, Notified: true}, dispatch.Tick{})
		Expect(effects.Starts).To(BeEmpty())
		for _, read := range effects.Reads {
			Expect(read.Deadline).To(BeZero(), "no lease is extended")
		}
	})
})
