package admission

import (
	"time"
)

const (
	// throughputWindowSeconds is the busy time above which the busy time and the
	// count of starts are halved, so that older observations lose weight.
	throughputWindowSeconds = 20
	// minStarts is the number of starts below which no rate is estimated.
	minStarts = 3
	// meanWaitGain is the weight of the newest item in the mean waiting time.
	meanWaitGain = 0.05
)

// throughput measures the rate at which items of one class start. Only time during
// which items wait counts, because with an empty queue the rate of starts follows the
// demand and says nothing about the capacity.
type throughput struct {
	starts          float64
	busySeconds     float64 // time during which items waited
	updatedAt       time.Time
	meanWaitSeconds float64 // exponential moving average over the started items
}

// recordStart records the start of an item that has waited for the given seconds.
func (t *throughput) recordStart(waitSeconds float64) {
	t.starts++
	t.meanWaitSeconds += meanWaitGain * (waitSeconds - t.meanWaitSeconds)
}

// addBusyTime adds the time since the last call to the busy time if items waited
// during it.
func (t *throughput) addBusyTime(now time.Time, hadItems bool) {
	if hadItems && now.After(t.updatedAt) {
		t.busySeconds += now.Sub(t.updatedAt).Seconds()
	}
	t.updatedAt = now
	if t.busySeconds > throughputWindowSeconds {
		t.busySeconds /= 2
		t.starts /= 2
	}
}

// estimateSeconds returns the time in seconds in which the given number of items will
// start, or false if there are too few observations.
func (t *throughput) estimateSeconds(now time.Time, items int) (float64, bool) {
	if items == 0 {
		return 0, true
	}
	if t.starts < minStarts {
		return 0, false
	}
	busySeconds := t.busySeconds + max(0, now.Sub(t.updatedAt).Seconds())
	return float64(items) * busySeconds / t.starts, true
}
