package admission

import (
	"math"
	"time"
)

const (
	// retryHalfLifeSeconds is the half-life of the weight of an attempt.
	retryHalfLifeSeconds = 10
	// minRetries is the number of recent retries that are allowed in any case, so that
	// a cell with little load can retry at all.
	minRetries = 3
	// initialBackoff and maxBackoff are the first and the largest delay before a
	// retry, before random jitter. initialBackoff is about the duration of one
	// exchange between data centres under packet loss.
	initialBackoff = 20 * time.Millisecond
	maxBackoff     = 5 * time.Second
)

// RetryBudget limits retries to a fraction of the recent first attempts, so that the
// loss of many workers at once causes no retry storm. Older attempts count with
// exponentially decaying weight.
type RetryBudget struct {
	fraction      float64
	firstAttempts float64
	retries       float64
	decayedAt     time.Time
}

// NewRetryBudget returns a budget of the given fraction of first attempts.
func NewRetryBudget(fraction float64) *RetryBudget { return &RetryBudget{fraction: fraction} }

// SetFraction replaces the fraction.
func (b *RetryBudget) SetFraction(fraction float64) { b.fraction = fraction }

// RecordFirstAttempt counts a first attempt.
func (b *RetryBudget) RecordFirstAttempt(now time.Time) {
	b.decay(now)
	b.firstAttempts++
}

// AllowRetry counts a retry and returns true, or returns false if the budget is used
// up.
func (b *RetryBudget) AllowRetry(now time.Time) bool {
	b.decay(now)
	if b.retries+1 > b.fraction*b.firstAttempts+minRetries {
		return false
	}
	b.retries++
	return true
}

// decay decays the counts for the time since the last call.
func (b *RetryBudget) decay(now time.Time) {
	if b.decayedAt.IsZero() {
		b.decayedAt = now
	}
	elapsedSeconds := now.Sub(b.decayedAt).Seconds()
	if elapsedSeconds <= 0 {
		return
	}
	factor := math.Exp2(-elapsedSeconds / retryHalfLifeSeconds)
	b.firstAttempts *= factor
	b.retries *= factor
	b.decayedAt = now
}

// Backoff returns the delay before the given attempt, which is 2 or more for a retry.
// The delay doubles with each attempt up to maxBackoff. The random number adds jitter:
// the result lies between half of the delay and the delay.
func Backoff(attempt uint32, random uint64) time.Duration {
	full := maxBackoff
	if doublings := max(attempt, 2) - 2; doublings < 16 {
		full = min(initialBackoff<<doublings, maxBackoff)
	}
	half := full / 2
	return half + time.Duration(random%uint64(half+1))
}
