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
	// A start without exactly one answer leaks its reservation or is settled
	// twice.
	It("answers starts through both paths and passes the answer on", func() {
		h := newHarness(nil)
		granted := h.acquire()
		Expect(granted.Term).To(Equal(model.Term(1)))
		Expect(granted.Worker.Rack).To(Equal(model.Rack("r1")))
		Expect(granted.Capacity.Slots).To(Equal(int64(8)))
		for i, kind := range []model.Kind{model.KindRequest, model.KindBatch} {
			a := h.start(kind, model.RequestID(kind.String()), granted.Term, "")
			finished := next[event.TaskFinished](h, i+1)
			Expect(finished.Attempt).To(Equal(a))
			Expect(finished.Result.Succeeded).To(BeTrue())
			Expect(string(finished.Result.Answer)).To(Equal(kind.String()))
			Expect(finished.Result.Digest).To(Equal(model.DigestOf(finished.Result.Answer)))
			Expect(next[event.TaskStarted](h, i+1).Attempt).To(Equal(a))
		}
		Expect(h.all()).To(HaveLen(5))
	})

	// Leases that are not released on shutdown delay the next holder.
	It("waits for calls in flight and releases the lease on Close", func() {
		h := newHarness(nil)
		granted := h.acquire()
		h.start(model.KindRequest, "slow", granted.Term, `{"run_milliseconds": 100}`)
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		Expect(h.client.Close(ctx)).To(Succeed())
		Expect(count[event.TaskFinished](h)).To(Equal(1))
		Expect(h.recorder.EntriesOfKind("released")).To(HaveLen(1))
		Expect(count[event.LeaseLost](h)).To(BeZero())
	})
})
