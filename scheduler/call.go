package scheduler

import (
	"time"

	"fuchsiacross/entry"
	"fuchsiacross/event"
	"fuchsiacross/home"
	"fuchsiacross/model"
)

func (r *Reducer) submit(now time.Time, e event.Submit) {
	w := home.Waiter{Kind: home.WaitForOutcome, Token: e.Token}
	if !e.Wait {
		w.Kind = home.WaitForAcceptance
	}
	if r.stopping {
		r.rejectStopping(w)
		return
	}
	r.tokens[e.Token] = e.Request.ID
	if e.Request.Durability() == model.Ephemeral {
		r.homes.Submit(now, w, e.Request, 0)
		return
	}
	r.entries.Route(now, entry.Call{Kind: entry.SubmitCall, Waiter: w, RequestID: e.Request.ID, Request: e.Request})
}

func (r *Reducer) status(now time.Time, e event.Status) {
	w := home.Waiter{Token: e.Token}
	if e.Wait {
		w.Kind = home.WaitForOutcome
	}
	if r.stopped {
		r.rejectStopping(w)
		return
	}
	r.tokens[e.Token] = e.Request
	if r.homes.HasRequest(e.Request) && r.homes.AnswerStatus(w, e.Request) {
		return
	}
	r.entries.Route(now, entry.Call{Kind: entry.StatusCall, Waiter: w, RequestID: e.Request})
}

func (r *Reducer) cancel(now time.Time, e event.Cancel) {
	w := home.Waiter{Kind: home.WaitForCancel, Token: e.Token}
	if r.stopped {
		r.rejectStopping(w)
		return
	}
	r.tokens[e.Token] = e.Request
	if r.homes.HasRequest(e.Request) {
		r.homes.Cancel(now, w, e.Request)
		return
	}
	r.entries.Route(now, entry.Call{Kind: entry.CancelCall, Waiter: w, RequestID: e.Request})
}

// rejectStopping answers a call that a stopping instance does not take any more. A
// call that was in the backlog of a pause may come after the instance has stopped.
func (r *Reducer) rejectStopping(w home.Waiter) {
	w.Reject(r.emit, event.CodeUnavailable, "", "the instance is shutting down")
}

// callHere carries out a call whose home is this instance.
func (r *Reducer) callHere(now time.Time, c entry.Call) {
	switch c.Kind {
	case entry.SubmitCall:
		r.homes.Submit(now, c.Waiter, c.Request, 0)
	case entry.StatusCall:
		if !r.homes.AnswerStatus(c.Waiter, c.RequestID) {
			r.notHeld(c.Waiter)
		}
	case entry.CancelCall:
		if !r.homes.Cancel(now, c.Waiter, c.RequestID) {
			r.notHeld(c.Waiter)
		}
	}
}

// notHeld answers while the journal partition of a request is being claimed.
func (r *Reducer) notHeld(w home.Waiter) {
	w.Reject(r.emit, event.CodeUnavailable, "", "the journal partition of the request is not held yet; ask again")
}
