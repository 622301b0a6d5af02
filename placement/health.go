package placement

import (
	"math"
	"slices"
	"time"

	"fuchsiacross/model"
)

// health is the recent record of successes and failures on one worker. A worker on
// which every attempt fails at once looks idle and attracts work. It is therefore
// quarantined: it gets no work but single idempotent tasks that probe it.
type health struct {
	failureRate          float64 // exponential moving average of failures, 0 to 1
	consecutiveFailures  int
	consecutiveSuccesses int
	backoffLevel         int       // number of backoffs since the last reset
	backoffEnd           time.Time // when the worker may be probed
	quarantined          bool
	probeStarted         bool          // whether a probe started since the backoff ended
	probeAttempt         model.Attempt // running probe, or zero
}

const (
	// failureRateGain is the weight of the newest result in a worker's failure rate.
	failureRateGain = 0.2
	// minConsecutiveFailures is the number of consecutive failures below which a
	// worker is not quarantined.
	minConsecutiveFailures = 3
	// significanceLevel is the probability below which consecutive failures are
	// attributed to the worker. The probability is computed from the mean failure
	// rate of the other workers.
	significanceLevel = 0.001
	// minFailureRate is the lowest failure rate that is assumed for the other workers.
	minFailureRate = 0.02
	// maxQuarantinedFraction is the largest fraction of the workers in quarantine.
	// If more seem to be at fault, the work is the more likely cause.
	maxQuarantinedFraction = 0.25
	// backoffResetSuccesses is the number of consecutive successes after which the
	// backoff of a worker starts from initialBackoffSeconds again.
	backoffResetSuccesses = 10
	// initialBackoffSeconds is the delay before the first probe of a quarantined
	// worker. It doubles with each failed probe and each further quarantine, up to
	// maxBackoffSeconds.
	initialBackoffSeconds = 5
	maxBackoffSeconds     = 320
	// maxProbesTried limits how many quarantined workers one decision examines.
	maxProbesTried = 4
)

// RecordStart reports whether a worker that started an attempt is quarantined. A
// start never begins or ends a quarantine, so nothing is recorded.
func (x *Index) RecordStart(w model.WorkerID, _ time.Time) (quarantined, changed bool) {
	i, ok := x.nodeByID[w]
	return ok && x.nodes[i].health.quarantined, false
}

// RecordSuccess records that an attempt succeeded on a worker, and ends the
// quarantine if a probe has started. It reports whether the worker is quarantined
// afterwards and whether that changed.
func (x *Index) RecordSuccess(w model.WorkerID, _ time.Time) (quarantined, changed bool) {
	i, ok := x.nodeByID[w]
	if !ok {
		return false, false
	}
	h := &x.nodes[i].health
	x.recordResult(h, 0)
	h.consecutiveFailures = 0
	h.consecutiveSuccesses++
	if h.consecutiveSuccesses >= backoffResetSuccesses {
		h.backoffLevel = 0
	}
	if !h.quarantined || !h.probeStarted {
		return h.quarantined, false
	}
	x.dequeueProbe(i)
	h.quarantined, h.probeStarted = false, false
	x.quarantinedCount--
	x.updateNode(i)
	return false, true
}

// RecordFailure records that an attempt failed on a worker. The worker is
// quarantined if so many consecutive failures are improbable at the failure rate of
// the other workers. It reports whether the worker is quarantined afterwards and
// whether that changed.
func (x *Index) RecordFailure(w model.WorkerID, now time.Time) (quarantined, changed bool) {
	i, ok := x.nodeByID[w]
	if !ok {
		return false, false
	}
	h := &x.nodes[i].health
	x.recordResult(h, 1)
	h.consecutiveFailures++
	h.consecutiveSuccesses = 0
	if h.quarantined {
		if h.probeStarted {
			h.probeStarted = false
			x.dequeueProbe(i)
			x.startBackoff(i, now)
		}
		return true, false
	}
	if !x.isAtFault(h) {
		return false, false
	}
	h.quarantined = true
	x.quarantinedCount++
	x.clearHold(i)
	x.startBackoff(i, now)
	x.updateNode(i)
	return true, true
}

// recordResult updates a worker's failure rate and the sum of all rates with one
// result: 1 for a failure, 0 for a success.
func (x *Index) recordResult(h *health, failed float64) {
	x.failureRateSum -= h.failureRate
	h.failureRate += failureRateGain * (failed - h.failureRate)
	x.failureRateSum += h.failureRate
}

// isAtFault reports whether the worker, rather than the work, is the likely cause of
// its failures. The rates of all other workers have equal weight however many tasks
// each ran. Otherwise another worker that fails its tasks at once, and so runs many,
// would determine the failure rate of the cell by itself.
func (x *Index) isAtFault(h *health) bool {
	others := len(x.nodeByID) - 1
	if h.consecutiveFailures < minConsecutiveFailures || others < 1 {
		return false
	}
	if x.quarantinedCount > 0 && float64(x.quarantinedCount+1) > maxQuarantinedFraction*float64(len(x.nodeByID)) {
		return false
	}
	rate := max(minFailureRate, (x.failureRateSum-h.failureRate)/float64(others))
	return math.Pow(rate, float64(h.consecutiveFailures)) < significanceLevel
}

// startBackoff starts a backoff of a quarantined worker, after which it may be
// probed.
func (x *Index) startBackoff(i int32, now time.Time) {
	h := &x.nodes[i].health
	h.backoffEnd = now.Add(backoff(h.backoffLevel))
	h.backoffLevel++
	if h.probeAttempt == (model.Attempt{}) {
		x.enqueueProbe(i)
	}
}

// backoff returns the delay before a probe, after the given number of earlier
// backoffs.
func backoff(level int) time.Duration {
	seconds := min(initialBackoffSeconds<<min(max(level, 0), 10), maxBackoffSeconds)
	return time.Duration(seconds) * time.Second
}

// enqueueProbe adds a worker to the queue of workers to probe.
func (x *Index) enqueueProbe(i int32) {
	at, _ := slices.BinarySearchFunc(x.probeQueue, i, func(a, b int32) int {
		return x.nodes[a].health.backoffEnd.Compare(x.nodes[b].health.backoffEnd)
	})
	x.probeQueue = slices.Insert(x.probeQueue, at, i)
}

// dequeueProbe removes a worker from the queue of workers to probe, if it is there.
func (x *Index) dequeueProbe(i int32) {
	if at := slices.Index(x.probeQueue, i); at >= 0 {
		x.probeQueue = slices.Delete(x.probeQueue, at, at+1)
	}
}

// tryStartProbe reports whether the health of a worker permits the attempt. On a
// quarantined worker, the attempt becomes the probe.
func (x *Index) tryStartProbe(i int32, a model.Attempt, r *model.Request) bool {
	h := &x.nodes[i].health
	if !h.quarantined {
		return true
	}
	if !r.Idempotent || h.probeAttempt != (model.Attempt{}) {
		return false
	}
	x.dequeueProbe(i)
	h.probeAttempt, h.probeStarted = a, true
	return true
}

// endProbe lets a quarantined worker be probed again if the attempt was its probe.
func (x *Index) endProbe(i int32, a model.Attempt) {
	h := &x.nodes[i].health
	if h.probeAttempt != a {
		return
	}
	h.probeAttempt = model.Attempt{}
	if h.quarantined {
		x.enqueueProbe(i)
	}
}

// resetHealth removes a worker from the totals of the index and clears its record.
func (x *Index) resetHealth(i int32) {
	h := &x.nodes[i].health
	x.dequeueProbe(i)
	x.failureRateSum -= h.failureRate
	if h.quarantined {
		x.quarantinedCount--
	}
	*h = health{}
}

// findProbeTarget returns a quarantined worker that the task may probe. An urgent
// task may probe it only after twice the backoff, so that other work probes it first.
func (x *Index) findProbeTarget(now time.Time, req *Requirements) (int32, bool) {
	if !req.Request.Idempotent {
		return 0, false
	}
	for k := 0; k < len(x.probeQueue) && k < maxProbesTried; k++ {
		i := x.probeQueue[k]
		n := &x.nodes[i]
		due := n.health.backoffEnd
		if req.isUrgent() {
			due = due.Add(backoff(n.health.backoffLevel - 1))
		}
		if now.Before(due) {
			return 0, false
		}
		if !n.drained && req.Resources.Fits(*n.freeFor(req.isUrgent())) && !req.excludes(n.worker.ID) {
			return i, true
		}
	}
	return 0, false
}
