package daemon

import (
	"time"

	"go.uber.org/zap"

	"fuchsiacross/event"
	"fuchsiacross/logevent"
	"fuchsiacross/model"
	"fuchsiacross/timeline"
)

// trace adds a record to the timeline, and to the log where the record is of
// interest without its request.
func (d *Daemon) trace(now time.Time, e event.Trace) {
	d.sequence++
	d.ring.Add(timeline.Record{
		At:       now,
		Process:  string(d.self.ID),
		Sequence: d.sequence,
		Kind:     string(e.Kind),
		Request:  e.Request,
		Attempt:  e.Attempt,
		Worker:   e.Worker,
		Peer:     e.Peer,
		Detail:   e.Detail,
	})
	if l, ok := logged(e); ok {
		l.Log(d.log,
			zap.String("worker", string(e.Worker)),
			zap.String("peer", string(e.Peer)),
			zap.String("detail", e.Detail))
	}
}

// logged returns the log event of a kind of timeline record. Records about
// single requests are not logged: at thousands of starts a second they would
// drown the rest, and the timeline has them.
func logged(e event.Trace) (logevent.Event, bool) {
	switch e.Kind {
	case event.TraceSettled:
		return logevent.RequestOutcomeUnknown, e.Detail == model.StatusUnknown.String()
	case event.TraceLeaseGranted:
		return logevent.LeaseGranted, true
	case event.TraceLeaseLost:
		return logevent.LeaseLost, true
	case event.TraceLeaseReleased:
		return logevent.LeaseReleased, true
	case event.TraceQuarantined:
		return logevent.WorkerQuarantined, true
	case event.TraceDraining:
		return logevent.WorkerDraining, true
	case event.TracePeerSuspected:
		return logevent.PeerSuspected, true
	case event.TracePartitionClaimed:
		return logevent.PartitionClaimed, true
	case event.TracePartitionLost:
		return logevent.PartitionLost, true
	case event.TraceDocumentInForce:
		return logevent.DocumentInForce, true
	case event.TraceDocumentBehind:
		return logevent.DocumentBehind, true
	}
	return logevent.Event{}, false
}
