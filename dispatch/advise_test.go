package dispatch_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"fuchsiacross/dispatch"
	"fuchsiacross/job"
)

var _ = Describe("Advice", func() {
	// After each change of leader every waiting gang was asked for again, with a
	// dear call for all workers: gangs stood still for 10 to 40 s.
	It("uses what an earlier leader has learnt", func() {
		c := newCell(8, 16, drafts, plain)
		c.submit(newJob(1, "plain", job.Step{Tasks: 8, Demand: demand(16, 4), EstimateMilliseconds: 4000}))
		c.run(100 * time.Millisecond)
		c.submit(newJob(2, "drafts", job.Step{Tasks: 2, Gang: true, Demand: demand(8, 4), EstimateMilliseconds: 1000}))
		c.run(2 * time.Second)
		c.calls = nil
		c.loseLeader(500 * time.Millisecond)
		c.run(6 * time.Second)
		state, _ := c.reducer.Status(id(2))
		Expect(state).To(Equal(job.StateCompleted))
		for _, call := range c.calls {
			for _, worker := range call.Workers {
				Expect(c.good(call.Step, worker)).To(BeTrue(), "only tickets are asked for again")
			}
		}
		Expect(c.violations).To(BeEmpty())
	})

	// A job whose row of progress holds advice only must not count as begun.
	It("shows a job that waits with stored advice as queued", func() {
		c := newCell(2, 16, drafts, plain)
		c.submit(newJob(1, "plain", job.Step{Tasks: 2, Demand: demand(16, 4), EstimateMilliseconds: 9000}))
		c.run(100 * time.Millisecond)
		c.submit(newJob(2, "drafts", job.Step{Tasks: 2, Demand: demand(8, 4), EstimateMilliseconds: 1000}))
		c.run(2 * time.Second)
		Expect(c.progress[id(2)].Steps).NotTo(BeEmpty())
		c.loseLeader(100 * time.Millisecond)
		c.run(500 * time.Millisecond)
		state, _ := c.reducer.Status(id(2))
		Expect(state).To(Equal(job.StateQueued))
	})

	// With two of seven instances cut off, one lane was left to the checks; at
	// twice their usual number they waited for it behind one another.
	It("answers cheap calls at once beside many dear ones", func() {
		c := newCell(48, 16, drafts, checks)
		c.good = func(job.StepID, job.WorkerID) bool { return true }
		c.setLanes(5)
		for n := range 30 {
			c.submit(newJob(n, "drafts", job.Step{Tasks: 2, Demand: demand(1, 1), EstimateMilliseconds: 500}))
		}
		const firstCheck, count = 100, 90
		for n := range count {
			c.after(time.Duration(n)*time.Second/count, func() {
				c.submit(newJob(firstCheck+n, "checks", job.Step{Tasks: 2, Demand: demand(1, 1), EstimateMilliseconds: 300}))
			})
		}
		c.run(10 * time.Second)
		for n := range count {
			check := id(firstCheck + n)
			Expect(c.began[check].Sub(c.handed[check])).To(BeNumerically("<", 120*time.Millisecond), "check %d", n)
		}
	})

	// A new leader asked for the few workers that it had read first; jobs for which
	// these were no good waited for more than 2 s.
	It("asks for advice once most workers have been read", func() {
		c := newCell(100, 16, checks)
		c.good = func(_ job.StepID, w job.WorkerID) bool { return w >= "w50" }
		c.firstRead = func(w job.WorkerID) time.Duration {
			if w < "w05" {
				return 0
			}
			return 200 * time.Millisecond
		}
		c.loseLeader(0)
		c.after(20*time.Millisecond, func() {
			c.submit(newJob(1, "checks", job.Step{Tasks: 2, Demand: demand(1, 1), EstimateMilliseconds: 300}))
		})
		c.run(3 * time.Second)
		Expect(c.began[id(1)].Sub(c.handed[id(1)])).To(BeNumerically("<", 400*time.Millisecond))
	})

	// One check in thirty started 0.2 s late because a packet of its call for advice
	// was lost.
	It("asks a second time when the answer to a cheap call is overdue", func() {
		c := newCell(8, 16, checks)
		c.good = func(job.StepID, job.WorkerID) bool { return true }
		c.advised = func(dispatch.RequestAdvice) time.Duration {
			if c.asked == 1 {
				return 200 * time.Millisecond
			}
			return 0
		}
		c.run(100 * time.Millisecond)
		c.submit(newJob(1, "checks", job.Step{Tasks: 2, Demand: demand(1, 1), EstimateMilliseconds: 300}))
		c.run(time.Second)
		Expect(c.began[id(1)].Sub(c.handed[id(1)])).To(BeNumerically("<", 150*time.Millisecond))
		Expect(c.asked).To(Equal(2))
		Expect(c.violations).To(BeEmpty())
	})

	// An instance that no longer answers swallowed one call for advice after the
	// other until its link was given up.
	It("sends no further calls to a lane whose answers are overdue", func() {
		r := dispatch.New(dispatch.Options{Token: 1, FirstLeader: true, ClaimedAt: time.UnixMilli(0)})
		now := time.UnixMilli(0)
		w := job.Worker{ID: "w", Pool: "pool", Capacity: demand(16, 16)}
		r.Apply(now, dispatch.ConfigurationChanged{Configuration: &job.Configuration{Queues: []job.Queue{checks}}},
			dispatch.LanesChanged{Names: []string{"a"}}, dispatch.JobsLoaded{Workers: []job.Worker{w}}, dispatch.WorkersRead{},
			dispatch.WorkerListed{Worker: w},
			dispatch.WorkerReading{ID: "w", Reading: job.WorkerSnapshot{Clock: 1, StartTime: 1}})
		asked := 0
		for n := range 100 {
			now = now.Add(10 * time.Millisecond)
			j := newJob(n, "checks", job.Step{Tasks: 1, Demand: demand(1, 1), EstimateMilliseconds: 300})
			j.Pool, j.AcceptedAt = "pool", now
			asked += len(r.Apply(now, dispatch.JobAccepted{Job: j, Notified: true}, dispatch.LeadershipConfirmed{At: now}).AdviceRequests)
		}
		Expect(asked).To(BeNumerically(">", 1))
		Expect(asked).To(BeNumerically("<", 20))
	})
})

var _ = Describe("Explanation", func() {
	// A job that waited for room left no line in the logs between its acceptance
	// and its start.
	It("says what a waiting step lacks, every two seconds", func() {
		c := newCell(4, 16, plain)
		c.submit(newJob(1, "plain", job.Step{Tasks: 4, Demand: demand(12, 4), EstimateMilliseconds: 7000}))
		c.run(100 * time.Millisecond)
		c.submit(newJob(2, "plain", job.Step{Tasks: 3, Gang: true, Demand: demand(8, 4), EstimateMilliseconds: 1000}))
		c.run(6500 * time.Millisecond)
		Expect(c.noted[dispatch.NoteStepWaits]).To(Equal(3))
		Expect(c.explained).To(HavePrefix("step 0 lacks 3 tasks: 4 workers may run it"))
	})
})
