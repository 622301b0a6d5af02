// Package storebudget limits the calls of an instance to the store while the store refuses calls
// beyond a rate.
//
// The rates of the store hold for all instances together, which do not know each other's calls.
// Calls beyond them are refused whatever they are for, so that requests could take the place of
// the leader's row and of the configuration. A Budget therefore holds back the calls of requests:
// its rate falls while the store refuses a notable fraction of the calls, and rises again while it
// does not. A busy partition of the store also refuses calls, but few of all. Without refusals
// there is no limit.
//
// # Usage
//
//	var b storebudget.Budget
//	if !b.Take(time.Now()) {
//		// The store would refuse the call.
//	}
//	b.RecordAnswer(time.Now(), throttled)
package storebudget

import (
	"sync"
	"time"
)

const (
	// reduction is the factor by which the rate falls after each adjustInterval in which more than
	// maxRefused of the answers were refusals, growth the one by which it rises after each other.
	reduction      = 0.9
	growth         = 1.05
	adjustInterval = 200 * time.Millisecond
	maxRefused     = 0.05
	// A limit begins when limitRefused of the answers of an interval are refusals, and at least
	// minRefusals.
	limitRefused = 0.15
	minRefusals  = 3
	// maxExcess times the calls that are made bounds the rate, so that it does not rise unused.
	maxExcess = 2
	// minRate is the lowest rate, in calls a second: enough to learn that the store accepts calls
	// again.
	minRate = 5
	// burst is the time for which unused calls are kept.
	burst = 100 * time.Millisecond
	// releaseTime without too many refusals ends the limit.
	releaseTime = 3 * time.Second
	// shutTime is how long the store may accept none of the calls that it answers before it counts
	// as refusing this instance alone.
	shutTime = 500 * time.Millisecond
)

// Budget is the limit of the calls of one kind. The zero value has no limit. Its methods are safe
// for concurrent use.
type Budget struct {
	mu         sync.Mutex
	rate       float64 // calls a second; zero means no limit
	tokens     float64
	filledAt   time.Time
	adjustedAt time.Time // beginning of the interval
	answers    float64   // in the interval
	refusals   float64   // among them
	refusedAt  time.Time // end of the last interval with too many refusals
	acceptedAt time.Time // last answer that was no refusal
	second     int64     // Unix time in which calls are counted
	calls      float64   // in this second
	callsPrior float64   // in the second before
}

// Take reports whether a call may be made now, and counts it.
func (b *Budget) Take(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	if b.rate > 0 {
		if b.tokens < 1 {
			return false
		}
		b.tokens--
	}
	b.calls++
	return true
}

// RecordAnswer records an answer of the store, and whether it refused the call because of too many
// calls. Calls that the budget does not limit count too.
func (b *Budget) RecordAnswer(now time.Time, throttled bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	b.answers++
	if !throttled {
		b.acceptedAt = now
		return
	}
	b.refusals++
	if b.rate == 0 && b.refusals >= minRefusals && b.refusals >= limitRefused*b.answers {
		b.rate, b.refusedAt = max(minRate, reduction*b.currentRate(now)), now
		b.tokens, b.filledAt = 1, now
		b.beginInterval(now)
	}
}

// beginInterval begins an interval in which answers are counted.
func (b *Budget) beginInterval(now time.Time) { b.adjustedAt, b.answers, b.refusals = now, 0, 0 }

// IsLimited reports whether the store has recently refused too many calls.
func (b *Budget) IsLimited(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	return b.rate > 0
}

// IsShut reports whether the store refuses all calls of this instance. It may accept those of
// others.
func (b *Budget) IsShut(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	return b.rate > 0 && now.Sub(b.acceptedAt) > shutTime
}

// currentRate returns the calls a second that were made of late.
func (b *Budget) currentRate(now time.Time) float64 {
	fraction := now.Sub(time.Unix(b.second, 0)).Seconds()
	return b.calls + (1-fraction)*b.callsPrior
}

// advance brings the counts, the rate and the tokens up to a time. The caller holds the mutex.
func (b *Budget) advance(now time.Time) {
	switch second := now.Unix(); {
	case second == b.second+1:
		b.second, b.calls, b.callsPrior = second, 0, b.calls
	case second != b.second:
		b.second, b.calls, b.callsPrior = second, 0, 0
	}
	if now.Sub(b.adjustedAt) >= adjustInterval {
		switch {
		case b.rate == 0:
		case b.refusals > maxRefused*b.answers:
			b.rate, b.refusedAt = max(minRate, reduction*b.rate), now
		default:
			b.rate = max(minRate, min(growth*b.rate, maxExcess*b.currentRate(now)))
		}
		b.beginInterval(now)
	}
	if b.rate > 0 && now.Sub(b.refusedAt) > releaseTime {
		b.rate = 0
	}
	if b.rate == 0 {
		return
	}
	b.tokens = min(max(1, b.rate*burst.Seconds()), b.tokens+now.Sub(b.filledAt).Seconds()*b.rate)
	b.filledAt = now
}
