package admission

import (
	"time"

	"fuchsiacross/model"
)

// Refusal says why a request is not admitted.
type Refusal uint8

// The refusals.
const (
	// RefusalNone accompanies admission.
	RefusalNone Refusal = iota
	// RefusalDeadline means that the deadline has passed.
	RefusalDeadline
	// RefusalWait means that the deadline will pass before the request starts.
	RefusalWait
	// RefusalFull means that a bound of the queue is reached.
	RefusalFull
)

// String returns the reason as a sentence.
func (r Refusal) String() string {
	switch r {
	case RefusalNone:
		return "the request is admitted"
	case RefusalDeadline:
		return "the deadline has passed"
	case RefusalWait:
		return "the deadline will pass before the request can start"
	case RefusalFull:
		return "too many requests wait already"
	}
	return "invalid"
}

// Admit reports whether a request may wait, and if not, why.
func (q *Queue) CanAdmit(now time.Time, r *model.Request) (Refusal, bool) {
	if !r.Deadline.After(now) {
		return RefusalDeadline, false
	}
	if q.full(r) != nil {
		return RefusalFull, false
	}
	seconds, known := q.Wait(now, r)
	if known && seconds > r.Deadline.Sub(now).Seconds() {
		return RefusalWait, false
	}
	return RefusalNone, true
}

// Wait estimates how many seconds a request would wait, from the rate at which
// items of each class recently left the queue and the number of items that go
// first: those of more urgent classes, and those of its class with an earlier
// deadline. It returns false when too little is known.
func (q *Queue) Wait(now time.Time, r *model.Request) (float64, bool) {
	total := 0.0
	for c := range int(r.Class) {
		b := &q.bands[c]
		ahead := b.due.len()
		if c == int(r.Class)-1 {
			ahead = b.due.rank(&Item{Request: r, sequence: q.sequence + 1})
		}
		s, known := b.service.seconds(now, ahead)
		if !known {
			return 0, false
		}
		total += s
	}
	return total, true
}
