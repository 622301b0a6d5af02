package dispatch_test

import (
	"fmt"
	"os"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"fuchsiacross/dispatch"
	"fuchsiacross/job"
)

// unevenStalls returns the traffic of the stalls on workers of which two thirds run at 0.7 and
// one third at 1.7 of the nominal speed, with a heavy tail of run times.
func unevenStalls(factor float64) workload {
	l := stallsWorkload()
	l.paces, l.longFraction = []float64{1 / 0.7, 1 / 0.7, 1 / 1.7}, 0.03
	// A check of the usual length is late on a slow worker.
	l.kinds[2].queue.Stretch, l.kinds[2].queue.LatencyMilliseconds = 1.2, 150
	l.rateFactor = func(string, time.Duration) float64 { return factor }
	return l
}

// withEqualSpeeds lets the leader place tasks as on workers of equal speed.
func withEqualSpeeds(sim *simulation) {
	sim.options.Policy.EqualSpeeds = true
	sim.startLeader(sim.options)
}

var _ = Describe("Uneven load", func() {
	// Prints the worth with the constant score and with the learned speeds.
	It("reports the worth of loads on workers of uneven speed", func() {
		if os.Getenv("DISPATCH_UNEVEN") == "" {
			Skip("set DISPATCH_UNEVEN to print the worth of loads on workers of uneven speed")
		}
		for _, factor := range []float64{0.6, 0.8, 1, 1.2} {
			fmt.Printf("LOAD constant %.1f %s\n", factor, averageReport(unevenStalls(factor), 10, withEqualSpeeds))
			fmt.Printf("LOAD learned  %.1f %s\n", factor, averageReport(unevenStalls(factor), 10, nil))
		}
	})

	// Urgent checks that started at once on slow workers were late.
	It("serves more urgent work in time than a constant score", func() {
		constant := sumResults(replaySeeds(unevenStalls(0.7), 3, withEqualSpeeds))
		learned := sumResults(replaySeeds(unevenStalls(0.7), 3, nil))
		Expect(learned.late["checks"]).To(BeNumerically("<", constant.late["checks"]))
		Expect(learned.total).To(BeNumerically(">", constant.total))
	})

	// On workers of the usual kinds, a score by learned speeds must not change any placement.
	It("places tasks as before on workers of similar speed", func() {
		l := stallsWorkload()
		l.duration = 15 * time.Second
		constant := replay(l, withEqualSpeeds)
		learned := replay(l, nil)
		Expect(learned.meanWait).To(Equal(constant.meanWait))
		Expect(learned.served).To(Equal(constant.served))
		Expect(learned.adviceCalls).To(Equal(constant.adviceCalls))
	})

	// The load of the shard reaches the successor only with the rows that were stored.
	It("keeps the learned speeds over a change of leader", func() {
		l := unevenStalls(0.5)
		l.duration = 12 * time.Second
		replay(l, func(sim *simulation) {
			sim.schedule(10*time.Second, func() {
				Expect(sim.reducer.SpeedsUneven()).To(BeTrue())
				sim.loseLeader(500 * time.Millisecond)
			})
			sim.schedule(11*time.Second, func() { Expect(sim.reducer.SpeedsUneven()).To(BeTrue()) })
		})
	})

	// Workers on which runs fail early must not count as fast: they would get all urgent work.
	It("does not take workers that fail fast for fast ones", func() {
		sim := newSimulation(12, 16, plain)
		failing := map[job.WorkerID]bool{"w01": true, "w04": true, "w07": true, "w10": true}
		for id := range failing {
			sim.workers[id].pace = 0.4
		}
		placed := map[job.TaskID]job.WorkerID{}
		sim.started = func(s dispatch.StartRun) (bool, time.Duration) {
			placed[s.Task] = s.Worker.ID
			return true, 0
		}
		failures := 0
		sim.outcome = func(task job.TaskID, _ int64) job.EndKind {
			if failing[placed[task]] {
				failures++
				return job.EndFailed
			}
			return job.EndDone
		}
		for n := range 60 {
			sim.submit(newJob(n, "plain", job.Step{Tasks: 24, Demand: demand(4, 1), EstimateMilliseconds: 150}))
			sim.advance(300 * time.Millisecond)
			Expect(sim.reducer.SpeedsUneven()).To(BeFalse())
		}
		Expect(failures).To(BeNumerically(">", 30))
	})
})
