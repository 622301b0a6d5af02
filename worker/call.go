package worker

import (
	"context"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"fuchsiacross/event"
	"fuchsiacross/model"
	"fuchsiacross/workerv1"
)

var errAnswerDeadline = errors.New("no answer before the deadline of the request")

// call is one unary Run call to a worker's runner.
type call struct {
	session         *session
	attempt         model.Attempt
	answerDeadline  time.Time
	start           *workerv1.Start
	dictionary      *dictionary // of the term in which the task was started; guarded by session.mu
	connection      *connection
	ctx             context.Context
	cancel          context.CancelCauseFunc
	mayHaveBeenSent atomic.Bool // set once a connection was available for the request
	answered        atomic.Bool // the start has been answered
}

// startCall runs a call in a new goroutine. The caller has counted the call with
// Client.beginCall and holds session.mu.
func startCall(s *session, e event.StartTask) *call {
	c := &call{
		session:        s,
		attempt:        e.Attempt,
		answerDeadline: e.AnswerBy,
		start:          s.dictionary.encodeStart(e),
		dictionary:     s.dictionary,
		connection:     s.pool.checkOut(),
	}
	c.ctx, c.cancel = context.WithCancelCause(s.callsCtx)
	go func() {
		defer s.client.endCall()
		defer s.pool.checkIn(c.connection)
		defer c.removeFromSession()
		defer c.cancel(nil)
		c.run()
	}()
	return c
}

// removeFromSession removes the call from the running calls of its session.
func (c *call) removeFromSession() {
	c.session.mu.Lock()
	defer c.session.mu.Unlock()
	delete(c.session.runningCalls, c.attempt)
}

// run makes the call and answers the start. It enforces the deadline with a
// timer instead of a context deadline, because the connect library would send
// the latter as a header that differs from call to call.
func (c *call) run() {
	if !c.answerDeadline.IsZero() {
		timer := time.AfterFunc(time.Until(c.answerDeadline), func() { c.cancel(errAnswerDeadline) })
		defer timer.Stop()
	}
	traced := httptrace.WithClientTrace(c.ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) {
			c.mayHaveBeenSent.Store(true)
			c.session.client.counters.messagesSent.Inc(1)
		},
	})
	reply, err := c.connection.client.Run(traced, &workerv1.RunRequest{Start: c.start})
	if err == nil {
		c.session.client.counters.messagesReceived.Inc(1)
		c.handleReply(reply)
		return
	}
	if cause := context.Cause(c.ctx); cause != nil {
		err = cause
	}
	if c.mayHaveBeenSent.Load() {
		c.reportUncertain(err.Error())
		return
	}
	c.reportRefused(err.Error())
}

// handleReply answers the start according to the reply. A reply for another
// attempt leaves the start uncertain.
func (c *call) handleReply(reply *workerv1.RunReply) {
	switch r := reply.GetReply().(type) {
	case *workerv1.RunReply_Refused:
		if !c.matches(r.Refused.GetAttempt(), r.Refused.GetTag()) {
			c.reportUncertain("the worker replied for another attempt")
			return
		}
		c.reportRefused(r.Refused.GetReason())
	case *workerv1.RunReply_Finished:
		if !c.matches(r.Finished.GetAttempt(), r.Finished.GetTag()) {
			c.reportUncertain("the worker replied for another attempt")
			return
		}
		result, damage := finishedResultFromWire(r.Finished)
		if damage != "" {
			c.session.client.recordDamagedAnswer(c.session.worker.ID, c.attempt, damage)
			c.reportUncertain(damage)
			return
		}
		c.deliverResult(result, r.Finished.GetStopped())
	default:
		c.reportUncertain("the worker's reply is empty")
	}
}

// matches reports whether a reply has the tag of this call or, without a tag,
// names its attempt.
func (c *call) matches(a *workerv1.Attempt, tag uint64) bool {
	if tag != 0 {
		return tag == c.start.GetTag()
	}
	return attemptFromWire(a) == c.attempt
}

// deliverResult answers the start with the result of the task, which can arrive
// both in the reply and through the session. It returns false if the start was
// already answered.
func (c *call) deliverResult(result model.TaskResult, stopped bool) bool {
	if !c.answered.CompareAndSwap(false, true) {
		return false
	}
	s := c.session
	s.mu.Lock()
	c.dictionary.confirmProfile(c.start.GetTag())
	s.unacknowledgedResults[c.attempt] = true
	s.mu.Unlock()
	s.post(event.TaskStarted{Worker: s.worker.ID, Attempt: c.attempt})
	s.post(event.TaskFinished{Worker: s.worker.ID, Attempt: c.attempt, Result: result, Stopped: stopped})
	c.cancel(nil)
	return true
}

func (c *call) reportUncertain(reason string) {
	if c.answered.CompareAndSwap(false, true) {
		c.session.post(event.StartUncertain{Worker: c.session.worker.ID, Attempt: c.attempt, Reason: reason})
	}
}

func (c *call) reportRefused(reason string) {
	if !c.answered.CompareAndSwap(false, true) {
		return
	}
	c.session.mu.Lock()
	c.dictionary.removeAttempt(c.attempt)
	c.session.mu.Unlock()
	c.session.post(event.StartRefused{Worker: c.session.worker.ID, Attempt: c.attempt, Reason: reason})
}
