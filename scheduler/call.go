package scheduler

import (
	"time"

	"fuchsiacross/entry"
	"fuchsiacross/event"
	"fuchsiacross/home"
	"fuchsiacross/model"
)

func (r *Reducer) handleSubmit(now time.Time, e event.Submit) {
	w := home.Waiter{Kind: home.WaitForOutcome, Token: e.Token}
	if !e.Wait {
		w.Kind = home.WaitForAcceptance
	}
	if r.stopping {
		r.rejectShuttingDown(w)
		return
	}
	r.requestByToken[e.Token] = e.Request.ID
	if e.Request.Durability() == model.Ephemeral {
		r.homes.Submit(now, w, e.Request, 0)
		return
	}
	r.entries.Route(now, entry.Call{Kind: entry.SubmitCall, Waiter: w, RequestID: e.Request.ID, Request: e.Request})
}

func (r *Reducer) handleStatus(now time.Time, e event.Status) {
	w := home.Waiter{Token: e.Token}
	if e.Wait {
		w.Kind = home.WaitForOutcome
	}
	if r.stopped {
		r.rejectShuttingDown(w)
		return
	}
	r.requestByToken[e.Token] = e.Request
	if r.homes.HasRequest(e.Request) && r.homes.AnswerStatus(now, w, e.Request) {
		return
	}
	r.entries.Route(now, entry.Call{Kind: entry.StatusCall, Waiter: w, RequestID: e.Request})
}

func (r *Reducer) handleCancel(now time.Time, e event.Cancel) {
	w := home.Waiter{Kind: home.WaitForCancel, Token: e.Token}
	if r.stopped {
		r.rejectShuttingDown(w)
		return
	}
	r.requestByToken[e.Token] = e.Request
	if r.homes.HasRequest(e.Request) {
		r.homes.Cancel(now, w, e.Request)
		return
	}
	r.entries.Route(now, entry.Call{Kind: entry.CancelCall, Waiter: w, RequestID: e.Request})
}

// rejectShuttingDown rejects a call because the instance is shutting down or has
// stopped. After a pause of the process, a call from its backlog may be processed
// after the instance has stopped.
func (r *Reducer) rejectShuttingDown(w home.Waiter) {
	w.Reject(r.emit, event.CodeUnavailable, "", "the instance is shutting down")
}

// handleHomeCall executes a call for a request whose home is this instance.
func (r *Reducer) handleHomeCall(now time.Time, c entry.Call) {
	switch c.Kind {
	case entry.SubmitCall:
		r.homes.Submit(now, c.Waiter, c.Request, 0)
	case entry.StatusCall:
		if !r.homes.AnswerStatus(now, c.Waiter, c.RequestID) {
			r.rejectPartitionNotHeld(c.Waiter)
		}
	case entry.CancelCall:
		if !r.homes.Cancel(now, c.Waiter, c.RequestID) {
			r.rejectPartitionNotHeld(c.Waiter)
		}
	}
}

// rejectPartitionNotHeld rejects a call because this instance does not hold the
// request's journal partition, for instance while it is claiming the partition.
func (r *Reducer) rejectPartitionNotHeld(w home.Waiter) {
	w.Reject(r.emit, event.CodeUnavailable, "", "the journal partition of the request is not held yet; ask again")
}
