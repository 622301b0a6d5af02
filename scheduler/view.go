package scheduler

import (
	"time"

	"fuchsiacross/document"
	"fuchsiacross/event"
	"fuchsiacross/model"
)

// query answers an operator.
func (r *Reducer) query(_ time.Time, q event.Query) {
	var view any
	switch q.View {
	case event.ViewWorkers:
		view = r.leases.WorkerViews()
	case event.ViewInstances:
		view = r.instances()
	case event.ViewQueue:
		view = r.homes.QueueViews()
	case event.ViewExplain:
		view = r.homes.Explain(q.Request)
	case event.ViewMetrics:
		view = r.Metrics()
	}
	r.emit(event.AnswerQuery{Token: q.Token, View: view})
}

func (r *Reducer) instances() []event.InstanceView {
	self := event.InstanceView{
		Instance:        r.o.Self,
		Self:            true,
		Live:            true,
		Draining:        r.stopping,
		Revision:        r.document.Revision,
		Workers:         r.leases.HeldCount(),
		LastHeartbeatAt: r.now,
	}
	return append([]event.InstanceView{self}, r.members.PeerViews()...)
}

// Measures returns the counters for the users' three measures: waiting time,
// packing and control cost.
func (r *Reducer) Metrics() event.MetricsView {
	c := &r.homes.Counters
	m := event.MetricsView{
		Submitted: c.Submitted,
		Started:   c.Started,
		Settled:   map[model.Status]uint64{},
		Retries:   c.Retries,
		Commits:   c.Commits,
		Records:   c.Records,
		Instances: r.live,
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

// Document returns the document in force.
func (r *Reducer) Document() *document.Document { return r.document }

// PollsHead reports whether this instance polls the document's head for its
// data centre.
func (r *Reducer) PollsDocumentHead() bool { return r.members.PollsDocumentHead() }

// Ready reports whether callers may be sent here: a document is in force, the
// platform's list is known and the instance is not shutting down.
func (r *Reducer) IsReady() bool {
	_, listed := r.members.PlatformListAge(r.now)
	return listed && r.document.Revision > 0 && !r.stopping
}
