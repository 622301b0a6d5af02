package worker_test

import (
	"context"
	"errors"
	"net"
	"strings"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"fuchsiacross/event"
	"fuchsiacross/model"
	"fuchsiacross/worker"
	"fuchsiacross/workerstandin"
)

var bothPaths = []model.Kind{model.KindRequest, model.KindBatch}

var _ = Describe("Client under failure", func() {
	// A start that may have reached the worker must not be called refused, and
	// every start needs exactly one answer.
	It("reports a start as uncertain when the connection is cut after it", func() {
		for _, kind := range bothPaths {
			h := newHarness(func(_ *worker.Options, o *workerstandin.Options) {
				o.Faults = workerstandin.Faults{CutAfterStart: 1}
			})
			granted := h.acquire()
			a := h.start(kind, "cut", granted.Term, `{"run_milliseconds": 300}`)
			Expect(next[event.StartUncertain](h, 1).Attempt).To(Equal(a))
			again := next[event.LeaseGranted](h, 2)
			Expect(again.Term).To(BeNumerically(">", granted.Term))
			Expect(again.Tasks).To(HaveLen(1))
			Expect(again.Tasks[0].State).To(Equal(model.TaskRunning))
			Expect(again.Tasks[0].Workload).To(Equal(model.Workload("moisture_check")))
			Expect(next[event.TaskFinished](h, 1).Attempt).To(Equal(a))
			Expect(count[event.StartUncertain](h)).To(Equal(1))
			Expect(count[event.StartRefused](h)).To(BeZero())
			Expect(count[event.LeaseLost](h)).To(BeZero())
			Expect(h.recorder.StartsOf("cut")).To(HaveLen(1))
		}
	})

	// Passing on part of an answer would give a caller an incomplete response.
	It("never passes on a truncated answer and gets it again by fencing", func() {
		for _, kind := range bothPaths {
			h := newHarness(func(_ *worker.Options, o *workerstandin.Options) {
				o.Faults = workerstandin.Faults{TruncateAnswers: 2}
			})
			granted := h.acquire()
			a := h.start(kind, "whole", granted.Term, `{"answer_bytes": 5000}`)
			Expect(next[event.StartUncertain](h, 1).Reason).To(ContainSubstring("digest"))
			Expect(count[event.TaskFinished](h)).To(BeZero())
			// The first fence gets the second truncated answer, which is dropped.
			Eventually(func() int {
				h.client.Apply(event.FenceAttempt{Worker: "w1", Attempt: a})
				return count[event.AttemptFenced](h)
			}, 2*time.Second, 50*time.Millisecond).Should(BeNumerically(">", 0))
			report := next[event.AttemptFenced](h, 1).Report
			Expect(report.State).To(Equal(model.TaskFinished))
			Expect(report.Result.Answer).To(Equal(workerstandin.AnswerFor("whole", 5000)))
		}
	})

	// A result that is truncated in a grant would otherwise be passed on there.
	It("fetches a result again that is truncated in a grant", func() {
		h := newHarness(nil)
		granted := h.acquire()
		h.start(model.KindBatch, "kept", granted.Term, `{"answer_bytes": 900}`)
		next[event.TaskFinished](h, 1)
		h.standin.SetFaults(workerstandin.Faults{TruncateAnswers: 1, Unreachable: true})
		time.Sleep(50 * time.Millisecond)
		h.standin.SetFaults(workerstandin.Faults{TruncateAnswers: 1})
		Expect(next[event.LeaseGranted](h, 2).Tasks[0].State).To(Equal(model.TaskRunning))
		Expect(next[event.TaskFinished](h, 2).Result.Answer).To(Equal(workerstandin.AnswerFor("kept", 900)))
	})

	// An instance that was paused past its lease must not start anything.
	It("loses the lease to another holder once and refuses starts after it", func() {
		h := newHarness(nil)
		granted := h.acquire()
		h.standin.SetFaults(workerstandin.Faults{Unreachable: true})
		lost := next[event.LeaseLost](h, 1)
		Expect(lost.Term).To(Equal(granted.Term))
		Expect(lost.Reason).To(ContainSubstring("expired"))
		a := h.start(model.KindBatch, "late", granted.Term, "")
		Expect(next[event.StartRefused](h, 1).Attempt).To(Equal(a))
		h.client.Apply(event.FenceAttempt{Worker: "w1", Attempt: a})
		h.standin.SetFaults(workerstandin.Faults{})

		// The worker counts the lease from when the last renewal arrived and the
		// holder from when it was sent, so the worker may still deny it for a while.
		other := otherClient(h, "entry-2")
		Eventually(func() int {
			other.client.Apply(event.AcquireLease{Worker: h.standin.Info()})
			return count[event.LeaseGranted](other)
		}, 5*time.Second, 20*time.Millisecond).Should(Equal(1))
		for _, e := range other.all() {
			if denied, ok := e.(event.LeaseDenied); ok {
				Expect(denied.Holder).To(Equal(model.InstanceID("entry-1")))
			}
		}
		Expect(next[event.LeaseGranted](other, 1).Term).To(BeNumerically(">", granted.Term))
		h.client.Apply(event.AcquireLease{Worker: h.standin.Info()})
		denied := next[event.LeaseDenied](h, 1)
		Expect(denied.Holder).To(Equal(model.InstanceID("entry-2")))
		Expect(denied.Until).To(BeTemporally("~", time.Now(), leaseMilliseconds*time.Millisecond))
		Expect(count[event.LeaseLost](h)).To(Equal(1))
		Expect(count[event.AttemptFenced](h)).To(BeZero())
	})

	// Two lives of one instance must not both hold the lease.
	It("reports a revoked lease once and keeps its Run call", func() {
		h := newHarness(nil)
		granted := h.acquire()
		h.start(model.KindRequest, "kept", granted.Term, `{"run_milliseconds": 200}`)
		Eventually(func() int { return len(h.recorder.StartsOf("kept")) }).Should(Equal(1))
		later := otherClientLife(h, "entry-1", 2)
		Expect(next[event.LeaseGranted](later, 1).Tasks).To(HaveLen(1))
		Expect(next[event.LeaseLost](h, 1).Reason).To(ContainSubstring("revoked"))
		Expect(next[event.TaskFinished](h, 1).Result.Succeeded).To(BeTrue())
		Expect(next[event.TaskFinished](later, 1).Attempt.Request).To(Equal(model.RequestID("kept")))
		Expect(count[event.LeaseLost](h)).To(Equal(1))
	})

	// A worker that hangs keeps its connections open, so only silence tells.
	It("loses the lease on a worker that pauses and acquires it afterwards", func() {
		h := newHarness(nil)
		granted := h.acquire()
		h.standin.SetFaults(workerstandin.Faults{Paused: true})
		a := h.start(model.KindBatch, "hung", granted.Term, "")
		Expect(next[event.StartUncertain](h, 1).Attempt).To(Equal(a))
		Expect(next[event.LeaseLost](h, 1).Reason).To(ContainSubstring("expired"))
		h.standin.SetFaults(workerstandin.Faults{})
		h.client.Apply(event.AcquireLease{Worker: h.standin.Info()})
		Expect(next[event.LeaseGranted](h, 2).Term).To(BeNumerically(">", granted.Term))
		Consistently(func() int { return count[event.LeaseLost](h) }, 300*time.Millisecond).Should(Equal(1))
	})

	// The worker reports a result of an earlier term through the session and by
	// the reply, and the start must be answered by one of them only.
	It("answers a Run call once when its session is opened again meanwhile", func() {
		h := newHarness(nil)
		granted := h.acquire()
		h.start(model.KindRequest, "both", granted.Term, `{"run_milliseconds": 600}`)
		Eventually(func() int { return len(h.recorder.StartsOf("both")) }).Should(Equal(1))
		h.standin.SetFaults(workerstandin.Faults{Paused: true})
		time.Sleep(leaseMilliseconds * 3 / 4 * time.Millisecond) // longer than a renewal may take
		h.standin.SetFaults(workerstandin.Faults{})
		Expect(next[event.LeaseGranted](h, 2).Tasks).To(HaveLen(1))
		next[event.TaskFinished](h, 1)
		time.Sleep(100 * time.Millisecond)
		Expect(count[event.TaskStarted](h)).To(Equal(1))
		Expect(count[event.TaskFinished](h)).To(Equal(1))
		Expect(count[event.StartUncertain](h)).To(BeZero())
	})

	// A worker that kept other resources than the scheduler reserved would be
	// overcommitted or refuse starts that fit.
	It("starts with the reserved resources whatever the profile says", func() {
		h := newHarness(nil)
		granted := h.acquire()
		amounts := []int64{100, 200, 100, 300, 200}
		for i, milliCPU := range amounts {
			start := startOf(model.KindRequest, model.Attempt{Request: "sized", Task: uint32(i), Number: 1}, granted.Term, "")
			start.Reserved.MilliCPU = milliCPU
			h.client.Apply(start)
			next[event.TaskFinished](h, i+1)
		}
		for i, e := range h.recorder.StartsOf("sized") {
			Expect(e.Resources.MilliCPU).To(Equal(amounts[i]))
			Expect(e.Idempotent).To(BeTrue())
			Expect(e.TaskKind).To(Equal(model.KindRequest))
		}
	})

	// Reservations follow what tasks really use.
	It("passes on usage reports with the factor of the worker's fault", func() {
		h := newHarness(func(_ *worker.Options, o *workerstandin.Options) {
			o.Faults = workerstandin.Faults{UseFactor: 2}
			o.UsageIntervalMilliseconds = 20
		})
		a := h.start(model.KindService, "heavy", h.acquire().Term, `{"use_milli_cpu": 700}`)
		Eventually(func() []event.Event {
			h.mu.Lock()
			defer h.mu.Unlock()
			return append([]event.Event(nil), h.events...)
		}).Should(ContainElement(event.WorkerUsage{Worker: "w1", Usage: []model.Usage{
			{Attempt: a, Used: model.Resources{MilliCPU: 1400, MemoryBytes: 512 << 20}},
		}}))
	})

	// A start with the term of an earlier grant belongs to a decision that did
	// not know what the worker holds.
	It("refuses a start with an older term without sending it", func() {
		for _, kind := range bothPaths {
			h := newHarness(nil)
			granted := h.acquire()
			h.start(kind, "older", granted.Term-1, "")
			Expect(next[event.StartRefused](h, 1).Reason).To(ContainSubstring("term"))
			Expect(h.recorder.EntriesOfKind(workerstandin.EntryRefused)).To(BeEmpty())
		}
	})

	// Without the tombstone a delayed start would run after its request was
	// settled as not run.
	It("fences an attempt that was never seen and has it refused", func() {
		for _, kind := range bothPaths {
			h := newHarness(nil)
			granted := h.acquire()
			a := model.Attempt{Request: "fenced", Number: 1}
			h.client.Apply(event.FenceAttempt{Worker: "w1", Attempt: a})
			Expect(next[event.AttemptFenced](h, 1).Report.State).To(Equal(model.TaskNeverSeen))
			h.client.Apply(startOf(kind, a, granted.Term, ""))
			Expect(next[event.StartRefused](h, 1).Attempt).To(Equal(a))
			Expect(h.recorder.StartsOf("fenced")).To(BeEmpty())
		}
	})

	// A lost answer must end with the deadline and not hold the start for ever;
	// the next grant must bring the result.
	It("reports a Run call without an answer as uncertain at its deadline", func() {
		h := newHarness(func(_ *worker.Options, o *workerstandin.Options) {
			o.Faults = workerstandin.Faults{DropAnswers: 1}
		})
		start := startOf(model.KindRequest, model.Attempt{Request: "lost", Number: 1}, h.acquire().Term, "")
		start.AnswerBy = time.Now().Add(200 * time.Millisecond)
		h.client.Apply(start)
		Expect(next[event.StartUncertain](h, 1).Reason).To(ContainSubstring("deadline"))
		Expect(count[event.TaskStarted](h)).To(BeZero())
		h.client.Apply(event.FenceAttempt{Worker: "w1", Attempt: start.Attempt})
		Expect(string(next[event.AttemptFenced](h, 1).Report.Result.Answer)).To(Equal("lost"))
	})

	// A worker that fails everything must be told apart from one that refuses.
	It("passes on the failures of a worker that fails every task", func() {
		for _, kind := range bothPaths {
			h := newHarness(func(_ *worker.Options, o *workerstandin.Options) {
				o.Faults = workerstandin.Faults{FailAll: true}
			})
			h.start(kind, "hole", h.acquire().Term, "")
			result := next[event.TaskFinished](h, 1).Result
			Expect(result.Succeeded).To(BeFalse())
			Expect(result.Message).NotTo(BeEmpty())
		}
	})

	// A connection that cannot be opened carries nothing, so the request may be
	// reported as not run.
	It("refuses a Run call that never left and reports a lease that was never granted", func() {
		var broken atomic.Bool
		h := newHarness(func(o *worker.Options, _ *workerstandin.Options) {
			o.LeaseMilliseconds = 5000
			o.MaxConnections = func() int { return 2 }
			o.Dial = func(ctx context.Context, network, address string) (net.Conn, error) {
				if broken.Load() {
					return nil, errors.New("dial refused by the test")
				}
				return new(net.Dialer).DialContext(ctx, network, address)
			}
		})
		granted := h.acquire()
		for range 16 { // fills the first connection
			h.start(model.KindRequest, model.RequestID("busy"+time.Now().String()), granted.Term, `{"run_milliseconds": 1000}`)
		}
		broken.Store(true)
		a := h.start(model.KindRequest, "unsent", granted.Term, "")
		Expect(next[event.StartRefused](h, 1)).To(Equal(event.StartRefused{
			Worker: "w1", Attempt: a, Reason: "unavailable: dial refused by the test",
		}))
		other := h.standin.Info()
		other.ID = "w2"
		h.client.Apply(event.AcquireLease{Worker: other})
		Expect(next[event.LeaseLost](h, 1).Term).To(BeZero())
	})

	// A cut link must hold up neither the control goroutine nor a shutdown, and
	// every start still needs its answer.
	It("refuses starts when the queue is full and closes in time", func() {
		var stuck atomic.Bool
		h := newHarness(func(o *worker.Options, _ *workerstandin.Options) {
			o.LeaseMilliseconds = 5000
			o.Dial = func(ctx context.Context, network, address string) (net.Conn, error) {
				conn, err := new(net.Dialer).DialContext(ctx, network, address)
				return &stuckConn{Conn: conn, stuck: &stuck, closed: make(chan struct{})}, err
			}
		})
		granted := h.acquire()
		stuck.Store(true)
		for i := range 400 {
			a := model.Attempt{Request: "many", Task: uint32(i), Number: 1}
			h.client.Apply(startOf(model.KindBatch, a, granted.Term, strings.Repeat(" ", 100)))
		}
		Expect(next[event.StartRefused](h, 1).Reason).To(Equal("session queue is full"))
		Expect(len(h.all())).To(BeNumerically("<", 1+400-200))

		ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
		defer cancel()
		began := time.Now()
		Expect(h.client.Close(ctx)).To(MatchError(context.DeadlineExceeded))
		Expect(time.Since(began)).To(BeNumerically("<", time.Second))
		Expect(count[event.StartRefused](h) + count[event.StartUncertain](h)).To(Equal(400))
	})

	// A worker that restarts has lost its tasks; its terms must not repeat.
	It("acquires a worker that crashed in its next incarnation", func() {
		h := newHarness(nil)
		granted := h.acquire()
		a := h.start(model.KindService, "served", granted.Term, "")
		next[event.TaskStarted](h, 1)
		h.standin.Crash()
		again := next[event.LeaseGranted](h, 2)
		Expect(again.Incarnation).To(Equal(granted.Incarnation + 1))
		Expect(again.Term).To(BeNumerically(">", granted.Term))
		Expect(again.Tasks).To(BeEmpty())
		h.client.Apply(event.FenceAttempt{Worker: "w1", Attempt: a})
		Expect(next[event.AttemptFenced](h, 1).Report.State).To(Equal(model.TaskNeverSeen))
	})

	// Commands that are not carried out would leave services running for ever
	// and results at the worker.
	It("passes on stop, throttle, acknowledge, leaving and release", func() {
		h := newHarness(nil)
		granted := h.acquire()
		a := h.start(model.KindService, "desk", granted.Term, "")
		next[event.TaskStarted](h, 1)
		h.client.Apply(event.ThrottleTask{Worker: "w1", Term: granted.Term, Attempt: a, Limit: model.Resources{MilliCPU: 100}})
		h.client.Apply(event.StopTask{Worker: "w1", Term: granted.Term, Attempt: a, Checkpoint: true})
		Expect(next[event.TaskFinished](h, 1).Stopped).To(BeTrue())
		Expect(h.recorder.EntriesOfKind(workerstandin.EntryThrottled)).To(HaveLen(1))
		Expect(h.recorder.EntriesOfKind(workerstandin.EntryCheckpoint)).To(HaveLen(1))
		h.standin.Leave(time.Now().Add(time.Minute))
		Expect(next[event.WorkerLeaving](h, 1).Worker).To(Equal(model.WorkerID("w1")))
		h.client.Apply(event.AcknowledgeTask{Worker: "w1", Attempt: a})
		h.client.Apply(event.ReleaseLease{Worker: "w1", Term: granted.Term})
		Eventually(func() int { return len(h.recorder.EntriesOfKind(workerstandin.EntryReleased)) }).Should(Equal(1))

		again := next[event.LeaseGranted](otherClient(h, "entry-2"), 1)
		Expect(again.Tasks).To(BeEmpty())
		Expect(again.Leaving).To(BeTrue())
		Expect(again.Revision).To(Equal(model.Revision(3)))
		Expect(count[event.LeaseLost](h)).To(BeZero())
	})
})

// otherClient is another instance that asks for the lease on h's worker.
func otherClient(h *harness, self model.InstanceID) *harness { return otherClientLife(h, self, 1) }

func otherClientLife(h *harness, self model.InstanceID, life model.Incarnation) *harness {
	other := &harness{standin: h.standin, recorder: h.recorder}
	other.client = worker.New(worker.Options{Self: self, Incarnation: life, Post: other.post, LeaseMilliseconds: leaseMilliseconds})
	DeferCleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_ = other.client.Close(ctx)
	})
	other.client.Apply(event.AcquireLease{Worker: h.standin.Info()})
	return other
}

// stuckConn blocks writes once stuck is set, like a link that was cut.
type stuckConn struct {
	net.Conn
	stuck  *atomic.Bool
	closed chan struct{}
	once   atomic.Bool
}

func (c *stuckConn) Write(p []byte) (int, error) {
	if c.stuck.Load() {
		<-c.closed
		return 0, net.ErrClosed
	}
	return c.Conn.Write(p)
}

func (c *stuckConn) Close() error {
	if c.once.CompareAndSwap(false, true) {
		close(c.closed)
	}
	return c.Conn.Close()
}
