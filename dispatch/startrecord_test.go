package dispatch_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"fuchsiacross/dispatch"
	"fuchsiacross/job"
)

// Starts without a ticket that a successor of their leader has to know of.
var _ = Describe("A start without a ticket", func() {
	state := func(sim *simulation) job.State {
		s, _ := sim.reducer.Status(id(1))
		return s
	}
	task := job.Step{Tasks: 1, Demand: demand(4, 4), EstimateMilliseconds: 1000}
	// newLateStart returns a simulation whose first start is executed late, and the worker of that
	// start, once it was sent.
	newLateStart := func(step job.Step, late time.Duration) (*simulation, *fakeWorker) {
		sim := newSimulation(2, 16, plain)
		sim.advance(200 * time.Millisecond)
		var first *fakeWorker
		sim.started = func(s dispatch.StartRun) (bool, time.Duration) {
			if first != nil {
				return true, 0
			}
			first = sim.workers[s.Worker.ID]
			return false, late
		}
		sim.submit(newJob(1, "plain", step))
		for first == nil {
			sim.advance(5 * time.Millisecond)
		}
		return sim, first
	}

	losses := []struct {
		name string
		lose func(sim *simulation)
	}{
		{"is killed", func(sim *simulation) { sim.loseLeader(300 * time.Millisecond) }},
		{"is cut off from the store", func(sim *simulation) { sim.isolateLeader(300*time.Millisecond, "w00", "w01") }},
		{"is killed, as its successor", func(sim *simulation) {
			sim.loseLeader(300 * time.Millisecond)
			sim.advance(time.Second)
			sim.loseLeader(300 * time.Millisecond)
		}},
	}
	for _, t := range losses {
		// The successor found the run on no worker and started the task elsewhere. Then the worker
		// restarted, and executed the start before the successor had read it (review/12: TWICE).
		It("is not executed beside a run of a successor when its leader "+t.name, func() {
			sim, first := newLateStart(task, 3*time.Second)
			t.lose(sim)
			sim.schedule(2850*time.Millisecond-sim.now.Sub(sim.submittedAt[id(1)]), func() {
				first.restart(sim.now)
				if sim.leader != nil {
					sim.leader.reaches = nil
				}
			})
			sim.advance(30 * time.Second)
			Expect(sim.violations).To(BeEmpty())
			Expect(state(sim)).To(Equal(job.StateCompleted))
		})
	}

	// A run that is started beside another one is stopped. When the other one was given up
	// meanwhile, the task counted as idle and started a third time.
	It("that is executed beside another run does not let the task start again before it has ended", func() {
		sim := newSimulation(3, 16, plain)
		sim.taskLength = func(job.TaskID) time.Duration { return 20 * time.Second }
		sim.advance(200 * time.Millisecond)
		sim.submit(newJob(1, "plain", task))
		sim.advance(200 * time.Millisecond)
		var owner, other *fakeWorker
		for _, w := range sim.workers {
			if len(w.running) > 0 {
				owner = w
			}
		}
		for _, w := range sim.workers {
			if w != owner {
				other = w
			}
		}
		Expect(owner).NotTo(BeNil())
		taskID := job.TaskID{StepID: job.StepID{Job: id(1)}}
		// A late start of a former leader, on a worker that is slow to stop.
		late := owner.running[taskID].order
		late.Run, late.Worker = late.Run-1, other.worker
		other.running[taskID] = &fakeRun{order: late, allocation: owner.running[taskID].allocation, startedAt: sim.now, length: 20 * time.Second}
		other.extendLease(sim, other.clock(sim)+9000)
		other.answerPoll()
		sim.orderDelay = func(w job.WorkerID) time.Duration {
			if w == other.worker.ID {
				return 4 * time.Second
			}
			return 0
		}
		sim.advance(200 * time.Millisecond)
		starts := 0
		sim.started = func(dispatch.StartRun) (bool, time.Duration) {
			starts++
			return true, 0
		}
		owner.restart(sim.now)
		sim.advance(2 * time.Second)
		Expect(other.running).To(HaveKey(taskID))
		Expect(starts).To(BeZero(), "the second run has not ended")
		sim.advance(10 * time.Second)
		Expect(starts).To(Equal(1))
		Expect(sim.violations).To(BeEmpty())
	})

	It("is sent when its record is stored", func() {
		sim := newSimulation(2, 16, plain)
		sim.advance(200 * time.Millisecond)
		sim.submit(newJob(1, "plain", task))
		sim.storeDown = true
		sim.advance(3 * time.Second)
		Expect(sim.noteCounts[dispatch.NoteRunOrdered]).To(BeZero())
		sim.storeDown = false
		sim.advance(3 * time.Second)
		Expect(state(sim)).To(Equal(job.StateCompleted))
		Expect(sim.progress[id(1)].Steps).To(BeEmpty(), "the record is removed")
		Expect(sim.violations).To(BeEmpty())
	})

	// Work with tickets needs no record, and must not wait for the store behind work that does.
	It("that waits for its record holds up no start with a ticket", func() {
		sim := newSimulation(10, 16, plain, checks)
		sim.options.MaxPendingStarts = 8
		sim.allows = func(job.StepID, job.WorkerID) bool { return true }
		sim.startLeader(sim.options)
		sim.advance(200 * time.Millisecond)
		sim.submit(newJob(2, "checks", task))
		sim.advance(5 * time.Millisecond)
		sim.storeDown = true
		for n := range 20 {
			sim.submit(newJob(10+n, "plain", task))
		}
		sim.advance(500 * time.Millisecond)
		Expect(sim.startedAt).To(HaveKey(id(2)))
		Expect(sim.noteCounts[dispatch.NoteRunOrdered]).To(Equal(1))
	})

	// Starts that are recorded and never sent keep a successor waiting.
	It("is not recorded by a leader that resigns", func() {
		sim := newSimulation(2, 16, plain)
		sim.advance(200 * time.Millisecond)
		sim.storeDown = true
		sim.submit(newJob(1, "plain", task))
		sim.advance(20 * time.Millisecond)
		sim.submit(newJob(2, "plain", task))
		sim.apply(dispatch.Resigning{})
		sim.submit(newJob(3, "plain", task))
		sim.advance(200 * time.Millisecond)
		sim.storeDown = false
		sim.advance(200 * time.Millisecond)
		Expect(sim.progress[id(2)].Steps).To(BeEmpty())
		Expect(sim.progress[id(3)].Steps).To(BeEmpty())
		sim.loseLeader(0)
		sim.advance(3 * time.Second)
		for n := range 3 {
			s, _ := sim.reducer.Status(id(n + 1))
			Expect(s).To(Equal(job.StateCompleted))
		}
		Expect(sim.violations).To(BeEmpty())
	})

	changes := []struct {
		name   string
		change func(sim *simulation)
	}{
		{"its job is cancelled", func(sim *simulation) { sim.apply(dispatch.CancelAccepted{ID: id(1)}) }},
		{"its workers leave", func(sim *simulation) {
			for _, w := range sim.workers {
				w.worker.Leaving = true
				sim.apply(dispatch.WorkerListed{Worker: w.worker})
			}
		}},
	}
	for _, t := range changes {
		It("is not sent if "+t.name+" before its record is stored", func() {
			sim := newSimulation(2, 16, plain)
			sim.advance(200 * time.Millisecond)
			sim.storeDown = true
			gang := task
			gang.Tasks, gang.Gang = 4, true
			sim.submit(newJob(1, "plain", gang))
			sim.advance(500 * time.Millisecond)
			t.change(sim)
			sim.storeDown = false
			sim.advance(2 * time.Second)
			Expect(sim.noteCounts[dispatch.NoteRunOrdered]).To(BeZero())
			for _, w := range sim.workers {
				Expect(w.running).To(BeEmpty())
			}
			Expect(sim.violations).To(BeEmpty())
		})
	}
})
