package worker_test

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"fuchsiacross/event"
	"fuchsiacross/model"
)

var _ = Describe("Client", func() {
	// Guards against a start without exactly one answer: without one its
	// reservation leaks, with two its request is settled twice.
	It("reports the start and the result of a Run call and of a batch task once each", func() {
		h := newHarness(nil)
		granted := h.acquireLease()
		Expect(granted.Term).To(Equal(model.Term(1)))
		Expect(granted.Worker.Rack).To(Equal(model.Rack("r1")))
		Expect(granted.Capacity.Slots).To(Equal(int64(8)))
		for i, kind := range []model.Kind{model.KindRequest, model.KindBatch} {
			a := h.startTask(kind, model.RequestID(kind.String()), granted.Term, "")
			finished := waitForEvent[event.TaskFinished](h, i+1)
			Expect(finished.Attempt).To(Equal(a))
			Expect(finished.Result.Succeeded).To(BeTrue())
			Expect(string(finished.Result.Answer)).To(Equal(kind.String()))
			Expect(finished.Result.Digest).To(Equal(model.DigestOf(finished.Result.Answer)))
			Expect(waitForEvent[event.TaskStarted](h, i+1).Attempt).To(Equal(a))
		}
		Expect(h.postedEvents()).To(HaveLen(5))
	})

	// Guards against leases that are not released on shutdown: the next holder
	// would have to wait until they expire.
	It("waits for Run calls in flight and releases the lease on Close", func() {
		h := newHarness(nil)
		granted := h.acquireLease()
		h.startTask(model.KindRequest, "slow", granted.Term, `{"run_milliseconds": 100}`)
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		Expect(h.client.Close(ctx)).To(Succeed())
		Expect(countEvents[event.TaskFinished](h)).To(Equal(1))
		Expect(h.recorder.EntriesOfKind("released")).To(HaveLen(1))
		Expect(countEvents[event.LeaseLost](h)).To(BeZero())
	})
})
