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

// handleDocumentChanged puts a newer revision in force. An older one is ignored,
// so that a committed edit is never reverted.
func (r *Reducer) handleDocumentChanged(d *document.Document) {
	if d.Revision <= r.document.Revision {
		return
	}
	r.applyDocument(d)
	r.emit(event.Trace{Kind: event.TraceDocumentInForce, Detail: fmt.Sprintf("revision %d", d.Revision)})
}

func (r *Reducer) applyDocument(d *document.Document) {
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
	r.retryBudget.SetFraction(d.Cell.RetryShare)
	r.homes.SetPolicy(d.Cell.RetentionSeconds, d.Cell.Preemption)
	r.leases.SetDrainedWorkers(r.isDrained)
}

func (r *Reducer) isDrained(id model.WorkerID) bool {
	return slices.Contains(r.document.Cell.DrainedWorkers, id)
}

// updateDocumentBehind pauses the placement of work that is not urgent once a
// newer revision has been known for longer than documentBehindTimeout.
func (r *Reducer) updateDocumentBehind(now time.Time, newest model.Revision) {
	behind := now.After(r.documentBehindSince.Add(documentBehindTimeout))
	if behind && !r.documentBehind {
		r.emit(event.Trace{Kind: event.TraceDocumentBehind, Detail: fmt.Sprintf("revision %d is known elsewhere", newest)})
	}
	r.documentBehind = behind
	r.homes.SetDocumentBehind(behind)
}

// fetchNewerDocument requests a newer revision that a peer or a worker has
// reported, and repeats the request until the revision arrives. Urgent work is
// placed in the meantime; other work only until documentBehindTimeout.
func (r *Reducer) fetchNewerDocument(now time.Time) {
	newest, from := r.members.NewestRevision()
	if known := r.leases.NewestRevision(); known > newest {
		newest, from = known, ""
	}
	if newest <= r.document.Revision {
		r.documentBehindSince = time.Time{}
		r.documentBehind = false
		r.homes.SetDocumentBehind(false)
		return
	}
	if r.documentBehindSince.IsZero() {
		r.documentBehindSince = now
		r.nextFetchAt = now
	}
	r.updateDocumentBehind(now, newest)
	if now.Before(r.nextFetchAt) {
		return
	}
	r.nextFetchAt = now.Add(documentFetchRetryDelay)
	r.emit(event.FetchDocument{Peer: from, Revision: newest})
}
