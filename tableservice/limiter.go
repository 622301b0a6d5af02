package tableservice

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"
)

// limiter spaces calls evenly. Two calls may follow each other at once.
type limiter struct {
	perSecond int64

	mu   sync.Mutex
	next time.Time
}

// wait waits until the next call may be made.
func (l *limiter) wait(ctx context.Context) error {
	l.mu.Lock()
	now := time.Now()
	interval := time.Second / time.Duration(l.perSecond)
	if earliest := now.Add(-2 * interval); l.next.Before(earliest) {
		l.next = earliest
	}
	l.next = l.next.Add(interval)
	wait := l.next.Sub(now)
	l.mu.Unlock()
	if wait <= 0 {
		return nil
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "wait for the object limit")
	}
}
