package processorspeed_test

import (
	"slices"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"fuchsiacross/processorspeed"
)

func TestProcessorSpeed(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "processorspeed")
}

// windowSize measurements replace the whole window, and therefore change the median.
const windowSize = 7

var _ = Describe("Monitor", func() {
	const best = 30 * time.Microsecond
	repeat := func(n int, factor float64) []time.Duration {
		var list []time.Duration
		for range n {
			list = append(list, time.Duration(factor*float64(best)))
		}
		return list
	}
	tests := []struct {
		name         string
		measurements [][]time.Duration
		slowed       bool
		changes      int
	}{
		{"is normal while nothing changes", [][]time.Duration{repeat(50, 1)}, false, 0},
		{"is slow when most measurements take several times as long", [][]time.Duration{repeat(20, 1), repeat(windowSize, 6)}, true, 1},
		{"is normal again after a slowdown", [][]time.Duration{repeat(20, 1), repeat(20, 6), repeat(20, 1.2)}, false, 2},
		{"ignores single interruptions", [][]time.Duration{repeat(20, 1), repeat(2, 100), repeat(5, 1), repeat(2, 100), repeat(20, 1)}, false, 0},
		{"ignores single measurements that are too short", [][]time.Duration{repeat(20, 1), repeat(2, 0.1), repeat(20, 1)}, false, 0},
		// On 29 instances, 13 to 50 verdicts of 2.50 to 2.65 came before any traffic, and the
		// leader yielded to a smaller instance.
		{"ignores one lucky window at the start", [][]time.Duration{repeat(windowSize, 0.38), repeat(60, 1)}, false, 0},
		{"ignores one lucky window later", [][]time.Duration{repeat(20, 1), repeat(windowSize, 0.38), repeat(60, 1)}, false, 0},
		{"gives no verdict on a cold process", [][]time.Duration{repeat(2*windowSize, 0.38), repeat(5, 1), repeat(windowSize, 0.38)}, false, 0},
		{"ignores noise around the threshold", [][]time.Duration{repeat(20, 1), slices.Repeat(append(repeat(1, 2.4), repeat(1, 2.6)...), 50)}, false, 0},
		{"revises a baseline that was seen for a short time only", [][]time.Duration{repeat(20, 0.38), repeat(200, 1)}, false, 2},
		{"keeps a verdict while the processor is slow for less time than it was normal", [][]time.Duration{repeat(150, 1), repeat(200, 4)}, true, 1},
		{"detects a processor that is 2.5 times slower within 1 s", [][]time.Duration{repeat(20, 1), repeat(10, 2.51)}, true, 1},
		{"ignores a moderate difference", [][]time.Duration{repeat(20, 1), repeat(20, 2)}, false, 0},
	}
	for _, test := range tests {
		It(test.name, func() {
			m := processorspeed.New()
			changes := 0
			for _, list := range test.measurements {
				for _, took := range list {
					if m.Observe(took) {
						changes++
					}
				}
			}
			Expect(m.Slowdown() > 1).To(Equal(test.slowed))
			Expect(changes).To(Equal(test.changes))
		})
	}
})
