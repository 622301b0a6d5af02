package home

import (
	"time"

	"fuchsiacross/model"
)

// maxWaitingTimeSamples is the number of waiting times kept for each class.
const maxWaitingTimeSamples = 1024

// Counters counts the activity of a Table since its creation.
type Counters struct {
	Submitted    uint64                  // requests admitted at this instance
	Started      uint64                  // starts sent, retries included
	Retries      uint64                  // starts of second and later attempts
	Forwards     uint64                  // ephemeral requests forwarded to a peer
	Commits      uint64                  // journal appends sent
	Records      uint64                  // records in these appends
	Settled      map[model.Status]uint64 // published outcomes by status
	WaitingTimes [model.ClassCount]WaitingTimes
}

// WaitingTimes holds the most recent times from submission to first start of
// one class in a ring buffer.
type WaitingTimes struct {
	samples   []time.Duration
	nextIndex int
}

// Samples returns a copy of the most recent waiting times, in no particular
// order.
func (w *WaitingTimes) Samples() []time.Duration {
	return append([]time.Duration(nil), w.samples...)
}

func (w *WaitingTimes) add(d time.Duration) {
	if len(w.samples) < maxWaitingTimeSamples {
		w.samples = append(w.samples, d)
		return
	}
	w.samples[w.nextIndex] = d
	w.nextIndex = (w.nextIndex + 1) % maxWaitingTimeSamples
}

// recordWaitingTime records the time from submission to now if this is the
// first start of a request.
func (c *Counters) recordWaitingTime(spec *model.Request, now time.Time, first bool) {
	if !first || spec.SubmittedAt.IsZero() {
		return
	}
	c.WaitingTimes[spec.Class-1].add(now.Sub(spec.SubmittedAt))
}
