package scheduler

import (
	"fmt"
	"slices"
	"time"

	"fuchsiacross/document"
	"fuchsiacross/event"
	"fuchsiacross/model"
	"fuchsiacross/placement"
)

// documentChanged puts a newer revision in force. An older one is ignored, so
// that an accepted edit never reverts.
func (r *Reducer) documentChanged(d *document.Document) {
	if d.Revision <= r.document.Revision {
		return
	}
	r.setDocument(d)
	r.emit(event.Trace{Kind: event.TraceDocumentInForce, Detail: fmt.Sprintf("revision %d", d.Revision)})
}

func (r *Reducer) setDocument(d *document.Document) {
	r.document = d
	r.index.SetPolicy(placement.Policy{
		WaitingWeight:     d.Cell.WaitingWeight,
		PackingWeight:     d.Cell.PackingWeight,
		UrgentHeadroom:    d.Cell.UrgentHeadroom,
		PreemptionEnabled: d.Cell.Preemption,
	})
	if d.Revision > 0 {
		r.quota.SetDocument(d)
	}
	r.queue.SetDocument(d)
	r.retries.SetFraction(d.Cell.RetryShare)
	r.homes.SetPolicy(d.Cell.RetentionSeconds, d.Cell.Preemption)
	r.leases.SetDrainedWorkers(r.drained)
}

func (r *Reducer) drained(id model.WorkerID) bool {
	return slices.Contains(r.document.Cell.DrainedWorkers, id)
}

// holdWhileBehind holds work that is not urgent once the newer revision could
// not be had for a while.
func (r *Reducer) holdWhileBehind(now time.Time, newest model.Revision) {
	behind := now.After(r.behindSince.Add(behindLimit))
	if behind && !r.behind {
		r.emit(event.Trace{Kind: event.TraceDocumentBehind, Detail: fmt.Sprintf("revision %d is known elsewhere", newest)})
	}
	r.behind = behind
	r.homes.SetDocumentBehind(behind)
}

// followDocument fetches a newer revision that a peer or a worker has named.
// Until it arrives urgent work goes on, and after a while nothing else does.
func (r *Reducer) followDocument(now time.Time) {
	newest, from := r.members.NewestRevision()
	if known := r.leases.NewestRevision(); known > newest {
		newest, from = known, ""
	}
	if newest <= r.document.Revision {
		r.behindSince = time.Time{}
		r.behind = false
		r.homes.SetDocumentBehind(false)
		return
	}
	if r.behindSince.IsZero() {
		r.behindSince = now
		r.fetchAt = now
	}
	r.holdWhileBehind(now, newest)
	if now.Before(r.fetchAt) {
		return
	}
	r.fetchAt = now.Add(fetchRetry)
	r.emit(event.FetchDocument{Peer: from, Revision: newest})
}
