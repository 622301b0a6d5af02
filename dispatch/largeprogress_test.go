package dispatch_test

import (
	"fmt"
	"slices"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"fuchsiacross/dispatch"
	"fuchsiacross/job"
)

var _ = Describe("Large progress", func() {
	const maxRowBytes = 65_536
	state := func(sim *simulation, n int) job.State {
		s, _ := sim.reducer.Status(id(n))
		return s
	}

	// A timed job was closed as failed, though no run had failed, because the advice on its
	// waiting occurrences did not fit into a save.
	It("of a schedule whose occurrences wait with expensive advice does not close the job", func() {
		sim := newSimulation(0, 16, drafts)
		for n := range 100 {
			w := sim.addFakeWorker(job.WorkerID(fmt.Sprintf("%s%03d", strings.Repeat("w", 120), n)), 16)
			sim.apply(dispatch.WorkerListed{Worker: w.worker})
		}
		isAllowed := func(id job.WorkerID) bool { return strings.HasSuffix(string(id), "7") }
		sim.allows = func(_ job.StepID, id job.WorkerID) bool { return isAllowed(id) }
		sim.setLanes(60)
		for id, w := range sim.workers {
			w.unreachable = isAllowed(id)
		}
		j := newJob(1, "drafts", job.Step{Tasks: 2, Demand: demand(1, 1), EstimateMilliseconds: 400})
		j.Definition.Occurrences, j.Definition.IntervalMilliseconds = 120, 100
		j.Definition.FirstDueMilliseconds = sim.now.UnixMilli()
		sim.submit(j)
		sim.advance(25 * time.Second)
		asked := 0
		for _, c := range sim.calls {
			asked += len(c.Workers)
		}
		Expect(asked*120).To(BeNumerically(">", 600_000), "bytes of advice")
		Expect(state(sim, 1)).To(Equal(job.StateQueued))
		sim.loseLeader(500 * time.Millisecond)
		sim.advance(5 * time.Second)
		for _, w := range sim.workers {
			w.unreachable = false
		}
		sim.advance(60 * time.Second)
		Expect(state(sim, 1)).To(Equal(job.StateCompleted))
		Expect(sim.violations).To(BeEmpty())
	})

	// storeFailures stores progress in which each task of a job has failed runs, as a predecessor
	// would have.
	storeFailures := func(sim *simulation, n, perTask int) {
		tasks := sim.jobs[id(n)].Definition.Steps[0].Tasks
		sim.progress[id(n)] = dispatch.Progress{ID: id(n), Started: true}
		run, part := int64(1), 1
		for indexes := range slices.Chunk(slices.Collect(func(yield func(int) bool) {
			for i := range tasks {
				if !yield(i) {
					return
				}
			}
		}), 100) {
			sp := dispatch.StepProgress{}
			for _, index := range indexes {
				f := dispatch.TaskFailures{Index: index}
				for range perTask {
					f.Runs = append(f.Runs, run)
					run++
				}
				sp.Failures = append(sp.Failures, f)
			}
			sim.furtherParts[dispatch.ProgressPart{ID: id(n), Part: part}] = dispatch.Progress{ID: id(n), Part: part, Steps: []dispatch.StepProgress{sp}}
			part++
		}
	}

	// A job was closed as failed, with attempts left, as soon as the list of its failed runs did not
	// fit into a save.
	lost := []struct {
		name  string
		after []time.Duration // when leaders are lost
	}{
		{"is saved in several steps", nil},
		{"survives leaders that are lost while they save it", []time.Duration{130 * time.Millisecond, 60 * time.Millisecond, 90 * time.Millisecond}},
	}
	for _, t := range lost {
		It("of a job with many failed runs "+t.name, func() {
			patient := plain
			patient.MaxAttempts = 40
			sim := newSimulation(40, 64, patient)
			sim.maxRowBytes, sim.options.MaxRowBytes = maxRowBytes, maxRowBytes
			sim.startLeader(sim.options)
			const tasks, failures = 3000, 30
			sim.submit(newJob(1, "plain", job.Step{Tasks: tasks, Demand: demand(1, 1), EstimateMilliseconds: 200}))
			sim.submit(newJob(2, "plain", job.Step{Tasks: 5, Demand: demand(1, 1), EstimateMilliseconds: 200}))
			storeFailures(sim, 1, failures)
			attempts := map[job.TaskID]int{}
			sim.outcome = func(id job.TaskID, _ int64) job.EndKind {
				attempts[id]++
				if id.Job == sim.jobs[id.Job].ID && id.Step == 0 && id.Index%3 == 0 && attempts[id] == 1 {
					return job.EndFailed
				}
				return job.EndDone
			}
			sim.loseLeader(500 * time.Millisecond)
			sim.advance(600 * time.Millisecond)
			for _, d := range t.after {
				sim.advance(d)
				sim.loseLeader(300 * time.Millisecond)
				sim.advance(500 * time.Millisecond)
			}
			sim.advance(20 * time.Second)
			Expect(state(sim, 1)).To(Equal(job.StateCompleted))
			Expect(state(sim, 2)).To(Equal(job.StateCompleted))
			sim.advance(time.Second)
			Expect(sim.furtherParts).To(BeEmpty(), "the progress of a closed job has one part")
			for _, w := range sim.workers {
				Expect(w.endedRuns).To(BeEmpty(), "all ends are acknowledged")
			}
			Expect(sim.violations).To(BeEmpty())
		})
	}

	// A save that is refused because of another job may hold a part of the divided progress, or none.
	It("is saved anew if the store refuses a save meanwhile", func() {
		patient := plain
		patient.MaxAttempts = 40
		sim := newSimulation(40, 64, patient)
		sim.maxRowBytes, sim.options.MaxRowBytes = maxRowBytes, maxRowBytes
		sim.startLeader(sim.options)
		sim.submit(newJob(1, "plain", job.Step{Tasks: 3000, Demand: demand(1, 1), EstimateMilliseconds: 200}))
		storeFailures(sim, 1, 30)
		sim.loseLeader(500 * time.Millisecond)
		sim.rejectsProgress = func(p dispatch.Progress) bool { return p.ID >= id(100) && p.State == "" }
		for n := range 12 {
			sim.schedule(time.Duration(600+n*80)*time.Millisecond, func() {
				sim.submit(newJob(100+n, "plain", job.Step{Tasks: 1, Demand: demand(1, 1), EstimateMilliseconds: 100}))
			})
		}
		sim.advance(60 * time.Second)
		Expect(state(sim, 1)).To(Equal(job.StateCompleted))
		Expect(sim.furtherParts).To(BeEmpty())
		Expect(sim.violations).To(BeEmpty())
	})

	// The failures of all leaders count, those that two parts list once.
	It("that lists a failure twice counts it once", func() {
		patient := plain
		patient.MaxAttempts = 4
		sim := newSimulation(2, 16, patient)
		sim.submit(newJob(1, "plain", job.Step{Tasks: 1, Demand: demand(1, 1), EstimateMilliseconds: 200}))
		failed := []dispatch.StepProgress{{Failures: []dispatch.TaskFailures{{Index: 0, Runs: []int64{1, 2}}}}}
		sim.progress[id(1)] = dispatch.Progress{ID: id(1), Started: true, Steps: failed}
		sim.furtherParts[dispatch.ProgressPart{ID: id(1), Part: 3}] = dispatch.Progress{ID: id(1), Part: 3, Steps: failed}
		ended := 0
		sim.outcome = func(job.TaskID, int64) job.EndKind {
			ended++
			if ended == 1 {
				return job.EndFailed
			}
			return job.EndDone
		}
		sim.loseLeader(100 * time.Millisecond)
		sim.advance(5 * time.Second)
		Expect(state(sim, 1)).To(Equal(job.StateCompleted))
	})

	// An outdated part of a divided schedule tells of an occurrence as open that has completed.
	It("with an outdated part does not run completed occurrences again", func() {
		sim := newSimulation(2, 16, plain)
		j := newJob(1, "plain", job.Step{Tasks: 2, Demand: demand(1, 1), EstimateMilliseconds: 100})
		j.Definition.Occurrences, j.Definition.IntervalMilliseconds, j.Definition.FirstDueMilliseconds = 4, 100, sim.now.UnixMilli()
		sim.storeJob(j)
		sim.progress[id(1)] = dispatch.Progress{ID: id(1), Started: true, Steps: []dispatch.StepProgress{{Occurrence: 1, Done: []byte{1}}}}
		sim.furtherParts[dispatch.ProgressPart{ID: id(1), Part: 2}] = dispatch.Progress{ID: id(1), Part: 2, CompletedOccurrences: []dispatch.OccurrenceRange{{First: 0, Last: 2}}}
		started := map[int64]bool{}
		sim.started = func(s dispatch.StartRun) (bool, time.Duration) {
			started[s.Task.Occurrence] = true
			return true, 0
		}
		sim.loseLeader(100 * time.Millisecond)
		sim.advance(5 * time.Second)
		Expect(state(sim, 1)).To(Equal(job.StateCompleted))
		Expect(started).To(Equal(map[int64]bool{3: true}))
	})
})
