package dispatch_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"fuchsiacross/dispatch"
	"fuchsiacross/job"
)

var _ = Describe("Work that fails on any worker", func() {
	service := job.Step{Tasks: 1, LongRunning: true, Demand: demand(1, 1)}
	gang := job.Step{Tasks: 4, Gang: true, MaxPerWorker: 1, Demand: demand(4, 2), EstimateMilliseconds: 2000}
	many := plain
	many.Name, many.MaxAttempts = "many", 4
	firstFailing := id(100)

	tests := []struct {
		name string
		// queue is that of the job with two attempts.
		queue job.Queue
		// submit hands in work that fails, from job 100 on.
		submit func(sim *simulation)
		fails  func(id job.TaskID) bool
		length time.Duration // of a run that fails
	}{
		// Services that fail after each start kept all workers suspect: a job with two attempts
		// waited for as long as they were not cancelled, beside workers with only good services.
		{
			"services that fail after each start", plain,
			func(sim *simulation) {
				for n := range 5 {
					sim.submit(newJob(100+n, "many", service))
				}
			},
			func(id job.TaskID) bool { return id.Job >= firstFailing },
			300 * time.Millisecond,
		},
		// The same for a queue with advice, whose workers are not even asked about while they are suspect.
		{
			"services that fail after each start, for a queue with advice", drafts,
			func(sim *simulation) {
				for n := range 5 {
					sim.submit(newJob(100+n, "many", service))
				}
			},
			func(id job.TaskID) bool { return id.Job >= firstFailing },
			300 * time.Millisecond,
		},
		// Each occurrence is new evidence if failures are not counted over all of them.
		{
			"schedules that fail each time", plain,
			func(sim *simulation) {
				for n := range 4 {
					j := newJob(100+n, "hopeless", job.Step{Tasks: 1, Demand: demand(1, 1), EstimateMilliseconds: 100})
					j.Definition.Occurrences, j.Definition.IntervalMilliseconds, j.Definition.FirstDueMilliseconds = 1000, 100, sim.now.UnixMilli()
					sim.submit(j)
				}
			},
			func(id job.TaskID) bool { return id.Job >= firstFailing },
			100 * time.Millisecond,
		},
		// New jobs are new evidence, but if most workers are suspect, that is no reason to wait.
		{
			"a stream of jobs that can never be done", plain,
			func(sim *simulation) {
				next := 100
				var submit func()
				submit = func() {
					sim.submit(newJob(next, "many", job.Step{Tasks: 3, MaxPerWorker: 1, Demand: demand(1, 1), EstimateMilliseconds: 100}))
					next++
					sim.schedule(50*time.Millisecond, submit)
				}
				submit()
			},
			func(id job.TaskID) bool { return id.Job >= firstFailing },
			100 * time.Millisecond,
		},
	}
	for _, t := range tests {
		It("does not keep others waiting: "+t.name, func() {
			hopeless := many
			hopeless.Name, hopeless.MaxAttempts = "hopeless", 1_000_000
			sim := newSimulation(12, 16, t.queue, many, hopeless)
			sim.allows = func(job.StepID, job.WorkerID) bool { return true }
			sim.taskLength = func(id job.TaskID) time.Duration {
				step := sim.jobs[id.Job].Definition.Steps[id.Step]
				switch {
				case t.fails(id):
					return t.length
				case step.LongRunning:
					return time.Hour
				}
				return time.Duration(step.EstimateMilliseconds) * time.Millisecond
			}
			sim.outcome = func(id job.TaskID, _ int64) job.EndKind {
				if t.fails(id) {
					return job.EndFailed
				}
				return job.EndDone
			}
			for n := range 12 {
				sim.submit(newJob(10+n, "many", service))
			}
			sim.advance(time.Second)
			t.submit(sim)
			sim.advance(8 * time.Second)
			sim.submit(newJob(1, t.queue.Name, gang))
			sim.advance(6 * time.Second)
			Expect(sim.startedAt).To(HaveKey(id(1)))
			Expect(sim.violations).To(BeEmpty())
		})
	}

	// The failures of a worker count as before: a job with two attempts would use them up there.
	It("leaves a worker suspect on which tasks fail that succeed elsewhere", func() {
		sim := newSimulation(6, 16, plain, many)
		isBad := func(w job.WorkerID) bool { return w == "w02" }
		worker := map[job.TaskID]job.WorkerID{}
		sim.started = func(s dispatch.StartRun) (bool, time.Duration) {
			worker[s.Task] = s.Worker.ID
			return true, 0
		}
		sim.outcome = func(id job.TaskID, _ int64) job.EndKind {
			if isBad(worker[id]) {
				return job.EndFailed
			}
			return job.EndDone
		}
		for n := range 3 {
			sim.submit(newJob(100+n, "many", job.Step{Tasks: 6, MaxPerWorker: 1, Demand: demand(8, 2), EstimateMilliseconds: 200}))
			sim.advance(150 * time.Millisecond)
		}
		sim.advance(300 * time.Millisecond)
		for n := range 5 {
			sim.submit(newJob(1+n, "plain", job.Step{Tasks: 5, MaxPerWorker: 1, Demand: demand(2, 2), EstimateMilliseconds: 300}))
		}
		sim.advance(1500 * time.Millisecond)
		for n := range 5 {
			s, _ := sim.reducer.Status(id(1 + n))
			Expect(s).To(Equal(job.StateCompleted), "job %d", 1+n)
		}
		Expect(sim.violations).To(BeEmpty())
	})

	// A worker whose good tasks never end had no way to be cleared.
	It("does not count against a worker on which a service has worked since", func() {
		sim := newSimulation(1, 16, plain, many)
		sim.taskLength = func(id job.TaskID) time.Duration {
			if id.Job >= firstFailing {
				return 100 * time.Millisecond
			}
			return time.Hour
		}
		sim.outcome = func(job.TaskID, int64) job.EndKind { return job.EndFailed }
		fail := func(n int) {
			sim.submit(newJob(n, "plain", job.Step{Tasks: 1, Demand: demand(1, 1), EstimateMilliseconds: 100}))
			sim.advance(400 * time.Millisecond)
		}
		fail(100)
		fail(101)
		sim.submit(newJob(1, "many", service))
		sim.advance(5 * time.Second)
		fail(102)
		sim.submit(newJob(2, "plain", job.Step{Tasks: 1, LongRunning: true, Demand: demand(1, 1)}))
		sim.advance(200 * time.Millisecond)
		Expect(sim.startedAt).To(HaveKey(id(2)))
		Expect(sim.violations).To(BeEmpty())
	})
})
