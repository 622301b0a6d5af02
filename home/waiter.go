package home

import (
	"fuchsiacross/event"
	"fuchsiacross/model"
)

// WaiterKind says which call a waiter made.
type WaiterKind uint8

// The kinds of waiters.
const (
	// WaitOutcome wants the final outcome.
	WaitForOutcome WaiterKind = iota + 1
	// WaitAccepted wants to hear that the request is accepted.
	WaitForAcceptance
	// WaitCancel wants to hear what became of a cancellation.
	WaitForCancel
)

// Waiter is somebody who waits for news of a request: a call of this instance
// when Peer is empty, else a call of a peer.
type Waiter struct {
	Kind      WaiterKind
	Token     event.Token
	Peer      model.InstanceID
	Call      event.CallID
	IsForward bool // the peer's call is Forward rather than a query
}

// Outcome answers the waiter.
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

// Accepted tells the waiter that the request is accepted. It reports whether
// the waiter is content with that.
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

// Reject refuses the waiter's call.
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
