package worker

import (
	"context"
	"fmt"
	"sync"
	"time"

	"go.uber.org/zap"

	"fuchsiacross/event"
	"fuchsiacross/logevent"
	"fuchsiacross/model"
	"fuchsiacross/workerv1"
)

const (
	// maxQueuedCommands limits the commands that wait for the stream of a
	// session. 256 starts are several times what a worker can run at once.
	maxQueuedCommands = 256
	// renewalsPerLease is the number of renewals within the duration of a lease.
	renewalsPerLease = 3
	// minRetryDelayMilliseconds and maxRetryDelayMilliseconds bound the
	// exponential backoff between attempts to open a broken session again. The
	// first attempt follows at once.
	minRetryDelayMilliseconds = int64(20)
	maxRetryDelayMilliseconds = int64(500)
	// maxPendingAcknowledgements limits the acknowledgements that wait to be
	// sent. The worker reports a result whose acknowledgement was dropped again
	// with the next grant.
	maxPendingAcknowledgements = 4096
)

// session maintains the lease on one worker over a sequence of streams.
type session struct {
	client                *Client
	worker                model.Worker
	pool                  *connectionPool
	callsCtx              context.Context // parent of the Run calls
	cancelCalls           context.CancelCauseFunc
	commands              chan *workerv1.Command
	acknowledgementsReady chan struct{} // signalled by the first pending acknowledgement
	releaseRequested      chan struct{} // closed by requestRelease
	done                  chan struct{} // closed when the session has ended

	mu                      sync.Mutex
	open                    bool       // a stream is open and has the lease
	term                    model.Term // of the latest grant; 0 before the first
	leaseExpiry             time.Time  // by the local clock
	released                bool
	staleRelease            bool                   // a release named another term than the current one
	dictionary              *dictionary            // of the current term
	pendingStarts           map[model.Attempt]bool // starts without an answer; true once sent
	runningCalls            map[model.Attempt]*call
	pendingAcknowledgements []model.Attempt        // attempts whose acknowledgement waits to be sent
	unacknowledgedResults   map[model.Attempt]bool // Run calls whose result was posted and not acknowledged
	damagedResults          map[model.Attempt]bool // damaged in a grant; requested again by fences
}

// newSession starts a goroutine that acquires the lease and maintains it until
// it is lost or released.
func newSession(c *Client, worker model.Worker) *session {
	s := &session{
		client:                c,
		worker:                worker,
		pool:                  newConnectionPool(c.options, c.counters, worker),
		commands:              make(chan *workerv1.Command, maxQueuedCommands),
		acknowledgementsReady: make(chan struct{}, 1),
		releaseRequested:      make(chan struct{}),
		done:                  make(chan struct{}),
		dictionary:            newDictionary(),
		pendingStarts:         map[model.Attempt]bool{},
		runningCalls:          map[model.Attempt]*call{},
		unacknowledgedResults: map[model.Attempt]bool{},
		damagedResults:        map[model.Attempt]bool{},
	}
	s.callsCtx, s.cancelCalls = context.WithCancelCause(c.ctx)
	go func() {
		defer close(s.done)
		lastEvent := s.maintainLease()
		s.pool.close()
		c.removeSession(s)
		if lastEvent != nil {
			c.outbox.post(lastEvent)
		}
	}()
	return s
}

// requestRelease ends the session and releases the lease. Another term than the
// current one means that the reducer has not yet seen the current grant; it then
// receives LeaseLost after that grant. Term 0 stands for the current term.
func (s *session) requestRelease(term model.Term) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.staleRelease = s.staleRelease || term != 0 && term != s.term
	if !s.released {
		s.released = true
		s.open = false
		close(s.releaseRequested)
	}
}

// startTask queues the start of a task, or begins a Run call for a request. It
// returns the reason if the start is refused, or an empty string.
func (s *session) startTask(e event.StartTask) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.released:
		return "lease is released"
	case !s.open:
		return "session with the worker is down"
	case e.Term != s.term:
		return fmt.Sprintf("term %d is not the current term %d", e.Term, s.term)
	}
	_, isPending := s.pendingStarts[e.Attempt]
	if isPending || s.runningCalls[e.Attempt] != nil {
		return "" // duplicate: the answer to the first start is enough
	}
	if e.Request.Kind == model.KindRequest {
		if !s.client.beginCall() {
			return "instance is closing"
		}
		s.runningCalls[e.Attempt] = startCall(s, e)
		return ""
	}
	if s.client.isClosing() {
		return "instance is closing"
	}
	command := &workerv1.Command{Command: &workerv1.Command_Start{Start: s.dictionary.encodeStart(e)}}
	select {
	case s.commands <- command:
		s.pendingStarts[e.Attempt] = false
		return ""
	default:
		s.dictionary.removeAttempt(e.Attempt)
		return "session queue is full"
	}
}

// queueCommand queues a command that the reducer repeats if it is lost. It drops
// the command if no stream is open or the queue is full.
func (s *session) queueCommand(command *workerv1.Command) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.open {
		return
	}
	select {
	case s.commands <- command:
	default:
		logevent.WorkerQueueFull.Log(s.client.options.Log, zap.String("worker", string(s.worker.ID)))
	}
}

// queueAcknowledgement queues an acknowledgement, which is sent after a delay
// together with others.
func (s *session) queueAcknowledgement(a model.Attempt) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.unacknowledgedResults, a)
	if !s.open || len(s.pendingAcknowledgements) >= maxPendingAcknowledgements {
		return
	}
	s.pendingAcknowledgements = append(s.pendingAcknowledgements, a)
	if len(s.pendingAcknowledgements) == 1 {
		select {
		case s.acknowledgementsReady <- struct{}{}:
		default:
		}
	}
}

func (s *session) queueFence(a model.Attempt) {
	s.mu.Lock()
	term := s.term
	s.mu.Unlock()
	s.queueCommand(fenceToWire(term, a))
}

// maintainLease runs one stream after the other until the lease is denied, lost
// or released. It returns the last event of the session, or nil.
func (s *session) maintainLease() event.Event {
	retryDelay := milliseconds(minRetryDelayMilliseconds)
	for {
		openedAt := time.Now()
		result := newStream(s).run()
		s.abortPending(result.reason)
		switch {
		case result.denied != nil && s.currentTerm() == 0:
			return *result.denied
		case result.leaseLost:
			return s.leaseLostEvent(result.reason)
		case s.isReleased():
			return s.staleReleaseEvent()
		case s.currentTerm() == 0:
			return s.leaseLostEvent(result.reason)
		}
		if result.granted {
			retryDelay = milliseconds(minRetryDelayMilliseconds)
			if time.Since(openedAt) > retryDelay {
				continue
			}
		}
		if !s.waitForRetry(retryDelay) {
			continue
		}
		retryDelay = min(2*retryDelay, milliseconds(maxRetryDelayMilliseconds))
		if remaining := time.Until(s.currentLeaseExpiry()); remaining <= 0 {
			s.cancelCalls(fmt.Errorf("lease on the worker expired: %s", result.reason))
			return s.leaseLostEvent("lease expired: " + result.reason)
		}
	}
}

// waitForRetry waits for the given time, or until the lease expires or the
// client is cancelled. It returns false if the session is released meanwhile.
func (s *session) waitForRetry(delay time.Duration) bool {
	timer := time.NewTimer(min(delay, time.Until(s.currentLeaseExpiry())))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-s.client.ctx.Done():
		return true
	case <-s.releaseRequested:
		return false
	}
}

func (s *session) leaseLostEvent(reason string) event.Event {
	return event.LeaseLost{Worker: s.worker.ID, Term: s.currentTerm(), Reason: reason}
}

func (s *session) staleReleaseEvent() event.Event {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.staleRelease {
		return nil
	}
	return event.LeaseLost{Worker: s.worker.ID, Term: s.term, Reason: "released by an older term"}
}

// abortPending answers the pending starts of a stream that has ended: queued
// starts are refused, since they were never sent, and sent ones are uncertain.
// Other commands are dropped; the reducer repeats them after the next grant,
// which lists the tasks that the worker holds.
func (s *session) abortPending(reason string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.open = false
	for queued := true; queued; {
		select {
		case <-s.commands:
		default:
			queued = false
		}
	}
	for attempt, sent := range s.pendingStarts {
		if sent {
			s.post(event.StartUncertain{Worker: s.worker.ID, Attempt: attempt, Reason: reason})
		} else {
			s.post(event.StartRefused{Worker: s.worker.ID, Attempt: attempt, Reason: reason})
		}
	}
	clear(s.pendingStarts)
	clear(s.damagedResults)
	s.pendingAcknowledgements = nil
}

func (s *session) post(e event.Event) { s.client.outbox.post(e) }

func (s *session) currentTerm() model.Term {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.term
}

func (s *session) currentLeaseExpiry() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.leaseExpiry
}

func (s *session) isReleased() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.released
}
