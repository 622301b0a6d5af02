package dispatch_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"fuchsiacross/dispatch"
	"fuchsiacross/job"
)

var _ = Describe("Advice", func() {
	// After each change of leader, advice was requested again for every waiting gang, with an
	// expensive call for all workers: gangs made no progress for 10 to 40 s.
	It("uses the advice that an earlier leader saved", func() {
		sim := newSimulation(8, 16, drafts, plain)
		sim.submit(newJob(1, "plain", job.Step{Tasks: 8, Demand: demand(16, 4), EstimateMilliseconds: 4000}))
		sim.advance(100 * time.Millisecond)
		sim.submit(newJob(2, "drafts", job.Step{Tasks: 2, Gang: true, Demand: demand(8, 4), EstimateMilliseconds: 1000}))
		sim.advance(2 * time.Second)
		sim.calls = nil
		sim.loseLeader(500 * time.Millisecond)
		sim.advance(6 * time.Second)
		state, _ := sim.reducer.Status(id(2))
		Expect(state).To(Equal(job.StateCompleted))
		for _, call := range sim.calls {
			for _, worker := range call.Workers {
				Expect(sim.allows(call.Step, worker)).To(BeTrue(), "only tickets are requested again")
			}
		}
		Expect(sim.violations).To(BeEmpty())
	})

	// A job whose saved progress holds only advice must not count as started.
	It("shows a job that waits with stored advice as queued", func() {
		sim := newSimulation(2, 16, drafts, plain)
		sim.submit(newJob(1, "plain", job.Step{Tasks: 2, Demand: demand(16, 4), EstimateMilliseconds: 15_000}))
		sim.advance(100 * time.Millisecond)
		sim.submit(newJob(2, "drafts", job.Step{Tasks: 2, Demand: demand(8, 4), EstimateMilliseconds: 1000}))
		sim.advance(2 * time.Second)
		Expect(sim.progress[id(2)].Steps).NotTo(BeEmpty())
		sim.loseLeader(100 * time.Millisecond)
		sim.advance(500 * time.Millisecond)
		state, _ := sim.reducer.Status(id(2))
		Expect(state).To(Equal(job.StateQueued))
	})

	// With two of seven instances cut off, one lane was left for the checks. At twice their
	// usual rate they queued for it.
	It("makes cheap calls at once beside many expensive ones", func() {
		sim := newSimulation(48, 16, drafts, checks)
		sim.allows = func(job.StepID, job.WorkerID) bool { return true }
		sim.setLanes(5)
		for n := range 30 {
			sim.submit(newJob(n, "drafts", job.Step{Tasks: 2, Demand: demand(1, 1), EstimateMilliseconds: 500}))
		}
		const firstCheck, count = 100, 90
		for n := range count {
			sim.schedule(time.Duration(n)*time.Second/count, func() {
				sim.submit(newJob(firstCheck+n, "checks", job.Step{Tasks: 2, Demand: demand(1, 1), EstimateMilliseconds: 300}))
			})
		}
		sim.advance(10 * time.Second)
		for n := range count {
			check := id(firstCheck + n)
			Expect(sim.startedAt[check].Sub(sim.submittedAt[check])).To(BeNumerically("<", 120*time.Millisecond), "check %d", n)
		}
	})

	// The calls that kept the tickets of a blocked gang valid named a hundred workers and took a
	// second each. When there was room, the tickets of the chosen workers had to be renewed
	// after such a call, and the room was gone by then.
	It("starts a gang within the time of one call after it has room", func() {
		sim := newSimulation(200, 16, drafts, plain)
		sim.setLanes(38)
		sim.allows = func(job.StepID, job.WorkerID) bool { return true }
		const filled = 8 * time.Second
		sim.submit(newJob(1, "plain", job.Step{Tasks: 200, Demand: demand(16, 4), EstimateMilliseconds: float64(filled.Milliseconds())}))
		sim.advance(200 * time.Millisecond)
		for n := 2; n < 8; n++ {
			sim.submit(newJob(n, "drafts", job.Step{Tasks: 20, Gang: true, Demand: demand(16, 4), EstimateMilliseconds: 4000}))
		}
		sim.advance(30 * time.Second)
		call := drafts.AdviceCallMilliseconds + 20*drafts.AdviceWorkerMilliseconds
		for n := 2; n < 8; n++ {
			waited := sim.startedAt[id(n)].Sub(sim.startedAt[id(1)].Add(filled))
			Expect(waited).To(BeNumerically("<", time.Duration(call+200)*time.Millisecond), "gang %d", n)
		}
		Expect(sim.violations).To(BeEmpty())
	})

	// Other tasks take the room of a gang that waits for tickets and has no reserved workers. On a
	// grown site such gangs stood still while most of the room was free.
	It("starts a gang without reserved workers as soon as it has room", func() {
		const (
			workers, width, gang, firstFiller = 60, 20, 2, 1000
			firstFree                         = 9 * time.Second
			interval                          = 150 * time.Millisecond // between two workers that become free
		)
		sim := newSimulation(workers, 16, drafts, plain)
		sim.allows = func(job.StepID, job.WorkerID) bool { return true }
		pace := map[job.WorkerID]float64{}
		freeAfter := map[job.WorkerID]time.Duration{} // the slower a worker, the earlier
		for n := range workers {
			w := job.WorkerID(fmt.Sprintf("w%02d", n))
			pace[w], freeAfter[w] = 1.3-0.5*float64(n)/workers, firstFree+time.Duration(n)*interval
			sim.workers[w].pace = pace[w]
		}
		// The paces are learnt from runs of shared steps.
		for n := range 6 {
			sim.submit(newJob(100+n, "plain", job.Step{Tasks: workers, MaxPerWorker: 1, Demand: demand(2, 1), EstimateMilliseconds: 500}))
			sim.advance(time.Second)
		}
		began := sim.now
		lengths := map[job.ID]time.Duration{id(gang): 4 * time.Second}
		sim.started = func(s dispatch.StartRun) (bool, time.Duration) {
			if s.Task.Job != id(gang) {
				lengths[s.Task.Job] = time.Duration(float64(freeAfter[s.Worker.ID]) / pace[s.Worker.ID])
			}
			return true, 0
		}
		sim.taskLength = func(task job.TaskID) time.Duration { return lengths[task.Job] }
		for n := range workers {
			sim.submit(newJob(firstFiller+n, "plain", job.Step{Tasks: 1, Demand: demand(16, 4), EstimateMilliseconds: 15_000}))
		}
		sim.advance(50 * time.Millisecond)
		// It is too late for its objective, so that no workers are reserved for it.
		sim.submit(newJob(gang, "drafts", job.Step{Tasks: width, Gang: true, Demand: demand(16, 4), EstimateMilliseconds: 200}))
		sim.advance(30 * time.Second)
		Expect(sim.startedAt[id(gang)].Sub(began)).To(BeNumerically("<", firstFree+width*interval+200*time.Millisecond))
		Expect(sim.violations).To(BeEmpty())
	})

	// A new leader requested advice on the few workers that it had read first. Jobs that could
	// run on none of these waited for more than 2 s.
	It("requests advice once most workers have been read", func() {
		sim := newSimulation(100, 16, checks)
		sim.allows = func(_ job.StepID, w job.WorkerID) bool { return w >= "w50" }
		sim.firstReadDelay = func(w job.WorkerID) time.Duration {
			if w < "w05" {
				return 0
			}
			return 200 * time.Millisecond
		}
		sim.loseLeader(0)
		sim.schedule(20*time.Millisecond, func() {
			sim.submit(newJob(1, "checks", job.Step{Tasks: 2, Demand: demand(1, 1), EstimateMilliseconds: 300}))
		})
		sim.advance(3 * time.Second)
		Expect(sim.startedAt[id(1)].Sub(sim.submittedAt[id(1)])).To(BeNumerically("<", 400*time.Millisecond))
	})

	// One check in thirty started 0.2 s late because a packet of its call for advice
	// was lost.
	It("sends a second call when the answer to a cheap call is overdue", func() {
		sim := newSimulation(8, 16, checks)
		sim.allows = func(job.StepID, job.WorkerID) bool { return true }
		sim.adviceDelay = func(dispatch.RequestAdvice) time.Duration {
			if sim.callCount == 1 {
				return 200 * time.Millisecond
			}
			return 0
		}
		sim.advance(100 * time.Millisecond)
		sim.submit(newJob(1, "checks", job.Step{Tasks: 2, Demand: demand(1, 1), EstimateMilliseconds: 300}))
		sim.advance(time.Second)
		Expect(sim.startedAt[id(1)].Sub(sim.submittedAt[id(1)])).To(BeNumerically("<", 150*time.Millisecond))
		Expect(sim.callCount).To(Equal(2))
		Expect(sim.violations).To(BeEmpty())
	})

	// The call that renewed the tickets of a wide step named all its workers, and the advice
	// service refused it again and again.
	It("renews the tickets of a step with more workers than a call may name", func() {
		const workers, tasks = 180, 120
		sim := newSimulation(workers, 16, plain, checks)
		sim.allows = func(job.StepID, job.WorkerID) bool { return true }
		sim.advance(200 * time.Millisecond)
		sim.submit(newJob(1, "plain", job.Step{Tasks: workers, Demand: demand(16, 4), EstimateMilliseconds: 8000}))
		sim.advance(time.Second)
		sim.submit(newJob(2, "checks", job.Step{Tasks: tasks, MaxPerWorker: 1, Demand: demand(1, 1), EstimateMilliseconds: 500}))
		sim.advance(12 * time.Second)
		state, _ := sim.reducer.Status(id(2))
		Expect(state).To(Equal(job.StateCompleted))
		Expect(sim.violations).To(BeEmpty())
	})

	// An instance that no longer answered was sent one call for advice after another until its
	// link was closed.
	It("sends no further calls to a lane whose answers are overdue", func() {
		r := dispatch.New(dispatch.Options{Token: 1, FirstLeader: true, ClaimedAt: time.UnixMilli(0)})
		now := time.UnixMilli(0)
		w := job.Worker{ID: "w", Pool: "pool", Capacity: demand(16, 16), StartTime: 1}
		r.Apply(now, dispatch.ConfigurationChanged{Configuration: &job.Configuration{Queues: []job.Queue{checks}}},
			dispatch.LanesChanged{Names: []string{"a"}}, dispatch.JobsLoaded{Workers: []dispatch.Enrolment{{Worker: w}}}, dispatch.WorkersRead{},
			dispatch.WorkerListed{Worker: w},
			dispatch.WorkerReading{ID: "w", Token: 1, Reading: job.WorkerSnapshot{Clock: 1, StartTime: 1}})
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
	// A job that waited for capacity left no log line between its acceptance and its start.
	It("logs what a waiting step lacks every two seconds", func() {
		sim := newSimulation(4, 16, plain)
		sim.submit(newJob(1, "plain", job.Step{Tasks: 4, Demand: demand(12, 4), EstimateMilliseconds: 7000}))
		sim.advance(100 * time.Millisecond)
		sim.submit(newJob(2, "plain", job.Step{Tasks: 3, Gang: true, Demand: demand(8, 4), EstimateMilliseconds: 1000}))
		sim.advance(6500 * time.Millisecond)
		Expect(sim.noteCounts[dispatch.NoteStepWaiting]).To(Equal(3))
		Expect(sim.lastExplanation).To(HavePrefix("step 0 lacks 3 tasks: 4 workers may run it"))
	})
})
