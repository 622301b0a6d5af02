package tableservice

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/go-faster/errors"
)

// probeInterval separates the calls of an instance while the platform fails:
// 2.5 calls/s, of which the first to succeed ends the limit.
const probeInterval = 400 * time.Millisecond

// errGated means that a call was not made, because the platform fails and too
// many other calls wait to try it.
var errGated = errors.New("the platform is failing; the call was not made")

// gate limits the calls of an instance while the platform fails. It is open
// until a call fails and again once one has succeeded.
type gate struct {
	mu      sync.Mutex
	failing bool
	next    time.Time     // when the next call may be made while failing
	open    chan struct{} // closed when the gate opens
	changed func(failing bool)
}

// enter waits for the permission to make a call, for at most patience. It
// returns errGated when that is not long enough. Only reads may be made while
// the platform fails: a write without an answer has to be resolved, and would
// keep its records until the platform returns.
func (g *gate) enter(ctx context.Context, patience time.Duration, read bool) error {
	wait, open, err := g.reserve(patience, read)
	if err != nil || open == nil {
		return err
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		if !read {
			return errGated
		}
		return nil
	case <-open:
		return nil
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "wait for the platform")
	}
}

// reserve returns how long to wait, and a channel that ends the wait or nil when
// the gate is open.
func (g *gate) reserve(patience time.Duration, read bool) (time.Duration, <-chan struct{}, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.failing {
		return 0, nil, nil
	}
	if !read {
		return patience, g.open, nil
	}
	now := time.Now()
	at := g.next
	if at.Before(now) {
		at = now
	}
	wait := at.Sub(now)
	if wait > patience {
		return 0, nil, errGated
	}
	g.next = at.Add(jitter(probeInterval))
	return wait, g.open, nil
}

func (g *gate) note(failing bool) {
	if g.changed != nil {
		g.changed(failing)
	}
}

// report records whether the platform answered a call.
func (g *gate) report(answered bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case answered && g.failing:
		g.failing = false
		close(g.open)
		g.note(false)
	case !answered && !g.failing:
		g.failing = true
		g.note(true)
		g.next = time.Now().Add(jitter(probeInterval))
		g.open = make(chan struct{})
	}
}

// jitter returns a time between d and 1.5 d, so that instances whose calls
// failed together do not repeat them together.
func jitter(d time.Duration) time.Duration {
	return d + rand.N(d/2+1)
}
