package home

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"

	"fuchsiacross/admission"
	"fuchsiacross/event"
	"fuchsiacross/lease"
	"fuchsiacross/membership"
	"fuchsiacross/model"
	"fuchsiacross/placement"
	"fuchsiacross/requestjournal"
)

// Options configures a Table.
type Options struct {
	Self        model.InstanceID // this instance
	Incarnation model.Incarnation
	Partitions  uint32           // number of journal partitions, the same at all instances
	Index       *placement.Index // workers whose leases this instance holds
	Leases      *lease.Holder
	Members     *membership.View
	Queue       *admission.Queue
	Quota       *admission.Quota
	RetryBudget *admission.RetryBudget
	WriteBudget *requestjournal.WriteBudget // limits the writes to the journal
	NextCall    func() event.CallID         // returns a new call identifier
	Random      func() uint64
	Emit        func(event.Effect)
	// Reroute sends the waiters of a request to its home after another instance
	// has become the home.
	Reroute func(now time.Time, r *model.Request, waiters []Waiter)
	// MaxQueued is the maximum number of requests that this instance keeps.
	MaxQueued int
	// MaxRequestBytes limits the memory of the requests that this instance keeps, by
	// requestBytes; zero means no limit.
	MaxRequestBytes int64
}

// Table keeps the requests whose home is this instance. It is not safe for
// concurrent use.
type Table struct {
	opts              Options
	requests          map[model.RequestID]*request
	requestBytes      int64 // of all requests
	partitions        []partition
	reservations      map[event.CallID]*reservation
	forwardedCalls    map[event.CallID]*request
	dueTasks          dueTaskQueue
	placing           bool              // inside Queue.PopNext; see enqueueTask
	deferredItems     []*admission.Item // enqueued once Queue.PopNext has returned
	settledEphemeral  []*request        // settled ephemeral requests in order of dropAt
	dispatchNeeded    bool              // the next Step dispatches the queue
	nextScanAt        time.Time
	retentionSeconds  int64 // how long the journal keeps settled requests
	documentBehind    bool  // a newer document is in force and could not be fetched
	draining          bool  // no request is accepted and no partition is kept
	preemptionEnabled bool
	Counters          Counters
}

// New returns a Table without requests that holds no partition.
func New(opts Options) *Table {
	t := &Table{
		opts:             opts,
		requests:         map[model.RequestID]*request{},
		reservations:     map[event.CallID]*reservation{},
		forwardedCalls:   map[event.CallID]*request{},
		retentionSeconds: 24 * 60 * 60,
	}
	t.partitions = make([]partition, opts.Partitions)
	for i := range t.partitions {
		t.partitions[i].id = model.Partition(i)
		t.partitions[i].table = t
	}
	t.Counters.Settled = map[model.Status]uint64{}
	return t
}

// SetPolicy sets how long the journal keeps settled requests, in seconds, and
// whether more urgent tasks may preempt less urgent ones.
func (t *Table) SetPolicy(retentionSeconds int64, preemption bool) {
	t.retentionSeconds = retentionSeconds
	t.preemptionEnabled = preemption
	t.dispatchNeeded = true
}

// SetDocumentBehind sets whether a newer document is known to be in force
// elsewhere and cannot be fetched. While it is, only urgent requests are
// placed.
func (t *Table) SetDocumentBehind(behind bool) {
	if t.documentBehind && !behind {
		t.dispatchNeeded = true
	}
	t.documentBehind = behind
}

// HandleMembersChanged schedules an immediate check of every forwarded or
// running task, because the instance that it depends on may have failed.
func (t *Table) HandleMembersChanged(now time.Time) {
	t.dispatchNeeded = true
	for _, r := range t.sortedRequests() {
		for i := range r.tasks {
			if s := r.tasks[i].state; s == taskForwarded || s == taskRunning {
				t.dueTasks.add(r, &r.tasks[i], now)
			}
		}
	}
}

// sortedRequests returns the requests in the order of their identifiers, so
// that the same events always produce the same effects.
func (t *Table) sortedRequests() []*request {
	return slices.SortedFunc(maps.Values(t.requests), func(a, b *request) int {
		return strings.Compare(string(a.spec.ID), string(b.spec.ID))
	})
}

// sortedReservations returns the reservations in the order in which they were
// requested.
func (t *Table) sortedReservations() []*reservation {
	return slices.SortedFunc(maps.Values(t.reservations), func(a, b *reservation) int { return cmp.Compare(a.id, b.id) })
}

// ScheduleDispatch makes the next Step dispatch the queue.
func (t *Table) ScheduleDispatch() { t.dispatchNeeded = true }

// HomeOf returns the preferred home of a journaled request.
func (t *Table) HomeOf(id model.RequestID) model.InstanceID {
	return t.opts.Members.PreferredHolder(t.partitionOf(id).id)
}

func (t *Table) partitionOf(id model.RequestID) *partition {
	return &t.partitions[requestjournal.PartitionOf(id, t.opts.Partitions)]
}

// Submit accepts or rejects a request whose home is this instance and answers
// the waiter with its acceptance or its outcome. hops is the number of times
// that an ephemeral request has been forwarded.
func (t *Table) Submit(now time.Time, w Waiter, spec *model.Request, hops uint8) {
	if r, ok := t.requests[spec.ID]; ok {
		if w.IsForward && t.isForwardedTo(r, w.Peer) {
			// Otherwise each instance would wait for the other's answer forever.
			w.Reject(t.opts.Emit, event.CodeUnavailable, "", "the request came from this instance")
			return
		}
		t.joinExisting(r, w, spec)
		return
	}
	if spec.Durability() == model.Ephemeral {
		t.submitEphemeral(now, w, spec, hops)
		return
	}
	p := t.partitionOf(spec.ID)
	if p.state != partitionHeld {
		p.parkSubmission(w, spec)
		return
	}
	if e, ok := p.journal.Entry(spec.ID); ok {
		t.answerFromJournal(w, spec, e)
		return
	}
	if !t.checkAdmission(now, w, spec) {
		return
	}
	r := t.addRequest(spec, p)
	r.addWaiter(w)
	t.traceRequest(event.TraceSubmitted, r, spec.Durability().String())
	p.journal.Append(now, requestjournal.Record{Kind: requestjournal.RecordAccepted, At: now, ID: spec.ID, Request: spec})
}

// The attempt numbers of an ephemeral request start at one of 16,384 random
// bases. This makes a message two bytes longer than numbers that start at 1.
const (
	ephemeralNumberBases  = 1 << 14
	attemptNumbersPerBase = 16
)

// submitEphemeral accepts a request that is not journaled and tries to place
// it at once.
func (t *Table) submitEphemeral(now time.Time, w Waiter, spec *model.Request, hops uint8) {
	if !t.checkAdmission(now, w, spec) {
		return
	}
	r := t.addRequest(spec, nil)
	r.hops = hops
	// Several instances may try the same request without knowing of each other;
	// the random base keeps their attempt numbers apart.
	r.tasks[0].numberBase = uint32(t.opts.Random()%ephemeralNumberBases) * attemptNumbersPerBase
	r.addWaiter(w)
	t.traceRequest(event.TraceSubmitted, r, "")
	t.acceptRequest(now, r)
	t.dispatchQueue(now)
	t.returnToForwarder(r)
}

// returnToForwarder rejects a forwarded ephemeral request that could not be
// placed, so that it waits at the instance that forwarded it. That instance
// can use capacity wherever it becomes free first; here the request would
// wait for this instance's workers alone.
func (t *Table) returnToForwarder(r *request) {
	if r.partition != nil || r.hops == 0 || r.tasks[0].state != taskWaiting || r.outcome != nil || r.mayHaveRun() {
		return
	}
	for _, w := range r.waiters {
		if w.Peer == "" {
			return
		}
	}
	t.opts.Queue.Remove(r.spec.ID, 0)
	t.removeRequest(r)
	for _, w := range r.waiters {
		w.Reject(t.opts.Emit, event.CodeUnavailable, "", "no worker has room here")
	}
}

// addRequest starts to keep a request; p is nil if it is ephemeral.
func (t *Table) addRequest(spec *model.Request, p *partition) *request {
	r := newRequest(spec, p)
	t.keepRequest(r)
	t.Counters.Submitted++
	return r
}

// joinExisting adds a waiter to a request that is already known. It rejects a
// submission that reuses the identifier for different content.
func (t *Table) joinExisting(r *request, w Waiter, spec *model.Request) {
	if !r.spec.IsSameSubmission(spec) {
		w.Reject(t.opts.Emit, event.CodeConflict, "request_id", "the identifier is in use with another content")
		return
	}
	t.answerOrAddWaiter(r, w)
}

// answerOrAddWaiter answers a waiter if the answer is known, and otherwise
// adds it to the waiters of the request.
func (t *Table) answerOrAddWaiter(r *request, w Waiter) {
	if r.outcome != nil && !r.outcomePending {
		w.SendOutcome(t.opts.Emit, *r.outcome)
		return
	}
	if r.accepted && w.SendAcceptance(t.opts.Emit, r.currentOutcome()) {
		return
	}
	r.addWaiter(w)
}

// answerFromJournal answers for a request that is in the journal but not in
// memory. spec is nil for a status query.
func (t *Table) answerFromJournal(w Waiter, spec *model.Request, e *requestjournal.Entry) {
	switch {
	case e.IsTombstone:
		w.SendOutcome(t.opts.Emit, model.Outcome{Status: model.StatusExpired, Reason: "the record was dropped after the retention time"})
	case spec != nil && !e.Request.IsSameSubmission(spec):
		w.Reject(t.opts.Emit, event.CodeConflict, "request_id", "the identifier is in use with another content")
	case e.Outcome != nil:
		w.SendOutcome(t.opts.Emit, *e.Outcome)
	default:
		w.Reject(t.opts.Emit, event.CodeUnavailable, "", "the request is being recovered")
	}
}

// checkAdmission reports whether a new request may be accepted. If not, it
// answers the waiter.
func (t *Table) checkAdmission(now time.Time, w Waiter, spec *model.Request) bool {
	if t.draining {
		w.Reject(t.opts.Emit, event.CodeUnavailable, "", "the instance is shutting down")
		return false
	}
	if spec.Kind == model.KindService && !spec.Idempotent {
		w.Reject(t.opts.Emit, event.CodeInvalid, "idempotent", "a service must be idempotent, since its tasks are started again")
		return false
	}
	if dimension, ok := t.fitsLargestWorker(spec); !ok {
		w.Reject(t.opts.Emit, event.CodeInvalid, "resources."+dimension, "no worker of the cell can ever hold a task of this size")
		return false
	}
	if len(t.requests) >= t.opts.MaxQueued {
		w.Reject(t.opts.Emit, event.CodeExhausted, "", "the instance holds as many requests as it may")
		return false
	}
	if !t.hasMemoryFor(spec) {
		w.Reject(t.opts.Emit, event.CodeExhausted, "", "the instance holds as many bytes of requests as it may")
		return false
	}
	if !spec.Deadline.After(now) {
		t.refuseSubmission(w, spec, event.CodeInvalid, "deadline", "the deadline has passed")
		return false
	}
	if refusal, ok := t.opts.Queue.CanAdmit(now, spec); !ok {
		t.refuseSubmission(w, spec, event.CodeExhausted, "", refusal.String())
		return false
	}
	return true
}

// refuseSubmission answers a submission that is not accepted. An ephemeral
// request is reported as not run. A journaled one is rejected instead: this
// instance may have lost the partition without having been notified, and the
// next holder may have accepted the same request.
func (t *Table) refuseSubmission(w Waiter, spec *model.Request, code event.Code, place, reason string) {
	if spec.Durability() == model.Ephemeral {
		w.SendOutcome(t.opts.Emit, notRunOutcome(reason, model.ProofNeverSent))
		return
	}
	w.Reject(t.opts.Emit, code, place, reason)
}

// fitsLargestWorker reports whether a task fits on an idle worker of this
// instance or within the largest capacity that peers announce. If not, it
// returns the dimension that is exceeded. Everything fits while no worker is
// known.
func (t *Table) fitsLargestWorker(spec *model.Request) (string, bool) {
	dimension, ok := t.opts.Index.CanEverFit(spec.Resources)
	if ok {
		return "", true
	}
	largest := t.opts.Members.LargestPeerWorker()
	if t.opts.Index.Len() == 0 && largest.IsZero() {
		return "", true
	}
	if elsewhere := spec.Resources.FirstExceeded(largest); elsewhere == "" {
		return "", true
	} else if t.opts.Index.Len() == 0 {
		dimension = elsewhere
	}
	return dimension, false
}

func notRunOutcome(reason string, proof model.Proof) model.Outcome {
	return model.Outcome{Status: model.StatusNotRun, Reason: reason, Proof: proof}
}

// acceptRequest marks a request as accepted, notifies its waiters and
// enqueues its tasks. For a journaled request the acceptance is durable by
// then.
func (t *Table) acceptRequest(now time.Time, r *request) {
	r.accepted = true
	t.traceRequest(event.TraceAccepted, r, "")
	kept := r.waiters[:0]
	for _, w := range r.waiters {
		if !w.SendAcceptance(t.opts.Emit, r.currentOutcome()) {
			kept = append(kept, w)
		}
	}
	r.waiters = kept
	if r.cancelled {
		t.settleRequest(now, r, model.Outcome{Status: model.StatusCancelled})
		return
	}
	t.enqueueTasks(now, r)
}

// AnswerStatus answers with the state of a request whose home is this
// instance, or with its outcome if the waiter waits for that. It returns
// false, without an answer, if the request is not in memory and this instance
// does not hold its partition. That no record exists is answered once the
// partition is confirmed.
func (t *Table) AnswerStatus(now time.Time, w Waiter, id model.RequestID) bool {
	if r, ok := t.requests[id]; ok {
		if w.Kind == WaitForOutcome {
			t.answerOrAddWaiter(r, w)
		} else {
			w.SendOutcome(t.opts.Emit, r.currentOutcome())
		}
		return true
	}
	p := t.partitionOf(id)
	if p.state != partitionHeld {
		return false
	}
	if e, ok := p.journal.Entry(id); ok {
		t.answerFromJournal(w, nil, e)
		return true
	}
	p.confirmLater(now, confirmation{waiter: w, request: id})
	return true
}

// HasRequest reports whether a request is in memory here.
func (t *Table) HasRequest(id model.RequestID) bool {
	_, ok := t.requests[id]
	return ok
}

// HoldsPartitionOf reports whether this instance holds the journal partition
// of a request.
func (t *Table) HoldsPartitionOf(id model.RequestID) bool {
	return t.partitionOf(id).state == partitionHeld
}

// HandleCallAbandoned drops the waiters of a caller that no longer waits. An
// ephemeral request that is still queued is cancelled when its last waiter is
// gone.
func (t *Table) HandleCallAbandoned(now time.Time, token event.Token, id model.RequestID) {
	r, ok := t.requests[id]
	if !ok {
		return
	}
	kept := r.waiters[:0]
	for _, w := range r.waiters {
		if w.Peer != "" || w.Token != token {
			kept = append(kept, w)
		}
	}
	r.waiters = kept
	if len(kept) == 0 && r.partition == nil && r.tasks[0].state == taskWaiting && r.outcome == nil {
		t.settleRequest(now, r, model.Outcome{Status: model.StatusCancelled, Reason: "the caller is gone"})
	}
}

// Drain makes the table reject new requests and give up its journal
// partitions, so that their next holders take over while this instance still
// answers.
func (t *Table) Drain() { t.draining = true }

// IsBusy reports whether this instance still holds a partition, has
// submissions parked for one, or keeps a request that is not settled or has
// waiters.
func (t *Table) IsBusy() bool {
	for i := range t.partitions {
		if p := &t.partitions[i]; p.state == partitionHeld || len(p.parked) > 0 {
			return true
		}
	}
	for _, r := range t.requests {
		if len(r.waiters) > 0 || r.outcome == nil {
			return true
		}
	}
	return false
}

// IsInPartition reports whether a request belongs to a partition.
func (t *Table) IsInPartition(id model.RequestID, p model.Partition) bool {
	return t.partitionOf(id).id == p
}

func (t *Table) traceRequest(kind event.TraceKind, r *request, detail string) {
	t.opts.Emit(event.Trace{Kind: kind, Request: r.spec.ID, Detail: detail})
}

func (t *Table) traceTask(kind event.TraceKind, r *request, task *task, detail string) {
	t.opts.Emit(event.Trace{
		Kind:    kind,
		Request: r.spec.ID,
		Attempt: task.attemptID(r.spec.ID),
		Worker:  task.worker,
		Peer:    task.owner,
		Detail:  detail,
	})
}
