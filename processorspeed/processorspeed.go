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
	// The slowdown is the median divided by the baseline. From slowThreshold on, the
	// processor counts as slow; below recoveryThreshold, it counts as normal again. The gap
	// between the two prevents frequent changes (hysteresis).
	slowThreshold     = 2.5
	recoveryThreshold = 1.5
	// verdictMedians is the number of consecutive medians above slowThreshold that make the
	// processor count as slow. Together with half a window it takes 7 measurements, which
	// is below 1 s at 10 measurements a second. Noise around the threshold gives fewer.
	verdictMedians = 4
	// warmupMeasurements is the number of measurements without a verdict at the start of the
	// process, whose first measurements vary by a factor of 2.6 without any traffic.
	warmupMeasurements = 20
	// The baseline is wrong if the processor has been slow for revisionFactor times as many
	// measurements as it was normal, and for at least minRevisionMeasurements: then the
	// short time of high speed was the exception. A processor that is slow for 5 s keeps its
	// verdict.
	revisionFactor          = 2
	minRevisionMeasurements = 100
)

// Monitor compares the median of the latest measurements with a baseline: the best median
// that two windows without common measurements have reached. It is not safe for concurrent
// use.
type Monitor struct {
	workload []byte
	window   []time.Duration
	count    int // of all measurements
	// shortest are the two shortest medians of separate windows; zero if not known yet. The
	// longer one is the baseline, since a single lucky window does not count.
	shortest    [2]time.Duration
	slowMedians int // consecutive medians above slowThreshold
	slowdown    float64

	// Measurements with this baseline while the processor was normal and since it became
	// slow, and the shortest median since then.
	normalCount, slowCount int
	shortestSlow           time.Duration
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
	m.count++
	m.window = append(m.window, duration)
	if len(m.window) < windowSize {
		return false
	}
	if len(m.window) > windowSize {
		m.window = slices.Delete(m.window, 0, 1)
	}
	median := max(1, slices.Sorted(slices.Values(m.window))[windowSize/2])
	if m.count%windowSize == 0 {
		m.addWindow(median)
	}
	if m.BestMedian() == 0 || m.count < warmupMeasurements {
		return false
	}
	ratio := float64(median) / float64(m.BestMedian())
	if ratio >= slowThreshold {
		m.slowMedians++
	} else {
		m.slowMedians = 0
	}
	wasSlow := m.slowdown > 1
	switch {
	case !wasSlow && m.slowMedians >= verdictMedians:
		m.slowdown, m.slowCount, m.shortestSlow = ratio, 0, median
	case !wasSlow:
		m.normalCount++
	case ratio < recoveryThreshold:
		m.slowdown = 1
	default:
		m.slowCount++
		m.shortestSlow = min(m.shortestSlow, median)
		if m.slowCount >= max(minRevisionMeasurements, revisionFactor*m.normalCount) {
			m.shortest = [2]time.Duration{m.shortestSlow, m.shortestSlow}
			m.slowdown, m.slowMedians, m.normalCount = 1, 0, 0
		}
	}
	return m.slowdown > 1 != wasSlow
}

// addWindow takes the median of a full window into account for the baseline.
func (m *Monitor) addWindow(median time.Duration) {
	previous := m.BestMedian()
	switch {
	case m.shortest[0] == 0 || median < m.shortest[0]:
		m.shortest[0], m.shortest[1] = median, m.shortest[0]
	case m.shortest[1] == 0 || median < m.shortest[1]:
		m.shortest[1] = median
	}
	if float64(previous) > recoveryThreshold*float64(m.BestMedian()) {
		m.normalCount = 0 // those measurements belong to another baseline
	}
}

// Slowdown returns the factor by which the processor was slower than at its best when it
// became slow, or one if it counts as normal.
func (m *Monitor) Slowdown() float64 { return m.slowdown }

// BestMedian returns the baseline: the shortest median that two separate windows have reached,
// or zero before the second window.
func (m *Monitor) BestMedian() time.Duration { return m.shortest[1] }
