package home

import (
	"fuchsiacross/event"
	"fuchsiacross/model"
)

// QueueViews lists the queued items for operators.
func (t *Table) QueueViews() []event.QueueView {
	var views []event.QueueView
	for item := range t.opts.Queue.All() {
		v := event.QueueView{
			Request:  item.Request.ID,
			Team:     item.Request.Team,
			Workload: item.Request.Workload,
			Class:    item.Request.Class,
			QueuedAt: item.EnqueuedAt,
			Deadline: item.Request.Deadline,
		}
		if r, ok := t.requests[item.Request.ID]; ok {
			v.Reason = r.waitReason
		}
		views = append(views, v)
	}
	return views
}

// Explain returns what this instance knows about a request.
func (t *Table) Explain(id model.RequestID) event.ExplainView {
	v := event.ExplainView{Request: id, Status: model.StatusNotFound}
	if r, ok := t.requests[id]; ok {
		o := r.currentOutcome()
		v.Status = o.Status
		v.Reason = o.Reason
		v.Durability = r.spec.Durability()
		v.Attempts = append(v.Attempts, r.history...)
		if r.partition != nil {
			v.Home = t.opts.Self
		}
		return v
	}
	p := t.partitionOf(id)
	v.Home = t.opts.Members.PreferredHolder(p.id)
	if p.state != partitionHeld {
		v.Reason = "this instance does not hold the request's journal partition"
		return v
	}
	v.Home = t.opts.Self
	e, ok := p.journal.Entry(id)
	switch {
	case !ok:
	case e.IsTombstone:
		v.Status = model.StatusExpired
	case e.Outcome != nil:
		v.Status = e.Outcome.Status
		v.Reason = e.Outcome.Reason
		v.Durability = e.Request.Durability()
		for _, a := range e.Attempts {
			v.Attempts = append(v.Attempts, event.AttemptView{Attempt: a.Attempt, Worker: a.Worker, At: a.At, State: "intent"})
		}
	}
	return v
}
