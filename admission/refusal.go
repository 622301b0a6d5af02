package admission

import (
	"time"

	"fuchsiacross/model"
)

// Refusal says why a request is not admitted.
type Refusal uint8

// The refusals.
const (
	// RefusalNone means that the request is admitted.
	RefusalNone Refusal = iota
	// RefusalDeadlinePassed means that the deadline has passed.
	RefusalDeadlinePassed
	// RefusalWaitTooLong means that the deadline is expected to pass before the
	// request starts.
	RefusalWaitTooLong
	// RefusalQueueFull means that a limit of the queue is reached.
	RefusalQueueFull
)

// String returns the refusal as a sentence for the caller.
func (r Refusal) String() string {
	switch r {
	case RefusalNone:
		return "the request is admitted"
	case RefusalDeadlinePassed:
		return "the deadline has passed"
	case RefusalWaitTooLong:
		return "the deadline will pass before the request can start"
	case RefusalQueueFull:
		return "too many requests wait already"
	}
	return "invalid"
}

// CanAdmit reports whether a request may wait in the queue, and the reason if not. It
// does not add the request.
func (q *Queue) CanAdmit(now time.Time, r *model.Request) (Refusal, bool) {
	if !r.Deadline.After(now) {
		return RefusalDeadlinePassed, false
	}
	if q.reachedLimit(r) != nil {
		return RefusalQueueFull, false
	}
	seconds, known := q.EstimateWaitSeconds(now, r)
	if known && seconds > r.Deadline.Sub(now).Seconds() {
		return RefusalWaitTooLong, false
	}
	return RefusalNone, true
}

// EstimateWaitSeconds estimates how many seconds a request would wait. The estimate
// uses the recent rate at which items of each class started, and the number of items
// that go first: those of more urgent classes, and those of the same class with an
// earlier deadline. It returns false if there are too few observations.
func (q *Queue) EstimateWaitSeconds(now time.Time, r *model.Request) (float64, bool) {
	total := 0.0
	for c := range int(r.Class) {
		class := &q.classes[c]
		ahead := class.itemsByDeadline.len()
		if c == int(r.Class)-1 {
			ahead = class.itemsByDeadline.countBefore(&Item{Request: r, sequence: q.sequence + 1})
		}
		s, known := class.throughput.estimateSeconds(now, ahead)
		if !known {
			return 0, false
		}
		total += s
	}
	return total, true
}
