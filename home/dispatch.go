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
	// reservationTimeout is how long a peer holds an unconfirmed reservation.
	reservationTimeout = time.Second
	// remoteRetryDelay is the delay before the same request is offered to a peer
	// again, by a reservation or a forward. Up to the same time is added as
	// jitter, so that a full cell is not flooded with messages.
	remoteRetryDelay = 50 * time.Millisecond
	// updateTimeout is how long a start at a peer may go without an update
	// before the attempt is fenced. It is also the interval at which an
	// unanswered forward, or the stop of a task whose request is settled, is
	// sent again.
	updateTimeout = 2 * time.Second
	// fenceInterval is the time between two fences of the same attempt.
	fenceInterval = 300 * time.Millisecond
	// fencingTimeout is how long the state of an attempt may stay unknown. Then
	// the task is started again if its request is journaled and idempotent;
	// otherwise the request is settled with StatusUnknown.
	fencingTimeout = 15 * time.Second
	// ownerCheckInterval is the time between two checks of the owner of a
	// running task. A check sends no message if nothing has changed.
	ownerCheckInterval = 5 * time.Second
	// auditInterval is the time between two queries about a task that runs at a
	// peer. With 7,000 tasks that is 117 messages/s.
	auditInterval = time.Minute
	// maxTaskFailures is the number of failed attempts after which an idempotent
	// task is not retried.
	maxTaskFailures = 3
	// serviceRestartWindow sets the deadline of a service that is started again.
	// It only affects the order in the queue.
	serviceRestartWindow = 24 * time.Hour
	// maxForwardHops is the maximum number of times that an ephemeral request is
	// forwarded.
	maxForwardHops = 2
	// scanInterval is the time between two scans of the tasks that are due for a
	// check.
	scanInterval = 100 * time.Millisecond
	// settledRetention is how long the outcome of an ephemeral request is kept
	// for a caller that submits the request again.
	settledRetention = 10 * time.Second
	// preemptionDelay is the minimum time between two preemptions for the same
	// request, so that no further tasks are stopped while the first ones end. It
	// is also the delay before a gang whose tasks are being stopped is tried
	// again.
	preemptionDelay = 500 * time.Millisecond
)

// Step advances the partitions, dispatches the queue and acts on deadlines
// that have passed. Call it after every event.
func (t *Table) Step(now time.Time) {
	for i := range t.partitions {
		t.partitions[i].step(now)
	}
	for _, item := range t.opts.Queue.RemoveExpired(now) {
		t.expireItem(now, item)
	}
	if !now.Before(t.nextScanAt) {
		t.nextScanAt = now.Add(scanInterval)
		t.dispatchNeeded = true
		t.scanDueTasks(now)
	}
	if t.dispatchNeeded {
		t.dispatchQueue(now)
	}
}

// enqueueTasks puts the waiting tasks of an accepted request into the queue.
// The tasks of a gang wait as a single item.
func (t *Table) enqueueTasks(now time.Time, r *request) {
	if r.spec.Gang {
		t.enqueueTask(now, r, 0, now)
		return
	}
	for i := range r.tasks {
		if r.tasks[i].state == taskWaiting {
			t.enqueueTask(now, r, uint32(i), now)
		}
	}
}

// enqueueTask puts one task, or a whole gang, into the queue. It is not tried
// before notBefore.
func (t *Table) enqueueTask(now time.Time, r *request, index uint32, notBefore time.Time) {
	item := &admission.Item{
		Request:         r.spec,
		TaskIndex:       index,
		TaskCount:       1,
		Resources:       t.taskResources(r),
		Attempts:        r.tasks[index].attemptCount,
		ExcludedWorkers: r.excludedWorkers,
		EnqueuedAt:      now,
		NotBefore:       notBefore,
	}
	if r.spec.Gang {
		item.TaskCount = r.spec.Tasks
	}
	if r.spec.Kind == model.KindService && r.started {
		// The caller's deadline applies to the first start only; a service keeps
		// running after it.
		restarted := *r.spec
		restarted.Deadline = now.Add(serviceRestartWindow)
		item.Request = &restarted
	}
	if r.partition != nil {
		// The queue never refuses an item that has been attempted before, so an
		// accepted request is not dropped when the queue is full.
		item.Attempts = max(1, item.Attempts)
	}
	t.dispatchNeeded = true
	if t.placing {
		// The item being placed is still in the queue, so that pushing it again
		// would be a duplicate.
		t.deferredItems = append(t.deferredItems, item)
		return
	}
	t.enqueueItem(now, r, item)
}

// enqueueItem puts an item into the queue. If the queue is full, the request
// is settled as not run.
func (t *Table) enqueueItem(now time.Time, r *request, item *admission.Item) {
	err := t.opts.Queue.Push(now, item)
	if full, ok := errors.Into[*admission.QueueFullError](err); ok {
		t.settleRequest(now, r, notRunOutcome(full.Error(), r.notRunProof))
	}
}

// requeueTask enqueues a task for another attempt after a delay. If the
// request is cancelled or settled, it ends the task instead.
func (t *Table) requeueTask(now time.Time, r *request, task *task, delay time.Duration) {
	task.state = taskWaiting
	if r.cancelled || r.outcome != nil {
		t.endCancelledTask(now, r, task)
		return
	}
	if r.spec.Gang {
		t.requeueGang(now, r, delay)
		return
	}
	t.enqueueTask(now, r, task.index, now.Add(delay))
}

// dispatchQueue places queued items until none fits.
func (t *Table) dispatchQueue(now time.Time) {
	t.dispatchNeeded = false
	for {
		t.placing = true
		_, ok := t.opts.Queue.PopNext(now, func(i *admission.Item) admission.StartResult { return t.placeItem(now, i) })
		t.placing = false
		deferred := t.deferredItems
		t.deferredItems = nil
		for _, item := range deferred {
			if r := t.requests[item.Request.ID]; r != nil && r.outcome == nil {
				t.enqueueItem(now, r, item)
			}
		}
		if !ok {
			t.holdWorkerForStarved()
			return
		}
	}
}

// holdWorkerForStarved holds a worker for the request that has waited longest
// without fitting: no other tasks are placed there, so a stream of smaller
// tasks cannot starve the request.
func (t *Table) holdWorkerForStarved() {
	item, ok := t.opts.Queue.StarvedItem()
	if !ok {
		return
	}
	r, ok := t.requests[item.Request.ID]
	if !ok || r.outcome != nil {
		return
	}
	requirements := placement.Requirements{Request: r.spec, Resources: t.taskResources(r), ExcludedWorkers: r.excludedWorkers}
	if id, ok := t.opts.Index.HoldWorker(requirements); ok {
		t.opts.Queue.MarkHeld(item)
		r.waitReason = "a worker is held for it: " + string(id)
	}
}

// taskResources returns the resources to reserve for each task of a request.
func (t *Table) taskResources(r *request) model.Resources {
	return t.opts.Index.EffectiveResources(r.spec.Team, r.spec.Workload, r.spec.Resources)
}

// placeItem tries to start an item on a worker of this instance or to reserve
// capacity for it at a peer.
func (t *Table) placeItem(now time.Time, item *admission.Item) admission.StartResult {
	r, ok := t.requests[item.Request.ID]
	if !ok || r.outcome != nil || !r.spec.Gang && r.tasks[item.TaskIndex].state != taskWaiting {
		return admission.Started
	}
	if t.documentBehind && r.spec.Class != model.ClassUrgent {
		r.waitReason = "a newer document is in force and not known here"
		return admission.Blocked
	}
	resources := t.taskResources(r)
	if !t.opts.Quota.Allows(r.spec.Team, resources, t.opts.Members.PeerTeamUsage(r.spec.Team)) {
		r.waitReason = "the team's quota is used up"
		return admission.Blocked
	}
	placed := false
	if r.spec.Gang {
		placed = t.placeGang(now, r, resources)
	} else {
		placed = t.placeTask(now, r, item, resources)
	}
	if placed {
		return admission.Started
	}
	return admission.NoCapacity
}

// placeTask starts one task here, or asks a peer for capacity. It returns
// false if the task has to wait.
func (t *Table) placeTask(now time.Time, r *request, item *admission.Item, resources model.Resources) bool {
	task := &r.tasks[item.TaskIndex]
	requirements := placement.Requirements{Request: r.spec, Resources: resources, ExcludedWorkers: r.excludedWorkers, ServiceWorkers: r.siblingWorkers()}
	if choice, ok := t.opts.Index.Pick(now, requirements); ok {
		if t.reserveLocal(r, task, choice, resources) {
			t.launchTask(now, r, task)
			return true
		}
	}
	if t.placeRemote(now, r, task, resources) {
		return true
	}
	t.preemptForRequest(now, r, requirements)
	if r.waitReason == "" {
		r.waitReason = "no worker has room"
	}
	return false
}

// reserveLocal reserves capacity for the next attempt of a task on one of
// this instance's workers.
func (t *Table) reserveLocal(r *request, task *task, choice placement.Choice, resources model.Resources) bool {
	task.assignAttemptNumber()
	incarnation, ok := t.opts.Leases.ReserveAttempt(choice.Worker, task.attemptID(r.spec.ID), r.spec, resources)
	if !ok {
		return false
	}
	task.worker, task.workerIncarnation, task.owner = choice.Worker, incarnation, t.opts.Self
	return true
}

// launchTask starts a reserved attempt. If the task must run at most once,
// the start is sent only after its intent has been committed.
func (t *Table) launchTask(now time.Time, r *request, task *task) {
	r.waitReason = ""
	if !r.atMostOnce() {
		t.sendStart(now, r, task)
		return
	}
	task.state = taskCommittingIntent
	t.appendIntent(now, r, task)
}

// appendIntent journals the intent to start an attempt.
func (t *Table) appendIntent(now time.Time, r *request, task *task) {
	t.traceTask(event.TraceIntent, r, task, "")
	r.partition.journal.Append(now, requestjournal.Record{
		Kind:              requestjournal.RecordIntent,
		At:                now,
		ID:                r.spec.ID,
		Attempt:           task.attemptID(r.spec.ID),
		Worker:            task.worker,
		WorkerIncarnation: task.workerIncarnation,
	})
}

// handleIntentCommitted sends a start whose intent is durable. A reservation
// at a peer is confirmed once all of its intents are.
func (t *Table) handleIntentCommitted(now time.Time, r *request, a model.Attempt) {
	task := r.taskOf(a)
	if task == nil || task.attemptNumber != a.Number || task.state != taskCommittingIntent {
		return
	}
	if res, ok := t.reservationOf(r, task); ok {
		res.pendingIntents--
		if res.pendingIntents == 0 {
			t.confirmReservation(now, res)
		}
		return
	}
	if r.cancelled || r.outcome != nil {
		// Another task may have settled the request while the intent was being
		// committed.
		t.opts.Leases.ReleaseAttempt(a)
		t.endCancelledTask(now, r, task)
		return
	}
	t.sendStart(now, r, task)
}

// sendStart makes the lease holder of this instance start a reserved attempt.
func (t *Table) sendStart(now time.Time, r *request, task *task) {
	a := task.attemptID(r.spec.ID)
	if !t.opts.Leases.StartAttempt(a) {
		t.handleNotStarted(now, r, task, model.ProofNeverSent, "the lease was lost before the start was sent")
		return
	}
	t.recordStart(now, r, task)
}

// recordStart records that the start of an attempt was sent.
func (t *Table) recordStart(now time.Time, r *request, task *task) {
	task.state = taskSent
	task.fenceAt = time.Time{}
	if task.owner != t.opts.Self {
		task.fenceAt = now.Add(updateTimeout)
		t.scheduleCheck(now, r, task)
	}
	r.addHistory(now, task.attemptID(r.spec.ID), task.worker, "start", "")
	t.traceTask(event.TraceStart, r, task, "")
	t.Counters.Started++
	t.Counters.recordWaitingTime(r.spec, now, !r.started)
	r.started = true
	if task.attemptCount > 1 {
		t.Counters.Retries++
	} else {
		t.opts.RetryBudget.RecordFirstAttempt(now)
	}
}

// placeRemote forwards an ephemeral request to a peer, or asks a peer for
// capacity for a task of a journaled request.
func (t *Table) placeRemote(now time.Time, r *request, task *task, resources model.Resources) bool {
	if now.Before(r.remoteRetryAt) || t.draining {
		return false
	}
	r.remoteRetryAt = now.Add(remoteRetryDelay + t.jitter(remoteRetryDelay))
	if r.partition == nil && r.hops >= maxForwardHops {
		return false
	}
	peer, ok := t.opts.Members.SamplePeer(resources, r.spec.Class)
	if !ok {
		return false
	}
	if r.partition == nil {
		t.forwardRequest(now, r, task, peer)
		return true
	}
	t.reserveAtPeer(now, r, peer, []uint32{task.index})
	return true
}

// forwardRequest sends an ephemeral request to a peer, which becomes its
// home.
func (t *Table) forwardRequest(now time.Time, r *request, task *task, peer model.InstanceID) {
	id := t.opts.NextCall()
	t.forwardedCalls[id] = r
	r.forwardCall = id
	task.state = taskForwarded
	task.owner = peer
	t.scheduleCheck(now, r, task)
	t.traceTask(event.TraceForwarded, r, task, "")
	t.Counters.Forwards++
	t.sendForward(r, task)
}

func (t *Table) sendForward(r *request, task *task) {
	t.opts.Emit(event.SendPeer{To: task.owner, Message: event.Forward{Call: r.forwardCall, Request: r.spec, Hops: r.hops + 1}})
}

// isForwardedTo reports whether a request is currently forwarded to a peer.
func (t *Table) isForwardedTo(r *request, peer model.InstanceID) bool {
	task := &r.tasks[0]
	return r.outcome == nil && task.state == taskForwarded && task.owner == peer
}

// HandleForwardReply handles a peer's answer to a forwarded ephemeral
// request. It returns false if the call does not belong to this table.
func (t *Table) HandleForwardReply(now time.Time, m event.ForwardReply) bool {
	r, ok := t.forwardedCalls[m.Call]
	if !ok {
		return false
	}
	if m.Accepted {
		return true
	}
	delete(t.forwardedCalls, m.Call)
	if r.forwardCall != m.Call || r.outcome != nil {
		return true
	}
	task := &r.tasks[0]
	if m.Rejected {
		t.requeueTask(now, r, task, t.jitter(remoteRetryDelay))
		t.returnToForwarder(r)
		return true
	}
	if m.Outcome.Status == model.StatusNotRun && r.attemptMayHaveRun {
		t.settleRequest(now, r, t.finalOutcome(r, m.Outcome.Reason))
		return true
	}
	if m.Outcome.Status == model.StatusNotRun && r.spec.Deadline.After(now) {
		r.notRunProof = m.Outcome.Proof
		t.requeueTask(now, r, task, t.jitter(remoteRetryDelay))
		return true
	}
	t.settleRequest(now, r, m.Outcome)
	return true
}

// preemptForRequest stops tasks of lower priority classes so that the request
// fits on their worker.
func (t *Table) preemptForRequest(now time.Time, r *request, requirements placement.Requirements) {
	if !t.preemptionEnabled || r.spec.Class == model.ClassBackground || now.Before(r.nextPreemptionAt) {
		return
	}
	id, victims, ok := t.opts.Index.SelectVictims(now, requirements)
	if !ok {
		return
	}
	r.nextPreemptionAt = now.Add(preemptionDelay)
	for _, v := range victims {
		t.opts.Emit(event.Trace{Kind: event.TracePreempted, Request: v.Request, Attempt: v, Worker: id, Detail: "for " + string(r.spec.ID)})
		t.opts.Leases.StopAttempt(id, v, true)
	}
}

// jitter returns a random duration below d.
func (t *Table) jitter(d time.Duration) time.Duration {
	return time.Duration(t.opts.Random() % uint64(d))
}

func partitionName(p model.Partition) string { return fmt.Sprintf("partition %d", p) }
