package dispatch_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"fuchsiacross/dispatch"
	"fuchsiacross/job"
)

var _ = Describe("Pace of workers", func() {
	// The members of a gang end together: on workers of unlike pace the fast ones
	// held their processors for a quarter longer than their work took.
	It("places gangs on workers that are equally fast", func() {
		c := newCell(12, 16, plain)
		slow := map[job.WorkerID]bool{"w01": true, "w04": true, "w07": true, "w10": true}
		for id, w := range c.workers {
			w.pace = 1
			if slow[id] {
				w.pace = 1.4
			}
		}
		for n := range 20 {
			c.submit(newJob(n, "plain", job.Step{Tasks: 12, Demand: demand(12, 1), EstimateMilliseconds: 300}))
			c.run(600 * time.Millisecond)
		}
		placed := map[bool]int{}
		c.started = func(s dispatch.StartRun) (bool, time.Duration) {
			placed[slow[s.Worker.ID]]++
			return true, 0
		}
		c.submit(newJob(101, "plain", job.Step{Tasks: 6, Gang: true, Demand: demand(12, 4), EstimateMilliseconds: 1000}))
		c.run(100 * time.Millisecond)
		Expect(placed).To(Equal(map[bool]int{false: 6}))
		Expect(c.violations).To(BeEmpty())
	})

	// A worker that is slow for a while is not a slow kind of worker: its pace would
	// keep gangs away long after.
	It("keeps a disturbance out of a worker's pace", func() {
		c := newCell(4, 16, plain)
		c.workers["w02"].slow = 8
		for n := range 8 {
			c.submit(newJob(n, "plain", job.Step{Tasks: 8, Demand: demand(2, 1), EstimateMilliseconds: 300}))
			c.run(400 * time.Millisecond)
		}
		c.run(6 * time.Second)
		c.workers["w02"].slow = 0
		c.run(4 * time.Second)
		placed := map[job.WorkerID]int{}
		c.started = func(s dispatch.StartRun) (bool, time.Duration) {
			placed[s.Worker.ID]++
			return true, 0
		}
		c.submit(newJob(101, "plain", job.Step{Tasks: 4, Gang: true, Demand: demand(12, 4), EstimateMilliseconds: 1000}))
		c.run(2 * time.Second)
		Expect(placed).To(HaveKey(job.WorkerID("w02")))
	})
})
