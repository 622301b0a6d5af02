package tableservice

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/go-faster/errors"
)

// probeInterval is the smallest time between calls of an instance while the
// platform fails, so that it makes at most 2.5 calls/s. The first call that
// succeeds ends the limit.
const probeInterval = 400 * time.Millisecond

// errPlatformFailing means that a call was not made because the platform fails and
// the call could not be permitted within its maximum wait.
var errPlatformFailing = errors.New("the platform is failing; the call was not made")

// circuitBreaker limits the calls of an instance while the platform fails: from a
// failed call until the next successful one. Meanwhile it lets single reads through
// as probes.
type circuitBreaker struct {
	mu        sync.Mutex
	failing   bool
	nextProbe time.Time          // when the next probe may be made while failing
	recovered chan struct{}      // closed when the platform recovers
	onChange  func(failing bool) // called with mu held when failing changes; may be nil
}

// waitForCall waits for at most maxWait until a call may be made, and returns
// errPlatformFailing if it may not. While the platform fails, only reads are
// permitted: a write without an answer has to be resolved and would hold its records
// until the platform recovers.
func (b *circuitBreaker) waitForCall(ctx context.Context, maxWait time.Duration, read bool) error {
	wait, recovered, err := b.reserveCall(maxWait, read)
	if err != nil || recovered == nil {
		return err
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		if !read {
			return errPlatformFailing
		}
		return nil
	case <-recovered:
		return nil
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "wait for the platform")
	}
}

// reserveCall returns how long a call has to wait and a channel that ends the wait
// early. The channel is nil if the call may be made at once. For a read it reserves
// the next probe.
func (b *circuitBreaker) reserveCall(maxWait time.Duration, read bool) (time.Duration, <-chan struct{}, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.failing {
		return 0, nil, nil
	}
	if !read {
		return maxWait, b.recovered, nil
	}
	now := time.Now()
	at := b.nextProbe
	if at.Before(now) {
		at = now
	}
	wait := at.Sub(now)
	if wait > maxWait {
		return 0, nil, errPlatformFailing
	}
	b.nextProbe = at.Add(withJitter(probeInterval))
	return wait, b.recovered, nil
}

// notifyChange calls onChange. b.mu must be held.
func (b *circuitBreaker) notifyChange(failing bool) {
	if b.onChange != nil {
		b.onChange(failing)
	}
}

// recordCall updates the breaker after a call. answered is false if the platform could
// not serve the call.
func (b *circuitBreaker) recordCall(answered bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	switch {
	case answered && b.failing:
		b.failing = false
		close(b.recovered)
		b.notifyChange(false)
	case !answered && !b.failing:
		b.failing = true
		b.notifyChange(true)
		b.nextProbe = time.Now().Add(withJitter(probeInterval))
		b.recovered = make(chan struct{})
	}
}

// withJitter returns a random duration between d and 1.5 d, so that instances whose
// calls failed at the same time do not retry at the same time.
func withJitter(d time.Duration) time.Duration {
	return d + rand.N(d/2+1)
}
