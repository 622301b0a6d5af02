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

// reservation is room that a peer has asked for and not yet confirmed.
type reservation struct {
	request *model.Request
	until   time.Time
	rooms   []room
}

type room struct {
	worker model.WorkerID
	life   model.Incarnation
	holder model.Attempt // under which the index holds the room
	amount model.Resources
}

func (r *reservation) drop(id model.WorkerID) {
	kept := r.rooms[:0]
	for _, x := range r.rooms {
		if x.worker != id {
			kept = append(kept, x)
		}
	}
	r.rooms = kept
}

// reservedTask marks the index keys of room that no attempt has taken yet. The
// largest task number of a request is far below it.
const reservedTask = 1 << 31

// ReserveFor holds room for a peer's tasks until a deadline and answers with
// one worker for each task that fits. A repeated call gets the same answer.
func (h *Holder) ReserveForPeer(now time.Time, peer model.InstanceID, m event.Reserve) event.Reserved {
	key := reservationKey{peer, m.Call}
	r, ok := h.reservations[key]
	if !ok {
		r = &reservation{request: m.Request, until: m.Until}
		h.fill(now, r, m)
		if len(r.rooms) > 0 {
			h.reservations[key] = r
		}
	}
	reply := event.Reserved{Call: m.Call}
	for _, x := range r.rooms {
		reply.Workers = append(reply.Workers, x.worker)
		reply.WorkerIncarnations = append(reply.WorkerIncarnations, x.life)
	}
	return reply
}

func (h *Holder) fill(now time.Time, r *reservation, m event.Reserve) {
	amount := h.o.Index.EffectiveResources(m.Request.Team, m.Request.Workload, m.Request.Resources)
	ask := placement.Requirements{Request: m.Request, Resources: amount}
	if h.holding {
		return
	}
	for i, choice := range h.o.Index.PickMany(now, ask, int(m.Count)) {
		holder := model.Attempt{
			Request: m.Request.ID,
			Task:    reservedTask + uint32(i),
			Number:  uint32(m.Call),
		}
		w := h.workers[choice.Worker]
		if w == nil || !w.held || !h.o.Index.Reserve(choice.Worker, holder, m.Request, amount) {
			continue
		}
		r.rooms = append(r.rooms, room{worker: choice.Worker, life: w.life, holder: holder, amount: amount})
	}
}

// Confirm starts attempts on reserved room. An attempt whose room is gone is
// refused; room that no attempt names is released.
func (h *Holder) ConfirmForPeer(peer model.InstanceID, m event.Confirm) {
	key := reservationKey{peer, m.Call}
	r, ok := h.reservations[key]
	delete(h.reservations, key)
	if !ok {
		r = &reservation{}
	}
	for _, x := range r.rooms {
		h.o.Index.Release(x.holder)
	}
	for _, at := range m.Attempts {
		if _, known := h.attempts[at.Attempt]; known {
			continue
		}
		if !h.startConfirmed(r, at, m.Request) {
			h.refuseConfirmed(at)
		}
	}
}

// startConfirmed starts one attempt in the place of its room.
func (h *Holder) startConfirmed(r *reservation, at event.AttemptPlacement, request *model.Request) bool {
	for i, x := range r.rooms {
		if x.worker != at.Worker || x.life != at.WorkerIncarnation {
			continue
		}
		r.rooms = append(r.rooms[:i:i], r.rooms[i+1:]...)
		life, ok := h.ReserveAttempt(at.Worker, at.Attempt, request, x.amount)
		if !ok || life != at.WorkerIncarnation {
			h.ReleaseAttempt(at.Attempt)
			return false
		}
		return h.StartAttempt(at.Attempt)
	}
	return false
}

// refuseConfirmed answers for an attempt that was not sent to its worker. The
// attempt is not fenced there: the home must not name it again.
func (h *Holder) refuseConfirmed(at event.AttemptPlacement) {
	a := &attempt{id: at.Attempt, worker: at.Worker}
	h.tell(a, event.AttemptRefused, model.TaskReport{Attempt: at.Attempt}, "the reserved room is gone")
}

// ReleaseFor gives back a peer's reservation.
func (h *Holder) ReleaseForPeer(peer model.InstanceID, call event.CallID) {
	key := reservationKey{peer, call}
	r, ok := h.reservations[key]
	if !ok {
		return
	}
	delete(h.reservations, key)
	for _, x := range r.rooms {
		h.o.Index.Release(x.holder)
	}
}

func (h *Holder) expireReservations(now time.Time) {
	for key, r := range h.reservations {
		if now.After(r.until) {
			h.ReleaseForPeer(key.peer, key.call)
		}
	}
}
