package dispatch_test

import (
	"fmt"
	"os"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// largeLogs returns the traffic of the drying logs on 540 workers: gangs are wider, and advice
// on a check costs twice as much as before.
func largeLogs() workload {
	l := grownLogs()
	l.workers, l.laneCount, l.paces, l.maxGangFraction, l.pollDelay = 540, 97, []float64{1, 1, 1.3}, 0.035, 200*time.Millisecond
	for i, k := range []requestKind{
		{perSecond: 8.32, worth: 5.56, width: 16, maxWidth: 80, milliCPU: 9000, megabytes: 19000},
		{perSecond: 11.1, worth: 2.6, width: 19, maxWidth: 96, milliCPU: 5500, megabytes: 16000},
		{perSecond: 98.6, worth: 0.41, width: 3.1, maxWidth: 19, milliCPU: 7900, megabytes: 23000},
	} {
		kind := &l.kinds[i]
		kind.perSecond, kind.worth, kind.width, kind.maxWidth, kind.milliCPU, kind.megabytes = k.perSecond, k.worth, k.width, k.maxWidth, k.milliCPU, k.megabytes
	}
	advice := [][2]float64{{390, 5.6}, {140, 2}, {16, 0.23}}
	for i, a := range advice {
		l.kinds[i].queue.AdviceCallMilliseconds, l.kinds[i].queue.AdviceWorkerMilliseconds = a[0], a[1]
	}
	return l
}

// largeShard returns the traffic of one of two shards of largeLogs.
func largeShard() workload {
	l := largeLogs()
	l.workers, l.laneCount, l.maxGangFraction = 270, 48, 0.07
	for i := range l.kinds {
		l.kinds[i].perSecond /= 2
	}
	return l
}

var _ = Describe("Large load", func() {
	// With a quarter more work than a calm day has, a dozen gangs wait at a time. Workers were
	// reserved for seven of them.
	It("reserves workers for more gangs than in a small fleet", func() {
		l := largeShard()
		l.rateFactor = func(string, time.Duration) float64 { return 1.25 }
		earned := func(reservations int) float64 {
			results := replaySeeds(l, 2, func(sim *simulation) {
				sim.options.Policy.Reservations = reservations
				sim.startLeader(sim.options)
			})
			return sumResults(results).queues["reconciliations"]
		}
		const forSmallFleet, forThisShard = 7, 0
		Expect(earned(forThisShard)).To(BeNumerically(">", earned(forSmallFleet)))
	})

	// In overload some hundred steps wait. For each of them, and after each event, all 97 lanes
	// were examined before it turned out that the step needs no call.
	It("examines the lanes once for each call and each round of calls", func() {
		l := largeLogs()
		l.duration = 6 * time.Second
		l.rateFactor = func(string, time.Duration) float64 { return 1.6 }
		var sim *simulation
		replay(l, func(s *simulation) { sim = s })
		const classes = 3
		selections := int64(sim.callCount) + classes*int64(sim.appliedEvents)
		Expect(sim.reducer.ExaminedLanes()).To(BeNumerically("<=", selections*int64(l.laneCount)))
	})

	// Measures the worth and, with -cpuprofile, the processor time of the reducer.
	It("reports the worth of loads on 540 workers", func() {
		if os.Getenv("DISPATCH_LARGE") == "" {
			Skip("set DISPATCH_LARGE to measure loads on 540 workers")
		}
		loads := []struct {
			name   string
			factor func(string, time.Duration) float64
		}{
			{"calm", func(string, time.Duration) float64 { return 1.25 }},
			{"burst", burst("reconciliations", 10*time.Second, 1.8)},
			{"overload 1.6", func(string, time.Duration) float64 { return 1.6 }},
		}
		for _, l := range loads {
			load := largeLogs()
			load.rateFactor = l.factor
			began := time.Now()
			fmt.Printf("LOAD %-14s %s, %v\n", l.name, averageReport(load, 2, nil), time.Since(began))
		}
	})
})
