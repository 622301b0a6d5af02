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
		// limit is how long fillers may keep a service over its target.
		limit  = 4 * time.Second
		minute = 60_000
	)
	service := job.Step{Tasks: 1, Demand: demand(4, 4), LongRunning: true, TargetMilliseconds: target}
	filler := job.Step{Tasks: 3, Demand: demand(4, 4), EstimateMilliseconds: minute, Fills: true}
	// fillerTime returns the fractions of time that the fillers of a worker work, added up.
	fillerTime := func(w *fakeWorker) float64 {
		sum := 0.0
		for _, r := range w.running {
			if r.allocation.MilliCPU == 0 {
				sum += float64(100-r.idlePercent) / 100
			}
		}
		return sum
	}
	// newSharedWorker returns a simulation of one worker with a service and fillers, each of
	// which adds to the service's tail, and a function that returns the longest time over the
	// target so far.
	newSharedWorker := func(baseTail, tailPerFiller float64) (*simulation, func() time.Duration) {
		sim := newSimulation(1, 16, plain)
		sim.serviceTail = func(w *fakeWorker) float64 { return baseTail + tailPerFiller*fillerTime(w) }
		sim.advance(200 * time.Millisecond)
		sim.submit(newJob(1, "plain", service))
		sim.advance(time.Second)
		sim.submit(newJob(2, "plain", filler))
		overSince, longest := time.Time{}, time.Duration(0)
		var check func()
		check = func() {
			switch w := sim.workers["w00"]; {
			case sim.serviceTail(w) <= target || fillerTime(w) == 0:
				overSince = time.Time{}
			case overSince.IsZero():
				overSince = sim.now
			default:
				longest = max(longest, sim.now.Sub(overSince))
			}
			sim.schedule(50*time.Millisecond, check)
		}
		sim.schedule(0, check)
		return sim, func() time.Duration { return longest }
	}

	tests := []struct {
		name                    string
		baseTail, tailPerFiller float64
		minTime                 float64 // bounds of fillerTime after 20 s
		maxTime                 float64
	}{
		{"work beside a service that is well below its target", 30, 5, 3, 3},
		{"are slowed beside a service that they disturb", 30, 100, 0.1, 0.7},
		{"stop beside a service that is over its target by itself", 120, 1, 0, 0},
		{"work beside a service that is somewhat below its target by itself", 70, 5, 0.3, 3},
	}
	for _, test := range tests {
		It(test.name, func() {
			sim, longest := newSharedWorker(test.baseTail, test.tailPerFiller)
			sim.advance(20 * time.Second)
			Expect(sim.workers["w00"].running).To(HaveLen(4))
			Expect(fillerTime(sim.workers["w00"])).To(BeNumerically(">=", test.minTime))
			Expect(fillerTime(sim.workers["w00"])).To(BeNumerically("<=", test.maxTime))
			Expect(longest()).To(BeNumerically("<", limit))
			Expect(sim.violations).To(BeEmpty())
		})
	}

	// They stood still for good once a burst of the service had stopped them, if its usual tail
	// lies between the thresholds.
	It("work again after a burst of a service that is somewhat below its target", func() {
		sim, longest := newSharedWorker(70, 5)
		usual := sim.serviceTail
		sim.serviceTail = func(w *fakeWorker) float64 { return 60 + usual(w) }
		sim.advance(4 * time.Second)
		Expect(fillerTime(sim.workers["w00"])).To(BeZero())
		sim.serviceTail = usual
		sim.advance(8 * time.Second)
		Expect(fillerTime(sim.workers["w00"])).To(BeNumerically(">=", 0.3))
		Expect(longest()).To(BeNumerically("<", limit))
	})

	It("are slowed again by a new leader", func() {
		sim, longest := newSharedWorker(30, 100)
		sim.advance(8 * time.Second)
		sim.loseLeader(500 * time.Millisecond)
		sim.advance(10 * time.Second)
		Expect(fillerTime(sim.workers["w00"])).To(BeNumerically("<=", 0.7))
		Expect(longest()).To(BeNumerically("<", limit))
	})

	It("get their time back when the service has ended", func() {
		sim, _ := newSharedWorker(30, 100)
		sim.advance(8 * time.Second)
		sim.apply(dispatch.CancelAccepted{ID: id(1)})
		sim.advance(3 * time.Second)
		Expect(fillerTime(sim.workers["w00"])).To(BeNumerically("==", 3))
	})

	It("go where most processors are unused, away from services", func() {
		sim := newSimulation(3, 16, plain)
		sim.serviceTail = func(*fakeWorker) float64 { return 30 }
		sim.advance(200 * time.Millisecond)
		sim.submit(newJob(1, "plain", service))
		sim.submit(newJob(2, "plain", job.Step{Tasks: 1, Demand: demand(12, 4), EstimateMilliseconds: minute}))
		sim.advance(time.Second)
		sim.submit(newJob(3, "plain", job.Step{Tasks: 1, Demand: demand(4, 4), EstimateMilliseconds: minute, Fills: true}))
		sim.advance(time.Second)
		for _, w := range sim.workers {
			if fillerTime(w) > 0 {
				Expect(w.running).To(HaveLen(1))
			}
		}
	})

	// The runs of a service have no estimate. They were expected to end at once, so that a
	// gang reserved their worker and no other task could start there.
	It("start although a gang waits for the capacity of a service", func() {
		sim := newSimulation(1, 16, plain)
		sim.advance(200 * time.Millisecond)
		sim.submit(newJob(1, "plain", service))
		sim.advance(300 * time.Millisecond)
		sim.submit(newJob(2, "plain", job.Step{Tasks: 2, Gang: true, Demand: demand(8, 4), EstimateMilliseconds: 1000}))
		sim.advance(300 * time.Millisecond)
		sim.submit(newJob(3, "plain", job.Step{Tasks: 1, Demand: demand(8, 4), EstimateMilliseconds: 1000}))
		sim.advance(1200 * time.Millisecond)
		state, _ := sim.reducer.Status(id(3))
		Expect(state).To(Equal(job.StateCompleted))
		Expect(sim.violations).To(BeEmpty())
	})
})
