package dispatch_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"fuchsiacross/dispatch"
	"fuchsiacross/job"
)

var _ = Describe("Fillers", func() {
	const (
		target = 100.0
		// limit is how long a service may be over its target because of fillers.
		limit  = 4 * time.Second
		minute = 60_000
	)
	service := job.Step{Tasks: 1, Demand: demand(4, 4), LongRunning: true, TargetMilliseconds: target}
	filler := job.Step{Tasks: 3, Demand: demand(4, 4), EstimateMilliseconds: minute, Fills: true}
	// share is the time that the fillers of a worker work.
	share := func(w *fakeWorker) float64 {
		sum := 0.0
		for _, r := range w.running {
			if r.room.MilliCPU == 0 {
				sum += float64(100-r.slowed) / 100
			}
		}
		return sum
	}
	// shared is one worker with a service and fillers, each of which adds to the
	// service's tail. It returns the longest time over the target so far.
	shared := func(base, each float64) (*cell, func() time.Duration) {
		c := newCell(1, 16, plain)
		c.tail = func(w *fakeWorker) float64 { return base + each*share(w) }
		c.run(200 * time.Millisecond)
		c.submit(newJob(1, "plain", service))
		c.run(time.Second)
		c.submit(newJob(2, "plain", filler))
		over, longest := time.Time{}, time.Duration(0)
		var look func()
		look = func() {
			switch w := c.workers["w00"]; {
			case c.tail(w) <= target || share(w) == 0:
				over = time.Time{}
			case over.IsZero():
				over = c.now
			default:
				longest = max(longest, c.now.Sub(over))
			}
			c.after(50*time.Millisecond, look)
		}
		c.after(0, look)
		return c, func() time.Duration { return longest }
	}

	tests := []struct {
		name       string
		base, each float64
		least      float64 // that the fillers work together after 20 s
		most       float64
	}{
		{"work beside a service that is well below its target", 30, 5, 3, 3},
		{"are slowed beside a service that they disturb", 30, 100, 0.1, 0.7},
		{"stop beside a service that is over its target by itself", 120, 1, 0, 0},
	}
	for _, test := range tests {
		It(test.name, func() {
			c, longest := shared(test.base, test.each)
			c.run(20 * time.Second)
			Expect(c.workers["w00"].running).To(HaveLen(4))
			Expect(share(c.workers["w00"])).To(BeNumerically(">=", test.least))
			Expect(share(c.workers["w00"])).To(BeNumerically("<=", test.most))
			Expect(longest()).To(BeNumerically("<", limit))
			Expect(c.violations).To(BeEmpty())
		})
	}

	It("are slowed again by a new leader", func() {
		c, longest := shared(30, 100)
		c.run(8 * time.Second)
		c.loseLeader(500 * time.Millisecond)
		c.run(10 * time.Second)
		Expect(share(c.workers["w00"])).To(BeNumerically("<=", 0.7))
		Expect(longest()).To(BeNumerically("<", limit))
	})

	It("get their time back when the service has gone", func() {
		c, _ := shared(30, 100)
		c.run(8 * time.Second)
		c.apply(dispatch.CancelAccepted{ID: id(1)})
		c.run(3 * time.Second)
		Expect(share(c.workers["w00"])).To(BeNumerically("==", 3))
	})

	It("go where most processors are unused, away from services", func() {
		c := newCell(3, 16, plain)
		c.tail = func(*fakeWorker) float64 { return 30 }
		c.run(200 * time.Millisecond)
		c.submit(newJob(1, "plain", service))
		c.submit(newJob(2, "plain", job.Step{Tasks: 1, Demand: demand(12, 4), EstimateMilliseconds: minute}))
		c.run(time.Second)
		c.submit(newJob(3, "plain", job.Step{Tasks: 1, Demand: demand(4, 4), EstimateMilliseconds: minute, Fills: true}))
		c.run(time.Second)
		for _, w := range c.workers {
			if share(w) > 0 {
				Expect(w.running).To(HaveLen(1))
			}
		}
	})

	// Its runs have no estimate and were taken to end at once, so that a gang kept
	// their worker for itself.
	It("start although a gang waits for the room of a service", func() {
		c := newCell(1, 16, plain)
		c.run(200 * time.Millisecond)
		c.submit(newJob(1, "plain", service))
		c.run(300 * time.Millisecond)
		c.submit(newJob(2, "plain", job.Step{Tasks: 2, Gang: true, Demand: demand(8, 4), EstimateMilliseconds: 1000}))
		c.run(300 * time.Millisecond)
		c.submit(newJob(3, "plain", job.Step{Tasks: 1, Demand: demand(8, 4), EstimateMilliseconds: 1000}))
		c.run(1200 * time.Millisecond)
		state, _ := c.reducer.Status(id(3))
		Expect(state).To(Equal(job.StateCompleted))
		Expect(c.violations).To(BeEmpty())
	})
})
