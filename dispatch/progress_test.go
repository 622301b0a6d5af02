package dispatch_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"fuchsiacross/dispatch"
	"fuchsiacross/job"
)

var _ = Describe("Progress", func() {
	const maxRowBytes = 4096
	const secondTerm = (1 + dispatch.TokensPerTerm) << 22 // first run number of the second leader
	scheduled := func(n int, occurrences int64, interval time.Duration, step job.Step) job.Job {
		j := newJob(n, "plain", step)
		j.Definition.Occurrences, j.Definition.IntervalMilliseconds = occurrences, interval.Milliseconds()
		j.Definition.FirstDueMilliseconds = time.UnixMilli(1_700_000_000_000).UnixMilli()
		return j
	}
	newLimited := func(workers int) *simulation {
		patient := plain
		patient.MaxAttempts = 4
		sim := newSimulation(workers, 16, patient)
		sim.maxRowBytes, sim.options.MaxRowBytes = maxRowBytes, maxRowBytes
		sim.startLeader(sim.options)
		sim.advance(100 * time.Millisecond)
		return sim
	}
	state := func(sim *simulation, n int) job.State {
		s, _ := sim.reducer.Status(id(n))
		return s
	}

	// The progress of a scheduled job grew with each occurrence until the store refused the
	// row. No job of the shard was saved any more, and tasks that were done ran again.
	It("of a scheduled job fits into a row, however many occurrences have completed", func() {
		sim := newLimited(2)
		sim.submit(scheduled(1, 1500, 10*time.Millisecond, job.Step{Tasks: 1, Demand: demand(1, 1), EstimateMilliseconds: 50}))
		sim.advance(8 * time.Second)
		Expect(sim.progress[id(1)].CompletedOccurrences).NotTo(BeEmpty())
		sim.loseLeader(500 * time.Millisecond)
		sim.advance(15 * time.Second)
		sim.submit(newJob(2, "plain", job.Step{Tasks: 1, Demand: demand(1, 1), EstimateMilliseconds: 50}))
		sim.advance(2 * time.Second)
		Expect(state(sim, 1)).To(Equal(job.StateCompleted))
		Expect(state(sim, 2)).To(Equal(job.StateCompleted))
		Expect(sim.violations).To(BeEmpty())
	})

	It("that exceeds a row is divided, and restored by the next leader", func() {
		sim := newLimited(40)
		sim.outcome = func(_ job.TaskID, run int64) job.EndKind {
			if run < secondTerm {
				return job.EndFailed
			}
			return job.EndDone
		}
		sim.submit(newJob(1, "plain", job.Step{Tasks: 600, Demand: demand(1, 1), EstimateMilliseconds: 3000}, job.Step{Tasks: 2, Demand: demand(1, 1), EstimateMilliseconds: 100}))
		sim.advance(3600 * time.Millisecond) // the starts are recorded one save after another
		Expect(sim.furtherParts).NotTo(BeEmpty())
		sim.loseLeader(500 * time.Millisecond)
		sim.advance(20 * time.Second)
		Expect(state(sim, 1)).To(Equal(job.StateCompleted))
		Expect(sim.furtherParts).To(BeEmpty(), "the progress of a closed job has one part")
		Expect(sim.violations).To(BeEmpty())
	})

	// A job that repeats each second since a month ago exhausted the memory of each leader.
	It("of a schedule that is long overdue is limited to a part of its occurrences", func() {
		sim := newLimited(2)
		j := scheduled(1, 3_000_000, time.Second, job.Step{Tasks: 5, Demand: demand(1, 1), EstimateMilliseconds: 100})
		j.Definition.FirstDueMilliseconds -= 30 * 24 * time.Hour.Milliseconds()
		sim.submit(j)
		sim.submit(newJob(2, "plain", job.Step{Tasks: 1, Demand: demand(1, 1), EstimateMilliseconds: 50}))
		sim.advance(5 * time.Second)
		Expect(sim.progress[id(1)].CompletedOccurrences).NotTo(BeEmpty())
		sim.loseLeader(500 * time.Millisecond)
		sim.advance(5 * time.Second)
		Expect(sim.violations).To(BeEmpty())
	})

	// The store's refusal of one job's progress kept all others from being saved.
	It("that the store rejects costs only its own job", func() {
		sim := newLimited(4)
		sim.rejectsProgress = func(p dispatch.Progress) bool { return p.ID == id(3) && p.State == "" }
		for n := range 8 {
			sim.submit(newJob(n, "plain", job.Step{Tasks: 2, Demand: demand(1, 1), EstimateMilliseconds: 500}, job.Step{Tasks: 1, Demand: demand(1, 1), EstimateMilliseconds: 5000}))
		}
		sim.advance(10 * time.Second)
		for n := range 8 {
			expected := job.StateCompleted
			if n == 3 {
				expected = job.StateFailed
			}
			Expect(state(sim, n)).To(Equal(expected))
		}
		Expect(sim.violations).To(BeEmpty())
	})

	It("is not given up because of rejections while the store takes no write", func() {
		sim := newLimited(2)
		sim.rejectsProgress = func(dispatch.Progress) bool { return true }
		sim.submit(newJob(1, "plain", job.Step{Tasks: 2, Demand: demand(1, 1), EstimateMilliseconds: 200}))
		sim.storeDown = true
		sim.advance(300 * time.Millisecond)
		Expect(state(sim, 1)).NotTo(Equal(job.StateFailed))
		sim.storeDown, sim.rejectsProgress = false, func(dispatch.Progress) bool { return false }
		sim.advance(3 * time.Second)
		Expect(state(sim, 1)).To(Equal(job.StateCompleted))
	})
})
