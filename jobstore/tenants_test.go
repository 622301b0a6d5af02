package jobstore_test

import (
	"context"
	"time"

	"github.com/fxamacker/cbor/v2"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"fuchsiacross/dispatch"
	"fuchsiacross/job"
	"fuchsiacross/jobstore"
	"fuchsiacross/platform/standin"
	"fuchsiacross/platform/store"
)

var _ = Describe("Tenants", func() {
	ctx := context.Background()
	const id = job.ID("5c0e7a21d94b36f8")
	var jobs *jobstore.Store
	encode := func(tenant string) []byte {
		encoded, err := jobstore.EncodeJob(job.Job{
			ID: id, Queue: "q", Pool: "p", AcceptedAt: time.UnixMilli(1_700_000_000_123), Tenant: tenant,
			Definition: job.Definition{Steps: []job.Step{{Tasks: 1}}},
		})
		Expect(err).NotTo(HaveOccurred())
		return encoded
	}
	accept := func(tenant string) (int64, error) { return jobs.Accept(ctx, jobs.Homes(id)[0], id, encode(tenant)) }
	BeforeEach(func() {
		server := standin.NewStore()
		DeferCleanup(server.Close)
		jobs = jobstore.New(store.New(server.Address()), 0)
	})

	It("stores the tenant, and reads jobs that were stored without one", func() {
		decoded, err := jobstore.DecodeJob(encode("a"))
		Expect(err).NotTo(HaveOccurred())
		Expect(decoded.Tenant).To(Equal("a"))
		var fields map[int]any
		Expect(cbor.Unmarshal(encode(""), &fields)).To(Succeed())
		Expect(fields).NotTo(HaveKey(11), "the row of a job without a tenant is as before")
		decoded, err = jobstore.DecodeJob(encode(""))
		Expect(err).NotTo(HaveOccurred())
		Expect(decoded.Tenant).To(BeEmpty())
	})

	// A second tenant's job with the same ID would be answered with success and never run.
	It("accepts an ID for the tenant that submits it first", func() {
		Expect(accept("a")).NotTo(BeZero())
		Expect(accept("a")).To(BeZero())
		for _, tenant := range []string{"b", ""} {
			_, err := accept(tenant)
			Expect(err).To(MatchError(jobstore.ErrOtherTenant))
			Expect(jobs.ReadTenantState(ctx, id, tenant)).To(BeEmpty())
			Expect(jobs.Cancel(ctx, id, tenant)).To(BeFalse())
		}
		Expect(jobs.ReadTenantState(ctx, id, "a")).To(Equal(job.StateQueued))
		Expect(jobs.Cancel(ctx, id, "a")).To(BeTrue())
		Expect(jobs.ReadTenantState(ctx, id, "a")).To(Equal(job.StateCancelled))
	})

	It("shows every tenant a job that has none", func() {
		Expect(accept("")).NotTo(BeZero())
		Expect(accept("a")).To(BeZero(), "the client of an earlier version submits its job again")
		Expect(jobs.ReadTenantState(ctx, id, "a")).To(Equal(job.StateQueued))
		Expect(jobs.Cancel(ctx, id, "b")).To(BeTrue())
		Expect(jobs.ReadTenantState(ctx, id, "")).To(Equal(job.StateCancelled))
	})

	// The progress of a job names no tenant.
	It("hides the state of a job that has made progress", func() {
		Expect(accept("a")).NotTo(BeZero())
		_, err := jobs.WriteLeader(ctx, 0, jobstore.LeaderRow{Name: "i", Token: 1}, &dispatch.Save{Progress: []dispatch.Progress{{ID: id, State: job.StateCompleted}}})
		Expect(err).NotTo(HaveOccurred())
		Expect(jobs.ReadTenantState(ctx, id, "a")).To(Equal(job.StateCompleted))
		Expect(jobs.ReadTenantState(ctx, id, "b")).To(BeEmpty())
	})

	// A cancellation of an unknown ID is stored, so that an insertion in transit fails. By it,
	// one tenant could cancel the later jobs of another.
	It("does not cancel a later job of another tenant", func() {
		for _, tenant := range []string{"", "b"} {
			Expect(jobs.Cancel(ctx, id, tenant)).To(BeFalse())
			Expect(accept("a")).NotTo(BeZero())
			Expect(jobs.ReadTenantState(ctx, id, "a")).To(Equal(job.StateQueued))
			loaded, _, err := jobs.Load(ctx, 0)
			Expect(err).NotTo(HaveOccurred())
			// The other home still holds the cancellation, which names its tenant.
			Expect(loaded.Cancels).To(Equal([]dispatch.CancelAccepted{{ID: id, Tenant: tenant}}))
			Expect(jobs.Remove(ctx, id)).To(Succeed())
		}
		Expect(jobs.Cancel(ctx, id, "a")).To(BeFalse())
		Expect(accept("a")).To(BeZero(), "its own cancellation holds")
		Expect(jobs.ReadTenantState(ctx, id, "a")).To(Equal(job.StateCancelled))
	})
})
