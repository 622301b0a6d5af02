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

var bothTaskKinds = []model.Kind{model.KindRequest, model.KindBatch}

var _ = Describe("Client under failure", func() {
	// Guards against a start that is reported as refused although it may have
	// reached the worker, and against a start without exactly one answer.
	It("reports a start as uncertain when the connection is cut after it", func() {
		for _, kind := range bothTaskKinds {
			h := newHarness(func(_ *worker.Options, o *workerstandin.Options) {
				o.Faults = workerstandin.Faults{CutAfterStart: 1}
			})
			granted := h.acquireLease()
			a := h.startTask(kind, "cut", granted.Term, `{"run_milliseconds": 300}`)
			Expect(waitForEvent[event.StartUncertain](h, 1).Attempt).To(Equal(a))
			again := waitForEvent[event.LeaseGranted](h, 2)
			Expect(again.Term).To(BeNumerically(">", granted.Term))
			Expect(again.Tasks).To(HaveLen(1))
			Expect(again.Tasks[0].State).To(Equal(model.TaskRunning))
			Expect(again.Tasks[0].Workload).To(Equal(model.Workload("moisture_check")))
			Expect(waitForEvent[event.TaskFinished](h, 1).Attempt).To(Equal(a))
			Expect(countEvents[event.StartUncertain](h)).To(Equal(1))
			Expect(countEvents[event.StartRefused](h)).To(BeZero())
			Expect(countEvents[event.LeaseLost](h)).To(BeZero())
			Expect(h.recorder.StartsOf("cut")).To(HaveLen(1))
		}
	})

	// Guards against passing a truncated answer on to a caller.
	It("drops a truncated answer and fetches it again by fencing", func() {
		for _, kind := range bothTaskKinds {
			h := newHarness(func(_ *worker.Options, o *workerstandin.Options) {
				o.Faults = workerstandin.Faults{TruncateAnswers: 2}
			})
			granted := h.acquireLease()
			a := h.startTask(kind, "whole", granted.Term, `{"answer_bytes": 5000}`)
			Expect(waitForEvent[event.StartUncertain](h, 1).Reason).To(ContainSubstring("digest"))
			Expect(countEvents[event.TaskFinished](h)).To(BeZero())
			// The first fence fetches the second truncated answer, which is dropped.
			Eventually(func() int {
				h.client.Apply(event.FenceAttempt{Worker: "w1", Attempt: a})
				return countEvents[event.AttemptFenced](h)
			}, 2*time.Second, 50*time.Millisecond).Should(BeNumerically(">", 0))
			report := waitForEvent[event.AttemptFenced](h, 1).Report
			Expect(report.State).To(Equal(model.TaskFinished))
			Expect(report.Result.Answer).To(Equal(workerstandin.AnswerFor("whole", 5000)))
		}
	})

	// Guards against passing on a truncated result that the worker reports with a
	// new grant.
	It("fetches a result again that is truncated in a grant", func() {
		h := newHarness(nil)
		granted := h.acquireLease()
		h.startTask(model.KindBatch, "kept", granted.Term, `{"answer_bytes": 900}`)
		waitForEvent[event.TaskFinished](h, 1)
		h.standin.SetFaults(workerstandin.Faults{TruncateAnswers: 1, Unreachable: true})
		time.Sleep(50 * time.Millisecond)
		h.standin.SetFaults(workerstandin.Faults{TruncateAnswers: 1})
		Expect(waitForEvent[event.LeaseGranted](h, 2).Tasks[0].State).To(Equal(model.TaskRunning))
		Expect(waitForEvent[event.TaskFinished](h, 2).Result.Answer).To(Equal(workerstandin.AnswerFor("kept", 900)))
	})

	// Guards against an instance that starts tasks after its lease has expired, for
	// example because it was paused.
	It("reports an expired lease once, refuses later starts and lets another holder acquire it", func() {
		h := newHarness(nil)
		granted := h.acquireLease()
		h.standin.SetFaults(workerstandin.Faults{Unreachable: true})
		lost := waitForEvent[event.LeaseLost](h, 1)
		Expect(lost.Term).To(Equal(granted.Term))
		Expect(lost.Reason).To(ContainSubstring("expired"))
		a := h.startTask(model.KindBatch, "late", granted.Term, "")
		Expect(waitForEvent[event.StartRefused](h, 1).Attempt).To(Equal(a))
		h.client.Apply(event.FenceAttempt{Worker: "w1", Attempt: a})
		h.standin.SetFaults(workerstandin.Faults{})

		// The worker measures the lease from the arrival of the last renewal and the
		// holder from its sending, so the worker may still deny the lease for a while.
		other := newOtherClient(h, "entry-2")
		Eventually(func() int {
			other.client.Apply(event.AcquireLease{Worker: h.standin.Info()})
			return countEvents[event.LeaseGranted](other)
		}, 5*time.Second, 20*time.Millisecond).Should(Equal(1))
		for _, e := range other.postedEvents() {
			if denied, ok := e.(event.LeaseDenied); ok {
				Expect(denied.Holder).To(Equal(model.InstanceID("entry-1")))
			}
		}
		Expect(waitForEvent[event.LeaseGranted](other, 1).Term).To(BeNumerically(">", granted.Term))
		h.client.Apply(event.AcquireLease{Worker: h.standin.Info()})
		denied := waitForEvent[event.LeaseDenied](h, 1)
		Expect(denied.Holder).To(Equal(model.InstanceID("entry-2")))
		Expect(denied.Until).To(BeTemporally("~", time.Now(), leaseMilliseconds*time.Millisecond))
		Expect(countEvents[event.LeaseLost](h)).To(Equal(1))
		Expect(countEvents[event.AttemptFenced](h)).To(BeZero())
	})

	// Guards against two incarnations of one instance that both hold the lease.
	It("reports a lease revoked by a later incarnation once and completes its Run call", func() {
		h := newHarness(nil)
		granted := h.acquireLease()
		h.startTask(model.KindRequest, "kept", granted.Term, `{"run_milliseconds": 200}`)
		Eventually(func() int { return len(h.recorder.StartsOf("kept")) }).Should(Equal(1))
		later := newOtherClientIncarnation(h, "entry-1", 2)
		Expect(waitForEvent[event.LeaseGranted](later, 1).Tasks).To(HaveLen(1))
		Expect(waitForEvent[event.LeaseLost](h, 1).Reason).To(ContainSubstring("revoked"))
		Expect(waitForEvent[event.TaskFinished](h, 1).Result.Succeeded).To(BeTrue())
		Expect(waitForEvent[event.TaskFinished](later, 1).Attempt.Request).To(Equal(model.RequestID("kept")))
		Expect(countEvents[event.LeaseLost](h)).To(Equal(1))
	})

	// Guards against keeping the lease on a worker that hangs: its connections stay
	// open, so only a timeout detects it.
	It("loses the lease on a paused worker and acquires it again afterwards", func() {
		h := newHarness(nil)
		granted := h.acquireLease()
		h.standin.SetFaults(workerstandin.Faults{Paused: true})
		a := h.startTask(model.KindBatch, "hung", granted.Term, "")
		Expect(waitForEvent[event.StartUncertain](h, 1).Attempt).To(Equal(a))
		Expect(waitForEvent[event.LeaseLost](h, 1).Reason).To(ContainSubstring("expired"))
		h.standin.SetFaults(workerstandin.Faults{})
		h.client.Apply(event.AcquireLease{Worker: h.standin.Info()})
		Expect(waitForEvent[event.LeaseGranted](h, 2).Term).To(BeNumerically(">", granted.Term))
		Consistently(func() int { return countEvents[event.LeaseLost](h) }, 300*time.Millisecond).Should(Equal(1))
	})

	// Guards against a start that is answered twice: the worker reports a result of
	// an earlier term both through the session and in the reply.
	It("answers a Run call once when the session reconnects meanwhile", func() {
		h := newHarness(nil)
		granted := h.acquireLease()
		h.startTask(model.KindRequest, "both", granted.Term, `{"run_milliseconds": 600}`)
		Eventually(func() int { return len(h.recorder.StartsOf("both")) }).Should(Equal(1))
		h.standin.SetFaults(workerstandin.Faults{Paused: true})
		time.Sleep(leaseMilliseconds * 3 / 4 * time.Millisecond) // longer than the response timeout
		h.standin.SetFaults(workerstandin.Faults{})
		Expect(waitForEvent[event.LeaseGranted](h, 2).Tasks).To(HaveLen(1))
		waitForEvent[event.TaskFinished](h, 1)
		time.Sleep(100 * time.Millisecond)
		Expect(countEvents[event.TaskStarted](h)).To(Equal(1))
		Expect(countEvents[event.TaskFinished](h)).To(Equal(1))
		Expect(countEvents[event.StartUncertain](h)).To(BeZero())
	})

	// Guards against a worker that accounts for other resources than the scheduler
	// reserved: it would be overcommitted or refuse starts that fit.
	It("starts each task with its reserved resources when the profile has others", func() {
		h := newHarness(nil)
		granted := h.acquireLease()
		amounts := []int64{100, 200, 100, 300, 200}
		for i, milliCPU := range amounts {
			start := newStartTask(model.KindRequest, model.Attempt{Request: "sized", Task: uint32(i), Number: 1}, granted.Term, "")
			start.Reserved.MilliCPU = milliCPU
			h.client.Apply(start)
			waitForEvent[event.TaskFinished](h, i+1)
		}
		for i, e := range h.recorder.StartsOf("sized") {
			Expect(e.Resources.MilliCPU).To(Equal(amounts[i]))
			Expect(e.Idempotent).To(BeTrue())
			Expect(e.TaskKind).To(Equal(model.KindRequest))
		}
	})

	// Guards against usage reports that do not arrive unchanged: reservations
	// follow the observed usage. The injected fault doubles the usage.
	It("passes on the usage that the worker reports", func() {
		h := newHarness(func(_ *worker.Options, o *workerstandin.Options) {
			o.Faults = workerstandin.Faults{UseFactor: 2}
			o.UsageIntervalMilliseconds = 20
		})
		a := h.startTask(model.KindService, "heavy", h.acquireLease().Term, `{"use_milli_cpu": 700}`)
		Eventually(func() []event.Event {
			h.mu.Lock()
			defer h.mu.Unlock()
			return append([]event.Event(nil), h.events...)
		}).Should(ContainElement(event.WorkerUsage{Worker: "w1", Usage: []model.Usage{
			{Attempt: a, Used: model.Resources{MilliCPU: 1400, MemoryBytes: 512 << 20}},
		}}))
	})

	// Guards against a start with the term of an earlier grant: it was decided
	// without knowledge of the tasks that the worker holds now.
	It("refuses a start with an older term without sending it", func() {
		for _, kind := range bothTaskKinds {
			h := newHarness(nil)
			granted := h.acquireLease()
			h.startTask(kind, "older", granted.Term-1, "")
			Expect(waitForEvent[event.StartRefused](h, 1).Reason).To(ContainSubstring("term"))
			Expect(h.recorder.EntriesOfKind(workerstandin.EntryRefused)).To(BeEmpty())
		}
	})

	// Guards against a delayed start that runs after its request was settled as not
	// run: the worker must keep a tombstone of the fenced attempt.
	It("fences an attempt that the worker has never seen, which then refuses its start", func() {
		for _, kind := range bothTaskKinds {
			h := newHarness(nil)
			granted := h.acquireLease()
			a := model.Attempt{Request: "fenced", Number: 1}
			h.client.Apply(event.FenceAttempt{Worker: "w1", Attempt: a})
			Expect(waitForEvent[event.AttemptFenced](h, 1).Report.State).To(Equal(model.TaskNeverSeen))
			h.client.Apply(newStartTask(kind, a, granted.Term, ""))
			Expect(waitForEvent[event.StartRefused](h, 1).Attempt).To(Equal(a))
			Expect(h.recorder.StartsOf("fenced")).To(BeEmpty())
		}
	})

	// Guards against a start that waits forever for a lost answer. Fencing the
	// attempt must still return its result.
	It("reports a Run call without an answer as uncertain at its deadline", func() {
		h := newHarness(func(_ *worker.Options, o *workerstandin.Options) {
			o.Faults = workerstandin.Faults{DropAnswers: 1}
		})
		start := newStartTask(model.KindRequest, model.Attempt{Request: "lost", Number: 1}, h.acquireLease().Term, "")
		start.AnswerBy = time.Now().Add(200 * time.Millisecond)
		h.client.Apply(start)
		Expect(waitForEvent[event.StartUncertain](h, 1).Reason).To(ContainSubstring("deadline"))
		Expect(countEvents[event.TaskStarted](h)).To(BeZero())
		h.client.Apply(event.FenceAttempt{Worker: "w1", Attempt: start.Attempt})
		Expect(string(waitForEvent[event.AttemptFenced](h, 1).Report.Result.Answer)).To(Equal("lost"))
	})

	// Guards against failures that are reported as refusals: a worker that fails
	// every task must remain distinguishable from one that refuses them.
	It("passes on the failures of a worker that fails every task", func() {
		for _, kind := range bothTaskKinds {
			h := newHarness(func(_ *worker.Options, o *workerstandin.Options) {
				o.Faults = workerstandin.Faults{FailAll: true}
			})
			h.startTask(kind, "hole", h.acquireLease().Term, "")
			result := waitForEvent[event.TaskFinished](h, 1).Result
			Expect(result.Succeeded).To(BeFalse())
			Expect(result.Message).NotTo(BeEmpty())
		}
	})

	// Guards against an uncertain result where none is needed: if no connection
	// could be opened, nothing was sent and the request may be reported as not run.
	It("refuses a Run call that was not sent and reports a lease that was not granted", func() {
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
		granted := h.acquireLease()
		for range 16 { // fills the first connection
			h.startTask(model.KindRequest, model.RequestID("busy"+time.Now().String()), granted.Term, `{"run_milliseconds": 1000}`)
		}
		broken.Store(true)
		a := h.startTask(model.KindRequest, "unsent", granted.Term, "")
		Expect(waitForEvent[event.StartRefused](h, 1)).To(Equal(event.StartRefused{
			Worker: "w1", Attempt: a, Reason: "unavailable: dial refused by the test",
		}))
		other := h.standin.Info()
		other.ID = "w2"
		h.client.Apply(event.AcquireLease{Worker: other})
		Expect(waitForEvent[event.LeaseLost](h, 1).Term).To(BeZero())
	})

	// Guards against a broken network path that blocks the control goroutine or the
	// shutdown, and against starts that get no answer then.
	It("refuses starts when the queue is full and closes in time", func() {
		var stuck atomic.Bool
		h := newHarness(func(o *worker.Options, _ *workerstandin.Options) {
			o.LeaseMilliseconds = 5000
			o.Dial = func(ctx context.Context, network, address string) (net.Conn, error) {
				conn, err := new(net.Dialer).DialContext(ctx, network, address)
				return &blockingConn{Conn: conn, blocked: &stuck, closed: make(chan struct{})}, err
			}
		})
		granted := h.acquireLease()
		stuck.Store(true)
		for i := range 400 {
			a := model.Attempt{Request: "many", Task: uint32(i), Number: 1}
			h.client.Apply(newStartTask(model.KindBatch, a, granted.Term, strings.Repeat(" ", 100)))
		}
		Expect(waitForEvent[event.StartRefused](h, 1).Reason).To(Equal("session queue is full"))
		Expect(len(h.postedEvents())).To(BeNumerically("<", 1+400-200))

		ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
		defer cancel()
		startedAt := time.Now()
		Expect(h.client.Close(ctx)).To(MatchError(context.DeadlineExceeded))
		Expect(time.Since(startedAt)).To(BeNumerically("<", time.Second))
		Expect(countEvents[event.StartRefused](h) + countEvents[event.StartUncertain](h)).To(Equal(400))
	})

	// Guards against terms that repeat after a worker has crashed and restarted, and
	// against tasks that are believed to run although the crash ended them.
	It("acquires a crashed worker in its next incarnation with a higher term and no tasks", func() {
		h := newHarness(nil)
		granted := h.acquireLease()
		a := h.startTask(model.KindService, "served", granted.Term, "")
		waitForEvent[event.TaskStarted](h, 1)
		h.standin.Crash()
		again := waitForEvent[event.LeaseGranted](h, 2)
		Expect(again.Incarnation).To(Equal(granted.Incarnation + 1))
		Expect(again.Term).To(BeNumerically(">", granted.Term))
		Expect(again.Tasks).To(BeEmpty())
		h.client.Apply(event.FenceAttempt{Worker: "w1", Attempt: a})
		Expect(waitForEvent[event.AttemptFenced](h, 1).Report.State).To(Equal(model.TaskNeverSeen))
	})

	// Guards against commands that are lost: services would run forever, and results
	// would stay at the worker.
	It("sends stop, throttle, acknowledge and release, and reports a leaving worker", func() {
		h := newHarness(nil)
		granted := h.acquireLease()
		a := h.startTask(model.KindService, "desk", granted.Term, "")
		waitForEvent[event.TaskStarted](h, 1)
		h.client.Apply(event.ThrottleTask{Worker: "w1", Term: granted.Term, Attempt: a, Limit: model.Resources{MilliCPU: 100}})
		h.client.Apply(event.StopTask{Worker: "w1", Term: granted.Term, Attempt: a, Checkpoint: true})
		Expect(waitForEvent[event.TaskFinished](h, 1).Stopped).To(BeTrue())
		Expect(h.recorder.EntriesOfKind(workerstandin.EntryThrottled)).To(HaveLen(1))
		Expect(h.recorder.EntriesOfKind(workerstandin.EntryCheckpoint)).To(HaveLen(1))
		h.standin.Leave(time.Now().Add(time.Minute))
		Expect(waitForEvent[event.WorkerLeaving](h, 1).Worker).To(Equal(model.WorkerID("w1")))
		h.client.Apply(event.AcknowledgeTask{Worker: "w1", Attempt: a})
		h.client.Apply(event.ReleaseLease{Worker: "w1", Term: granted.Term})
		Eventually(func() int { return len(h.recorder.EntriesOfKind(workerstandin.EntryReleased)) }).Should(Equal(1))

		again := waitForEvent[event.LeaseGranted](newOtherClient(h, "entry-2"), 1)
		Expect(again.Tasks).To(BeEmpty())
		Expect(again.Leaving).To(BeTrue())
		Expect(again.Revision).To(Equal(model.Revision(3)))
		Expect(countEvents[event.LeaseLost](h)).To(BeZero())
	})
})

// newOtherClient returns another instance that asks for the lease on the worker
// of h.
func newOtherClient(h *harness, self model.InstanceID) *harness {
	return newOtherClientIncarnation(h, self, 1)
}

func newOtherClientIncarnation(h *harness, self model.InstanceID, incarnation model.Incarnation) *harness {
	other := &harness{standin: h.standin, recorder: h.recorder}
	other.client = worker.New(worker.Options{Self: self, Incarnation: incarnation, Post: other.post, LeaseMilliseconds: leaseMilliseconds})
	DeferCleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_ = other.client.Close(ctx)
	})
	other.client.Apply(event.AcquireLease{Worker: h.standin.Info()})
	return other
}

// blockingConn blocks writes while blocked is set, like a broken network path.
type blockingConn struct {
	net.Conn
	blocked *atomic.Bool
	closed  chan struct{}
	once    atomic.Bool
}

func (c *blockingConn) Write(p []byte) (int, error) {
	if c.blocked.Load() {
		<-c.closed
		return 0, net.ErrClosed
	}
	return c.Conn.Write(p)
}

func (c *blockingConn) Close() error {
	if c.once.CompareAndSwap(false, true) {
		close(c.closed)
	}
	return c.Conn.Close()
}
