package dispatch_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"fuchsiacross/dispatch"
	"fuchsiacross/job"
)

// Orders that reach a later incarnation of a worker than the one they were sent to.
var _ = Describe("Late orders", func() {
	state := func(sim *simulation) job.State {
		s, _ := sim.reducer.Status(id(1))
		return s
	}
	task := job.Step{Tasks: 1, Demand: demand(4, 4), EstimateMilliseconds: 1000}

	// A start that had no answer was stopped and its task started elsewhere. Then the worker
	// restarted, which made it forget the stop and the fencing token, and executed the first
	// start (review/6: TWICE).
	It("do not start a task that has started elsewhere, after its stop was answered", func() {
		sim := newSimulation(2, 16, plain)
		sim.advance(200 * time.Millisecond)
		var first *fakeWorker
		sim.started = func(s dispatch.StartRun) (bool, time.Duration) {
			if first != nil {
				return true, 0
			}
			first = sim.workers[s.Worker.ID]
			return false, 3 * time.Second
		}
		sim.submit(newJob(1, "plain", task))
		sim.advance(2900 * time.Millisecond)
		first.restart(sim.now)
		sim.advance(12 * time.Second)
		Expect(sim.violations).To(BeEmpty())
		Expect(state(sim)).To(Equal(job.StateCompleted))
	})

	// A worker that is read in its next incarnation may restart once more.
	It("do not start a task that has started elsewhere, in the third incarnation", func() {
		sim := newSimulation(2, 16, plain)
		sim.advance(200 * time.Millisecond)
		var first *fakeWorker
		sim.started = func(s dispatch.StartRun) (bool, time.Duration) {
			if first != nil {
				return true, 0
			}
			first = sim.workers[s.Worker.ID]
			return false, 8 * time.Second
		}
		sim.submit(newJob(1, "plain", task))
		sim.advance(time.Second)
		first.restart(sim.now)
		sim.advance(7020 * time.Millisecond)
		first.restart(sim.now)
		sim.advance(12 * time.Second)
		Expect(sim.violations).To(BeEmpty())
		Expect(state(sim)).To(Equal(job.StateCompleted))
	})

	It("are not waited for if they carry a ticket, which no later incarnation accepts", func() {
		sim := newSimulation(2, 16, checks)
		sim.allows = func(job.StepID, job.WorkerID) bool { return true }
		sim.advance(200 * time.Millisecond)
		var first *fakeWorker
		sim.started = func(s dispatch.StartRun) (bool, time.Duration) {
			if first != nil {
				return true, 0
			}
			first = sim.workers[s.Worker.ID]
			return false, 6 * time.Second
		}
		sim.submit(newJob(1, "checks", task))
		sim.advance(4500 * time.Millisecond)
		Expect(state(sim)).To(Equal(job.StateCompleted))
		sim.advance(1400 * time.Millisecond)
		first.restart(sim.now)
		sim.advance(12 * time.Second)
		Expect(sim.violations).To(BeEmpty())
	})

	It("start their task if they arrive before it may start elsewhere", func() {
		sim := newSimulation(2, 16, plain)
		sim.advance(200 * time.Millisecond)
		starts := 0
		sim.started = func(dispatch.StartRun) (bool, time.Duration) {
			starts++
			return starts > 1, 3 * time.Second
		}
		sim.submit(newJob(1, "plain", task))
		sim.advance(4500 * time.Millisecond)
		Expect(state(sim)).To(Equal(job.StateCompleted))
		Expect(starts).To(Equal(1))
		Expect(sim.violations).To(BeEmpty())
	})

	// A gang with a member in transit would wait for it in vain.
	It("delay a gang, none of whose other members is left alone", func() {
		sim := newSimulation(3, 16, plain)
		sim.advance(200 * time.Millisecond)
		starts := 0
		sim.started = func(dispatch.StartRun) (bool, time.Duration) {
			starts++
			return starts > 1, map[bool]time.Duration{true: 9 * time.Second}[starts == 1]
		}
		sim.submit(newJob(1, "plain", job.Step{Tasks: 3, Gang: true, Demand: demand(9, 4), EstimateMilliseconds: 1000}))
		sim.advance(2 * time.Second)
		for _, w := range sim.workers {
			Expect(w.running).To(HaveLen(0))
		}
		sim.advance(14 * time.Second)
		Expect(state(sim)).To(Equal(job.StateCompleted))
		Expect(sim.violations).To(BeEmpty())
	})
})
