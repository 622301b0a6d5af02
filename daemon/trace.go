package daemon

import (
	"time"

	"go.uber.org/zap"

	"fuchsiacross/event"
	"fuchsiacross/logevent"
	"fuchsiacross/model"
	"fuchsiacross/timeline"
)

// recordTrace appends a record to the timeline, and logs those kinds that are useful
// without the request that they belong to.
func (d *Daemon) recordTrace(now time.Time, e event.Trace) {
	d.timelineSequence++
	d.timelineRing.Add(timeline.Record{
		At:       now,
		Process:  string(d.self.ID),
		Sequence: d.timelineSequence,
		Kind:     string(e.Kind),
		Request:  e.Request,
		Attempt:  e.Attempt,
		Worker:   e.Worker,
		Peer:     e.Peer,
		Detail:   e.Detail,
	})
	if l, ok := findLogEvent(e); ok {
		l.Log(d.log,
			zap.String("worker", string(e.Worker)),
			zap.String("peer", string(e.Peer)),
			zap.String("detail", e.Detail))
	}
}

// findLogEvent returns the log event for a trace, or false if it is not logged. Traces
// of single requests are only in the timeline, because at thousands of starts per second
// they would hide all other log lines. Only an unknown outcome is logged.
func findLogEvent(e event.Trace) (logevent.Event, bool) {
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
