package dispatch_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"fuchsiacross/dispatch"
	"fuchsiacross/job"
)

var _ = Describe("Health of workers", func() {
	state := func(sim *simulation) job.State {
		s, _ := sim.reducer.Status(id(1))
		return s
	}

	// One job with a far too low estimate made its worker count as slow: on calm days 51 runs
	// were moved off healthy workers (Kraamnet, quiet-1).
	It("does not call a worker slow because of one badly estimated job", func() {
		sim := newSimulation(1, 16, plain)
		sim.taskLength = func(job.TaskID) time.Duration { return 6 * time.Second }
		sim.submit(newJob(1, "plain", job.Step{Tasks: 6, Demand: demand(2, 2), EstimateMilliseconds: 600}))
		sim.advance(10 * time.Second)
		Expect(sim.noteCounts[dispatch.NoteRunMoved]).To(BeZero())
		Expect(state(sim)).To(Equal(job.StateCompleted))
	})

	// The log did not show that a worker was avoided, nor why.
	It("logs changes of a worker's health state", func() {
		sim := newSimulation(4, 16, plain)
		sim.workers["w01"].slowdown = 8
		sim.submit(newJob(1, "plain", job.Step{Tasks: 4, MaxPerWorker: 1, Demand: demand(4, 2), EstimateMilliseconds: 2000}))
		sim.advance(8 * time.Second)
		Expect(sim.noteCounts[dispatch.NoteWorkerHealthChanged]).To(Equal(1))
		sim.workers["w01"].slowdown = 1
		for n := range 12 {
			sim.submit(newJob(n+2, "plain", job.Step{Tasks: 4, MaxPerWorker: 1, Demand: demand(4, 2), EstimateMilliseconds: 500}))
			sim.advance(2 * time.Second)
		}
		Expect(sim.noteCounts[dispatch.NoteWorkerHealthChanged]).To(Equal(2))
	})

	// The tasks of one step differ by far less than estimates do.
	It("moves a task that is much slower than the others of its step", func() {
		sim := newSimulation(4, 16, plain)
		sim.workers["w01"].slowdown = 8
		sim.submit(newJob(1, "plain", job.Step{Tasks: 4, MaxPerWorker: 1, Demand: demand(4, 2), EstimateMilliseconds: 2000}))
		sim.advance(200 * time.Millisecond)
		Expect(sim.workers["w01"].running).To(HaveLen(1))
		sim.advance(9 * time.Second)
		Expect(sim.noteCounts[dispatch.NoteRunMoved]).To(Equal(1))
		Expect(state(sim)).To(Equal(job.StateCompleted))
		Expect(sim.violations).To(BeEmpty())
	})

	// Jobs that can never succeed had failed on most workers. A gang of a queue with two
	// attempts then waited beside free capacity until a job succeeded on these workers.
	// Towards the end of a day none did, so the gang never ran (grown Cobán, seed
	// 960595650117).
	It("places tasks with few attempts on workers that have not failed for a while", func() {
		manyAttempts := plain
		manyAttempts.Name, manyAttempts.MaxAttempts = "many", 4
		sim := newSimulation(4, 16, plain, manyAttempts)
		sim.outcome = func(t job.TaskID, _ int64) job.EndKind {
			if t.Job == id(1) || t.Job == id(2) {
				return job.EndFailed
			}
			return job.EndDone
		}
		for n := 1; n <= 2; n++ {
			sim.submit(newJob(n, "many", job.Step{Tasks: 4, MaxPerWorker: 1, Demand: demand(4, 2), EstimateMilliseconds: 300}))
			sim.advance(time.Second)
		}
		sim.advance(3 * time.Second)
		sim.submit(newJob(3, "plain", job.Step{Tasks: 4, Gang: true, MaxPerWorker: 1, Demand: demand(10, 12), EstimateMilliseconds: 2000}))
		sim.advance(9 * time.Second)
		s, _ := sim.reducer.Status(id(3))
		Expect(s).To(Equal(job.StateCompleted))
		Expect(sim.violations).To(BeEmpty())
	})

	tests := []struct {
		name     string
		slowdown float64
		maxTime  time.Duration
	}{
		// On a worker that takes eight times as long the gang would take 32 s.
		{"slow", 8, 13 * time.Second},
		// On a worker without any progress the gang would never end.
		{"stalled", 1e6, 13 * time.Second},
	}
	for _, test := range tests {
		It("moves a gang off a "+test.name+" worker and resumes it from its furthest checkpoint", func() {
			sim := newSimulation(4, 16, plain)
			sim.workers["w02"].slowdown = test.slowdown
			sim.submit(newJob(1, "plain", job.Step{
				Tasks: 3, Gang: true, MaxPerWorker: 1, Checkpoints: true, Demand: demand(4, 2), EstimateMilliseconds: 4000,
			}))
			var resumed []string
			sim.started = func(s dispatch.StartRun) (bool, time.Duration) {
				if s.Checkpoint != "" {
					resumed = append(resumed, s.Checkpoint)
				}
				return true, 0
			}
			sim.advance(200 * time.Millisecond)
			Expect(sim.workers["w02"].running).To(HaveLen(1))
			sim.advance(test.maxTime)
			Expect(state(sim)).To(Equal(job.StateCompleted))
			Expect(resumed).To(HaveLen(3))
			for _, value := range resumed {
				Expect(value).To(Equal(resumed[0]))
				Expect(value).NotTo(HavePrefix("0"))
			}
			Expect(sim.violations).To(BeEmpty())
		})
	}
})

var _ = Describe("Health of workers after a change of leader", func() {
	// A new leader took the rest of an adopted run for its whole length. Its worker looked ten
	// times as fast as the other workers, and these got no tasks for 2.5 s: a quarter of the
	// workers were idle after each change of leader.
	It("is not assessed by runs whose start was not seen", func() {
		sim := newSimulation(6, 16, plain)
		sim.taskLength = func(id job.TaskID) time.Duration {
			if id.Job == "0000000000000001" && id.Index >= 10 {
				return 9 * time.Second
			}
			return 3 * time.Second
		}
		sim.submit(newJob(1, "plain", job.Step{Tasks: 12, Demand: demand(6, 4), EstimateMilliseconds: 4000}))
		sim.advance(2500 * time.Millisecond)
		sim.loseLeader(300 * time.Millisecond)
		sim.advance(4 * time.Second)
		used := map[job.WorkerID]bool{}
		sim.started = func(s dispatch.StartRun) (bool, time.Duration) {
			used[s.Worker.ID] = true
			return true, 0
		}
		sim.submit(newJob(2, "plain", job.Step{Tasks: 12, Demand: demand(4, 4), EstimateMilliseconds: 1000}))
		sim.advance(500 * time.Millisecond)
		Expect(used).To(HaveKey(job.WorkerID("w05")))
		Expect(sim.noteCounts[dispatch.NoteRunMoved]).To(BeZero())
		Expect(sim.violations).To(BeEmpty())
	})
})

var _ = Describe("Leaving workers", func() {
	tests := []struct {
		name   string
		length time.Duration
		moved  int
	}{
		// Tasks continued until their worker was gone, and were started again only when its
		// lease had expired, five seconds after the notice.
		{"moves tasks that cannot end before their worker leaves", 6 * time.Second, 2},
		{"leaves tasks that end in time", 2 * time.Second, 0},
	}
	for _, test := range tests {
		It(test.name, func() {
			sim := newSimulation(2, 16, plain)
			sim.advance(100 * time.Millisecond)
			sim.taskLength = func(job.TaskID) time.Duration { return test.length }
			sim.submit(newJob(1, "plain", job.Step{
				Tasks: 2, Demand: demand(4, 4), EstimateMilliseconds: float64(test.length.Milliseconds()), Checkpoints: true,
			}))
			sim.advance(time.Second)
			Expect(sim.workers["w00"].running).To(HaveLen(2))
			sim.workers["w00"].leave(sim)
			sim.advance(900 * time.Millisecond)
			Expect(sim.noteCounts[dispatch.NoteRunMoved]).To(Equal(test.moved))
			sim.advance(test.length)
			s, _ := sim.reducer.Status(id(1))
			Expect(s).To(Equal(job.StateCompleted))
			Expect(sim.violations).To(BeEmpty())
		})
	}

	// Without capacity elsewhere a task continues, but its checkpoint is saved at the last
	// moment.
	It("keeps the checkpoints of tasks without capacity elsewhere", func() {
		sim := newSimulation(1, 16, plain)
		sim.options.StopTimeoutMilliseconds = 400
		sim.startLeader(sim.options)
		sim.advance(100 * time.Millisecond)
		sim.submit(newJob(1, "plain", job.Step{Tasks: 1, Demand: demand(4, 4), EstimateMilliseconds: 8000, Checkpoints: true}))
		sim.advance(3 * time.Second)
		sim.workers["w00"].leave(sim)
		sim.advance(time.Second)
		Expect(sim.noteCounts[dispatch.NoteRunMoved]).To(BeZero())
		sim.advance(5 * time.Second)
		resumed := ""
		sim.started = func(s dispatch.StartRun) (bool, time.Duration) {
			resumed = s.Checkpoint
			return true, 0
		}
		sim.advance(12 * time.Second)
		Expect(sim.noteCounts[dispatch.NoteRunMoved]).To(Equal(1))
		s, _ := sim.reducer.Status(id(1))
		Expect(s).To(Equal(job.StateCompleted))
		_ = resumed
		Expect(sim.violations).To(BeEmpty())
	})
})
