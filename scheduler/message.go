package scheduler

import (
	"time"

	"fuchsiacross/event"
	"fuchsiacross/home"
	"fuchsiacross/model"
)

// handlePeerMessage processes a message from a peer.
func (r *Reducer) handlePeerMessage(now time.Time, from model.InstanceID, m event.Message) {
	switch m := m.(type) {
	case event.Heartbeat:
		r.members.ReceiveHeartbeat(now, m)
	case event.Forward:
		r.handleForward(now, from, m)
	case event.ForwardReply:
		if !r.entries.HandleForwardReply(now, from, m) {
			r.homes.HandleForwardReply(now, m)
		}
	case event.Reserve:
		r.emit(event.SendPeer{To: from, Message: r.handleReserve(now, from, m)})
	case event.Reserved:
		r.homes.HandleReserved(now, from, m)
	case event.Confirm:
		r.leases.ConfirmForPeer(from, m)
	case event.ReleaseReservation:
		r.leases.ReleaseForPeer(from, m.Call)
		r.homes.ScheduleDispatch()
	case event.StatusQuery, event.CancelQuery:
		r.handlePeerQuery(now, from, m)
	case event.OutcomeReply:
		r.entries.HandleOutcomeReply(now, from, m)
	default:
		r.handleAttemptMessage(now, from, m)
	}
}

// handleAttemptMessage processes a peer's message about attempts.
func (r *Reducer) handleAttemptMessage(now time.Time, from model.InstanceID, m event.Message) {
	switch m := m.(type) {
	case event.AttemptUpdate:
		r.homes.HandleAttemptUpdate(now, from, m)
	case event.AttemptAck:
		r.leases.AcknowledgeAttempt(m.Worker, m.Attempt)
	case event.StopAttempt:
		r.leases.StopAttempt(m.Worker, m.Attempt, m.Checkpoint)
	case event.FenceQuery:
		r.leases.FenceAttempt(now, from, m.Worker, m.WorkerIncarnation, m.Attempt)
	case event.FenceReply:
		r.homes.HandleFenceReply(now, from, m)
	case event.RunningQuery:
		r.emit(event.SendPeer{To: from, Message: event.RunningReply{
			Partition: m.Partition,
			Tasks:     r.leases.RunningAttempts(func(id model.RequestID) bool { return r.homes.IsInPartition(id, m.Partition) }),
		}})
	case event.RunningReply:
		r.homes.HandleRunningReply(now, from, m)
	}
}

func (r *Reducer) handleForward(now time.Time, from model.InstanceID, m event.Forward) {
	w := home.Waiter{Kind: home.WaitForOutcome, Peer: from, Call: m.Call, IsForward: true}
	if r.stopping {
		r.rejectShuttingDown(w)
		return
	}
	if m.ToHome && r.homeOf(m.Request.ID) != r.options.Self.ID && !r.homes.HoldsPartitionOf(m.Request.ID) {
		w.Reject(r.emit, event.CodeUnavailable, "", "this instance is not the home of the request")
		return
	}
	r.homes.Submit(now, w, m.Request, m.Hops)
}

func (r *Reducer) handleReserve(now time.Time, from model.InstanceID, m event.Reserve) event.Reserved {
	if r.stopping {
		return event.Reserved{Call: m.Call}
	}
	return r.leases.ReserveForPeer(now, from, m)
}

func (r *Reducer) handlePeerQuery(now time.Time, from model.InstanceID, m event.Message) {
	switch m := m.(type) {
	case event.StatusQuery:
		w := home.Waiter{Peer: from, Call: m.Call}
		if m.Wait {
			w.Kind = home.WaitForOutcome
		}
		if !r.homes.AnswerStatus(now, w, m.Request) {
			r.rejectPartitionNotHeld(w)
		}
	case event.CancelQuery:
		w := home.Waiter{Kind: home.WaitForCancel, Peer: from, Call: m.Call}
		if !r.homes.Cancel(now, w, m.Request) {
			r.rejectPartitionNotHeld(w)
		}
	}
}

// deliverUpdate passes an update of an attempt to the home of its request.
func (r *Reducer) deliverUpdate(to model.InstanceID, u event.AttemptUpdate) {
	if to == r.options.Self.ID || to == "" {
		r.homes.HandleAttemptUpdate(r.now, r.options.Self.ID, u)
		return
	}
	if u.State == event.AttemptStarted && u.Report.Kind == model.KindRequest {
		// The result of a request to a runner follows shortly; one message suffices.
		return
	}
	r.emit(event.SendPeer{To: to, Message: u})
}

// deliverFenceReply passes a worker's answer to the instance that requested the
// fence.
func (r *Reducer) deliverFenceReply(to model.InstanceID, m event.FenceReply) {
	if to == r.options.Self.ID {
		r.homes.HandleFenceReply(r.now, r.options.Self.ID, m)
		return
	}
	r.emit(event.SendPeer{To: to, Message: m})
}
