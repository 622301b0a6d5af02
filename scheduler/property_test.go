package scheduler_test

import (
	"fmt"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	"pgregory.net/rapid"

	"fuchsiacross/document"
	"fuchsiacross/event"
	"fuchsiacross/model"
)

var smallWorker = model.Resources{MilliCPU: 4000, MemoryBytes: 8 << 30, Slots: 8}

// newRequest returns a request of one task that needs one processor.
func (c *testCell) newRequest(id string, kind model.Kind, class model.Class, idempotent bool, run time.Duration) *model.Request {
	q := &model.Request{
		ID: model.RequestID(id), Team: "team", Workload: "work", Kind: kind, Class: class,
		Resources: model.Resources{MilliCPU: 1000, MemoryBytes: 1 << 30}, Tasks: 1, Idempotent: idempotent,
		Deadline: c.now.Add(20 * time.Second), SubmittedAt: c.now,
	}
	if kind == model.KindRequest {
		q.Resources.Slots = 1
	}
	c.recorder.behaviours[q.ID] = taskBehaviour{duration: run}
	return q
}

// randomSchedule draws the steps of a random schedule of calls and faults.
type randomSchedule struct {
	*testCell
	t         *rapid.T
	submitted []*model.Request
}

func (s *randomSchedule) drawInt(n int, label string) int {
	return rapid.IntRange(0, n-1).Draw(s.t, label)
}

func (s *randomSchedule) drawNode() *node { return s.nodes[s.drawInt(len(s.nodes), "instance")] }

func (s *randomSchedule) submitRequest() {
	kind := model.Kind(1 + s.drawInt(3, "kind"))
	class := model.Class(1 + s.drawInt(3, "class"))
	q := s.newRequest(fmt.Sprintf("q%d", len(s.submitted)), kind, class, kind == model.KindService || s.drawInt(2, "idempotent") == 1,
		time.Duration(20+s.drawInt(2000, "run"))*time.Millisecond)
	if kind != model.KindRequest && s.drawInt(3, "several") == 0 {
		q.Tasks = uint32(2 + s.drawInt(3, "tasks"))
		q.Gang = s.drawInt(2, "gang") == 1
	}
	if kind == model.KindService && s.drawInt(3, "ends") > 0 {
		s.recorder.behaviours[q.ID] = taskBehaviour{}
	}
	q.Preemptible = class == model.ClassBackground && q.Idempotent
	q.Deadline = s.now.Add(time.Duration(1+s.drawInt(15, "deadline")) * time.Second)
	if s.drawInt(8, "fails") == 0 {
		s.recorder.behaviours[q.ID] = taskBehaviour{duration: 30 * time.Millisecond, fails: true}
	}
	s.submitted = append(s.submitted, q)
	s.drawNode().submit(q, s.drawInt(2, "wait") == 1)
}

func (s *randomSchedule) runStep() {
	switch s.drawInt(16, "step") {
	case 0, 1, 2, 3, 4, 5:
		s.submitRequest()
	case 6:
		if len(s.submitted) > 0 {
			q := s.submitted[s.drawInt(len(s.submitted), "again")]
			if q.Durability() != model.Ephemeral {
				s.drawNode().submit(q, true)
			}
		}
	case 7:
		if len(s.submitted) > 0 {
			s.drawNode().cancel(s.submitted[s.drawInt(len(s.submitted), "cancel")].ID)
		}
	case 8:
		n := s.drawNode()
		if !n.alive {
			n.boot()
			return
		}
		n.kill()
	case 9:
		s.drawNode().pause(time.Duration(200+s.drawInt(4000, "pause"))*time.Millisecond, s.drawInt(2, "late") == 1)
	case 10:
		a, b := s.drawNode(), s.workers[s.drawInt(len(s.workers), "worker")]
		s.cutLink(a.name(), b.name())
		if s.drawInt(2, "both") == 1 {
			s.cutLink(b.name(), a.name())
		}
	case 11:
		a, b := s.drawNode(), s.drawNode()
		s.cutLink(a.name(), b.name())
		if s.drawInt(2, "both") == 1 {
			s.cutLink(b.name(), a.name())
		}
	case 12:
		clear(s.cutLinks)
		s.lossPercent = s.drawInt(10, "losses")
	case 13:
		if s.store.down {
			s.store.endOutage()
			return
		}
		s.store.down = s.drawInt(2, "down") == 1
		s.store.answersToLose = s.drawInt(3, "lost answers")
	case 14:
		w := s.workers[s.drawInt(len(s.workers), "worker")]
		if s.drawInt(4, "leaves") == 0 && w.leavingAt.IsZero() && w != s.workers[0] {
			w.leave()
			return
		}
		s.recorder.logf("worker %s restarts", w.self.ID)
		for _, a := range w.attemptOrder {
			if t := w.tasks[a]; t.report.State == model.TaskRunning {
				s.recorder.running[taskKey{a.Request, a.Task}]--
			}
		}
		w.restart()
	case 15:
		if n := s.drawNode(); s.drawInt(3, "shutdown") == 0 && n.alive {
			s.recorder.logf("%s shuts down", n.self.ID)
			n.receive(n.incarnation, event.Shutdown{})
			return
		}
		s.store.commitRevision(func(d *document.Document) { d.Cell.PackingWeight = float64(s.drawInt(3, "weight")) })
	}
}

// failOnFaults fails the test with the log if a fault was recorded.
func (c *testCell) failOnFaults(t rapid.TB) {
	if len(c.recorder.faults) > 0 {
		t.Fatalf("%s\n%s", strings.Join(c.recorder.faults, "\n"), strings.Join(c.recorder.log, "\n"))
	}
}

// explainUnsettled returns the state of each unsettled request at each instance.
func (c *testCell) explainUnsettled() string {
	var b strings.Builder
	for _, id := range c.recorder.unsettledRequests() {
		for _, n := range c.nodes {
			for _, e := range n.reducer.Apply(c.now, event.Query{View: event.ViewExplain, Request: model.RequestID(id)}) {
				if a, ok := e.(event.AnswerQuery); ok {
					fmt.Fprintf(&b, "%s at %s: %+v\n", id, n.self.ID, a.View)
				}
			}
		}
	}
	return b.String()
}

var _ = Describe("random schedules", func() {
	// Guards against violations of the guarantees in section 1.2 of the design under
	// any order of faults.
	It("keeps the guarantees to callers under faults", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			c := newTestCell(uint64(rapid.IntRange(0, 1<<20).Draw(t, "seed")), rapid.IntRange(3, 5).Draw(t, "instances"), 4, smallWorker)
			c.run(3 * time.Second)
			s := &randomSchedule{testCell: c, t: t}
			for range rapid.IntRange(5, 40).Draw(t, "steps") {
				s.runStep()
				c.run(time.Duration(s.drawInt(800, "gap")) * time.Millisecond)
				c.failOnFaults(t)
			}
			c.endFaults()
			settled := c.runUntil(90*time.Second, func() bool { return len(c.recorder.unsettledRequests()) == 0 })
			c.failOnFaults(t)
			if !settled {
				t.Fatalf("without an outcome: %v\n%s\n%s", c.recorder.unsettledRequests(), strings.Join(c.recorder.log, "\n"), c.explainUnsettled())
			}
			for range 3 {
				c.recorder.cancelAllServices()
				c.run(20 * time.Second)
			}
			c.failOnFaults(t)
			for _, n := range c.nodes {
				if leaks := n.reducer.Leaks(); len(leaks) > 0 {
					t.Fatalf("%s still holds %v\n%s", n.self.ID, leaks, strings.Join(c.recorder.log, "\n"))
				}
			}
			for _, n := range c.nodes {
				if n.reducer.Document().Revision != c.store.document.Revision {
					t.Fatalf("%s has revision %d, committed is %d", n.self.ID, n.reducer.Document().Revision, c.store.document.Revision)
				}
			}
		})
	})
})
