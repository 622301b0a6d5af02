package lease

import (
	"time"

	"fuchsiacross/event"
	"fuchsiacross/model"
	"fuchsiacross/placement"
)

// reservationKey identifies a peer's reservation.
type reservationKey struct {
	peer model.InstanceID
	call event.CallID
}

// reservation is capacity that a peer has reserved and not yet confirmed.
type reservation struct {
	request     *model.Request
	expiresAt   time.Time
	allocations []allocation
}

// allocation is the capacity reserved on one worker for one task of a
// reservation.
type allocation struct {
	worker            model.WorkerID
	workerIncarnation model.Incarnation
	placeholder       model.Attempt // identifies the allocation in the index until an attempt takes it
	resources         model.Resources
}

// dropWorker removes the allocations on a worker.
func (r *reservation) dropWorker(id model.WorkerID) {
	kept := r.allocations[:0]
	for _, alloc := range r.allocations {
		if alloc.worker != id {
			kept = append(kept, alloc)
		}
	}
	r.allocations = kept
}

// placeholderTaskBase is the first task number of the placeholders under
// which the index keeps allocations. The largest task number of a request is
// far below it.
const placeholderTaskBase = 1 << 31

// ReserveForPeer reserves capacity for a peer's tasks until a deadline and
// answers with one worker for each task that fits. A repeated call gets the
// same answer.
func (h *Holder) ReserveForPeer(now time.Time, peer model.InstanceID, m event.Reserve) event.Reserved {
	key := reservationKey{peer, m.Call}
	r, ok := h.reservations[key]
	if !ok {
		r = &reservation{request: m.Request, expiresAt: m.Until}
		h.allocate(now, r, m)
		if len(r.allocations) > 0 {
			h.reservations[key] = r
		}
	}
	reply := event.Reserved{Call: m.Call}
	for _, alloc := range r.allocations {
		reply.Workers = append(reply.Workers, alloc.worker)
		reply.WorkerIncarnations = append(reply.WorkerIncarnations, alloc.workerIncarnation)
	}
	return reply
}

// allocate reserves capacity for as many tasks of a reservation as fit.
func (h *Holder) allocate(now time.Time, r *reservation, m event.Reserve) {
	resources := h.opts.Index.EffectiveResources(m.Request.Team, m.Request.Workload, m.Request.Resources)
	requirements := placement.Requirements{Request: m.Request, Resources: resources}
	if h.startsSuspended {
		return
	}
	for i, choice := range h.opts.Index.PickMany(now, requirements, int(m.Count)) {
		placeholder := model.Attempt{
			Request: m.Request.ID,
			Task:    placeholderTaskBase + uint32(i),
			Number:  uint32(m.Call),
		}
		w := h.workers[choice.Worker]
		if w == nil || !w.held || !h.opts.Index.Reserve(choice.Worker, placeholder, m.Request, resources) {
			continue
		}
		r.allocations = append(r.allocations, allocation{worker: choice.Worker, workerIncarnation: w.incarnation, placeholder: placeholder, resources: resources})
	}
}

// ConfirmForPeer starts attempts on reserved capacity. An attempt whose
// capacity is gone is refused; capacity that no attempt uses is released.
func (h *Holder) ConfirmForPeer(peer model.InstanceID, m event.Confirm) {
	key := reservationKey{peer, m.Call}
	r, ok := h.reservations[key]
	delete(h.reservations, key)
	if !ok {
		r = &reservation{}
	}
	for _, alloc := range r.allocations {
		h.opts.Index.Release(alloc.placeholder)
	}
	for _, placed := range m.Attempts {
		if _, known := h.attempts[placed.Attempt]; known {
			continue
		}
		if !h.startConfirmed(r, placed, m.Request) {
			h.refuseConfirmed(placed)
		}
	}
}

// startConfirmed starts one attempt in place of its allocation.
func (h *Holder) startConfirmed(r *reservation, placed event.AttemptPlacement, request *model.Request) bool {
	for i, alloc := range r.allocations {
		if alloc.worker != placed.Worker || alloc.workerIncarnation != placed.WorkerIncarnation {
			continue
		}
		r.allocations = append(r.allocations[:i:i], r.allocations[i+1:]...)
		incarnation, ok := h.ReserveAttempt(placed.Worker, placed.Attempt, request, alloc.resources)
		if !ok || incarnation != placed.WorkerIncarnation {
			h.ReleaseAttempt(placed.Attempt)
			return false
		}
		return h.StartAttempt(placed.Attempt)
	}
	return false
}

// refuseConfirmed reports an attempt that was not sent to its worker as
// refused. The attempt is not fenced at the worker, so the home must not use
// its number again.
func (h *Holder) refuseConfirmed(placed event.AttemptPlacement) {
	a := &attempt{id: placed.Attempt, worker: placed.Worker}
	h.sendUpdate(a, event.AttemptRefused, model.TaskReport{Attempt: placed.Attempt}, "the reserved room is gone")
}

// ReleaseForPeer releases a peer's reservation.
func (h *Holder) ReleaseForPeer(peer model.InstanceID, call event.CallID) {
	key := reservationKey{peer, call}
	r, ok := h.reservations[key]
	if !ok {
		return
	}
	delete(h.reservations, key)
	for _, alloc := range r.allocations {
		h.opts.Index.Release(alloc.placeholder)
	}
}

// expireReservations releases the reservations that were not confirmed in
// time.
func (h *Holder) expireReservations(now time.Time) {
	for key, r := range h.reservations {
		if now.After(r.expiresAt) {
			h.ReleaseForPeer(key.peer, key.call)
		}
	}
}
