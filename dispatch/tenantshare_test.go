package dispatch_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"fuchsiacross/job"
)

var urgent = job.Queue{Name: "urgent", Pool: "pool", Priority: 0, MaxAttempts: 2, Stretch: 2, LatencyMilliseconds: 2000}

// advised is a queue whose starts need no record, and follow a submission within one cheap call.
var advised = job.Queue{
	Name: "advised", Pool: "pool", Priority: 1, MaxAttempts: 2, Stretch: 2, LatencyMilliseconds: 500,
	RequiresAdvice: true, AdviceCallMilliseconds: 8, AdviceWorkerMilliseconds: 0.12, TicketMilliseconds: 2500,
}

// wholeWorkers returns a job of a tenant whose tasks need a worker of 16 processors each.
func wholeWorkers(n int, queue, tenant string, tasks int) job.Job {
	j := newJob(n, queue, job.Step{Tasks: tasks, Demand: demand(16, 1), EstimateMilliseconds: 1000})
	j.Tenant = tenant
	return j
}

func newShares(tenants ...job.Tenant) *simulation {
	sim := newSimulation(4, 16, plain, urgent, advised)
	sim.allows = func(job.StepID, job.WorkerID) bool { return true }
	sim.setTenants(tenants...)
	sim.advance(200 * time.Millisecond)
	return sim
}

// Guards against a burst of one tenant that delays the others, whatever its priority.
func TestBurstBeyondTheShareComesLast(t *testing.T) {
	g := NewWithT(t)
	sim := newShares(job.Tenant{Name: "burst", Weight: 4}, job.Tenant{Name: "calm", Weight: 4})
	for n := 1; n <= 24; n++ {
		sim.submit(wholeWorkers(n, "urgent", "burst", 1))
	}
	sim.advance(300 * time.Millisecond)
	sim.submit(wholeWorkers(25, "plain", "calm", 4))
	submitted := sim.now
	sim.advance(1100 * time.Millisecond)
	g.Expect(sim.runningTasks(id(25))).To(Equal(4), "it starts when the runs within the share have ended")
	sim.advance(20 * time.Second)
	g.Expect(sim.completedAt[id(25)].Sub(submitted)).To(BeNumerically("<", 2500*time.Millisecond))
	for n := 1; n <= 24; n++ {
		state, _ := sim.reducer.Status(id(n))
		g.Expect(state).To(Equal(job.StateCompleted), "job %d", n)
	}
	g.Expect(sim.violations).To(BeEmpty())
}

// Guards against capacity that is left idle while only work beyond a share waits.
func TestWorkBeyondTheShareUsesIdleCapacity(t *testing.T) {
	g := NewWithT(t)
	sim := newShares(job.Tenant{Name: "burst", Weight: 1})
	for n := 1; n <= 4; n++ {
		sim.submit(wholeWorkers(n, "plain", "burst", 1))
	}
	sim.advance(300 * time.Millisecond)
	for n := 1; n <= 4; n++ {
		g.Expect(sim.runningTasks(id(n))).To(Equal(1), "job %d", n)
	}
}

// Guards against a successor that takes a burst for work within the share.
func TestSuccessorKeepsTheOrderOfABurst(t *testing.T) {
	g := NewWithT(t)
	sim := newShares(job.Tenant{Name: "burst", Weight: 4}, job.Tenant{Name: "calm", Weight: 4})
	for n := 1; n <= 24; n++ {
		sim.submit(wholeWorkers(n, "urgent", "burst", 1))
	}
	sim.loseLeader(200 * time.Millisecond)
	sim.advance(600 * time.Millisecond)
	sim.submit(wholeWorkers(25, "plain", "calm", 4))
	submitted := sim.now
	sim.advance(20 * time.Second)
	g.Expect(sim.completedAt[id(25)].Sub(submitted)).To(BeNumerically("<", 2500*time.Millisecond))
	g.Expect(sim.violations).To(BeEmpty())
}

// Guards against a gang beyond its tenant's share that reserves the workers of others. Reservations
// are made anew from time to time, so that the delay depends on the time of the submission.
func TestReservationBeyondTheShareHoldsUpNobody(t *testing.T) {
	g := NewWithT(t)
	for offset := range 12 {
		sim := newShares(job.Tenant{Name: "burst", Weight: 1}, job.Tenant{Name: "calm", Weight: 50})
		long := newJob(1, "plain", job.Step{Tasks: 1, Demand: demand(16, 1), EstimateMilliseconds: 6000})
		gang := newJob(2, "plain", job.Step{Tasks: 4, Gang: true, Demand: demand(16, 1), EstimateMilliseconds: 1000})
		long.Tenant, gang.Tenant = "burst", "burst"
		sim.submit(long)
		sim.submit(gang)
		sim.advance(300*time.Millisecond + time.Duration(offset)*10*time.Millisecond)
		g.Expect(sim.runningTasks(id(2))).To(Equal(0))
		within := newJob(3, "advised", job.Step{Tasks: 3, Demand: demand(16, 1), EstimateMilliseconds: 9000})
		within.Tenant = "calm"
		sim.submitWithOffer(within)
		sim.advance(insertDelay + 40*time.Millisecond)
		g.Expect(sim.runningTasks(id(3))).To(Equal(3), "offset %d", offset)
		sim.advance(30 * time.Second)
		state, _ := sim.reducer.Status(id(2))
		g.Expect(state).To(Equal(job.StateCompleted))
	}
}

// Guards against tenants of equal jobs that are served by the number of their jobs instead of by
// their weights.
func TestTenantsAreServedByTheirWeights(t *testing.T) {
	g := NewWithT(t)
	sim := newShares(job.Tenant{Name: "large", Weight: 3}, job.Tenant{Name: "small", Weight: 1})
	started := map[string]int{}
	for n := 1; n <= 80; n++ {
		tenant := "large"
		if n > 40 {
			tenant = "small"
		}
		j := newJob(n, "plain", job.Step{Tasks: 1, Demand: demand(4, 1), EstimateMilliseconds: 1000})
		j.Tenant = tenant
		sim.submit(j)
	}
	sim.advance(700 * time.Millisecond)
	for n := 1; n <= 80; n++ {
		started[sim.jobs[id(n)].Tenant] += sim.runningTasks(id(n))
	}
	// The first submission fills the idle workers; the order shows from the second round.
	sim.advance(time.Second)
	clear(started)
	for n := 1; n <= 80; n++ {
		started[sim.jobs[id(n)].Tenant] += sim.runningTasks(id(n))
	}
	g.Expect(started).To(Equal(map[string]int{"large": 12, "small": 4}))
}

// Guards against an order by the use of tenants within the shares, under which the work of the tenant
// with the most use ended too late although it was submitted first.
func TestWorkWithinTheSharesIsServedByDeadline(t *testing.T) {
	g := NewWithT(t)
	sim := newShares(job.Tenant{Name: "busy", Weight: 100}, job.Tenant{Name: "idle", Weight: 100})
	// Three rounds on four workers: all jobs can be in time.
	const jobs, busyJobs = 12, 8
	for n := 1; n <= jobs; n++ {
		j := newJob(n, "plain", job.Step{Tasks: 1, Demand: demand(16, 1), EstimateMilliseconds: 350})
		j.Tenant = "busy"
		if n > busyJobs {
			j.Tenant = "idle"
		}
		sim.submit(j)
		sim.advance(10 * time.Millisecond)
	}
	sim.advance(5 * time.Second)
	for n := 2; n <= jobs; n++ {
		g.Expect(sim.completedAt[id(n)].Before(sim.completedAt[id(n-1)])).To(BeFalse(), "job %d", n)
	}
}
