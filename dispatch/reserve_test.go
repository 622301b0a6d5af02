package dispatch_test

import (
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"fuchsiacross/dispatch"
	"fuchsiacross/job"
)

var _ = Describe("Reserved workers", func() {
	// Checks may take reserved capacity, and took it while other workers had room. At any time
	// one ran on half of the workers of the large site, so that wide gangs waited for ever.
	It("are left alone by urgent tasks that find room elsewhere", func() {
		const filled, checkLength = 2 * time.Second, 900 * time.Millisecond
		sim := newSimulation(12, 16, checks, plain)
		sim.allows = func(job.StepID, job.WorkerID) bool { return true }
		sim.submit(newJob(1, "plain", job.Step{Tasks: 6, Demand: demand(10, 4), EstimateMilliseconds: float64(filled.Milliseconds())}))
		sim.advance(50 * time.Millisecond)
		sim.submit(newJob(3, "plain", job.Step{Tasks: 6, Demand: demand(10, 4), EstimateMilliseconds: 20_000}))
		sim.advance(100 * time.Millisecond)
		sim.submit(newJob(2, "plain", job.Step{Tasks: 6, Gang: true, Demand: demand(16, 4), EstimateMilliseconds: 1000}))
		for n := range 15 {
			sim.schedule(time.Duration(n)*200*time.Millisecond, func() {
				sim.submit(newJob(10+n, "checks", job.Step{Tasks: 1, Demand: demand(4, 1), EstimateMilliseconds: float64(checkLength.Milliseconds())}))
			})
		}
		sim.advance(6 * time.Second)
		waited := sim.startedAt[id(2)].Sub(sim.startedAt[id(1)].Add(filled))
		Expect(waited).To(BeNumerically("<", checkLength/2))
		Expect(sim.violations).To(BeEmpty())
	})

	// A gang with room for all its tasks waited for tickets, and lost the room to checks that
	// had as much elsewhere, again and again.
	It("are kept for a gang whose tickets are being renewed", func() {
		const filled, checkLength = 7 * time.Second, 900 * time.Millisecond
		sim := newSimulation(12, 16, checks, drafts, plain)
		half := []job.WorkerID{"w00", "w01", "w02", "w03", "w04", "w05"}
		sim.allows = func(step job.StepID, w job.WorkerID) bool {
			return step.Job != id(1) && step.Job != id(2) && step.Job != id(3) || slices.Contains(half, w)
		}
		sim.taskLength = func(task job.TaskID) time.Duration {
			switch task.Job {
			case id(1):
				return time.Minute
			case id(2):
				return filled // sooner than expected, so that no ticket is refreshed for it
			}
			return checkLength
		}
		onHalf := func(n int, processors int64, gang bool) job.Job {
			return newJob(n, "drafts", job.Step{Tasks: len(half), MaxPerWorker: 1, Gang: gang, Demand: demand(processors, 4), EstimateMilliseconds: 60_000})
		}
		sim.submit(onHalf(1, 6, false))
		sim.submit(onHalf(2, 10, false))
		sim.advance(1500 * time.Millisecond)
		sim.submit(onHalf(3, 10, true))
		for n := range 60 {
			sim.schedule(time.Duration(n)*200*time.Millisecond, func() {
				sim.submit(newJob(10+n, "checks", job.Step{Tasks: 1, Demand: demand(9, 1), EstimateMilliseconds: float64(checkLength.Milliseconds())}))
			})
		}
		sim.advance(20 * time.Second)
		Expect(sim.startedAt).To(HaveKey(id(3)))
		waited := sim.startedAt[id(3)].Sub(sim.startedAt[id(2)].Add(filled))
		Expect(waited).To(BeNumerically("<", checkLength))
		Expect(sim.violations).To(BeEmpty())
	})

	// Workers stood idle for as long as the advice service was down.
	It("are released if the tickets of a gang do not arrive", func() {
		const filled, length = 8 * time.Second, 5 * time.Second
		sim := newSimulation(4, 16, drafts, plain)
		sim.allows = func(job.StepID, job.WorkerID) bool { return true }
		sim.taskLength = func(task job.TaskID) time.Duration {
			if task.Job == id(1) {
				return filled
			}
			return length
		}
		sim.submit(newJob(1, "plain", job.Step{Tasks: 4, Demand: demand(16, 4), EstimateMilliseconds: 20_000}))
		sim.advance(100 * time.Millisecond)
		sim.submit(newJob(2, "drafts", job.Step{Tasks: 3, Gang: true, Demand: demand(16, 4), EstimateMilliseconds: 20_000}))
		sim.advance(time.Second)
		sim.adviceDelay = func(dispatch.RequestAdvice) time.Duration { return time.Hour }
		sim.advance(6 * time.Second)
		sim.submit(newJob(3, "plain", job.Step{Tasks: 4, Demand: demand(16, 4), EstimateMilliseconds: 60_000}))
		sim.advance(12 * time.Second)
		Expect(sim.startedAt).NotTo(HaveKey(id(2)))
		Expect(sim.completedAt).To(HaveKey(id(3)), sim.lastExplanation)
		Expect(sim.violations).To(BeEmpty())
	})
})
