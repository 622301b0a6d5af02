package instance

import (
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"fuchsiacross/dispatch"
	"fuchsiacross/job"
	"fuchsiacross/model"
	"fuchsiacross/share"
)

// withTenants puts a configuration with tenants in force at an instance.
func withTenants(i *Instance, tenants ...job.Tenant) {
	c := *i.configuration.Load()
	changed := *c.Configuration
	changed.Tenants = tenants
	c.Configuration = &changed
	i.configuration.Store(&c)
}

func gangOf(n, tasks int, tenant string) *job.Job {
	return &job.Job{ID: jobID(n), Tenant: tenant, Definition: job.Definition{Steps: []job.Step{{Tasks: tasks, Gang: true, Demand: model.Resources{MilliCPU: 1000}}}}}
}

var _ = Describe("A submission of a tenant", func() {
	// Accepted jobs that can never start would wait forever. A repeated submission of a job that
	// is stored must not be refused, since a refusal promises that the job never runs.
	It("is refused if it can never run, unless it is stored already", func() {
		s := newTestCluster(2, 2, 50*time.Millisecond)
		i := s.instances[0]
		withTenants(i, job.Tenant{Name: "a", Limit: model.Resources{MilliCPU: 4000}}, job.Tenant{Name: "b"})
		deadline := time.Now().Add(3 * time.Second)
		response, refused := i.shards()[0].refuseForTenant(deadline, gangOf(1, 5, "a"))
		Expect(refused).To(BeTrue())
		Expect(response).To(Equal(job.Response{
			Outcome: job.OutcomeOverload, Reason: "step 0: a gang needs 5000 of processors (thousandths); the tenant's quota allows 4000",
		}))
		for _, accepted := range []*job.Job{gangOf(1, 4, "a"), gangOf(1, 5, "b"), gangOf(1, 5, "")} {
			_, refused = i.shards()[0].refuseForTenant(deadline, accepted)
			Expect(refused).To(BeFalse())
		}
		status, _ := s.request(s.instances[1], http.MethodPost, path(1), twoStepJob)
		Expect(status).To(Equal(http.StatusOK))
		_, refused = i.shards()[0].refuseForTenant(deadline, gangOf(1, 5, "a"))
		Expect(refused).To(BeFalse())
		s.store.SetDown(true)
		response, refused = i.shards()[0].refuseForTenant(time.Now().Add(time.Second), gangOf(2, 5, "a"))
		Expect(refused).To(BeTrue(), "nobody tells whether the job is stored")
		Expect(response.Outcome).To(Equal(job.OutcomeUnknown))
		Expect(response.RetryAfter).To(BeNumerically(">=", storeRetryAfter))
	})

	// Other instances than the leader must refuse too, and know how long to ask clients to wait.
	It("is refused at every instance while work beyond its tenant's share waits", func() {
		s := newTestCluster(3, 1, 50*time.Millisecond)
		for _, i := range s.instances {
			withTenants(i, job.Tenant{Name: "a", Weight: 3})
		}
		s.currentLeader().shards()[0].currentLeadership().announceAdmission(&dispatch.Admission{
			Refusals: []share.Refusal{{Tenant: "a", Wait: 2500 * time.Millisecond}},
		})
		for n, i := range s.instances {
			submit := func() job.Response {
				response, _ := i.shards()[0].refuseForTenant(time.Now().Add(time.Second), gangOf(10+n, 1, "a"))
				return response
			}
			Eventually(submit, "1500ms", "20ms").Should(Equal(job.Response{
				Outcome: job.OutcomeOverload, Reason: "the tenant is beyond its share and has work waiting", RetryAfter: 2500 * time.Millisecond,
			}))
			_, refused := i.shards()[0].refuseForTenant(time.Now().Add(time.Second), gangOf(20, 1, ""))
			Expect(refused).To(BeFalse())
		}
	})
})
