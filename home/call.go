package home

import (
	"time"

	"fuchsiacross/event"
	"fuchsiacross/model"
)

// call is a question to a peer for room.
type call struct {
	id      event.CallID
	peer    model.InstanceID
	request *request
	tasks   []uint32
	until   time.Time
	rooms   []event.AttemptPlacement // one for each task, once reserved
	intents int                      // intents that are not committed
}

// reserveAt asks a peer for room for tasks.
func (t *Table) reserveAt(now time.Time, r *request, peer model.InstanceID, tasks []uint32) *call {
	c := &call{
		id:      t.o.NextCall(),
		peer:    peer,
		request: r,
		tasks:   tasks,
		until:   now.Add(reserveTimeout),
	}
	t.reservations[c.id] = c
	for _, i := range tasks {
		r.tasks[i].state = taskReserving
		r.tasks[i].owner = peer
	}
	t.o.Emit(event.SendPeer{To: peer, Message: event.Reserve{
		Call:    c.id,
		Request: withoutBody(r.spec),
		Count:   uint32(len(tasks)),
		Until:   c.until,
	}})
	return c
}

// withoutBody returns a copy of a request that is sent to ask for room.
func withoutBody(r *model.Request) *model.Request {
	c := *r
	c.Body = nil
	return &c
}

// Reserved takes a peer's answer to a question for room.
func (t *Table) HandleReserved(now time.Time, peer model.InstanceID, m event.Reserved) {
	c, ok := t.reservations[m.Call]
	if !ok || c.peer != peer || c.rooms != nil {
		t.o.Emit(event.SendPeer{To: peer, Message: event.ReleaseReservation{Call: m.Call}})
		return
	}
	r := c.request
	if r.gang != nil {
		t.gangReserved(now, c, m)
		return
	}
	if len(m.Workers) == 0 || len(m.WorkerIncarnations) < len(m.Workers) || r.outcome != nil || r.cancelled {
		t.dropCall(now, c, len(m.Workers) > 0)
		return
	}
	t.takeRooms(now, c, m)
	t.launchCall(now, c)
}

// takeRooms makes the next attempt of each task of the call.
func (t *Table) takeRooms(_ time.Time, c *call, m event.Reserved) {
	r := c.request
	for i, index := range c.tasks[:min(len(c.tasks), len(m.Workers))] {
		x := &r.tasks[index]
		x.next()
		x.worker, x.life, x.owner = m.Workers[i], m.WorkerIncarnations[i], c.peer
		c.rooms = append(c.rooms, event.AttemptPlacement{Attempt: x.attempt(r.spec.ID), Worker: x.worker, WorkerIncarnation: x.life})
		t.traceTask(event.TraceReserved, r, x, "")
	}
}

// launchCall confirms a call, after its intents are committed where the tasks
// must run at most once.
func (t *Table) launchCall(now time.Time, c *call) {
	r := c.request
	r.reason = ""
	if !r.atMostOnce() {
		t.confirm(now, c)
		return
	}
	c.intents = len(c.rooms)
	for _, room := range c.rooms {
		x := r.task(room.Attempt)
		x.state = taskIntending
		t.appendIntent(now, r, x)
	}
}

// confirm starts the reserved attempts of a call at its peer.
func (t *Table) confirm(now time.Time, c *call) {
	delete(t.reservations, c.id)
	r := c.request
	if r.cancelled || r.outcome != nil {
		t.o.Emit(event.SendPeer{To: c.peer, Message: event.ReleaseReservation{Call: c.id}})
		for _, room := range c.rooms {
			t.finishCancelled(now, r, r.task(room.Attempt))
		}
		return
	}
	t.o.Emit(event.SendPeer{To: c.peer, Message: event.Confirm{Call: c.id, Request: r.spec, Attempts: c.rooms}})
	for _, room := range c.rooms {
		t.sent(now, r, r.task(room.Attempt))
	}
}

// callOf returns the reservation that holds the room of an intended attempt.
func (t *Table) callOf(r *request, x *task) (*call, bool) {
	if x.owner == t.o.Self {
		return nil, false
	}
	for _, c := range t.reservations {
		if c.request != r {
			continue
		}
		for _, room := range c.rooms {
			if room.Attempt == x.attempt(r.spec.ID) {
				return c, true
			}
		}
	}
	return nil, false
}

// dropCall gives up a question for room and lets its tasks wait again.
func (t *Table) dropCall(now time.Time, c *call, held bool) {
	delete(t.reservations, c.id)
	if held {
		t.o.Emit(event.SendPeer{To: c.peer, Message: event.ReleaseReservation{Call: c.id}})
	}
	for _, i := range c.tasks {
		if x := &c.request.tasks[i]; x.state == taskReserving {
			t.requeue(now, c.request, x, t.jitter(remoteRetry))
		}
	}
}
