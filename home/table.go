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

// Options configure a Table.
type Options struct {
	Self        model.InstanceID
	Incarnation model.Incarnation
	Partitions  uint32
	Index       *placement.Index
	Leases      *lease.Holder
	Members     *membership.View
	Queue       *admission.Queue
	Quota       *admission.Quota
	Retries     *admission.RetryBudget
	Writes      *requestjournal.Budget
	NextCall    func() event.CallID
	Random      func() uint64
	Emit        func(event.Effect)
	// Moved takes over waiters whose request has another home now.
	Reroute func(now time.Time, r *model.Request, waiters []Waiter)
	// MaxQueued bounds the requests that wait at this instance.
	MaxQueued int
}

// Table keeps the requests whose home is this instance.
type Table struct {
	o                Options
	requests         map[model.RequestID]*request
	partitions       []partition
	reservations     map[event.CallID]*call
	forwardedCalls   map[event.CallID]*request
	due              dueQueue
	placing          bool              // an item of the queue is being placed
	deferredItems    []*admission.Item // to queue once it is
	settledEphemeral []*request        // ephemeral, in order of dropAt
	dirty            bool              // something may be placed now
	nextScan         time.Time
	retention        int64 // seconds
	behind           bool  // the document is known to be outdated
	draining         bool
	preempt          bool
	Counters         Counters
}

// New returns an empty Table.
func New(o Options) *Table {
	t := &Table{
		o:              o,
		requests:       map[model.RequestID]*request{},
		reservations:   map[event.CallID]*call{},
		forwardedCalls: map[event.CallID]*request{},
		retention:      24 * 60 * 60,
	}
	t.partitions = make([]partition, o.Partitions)
	for i := range t.partitions {
		t.partitions[i].id = model.Partition(i)
		t.partitions[i].table = t
	}
	t.Counters.Settled = map[model.Status]uint64{}
	return t
}

// SetPolicy takes over the settings of the cell.
func (t *Table) SetPolicy(retentionSeconds int64, preemption bool) {
	t.retention = retentionSeconds
	t.preempt = preemption
	t.dirty = true
}

// SetBehind holds work that is not urgent while a newer document is known to be
// in force elsewhere and cannot be had.
func (t *Table) SetDocumentBehind(behind bool) {
	if t.behind && !behind {
		t.dirty = true
	}
	t.behind = behind
}

// MembersChanged looks at every task again, because the instance that it
// depends on may have gone.
func (t *Table) HandleMembersChanged(now time.Time) {
	t.dirty = true
	for _, r := range t.sorted() {
		for i := range r.tasks {
			if s := r.tasks[i].state; s == taskForwarded || s == taskRunning {
				t.due.add(r, &r.tasks[i], now)
			}
		}
	}
}

// sorted lists the requests in the order of their identifiers, so that the same
// events give the same effects again.
func (t *Table) sorted() []*request {
	return slices.SortedFunc(maps.Values(t.requests), func(a, b *request) int {
		return strings.Compare(string(a.spec.ID), string(b.spec.ID))
	})
}

// sortedCalls lists the questions for room in the order in which they were asked.
func (t *Table) sortedCalls() []*call {
	return slices.SortedFunc(maps.Values(t.reservations), func(a, b *call) int { return cmp.Compare(a.id, b.id) })
}

// Wake makes the next Step try to place what waits.
func (t *Table) ScheduleDispatch() { t.dirty = true }

// HomeOf returns the instance that is preferred as the home of a journaled
// request.
func (t *Table) HomeOf(id model.RequestID) model.InstanceID {
	return t.o.Members.PreferredHolder(t.partitionOf(id).id)
}

func (t *Table) partitionOf(id model.RequestID) *partition {
	return &t.partitions[requestjournal.PartitionOf(id, t.o.Partitions)]
}

// Submit takes a request whose home is this instance. The waiter hears of its
// outcome, or of its acceptance.
func (t *Table) Submit(now time.Time, w Waiter, spec *model.Request, hops uint8) {
	if r, ok := t.requests[spec.ID]; ok {
		if w.IsForward && t.isForwardedTo(r, w.Peer) {
			// Each would wait for the other's answer for ever.
			w.Reject(t.o.Emit, event.CodeUnavailable, "", "the request came from this instance")
			return
		}
		t.join(r, w, spec)
		return
	}
	if spec.Durability() == model.Ephemeral {
		t.submitEphemeral(now, w, spec, hops)
		return
	}
	p := t.partitionOf(spec.ID)
	if p.state != partitionHeld {
		p.park(w, spec)
		return
	}
	if e, ok := p.journal.Entry(spec.ID); ok {
		t.answerSettled(w, spec, e)
		return
	}
	if !t.admit(now, w, spec) {
		return
	}
	r := t.add(spec, p)
	r.addWaiter(w)
	t.trace(event.TraceSubmitted, r, spec.Durability().String())
	p.journal.Append(now, requestjournal.Record{Kind: requestjournal.RecordAccepted, At: now, ID: spec.ID, Request: spec})
}

// The numbers of an ephemeral request's attempts begin at one of 16,384 random
// bases, which takes two bytes more in a message than numbers from 1.
const (
	ephemeralBases  = 1 << 14
	attemptsPerBase = 16
)

func (t *Table) submitEphemeral(now time.Time, w Waiter, spec *model.Request, hops uint8) {
	if !t.admit(now, w, spec) {
		return
	}
	r := t.add(spec, nil)
	r.hops = hops
	// Several instances may try the same request without knowing of each other.
	r.tasks[0].base = uint32(t.o.Random()%ephemeralBases) * attemptsPerBase
	r.addWaiter(w)
	t.trace(event.TraceSubmitted, r, "")
	t.accept(now, r)
	t.dispatch(now)
	t.giveBack(r)
}

// giveBack returns a forwarded request that found no room to the instance that
// forwarded it. It waits where its caller is, from where it can go wherever room
// appears first; here it would wait for this instance's workers alone.
func (t *Table) giveBack(r *request) {
	if r.partition != nil || r.hops == 0 || r.tasks[0].state != taskWaiting || r.outcome != nil || r.mayHaveRun() {
		return
	}
	for _, w := range r.waiters {
		if w.Peer == "" {
			return
		}
	}
	t.o.Queue.Remove(r.spec.ID, 0)
	delete(t.requests, r.spec.ID)
	for _, w := range r.waiters {
		w.Reject(t.o.Emit, event.CodeUnavailable, "", "no worker has room here")
	}
}

func (t *Table) add(spec *model.Request, p *partition) *request {
	r := newRequest(spec, p)
	t.requests[spec.ID] = r
	t.Counters.Submitted++
	return r
}

// join adds a waiter to a request that is known already.
func (t *Table) join(r *request, w Waiter, spec *model.Request) {
	if !r.spec.IsSameSubmission(spec) {
		w.Reject(t.o.Emit, event.CodeConflict, "request_id", "the identifier is in use with another content")
		return
	}
	t.attend(r, w)
}

// attend answers a waiter or adds it to those who wait.
func (t *Table) attend(r *request, w Waiter) {
	if r.outcome != nil && !r.settling {
		w.SendOutcome(t.o.Emit, *r.outcome)
		return
	}
	if r.accepted && w.SendAcceptance(t.o.Emit, r.status()) {
		return
	}
	r.addWaiter(w)
}

// answerSettled answers for a request that only the journal knows.
func (t *Table) answerSettled(w Waiter, spec *model.Request, e *requestjournal.Entry) {
	switch {
	case e.Forgotten:
		w.SendOutcome(t.o.Emit, model.Outcome{Status: model.StatusExpired, Reason: "the record was dropped after the retention time"})
	case spec != nil && !e.Request.IsSameSubmission(spec):
		w.Reject(t.o.Emit, event.CodeConflict, "request_id", "the identifier is in use with another content")
	case e.Outcome != nil:
		w.SendOutcome(t.o.Emit, *e.Outcome)
	default:
		w.Reject(t.o.Emit, event.CodeUnavailable, "", "the request is being recovered")
	}
}

// admit refuses what can be known to be useless to accept.
func (t *Table) admit(now time.Time, w Waiter, spec *model.Request) bool {
	if t.draining {
		w.Reject(t.o.Emit, event.CodeUnavailable, "", "the instance is shutting down")
		return false
	}
	if spec.Kind == model.KindService && !spec.Idempotent {
		w.Reject(t.o.Emit, event.CodeInvalid, "idempotent", "a service must be idempotent, since its tasks are started again")
		return false
	}
	if dimension, ok := t.fitsCell(spec); !ok {
		w.Reject(t.o.Emit, event.CodeInvalid, "resources."+dimension, "no worker of the cell can ever hold a task of this size")
		return false
	}
	if len(t.requests) >= t.o.MaxQueued {
		w.Reject(t.o.Emit, event.CodeExhausted, "", "the instance holds as many requests as it may")
		return false
	}
	if !spec.Deadline.After(now) {
		t.refuse(w, spec, event.CodeInvalid, "deadline", "the deadline has passed")
		return false
	}
	if refusal, ok := t.o.Queue.CanAdmit(now, spec); !ok {
		t.refuse(w, spec, event.CodeExhausted, "", refusal.String())
		return false
	}
	return true
}

// refuse turns down a submission. A journaled one is rejected rather than
// reported as not run: this instance may have lost the partition without having
// heard of it, and the next holder may have accepted the same request.
func (t *Table) refuse(w Waiter, spec *model.Request, code event.Code, place, reason string) {
	if spec.Durability() == model.Ephemeral {
		w.SendOutcome(t.o.Emit, notRun(reason, model.ProofNeverSent))
		return
	}
	w.Reject(t.o.Emit, code, place, reason)
}

// fitsCell compares a task with the largest worker known in the cell. An
// instance that knows no worker yet refuses nothing.
func (t *Table) fitsCell(spec *model.Request) (string, bool) {
	dimension, ok := t.o.Index.CanEverFit(spec.Resources)
	if ok {
		return "", true
	}
	largest := t.o.Members.LargestPeerWorker()
	if t.o.Index.Len() == 0 && largest.IsZero() {
		return "", true
	}
	if elsewhere := spec.Resources.FirstExceeded(largest); elsewhere == "" {
		return "", true
	} else if t.o.Index.Len() == 0 {
		dimension = elsewhere
	}
	return dimension, false
}

func notRun(reason string, proof model.Proof) model.Outcome {
	return model.Outcome{Status: model.StatusNotRun, Reason: reason, Proof: proof}
}

// accept queues the tasks of a request once its acceptance is durable.
func (t *Table) accept(now time.Time, r *request) {
	r.accepted = true
	t.trace(event.TraceAccepted, r, "")
	kept := r.waiters[:0]
	for _, w := range r.waiters {
		if !w.SendAcceptance(t.o.Emit, r.status()) {
			kept = append(kept, w)
		}
	}
	r.waiters = kept
	if r.cancelled {
		t.settle(now, r, model.Outcome{Status: model.StatusCancelled})
		return
	}
	t.enqueue(now, r)
}

// Status answers with the state of a request whose home is this instance. It
// returns false when the request is not known here.
func (t *Table) AnswerStatus(w Waiter, id model.RequestID) bool {
	if r, ok := t.requests[id]; ok {
		if w.Kind == WaitForOutcome {
			t.attend(r, w)
		} else {
			w.SendOutcome(t.o.Emit, r.status())
		}
		return true
	}
	p := t.partitionOf(id)
	if p.state != partitionHeld {
		return false
	}
	if e, ok := p.journal.Entry(id); ok {
		t.answerSettled(w, nil, e)
		return true
	}
	w.SendOutcome(t.o.Emit, model.Outcome{
		Status: model.StatusNotFound,
		Reason: "no journal has the request; an urgent idempotent request is known only to the instance that took it",
	})
	return true
}

// Knows reports whether a request is in memory here.
func (t *Table) HasRequest(id model.RequestID) bool {
	_, ok := t.requests[id]
	return ok
}

// Holds reports whether this instance holds the journal partition of a request.
func (t *Table) HoldsPartitionOf(id model.RequestID) bool {
	return t.partitionOf(id).state == partitionHeld
}

// CallerGone drops a waiter. An ephemeral request that nobody waits for and
// that has not started is dropped as well.
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
		t.settle(now, r, model.Outcome{Status: model.StatusCancelled, Reason: "the caller is gone"})
	}
}

// Drain stops accepting requests and gives up the journal partitions, so that
// their next holders take over while this instance still answers.
func (t *Table) Drain() { t.draining = true }

// Busy reports whether somebody waits for a request here, or a request that
// only this instance knows has not ended.
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

// InPartition reports whether a request belongs to a partition.
func (t *Table) IsInPartition(id model.RequestID, p model.Partition) bool {
	return t.partitionOf(id).id == p
}

func (t *Table) trace(kind event.TraceKind, r *request, detail string) {
	t.o.Emit(event.Trace{Kind: kind, Request: r.spec.ID, Detail: detail})
}

func (t *Table) traceTask(kind event.TraceKind, r *request, x *task, detail string) {
	t.o.Emit(event.Trace{
		Kind:    kind,
		Request: r.spec.ID,
		Attempt: x.attempt(r.spec.ID),
		Worker:  x.worker,
		Peer:    x.owner,
		Detail:  detail,
	})
}
