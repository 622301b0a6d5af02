package home

import (
	"time"

	"fuchsiacross/event"
	"fuchsiacross/model"
	"fuchsiacross/placement"
)

const (
	// gangTimeout is how long a gang may hold rooms before all of its tasks have
	// one. Peers release unconfirmed rooms at the same time.
	gangTimeout = time.Second
	// gangRetry is the first wait before a gang tries again; it doubles with
	// each try up to gangRetryLimit and is spread by a random share, so that two
	// gangs that compete for the same rooms do not keep in step.
	gangRetry      = 100 * time.Millisecond
	gangRetryLimit = 3 * time.Second
)

// gang is the reservation of all tasks of a request at once. Instances are
// asked one after the other in ascending order, so that gangs cannot hold rooms
// that each other needs for longer than gangTimeout.
type gang struct {
	order   []model.InstanceID // left to ask
	missing []uint32           // tasks without a room
	calls   []*call            // that hold rooms at peers
	until   time.Time
}

// placeGang starts to reserve room for all tasks. The item leaves the queue
// and returns to it when not all of them fit.
func (t *Table) placeGang(now time.Time, r *request, amount model.Resources) bool {
	if r.gang != nil || now.Before(r.remoteAt) {
		return false
	}
	waiting, active := r.waitingTasks()
	if active > 0 && !r.atMostOnce() {
		r.remoteAt = now.Add(preemptionPause)
		r.reason = "other tasks of the gang are being stopped"
		t.stopGang(r)
		return false
	}
	ask := placement.Requirements{Request: r.spec, Resources: amount, ExcludedWorkers: r.exclude}
	choices := t.o.Index.PickMany(now, ask, len(waiting))
	if len(choices) < len(waiting) && (t.draining || !t.gangMayFit(r, amount, len(waiting)-len(choices))) {
		t.preemptFor(now, r, ask)
		r.reason = "not all tasks of the gang have room"
		return false
	}
	g := &gang{order: t.o.Members.ServingIDs(), missing: waiting, until: now.Add(gangTimeout)}
	if len(choices) == len(waiting) {
		g.order = []model.InstanceID{t.o.Self}
	}
	for _, i := range waiting {
		r.tasks[i].state = taskReserving
	}
	r.gang = g
	t.stepGang(now, r, amount)
	return true
}

// gangMayFit compares a gang with the free capacity that peers announced, so
// that a gang that cannot fit does not take rooms in vain.
func (t *Table) gangMayFit(r *request, amount model.Resources, missing int) bool {
	free := t.o.Members.FreePeerCapacity(r.spec.Class)
	return amount.Multiply(int64(missing)).Fits(free)
}

// stepGang asks the next instance for the tasks that have no room yet.
func (t *Table) stepGang(now time.Time, r *request, amount model.Resources) {
	g := r.gang
	for len(g.missing) > 0 && len(g.order) > 0 {
		next := g.order[0]
		g.order = g.order[1:]
		if next != t.o.Self {
			g.calls = append(g.calls, t.reserveAt(now, r, next, g.missing))
			return
		}
		t.gangHere(now, r, amount)
	}
	if len(g.missing) > 0 {
		t.failGang(now, r)
		return
	}
	t.launchGang(now, r)
}

// gangHere reserves what fits on this instance's workers.
func (t *Table) gangHere(now time.Time, r *request, amount model.Resources) {
	g := r.gang
	ask := placement.Requirements{Request: r.spec, Resources: amount, ExcludedWorkers: r.exclude}
	choices := t.o.Index.PickMany(now, ask, len(g.missing))
	var missing []uint32
	for i, index := range g.missing {
		if i >= len(choices) || !t.reserveHere(r, &r.tasks[index], choices[i], amount) {
			missing = append(missing, index)
			continue
		}
		r.tasks[index].state = taskIntending
	}
	g.missing = missing
}

// gangReserved takes a peer's answer for a gang.
func (t *Table) gangReserved(now time.Time, c *call, m event.Reserved) {
	r := c.request
	n := min(len(m.Workers), len(m.WorkerIncarnations), len(c.tasks))
	if n > 0 {
		t.takeRooms(now, c, m)
	} else {
		delete(t.reservations, c.id)
	}
	r.gang.missing = append([]uint32(nil), c.tasks[n:]...)
	c.tasks = c.tasks[:n]
	t.stepGang(now, r, t.amount(r))
}

// launchGang starts all tasks, after their intents are committed where they
// must run at most once.
func (t *Table) launchGang(now time.Time, r *request) {
	g := r.gang
	r.gang = nil
	for i := range r.tasks {
		if x := &r.tasks[i]; x.owner == t.o.Self && x.state == taskIntending {
			t.launch(now, r, x)
		}
	}
	for _, c := range g.calls {
		if len(c.rooms) > 0 {
			t.launchCall(now, c)
		}
	}
}

// failGang gives back all rooms and makes the gang wait.
func (t *Table) failGang(now time.Time, r *request) {
	t.dropGang(now, r)
	r.reason = "not all tasks of the gang have room"
	for i := range r.tasks {
		if x := &r.tasks[i]; x.state == taskReserving {
			x.state = taskWaiting
		}
	}
	r.gangTries++
	wait := min(gangRetry<<min(r.gangTries, 8), gangRetryLimit)
	t.push(now, r, 0, now.Add(wait/2+t.jitter(wait)))
}

// dropGang gives back all rooms that a gang holds.
func (t *Table) dropGang(_ time.Time, r *request) {
	g := r.gang
	if g == nil {
		return
	}
	r.gang = nil
	for _, c := range g.calls {
		delete(t.reservations, c.id)
		t.o.Emit(event.SendPeer{To: c.peer, Message: event.ReleaseReservation{Call: c.id}})
	}
	for i := range r.tasks {
		x := &r.tasks[i]
		if x.owner == t.o.Self && x.state == taskIntending {
			t.o.Leases.ReleaseAttempt(x.attempt(r.spec.ID))
			x.state = taskReserving
		}
	}
}

// waitingTasks lists the tasks of a gang that have to start, and counts those
// that have started or hold room.
func (r *request) waitingTasks() (waiting []uint32, active int) {
	for i := range r.tasks {
		switch r.tasks[i].state {
		case taskWaiting:
			waiting = append(waiting, uint32(i))
		case taskDone:
		default:
			active++
		}
	}
	return waiting, active
}

// requeueGang takes a task of a gang that has to start again. Where the tasks
// may run more than once the others are stopped first, so that all that have
// not finished start together again.
func (t *Table) requeueGang(now time.Time, r *request, delay time.Duration) {
	if _, waits := t.o.Queue.Get(r.spec.ID, 0); waits {
		return
	}
	t.push(now, r, 0, now.Add(delay))
}

// stopGang stops the tasks of a gang of which one has ended early. A gang that
// may run only once is left to finish with what it has.
func (t *Table) stopGang(r *request) {
	if r.atMostOnce() {
		return
	}
	for i := range r.tasks {
		t.stopTask(r, &r.tasks[i])
	}
}

// callTimedOut gives up a peer that did not answer.
func (t *Table) callTimedOut(now time.Time, c *call) {
	if c.request.gang != nil {
		delete(t.reservations, c.id)
		t.failGang(now, c.request)
		return
	}
	t.dropCall(now, c, false)
}
