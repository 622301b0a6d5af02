package scheduler_test

import (
	"fmt"
	"slices"
	"time"

	"fuchsiacross/event"
	"fuchsiacross/model"
)

// session is an instance's side of the session with a worker.
type session struct {
	term          model.Term
	expiry        time.Time
	open          bool
	pendingStarts []model.Attempt // starts that were not answered yet
}

type fakeTask struct {
	report  model.TaskReport
	request *model.Request
	term    model.Term
	reply   func(event.Event) bool // answers the call that started a request; nil if it has none
}

// fakeWorker refuses what a correct worker refuses, and records a fault if a start
// would exceed its capacity.
type fakeWorker struct {
	cell              *testCell
	self              model.Worker
	capacity          model.Resources
	used              model.Resources
	incarnation       model.Incarnation
	term              model.Term
	holder            *node
	holderIncarnation model.Incarnation
	session           *session
	expiry            time.Time
	revision          model.Revision
	tasks             map[model.Attempt]*fakeTask
	attemptOrder      []model.Attempt
	refused           map[model.Attempt]bool
	acknowledged      map[model.Attempt]bool
	leavingAt         time.Time // when the platform's list first marked it as leaving
	failsAllTasks     bool
}

func newFakeWorker(c *testCell, self model.Worker, capacity model.Resources) *fakeWorker {
	w := &fakeWorker{cell: c, self: self, capacity: capacity}
	w.restart()
	return w
}

func (w *fakeWorker) name() string { return string(w.self.ID) }

// restart drops all tasks and starts a new incarnation.
func (w *fakeWorker) restart() {
	w.incarnation++
	w.holder, w.used, w.attemptOrder = nil, model.Resources{}, nil
	w.tasks = map[model.Attempt]*fakeTask{}
	w.refused, w.acknowledged = map[model.Attempt]bool{}, map[model.Attempt]bool{}
}

// leave marks the worker as leaving in the platform's list.
func (w *fakeWorker) leave() {
	w.leavingAt = w.cell.now
	for i := range w.cell.listedWorkers {
		if w.cell.listedWorkers[i].ID == w.self.ID {
			w.cell.listedWorkers[i].Leaving = true
		}
	}
}

func (n *node) sendToWorker(e event.Effect) {
	switch e := e.(type) {
	case event.AcquireLease:
		n.acquireLease(e.Worker.ID)
	case event.ReleaseLease:
		delete(n.sessions, e.Worker)
		w := n.cell.workerByID(e.Worker)
		n.cell.deliver(n.name(), w.name(), func() {
			if w.term == e.Term {
				w.holder = nil
			}
		})
	case event.StartTask:
		n.startTask(e)
	case event.StopTask:
		n.sendCommand(e.Worker, func(w *fakeWorker) { w.stop(e.Term, e.Attempt) })
	case event.FenceAttempt:
		n.sendCommand(e.Worker, func(w *fakeWorker) { w.fence(e.Attempt) })
	case event.AcknowledgeTask:
		n.sendCommand(e.Worker, func(w *fakeWorker) { w.acknowledge(e.Attempt) })
	}
}

// acquireLease opens a session. The worker grants or denies the lease.
func (n *node) acquireLease(id model.WorkerID) {
	c, w, incarnation := n.cell, n.cell.workerByID(id), n.incarnation
	revision := n.reducer.Document().Revision
	reportLost := func() { c.schedule(300*time.Millisecond, func() { n.endSession(id, incarnation, 0, "no answer") }) }
	if !c.deliver(n.name(), w.name(), func() { w.handleAcquire(n, incarnation, revision) }) {
		reportLost()
	}
}

// endSession removes a session, unless a newer one is open, and reports LeaseLost.
func (n *node) endSession(id model.WorkerID, incarnation model.Incarnation, term model.Term, reason string) {
	if s := n.sessions[id]; n.incarnation == incarnation && s != nil && s.term <= term {
		delete(n.sessions, id)
	}
	n.receive(incarnation, event.LeaseLost{Worker: id, Term: term, Reason: reason})
}

// sendCommand sends a command over the session and returns false if there is no
// open one. A lost command breaks the session's stream, which is then reopened.
func (n *node) sendCommand(id model.WorkerID, f func(*fakeWorker)) bool {
	s, w, incarnation := n.sessions[id], n.cell.workerByID(id), n.incarnation
	if s == nil || !s.open {
		return false
	}
	if n.cell.deliver(n.name(), w.name(), func() {
		if w.holder == n && w.holderIncarnation == incarnation {
			f(w)
		}
	}) {
		return true
	}
	n.breakSession(id, s)
	return true
}

// breakSession closes the stream of a session, reports its unanswered starts as
// uncertain and reopens the stream.
func (n *node) breakSession(id model.WorkerID, s *session) {
	if !s.open {
		return
	}
	s.open = false
	incarnation, pending := n.incarnation, s.pendingStarts
	s.pendingStarts = nil
	n.cell.schedule(50*time.Millisecond, func() {
		for _, a := range pending {
			n.receive(incarnation, event.StartUncertain{Worker: id, Attempt: a, Reason: "the stream broke"})
		}
		if n.incarnation == incarnation && n.alive && n.sessions[id] == s {
			n.acquireLease(id)
		}
	})
}

// renewLeases renews the leases and ends the sessions of those that have expired.
func (n *node) renewLeases() {
	for _, w := range n.cell.workers {
		s := n.sessions[w.self.ID]
		if s == nil {
			continue
		}
		isCut := n.cell.cutLinks[direction{n.name(), w.name()}] || n.cell.cutLinks[direction{w.name(), n.name()}]
		switch {
		case !isCut && (w.term != s.term || w.holder != n):
			n.endSession(w.self.ID, n.incarnation, s.term, "another term")
		case !isCut && s.open:
			w.expiry = n.cell.now.Add(leaseDuration)
			s.expiry = w.expiry
			w.revision = max(w.revision, n.reducer.Document().Revision)
		case !n.cell.now.Before(s.expiry):
			n.endSession(w.self.ID, n.incarnation, s.term, "the lease expired")
		case s.open:
			n.breakSession(w.self.ID, s)
		}
	}
}

func (w *fakeWorker) handleAcquire(n *node, incarnation model.Incarnation, revision model.Revision) {
	c := w.cell
	if w.holder != nil && c.now.Before(w.expiry) && w.holder != n {
		holder, remaining := w.holder.self.ID, w.expiry.Sub(c.now)
		c.deliver(w.name(), n.name(), func() {
			n.receive(incarnation, event.LeaseDenied{Worker: w.self.ID, Holder: holder, Until: c.now.Add(remaining)})
		})
		return
	}
	w.term++
	w.holder, w.holderIncarnation = n, incarnation
	w.expiry = c.now.Add(leaseDuration)
	w.revision = max(w.revision, revision)
	g := event.LeaseGranted{Worker: w.self, Term: w.term, Incarnation: w.incarnation, Capacity: w.capacity, Revision: w.revision}
	for _, a := range w.attemptOrder {
		if t := w.tasks[a]; t != nil {
			g.Tasks = append(g.Tasks, t.report)
		}
	}
	s := &session{term: g.Term, expiry: w.expiry, open: true}
	w.session = s
	c.deliver(w.name(), n.name(), func() {
		if n.incarnation == incarnation && n.alive {
			n.sessions[w.self.ID] = s
		}
		n.receive(incarnation, g)
	})
}

// startTask sends a start. A request to a runner is sent in a separate call, whose
// answer does not need the session.
func (n *node) startTask(e event.StartTask) {
	c, w, incarnation := n.cell, n.cell.workerByID(e.Worker), n.incarnation
	s := n.sessions[e.Worker]
	if s == nil || !s.open || s.term != e.Term {
		c.schedule(0, func() {
			n.receive(incarnation, event.StartRefused{Worker: e.Worker, Attempt: e.Attempt, Reason: "no session"})
		})
		return
	}
	if e.Request.Kind != model.KindRequest {
		s.pendingStarts = append(s.pendingStarts, e.Attempt)
		n.sendCommand(e.Worker, func(w *fakeWorker) { w.start(e, nil) })
		return
	}
	answered := false
	reportUncertain := func() {
		if !answered {
			answered = true
			n.receive(incarnation, event.StartUncertain{Worker: e.Worker, Attempt: e.Attempt, Reason: "no answer"})
		}
	}
	reply := func(a event.Event) bool {
		return c.deliver(w.name(), n.name(), func() {
			if !answered {
				answered = true
				if _, ok := a.(event.TaskFinished); ok {
					n.receive(incarnation, event.TaskStarted{Worker: e.Worker, Attempt: e.Attempt})
				}
				n.receive(incarnation, a)
			}
		})
	}
	c.schedule(e.AnswerBy.Sub(c.now), reportUncertain)
	if !c.deliver(n.name(), w.name(), func() { w.start(e, reply) }) {
		c.schedule(200*time.Millisecond, reportUncertain)
	}
}

// start runs an attempt unless a correct worker would refuse it.
func (w *fakeWorker) start(e event.StartTask, reply func(event.Event) bool) {
	if t := w.tasks[e.Attempt]; t != nil {
		return
	}
	refusal := ""
	switch {
	case e.Term != w.term:
		refusal = "an earlier term"
	case w.refused[e.Attempt] || w.acknowledged[e.Attempt]:
		refusal = "fenced"
	case !w.used.Add(e.Reserved).Fits(w.capacity):
		w.cell.recorder.recordFault("over capacity: %s on %s, used %v, asked %v", e.Attempt, w.self.ID, w.used, e.Reserved)
		refusal = "over capacity"
	}
	if refusal != "" {
		w.refused[e.Attempt] = true
		w.sendReport(e.Attempt, reply, event.StartRefused{Worker: w.self.ID, Attempt: e.Attempt, Reason: refusal})
		return
	}
	t := &fakeTask{request: e.Request, term: e.Term, reply: reply, report: model.TaskReport{
		Attempt: e.Attempt, State: model.TaskRunning, Resources: e.Reserved, Class: e.Request.Class,
		Team: e.Request.Team, Workload: e.Request.Workload, Kind: e.Request.Kind, StartedAt: w.cell.now,
	}}
	w.tasks[e.Attempt] = t
	w.attemptOrder = append(w.attemptOrder, e.Attempt)
	w.used = w.used.Add(e.Reserved)
	w.cell.recorder.recordStart(w, t)
	if reply == nil {
		w.sendReport(e.Attempt, nil, event.TaskStarted{Worker: w.self.ID, Attempt: e.Attempt})
	}
	if behaviour := w.cell.recorder.behaviours[e.Request.ID]; behaviour.duration > 0 {
		incarnation := w.incarnation
		w.cell.schedule(behaviour.duration, func() {
			if w.incarnation == incarnation {
				w.end(e.Attempt, model.TaskFinished, !behaviour.fails && !w.failsAllTasks)
			}
		})
	}
}

// end ends a running attempt in the given state.
func (w *fakeWorker) end(a model.Attempt, state model.TaskState, succeeded bool) {
	t := w.tasks[a]
	if t == nil || t.report.State != model.TaskRunning {
		return
	}
	t.report.State = state
	w.used = w.used.Sub(t.report.Resources)
	if state == model.TaskFinished {
		answer := []byte(fmt.Sprintf("%s of incarnation %d;", a, w.incarnation))
		t.report.Result = model.TaskResult{Succeeded: succeeded, Answer: answer, Digest: model.DigestOf(answer)}
		if !succeeded {
			t.report.Result = model.TaskResult{Message: "failed", Digest: model.DigestOf(nil)}
		}
	}
	w.cell.recorder.recordEnd(t)
	w.reportEnd(t)
}

// reportEnd reports the end of a task. A call of an earlier term may have no
// receiver any more, so the result then goes over the session.
func (w *fakeWorker) reportEnd(t *fakeTask) {
	if t.reply != nil && t.term != w.term {
		t.reply = nil
	}
	w.sendReport(t.report.Attempt, t.reply, event.TaskFinished{
		Worker: w.self.ID, Attempt: t.report.Attempt, Result: t.report.Result, Stopped: t.report.State == model.TaskStopped,
	})
}

// sendReport sends an event in reply to the waiting call or, failing that, over
// the session.
func (w *fakeWorker) sendReport(a model.Attempt, reply func(event.Event) bool, e event.Event) {
	if reply != nil && reply(e) {
		return
	}
	n, incarnation := w.holder, w.holderIncarnation
	if n == nil || n.incarnation != incarnation {
		return
	}
	s := w.session
	if s == nil || !s.open {
		return
	}
	if !w.cell.deliver(w.name(), n.name(), func() {
		s.pendingStarts = slices.DeleteFunc(s.pendingStarts, func(p model.Attempt) bool { return p == a })
		n.receive(incarnation, e)
	}) {
		n.breakSession(w.self.ID, s)
	}
}

func (w *fakeWorker) stop(term model.Term, a model.Attempt) {
	if term != w.term {
		return
	}
	if t := w.tasks[a]; t != nil && t.report.State != model.TaskRunning {
		w.reportEnd(t)
		return
	}
	w.end(a, model.TaskStopped, false)
}

func (w *fakeWorker) fence(a model.Attempt) {
	report := model.TaskReport{Attempt: a, State: model.TaskNeverSeen}
	switch t := w.tasks[a]; {
	case t != nil:
		report = t.report
	case w.acknowledged[a]:
		report.State = model.TaskFinished
		report.Result = model.TaskResult{Message: droppedResult, Digest: model.DigestOf(nil)}
	default:
		w.refused[a] = true
	}
	w.sendReport(a, nil, event.AttemptFenced{Worker: w.self.ID, Report: report})
}

func (w *fakeWorker) acknowledge(a model.Attempt) {
	if t := w.tasks[a]; t != nil && t.report.State != model.TaskRunning {
		delete(w.tasks, a)
		w.attemptOrder = slices.DeleteFunc(w.attemptOrder, func(b model.Attempt) bool { return a == b })
		w.acknowledged[a] = true
	}
}
