package worker

import (
	"context"
	"sync"

	"github.com/go-faster/errors"

	"fuchsiacross/event"
	"fuchsiacross/model"
)

// errClosed ends what is left when Close runs out of time.
var errClosed = errors.New("the instance closed before the worker answered")

// Client carries out the reducer's effects at workers.
type Client struct {
	options Options
	meter   *meter
	outbox  *outbox
	life    context.Context         // parent of every call and session
	stop    context.CancelCauseFunc // ends life

	mu       sync.Mutex
	sessions map[model.WorkerID]*session
	revision model.Revision // highest ever in force at this instance
	calls    int            // Run calls in flight
	closing  bool           // no new leases and starts
	quiet    chan struct{}  // closed when closing and no Run call is in flight
}

// New returns a client without leases.
func New(o Options) *Client {
	o = o.filled()
	life, stop := context.WithCancelCause(context.Background())
	return &Client{
		life:     life,
		stop:     stop,
		options:  o,
		meter:    newMeter(o.Metrics),
		outbox:   newOutbox(o.Post),
		sessions: map[model.WorkerID]*session{},
		quiet:    make(chan struct{}),
	}
}

// Apply carries out an effect and reports whether it is one for workers. It
// never blocks, and it never calls Post itself, so that the goroutine that
// drains the posted events may call it.
func (c *Client) Apply(e event.Effect) bool {
	switch e := e.(type) {
	case event.AcquireLease:
		c.acquire(e)
	case event.ReleaseLease:
		if s := c.session(e.Worker); s != nil {
			s.release(e.Term)
		}
	case event.StartTask:
		c.start(e)
	case event.StopTask:
		if s := c.session(e.Worker); s != nil {
			s.enqueue(stopToWire(e))
		}
	case event.ThrottleTask:
		if s := c.session(e.Worker); s != nil {
			s.enqueue(throttleToWire(e))
		}
	case event.FenceAttempt:
		if s := c.session(e.Worker); s != nil {
			s.fence(e.Attempt)
		}
	case event.AcknowledgeTask:
		if s := c.session(e.Worker); s != nil {
			s.acknowledge(e.Attempt)
		}
	default:
		return false
	}
	return true
}

// Close waits for Run calls in flight and then releases every lease. When ctx
// ends first, the remaining calls and sessions are cut off; their starts are
// reported as uncertain and their leases expire.
func (c *Client) Close(ctx context.Context) error {
	c.mu.Lock()
	if !c.closing {
		c.closing = true
		c.checkQuiet()
	}
	c.mu.Unlock()
	select {
	case <-c.quiet:
	case <-ctx.Done():
		c.stop(errClosed)
	}
	sessions := c.all()
	for _, s := range sessions {
		s.release(0)
	}
	for _, s := range sessions {
		select {
		case <-s.done:
		case <-ctx.Done():
			c.stop(errClosed)
			<-s.done
		}
	}
	<-c.quiet
	c.outbox.close()
	if context.Cause(c.life) != nil {
		return ctx.Err()
	}
	return nil
}

// inForce returns the highest document revision that has been in force, so that
// what workers hear never goes down.
func (c *Client) inForce() model.Revision {
	now := c.options.DocumentRevision()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.revision = max(c.revision, now)
	return c.revision
}

func (c *Client) acquire(e event.AcquireLease) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.revision = max(c.revision, e.Revision)
	if c.closing || c.sessions[e.Worker.ID] != nil {
		return
	}
	c.sessions[e.Worker.ID] = newSession(c, e.Worker)
}

func (c *Client) start(e event.StartTask) {
	s := c.session(e.Worker)
	reason := "no lease on the worker"
	if s != nil {
		reason = s.start(e)
	}
	if reason != "" {
		c.outbox.post(event.StartRefused{Worker: e.Worker, Attempt: e.Attempt, Reason: reason})
	}
}

func (c *Client) session(id model.WorkerID) *session {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.sessions[id]
}

func (c *Client) all() []*session {
	c.mu.Lock()
	defer c.mu.Unlock()
	sessions := make([]*session, 0, len(c.sessions))
	for _, s := range c.sessions {
		sessions = append(sessions, s)
	}
	return sessions
}

// remove forgets a session that has ended, so that the lease can be acquired
// again.
func (c *Client) remove(s *session) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.sessions[s.worker.ID] == s {
		delete(c.sessions, s.worker.ID)
	}
}

// beginCall counts a Run call unless the client is closing.
func (c *Client) beginCall() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing {
		return false
	}
	c.calls++
	return true
}

func (c *Client) endCall() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.calls--
	c.checkQuiet()
}

// checkQuiet closes quiet once the last call has ended after Close began.
func (c *Client) checkQuiet() {
	if !c.closing || c.calls > 0 {
		return
	}
	select {
	case <-c.quiet:
	default:
		close(c.quiet)
	}
}

func (c *Client) isClosing() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closing
}
