package backlog

import (
	"slices"
	"strings"
	"time"
)

const (
	// openNumerator of openDenominator is the part of the limit that any queue may use.
	openNumerator, openDenominator = 3, 4
	// rateInterval is the time over which the speed is measured at which jobs end.
	rateInterval = time.Second
	// rateWeight is the weight of the last interval in the average.
	rateWeight = 0.3
	// minWait and maxWait bound the announced waits.
	minWait = time.Second
	maxWait = 30 * time.Second
)

// Refusal names a queue of which no job is to be accepted.
type Refusal struct {
	Queue string
	Wait  time.Duration // until room is expected
}

// Meter adds up the memory of the waiting jobs of a shard. It is not safe for concurrent use.
type Meter struct {
	limit          int64
	total          int64
	queues         map[string]int64
	released       int64 // since ratedAt
	ratedAt        time.Time
	bytesPerSecond float64 // average of what was released
}

// NewMeter returns an empty meter. A limit of zero refuses nothing.
func NewMeter(limit int64) *Meter { return &Meter{limit: limit, queues: map[string]int64{}} }

// Total returns the bytes of all jobs.
func (m *Meter) Total() int64 { return m.total }

// Add counts bytes that a job of a queue takes, or releases if they are negative.
func (m *Meter) Add(queue string, bytes int64) {
	m.total += bytes
	if bytes < 0 {
		m.released -= bytes
	}
	if m.queues[queue] += bytes; m.queues[queue] <= 0 {
		delete(m.queues, queue)
	}
}

// HasRoom reports whether a job may take further bytes after it was accepted: half of the limit
// is kept for new jobs.
func (m *Meter) HasRoom(bytes int64) bool { return m.limit == 0 || m.total+bytes <= m.limit/2 }

// Refusals returns the queues of which no job is to be accepted, sorted by name. The number of
// queues is that of the configuration.
func (m *Meter) Refusals(now time.Time, queueCount int) []Refusal {
	m.updateRate(now)
	open := m.limit / openDenominator * openNumerator
	if m.limit == 0 || m.total < open {
		return nil
	}
	share := m.limit / int64(max(1, queueCount))
	if m.total >= m.limit {
		share = 0
	}
	var list []Refusal
	for queue, bytes := range m.queues {
		if bytes >= share {
			list = append(list, Refusal{queue, m.wait(m.total - open)})
		}
	}
	slices.SortFunc(list, func(a, b Refusal) int { return strings.Compare(a.Queue, b.Queue) })
	return list
}

// wait returns the time in which so many bytes are expected to be released.
func (m *Meter) wait(bytes int64) time.Duration {
	if m.bytesPerSecond*maxWait.Seconds() <= float64(bytes) {
		return maxWait
	}
	return max(minWait, time.Duration(float64(bytes)/m.bytesPerSecond*float64(time.Second)))
}

func (m *Meter) updateRate(now time.Time) {
	if m.ratedAt.IsZero() {
		m.ratedAt = now
	}
	interval := now.Sub(m.ratedAt)
	if interval < rateInterval {
		return
	}
	m.bytesPerSecond += rateWeight * (float64(m.released)/interval.Seconds() - m.bytesPerSecond)
	m.released, m.ratedAt = 0, now
}
