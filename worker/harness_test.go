package worker_test

import (
	"context"
	"fmt"
	"net/netip"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"

	"fuchsiacross/event"
	"fuchsiacross/model"
	"fuchsiacross/worker"
	"fuchsiacross/workerstandin"
)

const leaseMilliseconds = 600

// harness is a client with one stand-in worker and the events that the client
// has posted.
type harness struct {
	standin  *workerstandin.Worker
	recorder *workerstandin.Recorder
	client   *worker.Client
	registry metrics.Registry

	mu     sync.Mutex
	events []event.Event
}

func newHarness(configure func(*worker.Options, *workerstandin.Options)) *harness {
	h := &harness{recorder: workerstandin.NewRecorder(), registry: metrics.NewRegistry()}
	standin := workerstandin.Options{
		ID:       "w1",
		Address:  netip.MustParseAddrPort("127.0.0.1:0"),
		Rack:     "r1",
		Capacity: model.Resources{MilliCPU: 16_000, MemoryBytes: 64 << 30, Slots: 8},
		Recorder: h.recorder,
	}
	client := worker.Options{Self: "entry-1", Incarnation: 1, Post: h.post, LeaseMilliseconds: leaseMilliseconds, Metrics: h.registry}
	if configure != nil {
		configure(&client, &standin)
	}
	var err error
	h.standin, err = workerstandin.New(standin)
	Expect(err).NotTo(HaveOccurred())
	h.client = worker.New(client)
	DeferCleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_ = h.client.Close(ctx)
		h.standin.Close()
	})
	return h
}

func (h *harness) post(e event.Event) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.events = append(h.events, e)
}

// postedEvents returns the events posted so far, except for usage reports.
func (h *harness) postedEvents() []event.Event {
	h.mu.Lock()
	defer h.mu.Unlock()
	var events []event.Event
	for _, e := range h.events {
		if _, usage := e.(event.WorkerUsage); !usage {
			events = append(events, e)
		}
	}
	return events
}

// acquireLease acquires the lease and returns its grant.
func (h *harness) acquireLease() event.LeaseGranted {
	GinkgoHelper()
	h.client.Apply(event.AcquireLease{Worker: h.standin.Info(), Revision: 3})
	return waitForEvent[event.LeaseGranted](h, 1)
}

// startTask starts attempt 1 of a request.
func (h *harness) startTask(kind model.Kind, id model.RequestID, term model.Term, body string) model.Attempt {
	attempt := model.Attempt{Request: id, Number: 1}
	h.client.Apply(newStartTask(kind, attempt, term, body))
	return attempt
}

func newStartTask(kind model.Kind, attempt model.Attempt, term model.Term, body string) event.StartTask {
	resources := model.Resources{MilliCPU: 500, MemoryBytes: 256 << 20}
	if kind == model.KindRequest {
		resources.Slots = 1
	}
	return event.StartTask{
		Worker:   "w1",
		Term:     term,
		Attempt:  attempt,
		Reserved: resources,
		AnswerBy: time.Now().Add(5 * time.Second),
		Request: &model.Request{
			ID: attempt.Request, Team: "gates", Workload: "moisture_check", Kind: kind, Class: model.ClassUrgent,
			Tasks: 1, Resources: resources, Idempotent: true, Deadline: time.Now().Add(5 * time.Second), Body: []byte(body),
		},
	}
}

// nthEvent returns the nth event of a type, counted from 1.
func nthEvent[E event.Event](h *harness, n int) (E, bool) {
	for _, e := range h.postedEvents() {
		if found, ok := e.(E); ok {
			if n--; n == 0 {
				return found, true
			}
		}
	}
	var none E
	return none, false
}

// waitForEvent waits for the nth event of a type, counted from 1.
func waitForEvent[E event.Event](h *harness, n int) E {
	GinkgoHelper()
	var found E
	Eventually(func() bool {
		var ok bool
		found, ok = nthEvent[E](h, n)
		return ok
	}, 5*time.Second, 2*time.Millisecond).Should(BeTrue(), func() string {
		return fmt.Sprintf("no %T number %d in %#v", found, n, h.postedEvents())
	})
	return found
}

// countEvents returns the number of events of a type.
func countEvents[E event.Event](h *harness) int {
	n := 0
	for _, e := range h.postedEvents() {
		if _, ok := e.(E); ok {
			n++
		}
	}
	return n
}
