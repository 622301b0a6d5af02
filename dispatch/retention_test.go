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
	// Jobs were kept for ever: the leader's memory and the time of a change of leader
	// grew with every job that had ever been accepted.
	It("forgets jobs that ended long enough ago, and no others", func() {
		c := newCell(2, 16, plain)
		c.options.RetentionSeconds = 60
		c.lead(c.options)
		c.run(100 * time.Millisecond)
		short := job.Step{Tasks: 1, Demand: demand(2, 2), EstimateMilliseconds: 500}
		c.submit(newJob(1, "plain", short))
		c.run(50 * time.Second)
		c.submit(newJob(2, "plain", short))
		c.submit(newJob(3, "plain", job.Step{Tasks: 1, Demand: demand(2, 2), EstimateMilliseconds: 300_000}))
		c.removal = errors.New("the store is away")
		c.run(25 * time.Second)
		_, known := c.reducer.Status(id(1))
		Expect(known).To(BeTrue(), "its rows could not be removed yet")
		c.removal = nil
		c.run(10 * time.Second)
		Expect(c.removedJobs).To(Equal([]job.ID{id(1)}))
		// A read of all rows that began before the removal returns the job.
		c.apply(dispatch.JobsLoaded{Jobs: []job.Job{newJob(1, "plain", short)}})
		c.run(32 * time.Second)
		_, known = c.reducer.Status(id(1))
		Expect(known).To(BeFalse())
		Expect(c.progress).NotTo(HaveKey(id(1)))
		for n, state := range map[int]job.State{2: job.StateCompleted, 3: job.StateRunning} {
			s, known := c.reducer.Status(id(n))
			Expect(known).To(BeTrue())
			Expect(s).To(Equal(state))
		}
		Expect(c.violations).To(BeEmpty())
	})

	It("forgets jobs that an earlier leader has seen end", func() {
		c := newCell(1, 16, plain)
		c.options.RetentionSeconds = 60
		c.run(100 * time.Millisecond)
		c.submit(newJob(1, "plain", job.Step{Tasks: 1, Demand: demand(2, 2), EstimateMilliseconds: 500}))
		c.run(2 * time.Second)
		c.loseLeader(time.Second)
		c.run(80 * time.Second)
		Expect(c.removedJobs).To(Equal([]job.ID{id(1)}))
		// The next leader finds progress without a job.
		Expect(c.progress).To(HaveKey(id(1)))
		c.loseLeader(time.Second)
		c.run(40 * time.Second)
		Expect(c.progress).NotTo(HaveKey(id(1)))
		Expect(c.removedJobs).To(HaveLen(1))
	})
})
