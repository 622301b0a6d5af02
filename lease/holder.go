package lease

import (
	"slices"
	"time"

	"fuchsiacross/admission"
	"fuchsiacross/event"
	"fuchsiacross/model"
	"fuchsiacross/placement"
)

const (
	// scanInterval is the time between two scans, which acquire and hand over
	// leases and resend unanswered messages.
	scanInterval = 100 * time.Millisecond
	// maxDeniedRetryDelay is the longest delay before a denied lease is
	// requested again. It bounds how long a lease that was released early stays
	// unused.
	maxDeniedRetryDelay = 200 * time.Millisecond
	// lostRetryDelay is the delay before a lost lease is requested again.
	lostRetryDelay = 100 * time.Millisecond
	// acquireTimeout is the time after which an unanswered request for a lease
	// is repeated.
	acquireTimeout = 3 * time.Second
	// handoverTimeout is how long a handover waits for starts that have not been
	// answered.
	handoverTimeout = time.Second
	// fenceResendInterval is the time after which an unanswered fence is sent
	// again.
	fenceResendInterval = 300 * time.Millisecond
	// resultQueryInterval is the time between two fences of an attempt whose
	// result may have been lost with its call.
	resultQueryInterval = 2 * time.Second
	// updateResendInterval is the time after which an unacknowledged final
	// update is sent again.
	updateResendInterval = 500 * time.Millisecond
)

// Options configures a Holder.
type Options struct {
	Self           model.InstanceID // this instance
	Index          *placement.Index // free and reserved resources of the workers
	Quota          *admission.Quota
	PreferredOwner func(model.Worker) model.InstanceID
	// OwnerGeneration returns a number that changes whenever PreferredOwner may
	// return something else. It is nil if that may happen at any time.
	OwnerGeneration func() uint64
	HomeOf          func(model.RequestID) model.InstanceID
	// DocumentRevision returns the document revision in force.
	DocumentRevision func() model.Revision
	Emit             func(event.Effect)
	// DeliverUpdate delivers the state of an attempt to the home of its request.
	DeliverUpdate func(home model.InstanceID, u event.AttemptUpdate)
	// DeliverFenceReply delivers the answer to a fence to the instance that
	// requested it.
	DeliverFenceReply func(requester model.InstanceID, r event.FenceReply)
}

// Holder acquires and holds the leases of this instance's workers and tracks
// the attempts that run on them. It is not safe for concurrent use.
type Holder struct {
	opts               Options
	workers            map[model.WorkerID]*worker
	attempts           map[model.Attempt]*attempt
	reservations       map[reservationKey]*reservation
	fences             map[model.Attempt]*pendingFence
	heldCount          int // number of leases held
	nextScanAt         time.Time
	ownWorkers         []*worker      // held or preferred at the latest scan of all workers
	ownWorkersOutdated bool           // ownWorkers has to be computed again
	ownerGeneration    uint64         // of PreferredOwner at the latest scan of all workers
	shuttingDown       bool           // no lease is acquired and all are released
	startsSuspended    bool           // nothing is reserved or started
	newestRevision     model.Revision // highest document revision that a worker reported
}

// worker is a worker that the platform lists, or whose lease or attempts this
// instance keeps.
type worker struct {
	model.Worker
	term             model.Term
	incarnation      model.Incarnation
	capacity         model.Resources
	holder           model.InstanceID // last known holder of the lease
	held             bool             // this instance holds the lease
	listed           bool             // the platform lists the worker
	preferred        bool             // this instance was the preferred owner at the latest scan of all workers
	leaving          bool             // the worker announced that it leaves
	drained          bool             // drained by the document
	quarantined      bool
	nextAcquireAt    time.Time // when the lease may be requested again
	handoverDeadline time.Time // zero unless the lease is being handed over
	attempts         map[model.Attempt]*attempt
}

// New returns a Holder without leases.
func New(opts Options) *Holder {
	return &Holder{
		opts:         opts,
		workers:      map[model.WorkerID]*worker{},
		attempts:     map[model.Attempt]*attempt{},
		reservations: map[reservationKey]*reservation{},
		fences:       map[model.Attempt]*pendingFence{},
	}
}

// SetWorkerList sets the platform's list of workers, which lags. A worker
// that is no longer listed keeps its lease while its session lasts.
func (h *Holder) SetWorkerList(now time.Time, workers []model.Worker) {
	for _, w := range h.workers {
		w.listed = false
	}
	for _, listed := range workers {
		w, ok := h.workers[listed.ID]
		if !ok {
			w = &worker{attempts: map[model.Attempt]*attempt{}}
			h.workers[listed.ID] = w
		}
		w.Worker = listed
		w.listed = true
		if w.held {
			h.applyDraining(w)
		}
	}
	for id, w := range h.workers {
		if !w.listed && !w.held && len(w.attempts) == 0 {
			delete(h.workers, id)
		}
	}
	h.nextScanAt = now
	h.ownWorkersOutdated = true
}

// ScheduleScan makes the next Step scan the workers without waiting for
// scanInterval.
func (h *Holder) ScheduleScan() { h.nextScanAt = time.Time{} }

// Step acquires and hands over leases, expires reservations and sends
// unanswered messages again.
func (h *Holder) Step(now time.Time) {
	if !now.Before(h.nextScanAt) {
		h.nextScanAt = now.Add(scanInterval)
		h.findOwnWorkers()
		for _, w := range h.ownWorkers {
			h.stepWorker(now, w)
		}
		h.expireReservations(now)
		h.resendDue(now)
	}
}

// findOwnWorkers finds the workers that are held or preferred. Since a cell
// has a hundred times the workers of one instance, it searches only if the
// list, the leases or the preferences may have changed.
func (h *Holder) findOwnWorkers() {
	if h.opts.OwnerGeneration != nil {
		generation := h.opts.OwnerGeneration()
		if !h.ownWorkersOutdated && generation == h.ownerGeneration {
			return
		}
		h.ownerGeneration = generation
	}
	h.ownWorkersOutdated = false
	clear(h.ownWorkers)
	h.ownWorkers = h.ownWorkers[:0]
	for _, w := range h.workers {
		w.preferred = h.opts.PreferredOwner(w.Worker) == h.opts.Self
		if w.held || w.preferred {
			h.ownWorkers = append(h.ownWorkers, w)
		}
	}
	slices.SortFunc(h.ownWorkers, compareWorkers)
}

// stepWorker requests the lease of a worker, or starts, continues or cancels
// its handover, as the preferred owner requires.
func (h *Holder) stepWorker(now time.Time, w *worker) {
	preferred := !h.shuttingDown && w.preferred
	switch {
	case w.held && !preferred:
		h.stepHandover(now, w)
	case w.held && !w.handoverDeadline.IsZero():
		w.handoverDeadline = time.Time{}
		h.applyDraining(w)
	case !w.held && preferred && w.listed && !now.Before(w.nextAcquireAt):
		w.nextAcquireAt = now.Add(acquireTimeout)
		h.opts.Emit(event.AcquireLease{Worker: w.Worker, Revision: h.opts.DocumentRevision()})
	}
}

// stepHandover stops placing on the worker at once and releases its lease
// when no start is unanswered or handoverTimeout has passed.
func (h *Holder) stepHandover(now time.Time, w *worker) {
	if w.handoverDeadline.IsZero() {
		w.handoverDeadline = now.Add(handoverTimeout)
		h.opts.Index.SetDrained(w.ID, true)
	}
	for _, a := range w.attempts {
		if a.state < attemptRunning && now.Before(w.handoverDeadline) {
			return
		}
	}
	h.releaseLease(w)
}

// releaseLease releases the lease of a worker.
func (h *Holder) releaseLease(w *worker) {
	h.opts.Emit(event.ReleaseLease{Worker: w.ID, Term: w.term})
	h.opts.Emit(event.Trace{Kind: event.TraceLeaseReleased, Worker: w.ID})
	h.dropLease(w, "lease handed over")
	w.handoverDeadline = time.Time{}
}

// Shutdown stops acquiring leases and hands all leases over in the next
// Steps.
func (h *Holder) Shutdown() {
	h.shuttingDown = true
	h.ScheduleScan()
}

// HeldCount returns the number of leases held.
func (h *Holder) HeldCount() int { return h.heldCount }

// IsIdle reports whether no lease is held and no attempt is unfinished.
func (h *Holder) IsIdle() bool {
	if h.heldCount > 0 {
		return false
	}
	for _, a := range h.attempts {
		if a.state < attemptFinished {
			return false
		}
	}
	return true
}

// ListedWorker returns a worker and whether the platform lists it.
func (h *Holder) ListedWorker(id model.WorkerID) (model.Worker, bool) {
	w, ok := h.workers[id]
	if !ok {
		return model.Worker{}, false
	}
	return w.Worker, w.listed
}

// NewestRevision returns the highest document revision that a worker
// reported.
func (h *Holder) NewestRevision() model.Revision { return h.newestRevision }

// HandleLeaseGranted handles a worker's grant of its lease. The report is
// complete: an attempt that it does not list was not started, unless the
// worker has restarted since.
func (h *Holder) HandleLeaseGranted(now time.Time, g event.LeaseGranted) {
	w, ok := h.workers[g.Worker.ID]
	if !ok {
		w = &worker{Worker: g.Worker, attempts: map[model.Attempt]*attempt{}}
		h.workers[g.Worker.ID] = w
	}
	restarted := w.incarnation != 0 && w.incarnation != g.Incarnation
	if w.held {
		h.opts.Index.RemoveWorker(w.ID)
	} else {
		h.heldCount++
		h.ownWorkersOutdated = true
	}
	w.held = true
	w.holder = h.opts.Self
	w.term = g.Term
	w.incarnation = g.Incarnation
	w.capacity = g.Capacity
	w.leaving = g.Leaving
	w.Rack = g.Worker.Rack
	h.newestRevision = max(h.newestRevision, g.Revision)
	h.opts.Index.UpsertWorker(w.Worker, g.Term, g.Capacity)
	h.applyDraining(w)
	h.opts.Emit(event.Trace{Kind: event.TraceLeaseGranted, Worker: w.ID, Detail: grantDetail(g.Term, len(g.Tasks))})
	reported := make(map[model.Attempt]bool, len(g.Tasks))
	for _, report := range g.Tasks {
		reported[report.Attempt] = true
		h.adoptReported(now, w, report)
	}
	for _, a := range sortedAttempts(w.attempts) {
		key := a.id
		if reported[key] || a.isFinished() {
			continue
		}
		h.finishUnreported(now, w, a, restarted)
	}
}

// finishUnreported finishes an attempt that the report of a new grant does
// not list.
func (h *Holder) finishUnreported(now time.Time, w *worker, a *attempt, restarted bool) {
	report := a.report
	report.Attempt = a.id
	switch {
	case a.state == attemptReserved:
		h.finishAttempt(now, w, a, event.AttemptRefused, report, "the lease was granted again before the start was sent")
	case restarted && a.workerIncarnation != w.incarnation:
		report.State = model.TaskLost
		h.finishAttempt(now, w, a, event.AttemptUncertain, report, "the worker restarted")
	default:
		report.State = model.TaskNeverSeen
		h.finishAttempt(now, w, a, event.AttemptRefused, report, "the worker never saw the attempt and refuses its term")
	}
}

// HandleLeaseDenied handles a worker's refusal to grant its lease because the
// lease of another holder has not expired.
func (h *Holder) HandleLeaseDenied(now time.Time, d event.LeaseDenied) {
	w, ok := h.workers[d.Worker]
	if !ok {
		return
	}
	w.holder = d.Holder
	w.nextAcquireAt = now.Add(maxDeniedRetryDelay)
	if d.Until.After(now) && d.Until.Before(w.nextAcquireAt) {
		w.nextAcquireAt = d.Until
	}
}

// HandleLeaseLost handles the end of a lease that expired or whose session
// ended.
func (h *Holder) HandleLeaseLost(now time.Time, l event.LeaseLost) {
	w, ok := h.workers[l.Worker]
	if !ok {
		return
	}
	w.nextAcquireAt = now.Add(lostRetryDelay)
	if !w.held || l.Term < w.term {
		return
	}
	h.opts.Emit(event.Trace{Kind: event.TraceLeaseLost, Worker: w.ID, Detail: l.Reason})
	h.dropLease(w, l.Reason)
}

// dropLease ends a lease. Attempts that were not sent are reported as
// refused. Sent ones are dropped and reported as uncertain; the worker or its
// next owner reports their state later. Finished attempts and those on a
// runner's call stay tracked.
func (h *Holder) dropLease(w *worker, reason string) {
	w.held = false
	w.holder = ""
	h.heldCount--
	h.opts.Index.RemoveWorker(w.ID)
	for _, a := range sortedAttempts(w.attempts) {
		key := a.id
		switch {
		case a.state == attemptReserved:
			h.dropAttempt(w, a)
			h.sendUpdate(a, event.AttemptRefused, model.TaskReport{Attempt: key}, reason)
		case a.isFinished():
		case a.hasRunnerCall() && !a.resultCallEnded:
			h.releaseResources(a)
			// The answer arrives on the runner's call, which needs no lease.
		default:
			h.dropAttempt(w, a)
			h.sendUpdate(a, event.AttemptUncertain, model.TaskReport{Attempt: key}, reason)
		}
	}
	for key, r := range h.reservations {
		r.dropWorker(w.ID)
		if len(r.allocations) == 0 {
			delete(h.reservations, key)
		}
	}
}

// HandleWorkerLeaving stops placing on a worker that announced that it
// leaves.
func (h *Holder) HandleWorkerLeaving(l event.WorkerLeaving) {
	w, ok := h.workers[l.Worker]
	if !ok {
		return
	}
	w.leaving = true
	h.applyDraining(w)
	h.opts.Emit(event.Trace{Kind: event.TraceDraining, Worker: w.ID, Detail: "announced by the worker"})
}

// SetDrainedWorkers sets which workers the document drains.
func (h *Holder) SetDrainedWorkers(drained func(model.WorkerID) bool) {
	for _, w := range h.workers {
		w.drained = drained(w.ID)
		if w.held {
			h.applyDraining(w)
		}
	}
}

// isDraining reports whether no new tasks are placed on the worker.
func (w *worker) isDraining() bool { return w.Leaving || w.leaving || w.drained }

// applyDraining updates the index after a change of the worker's drain or
// handover state.
func (h *Holder) applyDraining(w *worker) {
	h.opts.Index.SetDrained(w.ID, w.isDraining() || !w.handoverDeadline.IsZero())
}

// WorkerViews lists all known workers for operators.
func (h *Holder) WorkerViews() []event.WorkerView {
	views := make([]event.WorkerView, 0, len(h.workers))
	for _, w := range h.workers {
		v := event.WorkerView{
			Worker:      w.Worker,
			Term:        w.term,
			Holder:      w.holder,
			Capacity:    w.capacity,
			Draining:    w.isDraining(),
			Quarantined: w.quarantined,
		}
		for _, a := range w.attempts {
			if a.state < attemptFinished {
				v.Tasks++
				v.Reserved = v.Reserved.Add(a.resources)
			}
		}
		views = append(views, v)
	}
	return views
}
