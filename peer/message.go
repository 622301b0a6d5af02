package peer

import (
	"github.com/go-faster/errors"

	"fuchsiacross/document"
	"fuchsiacross/event"
	"fuchsiacross/model"
)

// messageToWire returns the kind and the wire form of a message.
func messageToWire(m event.Message, e *encoder) (messageKind, any, error) {
	switch m := m.(type) {
	case event.Heartbeat:
		return kindHeartbeat, e.heartbeat.encode(&m), nil
	case event.Forward:
		if m.Request == nil {
			return 0, nil, errors.New("forward without a request")
		}
		return kindForward, wireForward{uint64(m.Call), requestToWire(m.Request), m.Hops, m.ToHome}, nil
	case event.ForwardReply:
		return kindForwardReply, wireForwardReply{
			Call:     uint64(m.Call),
			Accepted: m.Accepted,
			Rejected: m.Rejected,
			Code:     uint8(m.Code),
			Place:    m.Place,
			Reason:   m.Reason,
			Outcome:  outcomeToWire(&m.Outcome),
		}, nil
	case event.Reserve:
		if m.Request == nil {
			return 0, nil, errors.New("reserve without a request")
		}
		return kindReserve, wireReserve{uint64(m.Call), requestToWire(m.Request), m.Count, timeToWire(m.Until)}, nil
	case event.Reserved:
		return kindReserved, wireReserved{uint64(m.Call), identifiersToWire(m.Workers), mapSlice(m.WorkerIncarnations, func(l model.Incarnation) uint64 { return uint64(l) })}, nil
	case event.Confirm:
		return kindConfirm, confirmToWire(&m), nil
	case event.ReleaseReservation:
		return kindReleaseReservation, wireReleaseReservation{Call: uint64(m.Call)}, nil
	case event.AttemptUpdate:
		return kindAttemptUpdate, attemptUpdateToWire(m), nil
	case event.AttemptAck:
		return kindAttemptAck, wireAttemptPlacement{Attempt: attemptToWire(m.Attempt), Worker: string(m.Worker)}, nil
	case event.StopAttempt:
		return kindStopAttempt, wireStopAttempt{Worker: string(m.Worker), Attempt: attemptToWire(m.Attempt), Checkpoint: m.Checkpoint}, nil
	case event.CancelQuery:
		return kindCancelQuery, wireRequestQuery{Call: uint64(m.Call), Request: string(m.Request)}, nil
	case event.StatusQuery:
		return kindStatusQuery, wireRequestQuery{Call: uint64(m.Call), Request: string(m.Request), Wait: m.Wait}, nil
	case event.OutcomeReply:
		return kindOutcomeReply, wireOutcomeReply{uint64(m.Call), m.Unavailable, outcomeToWire(&m.Outcome)}, nil
	case event.FenceQuery:
		return kindFenceQuery, wireAttemptPlacement{Attempt: attemptToWire(m.Attempt), Worker: string(m.Worker), WorkerIncarnation: uint64(m.WorkerIncarnation)}, nil
	case event.FenceReply:
		return kindFenceReply, wireFenceReply{string(m.Worker), m.Reachable, taskReportToWire(&m.Report)}, nil
	case event.RunningQuery:
		return kindRunningQuery, wireRunningQuery{Partition: uint32(m.Partition)}, nil
	case event.RunningReply:
		return kindRunningReply, wireRunningReply{uint32(m.Partition), mapSlice(m.Tasks, attemptUpdateToWire)}, nil
	case event.DocumentFetch:
		return kindDocumentFetch, wireDocumentFetch{KnownRevision: uint64(m.KnownRevision)}, nil
	case event.DocumentCopy:
		return kindDocumentCopy, wireDocumentCopy{uint64(m.Revision), mapSlice(m.Sections, sectionToWire)}, nil
	}
	return 0, nil, errors.Errorf("no wire form for %T", m)
}

func confirmToWire(m *event.Confirm) wireConfirm {
	w := wireConfirm{Call: uint64(m.Call)}
	if m.Request != nil {
		request := requestToWire(m.Request)
		w.Request = &request
	}
	w.Attempts = mapSlice(m.Attempts, func(a event.AttemptPlacement) wireAttemptPlacement {
		return wireAttemptPlacement{Attempt: attemptToWire(a.Attempt), Worker: string(a.Worker), WorkerIncarnation: uint64(a.WorkerIncarnation)}
	})
	return w
}

func attemptUpdateToWire(m event.AttemptUpdate) wireAttemptUpdate {
	return wireAttemptUpdate{string(m.Worker), uint8(m.State), taskReportToWire(&m.Report), m.Reason}
}

func sectionToWire(s document.Section) wireSection {
	return wireSection{s.Name, identifiersToWire(s.Owners), uint64(s.Revision), uint64(s.DocumentRevision), s.EditID, s.Body}
}

func forwardFromWire(w *wireForward) (event.Message, error) {
	var c fieldChecker
	m := event.Forward{Call: event.CallID(w.Call), Request: c.requestFromWire(&w.Request), Hops: w.Hops, ToHome: w.ToHome}
	return m, c.err
}

func forwardReplyFromWire(w *wireForwardReply) (event.Message, error) {
	var c fieldChecker
	c.checkEnum("code", w.Code, 0, uint8(event.CodeExhausted))
	m := event.ForwardReply{
		Call:     event.CallID(w.Call),
		Accepted: w.Accepted,
		Rejected: w.Rejected,
		Code:     event.Code(w.Code),
		Place:    w.Place,
		Reason:   w.Reason,
		Outcome:  c.outcomeFromWire(&w.Outcome),
	}
	return m, c.err
}

func reserveFromWire(w *wireReserve) (event.Message, error) {
	var c fieldChecker
	m := event.Reserve{
		Call:    event.CallID(w.Call),
		Request: c.requestFromWire(&w.Request),
		Count:   w.Count,
		Until:   timeFromWire(w.Until),
	}
	return m, c.err
}

func reservedFromWire(w *wireReserved) (event.Message, error) {
	var c fieldChecker
	m := event.Reserved{Call: event.CallID(w.Call), Workers: identifiersFromWire[model.WorkerID](&c, "worker", w.Workers)}
	m.WorkerIncarnations = mapSlice(w.WorkerIncarnations, func(n uint64) model.Incarnation { return model.Incarnation(n) })
	if len(m.WorkerIncarnations) != len(m.Workers) {
		c.fail("%d incarnations are named for %d workers", len(m.WorkerIncarnations), len(m.Workers))
	}
	return m, c.err
}

func confirmFromWire(w *wireConfirm) (event.Message, error) {
	var c fieldChecker
	m := event.Confirm{Call: event.CallID(w.Call)}
	if w.Request != nil {
		m.Request = c.requestFromWire(w.Request)
	}
	m.Attempts = mapSlice(w.Attempts, c.attemptPlacementFromWire)
	return m, c.err
}

func (c *fieldChecker) attemptPlacementFromWire(w wireAttemptPlacement) event.AttemptPlacement {
	c.checkIdentifier("worker", w.Worker)
	return event.AttemptPlacement{Attempt: c.checkedAttemptFromWire(w.Attempt), Worker: model.WorkerID(w.Worker), WorkerIncarnation: model.Incarnation(w.WorkerIncarnation)}
}

func releaseReservationFromWire(w *wireReleaseReservation) (event.Message, error) {
	return event.ReleaseReservation{Call: event.CallID(w.Call)}, nil
}

func (c *fieldChecker) attemptUpdateFromWire(w wireAttemptUpdate) event.AttemptUpdate {
	c.checkIdentifier("worker", w.Worker)
	c.checkEnum("attempt state", w.State, uint8(event.AttemptStarted), uint8(event.AttemptUncertain))
	return event.AttemptUpdate{
		Worker: model.WorkerID(w.Worker),
		State:  event.AttemptState(w.State),
		Report: c.taskReportFromWire(&w.Report),
		Reason: w.Reason,
	}
}

func attemptUpdateMessageFromWire(w *wireAttemptUpdate) (event.Message, error) {
	var c fieldChecker
	m := c.attemptUpdateFromWire(*w)
	return m, c.err
}

func attemptAckFromWire(w *wireAttemptPlacement) (event.Message, error) {
	var c fieldChecker
	a := c.attemptPlacementFromWire(*w)
	return event.AttemptAck{Worker: a.Worker, Attempt: a.Attempt}, c.err
}

func stopAttemptFromWire(w *wireStopAttempt) (event.Message, error) {
	var c fieldChecker
	c.checkIdentifier("worker", w.Worker)
	m := event.StopAttempt{
		Worker:     model.WorkerID(w.Worker),
		Attempt:    c.checkedAttemptFromWire(w.Attempt),
		Checkpoint: w.Checkpoint,
	}
	return m, c.err
}

func cancelQueryFromWire(w *wireRequestQuery) (event.Message, error) {
	var c fieldChecker
	c.checkIdentifier("request", w.Request)
	return event.CancelQuery{Call: event.CallID(w.Call), Request: model.RequestID(w.Request)}, c.err
}

func statusQueryFromWire(w *wireRequestQuery) (event.Message, error) {
	var c fieldChecker
	c.checkIdentifier("request", w.Request)
	return event.StatusQuery{Call: event.CallID(w.Call), Request: model.RequestID(w.Request), Wait: w.Wait}, c.err
}

func outcomeReplyFromWire(w *wireOutcomeReply) (event.Message, error) {
	var c fieldChecker
	m := event.OutcomeReply{
		Call:        event.CallID(w.Call),
		Unavailable: w.Unavailable,
		Outcome:     c.outcomeFromWire(&w.Outcome),
	}
	return m, c.err
}

func fenceQueryFromWire(w *wireAttemptPlacement) (event.Message, error) {
	var c fieldChecker
	a := c.attemptPlacementFromWire(*w)
	return event.FenceQuery{Worker: a.Worker, WorkerIncarnation: a.WorkerIncarnation, Attempt: a.Attempt}, c.err
}

func fenceReplyFromWire(w *wireFenceReply) (event.Message, error) {
	var c fieldChecker
	c.checkIdentifier("worker", w.Worker)
	m := event.FenceReply{
		Worker:    model.WorkerID(w.Worker),
		Reachable: w.Reachable,
		Report:    c.taskReportFromWire(&w.Report),
	}
	return m, c.err
}

func runningQueryFromWire(w *wireRunningQuery) (event.Message, error) {
	return event.RunningQuery{Partition: model.Partition(w.Partition)}, nil
}

func runningReplyFromWire(w *wireRunningReply) (event.Message, error) {
	var c fieldChecker
	m := event.RunningReply{
		Partition: model.Partition(w.Partition),
		Tasks:     mapSlice(w.Tasks, c.attemptUpdateFromWire),
	}
	return m, c.err
}

func documentFetchFromWire(w *wireDocumentFetch) (event.Message, error) {
	return event.DocumentFetch{KnownRevision: model.Revision(w.KnownRevision)}, nil
}

func documentCopyFromWire(w *wireDocumentCopy) (event.Message, error) {
	var c fieldChecker
	m := event.DocumentCopy{
		Revision: model.Revision(w.Revision),
		Sections: mapSlice(w.Sections, c.sectionFromWire),
	}
	return m, c.err
}

func (c *fieldChecker) sectionFromWire(w wireSection) document.Section {
	c.checkIdentifier("section", w.Name)
	return document.Section{
		Name:             w.Name,
		Owners:           identifiersFromWire[model.Team](c, "owner", w.Owners),
		Revision:         model.Revision(w.Revision),
		DocumentRevision: model.Revision(w.DocumentRevision),
		EditID:           w.EditID,
		Body:             w.Body,
	}
}
