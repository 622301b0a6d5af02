package dispatch_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"fuchsiacross/dispatch"
	"fuchsiacross/job"
)

// Assessments that keep work off a worker end by time, or by evidence that needs no new runs
// on that worker.
var _ = Describe("An assessment of workers ends", func() {
	state := func(sim *simulation, n int) job.State {
		s, _ := sim.reducer.Status(id(n))
		return s
	}

	// The advice on workers whose state had been dropped was kept when they returned. The step
	// waited for them for good, beside tickets for workers that no longer existed (review/8:
	// LOST).
	It("when the only workers that a step may use return after a crash", func() {
		sim := newSimulation(14, 16, checks)
		sim.allows = func(_ job.StepID, w job.WorkerID) bool { return w < "w02" }
		sim.advance(200 * time.Millisecond)
		sim.submit(newJob(1, "checks", job.Step{Tasks: 2, Demand: demand(2, 2), EstimateMilliseconds: 4000}))
		sim.advance(2 * time.Second)
		Expect(state(sim, 1)).To(Equal(job.StateRunning))
		lost := []*fakeWorker{sim.workers["w00"], sim.workers["w01"]}
		for _, w := range lost {
			w.unreachable = true
		}
		sim.advance(4500 * time.Millisecond)
		for _, w := range lost {
			sim.apply(dispatch.WorkerUnlisted{ID: w.worker.ID})
		}
		sim.advance(600 * time.Millisecond)
		for _, w := range lost {
			w.restart(sim.now)
			sim.apply(dispatch.WorkerListed{Worker: w.worker})
		}
		sim.advance(6 * time.Second)
		Expect(state(sim, 1)).To(Equal(job.StateCompleted))
		Expect(sim.violations).To(BeEmpty())
	})

	// A slow worker got tasks again only once it was empty, and only these could show that it had
	// recovered. A worker with a service is never empty (review/9: LOST).
	It("when a worker that was slow runs nothing but a service", func() {
		sim := newSimulation(6, 16, plain)
		rare := sim.workers["w00"]
		rare.worker.Labels = []string{"rare"}
		sim.apply(dispatch.WorkerListed{Worker: rare.worker})
		sim.advance(200 * time.Millisecond)
		sim.submit(newJob(1, "plain", job.Step{Tasks: 6, MaxPerWorker: 1, LongRunning: true, Demand: demand(3, 2)}))
		sim.advance(time.Second)
		short := job.Step{Tasks: 6, MaxPerWorker: 1, Demand: demand(1, 1), EstimateMilliseconds: 1000}
		for n := range 18 {
			rare.slowdown = 6.5
			sim.submit(newJob(100+n, "plain", short))
			sim.advance(400 * time.Millisecond)
		}
		Expect(sim.noteCounts[dispatch.NoteWorkerHealthChanged]).To(Equal(1))
		rare.slowdown = 1
		sim.advance(7 * time.Second)
		required := job.Step{Tasks: 2, RequiredLabel: "rare", Demand: demand(1, 1), EstimateMilliseconds: 1000}
		sim.submit(newJob(2, "plain", required))
		sim.advance(3 * time.Second)
		Expect(state(sim, 2)).To(Equal(job.StateCompleted))
		Expect(sim.violations).To(BeEmpty())
	})

	// Failures of different jobs in a row closed a worker until it was empty or a run ended done.
	// Tasks that last never do (review/4: LOST).
	It("when tasks that last fail now and then", func() {
		sim := newSimulation(4, 32, plain)
		sim.advance(200 * time.Millisecond)
		sim.outcome = func(job.TaskID, int64) job.EndKind { return job.EndFailed }
		sim.taskLength = func(job.TaskID) time.Duration {
			return time.Duration(6+sim.random.IntN(20)) * time.Second
		}
		const jobs, tasks = 8, 5
		for n := range jobs {
			sim.submit(newJob(n, "plain", job.Step{Tasks: tasks, LongRunning: true, Demand: demand(1, 1)}))
		}
		sim.advance(90 * time.Second)
		for range 20 {
			sim.advance(time.Second)
			running := 0
			for _, w := range sim.workers {
				running += len(w.running)
			}
			Expect(running).To(BeNumerically(">=", jobs*tasks*9/10))
		}
		Expect(sim.violations).To(BeEmpty())
	})

	// The last of three failures closed a worker until its other run had ended.
	It("when jobs have failed on a worker that has one long run left", func() {
		sim := newSimulation(1, 16, plain)
		sim.advance(200 * time.Millisecond)
		sim.outcome = func(t job.TaskID, _ int64) job.EndKind {
			if t.Job < id(10) {
				return job.EndFailed
			}
			return job.EndDone
		}
		sim.submit(newJob(20, "plain", job.Step{Tasks: 1, Demand: demand(1, 1), EstimateMilliseconds: 600_000}))
		for n := range 3 {
			sim.submit(newJob(n, "plain", job.Step{Tasks: 1, Demand: demand(1, 1), EstimateMilliseconds: 100}))
			sim.advance(300 * time.Millisecond)
		}
		sim.advance(8 * time.Second)
		sim.submit(newJob(21, "plain", job.Step{Tasks: 1, Demand: demand(1, 1), EstimateMilliseconds: 500}))
		sim.advance(2 * time.Second)
		Expect(state(sim, 21)).To(Equal(job.StateCompleted))
	})

	// The rack of the task that was left had the most claim and no capacity (review/10: LOST).
	It("when the rack of a service has no capacity for a lost task", func() {
		sim := newSimulation(7, 16, plain)
		for n, rack := range []string{"a", "a", "b", "b", "b", "b", "b"} {
			w := sim.workers[job.WorkerID(fmt.Sprintf("w%02d", n))]
			w.worker.Rack = rack
			sim.apply(dispatch.WorkerListed{Worker: w.worker})
		}
		sim.advance(200 * time.Millisecond)
		sim.submit(newJob(1, "plain", job.Step{Tasks: 2, SameRack: true, LongRunning: true, Demand: demand(10, 2)}))
		sim.advance(2 * time.Second)
		Expect(sim.workers["w00"].running).To(HaveLen(1))
		Expect(sim.workers["w01"].running).To(HaveLen(1))
		sim.workers["w01"].unreachable = true
		sim.advance(8 * time.Second)
		running := 0
		for _, w := range sim.workers {
			if !w.unreachable {
				running += len(w.running)
			}
		}
		Expect(running).To(Equal(2))
		Expect(sim.violations).To(BeEmpty())
	})

	// One long run is left on the worker, which shows nothing for a long time.
	It("when a worker that was slow has one long run left", func() {
		sim := newSimulation(6, 16, plain)
		rare := sim.workers["w00"]
		rare.worker.Labels = []string{"rare"}
		sim.apply(dispatch.WorkerListed{Worker: rare.worker})
		sim.advance(200 * time.Millisecond)
		sim.submit(newJob(1, "plain", job.Step{Tasks: 1, RequiredLabel: "rare", Demand: demand(3, 2), EstimateMilliseconds: 600_000}))
		sim.advance(time.Second)
		short := job.Step{Tasks: 6, MaxPerWorker: 1, Demand: demand(1, 1), EstimateMilliseconds: 1000}
		for n := range 18 {
			rare.slowdown = 6.5
			sim.submit(newJob(100+n, "plain", short))
			sim.advance(400 * time.Millisecond)
		}
		rare.slowdown = 1
		sim.advance(20 * time.Second)
		sim.submit(newJob(2, "plain", job.Step{Tasks: 2, RequiredLabel: "rare", Demand: demand(1, 1), EstimateMilliseconds: 1000}))
		sim.advance(3 * time.Second)
		Expect(state(sim, 2)).To(Equal(job.StateCompleted))
		Expect(sim.violations).To(BeEmpty())
	})

	// A step with a ticket for a worker without room did not ask for the few others that had
	// become available.
	It("when few further workers are available beside a full one that a step may use", func() {
		sim := newSimulation(14, 16, checks, plain)
		sim.allows = func(_ job.StepID, w job.WorkerID) bool { return w == "w00" || w == "w13" }
		sim.workers["w13"].unregistered = true
		sim.apply(dispatch.WorkerUnlisted{ID: "w13"})
		sim.advance(200 * time.Millisecond)
		// The only allowed worker is busy for a long time.
		sim.submit(newJob(1, "checks", job.Step{Tasks: 1, Demand: demand(16, 2), EstimateMilliseconds: 60_000}))
		sim.advance(time.Second)
		sim.submit(newJob(2, "checks", job.Step{Tasks: 1, Demand: demand(16, 2), EstimateMilliseconds: 500}))
		sim.advance(time.Second)
		Expect(state(sim, 2)).To(Equal(job.StateQueued))
		sim.workers["w13"].unregistered = false
		sim.apply(dispatch.WorkerListed{Worker: sim.workers["w13"].worker})
		sim.advance(7 * time.Second)
		Expect(state(sim, 2)).To(Equal(job.StateCompleted))
	})
})
