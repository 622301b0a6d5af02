package peer

import (
	"github.com/go-faster/errors"

	"fuchsiacross/document"
	"fuchsiacross/event"
	"fuchsiacross/model"
)

// messageWire maps a message to its wire form.
func messageWire(m event.Message, e *encoder) (messageKind, any, error) {
	switch m := m.(type) {
	case event.Heartbeat:
		return kindHeartbeat, e.heartbeat.encode(&m), nil
	case event.Forward:
		if m.Request == nil {
			return 0, nil, errors.New("forward without a request")
		}
		return kindForward, wireForward{uint64(m.Call), requestWire(m.Request), m.Hops, m.ToHome}, nil
	case event.ForwardReply:
		return kindForwardReply, wireForwardReply{
			Call:     uint64(m.Call),
			Accepted: m.Accepted,
			Rejected: m.Rejected,
			Code:     uint8(m.Code),
			Place:    m.Place,
			Reason:   m.Reason,
			Outcome:  outcomeWire(&m.Outcome),
		}, nil
	case event.Reserve:
		if m.Request == nil {
			return 0, nil, errors.New("reserve without a request")
		}
		return kindReserve, wireReserve{uint64(m.Call), requestWire(m.Request), m.Count, timeWire(m.Until)}, nil
	case event.Reserved:
		return kindReserved, wireReserved{uint64(m.Call), texts(m.Workers), mapped(m.WorkerIncarnations, func(l model.Incarnation) uint64 { return uint64(l) })}, nil
	case event.Confirm:
		return kindConfirm, confirmWire(&m), nil
	case event.ReleaseReservation:
		return kindReleaseReservation, wireCall{Call: uint64(m.Call)}, nil
	case event.AttemptUpdate:
		return kindAttemptUpdate, updateWire(m), nil
	case event.AttemptAck:
		return kindAttemptAck, wireAttemptAt{Attempt: attemptWire(m.Attempt), Worker: string(m.Worker)}, nil
	case event.StopAttempt:
		return kindStopAttempt, wireStop{Worker: string(m.Worker), Attempt: attemptWire(m.Attempt), Checkpoint: m.Checkpoint}, nil
	case event.CancelQuery:
		return kindCancelQuery, wireQuery{Call: uint64(m.Call), Request: string(m.Request)}, nil
	case event.StatusQuery:
		return kindStatusQuery, wireQuery{Call: uint64(m.Call), Request: string(m.Request), Wait: m.Wait}, nil
	case event.OutcomeReply:
		return kindOutcomeReply, wireOutcomeReply{uint64(m.Call), m.Unavailable, outcomeWire(&m.Outcome)}, nil
	case event.FenceQuery:
		return kindFenceQuery, wireAttemptAt{Attempt: attemptWire(m.Attempt), Worker: string(m.Worker), Life: uint64(m.WorkerIncarnation)}, nil
	case event.FenceReply:
		return kindFenceReply, wireFenceReply{string(m.Worker), m.Reachable, reportWire(&m.Report)}, nil
	case event.RunningQuery:
		return kindRunningQuery, wirePartition{Partition: uint32(m.Partition)}, nil
	case event.RunningReply:
		return kindRunningReply, wireRunningReply{uint32(m.Partition), mapped(m.Tasks, updateWire)}, nil
	case event.DocumentFetch:
		return kindDocumentFetch, wireDocumentFetch{Have: uint64(m.KnownRevision)}, nil
	case event.DocumentCopy:
		return kindDocumentCopy, wireDocumentCopy{uint64(m.Revision), mapped(m.Sections, sectionWire)}, nil
	}
	return 0, nil, errors.Errorf("no wire form for %T", m)
}

func confirmWire(m *event.Confirm) wireConfirm {
	w := wireConfirm{Call: uint64(m.Call)}
	if m.Request != nil {
		request := requestWire(m.Request)
		w.Request = &request
	}
	w.Attempts = mapped(m.Attempts, func(a event.AttemptPlacement) wireAttemptAt {
		return wireAttemptAt{Attempt: attemptWire(a.Attempt), Worker: string(a.Worker), Life: uint64(a.WorkerIncarnation)}
	})
	return w
}

func updateWire(m event.AttemptUpdate) wireUpdate {
	return wireUpdate{string(m.Worker), uint8(m.State), reportWire(&m.Report), m.Reason}
}

func sectionWire(s document.Section) wireSection {
	return wireSection{s.Name, texts(s.Owners), uint64(s.Revision), uint64(s.DocumentRevision), s.EditID, s.Body}
}

func forwardFrom(w *wireForward) (event.Message, error) {
	var c checker
	m := event.Forward{Call: event.CallID(w.Call), Request: c.request(&w.Request), Hops: w.Hops, ToHome: w.Home}
	return m, c.err
}

func forwardReplyFrom(w *wireForwardReply) (event.Message, error) {
	var c checker
	c.enumeration("code", w.Code, 0, uint8(event.CodeExhausted))
	m := event.ForwardReply{
		Call:     event.CallID(w.Call),
		Accepted: w.Accepted,
		Rejected: w.Rejected,
		Code:     event.Code(w.Code),
		Place:    w.Place,
		Reason:   w.Reason,
		Outcome:  c.outcome(&w.Outcome),
	}
	return m, c.err
}

func reserveFrom(w *wireReserve) (event.Message, error) {
	var c checker
	m := event.Reserve{
		Call:    event.CallID(w.Call),
		Request: c.request(&w.Request),
		Count:   w.Count,
		Until:   timeFrom(w.Until),
	}
	return m, c.err
}

func reservedFrom(w *wireReserved) (event.Message, error) {
	var c checker
	m := event.Reserved{Call: event.CallID(w.Call), Workers: named[model.WorkerID](&c, "worker", w.Workers)}
	m.WorkerIncarnations = mapped(w.Lives, func(n uint64) model.Incarnation { return model.Incarnation(n) })
	if len(m.WorkerIncarnations) != len(m.Workers) {
		c.fail("%d incarnations are named for %d workers", len(m.WorkerIncarnations), len(m.Workers))
	}
	return m, c.err
}

func confirmFrom(w *wireConfirm) (event.Message, error) {
	var c checker
	m := event.Confirm{Call: event.CallID(w.Call)}
	if w.Request != nil {
		m.Request = c.request(w.Request)
	}
	m.Attempts = mapped(w.Attempts, c.attemptAt)
	return m, c.err
}

func (c *checker) attemptAt(w wireAttemptAt) event.AttemptPlacement {
	c.identifier("worker", w.Worker)
	return event.AttemptPlacement{Attempt: c.attempt(w.Attempt), Worker: model.WorkerID(w.Worker), WorkerIncarnation: model.Incarnation(w.Life)}
}

func releaseFrom(w *wireCall) (event.Message, error) {
	return event.ReleaseReservation{Call: event.CallID(w.Call)}, nil
}

func (c *checker) update(w wireUpdate) event.AttemptUpdate {
	c.identifier("worker", w.Worker)
	c.enumeration("attempt state", w.State, uint8(event.AttemptStarted), uint8(event.AttemptUncertain))
	return event.AttemptUpdate{
		Worker: model.WorkerID(w.Worker),
		State:  event.AttemptState(w.State),
		Report: c.report(&w.Report),
		Reason: w.Reason,
	}
}

func updateMessageFrom(w *wireUpdate) (event.Message, error) {
	var c checker
	m := c.update(*w)
	return m, c.err
}

func ackFrom(w *wireAttemptAt) (event.Message, error) {
	var c checker
	a := c.attemptAt(*w)
	return event.AttemptAck{Worker: a.Worker, Attempt: a.Attempt}, c.err
}

func stopFrom(w *wireStop) (event.Message, error) {
	var c checker
	c.identifier("worker", w.Worker)
	m := event.StopAttempt{
		Worker:     model.WorkerID(w.Worker),
		Attempt:    c.attempt(w.Attempt),
		Checkpoint: w.Checkpoint,
	}
	return m, c.err
}

func cancelFrom(w *wireQuery) (event.Message, error) {
	var c checker
	c.identifier("request", w.Request)
	return event.CancelQuery{Call: event.CallID(w.Call), Request: model.RequestID(w.Request)}, c.err
}

func statusFrom(w *wireQuery) (event.Message, error) {
	var c checker
	c.identifier("request", w.Request)
	return event.StatusQuery{Call: event.CallID(w.Call), Request: model.RequestID(w.Request), Wait: w.Wait}, c.err
}

func outcomeReplyFrom(w *wireOutcomeReply) (event.Message, error) {
	var c checker
	m := event.OutcomeReply{
		Call:        event.CallID(w.Call),
		Unavailable: w.Unavailable,
		Outcome:     c.outcome(&w.Outcome),
	}
	return m, c.err
}

func fenceQueryFrom(w *wireAttemptAt) (event.Message, error) {
	var c checker
	a := c.attemptAt(*w)
	return event.FenceQuery{Worker: a.Worker, WorkerIncarnation: a.WorkerIncarnation, Attempt: a.Attempt}, c.err
}

func fenceReplyFrom(w *wireFenceReply) (event.Message, error) {
	var c checker
	c.identifier("worker", w.Worker)
	m := event.FenceReply{
		Worker:    model.WorkerID(w.Worker),
		Reachable: w.Reachable,
		Report:    c.report(&w.Report),
	}
	return m, c.err
}

func runningQueryFrom(w *wirePartition) (event.Message, error) {
	return event.RunningQuery{Partition: model.Partition(w.Partition)}, nil
}

func runningReplyFrom(w *wireRunningReply) (event.Message, error) {
	var c checker
	m := event.RunningReply{
		Partition: model.Partition(w.Partition),
		Tasks:     mapped(w.Tasks, c.update),
	}
	return m, c.err
}

func documentFetchFrom(w *wireDocumentFetch) (event.Message, error) {
	return event.DocumentFetch{KnownRevision: model.Revision(w.Have)}, nil
}

func documentCopyFrom(w *wireDocumentCopy) (event.Message, error) {
	var c checker
	m := event.DocumentCopy{
		Revision: model.Revision(w.Revision),
		Sections: mapped(w.Sections, c.section),
	}
	return m, c.err
}

func (c *checker) section(w wireSection) document.Section {
	c.identifier("section", w.Name)
	return document.Section{
		Name:             w.Name,
		Owners:           named[model.Team](c, "owner", w.Owners),
		Revision:         model.Revision(w.Revision),
		DocumentRevision: model.Revision(w.Document),
		EditID:           w.EditID,
		Body:             w.Body,
	}
}
