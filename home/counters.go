package home

import (
	"time"

	"fuchsiacross/model"
)

// waitSamples is the number of waiting times that are kept for each class.
const waitSamples = 1024

// Counters count what a Table has done since its start.
type Counters struct {
	Submitted    uint64
	Started      uint64
	Retries      uint64
	Forwards     uint64
	Commits      uint64
	Records      uint64
	Settled      map[model.Status]uint64
	WaitingTimes [model.ClassCount]WaitingTimes
}

// Waits holds the latest times from request to first start of one class.
type WaitingTimes struct {
	samples []time.Duration
	next    int
}

// Samples returns the latest waiting times in no particular order.
func (w *WaitingTimes) Samples() []time.Duration {
	return append([]time.Duration(nil), w.samples...)
}

func (w *WaitingTimes) add(d time.Duration) {
	if len(w.samples) < waitSamples {
		w.samples = append(w.samples, d)
		return
	}
	w.samples[w.next] = d
	w.next = (w.next + 1) % waitSamples
}

func (c *Counters) wait(spec *model.Request, now time.Time, first bool) {
	if !first || spec.SubmittedAt.IsZero() {
		return
	}
	c.WaitingTimes[spec.Class-1].add(now.Sub(spec.SubmittedAt))
}
