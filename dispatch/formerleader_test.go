package dispatch_test

import (
	"testing"
	"time"

	"github.com/go-faster/errors"
	. "github.com/onsi/gomega"

	"fuchsiacross/dispatch"
	"fuchsiacross/job"
)

// formerLeaderClaimGap is the time between the isolation of a leader and its successor's claim.
const formerLeaderClaimGap = 600 * time.Millisecond

// newFormerLeaders returns a simulation for specs with former leaders. Its queue has tickets: a leader
// that is cut off from the store starts no others.
func newFormerLeaders() *simulation {
	sim := newSimulation(4, 16, checks)
	sim.allows = func(job.StepID, job.WorkerID) bool { return true }
	sim.advance(200 * time.Millisecond)
	return sim
}

// newBusyWorker returns a simulation in which w00 has run all tasks of a job for a second, and
// the other workers are idle.
func newBusyWorker(g Gomega, taskLength time.Duration) *simulation {
	sim := newFormerLeaders()
	step := job.Step{Tasks: 4, Demand: demand(4, 4), EstimateMilliseconds: float64(taskLength.Milliseconds())}
	sim.submit(newJob(1, "checks", step))
	sim.advance(time.Second)
	g.Expect(sim.workers["w00"].running).To(HaveLen(step.Tasks))
	return sim
}

func expectCompletedOnce(g Gomega, sim *simulation) {
	state, _ := sim.reducer.Status(id(1))
	g.Expect(state).To(Equal(job.StateCompleted))
	g.Expect(sim.violations).To(BeEmpty())
}

// The successor has extended the lease that the former leader takes for expired.
func TestFormerLeaderRestartsRunsOfExtendedLease(t *testing.T) {
	g := NewWithT(t)
	sim := newBusyWorker(g, 8*time.Second)
	sim.isolateLeader(formerLeaderClaimGap, "w03")
	sim.advance(12 * time.Second)
	expectCompletedOnce(g, sim)
}

// The successor has acknowledged the ends before the former leader takes the lease for expired.
func TestFormerLeaderRestartsAcknowledgedTasks(t *testing.T) {
	g := NewWithT(t)
	sim := newBusyWorker(g, 4*time.Second)
	sim.isolateLeader(formerLeaderClaimGap, "w03")
	sim.advance(12 * time.Second)
	expectCompletedOnce(g, sim)
}

// A leader that is deposed itself takes the leases of its predecessor for expired.
func TestFormerLeaderRestartsRunsOfItsPredecessor(t *testing.T) {
	g := NewWithT(t)
	sim := newBusyWorker(g, 8*time.Second)
	sim.nextReaches = func(w job.WorkerID) bool { return w == "w03" }
	sim.startSuccessor(sim.now)
	sim.advance(2400 * time.Millisecond)
	sim.isolateLeader(formerLeaderClaimGap, "w03")
	sim.advance(15 * time.Second)
	expectCompletedOnce(g, sim)
}

// The worker is gone, but its ends were acknowledged before.
func TestFormerLeaderRestartsTasksOfReplacedWorker(t *testing.T) {
	g := NewWithT(t)
	sim := newBusyWorker(g, 2*time.Second)
	former := sim.isolateLeader(formerLeaderClaimGap, "w03")
	sim.advance(2 * time.Second)
	sim.workers["w00"].replaced = true
	former.reaches = func(w job.WorkerID) bool { return w == "w00" || w == "w03" }
	sim.advance(10 * time.Second)
	expectCompletedOnce(g, sim)
}

// The worker has restarted, but its ends were acknowledged before.
func TestFormerLeaderRestartsTasksOfRestartedWorker(t *testing.T) {
	g := NewWithT(t)
	sim := newBusyWorker(g, 2*time.Second)
	former := sim.isolateLeader(formerLeaderClaimGap, "w03")
	sim.advance(2 * time.Second)
	sim.workers["w00"].restart(sim.now)
	former.reaches = func(w job.WorkerID) bool { return w == "w00" || w == "w03" }
	sim.leader.reaches = func(w job.WorkerID) bool { return w != "w00" && w != "w03" }
	sim.advance(10 * time.Second)
	expectCompletedOnce(g, sim)
}

// A leader that is deposed itself reads a worker only after its successor has acknowledged the
// ends there and the worker has restarted.
func TestFormerLeaderRestartsTasksOfUnreadRestartedWorker(t *testing.T) {
	g := NewWithT(t)
	sim := newBusyWorker(g, 3*time.Second)
	sim.nextReaches = func(w job.WorkerID) bool { return w != "w00" }
	sim.startSuccessor(sim.now)
	sim.advance(500 * time.Millisecond)
	former := sim.isolateLeader(formerLeaderClaimGap, "w03")
	sim.advance(2500 * time.Millisecond)
	g.Expect(sim.acknowledged).NotTo(BeEmpty())
	sim.workers["w00"].restart(sim.now)
	former.reaches = func(job.WorkerID) bool { return true }
	sim.leader.reaches = func(job.WorkerID) bool { return false }
	sim.advance(2 * time.Second)
	sim.leader.reaches = nil
	sim.advance(10 * time.Second)
	expectCompletedOnce(g, sim)
}

// A restarted worker has forgotten the successor's token, so that a former leader may start the
// tasks there that it has not started yet.
func TestFormerLeaderStartsDueTasksOnRestartedWorker(t *testing.T) {
	g := NewWithT(t)
	sim := newFormerLeaders()
	sim.submit(newJob(1, "checks", job.Step{Tasks: 1, Demand: demand(4, 4), EstimateMilliseconds: 8000}))
	due := newJob(2, "checks", job.Step{Tasks: 2, Demand: demand(4, 4), EstimateMilliseconds: 4000})
	due.Definition.Occurrences = 1
	due.Definition.FirstDueMilliseconds = sim.now.Add(4 * time.Second).UnixMilli()
	sim.submit(due)
	sim.advance(time.Second)
	g.Expect(sim.workers["w00"].running).To(HaveLen(1))
	former := sim.isolateLeader(formerLeaderClaimGap)
	sim.advance(time.Second)
	sim.workers["w00"].restart(sim.now)
	former.reaches = func(w job.WorkerID) bool { return w == "w00" }
	sim.leader.reaches = func(w job.WorkerID) bool { return w != "w00" }
	sim.advance(15 * time.Second)
	expectCompletedOnce(g, sim)
}

// The former leader starts a job that its successor does not know yet. The successor acknowledges
// the end, and then starts the job again.
func TestFormerLeaderStartsJobUnknownToSuccessor(t *testing.T) {
	g := NewWithT(t)
	sim := newFormerLeaders()
	former := sim.isolateLeader(formerLeaderClaimGap, "w03")
	sim.advance(2500 * time.Millisecond)
	j := newJob(1, "checks", job.Step{Tasks: 1, Demand: demand(4, 4), EstimateMilliseconds: 500})
	sim.submittedAt[j.ID] = sim.now
	sim.storeJob(j)
	sim.missingFromLoad[j.ID] = true
	sim.applyTo(former, dispatch.JobAccepted{Job: sim.jobs[j.ID], Notified: true})
	sim.advance(600 * time.Millisecond)
	sim.leader.reaches = nil
	sim.advance(900 * time.Millisecond)
	sim.reportStoreChange(j.ID)
	sim.advance(5 * time.Second)
	expectCompletedOnce(g, sim)
}

// A worker with a run of a job that the successor does not know yet loses its registration, and
// does not answer. The successor drops it, and starts the job again.
func TestFormerLeaderRunOfUnknownJobIsDropped(t *testing.T) {
	g := NewWithT(t)
	sim := newBusyWorker(g, 8*time.Second)
	sim.missingFromLoad[id(1)] = true
	sim.workers["w00"].unregistered = true
	sim.loseLeader(300 * time.Millisecond)
	sim.advance(500 * time.Millisecond)
	sim.leader.reaches = func(w job.WorkerID) bool { return w != "w00" }
	sim.apply(dispatch.WorkerReading{ID: "w00", Token: 1 + dispatch.TokensPerTerm, SentAt: sim.now, Err: errors.New("connection refused")})
	sim.advance(500 * time.Millisecond)
	sim.reportStoreChange(id(1))
	sim.advance(15 * time.Second)
	expectCompletedOnce(g, sim)
}
