package dispatch_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"fuchsiacross/dispatch"
	"fuchsiacross/job"
	"fuchsiacross/model"
)

// tenantJob returns a job of a tenant with tasks of four processors that run for eight seconds.
func tenantJob(n int, tenant string, tasks int, gang bool) job.Job {
	j := newJob(n, "plain", job.Step{Tasks: tasks, Gang: gang, Demand: demand(4, 1), EstimateMilliseconds: 8000})
	j.Tenant = tenant
	return j
}

// runningTasks returns how many tasks of a job run on all workers.
func (sim *simulation) runningTasks(id job.ID) int {
	n := 0
	for _, w := range sim.workers {
		for task := range w.running {
			if task.Job == id {
				n++
			}
		}
	}
	return n
}

func newTenants(limit model.Resources) *simulation {
	sim := newSimulation(4, 16, plain)
	sim.setTenants(job.Tenant{Name: "a", Weight: 100, Limit: limit}, job.Tenant{Name: "b", Weight: 100})
	sim.advance(200 * time.Millisecond)
	return sim
}

// Guards against a tenant at its quota that holds up others, or reserves workers for its gangs.
func TestTenantAtItsQuotaHoldsUpNobody(t *testing.T) {
	g := NewWithT(t)
	sim := newTenants(demand(30, 0))
	sim.submit(tenantJob(1, "a", 5, false))
	sim.submit(tenantJob(2, "a", 5, true))
	sim.submit(tenantJob(3, "a", 5, false))
	sim.submit(tenantJob(4, "b", 9, false))
	sim.advance(time.Second)
	g.Expect(sim.runningTasks(id(1))).To(Equal(5))
	g.Expect(sim.runningTasks(id(2))).To(Equal(0), "a gang starts whole or not at all")
	g.Expect(sim.runningTasks(id(3))).To(Equal(2), "the tasks that fit the quota start")
	g.Expect(sim.runningTasks(id(4))).To(Equal(9), "the rest of the capacity is free for others")
	sim.advance(4 * time.Second)
	g.Expect(sim.capacity.Reservations).To(BeEmpty())
	g.Expect(sim.noteCounts[dispatch.NoteTenantAtQuota]).To(BeNumerically("<=", 3))
	g.Expect(sim.noteCounts[dispatch.NoteTenantAtQuota]).To(BeNumerically(">", 0))
	sim.advance(40 * time.Second)
	for n := 1; n <= 4; n++ {
		state, _ := sim.reducer.Status(id(n))
		g.Expect(state).To(Equal(job.StateCompleted), "job %d", n)
	}
	g.Expect(sim.violations).To(BeEmpty())
}

// Guards against a new leader that starts a tenant's tasks beside runs that it has not read, and
// against one that holds up tenants without a limit meanwhile.
func TestNewLeaderCountsUnreadWorkersAgainstQuotas(t *testing.T) {
	g := NewWithT(t)
	sim := newTenants(demand(28, 0))
	sim.submit(tenantJob(1, "a", 7, false))
	sim.advance(time.Second)
	g.Expect(sim.runningTasks(id(1))).To(Equal(7))
	g.Expect(len(sim.workers["w00"].running) + len(sim.workers["w01"].running)).To(Equal(7))
	// The workers with the runs are cut off from the new leader, but continue.
	sim.nextReaches = func(w job.WorkerID) bool { return w == "w02" || w == "w03" }
	sim.startSuccessor(sim.now)
	sim.submit(tenantJob(2, "a", 7, false))
	sim.submit(tenantJob(3, "b", 4, false))
	sim.advance(time.Second)
	g.Expect(sim.runningTasks(id(2))).To(Equal(0))
	g.Expect(sim.runningTasks(id(3))).To(Equal(4))
	sim.advance(30 * time.Second)
	g.Expect(sim.peakUse["a"].MilliCPU).To(Equal(int64(28_000)))
	g.Expect(sim.violations).To(BeEmpty())
	state, _ := sim.reducer.Status(id(2))
	g.Expect(state).To(Equal(job.StateCompleted), "the quota is free again once the leases have expired")
}

// Guards against runs on a partitioned worker that are taken for ended while they continue.
func TestRunsOfPartitionedWorkersStayCharged(t *testing.T) {
	g := NewWithT(t)
	sim := newTenants(demand(28, 0))
	sim.submit(tenantJob(1, "a", 7, false))
	sim.advance(time.Second)
	sim.leader.reaches = func(w job.WorkerID) bool { return w != "w00" }
	sim.submit(tenantJob(2, "a", 7, false))
	sim.advance(30 * time.Second)
	g.Expect(sim.peakUse["a"].MilliCPU).To(Equal(int64(28_000)))
	g.Expect(sim.violations).To(BeEmpty())
	state, _ := sim.reducer.Status(id(2))
	g.Expect(state).To(Equal(job.StateCompleted))
}

// Guards against a lower limit that stops runs, and against silence about a gang that waits forever.
func TestLowerLimitStopsNoRuns(t *testing.T) {
	g := NewWithT(t)
	sim := newTenants(demand(28, 0))
	sim.submit(tenantJob(1, "a", 7, true))
	sim.advance(time.Second)
	sim.submit(tenantJob(2, "a", 5, true))
	sim.setTenants(job.Tenant{Name: "a", Limit: demand(8, 0)}, job.Tenant{Name: "b"})
	sim.advance(20 * time.Second)
	state, _ := sim.reducer.Status(id(1))
	g.Expect(state).To(Equal(job.StateCompleted))
	g.Expect(sim.noteCounts[dispatch.NoteRunEnded]).To(Equal(7))
	g.Expect(sim.runningTasks(id(2))).To(Equal(0))
	g.Expect(sim.noteCounts[dispatch.NoteStepAboveQuota]).To(Equal(1))
	sim.setTenants(job.Tenant{Name: "a", Limit: demand(20, 0)}, job.Tenant{Name: "b"})
	sim.advance(time.Second)
	g.Expect(sim.runningTasks(id(2))).To(Equal(5))
	g.Expect(sim.violations).To(BeEmpty())
}

// Guards against a gang that waits forever for a quota of which smaller tasks of its own tenant take
// each part that becomes free.
func TestGangHasItsTurnWithinTheQuotaOfItsTenant(t *testing.T) {
	g := NewWithT(t)
	sim := newTenants(demand(32, 0))
	gang := newJob(1, "plain", job.Step{Tasks: 8, Gang: true, Demand: demand(4, 1), EstimateMilliseconds: 2000})
	gang.Tenant = "a"
	for n := 2; n < 100; n++ {
		small := newJob(n, "plain", job.Step{Tasks: 1, Demand: demand(4, 1), EstimateMilliseconds: 2000})
		small.Tenant = "a"
		sim.schedule(time.Duration(n)*200*time.Millisecond, func() { sim.submit(small) })
	}
	sim.advance(5 * time.Second)
	sim.submit(gang)
	objective := 4500 * time.Millisecond
	sim.advance(objective + 2500*time.Millisecond)
	g.Expect(sim.runningTasks(id(1))).To(Equal(8))
	sim.advance(40 * time.Second)
	for n := 1; n < 100; n++ {
		state, _ := sim.reducer.Status(id(n))
		g.Expect(state).To(Equal(job.StateCompleted), "job %d", n)
	}
	g.Expect(sim.violations).To(BeEmpty())
}

// Guards against a job that is charged to a tenant whose submission of the same ID was refused.
func TestOfferOfAnotherTenantIsNotTheAcceptedJob(t *testing.T) {
	g := NewWithT(t)
	sim := newTenants(demand(4, 0))
	offered, stored := tenantJob(1, "b", 2, false), tenantJob(1, "a", 2, false)
	sim.apply(dispatch.JobOffered{Job: offered})
	sim.submit(stored)
	sim.advance(time.Second)
	g.Expect(sim.runningTasks(id(1))).To(Equal(1), "the quota of a allows one task")
}

// Guards against a gang that loses its turn while the quota has room for it but the workers have not.
func TestGangKeepsItsTurnUntilItStarts(t *testing.T) {
	g := NewWithT(t)
	sim := newTenants(demand(32, 0))
	gang := newJob(1, "plain", job.Step{Tasks: 8, Gang: true, Demand: demand(4, 1), EstimateMilliseconds: 2000})
	gang.Tenant = "a"
	n := 2
	flow := func(tenant string, interval time.Duration) {
		for at := time.Duration(0); at < 60*time.Second; at += interval {
			small := newJob(n, "plain", job.Step{Tasks: 1, Demand: demand(4, 1), EstimateMilliseconds: 2000})
			small.Tenant = tenant
			sim.schedule(at, func() { sim.submit(small) })
			n++
		}
	}
	flow("a", 200*time.Millisecond)
	flow("b", 150*time.Millisecond)
	sim.advance(5 * time.Second)
	sim.submit(gang)
	// Its objective is 4.5 s. It waits for its turn within the quota, and then for the turns of the
	// steps of the other tenant that have been passed over.
	sim.advance(30 * time.Second)
	g.Expect(sim.completedAt[id(1)].IsZero() && sim.runningTasks(id(1)) == 0).To(BeFalse(), "it has not started")
	g.Expect(sim.violations).To(BeEmpty())
}

// Guards against a step that stops all other work of its tenant while it waits for capacity: on a day
// with 1,500 waiting steps a tenant used a tenth of its quota, and 1,206 jobs never ended.
func TestTurnHoldsOnlyItsPartOfTheQuota(t *testing.T) {
	g := NewWithT(t)
	sim := newTenants(demand(32, 0))
	const smallJobs = 60
	for n := 2; n < smallJobs; n++ {
		small := newJob(n, "plain", job.Step{Tasks: 1, Demand: demand(4, 1), EstimateMilliseconds: 2000})
		small.Tenant = "a"
		sim.schedule(time.Duration(n)*200*time.Millisecond, func() { sim.submit(small) })
	}
	sim.advance(5 * time.Second)
	gang := newJob(1, "plain", job.Step{Tasks: 6, Gang: true, Demand: demand(4, 1), EstimateMilliseconds: 2000, RequiredLabel: "of no worker"})
	gang.Tenant = "a"
	sim.submit(gang)
	sim.advance(90 * time.Second)
	for n := 2; n < smallJobs; n++ {
		state, _ := sim.reducer.Status(id(n))
		g.Expect(state).To(Equal(job.StateCompleted), "job %d", n)
	}
	g.Expect(sim.violations).To(BeEmpty())
}
