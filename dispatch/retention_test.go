package dispatch_test

import (
	"errors"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"fuchsiacross/dispatch"
	"fuchsiacross/job"
)

var _ = Describe("Retention", func() {
	// Jobs were kept forever: the leader's memory and the duration of a change of leader grew
	// with every job that had ever been accepted.
	It("removes jobs that ended long enough ago, and no others", func() {
		sim := newSimulation(2, 16, plain)
		sim.options.RetentionSeconds = 60
		sim.startLeader(sim.options)
		sim.advance(100 * time.Millisecond)
		short := job.Step{Tasks: 1, Demand: demand(2, 2), EstimateMilliseconds: 500}
		sim.submit(newJob(1, "plain", short))
		sim.advance(50 * time.Second)
		sim.submit(newJob(2, "plain", short))
		sim.submit(newJob(3, "plain", job.Step{Tasks: 1, Demand: demand(2, 2), EstimateMilliseconds: 300_000}))
		sim.removalError = errors.New("store unavailable")
		sim.advance(25 * time.Second)
		_, known := sim.reducer.Status(id(1))
		Expect(known).To(BeTrue(), "its rows could not be removed yet")
		sim.removalError = nil
		sim.advance(10 * time.Second)
		Expect(sim.removedJobs).To(Equal([]job.ID{id(1)}))
		// A read of all rows that started before the removal still returns the job.
		sim.apply(dispatch.JobsLoaded{Jobs: []job.Job{newJob(1, "plain", short)}})
		sim.advance(32 * time.Second)
		_, known = sim.reducer.Status(id(1))
		Expect(known).To(BeFalse())
		Expect(sim.progress).NotTo(HaveKey(id(1)))
		for n, state := range map[int]job.State{2: job.StateCompleted, 3: job.StateRunning} {
			s, known := sim.reducer.Status(id(n))
			Expect(known).To(BeTrue())
			Expect(s).To(Equal(state))
		}
		Expect(sim.violations).To(BeEmpty())
	})

	// Nothing in the store expires by itself.
	It("removes the cancellation of a job that was never stored", func() {
		sim := newSimulation(1, 16, plain)
		sim.options.RetentionSeconds = 60
		sim.startLeader(sim.options)
		sim.advance(100 * time.Millisecond)
		sim.apply(dispatch.CancelAccepted{ID: id(1)})
		sim.removalError = errors.New("store unavailable")
		sim.advance(75 * time.Second)
		Expect(sim.removedJobs).To(BeEmpty())
		sim.removalError = nil
		sim.advance(10 * time.Second)
		Expect(sim.removedJobs).To(Equal([]job.ID{id(1)}))
		sim.advance(80 * time.Second)
		Expect(sim.removedJobs).To(HaveLen(1))
	})

	// The job was stored in one home while its cancellation was stored in the other.
	It("starts no task of a job that becomes known after its cancellation", func() {
		sim := newSimulation(1, 16, plain)
		sim.advance(100 * time.Millisecond)
		sim.apply(dispatch.CancelAccepted{ID: id(1)})
		sim.submit(newJob(1, "plain", job.Step{Tasks: 1, Demand: demand(2, 2), EstimateMilliseconds: 500}))
		sim.advance(2 * time.Second)
		state, _ := sim.reducer.Status(id(1))
		Expect(state).To(Equal(job.StateCancelled))
		Expect(sim.noteCounts[dispatch.NoteRunOrdered]).To(BeZero())
	})

	It("removes jobs that ended under an earlier leader", func() {
		sim := newSimulation(1, 16, plain)
		sim.options.RetentionSeconds = 60
		sim.advance(100 * time.Millisecond)
		sim.submit(newJob(1, "plain", job.Step{Tasks: 1, Demand: demand(2, 2), EstimateMilliseconds: 500}))
		sim.advance(2 * time.Second)
		sim.loseLeader(time.Second)
		sim.advance(80 * time.Second)
		Expect(sim.removedJobs).To(Equal([]job.ID{id(1)}))
		// The next leader finds progress without a job.
		Expect(sim.progress).To(HaveKey(id(1)))
		sim.loseLeader(time.Second)
		sim.advance(40 * time.Second)
		Expect(sim.progress).NotTo(HaveKey(id(1)))
		Expect(sim.removedJobs).To(HaveLen(1))
	})
})
