// Package storehealth infers from the outcomes of calls to the store whether further calls
// are worth trying.
//
// # Usage
//
//	var h storehealth.Health
//	defer h.BeginCall(time.Now())()
//	changed := h.Observe(time.Now(), answered)
//	if h.IsUnavailable(time.Now(), answerTimeout) { ... }
package storehealth

import (
	"sync"
	"time"
)

const (
	// failureThreshold is the number of consecutive failures after which the store counts
	// as unavailable. The calls that follow the configuration detect its recovery.
	failureThreshold = 3
	// openCallTimeoutFactor times the answer timeout is how long a call may be open, with
	// no other call answered in that time, before the store counts as unavailable.
	openCallTimeoutFactor = 2
	// throttledTime is how long the store may refuse calls because of their number, without any
	// other answer, before such calls count as failures.
	throttledTime = time.Second
)

// Health holds the state of the store as seen in the latest calls. The zero value has seen
// no call and counts as available. Its methods are safe for concurrent use.
type Health struct {
	mu                  sync.Mutex
	lastAnswerAt        time.Time
	consecutiveFailures int
	openCalls           map[*time.Time]struct{}
}

// Observe records whether a call was answered, and reports whether this made the store
// unavailable or available again.
func (h *Health) Observe(now time.Time, answered bool) (changed bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if answered {
		changed = h.consecutiveFailures >= failureThreshold
		h.consecutiveFailures, h.lastAnswerAt = 0, now
		return changed
	}
	h.consecutiveFailures++
	return h.consecutiveFailures == failureThreshold
}

// ObserveThrottled records that the store refused a call because of too many calls, and reports
// whether this made the store unavailable. A store that accepts other calls is available.
func (h *Health) ObserveThrottled(now time.Time) (changed bool) {
	h.mu.Lock()
	recent := now.Sub(h.lastAnswerAt) < throttledTime
	h.mu.Unlock()
	return !recent && h.Observe(now, false)
}

// BeginCall registers an open call, which a working store answers at once. The returned
// function ends it.
func (h *Health) BeginCall(now time.Time) func() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.openCalls == nil {
		h.openCalls = map[*time.Time]struct{}{}
	}
	h.openCalls[&now] = struct{}{}
	return func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		delete(h.openCalls, &now)
	}
}

// IsUnavailable reports whether the store is expected not to answer a call now. The
// answerTimeout is the time within which the store usually answers.
func (h *Health) IsUnavailable(now time.Time, answerTimeout time.Duration) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.consecutiveFailures >= failureThreshold {
		return true
	}
	for began := range h.openCalls {
		if limit := openCallTimeoutFactor * answerTimeout; now.Sub(*began) > limit && now.Sub(h.lastAnswerAt) > limit {
			return true
		}
	}
	return false
}

// FailureDuration returns the time since the last answered call, or zero if the latest call
// was answered. Before the first answer it counts from the zero time.
func (h *Health) FailureDuration(now time.Time) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.consecutiveFailures == 0 {
		return 0
	}
	return now.Sub(h.lastAnswerAt)
}
