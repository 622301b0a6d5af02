package worker

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"time"

	"connectrpc.com/connect"
	"github.com/go-faster/errors"

	"fuchsiacross/event"
	"fuchsiacross/model"
	"fuchsiacross/workerv1"
)

const (
	// acknowledgementDelayMilliseconds is how long an acknowledgement waits for
	// others that go into the same message. The delay only makes the worker keep
	// a result longer.
	acknowledgementDelayMilliseconds = int64(100)
)

// cancelTimeoutMilliseconds is how long a cancelled stream may take to end. A
// write that is blocked by a broken network path does not return when the stream
// is cancelled, so after this time the connection is closed.
const cancelTimeoutMilliseconds = int64(100)

var (
	errResponseTimeout = errors.New("the worker did not answer in time")
	errStreamEnded     = errors.New("the stream has ended")
)

// streamResult describes how a stream ended.
type streamResult struct {
	granted   bool               // the lease was granted on this stream
	leaseLost bool               // the lease is known to have ended
	denied    *event.LeaseDenied // set if another holder has the lease
	reason    string
}

// stream is one bidirectional stream of a session.
type stream struct {
	session        *session
	ctx            context.Context
	cancel         context.CancelCauseFunc
	connection     *connection
	messages       *connect.BidiStreamForClientSimple[workerv1.Command, workerv1.Report]
	leaseDuration  time.Duration     // granted by the worker
	renewalPending bool              // a renewal is not yet answered; guarded by session.mu
	watchdog       *time.Timer       // cancels the stream if the worker does not answer in time
	receiveResult  chan streamResult // gets the result of receiveReports
}

func newStream(s *session) *stream {
	st := &stream{session: s, receiveResult: make(chan streamResult, 1)}
	st.ctx, st.cancel = context.WithCancelCause(s.client.ctx)
	st.leaseDuration = milliseconds(s.client.options.LeaseMilliseconds)
	st.watchdog = time.AfterFunc(st.responseTimeout(), func() { st.cancel(errResponseTimeout) })
	return st
}

// responseTimeout returns how long the worker may take to answer. A third of the
// lease leaves time to open a new stream before the lease expires.
func (st *stream) responseTimeout() time.Duration { return st.leaseDuration / renewalsPerLease }

// run acquires the lease and sends commands until the stream ends.
func (st *stream) run() streamResult {
	defer st.cancel(errStreamEnded)
	defer st.watchdog.Stop()
	s := st.session
	if s.isReleased() {
		return streamResult{reason: "lease is released"}
	}
	st.connection = s.pool.replaceAll()
	ended := make(chan struct{})
	defer close(ended)
	context.AfterFunc(st.ctx, func() { st.closeIfHung(ended) })
	messages, err := st.connection.client.Session(st.ctx)
	if err != nil {
		return st.transportFailure(err)
	}
	st.messages = messages
	sentAt := time.Now()
	// A failed send ends the stream; Receive returns the reason.
	_ = st.send(acquireToWire(s))
	report, err := messages.Receive()
	if err != nil {
		return st.transportFailure(err)
	}
	s.client.counters.messagesReceived.Inc(1)
	switch r := report.GetReport().(type) {
	case *workerv1.Report_Denied:
		return st.handleDenied(r.Denied)
	case *workerv1.Report_Granted:
		st.handleGranted(r.Granted, sentAt)
	default:
		return streamResult{reason: "the worker answered acquire with something else"}
	}
	go func() { st.receiveResult <- st.receiveReports() }()
	result := st.sendCommands()
	result.granted = true
	return result
}

// closeIfHung closes the connection of a cancelled stream that does not end
// within cancelTimeoutMilliseconds.
func (st *stream) closeIfHung(ended <-chan struct{}) {
	timer := time.NewTimer(milliseconds(cancelTimeoutMilliseconds))
	defer timer.Stop()
	select {
	case <-ended:
	case <-timer.C:
		st.connection.close()
	}
}

// transportFailure returns the result of a stream that ended with a transport
// error or was cancelled.
func (st *stream) transportFailure(err error) streamResult {
	if cause := context.Cause(st.ctx); cause != nil {
		err = cause
	}
	return streamResult{reason: err.Error()}
}

func (st *stream) handleDenied(d *workerv1.Denied) streamResult {
	until := time.Now().Add(milliseconds(d.GetRemainingMilliseconds()))
	return streamResult{
		leaseLost: st.session.currentTerm() != 0,
		reason:    fmt.Sprintf("lease is held by %q", d.GetHolder()),
		denied: &event.LeaseDenied{
			Worker: st.session.worker.ID,
			Holder: model.InstanceID(d.GetHolder()),
			Until:  until,
		},
	}
}

// handleGranted opens the session and posts LeaseGranted with the tasks that the
// worker holds. A task with a damaged result is reported as running until the
// result has been fetched again.
func (st *stream) handleGranted(g *workerv1.Granted, sentAt time.Time) {
	s := st.session
	st.watchdog.Stop()
	if g.GetLeaseMilliseconds() > 0 {
		st.leaseDuration = milliseconds(g.GetLeaseMilliseconds())
	}
	e := event.LeaseGranted{
		Worker:      s.worker,
		Term:        model.Term(g.GetTerm()),
		Incarnation: model.Incarnation(g.GetIncarnation()),
		Capacity:    resourcesFromWire(g.GetCapacity()),
		Revision:    model.Revision(g.GetDocumentRevision()),
		Leaving:     g.GetLeaving(),
	}
	if g.GetDataCentre() != "" {
		e.Worker.DataCentre = model.DataCentre(g.GetDataCentre())
	}
	if g.GetRack() != "" {
		e.Worker.Rack = model.Rack(g.GetRack())
	}
	var damaged []model.Attempt
	for _, task := range g.GetTasks() {
		report, damage := reportFromWire(task)
		if damage != "" {
			s.client.recordDamagedAnswer(s.worker.ID, report.Attempt, damage)
			report.State = model.TaskRunning
			damaged = append(damaged, report.Attempt)
		}
		e.Tasks = append(e.Tasks, report)
	}
	s.mu.Lock()
	s.term = e.Term
	s.dictionary = newDictionary()
	s.leaseExpiry = sentAt.Add(st.leaseDuration)
	s.open = !s.released
	for _, a := range damaged {
		s.damagedResults[a] = true
	}
	s.mu.Unlock()
	s.post(e)
	for _, a := range damaged {
		s.queueFence(a)
	}
	for _, report := range e.Tasks {
		if report.State == model.TaskFinished || report.State == model.TaskStopped {
			s.deliverCallResult(report.Attempt, report.Result, report.State == model.TaskStopped)
		}
	}
}

// sendCommands sends commands, acknowledgements and renewals until the stream
// ends.
func (st *stream) sendCommands() streamResult {
	renewals := time.NewTicker(st.responseTimeout())
	defer renewals.Stop()
	acknowledgements := time.NewTimer(time.Hour)
	acknowledgements.Stop()
	defer acknowledgements.Stop()
	for {
		select {
		case result := <-st.receiveResult:
			return result
		case command := <-st.session.commands:
			st.sendQueued(command)
		case <-st.session.acknowledgementsReady:
			acknowledgements.Reset(milliseconds(acknowledgementDelayMilliseconds))
		case <-acknowledgements.C:
			st.sendAcknowledgements()
		case <-renewals.C:
			st.renewLease()
		case <-st.session.releaseRequested:
			return st.releaseLease()
		}
	}
}

// renewLease extends the lease. The watchdog cancels the stream if no answer
// comes. While an answer is missing, no further renewal is sent, because it
// would reset the watchdog.
func (st *stream) renewLease() {
	s := st.session
	s.mu.Lock()
	if st.renewalPending {
		s.mu.Unlock()
		return
	}
	st.renewalPending = true
	st.watchdog.Reset(st.responseTimeout())
	s.leaseExpiry = time.Now().Add(st.leaseDuration)
	term := s.term
	damaged := slices.Collect(maps.Keys(s.damagedResults))
	s.mu.Unlock()
	_ = st.send(renewToWire(term, s.client.updateHighestRevision()))
	for _, a := range damaged {
		_ = st.send(fenceToWire(term, a))
	}
}

// releaseLease sends the queued commands and the release, and waits until the
// worker ends the stream.
func (st *stream) releaseLease() streamResult {
	// The watchdog cannot limit this wait: a late answer to a renewal stops it.
	timeout := time.AfterFunc(st.responseTimeout(), func() { st.cancel(errResponseTimeout) })
	defer timeout.Stop()
	for queued := true; queued; {
		select {
		case command := <-st.session.commands:
			st.sendQueued(command)
		default:
			queued = false
		}
	}
	st.sendAcknowledgements()
	_ = st.send(releaseToWire(st.session.currentTerm()))
	_ = st.messages.CloseRequest()
	result := <-st.receiveResult
	return streamResult{reason: "lease was released: " + result.reason}
}

// sendAcknowledgements sends the pending acknowledgements in one message.
func (st *stream) sendAcknowledgements() {
	s := st.session
	s.mu.Lock()
	attempts := s.pendingAcknowledgements
	s.pendingAcknowledgements = nil
	command := s.dictionary.buildAcknowledgement(attempts)
	s.mu.Unlock()
	if len(attempts) > 0 {
		_ = st.send(command)
	}
}

// sendQueued sends a command from the queue. It marks a start as sent before any
// part of it can be sent.
func (st *stream) sendQueued(command *workerv1.Command) {
	if start := command.GetStart(); start != nil {
		st.session.mu.Lock()
		st.session.pendingStarts[attemptFromWire(start.GetAttempt())] = true
		st.session.mu.Unlock()
	}
	_ = st.send(command)
}

// send writes a command. Callers may ignore the error: it ends the stream, and
// the receiving side reports the reason.
func (st *stream) send(command *workerv1.Command) error {
	err := st.messages.Send(command)
	if err == nil {
		st.session.client.counters.messagesSent.Inc(1)
	}
	return err
}
