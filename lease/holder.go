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
	// scanInterval bounds how often all workers are compared with the preferred
	// owners.
	scanInterval = 100 * time.Millisecond
	// deniedRetry is the longest wait before a denied lease is asked for again.
	// It bounds how long a lease that was released early stays unused.
	deniedRetry = 200 * time.Millisecond
	// lostRetry is the wait after a session broke.
	lostRetry = 100 * time.Millisecond
	// acquireTimeout is how long an unanswered acquire blocks the next one.
	acquireTimeout = 3 * time.Second
	// handoverLimit is how long a handover waits for starts in flight.
	handoverLimit = time.Second
	// fenceRetry is the wait before an unanswered fence is sent again.
	fenceRetry = 300 * time.Millisecond
	// unheardRetry is the wait between questions about an attempt whose result
	// may have been sent on a call that is over.
	unheardRetry = 2 * time.Second
	// updateRetry is the wait before an unacknowledged final update is repeated.
	updateRetry = 500 * time.Millisecond
)

// Options configure a Holder.
type Options struct {
	Self           model.InstanceID
	Index          *placement.Index
	Quota          *admission.Quota
	PreferredOwner func(model.Worker) model.InstanceID
	// Generation changes with every change that Owner may follow; nil when
	// Owner may change at any time.
	OwnerGeneration func() uint64
	HomeOf          func(model.RequestID) model.InstanceID
	// Revision is the document revision in force.
	DocumentRevision func() model.Revision
	Emit             func(event.Effect)
	// Update delivers what became of an attempt to the home of its request.
	DeliverUpdate func(home model.InstanceID, u event.AttemptUpdate)
	// Fenced delivers the answer to a fence to the instance that asked.
	DeliverFenceReply func(asker model.InstanceID, r event.FenceReply)
}

// Holder holds the leases of this instance's workers.
type Holder struct {
	o            Options
	workers      map[model.WorkerID]*worker
	attempts     map[model.Attempt]*attempt
	reservations map[reservationKey]*reservation
	fences       map[model.Attempt]*fence
	held         int
	nextScan     time.Time
	own          []*worker // held or preferred, at the latest scan of all workers
	relisted     bool      // own is out of date
	generation   uint64    // of Owner at the latest scan of all workers
	closing      bool
	holding      bool // nothing is placed or started
	newest       model.Revision
}

type worker struct {
	model.Worker
	term        model.Term
	life        model.Incarnation
	capacity    model.Resources
	holder      model.InstanceID // last known
	held        bool
	listed      bool
	preferred   bool // at the latest scan of all workers
	leaving     bool // announced by the worker itself
	drained     bool // by the document
	quarantined bool
	retryAt     time.Time // of the next acquire
	handoverBy  time.Time // zero unless the lease is being handed over
	attempts    map[model.Attempt]*attempt
}

// New returns a Holder without leases.
func New(o Options) *Holder {
	return &Holder{
		o:            o,
		workers:      map[model.WorkerID]*worker{},
		attempts:     map[model.Attempt]*attempt{},
		reservations: map[reservationKey]*reservation{},
		fences:       map[model.Attempt]*fence{},
	}
}

// List takes over the platform's list of workers, which lags. A worker that is
// no longer listed keeps its lease while its session lasts.
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
	h.nextScan = now
	h.relisted = true
}

// Rescan makes the next Step compare all workers with their preferred owners.
func (h *Holder) ScheduleScan() { h.nextScan = time.Time{} }

// Step acquires and hands over leases and repeats unanswered messages whose
// time has come.
func (h *Holder) Step(now time.Time) {
	if !now.Before(h.nextScan) {
		h.nextScan = now.Add(scanInterval)
		h.findOwn()
		for _, w := range h.own {
			h.stepWorker(now, w)
		}
		h.expireReservations(now)
		h.repeat(now)
	}
}

// findOwn goes through all workers of the cell for those that are held or
// preferred, when the list or the preference may have changed. A cell has a
// hundred times the workers of one instance.
func (h *Holder) findOwn() {
	if h.o.OwnerGeneration != nil {
		generation := h.o.OwnerGeneration()
		if !h.relisted && generation == h.generation {
			return
		}
		h.generation = generation
	}
	h.relisted = false
	clear(h.own)
	h.own = h.own[:0]
	for _, w := range h.workers {
		w.preferred = h.o.PreferredOwner(w.Worker) == h.o.Self
		if w.held || w.preferred {
			h.own = append(h.own, w)
		}
	}
	slices.SortFunc(h.own, compareWorkers)
}

func (h *Holder) stepWorker(now time.Time, w *worker) {
	preferred := !h.closing && w.preferred
	switch {
	case w.held && !preferred:
		h.stepHandover(now, w)
	case w.held && !w.handoverBy.IsZero():
		w.handoverBy = time.Time{}
		h.applyDraining(w)
	case !w.held && preferred && w.listed && !now.Before(w.retryAt):
		w.retryAt = now.Add(acquireTimeout)
		h.o.Emit(event.AcquireLease{Worker: w.Worker, Revision: h.o.DocumentRevision()})
	}
}

// stepHandover stops placing on the worker at once and releases its lease when
// no start is in flight.
func (h *Holder) stepHandover(now time.Time, w *worker) {
	if w.handoverBy.IsZero() {
		w.handoverBy = now.Add(handoverLimit)
		h.o.Index.SetDrained(w.ID, true)
	}
	for _, a := range w.attempts {
		if a.state < attemptRunning && now.Before(w.handoverBy) {
			return
		}
	}
	h.release(w)
}

func (h *Holder) release(w *worker) {
	h.o.Emit(event.ReleaseLease{Worker: w.ID, Term: w.term})
	h.o.Emit(event.Trace{Kind: event.TraceLeaseReleased, Worker: w.ID})
	h.dropLease(w, "lease handed over")
	w.handoverBy = time.Time{}
}

// Close stops acquiring leases and hands all of them over.
func (h *Holder) Shutdown() {
	h.closing = true
	h.ScheduleScan()
}

// Held returns the number of leases held.
func (h *Holder) HeldCount() int { return h.held }

// Idle reports whether no lease is held and no start is in flight.
func (h *Holder) IsIdle() bool {
	if h.held > 0 {
		return false
	}
	for _, a := range h.attempts {
		if a.state < attemptFinished {
			return false
		}
	}
	return true
}

// Listed reports whether the platform lists a worker, and returns it.
func (h *Holder) ListedWorker(id model.WorkerID) (model.Worker, bool) {
	w, ok := h.workers[id]
	if !ok {
		return model.Worker{}, false
	}
	return w.Worker, w.listed
}

// Newest returns the highest document revision that a worker reported.
func (h *Holder) NewestRevision() model.Revision { return h.newest }

// Granted takes over a worker's lease. The report is the worker's whole truth:
// an attempt that it does not name was not started, unless the worker has
// restarted since.
func (h *Holder) HandleLeaseGranted(now time.Time, g event.LeaseGranted) {
	w, ok := h.workers[g.Worker.ID]
	if !ok {
		w = &worker{Worker: g.Worker, attempts: map[model.Attempt]*attempt{}}
		h.workers[g.Worker.ID] = w
	}
	restarted := w.life != 0 && w.life != g.Incarnation
	if w.held {
		h.o.Index.RemoveWorker(w.ID)
	} else {
		h.held++
		h.relisted = true
	}
	w.held = true
	w.holder = h.o.Self
	w.term = g.Term
	w.life = g.Incarnation
	w.capacity = g.Capacity
	w.leaving = g.Leaving
	w.Rack = g.Worker.Rack
	h.newest = max(h.newest, g.Revision)
	h.o.Index.UpsertWorker(w.Worker, g.Term, g.Capacity)
	h.applyDraining(w)
	h.o.Emit(event.Trace{Kind: event.TraceLeaseGranted, Worker: w.ID, Detail: termDetail(g.Term, len(g.Tasks))})
	reported := make(map[model.Attempt]bool, len(g.Tasks))
	for _, report := range g.Tasks {
		reported[report.Attempt] = true
		h.adopt(now, w, report)
	}
	for _, a := range sortedAttempts(w.attempts) {
		key := a.id
		if reported[key] || a.final() {
			continue
		}
		h.settleUnreported(now, w, a, restarted)
	}
}

// settleUnreported ends an attempt that a new grant does not name.
func (h *Holder) settleUnreported(now time.Time, w *worker, a *attempt, restarted bool) {
	report := a.report
	report.Attempt = a.id
	switch {
	case a.state == attemptReserved:
		h.finish(now, w, a, event.AttemptRefused, report, "the lease was granted again before the start was sent")
	case restarted && a.life != w.life:
		report.State = model.TaskLost
		h.finish(now, w, a, event.AttemptUncertain, report, "the worker restarted")
	default:
		report.State = model.TaskNeverSeen
		h.finish(now, w, a, event.AttemptRefused, report, "the worker never saw the attempt and refuses its term")
	}
}

// Denied notes that another holder's lease has not expired.
func (h *Holder) HandleLeaseDenied(now time.Time, d event.LeaseDenied) {
	w, ok := h.workers[d.Worker]
	if !ok {
		return
	}
	w.holder = d.Holder
	w.retryAt = now.Add(deniedRetry)
	if d.Until.After(now) && d.Until.Before(w.retryAt) {
		w.retryAt = d.Until
	}
}

// Lost ends a lease that lapsed or whose session ended.
func (h *Holder) HandleLeaseLost(now time.Time, l event.LeaseLost) {
	w, ok := h.workers[l.Worker]
	if !ok {
		return
	}
	w.retryAt = now.Add(lostRetry)
	if !w.held || l.Term < w.term {
		return
	}
	h.o.Emit(event.Trace{Kind: event.TraceLeaseLost, Worker: w.ID, Detail: l.Reason})
	h.dropLease(w, l.Reason)
}

// dropLease forgets the lease. Attempts that were sent stay known until the
// worker or its next owner accounts for them.
func (h *Holder) dropLease(w *worker, reason string) {
	w.held = false
	w.holder = ""
	h.held--
	h.o.Index.RemoveWorker(w.ID)
	for _, a := range sortedAttempts(w.attempts) {
		key := a.id
		switch {
		case a.state == attemptReserved:
			h.forget(w, a)
			h.tell(a, event.AttemptRefused, model.TaskReport{Attempt: key}, reason)
		case a.final():
		case a.viaRunner() && !a.unheard:
			h.free(a)
			// The answer arrives on the runner's call, which needs no lease.
		default:
			h.forget(w, a)
			h.tell(a, event.AttemptUncertain, model.TaskReport{Attempt: key}, reason)
		}
	}
	for key, r := range h.reservations {
		r.drop(w.ID)
		if len(r.rooms) == 0 {
			delete(h.reservations, key)
		}
	}
}

// Leaving stops placing on a worker that announced that it leaves.
func (h *Holder) HandleWorkerLeaving(l event.WorkerLeaving) {
	w, ok := h.workers[l.Worker]
	if !ok {
		return
	}
	w.leaving = true
	h.applyDraining(w)
	h.o.Emit(event.Trace{Kind: event.TraceDraining, Worker: w.ID, Detail: "announced by the worker"})
}

// SetDrained takes over the list of drained workers of the document.
func (h *Holder) SetDrainedWorkers(drained func(model.WorkerID) bool) {
	for _, w := range h.workers {
		w.drained = drained(w.ID)
		if w.held {
			h.applyDraining(w)
		}
	}
}

// draining reports whether the worker is to get no new work.
func (w *worker) draining() bool { return w.Leaving || w.leaving || w.drained }

func (h *Holder) applyDraining(w *worker) {
	h.o.Index.SetDrained(w.ID, w.draining() || !w.handoverBy.IsZero())
}

// Views lists all known workers for operators.
func (h *Holder) WorkerViews() []event.WorkerView {
	views := make([]event.WorkerView, 0, len(h.workers))
	for _, w := range h.workers {
		v := event.WorkerView{
			Worker:      w.Worker,
			Term:        w.term,
			Holder:      w.holder,
			Capacity:    w.capacity,
			Draining:    w.draining(),
			Quarantined: w.quarantined,
		}
		for _, a := range w.attempts {
			if a.state < attemptFinished {
				v.Tasks++
				v.Reserved = v.Reserved.Add(a.amount)
			}
		}
		views = append(views, v)
	}
	return views
}
