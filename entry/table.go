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
	// firstRepeat is the wait before a call is repeated after its home moved;
	// it doubles up to repeatLimit.
	firstRepeat = 50 * time.Millisecond
	repeatLimit = time.Second
	// answerLimit is how long a status or cancel call may take, and how long a
	// submission may go on without an answer after its deadline.
	answerLimit = 5 * time.Second
	// waitLimit is how long a status call may wait for an outcome. Services run
	// for months, and their callers may wait as long.
	waitLimit = 366 * 24 * time.Hour
	// firstResend is the wait before a message without an answer is sent again,
	// because its receiver may have been replaced under its name; it doubles up
	// to resendLimit.
	firstResend = time.Second
	resendLimit = 30 * time.Second
)

// Options configure a Table.
type Options struct {
	Self    model.InstanceID
	Members *membership.View
	HomeOf  func(model.RequestID) model.InstanceID
	// Here carries out a call whose home is this instance.
	HandleLocal func(now time.Time, c Call)
	NextCall    func() event.CallID
	Random      func() uint64
	Emit        func(event.Effect)
}

// Kind says what a call asks.
type CallKind uint8

// The kinds of calls.
const (
	SubmitCall CallKind = iota + 1
	StatusCall
	CancelCall
)

// Call is a call about a journaled request.
type Call struct {
	Kind      CallKind
	Waiter    home.Waiter
	RequestID model.RequestID
	Request   *model.Request // Submit only
}

type pending struct {
	Call
	id       event.CallID
	to       model.InstanceID // empty while the call waits to be repeated
	repeatAt time.Time
	repeats  uint32
	resendAt time.Time // while to is set
	resends  uint32    // of the message to the present home
	accepted bool
	endAt    time.Time
}

// Table keeps the calls that wait for another instance.
type Table struct {
	o     Options
	calls map[event.CallID]*pending
	next  time.Time
}

// scanInterval is the time between scans of the waiting calls.
const scanInterval = 25 * time.Millisecond

// New returns an empty Table.
func New(o Options) *Table {
	return &Table{o: o, calls: map[event.CallID]*pending{}}
}

// Open sends a call towards the home of its request. A call for which this
// instance is the home is carried out here.
func (t *Table) Route(now time.Time, c Call) {
	t.send(now, &pending{Call: c, endAt: endOf(now, c)})
}

// endOf returns when a call is ended without an answer. A caller that waits for
// the outcome of a request ends the call itself.
func endOf(now time.Time, c Call) time.Time {
	switch {
	case c.Kind == SubmitCall:
		return c.Request.Deadline.Add(answerLimit)
	case c.Kind == StatusCall && c.Waiter.Kind == home.WaitForOutcome:
		return now.Add(waitLimit)
	default:
		return now.Add(answerLimit)
	}
}

// Moved takes over a submission whose home has just changed.
func (t *Table) Reroute(now time.Time, r *model.Request, waiters []home.Waiter) {
	for _, w := range waiters {
		if w.Peer != "" {
			w.Reject(t.o.Emit, event.CodeUnavailable, "", "the home of the request has changed")
			continue
		}
		kind := SubmitCall
		if w.Kind == home.WaitForCancel {
			kind = CancelCall
		}
		c := Call{Kind: kind, Waiter: w, RequestID: r.ID, Request: r}
		t.delay(now, &pending{Call: c, endAt: r.Deadline.Add(answerLimit)})
	}
}

func (t *Table) send(now time.Time, p *pending) {
	to := t.o.HomeOf(p.RequestID)
	if to == "" {
		t.delay(now, p)
		return
	}
	if to == t.o.Self {
		t.o.HandleLocal(now, p.Call)
		return
	}
	p.id = t.o.NextCall()
	p.to = to
	p.resends = 0
	p.resendAt = now.Add(firstResend)
	t.calls[p.id] = p
	t.o.Emit(event.SendPeer{To: to, Message: t.message(p)})
	if p.Kind == SubmitCall {
		t.o.Emit(event.Trace{Kind: event.TraceForwarded, Request: p.RequestID, Peer: to, Detail: "to its home"})
	}
}

func (t *Table) message(p *pending) event.Message {
	switch {
	case p.Kind == SubmitCall && p.accepted:
		// The home has the request, so its body need not be sent again.
		return event.StatusQuery{Call: p.id, Request: p.RequestID, Wait: true}
	case p.Kind == StatusCall:
		return event.StatusQuery{Call: p.id, Request: p.RequestID, Wait: p.Waiter.Kind == home.WaitForOutcome}
	case p.Kind == CancelCall:
		return event.CancelQuery{Call: p.id, Request: p.RequestID}
	default:
		return event.Forward{Call: p.id, Request: p.Request, Hops: 1, ToHome: true}
	}
}

// delay keeps a call until it is repeated.
func (t *Table) delay(now time.Time, p *pending) {
	wait := min(firstRepeat<<min(p.repeats, 8), repeatLimit)
	p.repeats++
	p.to = ""
	p.repeatAt = now.Add(wait/2 + time.Duration(t.o.Random()%uint64(wait)))
	p.id = t.o.NextCall()
	t.calls[p.id] = p
}

// Reply takes the answer to a forwarded submission. It returns false when the
// call is not of this table.
func (t *Table) HandleForwardReply(now time.Time, from model.InstanceID, m event.ForwardReply) bool {
	p, ok := t.calls[m.Call]
	if !ok || p.to != from {
		return ok
	}
	switch {
	case m.Accepted:
		p.accepted = true
		if p.Waiter.SendAcceptance(t.o.Emit, m.Outcome) {
			delete(t.calls, m.Call)
		}
	case m.Rejected && m.Code == event.CodeUnavailable && now.Before(p.Request.Deadline):
		delete(t.calls, m.Call)
		t.delay(now, p)
	case m.Rejected:
		delete(t.calls, m.Call)
		p.Waiter.Reject(t.o.Emit, m.Code, m.Place, m.Reason)
	default:
		delete(t.calls, m.Call)
		p.Waiter.SendOutcome(t.o.Emit, m.Outcome)
	}
	return true
}

// Outcome takes the answer to a status or cancel query. It returns false when
// the call is not of this table.
func (t *Table) HandleOutcomeReply(now time.Time, from model.InstanceID, m event.OutcomeReply) bool {
	p, ok := t.calls[m.Call]
	if !ok || p.to != from {
		return ok
	}
	delete(t.calls, m.Call)
	if m.Unavailable {
		t.delay(now, p)
		return true
	}
	p.Waiter.SendOutcome(t.o.Emit, m.Outcome)
	return true
}

// CallerGone drops the calls of a caller that no longer waits. The request
// itself goes on.
func (t *Table) HandleCallAbandoned(token event.Token) {
	for id, p := range t.calls {
		if p.Waiter.Peer == "" && p.Waiter.Token == token {
			delete(t.calls, id)
		}
	}
}

// Waiting returns the number of calls that wait for another instance.
func (t *Table) PendingCount() int { return len(t.calls) }

// Step repeats calls whose time has come or whose home is no longer live, and
// ends those whose time is over.
func (t *Table) Step(now time.Time) {
	if now.Before(t.next) {
		return
	}
	t.next = now.Add(scanInterval)
	for _, id := range slices.Sorted(maps.Keys(t.calls)) {
		p := t.calls[id]
		switch {
		case now.After(p.endAt):
			delete(t.calls, id)
			t.end(p)
		case p.to == "":
			if !now.Before(p.repeatAt) {
				delete(t.calls, id)
				t.send(now, p)
			}
		case !t.o.Members.IsLive(p.to) && t.o.HomeOf(p.RequestID) != p.to:
			delete(t.calls, id)
			t.send(now, p)
		case !now.Before(p.resendAt):
			p.resends++
			p.resendAt = now.Add(min(firstResend<<min(p.resends, 8), resendLimit))
			t.o.Emit(event.SendPeer{To: p.to, Message: t.message(p)})
		}
	}
}

// end answers a caller whose request has no known outcome.
func (t *Table) end(p *pending) {
	if p.Kind == SubmitCall && (p.accepted || p.repeats == 0) {
		p.Waiter.SendOutcome(t.o.Emit, model.Outcome{
			Status: model.StatusUnknown,
			Reason: "the home of the request did not answer in time; ask for its status",
		})
		return
	}
	p.Waiter.Reject(t.o.Emit, event.CodeUnavailable, "", "the home of the request cannot be reached; ask again with the same identifier")
}
