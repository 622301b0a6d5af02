package home

import (
	"time"

	"fuchsiacross/event"
	"fuchsiacross/model"
	"fuchsiacross/placement"
)

const (
	// gangReservationTimeout is how long a gang may hold capacity for only some
	// of its tasks. Peers release unconfirmed capacity after the same time.
	gangReservationTimeout = time.Second
	// The delay before a gang is retried is minGangRetryDelay, doubled with each
	// failure including the first one, up to maxGangRetryDelay. It is jittered
	// between half and one and a half of that, so that two gangs that compete
	// for the same capacity do not retry in lockstep.
	minGangRetryDelay = 100 * time.Millisecond
	maxGangRetryDelay = 3 * time.Second
)

// gangReservation is an attempt to reserve capacity for all tasks of a gang.
// A gang is a request whose tasks have to start together. Instances are asked
// one at a time, in the same ascending order for all gangs, to avoid deadlocks.
// Two gangs that still hold capacity which the other one needs block each other
// for at most gangReservationTimeout.
type gangReservation struct {
	remainingInstances []model.InstanceID // instances that have not been asked yet
	unreservedTasks    []uint32           // tasks without reserved capacity
	reservations       []*reservation     // reservations at peers
	expiresAt          time.Time
}

// placeGang starts to reserve capacity for all waiting tasks of a gang. It
// returns true if the item leaves the queue; the item is enqueued again if
// not all tasks fit.
func (t *Table) placeGang(now time.Time, r *request, resources model.Resources) bool {
	if r.gang != nil || now.Before(r.remoteRetryAt) {
		return false
	}
	waiting, active := r.waitingTasks()
	if active > 0 && !r.atMostOnce() {
		r.remoteRetryAt = now.Add(preemptionDelay)
		r.waitReason = "other tasks of the gang are being stopped"
		t.stopGang(r)
		return false
	}
	requirements := placement.Requirements{Request: r.spec, Resources: resources, ExcludedWorkers: r.excludedWorkers}
	choices := t.opts.Index.PickMany(now, requirements, len(waiting))
	if len(choices) < len(waiting) && (t.draining || !t.gangMayFitElsewhere(r, resources, len(waiting)-len(choices))) {
		t.preemptForRequest(now, r, requirements)
		r.waitReason = "not all tasks of the gang have room"
		return false
	}
	g := &gangReservation{remainingInstances: t.opts.Members.ServingIDs(), unreservedTasks: waiting, expiresAt: now.Add(gangReservationTimeout)}
	if len(choices) == len(waiting) {
		g.remainingInstances = []model.InstanceID{t.opts.Self}
	}
	for _, i := range waiting {
		r.tasks[i].state = taskReserving
	}
	r.gang = g
	t.reserveGangAtNext(now, r, resources)
	return true
}

// gangMayFitElsewhere compares the tasks that do not fit here with the free
// capacity that peers announce, so that a gang that cannot fit reserves
// nothing.
func (t *Table) gangMayFitElsewhere(r *request, resources model.Resources, unplaced int) bool {
	free := t.opts.Members.FreePeerCapacity(r.spec.Class)
	return resources.Multiply(int64(unplaced)).Fits(free)
}

// reserveGangAtNext asks the next instance to reserve capacity for the
// remaining tasks. It starts the gang when all tasks have capacity, and fails
// it when no instance is left to ask.
func (t *Table) reserveGangAtNext(now time.Time, r *request, resources model.Resources) {
	g := r.gang
	for len(g.unreservedTasks) > 0 && len(g.remainingInstances) > 0 {
		next := g.remainingInstances[0]
		g.remainingInstances = g.remainingInstances[1:]
		if next != t.opts.Self {
			g.reservations = append(g.reservations, t.reserveAtPeer(now, r, next, g.unreservedTasks))
			return
		}
		t.reserveGangLocal(now, r, resources)
	}
	if len(g.unreservedTasks) > 0 {
		t.failGang(now, r)
		return
	}
	t.launchGang(now, r)
}

// reserveGangLocal reserves capacity for as many tasks as fit on this
// instance's workers.
func (t *Table) reserveGangLocal(now time.Time, r *request, resources model.Resources) {
	g := r.gang
	requirements := placement.Requirements{Request: r.spec, Resources: resources, ExcludedWorkers: r.excludedWorkers}
	choices := t.opts.Index.PickMany(now, requirements, len(g.unreservedTasks))
	var unreserved []uint32
	for i, index := range g.unreservedTasks {
		if i >= len(choices) || !t.reserveLocal(r, &r.tasks[index], choices[i], resources) {
			unreserved = append(unreserved, index)
			continue
		}
		r.tasks[index].state = taskCommittingIntent
	}
	g.unreservedTasks = unreserved
}

// handleGangReserved handles a peer's answer to a reservation for a gang.
func (t *Table) handleGangReserved(now time.Time, res *reservation, m event.Reserved) {
	r := res.request
	n := min(len(m.Workers), len(m.WorkerIncarnations), len(res.tasks))
	if n > 0 {
		t.assignReservedWorkers(now, res, m)
	} else {
		delete(t.reservations, res.id)
	}
	r.gang.unreservedTasks = append([]uint32(nil), res.tasks[n:]...)
	res.tasks = res.tasks[:n]
	t.reserveGangAtNext(now, r, t.taskResources(r))
}

// launchGang starts all tasks. If they must run at most once, the starts are
// sent only after the intents have been committed.
func (t *Table) launchGang(now time.Time, r *request) {
	g := r.gang
	r.gang = nil
	for i := range r.tasks {
		if task := &r.tasks[i]; task.owner == t.opts.Self && task.state == taskCommittingIntent {
			t.launchTask(now, r, task)
		}
	}
	for _, res := range g.reservations {
		if len(res.attempts) > 0 {
			t.launchReservation(now, res)
		}
	}
}

// failGang releases what the gang has reserved and enqueues it for a retry.
func (t *Table) failGang(now time.Time, r *request) {
	t.releaseGang(now, r)
	r.waitReason = "not all tasks of the gang have room"
	for i := range r.tasks {
		if task := &r.tasks[i]; task.state == taskReserving {
			task.state = taskWaiting
		}
	}
	r.gangFailures++
	delay := min(minGangRetryDelay<<min(r.gangFailures, 8), maxGangRetryDelay)
	t.enqueueTask(now, r, 0, now.Add(delay/2+t.jitter(delay)))
}

// releaseGang releases all capacity that a gang has reserved.
func (t *Table) releaseGang(_ time.Time, r *request) {
	g := r.gang
	if g == nil {
		return
	}
	r.gang = nil
	for _, res := range g.reservations {
		delete(t.reservations, res.id)
		t.opts.Emit(event.SendPeer{To: res.peer, Message: event.ReleaseReservation{Call: res.id}})
	}
	for i := range r.tasks {
		task := &r.tasks[i]
		if task.owner == t.opts.Self && task.state == taskCommittingIntent {
			t.opts.Leases.ReleaseAttempt(task.attemptID(r.spec.ID))
			task.state = taskReserving
		}
	}
}

// waitingTasks returns the tasks that wait to be placed and the number of
// tasks that have started or hold reserved capacity.
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

// requeueGang enqueues a gang after one of its tasks has to start again.
// placeGang first stops the other tasks if they may run more than once, so
// that all unfinished tasks start together again.
func (t *Table) requeueGang(now time.Time, r *request, delay time.Duration) {
	if _, queued := t.opts.Queue.Get(r.spec.ID, 0); queued {
		return
	}
	t.enqueueTask(now, r, 0, now.Add(delay))
}

// stopGang stops the running tasks of a gang that has to start again. A gang
// that must run at most once is left to finish with the tasks it has.
func (t *Table) stopGang(r *request) {
	if r.atMostOnce() {
		return
	}
	for i := range r.tasks {
		t.stopTask(r, &r.tasks[i])
	}
}

// handleReservationTimeout drops a reservation that the peer did not answer
// in time.
func (t *Table) handleReservationTimeout(now time.Time, res *reservation) {
	if res.request.gang != nil {
		delete(t.reservations, res.id)
		t.failGang(now, res.request)
		return
	}
	t.dropReservation(now, res, false)
}
