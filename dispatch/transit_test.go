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

	// A reading that was meant for the former incarnation extended the lease of the next one to
	// the longest that workers grant, since its deadline was a time of another clock. The leader
	// took the lease for the one that it had asked for (recut: TWICE).
	strayLeases := []struct {
		name    string
		isolate func(sim *simulation) // cuts w00 off
	}{
		{"without contact to its leader", func(sim *simulation) {
			sim.leader.reaches = func(id job.WorkerID) bool { return id != "w00" }
		}},
		{"without contact to the next leader", func(sim *simulation) {
			sim.nextReaches = func(id job.WorkerID) bool { return id != "w00" }
			sim.loseLeader(300 * time.Millisecond)
		}},
		{"that has answered the next leader", func(sim *simulation) {
			sim.loseLeader(300 * time.Millisecond)
			sim.schedule(500*time.Millisecond, func() {
				sim.leader.reaches = func(id job.WorkerID) bool { return id != "w00" }
			})
		}},
	}
	for _, test := range strayLeases {
		It("extend the lease of the next incarnation of a worker "+test.name, func() {
			sim := newSimulation(2, 16, plain)
			sim.advance(200 * time.Millisecond)
			sim.taskLength = func(t job.TaskID) time.Duration {
				return map[job.ID]time.Duration{id(1): 9 * time.Second, id(2): 6 * time.Second}[t.Job]
			}
			wide := job.Step{Tasks: 1, Demand: demand(16, 4), EstimateMilliseconds: 9000}
			sim.submit(newJob(1, "plain", wide))
			sim.advance(100 * time.Millisecond)
			sim.submit(newJob(2, "plain", wide))
			sim.advance(400 * time.Millisecond)
			Expect(sim.workers["w00"].running).To(HaveKey(job.TaskID{StepID: job.StepID{Job: id(1)}}))
			sim.orderDelay = func(w job.WorkerID) time.Duration {
				return map[job.WorkerID]time.Duration{"w00": 1400 * time.Millisecond}[w]
			}
			sim.advance(1900 * time.Millisecond)
			sim.orderDelay = func(job.WorkerID) time.Duration { return 0 }
			sim.advance(300 * time.Millisecond)
			w := sim.workers["w00"]
			w.restart(sim.now)
			sim.advance(1500 * time.Millisecond)
			Expect(w.running).To(HaveLen(1), "its run in the next incarnation")
			Expect(w.leaseEnd.Sub(sim.now)).To(BeNumerically(">", 6*time.Second), "a stray lease")
			test.isolate(sim)
			sim.advance(25 * time.Second)
			Expect(sim.violations).To(BeEmpty())
			Expect(state(sim)).To(Equal(job.StateCompleted))
		})
	}

	// A ticket that was issued after a restart let the worker execute a start before its new
	// incarnation was read. The deadline was a time of the former clock (soak, seed 4: two runs).
	It("extend the lease of an incarnation that only the answer to a start shows", func() {
		sim := newSimulation(2, 16, checks)
		sim.allows = func(job.StepID, job.WorkerID) bool { return true }
		sim.taskLength = func(job.TaskID) time.Duration { return 9 * time.Second }
		sim.advance(200 * time.Millisecond)
		for _, w := range sim.workers {
			w.restart(sim.now)
		}
		sim.submit(newJob(1, "checks", job.Step{Tasks: 1, Demand: demand(16, 4), EstimateMilliseconds: 9000}))
		sim.advance(60 * time.Millisecond)
		for _, w := range sim.workers {
			if len(w.running) > 0 {
				sim.leader.reaches = func(id job.WorkerID) bool { return id != w.worker.ID }
			}
		}
		sim.advance(30 * time.Second)
		Expect(sim.violations).To(BeEmpty())
		Expect(state(sim)).To(Equal(job.StateCompleted))
	})

	// A stop that was answered by the former incarnation was not repeated when the run appeared
	// in the next one.
	It("do not start a task that was cancelled for long", func() {
		sim := newSimulation(1, 16, plain)
		sim.advance(200 * time.Millisecond)
		sim.started = func(dispatch.StartRun) (bool, time.Duration) { return false, 3 * time.Second }
		sim.submit(newJob(1, "plain", job.Step{Tasks: 1, Demand: demand(4, 4), EstimateMilliseconds: 60_000}))
		sim.advance(500 * time.Millisecond)
		sim.apply(dispatch.CancelAccepted{ID: id(1)})
		w := sim.workers["w00"]
		sim.advance(2300 * time.Millisecond)
		w.restart(sim.now)
		sim.advance(300 * time.Millisecond)
		Expect(w.running).To(HaveLen(1))
		sim.advance(3 * time.Second)
		Expect(len(w.running)).To(BeZero())
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
