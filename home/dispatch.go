package home

import (
	"fmt"
	"time"

	"github.com/go-faster/errors"

	"fuchsiacross/admission"
	"fuchsiacross/event"
	"fuchsiacross/model"
	"fuchsiacross/placement"
	"fuchsiacross/requestjournal"
)

const (
	// reserveTimeout is how long a peer holds room that was not confirmed.
	reserveTimeout = time.Second
	// remoteRetry is the wait before peers are asked again for room for the
	// same request, doubled by a random share, so that a full cell is not
	// flooded with questions.
	remoteRetry = 50 * time.Millisecond
	// silenceLimit is how long a start at a peer may stay without news before
	// the attempt is fenced.
	silenceLimit = 2 * time.Second
	// fenceInterval is the wait between fences of one attempt.
	fenceInterval = 300 * time.Millisecond
	// giveUpAfter is how long an attempt may stay unaccounted for before its
	// request is reported as unknown.
	giveUpAfter = 15 * time.Second
	// ownerCheck is the wait between two looks at the owner of a running task,
	// which cost no message while nothing has changed.
	ownerCheck = 5 * time.Second
	// auditInterval is the wait between questions about a task that runs at a
	// peer. At 7,000 tasks it is 117 messages/s.
	auditInterval = time.Minute
	// maxFailures is how many attempts of an idempotent task may fail.
	maxFailures = 3
	// serviceHorizon is the deadline of another start of a service, which only
	// orders it in the queue.
	serviceHorizon = 24 * time.Hour
	// maxHops is how often an ephemeral request is forwarded.
	maxHops = 2
	// scanInterval is the time between scans for tasks whose fence is due.
	scanInterval = 100 * time.Millisecond
	// settledTime is how long the outcome of an ephemeral request is kept for a
	// caller that asks again.
	settledTime = 10 * time.Second
	// preemptionPause keeps a request from stopping further victims while the
	// first ones end.
	preemptionPause = 500 * time.Millisecond
)

// Step places what waits, and acts on deadlines that have passed.
func (t *Table) Step(now time.Time) {
	for i := range t.partitions {
		t.partitions[i].step(now)
	}
	for _, item := range t.o.Queue.RemoveExpired(now) {
		t.expire(now, item)
	}
	if !now.Before(t.nextScan) {
		t.nextScan = now.Add(scanInterval)
		t.dirty = true
		t.scan(now)
	}
	if t.dirty {
		t.dispatch(now)
	}
}

// enqueue puts the tasks of an accepted request into the queue. The tasks of a
// gang wait as one item.
func (t *Table) enqueue(now time.Time, r *request) {
	if r.spec.Gang {
		t.push(now, r, 0, now)
		return
	}
	for i := range r.tasks {
		if r.tasks[i].state == taskWaiting {
			t.push(now, r, uint32(i), now)
		}
	}
}

func (t *Table) push(now time.Time, r *request, index uint32, notBefore time.Time) {
	item := &admission.Item{
		Request:         r.spec,
		TaskIndex:       index,
		TaskCount:       1,
		Resources:       t.amount(r),
		Attempts:        r.tasks[index].tries,
		ExcludedWorkers: r.exclude,
		EnqueuedAt:      now,
		NotBefore:       notBefore,
	}
	if r.spec.Gang {
		item.TaskCount = r.spec.Tasks
	}
	if r.spec.Kind == model.KindService && r.started {
		// The deadline is that of the first start; a service goes on after it.
		again := *r.spec
		again.Deadline = now.Add(serviceHorizon)
		item.Request = &again
	}
	if r.partition != nil {
		// An accepted request is never dropped for lack of room in the queue.
		item.Attempts = max(1, item.Attempts)
	}
	t.dirty = true
	if t.placing {
		// The item being placed is still in the queue.
		t.deferredItems = append(t.deferredItems, item)
		return
	}
	t.pushItem(now, r, item)
}

func (t *Table) pushItem(now time.Time, r *request, item *admission.Item) {
	err := t.o.Queue.Push(now, item)
	if full, ok := errors.Into[*admission.QueueFullError](err); ok {
		t.settle(now, r, notRun(full.Error(), r.proof))
	}
}

// requeue makes a task wait for another attempt.
func (t *Table) requeue(now time.Time, r *request, x *task, delay time.Duration) {
	x.state = taskWaiting
	if r.cancelled || r.outcome != nil {
		t.finishCancelled(now, r, x)
		return
	}
	if r.spec.Gang {
		t.requeueGang(now, r, delay)
		return
	}
	t.push(now, r, x.index, now.Add(delay))
}

// dispatch places queued items until none fits.
func (t *Table) dispatch(now time.Time) {
	t.dirty = false
	for {
		t.placing = true
		_, ok := t.o.Queue.PopNext(now, func(i *admission.Item) admission.StartResult { return t.place(now, i) })
		t.placing = false
		again := t.deferredItems
		t.deferredItems = nil
		for _, item := range again {
			if r := t.requests[item.Request.ID]; r != nil && r.outcome == nil {
				t.pushItem(now, r, item)
			}
		}
		if !ok {
			t.holdForStarved()
			return
		}
	}
}

// holdForStarved keeps a worker for the request that waits longest without
// fitting, so that a stream of smaller work does not keep it out for ever.
func (t *Table) holdForStarved() {
	item, ok := t.o.Queue.StarvedItem()
	if !ok {
		return
	}
	r, ok := t.requests[item.Request.ID]
	if !ok || r.outcome != nil {
		return
	}
	ask := placement.Requirements{Request: r.spec, Resources: t.amount(r), ExcludedWorkers: r.exclude}
	if id, ok := t.o.Index.HoldWorker(ask); ok {
		t.o.Queue.MarkHeld(item)
		r.reason = "a worker is held for it: " + string(id)
	}
}

// amount returns what to reserve for each task of a request.
func (t *Table) amount(r *request) model.Resources {
	return t.o.Index.EffectiveResources(r.spec.Team, r.spec.Workload, r.spec.Resources)
}

// place starts an item here, or asks a peer for room.
func (t *Table) place(now time.Time, item *admission.Item) admission.StartResult {
	r, ok := t.requests[item.Request.ID]
	if !ok || r.outcome != nil || !r.spec.Gang && r.tasks[item.TaskIndex].state != taskWaiting {
		return admission.Started
	}
	if t.behind && r.spec.Class != model.ClassUrgent {
		r.reason = "a newer document is in force and not known here"
		return admission.Blocked
	}
	amount := t.amount(r)
	if !t.o.Quota.Allows(r.spec.Team, amount, t.o.Members.PeerTeamUsage(r.spec.Team)) {
		r.reason = "the team's quota is used up"
		return admission.Blocked
	}
	placed := false
	if r.spec.Gang {
		placed = t.placeGang(now, r, amount)
	} else {
		placed = t.placeTask(now, r, item, amount)
	}
	if placed {
		return admission.Started
	}
	return admission.NoCapacity
}

// placeTask starts one task here, or asks a peer for room. It returns false when
// the task has to wait.
func (t *Table) placeTask(now time.Time, r *request, item *admission.Item, amount model.Resources) bool {
	x := &r.tasks[item.TaskIndex]
	ask := placement.Requirements{Request: r.spec, Resources: amount, ExcludedWorkers: r.exclude, ServiceWorkers: r.beside()}
	if choice, ok := t.o.Index.Pick(now, ask); ok {
		if t.reserveHere(r, x, choice, amount) {
			t.launch(now, r, x)
			return true
		}
	}
	if t.placeRemote(now, r, x, amount) {
		return true
	}
	t.preemptFor(now, r, ask)
	if r.reason == "" {
		r.reason = "no worker has room"
	}
	return false
}

// reserveHere holds room on one of this instance's workers for the next attempt.
func (t *Table) reserveHere(r *request, x *task, choice placement.Choice, amount model.Resources) bool {
	x.next()
	life, ok := t.o.Leases.ReserveAttempt(choice.Worker, x.attempt(r.spec.ID), r.spec, amount)
	if !ok {
		return false
	}
	x.worker, x.life, x.owner = choice.Worker, life, t.o.Self
	return true
}

// launch starts a reserved attempt, after its intent is committed where the
// task must run at most once.
func (t *Table) launch(now time.Time, r *request, x *task) {
	r.reason = ""
	if !r.atMostOnce() {
		t.send(now, r, x)
		return
	}
	x.state = taskIntending
	t.appendIntent(now, r, x)
}

func (t *Table) appendIntent(now time.Time, r *request, x *task) {
	t.traceTask(event.TraceIntent, r, x, "")
	r.partition.journal.Append(now, requestjournal.Record{
		Kind:       requestjournal.RecordIntent,
		At:         now,
		ID:         r.spec.ID,
		Attempt:    x.attempt(r.spec.ID),
		Worker:     x.worker,
		WorkerLife: x.life,
	})
}

// intended sends a start whose intent is durable.
func (t *Table) intended(now time.Time, r *request, a model.Attempt) {
	x := r.task(a)
	if x == nil || x.number != a.Number || x.state != taskIntending {
		return
	}
	if c, ok := t.callOf(r, x); ok {
		c.intents--
		if c.intents == 0 {
			t.confirm(now, c)
		}
		return
	}
	if r.cancelled || r.outcome != nil {
		// Another task may have settled the request while the intent was being
		// committed.
		t.o.Leases.ReleaseAttempt(a)
		t.finishCancelled(now, r, x)
		return
	}
	t.send(now, r, x)
}

// send hands a reserved attempt to the lease holder of this instance.
func (t *Table) send(now time.Time, r *request, x *task) {
	a := x.attempt(r.spec.ID)
	if !t.o.Leases.StartAttempt(a) {
		t.notStarted(now, r, x, model.ProofNeverSent, "the lease was lost before the start was sent")
		return
	}
	t.sent(now, r, x)
}

func (t *Table) sent(now time.Time, r *request, x *task) {
	x.state = taskSent
	x.askAt = time.Time{}
	if x.owner != t.o.Self {
		x.askAt = now.Add(silenceLimit)
		t.watch(now, r, x)
	}
	r.note(now, x.attempt(r.spec.ID), x.worker, "start", "")
	t.traceTask(event.TraceStart, r, x, "")
	t.Counters.Started++
	t.Counters.wait(r.spec, now, !r.started)
	r.started = true
	if x.tries > 1 {
		t.Counters.Retries++
	} else {
		t.o.Retries.RecordFirstAttempt(now)
	}
}

// placeRemote forwards an ephemeral request to a peer, or asks a peer for room
// for a task of a journaled one.
func (t *Table) placeRemote(now time.Time, r *request, x *task, amount model.Resources) bool {
	if now.Before(r.remoteAt) || t.draining {
		return false
	}
	r.remoteAt = now.Add(remoteRetry + t.jitter(remoteRetry))
	if r.partition == nil && r.hops >= maxHops {
		return false
	}
	peer, ok := t.o.Members.SamplePeer(amount, r.spec.Class)
	if !ok {
		return false
	}
	if r.partition == nil {
		t.forward(now, r, x, peer)
		return true
	}
	t.reserveAt(now, r, peer, []uint32{x.index})
	return true
}

// forward hands an ephemeral request to a peer, which becomes its home.
func (t *Table) forward(now time.Time, r *request, x *task, peer model.InstanceID) {
	id := t.o.NextCall()
	t.forwardedCalls[id] = r
	r.call = id
	x.state = taskForwarded
	x.owner = peer
	t.watch(now, r, x)
	t.traceTask(event.TraceForwarded, r, x, "")
	t.Counters.Forwards++
	t.sendForward(r, x)
}

func (t *Table) sendForward(r *request, x *task) {
	t.o.Emit(event.SendPeer{To: x.owner, Message: event.Forward{Call: r.call, Request: r.spec, Hops: r.hops + 1}})
}

// isForwardedTo reports whether a peer has the whole request from here.
func (t *Table) isForwardedTo(r *request, peer model.InstanceID) bool {
	x := &r.tasks[0]
	return r.outcome == nil && x.state == taskForwarded && x.owner == peer
}

// Forwarded takes a peer's answer to a forwarded ephemeral request. It returns
// false when the call is not of this table.
func (t *Table) HandleForwardReply(now time.Time, m event.ForwardReply) bool {
	r, ok := t.forwardedCalls[m.Call]
	if !ok {
		return false
	}
	if m.Accepted {
		return true
	}
	delete(t.forwardedCalls, m.Call)
	if r.call != m.Call || r.outcome != nil {
		return true
	}
	x := &r.tasks[0]
	if m.Rejected {
		t.requeue(now, r, x, t.jitter(remoteRetry))
		t.giveBack(r)
		return true
	}
	if m.Outcome.Status == model.StatusNotRun && r.ran {
		t.settle(now, r, t.verdict(r, m.Outcome.Reason))
		return true
	}
	if m.Outcome.Status == model.StatusNotRun && r.spec.Deadline.After(now) {
		r.proof = m.Outcome.Proof
		t.requeue(now, r, x, t.jitter(remoteRetry))
		return true
	}
	t.settle(now, r, m.Outcome)
	return true
}

// preemptFor stops less urgent work whose end makes room.
func (t *Table) preemptFor(now time.Time, r *request, ask placement.Requirements) {
	if !t.preempt || r.spec.Class == model.ClassBackground || now.Before(r.preemptAt) {
		return
	}
	id, victims, ok := t.o.Index.SelectVictims(now, ask)
	if !ok {
		return
	}
	r.preemptAt = now.Add(preemptionPause)
	for _, v := range victims {
		t.o.Emit(event.Trace{Kind: event.TracePreempted, Request: v.Request, Attempt: v, Worker: id, Detail: "for " + string(r.spec.ID)})
		t.o.Leases.StopAttempt(id, v, true)
	}
}

func (t *Table) jitter(d time.Duration) time.Duration {
	return time.Duration(t.o.Random() % uint64(d))
}

func partitionName(p model.Partition) string { return fmt.Sprintf("partition %d", p) }
