package tableservice

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"
)

// rateLimiter spaces calls evenly, with a burst of two.
type rateLimiter struct {
	perSecond int64

	mu   sync.Mutex
	next time.Time
}

// wait blocks until the next call may be made. The error is that of ctx if it ends
// first.
func (l *rateLimiter) wait(ctx context.Context) error {
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
