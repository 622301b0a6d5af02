package intake

import (
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/go-faster/errors"
)

const (
	// firstBufferBytes is the first size of a body's buffer. Later ones double it as bytes
	// arrive, so that a declared length alone costs nothing.
	firstBufferBytes = 4 << 10
	// wholeFactor is the memory of a whole request relative to its body: the body or the row
	// that is stored, and the decoded job.
	wholeFactor = 2
	// refusalRetryAfter is the Retry-After of refusals.
	refusalRetryAfter = time.Second
)

// Cause tells why a body was refused.
type Cause string

// The causes, as they appear in the names of metrics.
const (
	CauseBudget   Cause = "budget"    // more bytes than are left
	CauseEvicted  Cause = "evicted"   // incomplete when space ran out or the server stopped
	CauseTooSlow  Cause = "too_slow"  // it did not arrive in time
	CauseTooLarge Cause = "too_large" // above the limit of a body
)

// Refusal is the error of a body that is not kept. Its request has not run and never does.
type Refusal struct {
	Cause      Cause
	RetryAfter time.Duration
}

// CanDiscardRest reports whether the rest of the body may be read and dropped, so that its sender gets
// the response: the body was not refused for being slow.
func (r *Refusal) CanDiscardRest() bool { return r.Cause == CauseTooLarge || r.Cause == CauseBudget }

func (r *Refusal) Error() string {
	texts := []struct {
		cause Cause
		text  string
	}{
		{CauseBudget, "the instance has no memory left for the body"},
		{CauseEvicted, "the body was incomplete when the instance ran out of memory or connections, or stopped"},
		{CauseTooSlow, "the body did not arrive in time"},
	}
	for _, t := range texts {
		if t.cause == r.Cause {
			return t.text
		}
	}
	return "the body is too large"
}

// Budget bounds the bytes of the bodies of all connections. Its methods are safe for
// concurrent use.
type Budget struct {
	timeout   time.Duration
	OnRefused func(Cause) // may be nil; must not be changed after the first body

	mu       sync.Mutex
	ledger   *Ledger
	owners   map[*Body]*request // of incomplete bodies
	waiting  int                // bodies that wait for bytes
	released chan struct{}      // closed and replaced when bytes or waiting bodies are released
}

// NewBudget returns a budget for a number of bytes. A body may take at most the timeout.
func NewBudget(bytes int64, timeout time.Duration) *Budget {
	return &Budget{timeout: timeout, ledger: NewLedger(bytes), owners: map[*Body]*request{}, released: make(chan struct{})}
}

// Held returns the bytes held for bodies.
func (b *Budget) Held() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.ledger.Held()
}

// Received is a whole body that counts against a Budget until it is released.
type Received struct {
	Bytes  []byte
	budget *Budget
	kept   *Body
}

// Keep reduces what the body counts to n bytes, once its request takes no more.
func (r *Received) Keep(n int64) {
	if surplus := r.kept.held - n; surplus > 0 {
		r.budget.shrink(r.kept, surplus)
	}
}

// Release returns the bytes of the body to the budget. Further calls do nothing.
func (r *Received) Release() { r.budget.release(r.kept) }

// ReadBody reads the body of a request like Receive. The release function must be called when
// the request has been processed, also after an error.
func (b *Budget) ReadBody(w http.ResponseWriter, r *http.Request, limit int64, deadline time.Time) (body []byte, release func(), err error) {
	received, err := b.Receive(w, r, limit, deadline)
	if err != nil {
		return nil, func() {}, err
	}
	return received.Bytes, received.Release, nil
}

// Receive reads the body of a request, which may have up to limit bytes. It must be released when
// the request has been processed. The error is a *Refusal if the body is not kept.
func (b *Budget) Receive(w http.ResponseWriter, r *http.Request, limit int64, deadline time.Time) (*Received, error) {
	if r.ContentLength > limit {
		return nil, b.refuse(CauseTooLarge)
	}
	owner := requestOf(r)
	kept := b.open(owner, r.ContentLength)
	if kept == nil {
		return nil, b.refuse(CauseBudget)
	}
	deadline = earlier(deadline, time.Now().Add(b.timeout))
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(deadline)
	body, err := b.receive(kept, r.Body, r.ContentLength, limit, deadline)
	if err == nil {
		err = b.complete(kept, int64(len(body)), deadline)
	}
	if err != nil {
		// The bytes are released before the response is written: its client may not read it.
		b.release(kept)
		return nil, b.classify(kept, owner, err, deadline)
	}
	_ = control.SetReadDeadline(time.Time{})
	if owner != nil {
		owner.begin(PhaseServing)
	}
	return &Received{body, b, kept}, nil
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

func (b *Budget) refuse(cause Cause) error {
	if b.OnRefused != nil {
		b.OnRefused(cause)
	}
	return &Refusal{Cause: cause, RetryAfter: refusalRetryAfter}
}

// classify returns the error of a body that could not be read or kept.
func (b *Budget) classify(kept *Body, owner *request, err error, deadline time.Time) error {
	var refusal *Refusal
	b.mu.Lock()
	evicted := kept.evicted || owner != nil && owner.isInterrupted()
	b.mu.Unlock()
	switch {
	case evicted:
		return b.refuse(CauseEvicted)
	case errors.As(err, &refusal):
		return b.refuse(refusal.Cause)
	case !time.Now().Before(deadline):
		return b.refuse(CauseTooSlow)
	default:
		return err
	}
}

// receive reads a body into a buffer that grows with the bytes received.
func (b *Budget) receive(kept *Body, from io.Reader, declared, limit int64, deadline time.Time) ([]byte, error) {
	largest := limit + 1
	if declared >= 0 {
		largest = max(1, declared)
	}
	var buffer []byte
	for {
		if len(buffer) == cap(buffer) {
			if int64(len(buffer)) == largest {
				break
			}
			size := min(largest, max(firstBufferBytes, 2*int64(cap(buffer))))
			if err := b.grow(kept, size, deadline); err != nil {
				return nil, err
			}
			grown := make([]byte, len(buffer), size)
			copy(grown, buffer)
			b.shrink(kept, int64(cap(buffer)))
			buffer = grown
		}
		n, err := from.Read(buffer[len(buffer):cap(buffer)])
		buffer = buffer[:len(buffer)+n]
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return nil, err
		}
	}
	if int64(len(buffer)) > limit {
		return nil, &Refusal{Cause: CauseTooLarge}
	}
	return buffer, nil
}

func (b *Budget) open(owner *request, declared int64) *Body {
	b.mu.Lock()
	defer b.mu.Unlock()
	kept := b.ledger.Open(declared)
	if kept != nil {
		b.owners[kept] = owner
	}
	return kept
}

// grow waits until a body gets further bytes.
func (b *Budget) grow(kept *Body, n int64, deadline time.Time) error {
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	for {
		b.mu.Lock()
		verdict, evicted := b.ledger.Grow(kept, n)
		var owners []*request
		for _, victim := range evicted {
			if owner := b.owners[victim]; owner != nil {
				owners = append(owners, owner)
			}
		}
		if len(evicted) > 0 {
			b.notifyLocked()
		}
		released := b.released
		if verdict == Delayed {
			b.waiting++
		}
		b.mu.Unlock()
		for _, owner := range owners {
			owner.interrupt()
		}
		switch verdict {
		case Granted:
			return nil
		case Refused:
			return &Refusal{Cause: CauseBudget}
		case Delayed:
		}
		inTime := true
		select {
		case <-released:
		case <-timer.C:
			inTime = false
		}
		b.mu.Lock()
		b.waiting--
		b.mu.Unlock()
		if !inTime {
			return &Refusal{Cause: CauseBudget}
		}
	}
}

// complete keeps a body that has arrived until it is released.
func (b *Budget) complete(kept *Body, length int64, deadline time.Time) error {
	if err := b.grow(kept, (wholeFactor-1)*length, deadline); err != nil {
		return err
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.ledger.Complete(kept) {
		return &Refusal{Cause: CauseEvicted}
	}
	delete(b.owners, kept)
	return nil
}

func (b *Budget) shrink(kept *Body, n int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ledger.Shrink(kept, n)
	b.notifyLocked()
}

func (b *Budget) release(kept *Body) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ledger.Release(kept)
	delete(b.owners, kept)
	b.notifyLocked()
}

// notifyLocked wakes the bodies that wait for bytes. b.mu must be held.
func (b *Budget) notifyLocked() {
	if b.waiting == 0 {
		return
	}
	close(b.released)
	b.released = make(chan struct{})
}

const (
	// A client that is still sending when its connection is closed gets a reset instead of the
	// response. So much of a refused body is read and dropped, for so long at most.
	maxDiscardedBytes = 256 << 10
	discardTimeout    = 500 * time.Millisecond
)

// PrepareRefusal has the connection of a request whose body was not kept closed after the
// response, since the body may not have been read to its end. A stream of HTTP/2 ends by itself.
func PrepareRefusal(w http.ResponseWriter, r *http.Request, err error) {
	if r.ProtoMajor >= http2Major {
		return
	}
	var refusal *Refusal
	w.Header().Set("Connection", "close")
	if errors.As(err, &refusal) && refusal.CanDiscardRest() && r.Header.Get("Expect") == "" {
		_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(discardTimeout))
		_, _ = io.CopyN(io.Discard, r.Body, maxDiscardedBytes)
	}
}
