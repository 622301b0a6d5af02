package measure_test

import (
	"fmt"
	"math"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"fuchsiacross/measure"
)

// medianDuration calls f the given number of times and returns the median
// duration of one call.
func medianDuration(times int, f func(int)) time.Duration {
	var samples []time.Duration
	for k := range times {
		startedAt := time.Now()
		f(k)
		samples = append(samples, time.Since(startedAt))
	}
	return percentile(samples, 0.5)
}

var _ = Describe("Growth", func() {
	// Iterating over all members or all listed workers on every event made a start
	// ten times slower in a large cell, and an idle instance took 42% of a core.
	// Measurements of the two sizes alternate, so that other load on the machine
	// affects both.
	It("of the cost of a start is at most logarithmic, and an idle instance stays within its processor limit", func() {
		small, large := measure.NewSingleInstance(instanceSizes[0]), measure.NewSingleInstance(instanceSizes[len(instanceSizes)-1])
		id := 0
		start := func(s *measure.SingleInstance) func(int) {
			return func(int) {
				id++
				s.RunRequest(newUrgentRequest(fmt.Sprintf("check-%08d", id), s.Now()))
			}
		}
		var atSmall, atLarge, idle []time.Duration
		for range 20 {
			atSmall = append(atSmall, medianDuration(100, start(small)))
			atLarge = append(atLarge, medianDuration(100, start(large)))
			idle = append(idle, medianDuration(20, func(int) { large.AdvanceTick() }))
			small.AdvanceTick()
		}
		maxRatio := math.Log(float64(instanceSizes[len(instanceSizes)-1].ListedWorkers)) / math.Log(float64(instanceSizes[0].ListedWorkers))
		ratio := float64(percentile(atLarge, 0.5)) / float64(percentile(atSmall, 0.5))
		idleTick := percentile(idle, 0.5)
		AddReportEntry("growth", fmt.Sprintf("a start %.2f times slower, logarithm %.2f; idle tick %v", ratio, maxRatio, idleTick))
		Expect(ratio).To(BeNumerically("<=", maxRatio))
		// 3.6% of a core is 360 us of each tick of 10 ms.
		Expect(idleTick).To(BeNumerically("<", 360*time.Microsecond))
	})
})
