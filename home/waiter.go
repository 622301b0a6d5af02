package home

import (
	"fuchsiacross/event"
	"fuchsiacross/model"
)

// WaiterKind is what a waiter waits for.
type WaiterKind uint8

// The kinds of waiters.
const (
	// WaitForOutcome waits for the final outcome.
	WaitForOutcome WaiterKind = iota + 1
	// WaitForAcceptance waits until the request is accepted.
	WaitForAcceptance
	// WaitForCancel waits for the result of a cancellation.
	WaitForCancel
)

// Waiter identifies a call that waits for an answer about a request. If Peer
// is empty it is a call of a client to this instance, identified by Token;
// otherwise it is a call of a peer, identified by Call.
type Waiter struct {
	Kind      WaiterKind
	Token     event.Token
	Peer      model.InstanceID
	Call      event.CallID
	IsForward bool // the peer sent event.Forward rather than a query
}

// SendOutcome answers the waiter with an outcome.
func (w Waiter) SendOutcome(emit func(event.Effect), o model.Outcome) {
	switch {
	case w.Peer == "":
		emit(event.Reply{Token: w.Token, Outcome: o})
	case w.IsForward:
		emit(event.SendPeer{To: w.Peer, Message: event.ForwardReply{Call: w.Call, Outcome: o}})
	default:
		emit(event.SendPeer{To: w.Peer, Message: event.OutcomeReply{Call: w.Call, Outcome: o}})
	}
}

// SendAcceptance notifies the waiter that the request is accepted. It reports
// whether that was the final answer to the waiter.
func (w Waiter) SendAcceptance(emit func(event.Effect), o model.Outcome) bool {
	if w.Peer != "" && w.IsForward {
		emit(event.SendPeer{To: w.Peer, Message: event.ForwardReply{Call: w.Call, Accepted: true, Outcome: o}})
		return false
	}
	if w.Kind != WaitForAcceptance {
		return false
	}
	w.SendOutcome(emit, o)
	return true
}

// Reject answers the waiter that its call is rejected. A query of a peer is
// answered as unavailable, without the code and the reason.
func (w Waiter) Reject(emit func(event.Effect), code event.Code, place, reason string) {
	switch {
	case w.Peer == "":
		emit(event.Reject{Token: w.Token, Code: code, Place: place, Reason: reason})
	case w.IsForward:
		emit(event.SendPeer{To: w.Peer, Message: event.ForwardReply{
			Call:     w.Call,
			Rejected: true,
			Code:     code,
			Place:    place,
			Reason:   reason,
		}})
	default:
		emit(event.SendPeer{To: w.Peer, Message: event.OutcomeReply{Call: w.Call, Unavailable: true}})
	}
}
