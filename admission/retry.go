package admission

import (
	"math"
	"time"
)

const (
	// retryHalfLifeSeconds is the time after which an attempt counts half.
	retryHalfLifeSeconds = 10
	// retryFloor is the number of recent retries that are allowed in any case,
	// so that a cell with little load can retry at all.
	retryFloor = 3
	// firstBackoff and maxBackoff bound the delay before a retry. The first is
	// of the order of one exchange between data centres under loss.
	firstBackoff = 20 * time.Millisecond
	maxBackoff   = 5 * time.Second
)

// RetryBudget limits retries to a share of recent first attempts, so that the
// loss of many workers at once leads to no storm of retries.
type RetryBudget struct {
	share   float64
	firsts  float64
	retries float64
	at      time.Time
}

// NewRetryBudget returns a budget of the given share of first attempts.
func NewRetryBudget(share float64) *RetryBudget { return &RetryBudget{share: share} }

// SetShare puts another share in force.
func (b *RetryBudget) SetFraction(share float64) { b.share = share }

// First counts a first attempt.
func (b *RetryBudget) RecordFirstAttempt(now time.Time) {
	b.decay(now)
	b.firsts++
}

// Allow counts a retry and returns true, or returns false when the budget is
// used up.
func (b *RetryBudget) AllowRetry(now time.Time) bool {
	b.decay(now)
	if b.retries+1 > b.share*b.firsts+retryFloor {
		return false
	}
	b.retries++
	return true
}

func (b *RetryBudget) decay(now time.Time) {
	if b.at.IsZero() {
		b.at = now
	}
	passed := now.Sub(b.at).Seconds()
	if passed <= 0 {
		return
	}
	factor := math.Exp2(-passed / retryHalfLifeSeconds)
	b.firsts *= factor
	b.retries *= factor
	b.at = now
}

// Backoff returns the delay before the given attempt, which is 2 or more for a
// retry. The delay doubles with each attempt up to a cap and is spread over the
// upper half by the random number.
func Backoff(attempt uint32, random uint64) time.Duration {
	full := maxBackoff
	if doublings := max(attempt, 2) - 2; doublings < 16 {
		full = min(firstBackoff<<doublings, maxBackoff)
	}
	half := full / 2
	return half + time.Duration(random%uint64(half+1))
}
