// Package operatorfeed observes how an instance follows the operator's configuration: when it
// was last confirmed, and why no confirmation arrives.
//
// A configuration is confirmed as of the time at which a reading of it was sent that has been
// answered. Readings are answered by the store or, in its place, by another instance that the
// store answers. A Watch also measures how late the process runs its goroutines, since a
// process without processor time cannot handle an answer that has arrived.
//
// # Usage
//
//	w := operatorfeed.NewWatch(time.Now())
//	w.RecordCall(call)              // each call to the store
//	w.RecordReading(sentAt, now)    // each answered one, after it was applied
//	if w.IsOverdue(now, limit) { ... }
//	if report, due := w.Report(now, limit); due { ... }
package operatorfeed

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"fuchsiacross/platform/store"
)

// reportInterval is the least time between two reports.
const reportInterval = time.Second

// Cause is the reason why a call to the store brought no answer.
type Cause string

// Causes of failed calls.
const (
	Throttled    Cause = "throttled"     // the store refuses calls beyond a rate
	Refused      Cause = "refused"       // the store is unavailable, by its own answer
	Unconnected  Cause = "unconnected"   // the call got no connection
	Unwritten    Cause = "unwritten"     // the call was not sent on its connection
	Unanswered   Cause = "unanswered"    // the call was sent and not answered
	AnsweredLate Cause = "answered_late" // the answer began to arrive, but was not complete in time
	Failed       Cause = "failed"        // any other error
)

// CauseOf returns why a call failed, and an empty cause for one that was answered.
func CauseOf(c store.FeedCall) Cause {
	switch {
	case c.Err == nil || errors.Is(c.Err, store.ErrHistoryGone):
		return ""
	case errors.Is(c.Err, store.ErrThrottled):
		return Throttled
	case errors.Is(c.Err, store.ErrRefused):
		return Refused
	case c.ConnectedAt.IsZero():
		return Unconnected
	case c.WrittenAt.IsZero():
		return Unwritten
	case c.AnsweredAt.IsZero():
		return Unanswered
	case errors.Is(c.Err, context.DeadlineExceeded):
		return AnsweredLate
	}
	return Failed
}

// Report describes a configuration whose reading is overdue.
type Report struct {
	AnsweredAt  time.Time     // last answer of the store
	LongestWake time.Duration // longest delay of a goroutine since the last answer
	Failures    map[Cause]int // failed calls since the last answer
}

// Watch holds the state of the readings of one instance. Its methods are safe for concurrent
// use.
type Watch struct {
	startedAt time.Time

	mu               sync.Mutex
	answeredAt       time.Time // last answer of the store
	storeConfirmedAt time.Time // when the latest reading that the store answered was sent
	relayConfirmedAt time.Time // when the latest request that another instance confirmed was sent
	failures         map[Cause]int
	longestWake      time.Duration
	reportedAt       time.Time
	overdue          bool // a report was made since the last answer
}

// NewWatch returns the state of an instance that starts to read the configuration.
func NewWatch(now time.Time) *Watch {
	return &Watch{startedAt: now, answeredAt: now, failures: map[Cause]int{}}
}

// RecordCall records the outcome of a call to the store.
func (w *Watch) RecordCall(c store.FeedCall) {
	cause := CauseOf(c)
	if cause == "" {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.failures[cause]++
}

// RecordReading records that the store has answered a reading, whose rows were applied. It
// returns the answer before, and whether a report was made since then.
func (w *Watch) RecordReading(sentAt, now time.Time) (previousAt time.Time, wasOverdue bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	previousAt, wasOverdue = w.answeredAt, w.overdue
	w.answeredAt, w.storeConfirmedAt, w.overdue = now, sentAt, false
	w.failures, w.longestWake = map[Cause]int{}, 0
	return previousAt, wasOverdue
}

// RecordRelay records that another instance has confirmed the configuration in answer to a
// request.
func (w *Watch) RecordRelay(sentAt time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.relayConfirmedAt = sentAt
}

// RecordWake records how late a goroutine ran.
func (w *Watch) RecordWake(late time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.longestWake = max(w.longestWake, late)
}

// IsOverdue reports whether the store has not answered for as long as a limit.
func (w *Watch) IsOverdue(now time.Time, limit time.Duration) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return now.Sub(w.answeredAt) >= limit
}

// StoreConfirmedAt returns as of when the store has confirmed the configuration.
func (w *Watch) StoreConfirmedAt() time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.storeConfirmedAt
}

// ConfirmedAt returns as of when the configuration is confirmed, by the store or by another
// instance.
func (w *Watch) ConfirmedAt() time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.relayConfirmedAt.After(w.storeConfirmedAt) {
		return w.relayConfirmedAt
	}
	return w.storeConfirmedAt
}

// Unconfirmed returns the time since the configuration was confirmed, or since the instance has
// started if it never was.
func (w *Watch) Unconfirmed(now time.Time) time.Duration {
	if at := w.ConfirmedAt(); !at.IsZero() {
		return now.Sub(at)
	}
	return now.Sub(w.startedAt)
}

// Report returns a report if the store has not answered for as long as a limit and no report
// was made recently.
func (w *Watch) Report(now time.Time, limit time.Duration) (Report, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if now.Sub(w.answeredAt) < limit || now.Sub(w.reportedAt) < reportInterval {
		return Report{}, false
	}
	w.reportedAt, w.overdue = now, true
	r := Report{AnsweredAt: w.answeredAt, LongestWake: w.longestWake, Failures: map[Cause]int{}}
	for cause, n := range w.failures {
		r.Failures[cause] = n
	}
	return r, true
}
