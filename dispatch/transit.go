package dispatch

import "time"

// maxOrderDelay is how long after it was sent an order without an answer may be executed. It
// is an assumption: the platform's documentation says "seconds later".
const maxOrderDelay = 12500 * time.Millisecond

// startInTransit reports whether the start order of a run has not been executed and may still
// be, even if the incarnation of the worker that it was sent to refuses it: a later incarnation
// knows neither the fencing token nor the stops. Until then the task must not start elsewhere.
//
// A start with a ticket is never in transit in this sense, since the ticket is valid in one
// incarnation only. A start without a ticket is sent once, so that a run that has been listed
// has used up its order.
func (r *Reducer) startInTransit(run *run) bool {
	return run.ticketless && run.presentSince.IsZero() && r.now.Before(run.orderedAt.Add(maxOrderDelay))
}

// isUnansweredAt reports whether the time for an answer to the start order of a run was over at a
// time.
func (run *run) isUnansweredAt(at time.Time) bool {
	return !run.unknownAt.IsZero() && !run.unknownAt.After(at) && !run.stopping
}

// latestEnd returns the latest time at which a run on a worker without contact ends. A start
// that is executed late extends the lease of an incarnation that this leader has not read, by
// as much as workers grant.
func (r *Reducer) latestEnd(run *run) time.Time {
	end := run.worker.leaseEnd
	if !run.ticketless || !run.presentSince.IsZero() {
		return end
	}
	late := run.orderedAt.Add(maxOrderDelay + withClockMargin(r.longestLease()))
	if late.After(end) {
		return late
	}
	return end
}

// longestLease returns the longest lease that a worker grants.
func (r *Reducer) longestLease() time.Duration {
	if r.maxHoldMilliseconds > 0 {
		return time.Duration(r.maxHoldMilliseconds) * time.Millisecond
	}
	return confirmationTimeout
}
