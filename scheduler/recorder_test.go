package scheduler_test

import (
	"fmt"
	"strings"
	"time"

	"fuchsiacross/event"
	"fuchsiacross/model"
)

// droppedResult is what a worker reports for a result that has been acknowledged.
const droppedResult = "the result was acknowledged and dropped"

// taskBehaviour configures how the tasks of a request run. With a zero duration,
// they run until they are stopped.
type taskBehaviour struct {
	duration time.Duration
	fails    bool
}

// call is one call to an instance and the answer that its caller received.
type call struct {
	node        *node
	incarnation model.Incarnation
	request     *model.Request
	wait        bool
	open        bool
	outcome     *model.Outcome
	reject      *event.Reject
}

type taskKey struct {
	id   model.RequestID
	task uint32
}

// recorder records what workers ran and which answers callers received, and
// records every contradiction between the two as a fault.
type recorder struct {
	cell          *testCell
	behaviours    map[model.RequestID]taskBehaviour
	calls         map[event.Token]*call
	starts        map[taskKey]int
	running       map[taskKey]int
	answers       map[model.RequestID]map[string]bool // answers of the tasks
	finalOutcomes map[model.RequestID]model.Outcome   // outcome that was reported to callers
	// unstarted has the requests that no worker had started when a caller received
	// the outcome. Any other cancelled request may be started once more by a former
	// holder that does not know of the cancellation yet.
	unstarted map[model.RequestID]bool
	cancelled map[model.RequestID]bool // a caller has asked for the cancellation
	faults    []string
	log       []string
}

func newRecorder(c *testCell) *recorder {
	return &recorder{
		cell: c, behaviours: map[model.RequestID]taskBehaviour{}, calls: map[event.Token]*call{}, starts: map[taskKey]int{},
		running: map[taskKey]int{}, answers: map[model.RequestID]map[string]bool{}, finalOutcomes: map[model.RequestID]model.Outcome{},
		unstarted: map[model.RequestID]bool{}, cancelled: map[model.RequestID]bool{},
	}
}

func (r *recorder) logf(format string, args ...any) {
	r.log = append(r.log, fmt.Sprintf("%8.3f ", r.cell.now.Sub(startTime).Seconds())+fmt.Sprintf(format, args...))
}

func (r *recorder) recordFault(format string, args ...any) {
	r.logf("FAULT "+format, args...)
	r.faults = append(r.faults, r.log[len(r.log)-1])
}

func (r *recorder) recordTrace(n *node, e event.Trace) {
	r.logf("%s %s %s %s %s %s", n.self.ID, e.Kind, e.Request, e.Attempt, e.Worker, e.Detail)
}

func (r *recorder) openCall(n *node, q *model.Request, wait bool) event.Token {
	r.cell.token++
	r.calls[r.cell.token] = &call{node: n, incarnation: n.incarnation, request: q, wait: wait, open: n.alive}
	return r.cell.token
}

func (r *recorder) closeCallsOf(n *node) {
	for _, c := range r.calls {
		if c.node == n && c.incarnation == n.incarnation {
			c.open = false
		}
	}
}

func (r *recorder) recordStart(w *fakeWorker, t *fakeTask) {
	a := t.report.Attempt
	key := taskKey{a.Request, a.Task}
	r.logf("worker %s starts %s", w.self.ID, a)
	r.starts[key]++
	r.running[key]++
	if !t.request.Idempotent && r.starts[key] > 1 {
		r.recordFault("started twice: %s on %s", a, w.self.ID)
	}
	if o, ok := r.finalOutcomes[a.Request]; ok && (o.Status == model.StatusNotRun || o.Status == model.StatusCancelled && r.unstarted[a.Request]) {
		r.recordFault("started after %s: %s on %s", o.Status, a, w.self.ID)
	}
	if !w.leavingAt.IsZero() && r.cell.now.After(w.leavingAt.Add(2*time.Second)) {
		r.recordFault("started on a leaving worker: %s on %s", a, w.self.ID)
	}
}

func (r *recorder) recordEnd(t *fakeTask) {
	a := t.report.Attempt
	r.logf("worker ends %s %s %v", a, t.report.State, t.report.Result.Succeeded)
	r.running[taskKey{a.Request, a.Task}]--
	if e, ok := r.cell.store.journalEntry(a.Request); ok && e.Outcome == nil &&
		t.report.State == model.TaskStopped && !t.request.Idempotent && !r.cancelled[a.Request] {
		r.recordFault("stopped although it is neither settled nor cancelled: %s", a)
	}
	if r.answers[a.Request] == nil {
		r.answers[a.Request] = map[string]bool{}
	}
	r.answers[a.Request][string(t.report.Result.Answer)] = true
}

func (r *recorder) recordReject(n *node, e event.Reject) {
	c := r.calls[e.Token]
	r.logf("%s rejects %s: %s", n.self.ID, c.request.ID, e.Reason)
	if !c.open {
		r.recordFault("answered twice: token %d of %s", e.Token, c.request.ID)
	}
	c.open, c.reject = false, &e
}

func (r *recorder) recordReply(n *node, e event.Reply) {
	c, o := r.calls[e.Token], e.Outcome
	id := c.request.ID
	r.logf("%s replies %s: %s %s", n.self.ID, id, o.Status, o.Reason)
	if !c.open {
		r.recordFault("answered twice: token %d of %s", e.Token, id)
	}
	c.open, c.outcome = false, &o
	if o.Status == model.StatusDone {
		r.checkAnswer(id, c.request, o)
	}
	if o.Reason == droppedResult && !r.cancelled[id] {
		r.recordFault("a result was dropped before it was journaled: %s", id)
	}
	if o.Status == model.StatusNotRun && r.wasStarted(id) {
		r.recordFault("not_run, but it was started: %s", id)
	}
	if !o.Status.IsFinal() || o.Status == model.StatusExpired {
		return
	}
	previous, ok := r.finalOutcomes[id]
	_, journaled := r.cell.store.journalEntry(id)
	if ok && journaled && previous.Status != model.StatusUnknown && o.Status != model.StatusUnknown &&
		(previous.Status != o.Status || string(previous.Answer) != string(o.Answer)) {
		r.recordFault("contradiction: %s was %s, is %s", id, previous.Status, o.Status)
	}
	if !ok || previous.Status == model.StatusUnknown {
		r.unstarted[id] = !r.wasStarted(id)
		r.finalOutcomes[id] = o
	}
}

// wasStarted reports whether any task of a request was ever started.
func (r *recorder) wasStarted(id model.RequestID) bool {
	for key, n := range r.starts {
		if key.id == id && n > 0 {
			return true
		}
	}
	return false
}

func (r *recorder) checkAnswer(id model.RequestID, q *model.Request, o model.Outcome) {
	if model.DigestOf(o.Answer) != o.Digest {
		r.recordFault("answer does not match its digest: %s", id)
	}
	parts := strings.SplitAfter(strings.TrimSuffix(string(o.Answer), ";"), ";")
	if q.Tasks > 0 && len(parts) != int(q.Tasks) {
		r.recordFault("answer has %d of %d tasks: %s", len(parts), q.Tasks, id)
	}
	for i, part := range parts {
		part = strings.TrimSuffix(part, ";") + ";"
		if !r.answers[id][part] || !strings.HasPrefix(part, fmt.Sprintf("%s/%d/", id, i)) {
			r.recordFault("answer of another request: %s got %q", id, part)
		}
	}
}

// checkRevision records a fault if the document revision of an instance decreases
// within one incarnation.
func (r *recorder) checkRevision(n *node) {
	current := n.reducer.Document().Revision
	if current < n.revision {
		r.recordFault("revision went down at %s: %d to %d", n.self.ID, n.revision, current)
	}
	n.revision = current
}

// checkShutdown checks that a shutdown left no call unanswered. It allows 100 ms
// for calls that follow the shutdown in the backlog of a paused process.
func (r *recorder) checkShutdown(n *node) {
	last, incarnation := r.cell.token, n.incarnation
	r.cell.schedule(100*time.Millisecond, func() {
		for token, c := range r.calls {
			if token <= last && c.node == n && c.incarnation == incarnation && c.open {
				r.recordFault("%s stopped with an open call: token %d of %s", n.self.ID, token, c.request.ID)
			}
		}
	})
}

// unsettledRequests lists the accepted requests without an outcome. It omits
// services, which run until they are cancelled.
func (r *recorder) unsettledRequests() []string {
	var unsettled []string
	seen := map[model.RequestID]bool{}
	for _, c := range r.calls {
		id := c.request.ID
		if seen[id] {
			continue
		}
		seen[id] = true
		if e, ok := r.cell.store.journalEntry(id); ok && e.Request != nil && e.Outcome == nil && e.Request.Kind != model.KindService {
			unsettled = append(unsettled, string(id))
		}
	}
	return unsettled
}

// cancelAllServices cancels every service that was submitted.
func (r *recorder) cancelAllServices() {
	for token := range r.cell.token {
		if c := r.calls[token+1]; c.request.Kind == model.KindService {
			r.cell.nodes[0].cancel(c.request.ID)
		}
	}
}
