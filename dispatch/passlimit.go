package dispatch

import "time"

// After an outage hundreds of steps wait, and a pass that considers all of them takes several
// milliseconds. Repeated after each event, such passes took so much of the leader's processor
// time that answers and ends were handled late, and more steps waited. Passes over all steps
// are therefore spaced by their cost. Between them only urgent steps are placed, which are few
// and come first in any case.

const (
	// completePassSpacing is the time between two complete passes for each worker that the
	// first one considered. A worker takes about 50 ns, so complete passes take a tenth of the
	// time.
	completePassSpacing = 500 * time.Nanosecond
	// maxCompletePassInterval bounds the delay of a step that is not urgent.
	maxCompletePassInterval = 200 * time.Millisecond
)

// passLimit spaces the passes over all waiting steps.
type passLimit struct {
	examinedWorkers int64 // by all passes
	examinedBefore  int64 // by the passes before this one
	nextCompleteAt  time.Time
	beganAt         time.Time
}

// beginPass reports whether a pass considers all waiting steps, or only the urgent ones that can
// be in time.
func (l *passLimit) beginPass(now time.Time) bool {
	l.beganAt, l.examinedBefore = now, l.examinedWorkers
	return !now.Before(l.nextCompleteAt)
}

// endPass schedules the next complete pass.
func (l *passLimit) endPass() {
	spacing := time.Duration(l.examinedWorkers-l.examinedBefore) * completePassSpacing
	l.nextCompleteAt = l.beganAt.Add(min(spacing, maxCompletePassInterval))
}

// isUrgentInTime reports whether a step belongs to those that every pass considers. They come
// first in the service order.
func (c *candidate) isUrgentInTime() bool {
	return !c.beyond && c.grade == gradeInTime && c.step.job.queue.Priority == urgentPriority
}
