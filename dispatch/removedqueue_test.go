package dispatch_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"fuchsiacross/dispatch"
	"fuchsiacross/job"
)

var _ = Describe("A queue that is removed from the configuration", func() {
	// A new leader knew nothing of such a queue: it started tasks without the tickets that they
	// need, and closed jobs as failed after one attempt of four.
	It("keeps its policy for its jobs when the leader changes", func() {
		retried := plain
		retried.Name, retried.MaxAttempts = "retried", 4
		sim := newSimulation(4, 16, checks, retried)
		withoutTicket, failed := 0, map[job.TaskID]bool{}
		sim.started = func(s dispatch.StartRun) (bool, time.Duration) {
			if s.Task.Job == id(1) && s.Ticket == "" {
				withoutTicket++
			}
			return true, 0
		}
		sim.outcome = func(task job.TaskID, _ int64) job.EndKind {
			if task.Job == id(2) && task.Step == 1 && !failed[task] {
				failed[task] = true
				return job.EndFailed
			}
			return job.EndDone
		}
		step := job.Step{Tasks: 2, Demand: demand(1, 1), EstimateMilliseconds: 1000}
		for n, q := range []job.Queue{checks, retried} {
			j := newJob(n+1, q.Name, step, step)
			j.Policy = &q
			sim.submit(j)
		}
		sim.advance(500 * time.Millisecond)
		sim.queues = nil
		sim.apply(dispatch.ConfigurationChanged{Configuration: &job.Configuration{}})
		sim.loseLeader(300 * time.Millisecond)
		sim.advance(10 * time.Second)
		for n := 1; n <= 2; n++ {
			state, _ := sim.reducer.Status(id(n))
			Expect(state).To(Equal(job.StateCompleted))
		}
		Expect(failed).NotTo(BeEmpty())
		Expect(withoutTicket).To(BeZero())
		Expect(sim.violations).To(BeEmpty())
	})
})
