package dispatch_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"fuchsiacross/dispatch"
	"fuchsiacross/job"
)

var _ = Describe("Health of workers", func() {
	state := func(c *cell) job.State {
		s, _ := c.reducer.Status(id(1))
		return s
	}

	// One job whose estimate is far too low made its worker count as slow: on calm
	// days 51 runs were moved off sound workers (Kraamnet, quiet-1).
	It("blames no worker for one badly estimated job", func() {
		c := newCell(1, 16, plain)
		c.length = func(job.TaskID) time.Duration { return 6 * time.Second }
		c.submit(newJob(1, "plain", job.Step{Tasks: 6, Demand: demand(2, 2), EstimateMilliseconds: 600}))
		c.run(10 * time.Second)
		Expect(c.noted[dispatch.NoteRunMoved]).To(BeZero())
		Expect(state(c)).To(Equal(job.StateCompleted))
	})

	// Nothing in the logs told that a worker was avoided, and why.
	It("notes when its view of a worker changes", func() {
		c := newCell(4, 16, plain)
		c.workers["w01"].slow = 8
		c.submit(newJob(1, "plain", job.Step{Tasks: 4, MaxPerWorker: 1, Demand: demand(4, 2), EstimateMilliseconds: 2000}))
		c.run(8 * time.Second)
		Expect(c.noted[dispatch.NoteWorkerHealthChanged]).To(Equal(1))
		c.workers["w01"].slow = 1
		for n := range 12 {
			c.submit(newJob(n+2, "plain", job.Step{Tasks: 4, MaxPerWorker: 1, Demand: demand(4, 2), EstimateMilliseconds: 500}))
			c.run(2 * time.Second)
		}
		Expect(c.noted[dispatch.NoteWorkerHealthChanged]).To(Equal(2))
	})

	// The tasks of one step differ by far less than estimates do.
	It("moves a task that is much slower than the others of its step", func() {
		c := newCell(4, 16, plain)
		c.workers["w01"].slow = 8
		c.submit(newJob(1, "plain", job.Step{Tasks: 4, MaxPerWorker: 1, Demand: demand(4, 2), EstimateMilliseconds: 2000}))
		c.run(200 * time.Millisecond)
		Expect(c.workers["w01"].running).To(HaveLen(1))
		c.run(9 * time.Second)
		Expect(c.noted[dispatch.NoteRunMoved]).To(Equal(1))
		Expect(state(c)).To(Equal(job.StateCompleted))
		Expect(c.violations).To(BeEmpty())
	})

	// Jobs that can never succeed had failed on most workers. A gang of a queue with two
	// attempts waited for these beside free room until a job succeeded on them, which none
	// did towards the end of a day: it was never run (grown Cobán, seed 960595650117).
	It("lets work with few attempts onto workers that have not failed for a while", func() {
		many := plain
		many.Name, many.MaxAttempts = "many", 4
		c := newCell(4, 16, plain, many)
		c.outcome = func(t job.TaskID, _ int64) job.EndKind {
			if t.Job == id(1) || t.Job == id(2) {
				return job.EndFailed
			}
			return job.EndDone
		}
		for n := 1; n <= 2; n++ {
			c.submit(newJob(n, "many", job.Step{Tasks: 4, MaxPerWorker: 1, Demand: demand(4, 2), EstimateMilliseconds: 300}))
			c.run(time.Second)
		}
		c.run(3 * time.Second)
		c.submit(newJob(3, "plain", job.Step{Tasks: 4, Gang: true, MaxPerWorker: 1, Demand: demand(10, 12), EstimateMilliseconds: 2000}))
		c.run(9 * time.Second)
		s, _ := c.reducer.Status(id(3))
		Expect(s).To(Equal(job.StateCompleted))
		Expect(c.violations).To(BeEmpty())
	})

	tests := []struct {
		name string
		slow float64
		most time.Duration
	}{
		// On a worker that takes eight times as long the gang would take 32 s.
		{"slow", 8, 13 * time.Second},
		// On a worker where tasks stand still it would never end.
		{"stalled", 1e6, 13 * time.Second},
	}
	for _, test := range tests {
		It("restarts a gang off a "+test.name+" worker from its furthest member", func() {
			c := newCell(4, 16, plain)
			c.workers["w02"].slow = test.slow
			c.submit(newJob(1, "plain", job.Step{
				Tasks: 3, Gang: true, MaxPerWorker: 1, Checkpoints: true, Demand: demand(4, 2), EstimateMilliseconds: 4000,
			}))
			var resumed []string
			c.started = func(s dispatch.StartRun) (bool, time.Duration) {
				if s.Checkpoint != "" {
					resumed = append(resumed, s.Checkpoint)
				}
				return true, 0
			}
			c.run(200 * time.Millisecond)
			Expect(c.workers["w02"].running).To(HaveLen(1))
			c.run(test.most)
			Expect(state(c)).To(Equal(job.StateCompleted))
			Expect(resumed).To(HaveLen(3))
			for _, value := range resumed {
				Expect(value).To(Equal(resumed[0]))
				Expect(value).NotTo(HavePrefix("0"))
			}
			Expect(c.violations).To(BeEmpty())
		})
	}
})

var _ = Describe("Health of workers after a change of leader", func() {
	// A new leader took the rest of an adopted run for its whole length: its worker
	// looked ten times as fast as others, and these got no tasks for 2.5 s. A quarter
	// of the workers stood idle after each change.
	It("is not judged by runs whose beginning was not seen", func() {
		c := newCell(6, 16, plain)
		c.length = func(id job.TaskID) time.Duration {
			if id.Job == "0000000000000001" && id.Index >= 10 {
				return 9 * time.Second
			}
			return 3 * time.Second
		}
		c.submit(newJob(1, "plain", job.Step{Tasks: 12, Demand: demand(6, 4), EstimateMilliseconds: 4000}))
		c.run(2500 * time.Millisecond)
		c.loseLeader(300 * time.Millisecond)
		c.run(4 * time.Second)
		used := map[job.WorkerID]bool{}
		c.started = func(s dispatch.StartRun) (bool, time.Duration) {
			used[s.Worker.ID] = true
			return true, 0
		}
		c.submit(newJob(2, "plain", job.Step{Tasks: 12, Demand: demand(4, 4), EstimateMilliseconds: 1000}))
		c.run(500 * time.Millisecond)
		Expect(used).To(HaveKey(job.WorkerID("w05")))
		Expect(c.noted[dispatch.NoteRunMoved]).To(BeZero())
		Expect(c.violations).To(BeEmpty())
	})
})

var _ = Describe("Leaving workers", func() {
	tests := []struct {
		name   string
		length time.Duration
		moved  int
	}{
		// Tasks ran on until their worker was gone and started again when its lease
		// had lapsed, five seconds after the notice.
		{"moves tasks that cannot end before their worker leaves", 6 * time.Second, 2},
		{"leaves tasks that end in time", 2 * time.Second, 0},
	}
	for _, test := range tests {
		It(test.name, func() {
			c := newCell(2, 16, plain)
			c.run(100 * time.Millisecond)
			c.length = func(job.TaskID) time.Duration { return test.length }
			c.submit(newJob(1, "plain", job.Step{
				Tasks: 2, Demand: demand(4, 4), EstimateMilliseconds: float64(test.length.Milliseconds()), Checkpoints: true,
			}))
			c.run(time.Second)
			Expect(c.workers["w00"].running).To(HaveLen(2))
			c.workers["w00"].leave(c)
			c.run(900 * time.Millisecond)
			Expect(c.noted[dispatch.NoteRunMoved]).To(Equal(test.moved))
			c.run(test.length)
			s, _ := c.reducer.Status(id(1))
			Expect(s).To(Equal(job.StateCompleted))
			Expect(c.violations).To(BeEmpty())
		})
	}

	// Without room elsewhere a task goes on, but its checkpoint is kept in the end.
	It("keeps the checkpoints of tasks that have no room elsewhere", func() {
		c := newCell(1, 16, plain)
		c.options.StopTimeoutMilliseconds = 400
		c.lead(c.options)
		c.run(100 * time.Millisecond)
		c.submit(newJob(1, "plain", job.Step{Tasks: 1, Demand: demand(4, 4), EstimateMilliseconds: 8000, Checkpoints: true}))
		c.run(3 * time.Second)
		c.workers["w00"].leave(c)
		c.run(time.Second)
		Expect(c.noted[dispatch.NoteRunMoved]).To(BeZero())
		c.run(5 * time.Second)
		resumed := ""
		c.started = func(s dispatch.StartRun) (bool, time.Duration) {
			resumed = s.Checkpoint
			return true, 0
		}
		c.run(12 * time.Second)
		Expect(c.noted[dispatch.NoteRunMoved]).To(Equal(1))
		s, _ := c.reducer.Status(id(1))
		Expect(s).To(Equal(job.StateCompleted))
		_ = resumed
		Expect(c.violations).To(BeEmpty())
	})
})
