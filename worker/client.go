package worker

import (
	"context"
	"sync"

	"github.com/go-faster/errors"

	"fuchsiacross/event"
	"fuchsiacross/model"
)

// errClosed is the cancellation cause of calls and sessions that are still open
// when the context of Close ends.
var errClosed = errors.New("the instance closed before the worker answered")

// Client carries out the reducer's effects on workers. Its methods are safe for
// concurrent use.
type Client struct {
	options  Options
	counters *counters
	outbox   *outbox
	ctx      context.Context         // parent of every call and session stream
	cancel   context.CancelCauseFunc // cancels ctx

	mu              sync.Mutex
	sessions        map[model.WorkerID]*session
	highestRevision model.Revision // highest document revision seen in force
	activeCalls     int            // Run calls in flight
	closing         bool           // Close was called; no new leases or starts
	callsDone       chan struct{}  // closed when closing is set and no Run call is in flight
}

// New returns a client that holds no lease.
func New(o Options) *Client {
	o = o.withDefaults()
	ctx, cancel := context.WithCancelCause(context.Background())
	return &Client{
		ctx:       ctx,
		cancel:    cancel,
		options:   o,
		counters:  newCounters(o.Metrics),
		outbox:    newOutbox(o.Post),
		sessions:  map[model.WorkerID]*session{},
		callsDone: make(chan struct{}),
	}
}

// Apply carries out an effect and reports whether it is addressed to workers. It
// never blocks and never calls Options.Post directly, so the goroutine that
// consumes the posted events may call it.
func (c *Client) Apply(e event.Effect) bool {
	switch e := e.(type) {
	case event.AcquireLease:
		c.acquireLease(e)
	case event.ReleaseLease:
		if s := c.findSession(e.Worker); s != nil {
			s.requestRelease(e.Term)
		}
	case event.StartTask:
		c.startTask(e)
	case event.StopTask:
		if s := c.findSession(e.Worker); s != nil {
			s.queueCommand(stopToWire(e))
		}
	case event.ThrottleTask:
		if s := c.findSession(e.Worker); s != nil {
			s.queueCommand(throttleToWire(e))
		}
	case event.FenceAttempt:
		if s := c.findSession(e.Worker); s != nil {
			s.queueFence(e.Attempt)
		}
	case event.AcknowledgeTask:
		if s := c.findSession(e.Worker); s != nil {
			s.queueAcknowledgement(e.Attempt)
		}
	default:
		return false
	}
	return true
}

// Close waits for the Run calls in flight and then releases every lease. If ctx
// ends first, Close cancels the remaining calls and sessions and returns the
// error of ctx; their starts are reported as uncertain and their leases expire.
func (c *Client) Close(ctx context.Context) error {
	c.mu.Lock()
	if !c.closing {
		c.closing = true
		c.signalCallsDone()
	}
	c.mu.Unlock()
	select {
	case <-c.callsDone:
	case <-ctx.Done():
		c.cancel(errClosed)
	}
	sessions := c.listSessions()
	for _, s := range sessions {
		s.requestRelease(0)
	}
	for _, s := range sessions {
		select {
		case <-s.done:
		case <-ctx.Done():
			c.cancel(errClosed)
			<-s.done
		}
	}
	<-c.callsDone
	c.outbox.close()
	if context.Cause(c.ctx) != nil {
		return ctx.Err()
	}
	return nil
}

// updateHighestRevision updates and returns the highest document revision that has
// been in force at this instance, so that the revisions sent to workers never decrease.
func (c *Client) updateHighestRevision() model.Revision {
	current := c.options.DocumentRevision()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.highestRevision = max(c.highestRevision, current)
	return c.highestRevision
}

func (c *Client) acquireLease(e event.AcquireLease) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.highestRevision = max(c.highestRevision, e.Revision)
	if c.closing || c.sessions[e.Worker.ID] != nil {
		return
	}
	c.sessions[e.Worker.ID] = newSession(c, e.Worker)
}

func (c *Client) startTask(e event.StartTask) {
	s := c.findSession(e.Worker)
	reason := "no lease on the worker"
	if s != nil {
		reason = s.startTask(e)
	}
	if reason != "" {
		c.outbox.post(event.StartRefused{Worker: e.Worker, Attempt: e.Attempt, Reason: reason})
	}
}

func (c *Client) findSession(id model.WorkerID) *session {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.sessions[id]
}

func (c *Client) listSessions() []*session {
	c.mu.Lock()
	defer c.mu.Unlock()
	sessions := make([]*session, 0, len(c.sessions))
	for _, s := range c.sessions {
		sessions = append(sessions, s)
	}
	return sessions
}

// removeSession removes a session that has ended, so that the lease can be
// acquired again.
func (c *Client) removeSession(s *session) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.sessions[s.worker.ID] == s {
		delete(c.sessions, s.worker.ID)
	}
}

// beginCall counts a new Run call. It returns false if the client is closing.
func (c *Client) beginCall() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing {
		return false
	}
	c.activeCalls++
	return true
}

func (c *Client) endCall() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.activeCalls--
	c.signalCallsDone()
}

// signalCallsDone closes callsDone if the client is closing and no Run call is
// in flight. The caller holds c.mu.
func (c *Client) signalCallsDone() {
	if !c.closing || c.activeCalls > 0 {
		return
	}
	select {
	case <-c.callsDone:
	default:
		close(c.callsDone)
	}
}

func (c *Client) isClosing() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closing
}
