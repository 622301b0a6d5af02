package placement

import (
	"math"
	"slices"
	"time"

	"fuchsiacross/model"
)

// health is the recent record of one worker. A worker that fails whatever it
// starts looks idle and attracts work, so it is taken out of the index and
// tried again with single idempotent tasks.
type health struct {
	rate        float64 // decaying share of failures
	streak      int     // consecutive failures
	successes   int     // consecutive successes
	level       int     // number of quarantines and failed probes so far
	until       time.Time
	quarantined bool
	probed      bool // a probe started since the back-off ended
	probe       model.Attempt
}

const (
	// rateGain is the weight of the newest result in a worker's failure rate.
	rateGain = 0.2
	// minStreak is the smallest number of consecutive failures that counts.
	minStreak = 3
	// doubt is the probability of a streak, at the failure rate of the other
	// workers, below which the worker itself is held to be at fault.
	doubt = 0.001
	// rateFloor stands in for a failure rate of 0 among the other workers.
	rateFloor = 0.02
	// maxIsolated is the largest share of workers in quarantine. When more
	// seem to be at fault, the work is the likelier cause.
	maxIsolated = 0.25
	// recovered is the number of consecutive successes after which the back-off
	// of a worker starts from the beginning.
	recovered = 10
	// firstBackoffSeconds is the length of the first quarantine; each following
	// one doubles, up to maxBackoffSeconds.
	firstBackoffSeconds = 5
	maxBackoffSeconds   = 320
	// probesTried bounds how many quarantined workers one decision examines.
	probesTried = 4
)

// Started records that a worker began an attempt. It reports whether the worker
// is quarantined; it never changes that.
func (x *Index) RecordStart(w model.WorkerID, _ time.Time) (quarantined, changed bool) {
	i, ok := x.byID[w]
	return ok && x.nodes[i].health.quarantined, false
}

// Succeeded records that an attempt succeeded on a worker, and lifts the
// quarantine when it was a probe.
func (x *Index) RecordSuccess(w model.WorkerID, _ time.Time) (quarantined, changed bool) {
	i, ok := x.byID[w]
	if !ok {
		return false, false
	}
	h := &x.nodes[i].health
	x.rate(h, 0)
	h.streak = 0
	h.successes++
	if h.successes >= recovered {
		h.level = 0
	}
	if !h.quarantined || !h.probed {
		return h.quarantined, false
	}
	x.dropProbe(i)
	h.quarantined, h.probed = false, false
	x.isolated--
	x.settle(i)
	return false, true
}

// Failed records that an attempt failed on a worker. The worker is quarantined
// when its streak of failures is improbable at the rate of the other workers.
func (x *Index) RecordFailure(w model.WorkerID, now time.Time) (quarantined, changed bool) {
	i, ok := x.byID[w]
	if !ok {
		return false, false
	}
	h := &x.nodes[i].health
	x.rate(h, 1)
	h.streak++
	h.successes = 0
	if h.quarantined {
		if h.probed {
			h.probed = false
			x.dropProbe(i)
			x.isolate(i, now)
		}
		return true, false
	}
	if !x.atFault(h) {
		return false, false
	}
	h.quarantined = true
	x.isolated++
	x.unhold(i)
	x.isolate(i, now)
	x.settle(i)
	return true, true
}

// rate folds one result into a worker's failure rate and into the sum of all.
func (x *Index) rate(h *health, failed float64) {
	x.rates -= h.rate
	h.rate += rateGain * (failed - h.rate)
	x.rates += h.rate
}

// atFault reports whether a worker rather than the work explains its failures.
// The rates of the other workers count equally, however many tasks each ran:
// a worker that fails at once would otherwise set the cell's rate by itself.
func (x *Index) atFault(h *health) bool {
	others := len(x.byID) - 1
	if h.streak < minStreak || others < 1 {
		return false
	}
	if x.isolated > 0 && float64(x.isolated+1) > maxIsolated*float64(len(x.byID)) {
		return false
	}
	rate := max(rateFloor, (x.rates-h.rate)/float64(others))
	return math.Pow(rate, float64(h.streak)) < doubt
}

// isolate starts a back-off, after which the worker may be probed.
func (x *Index) isolate(i int32, now time.Time) {
	h := &x.nodes[i].health
	h.until = now.Add(backoff(h.level))
	h.level++
	if h.probe == (model.Attempt{}) {
		x.addProbe(i)
	}
}

// backoff returns the length of the quarantine that follows a number of earlier
// ones.
func backoff(level int) time.Duration {
	seconds := min(firstBackoffSeconds<<min(max(level, 0), 10), maxBackoffSeconds)
	return time.Duration(seconds) * time.Second
}

func (x *Index) addProbe(i int32) {
	at, _ := slices.BinarySearchFunc(x.probes, i, func(a, b int32) int {
		return x.nodes[a].health.until.Compare(x.nodes[b].health.until)
	})
	x.probes = slices.Insert(x.probes, at, i)
}

func (x *Index) dropProbe(i int32) {
	if at := slices.Index(x.probes, i); at >= 0 {
		x.probes = slices.Delete(x.probes, at, at+1)
	}
}

// startProbe reports whether a worker may take the attempt as far as its health
// goes.
func (x *Index) startProbe(i int32, a model.Attempt, r *model.Request) bool {
	h := &x.nodes[i].health
	if !h.quarantined {
		return true
	}
	if !r.Idempotent || h.probe != (model.Attempt{}) {
		return false
	}
	x.dropProbe(i)
	h.probe, h.probed = a, true
	return true
}

// endProbe lets a quarantined worker be probed again.
func (x *Index) endProbe(i int32, a model.Attempt) {
	h := &x.nodes[i].health
	if h.probe != a {
		return
	}
	h.probe = model.Attempt{}
	if h.quarantined {
		x.addProbe(i)
	}
}

func (x *Index) forgetHealth(i int32) {
	h := &x.nodes[i].health
	x.dropProbe(i)
	x.rates -= h.rate
	if h.quarantined {
		x.isolated--
	}
	*h = health{}
}

// probeTarget returns a quarantined worker that the task may probe. Urgent
// tasks wait as long again as the back-off took, so that other work goes first.
func (x *Index) probeTarget(now time.Time, ask *Requirements) (int32, bool) {
	if !ask.Request.Idempotent {
		return 0, false
	}
	for k := 0; k < len(x.probes) && k < probesTried; k++ {
		i := x.probes[k]
		n := &x.nodes[i]
		due := n.health.until
		if ask.urgent() {
			due = due.Add(backoff(n.health.level - 1))
		}
		if now.Before(due) {
			return 0, false
		}
		if !n.drained && ask.Resources.Fits(*n.space(ask.urgent())) && !ask.excludes(n.worker.ID) {
			return i, true
		}
	}
	return 0, false
}
