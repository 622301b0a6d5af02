package scheduler_test

import (
	"fmt"
	"strings"
	"time"

	"fuchsiacross/event"
	"fuchsiacross/model"
)

// job is how a request's tasks behave; a time of zero runs until it is stopped.
type job struct {
	time time.Duration
	fail bool
}

type heard struct {
	node    *node
	life    model.Incarnation
	request *model.Request
	wait    bool
	open    bool
	outcome *model.Outcome
	reject  *event.Reject
}

type taskKey struct {
	id   model.RequestID
	task uint32
}

// recorder notes what workers did and what callers heard, and compares them.
type recorder struct {
	cell    *cell
	jobs    map[model.RequestID]job
	calls   map[event.Token]*heard
	starts  map[taskKey]int
	running map[taskKey]int
	answers map[model.RequestID]map[string]bool // by request, what its tasks answered
	final   map[model.RequestID]model.Outcome   // the outcome that callers have heard
	// unstarted has the requests that no worker had started when a caller heard
	// the outcome. A cancelled one of the others may be started once more by a
	// former holder that has not heard of the cancellation.
	unstarted map[model.RequestID]bool
	faults    []string
	log       []string
}

func newRecorder(c *cell) *recorder {
	return &recorder{
		cell: c, jobs: map[model.RequestID]job{}, calls: map[event.Token]*heard{}, starts: map[taskKey]int{},
		running: map[taskKey]int{}, answers: map[model.RequestID]map[string]bool{}, final: map[model.RequestID]model.Outcome{},
		unstarted: map[model.RequestID]bool{},
	}
}

func (r *recorder) note(format string, args ...any) {
	r.log = append(r.log, fmt.Sprintf("%8.3f ", r.cell.now.Sub(start).Seconds())+fmt.Sprintf(format, args...))
}

func (r *recorder) fault(format string, args ...any) {
	r.note("FAULT "+format, args...)
	r.faults = append(r.faults, r.log[len(r.log)-1])
}

func (r *recorder) traced(n *node, e event.Trace) {
	r.note("%s %s %s %s %s %s", n.self.ID, e.Kind, e.Request, e.Attempt, e.Worker, e.Detail)
}

func (r *recorder) call(n *node, q *model.Request, wait bool) event.Token {
	r.cell.token++
	r.calls[r.cell.token] = &heard{node: n, life: n.life, request: q, wait: wait, open: n.alive}
	return r.cell.token
}

func (r *recorder) killed(n *node) {
	for _, h := range r.calls {
		if h.node == n && h.life == n.life {
			h.open = false
		}
	}
}

func (r *recorder) started(w *fakeWorker, t *fakeTask) {
	a := t.report.Attempt
	key := taskKey{a.Request, a.Task}
	r.note("worker %s starts %s", w.self.ID, a)
	r.starts[key]++
	r.running[key]++
	if !t.request.Idempotent && r.starts[key] > 1 {
		r.fault("started twice: %s on %s", a, w.self.ID)
	}
	if o, ok := r.final[a.Request]; ok && (o.Status == model.StatusNotRun || o.Status == model.StatusCancelled && r.unstarted[a.Request]) {
		r.fault("started after %s: %s on %s", o.Status, a, w.self.ID)
	}
	if !w.leavingAt.IsZero() && r.cell.now.After(w.leavingAt.Add(2*time.Second)) {
		r.fault("started on a leaving worker: %s on %s", a, w.self.ID)
	}
}

func (r *recorder) ended(t *fakeTask) {
	a := t.report.Attempt
	r.note("worker ends %s %s %v", a, t.report.State, t.report.Result.Succeeded)
	r.running[taskKey{a.Request, a.Task}]--
	if r.answers[a.Request] == nil {
		r.answers[a.Request] = map[string]bool{}
	}
	r.answers[a.Request][string(t.report.Result.Answer)] = true
}

func (r *recorder) rejected(n *node, e event.Reject) {
	h := r.calls[e.Token]
	r.note("%s rejects %s: %s", n.self.ID, h.request.ID, e.Reason)
	if !h.open {
		r.fault("answered twice: token %d of %s", e.Token, h.request.ID)
	}
	h.open, h.reject = false, &e
}

func (r *recorder) replied(n *node, e event.Reply) {
	h, o := r.calls[e.Token], e.Outcome
	id := h.request.ID
	r.note("%s replies %s: %s %s", n.self.ID, id, o.Status, o.Reason)
	if !h.open {
		r.fault("answered twice: token %d of %s", e.Token, id)
	}
	h.open, h.outcome = false, &o
	if o.Status == model.StatusDone {
		r.checkAnswer(id, h.request, o)
	}
	if o.Status == model.StatusNotRun && r.started0(id) {
		r.fault("not_run, but it was started: %s", id)
	}
	if !o.Status.IsFinal() || o.Status == model.StatusExpired {
		return
	}
	before, ok := r.final[id]
	_, journaled := r.cell.store.entry(id)
	if ok && journaled && before.Status != model.StatusUnknown && o.Status != model.StatusUnknown &&
		(before.Status != o.Status || string(before.Answer) != string(o.Answer)) {
		r.fault("contradiction: %s was %s, is %s", id, before.Status, o.Status)
	}
	if !ok || before.Status == model.StatusUnknown {
		r.unstarted[id] = !r.started0(id)
		r.final[id] = o
	}
}

// started0 reports whether any task of a request was ever started.
func (r *recorder) started0(id model.RequestID) bool {
	for key, n := range r.starts {
		if key.id == id && n > 0 {
			return true
		}
	}
	return false
}

func (r *recorder) checkAnswer(id model.RequestID, q *model.Request, o model.Outcome) {
	if model.DigestOf(o.Answer) != o.Digest {
		r.fault("answer is not whole: %s", id)
	}
	parts := strings.SplitAfter(strings.TrimSuffix(string(o.Answer), ";"), ";")
	if q.Tasks > 0 && len(parts) != int(q.Tasks) {
		r.fault("answer has %d of %d tasks: %s", len(parts), q.Tasks, id)
	}
	for i, part := range parts {
		part = strings.TrimSuffix(part, ";") + ";"
		if !r.answers[id][part] || !strings.HasPrefix(part, fmt.Sprintf("%s/%d/", id, i)) {
			r.fault("answer of another request: %s got %q", id, part)
		}
	}
}

// revisionAt notes a document revision that goes down during one life.
func (r *recorder) revisionAt(n *node) {
	now := n.r.Document().Revision
	if now < n.revision {
		r.fault("revision went down at %s: %d to %d", n.self.ID, n.revision, now)
	}
	n.revision = now
}

// stoppedAt checks that a shutdown left no caller without an answer. Calls that
// wait behind the shutdown in the backlog of a paused process come a little later.
func (r *recorder) stoppedAt(n *node) {
	last, life := r.cell.token, n.life
	r.cell.after(100*time.Millisecond, func() {
		for token, h := range r.calls {
			if token <= last && h.node == n && h.life == life && h.open {
				r.fault("%s stopped with an open call: token %d of %s", n.self.ID, token, h.request.ID)
			}
		}
	})
}

// unsettled lists accepted requests without an outcome.
func (r *recorder) unsettled() []string {
	var open []string
	seen := map[model.RequestID]bool{}
	for _, h := range r.calls {
		id := h.request.ID
		if seen[id] {
			continue
		}
		seen[id] = true
		if e, ok := r.cell.store.entry(id); ok && e.Request != nil && e.Outcome == nil && e.Request.Kind != model.KindService {
			open = append(open, string(id))
		}
	}
	return open
}

// cancelServices cancels every service that a caller asked for.
func (r *recorder) cancelServices() {
	for token := range r.cell.token {
		if h := r.calls[token+1]; h.request.Kind == model.KindService {
			r.cell.nodes[0].cancel(h.request.ID)
		}
	}
}
