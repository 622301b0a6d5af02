package dispatch_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"fuchsiacross/dispatch"
	"fuchsiacross/job"
)

var _ = Describe("Pace of workers", func() {
	// The members of a gang end together. On workers of different pace the fast ones held
	// their processors for a quarter longer than their work took.
	It("places gangs on workers that are equally fast", func() {
		sim := newSimulation(12, 16, plain)
		slow := map[job.WorkerID]bool{"w01": true, "w04": true, "w07": true, "w10": true}
		for id, w := range sim.workers {
			w.pace = 1
			if slow[id] {
				w.pace = 1.4
			}
		}
		for n := range 20 {
			sim.submit(newJob(n, "plain", job.Step{Tasks: 12, Demand: demand(12, 1), EstimateMilliseconds: 300}))
			sim.advance(600 * time.Millisecond)
		}
		placed := map[bool]int{}
		sim.started = func(s dispatch.StartRun) (bool, time.Duration) {
			placed[slow[s.Worker.ID]]++
			return true, 0
		}
		sim.submit(newJob(101, "plain", job.Step{Tasks: 6, Gang: true, Demand: demand(12, 4), EstimateMilliseconds: 1000}))
		sim.advance(100 * time.Millisecond)
		Expect(placed).To(Equal(map[bool]int{false: 6}))
		Expect(sim.violations).To(BeEmpty())
	})

	// A worker that is slow for a while must not be taken for a slow kind of worker. A pace
	// learned from the disturbance would keep gangs away long after it.
	It("ignores disturbances in a worker's pace", func() {
		sim := newSimulation(4, 16, plain)
		sim.workers["w02"].slowdown = 8
		for n := range 8 {
			sim.submit(newJob(n, "plain", job.Step{Tasks: 8, Demand: demand(2, 1), EstimateMilliseconds: 300}))
			sim.advance(400 * time.Millisecond)
		}
		sim.advance(6 * time.Second)
		sim.workers["w02"].slowdown = 0
		sim.advance(4 * time.Second)
		placed := map[job.WorkerID]int{}
		sim.started = func(s dispatch.StartRun) (bool, time.Duration) {
			placed[s.Worker.ID]++
			return true, 0
		}
		sim.submit(newJob(101, "plain", job.Step{Tasks: 4, Gang: true, Demand: demand(12, 4), EstimateMilliseconds: 1000}))
		sim.advance(2 * time.Second)
		Expect(placed).To(HaveKey(job.WorkerID("w02")))
	})
})
