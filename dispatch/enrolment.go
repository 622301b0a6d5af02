package dispatch

import "time"

// recordFence records that the current incarnation of a worker refuses orders of earlier tokens
// from now on. Until then it may have executed some that were meant for an earlier
// incarnation. Their deadlines are times of another clock, so each may have extended the lease
// by as much as workers grant. None has if a predecessor had fenced this incarnation, whose
// enrolment then tells whether one may have before, or if nobody has ordered here.
func (r *Reducer) recordFence(w *worker) {
	if w.fencedStartTime == w.startTime {
		return
	}
	w.fencedStartTime = w.startTime
	fencedBefore := w.inherited && w.enrolledStartTime == w.startTime && !w.enrolledStray
	if !fencedBefore && !r.neverOrdered(w) {
		w.strayLeaseEnd = r.now.Add(withClockMargin(r.longestLease()))
		w.extendLease(r.now, r.now.Add(r.longestLease()))
	}
	if !r.isEnrolled(w) {
		r.enrolling[w] = struct{}{}
	}
}

// neverOrdered reports whether no leader has sent orders to an earlier incarnation of a worker.
func (r *Reducer) neverOrdered(w *worker) bool {
	return r.firstLeader && r.usedTokens[w.registration.ID] == 0
}

// hasStrayLease reports whether orders for an earlier incarnation of a worker may have extended
// the lease of the current one.
func (r *Reducer) hasStrayLease(w *worker) bool { return r.now.Before(w.strayLeaseEnd) }

// isEnrolled reports whether the stored enrolment of a worker lets a successor know how long
// runs in its current incarnation may continue.
func (r *Reducer) isEnrolled(w *worker) bool {
	return w.enrolled && w.enrolledStartTime == w.startTime && (w.enrolledStray || !r.hasStrayLease(w))
}

// enrolmentOf returns the enrolment of a worker to be stored. Before the first reading, it says
// what the predecessor knew, or names the incarnation of the registration.
func (r *Reducer) enrolmentOf(w *worker) Enrolment {
	e := Enrolment{Worker: w.registration, StrayLease: r.hasStrayLease(w)}
	switch {
	case w.fencedStartTime != 0:
		e.Worker.StartTime = w.fencedStartTime
	case w.inherited:
		e.Worker.StartTime, e.StrayLease = w.enrolledStartTime, w.enrolledStray
	default:
		e.StrayLease = !r.neverOrdered(w)
	}
	return e
}

// setEnrolled records the stored enrolment of a worker.
func (w *worker) setEnrolled(e Enrolment) {
	w.enrolled, w.enrolledStartTime, w.enrolledStray = true, e.Worker.StartTime, e.StrayLease
}

// predecessorRunsEnd returns until when runs of a predecessor on a worker that was not read may
// continue.
func (r *Reducer) predecessorRunsEnd(w *worker) time.Time {
	duration := confirmationTimeout
	if w.enrolledStray || w.enrolledStartTime == 0 {
		duration = max(duration, r.longestLease())
	}
	return r.predecessorSuspectedAt.Add(withClockMargin(duration))
}

// clockTolerance is how far a reading of a worker's clock may be from the expected one before it
// counts as another clock.
const clockTolerance = 500 * time.Millisecond

// showsRestart reports whether an answer to an order that was sent at a time has a reading of
// another clock than the worker's last known one, because it is of another incarnation.
func (w *worker) showsRestart(clock int64, sentAt, now time.Time) bool {
	if w.clockAt.IsZero() {
		return false
	}
	drift := time.Duration(clockDriftFraction * float64(now.Sub(w.clockAt).Abs()))
	earliest := w.toWorkerClock(sentAt.Add(-clockTolerance - drift))
	latest := w.toWorkerClock(now.Add(clockTolerance + drift))
	return clock < earliest || clock > latest
}

// suspectRestart reads a worker at once that seems to have restarted. A ticket that was issued
// after the restart lets it execute starts before its new incarnation was read, and their
// deadlines are times of the former clock.
func (r *Reducer) suspectRestart(w *worker) {
	w.readSoon = true
	w.extendLease(r.now, r.now.Add(r.longestLease()))
}
