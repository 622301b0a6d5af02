package entry

import (
	"maps"
	"slices"
	"time"

	"fuchsiacross/event"
	"fuchsiacross/home"
	"fuchsiacross/membership"
	"fuchsiacross/model"
)

const (
	// The delay before a call is retried whose home has moved or is unavailable
	// starts at minRetryDelay and doubles up to maxRetryDelay.
	minRetryDelay = 50 * time.Millisecond
	maxRetryDelay = time.Second
	// answerTimeout is how long a status or cancel call may take, and how long a
	// submission may stay unanswered after its deadline.
	answerTimeout = 5 * time.Second
	// outcomeTimeout is how long a status call may wait for an outcome. Services
	// run for months, and their callers may wait as long.
	outcomeTimeout = 366 * 24 * time.Hour
	// An unanswered message is sent again, because its receiver may have been
	// replaced by a new process of the same name. The delay starts at
	// minResendDelay and doubles up to maxResendDelay.
	minResendDelay = time.Second
	maxResendDelay = 30 * time.Second
)

// Options configures a Table.
type Options struct {
	Self    model.InstanceID // this instance
	Members *membership.View
	HomeOf  func(model.RequestID) model.InstanceID // preferred home of a request, empty if there is none
	// HandleLocal handles a call whose home is this instance.
	HandleLocal func(now time.Time, c Call)
	NextCall    func() event.CallID // returns a new call identifier
	Random      func() uint64
	Emit        func(event.Effect)
}

// CallKind is the operation of a call.
type CallKind uint8

// The kinds of calls.
const (
	SubmitCall CallKind = iota + 1
	StatusCall
	CancelCall
)

// Call is a client's call about a journaled request. The home of a request is
// the instance that decides about it.
type Call struct {
	Kind      CallKind
	Waiter    home.Waiter
	RequestID model.RequestID
	Request   *model.Request // for SubmitCall only
}

// pendingCall is a call that has been sent to another instance or waits for a
// retry.
type pendingCall struct {
	Call
	callID      event.CallID
	destination model.InstanceID // empty while the call waits for a retry
	retryAt     time.Time        // while destination is empty
	retries     uint32           // of the call, to any home
	resendAt    time.Time        // while destination is set
	resends     uint32           // of the message to the current destination
	accepted    bool             // the home has accepted the submission
	expiresAt   time.Time        // when the call is ended without an answer
}

// Table keeps the calls that are sent to another instance or wait for a
// retry. It is not safe for concurrent use.
type Table struct {
	opts       Options
	calls      map[event.CallID]*pendingCall
	nextScanAt time.Time
}

// scanInterval is the time between two scans of the pending calls.
const scanInterval = 25 * time.Millisecond

// New returns a Table without calls.
func New(opts Options) *Table {
	return &Table{opts: opts, calls: map[event.CallID]*pendingCall{}}
}

// Route sends a call to the home of its request. If that is this instance,
// the call is handled here.
func (t *Table) Route(now time.Time, c Call) {
	t.sendToHome(now, &pendingCall{Call: c, expiresAt: expiryOf(now, c)})
}

// expiryOf returns when a call is ended without an answer. A caller that
// waits for the outcome of a request usually ends the call itself.
func expiryOf(now time.Time, c Call) time.Time {
	switch {
	case c.Kind == SubmitCall:
		return c.Request.Deadline.Add(answerTimeout)
	case c.Kind == StatusCall && c.Waiter.Kind == home.WaitForOutcome:
		return now.Add(outcomeTimeout)
	default:
		return now.Add(answerTimeout)
	}
}

// Reroute retries the calls of a request whose home has just changed. Calls
// of peers are rejected instead, since the peer retries them.
func (t *Table) Reroute(now time.Time, r *model.Request, waiters []home.Waiter) {
	for _, w := range waiters {
		if w.Peer != "" {
			w.Reject(t.opts.Emit, event.CodeUnavailable, "", "the home of the request has changed")
			continue
		}
		kind := SubmitCall
		if w.Kind == home.WaitForCancel {
			kind = CancelCall
		}
		c := Call{Kind: kind, Waiter: w, RequestID: r.ID, Request: r}
		t.scheduleRetry(now, &pendingCall{Call: c, expiresAt: r.Deadline.Add(answerTimeout)})
	}
}

// sendToHome sends a call to the preferred home of its request, or handles it
// here. If there is no home, the call is retried later.
func (t *Table) sendToHome(now time.Time, p *pendingCall) {
	destination := t.opts.HomeOf(p.RequestID)
	if destination == "" {
		t.scheduleRetry(now, p)
		return
	}
	if destination == t.opts.Self {
		t.opts.HandleLocal(now, p.Call)
		return
	}
	p.callID = t.opts.NextCall()
	p.destination = destination
	p.resends = 0
	p.resendAt = now.Add(minResendDelay)
	t.calls[p.callID] = p
	t.opts.Emit(event.SendPeer{To: destination, Message: t.callMessage(p)})
	if p.Kind == SubmitCall {
		t.opts.Emit(event.Trace{Kind: event.TraceForwarded, Request: p.RequestID, Peer: destination, Detail: "to its home"})
	}
}

// callMessage returns the message that carries a call.
func (t *Table) callMessage(p *pendingCall) event.Message {
	switch {
	case p.Kind == SubmitCall && p.accepted:
		// The home has the request, so its body need not be sent again.
		return event.StatusQuery{Call: p.callID, Request: p.RequestID, Wait: true}
	case p.Kind == StatusCall:
		return event.StatusQuery{Call: p.callID, Request: p.RequestID, Wait: p.Waiter.Kind == home.WaitForOutcome}
	case p.Kind == CancelCall:
		return event.CancelQuery{Call: p.callID, Request: p.RequestID}
	default:
		return event.Forward{Call: p.callID, Request: p.Request, Hops: 1, ToHome: true}
	}
}

// scheduleRetry keeps a call until its next retry. The delay is jittered
// between half and one and a half of its value.
func (t *Table) scheduleRetry(now time.Time, p *pendingCall) {
	delay := min(minRetryDelay<<min(p.retries, 8), maxRetryDelay)
	p.retries++
	p.destination = ""
	p.retryAt = now.Add(delay/2 + time.Duration(t.opts.Random()%uint64(delay)))
	p.callID = t.opts.NextCall()
	t.calls[p.callID] = p
}

// HandleForwardReply handles the answer to a forwarded submission. It returns
// false if the call does not belong to this table.
func (t *Table) HandleForwardReply(now time.Time, from model.InstanceID, m event.ForwardReply) bool {
	p, ok := t.calls[m.Call]
	if !ok || p.destination != from {
		return ok
	}
	switch {
	case m.Accepted:
		p.accepted = true
		if p.Waiter.SendAcceptance(t.opts.Emit, m.Outcome) {
			delete(t.calls, m.Call)
		}
	case m.Rejected && m.Code == event.CodeUnavailable && now.Before(p.Request.Deadline):
		delete(t.calls, m.Call)
		t.scheduleRetry(now, p)
	case m.Rejected:
		delete(t.calls, m.Call)
		p.Waiter.Reject(t.opts.Emit, m.Code, m.Place, m.Reason)
	default:
		delete(t.calls, m.Call)
		p.Waiter.SendOutcome(t.opts.Emit, m.Outcome)
	}
	return true
}

// HandleOutcomeReply handles the answer to a status or cancel query. It
// returns false if the call does not belong to this table.
func (t *Table) HandleOutcomeReply(now time.Time, from model.InstanceID, m event.OutcomeReply) bool {
	p, ok := t.calls[m.Call]
	if !ok || p.destination != from {
		return ok
	}
	delete(t.calls, m.Call)
	if m.Unavailable {
		t.scheduleRetry(now, p)
		return true
	}
	p.Waiter.SendOutcome(t.opts.Emit, m.Outcome)
	return true
}

// HandleCallAbandoned drops the calls of a caller that no longer waits. The
// request itself continues.
func (t *Table) HandleCallAbandoned(token event.Token) {
	for id, p := range t.calls {
		if p.Waiter.Peer == "" && p.Waiter.Token == token {
			delete(t.calls, id)
		}
	}
}

// PendingCount returns the number of calls that are sent to another instance
// or wait for a retry.
func (t *Table) PendingCount() int { return len(t.calls) }

// Step retries calls that are due or whose home is no longer live, resends
// unanswered messages and ends expired calls.
func (t *Table) Step(now time.Time) {
	if now.Before(t.nextScanAt) {
		return
	}
	t.nextScanAt = now.Add(scanInterval)
	for _, id := range slices.Sorted(maps.Keys(t.calls)) {
		p := t.calls[id]
		switch {
		case now.After(p.expiresAt):
			delete(t.calls, id)
			t.expireCall(p)
		case p.destination == "":
			if !now.Before(p.retryAt) {
				delete(t.calls, id)
				t.sendToHome(now, p)
			}
		case !t.opts.Members.IsLive(p.destination) && t.opts.HomeOf(p.RequestID) != p.destination:
			delete(t.calls, id)
			t.sendToHome(now, p)
		case !now.Before(p.resendAt):
			p.resends++
			p.resendAt = now.Add(min(minResendDelay<<min(p.resends, 8), maxResendDelay))
			t.opts.Emit(event.SendPeer{To: p.destination, Message: t.callMessage(p)})
		}
	}
}

// expireCall answers a caller whose call has expired. A submission that a
// home may have accepted is answered with StatusUnknown, any other call is
// rejected as unavailable.
func (t *Table) expireCall(p *pendingCall) {
	if p.Kind == SubmitCall && (p.accepted || p.retries == 0) {
		p.Waiter.SendOutcome(t.opts.Emit, model.Outcome{
			Status: model.StatusUnknown,
			Reason: "the home of the request did not answer in time; ask for its status",
		})
		return
	}
	p.Waiter.Reject(t.opts.Emit, event.CodeUnavailable, "", "the home of the request cannot be reached; ask again with the same identifier")
}
