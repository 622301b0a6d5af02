// Package processorspeed determines from repeated measurements how many times slower a
// processor is than at its best.
//
// # Usage
//
//	m := processorspeed.New()
//	if changed := m.Observe(m.Measure()); changed {
//		slowdown := m.Slowdown()
//	}
package processorspeed

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// workloadBytes is the amount of data hashed in one measurement, which takes some tens
	// of microseconds.
	workloadBytes = 64 << 10
	// windowSize is the number of latest measurements that are kept. Their median follows a
	// change after half of them and ignores single interruptions.
	windowSize = 7
	// The slowdown is the median divided by the best median. From slowThreshold on, the
	// processor counts as slow; below recoveryThreshold, it counts as normal again. The gap
	// between the two prevents frequent changes (hysteresis).
	slowThreshold     = 2.5
	recoveryThreshold = 1.5
)

// Monitor compares the median of the latest measurements with the best one so far. It is
// not safe for concurrent use.
type Monitor struct {
	workload   []byte
	bestMedian time.Duration // shortest median of a full window so far; zero before the first
	window     []time.Duration
	slowdown   float64
}

// New returns a monitor without measurements, whose processor counts as normal.
func New() *Monitor { return &Monitor{workload: make([]byte, workloadBytes), slowdown: 1} }

// Measure returns the time that a fixed amount of work takes now.
func (m *Monitor) Measure() time.Duration {
	began := time.Now()
	xxhash.Sum64(m.workload)
	return time.Since(began)
}

// Observe adds a measurement and reports whether the processor has become slow or normal
// again.
func (m *Monitor) Observe(duration time.Duration) (changed bool) {
	m.window = append(m.window, duration)
	if len(m.window) < windowSize {
		return false
	}
	if len(m.window) > windowSize {
		m.window = slices.Delete(m.window, 0, 1)
	}
	median := slices.Sorted(slices.Values(m.window))[windowSize/2]
	if m.bestMedian == 0 || median < m.bestMedian {
		m.bestMedian = max(median, 1)
	}
	wasSlow := m.slowdown > 1
	switch ratio := float64(median) / float64(m.bestMedian); {
	case ratio >= slowThreshold && !wasSlow:
		m.slowdown = ratio
	case ratio < recoveryThreshold:
		m.slowdown = 1
	}
	return m.slowdown > 1 != wasSlow
}

// Slowdown returns the factor by which the processor was slower than at its best when it
// became slow, or one if it counts as normal.
func (m *Monitor) Slowdown() float64 { return m.slowdown }

// BestMedian returns the shortest median of a full window so far, or zero before the first.
func (m *Monitor) BestMedian() time.Duration { return m.bestMedian }
