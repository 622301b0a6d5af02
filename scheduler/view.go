package scheduler

import (
	"time"

	"fuchsiacross/document"
	"fuchsiacross/event"
	"fuchsiacross/model"
)

// handleQuery answers a query with the requested view.
func (r *Reducer) handleQuery(_ time.Time, q event.Query) {
	var view any
	switch q.View {
	case event.ViewWorkers:
		view = r.leases.WorkerViews()
	case event.ViewInstances:
		view = r.instanceViews()
	case event.ViewQueue:
		view = r.homes.QueueViews()
	case event.ViewExplain:
		view = r.homes.Explain(q.Request)
	case event.ViewMetrics:
		view = r.Metrics()
	}
	r.emit(event.AnswerQuery{Token: q.Token, View: view})
}

func (r *Reducer) instanceViews() []event.InstanceView {
	self := event.InstanceView{
		Instance:        r.options.Self,
		Self:            true,
		Live:            true,
		Draining:        r.stopping,
		Revision:        r.document.Revision,
		Workers:         r.leases.HeldCount(),
		LastHeartbeatAt: r.now,
	}
	return append([]event.InstanceView{self}, r.members.PeerViews()...)
}

// Metrics returns the counters for the three measured goals: waiting time, packing
// of workers and control cost.
func (r *Reducer) Metrics() event.MetricsView {
	c := &r.homes.Counters
	m := event.MetricsView{
		Submitted: c.Submitted,
		Started:   c.Started,
		Settled:   map[model.Status]uint64{},
		Retries:   c.Retries,
		Commits:   c.Commits,
		Records:   c.Records,
		Instances: r.servingInstances,
		Capacity:  r.index.TotalCapacity(),
		Reserved:  r.index.TotalReserved(),
	}
	for s, n := range c.Settled {
		m.Settled[s] = n
	}
	for i := range c.WaitingTimes {
		m.WaitingTime[i] = c.WaitingTimes[i].Samples()
	}
	return m
}

// Document returns the document in force. It must not be modified.
func (r *Reducer) Document() *document.Document { return r.document }

// PollsDocumentHead reports whether this instance polls the document's head for
// its data centre.
func (r *Reducer) PollsDocumentHead() bool { return r.members.PollsDocumentHead() }

// IsReady reports whether this instance can serve callers: a document is in
// force, the platform's list has been read and the instance is not shutting down.
func (r *Reducer) IsReady() bool {
	_, listed := r.members.PlatformListAge(r.now)
	return listed && r.document.Revision > 0 && !r.stopping
}
