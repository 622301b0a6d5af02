package dispatch_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"fuchsiacross/dispatch"
	"fuchsiacross/job"
)

var _ = Describe("Tenants", func() {
	newReducer := func() (*dispatch.Reducer, func(...any)) {
		now := time.UnixMilli(1_700_000_000_000)
		r := dispatch.New(dispatch.Options{Token: dispatch.TokensPerTerm, ClaimedAt: now, RetentionSeconds: 60, LeaderCount: 1})
		return r, func(events ...any) { r.Apply(now, events...) }
	}
	accepted := dispatch.JobAccepted{Job: job.Job{
		ID: id(1), Tenant: "a", Queue: "q", Pool: "pool", Version: 1, Definition: job.Definition{Steps: []job.Step{{Tasks: 1}}},
	}}
	pending := func(r *dispatch.Reducer) int64 {
		n, _ := r.Pending("q")
		return n
	}

	// A cancellation by another tenant that is stored before the job, or read late, would stop
	// a job whose owner was told that it is accepted.
	It("cancels the jobs of the cancelling tenant only", func() {
		r, apply := newReducer()
		foreign := []dispatch.CancelAccepted{{ID: id(1), Tenant: "b"}, {ID: id(1)}}
		apply(dispatch.JobsLoaded{Cancels: foreign}, accepted, foreign[0], foreign[1])
		Expect(pending(r)).To(BeEquivalentTo(1))
		Expect(r.IsHidden(id(1), "a")).To(BeFalse())
		Expect(r.IsHidden(id(1), "b")).To(BeTrue())
		Expect(r.IsHidden(id(1), "")).To(BeTrue())
		Expect(r.IsHidden(id(2), "b")).To(BeFalse())
		apply(dispatch.CancelAccepted{ID: id(1), Tenant: "a"})
		Expect(pending(r)).To(BeZero())
	})

	It("cancels a job that its own tenant has withdrawn before it was stored", func() {
		r, apply := newReducer()
		apply(dispatch.JobsLoaded{}, dispatch.CancelAccepted{ID: id(1), Tenant: "b"}, dispatch.CancelAccepted{ID: id(1), Tenant: "a"}, accepted)
		Expect(pending(r)).To(BeZero())
	})
})
