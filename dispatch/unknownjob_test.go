package dispatch_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"fuchsiacross/dispatch"
	"fuchsiacross/job"
)

// newUnknownJob returns a simulation in which a leader has started a job that its successor
// does not know: the job was stored after the successor's load, and the change feed is silent.
func newUnknownJob(taskLength time.Duration) *simulation {
	sim := newSimulation(2, 16, plain)
	sim.advance(200 * time.Millisecond)
	sim.submit(newJob(1, "plain", job.Step{Tasks: 2, Demand: demand(4, 4), EstimateMilliseconds: float64(taskLength.Milliseconds())}))
	sim.advance(300 * time.Millisecond)
	sim.missingFromLoad[id(1)] = true
	sim.loseLeader(400 * time.Millisecond)
	return sim
}

// The worker is read only after its run has ended.
func TestEndOfUnknownJobIsAcknowledgedWhileFeedIsSilent(t *testing.T) {
	g := NewWithT(t)
	sim := newUnknownJob(3 * time.Second)
	readableAt := sim.now.Add(3100 * time.Millisecond)
	sim.nextReaches = func(job.WorkerID) bool { return sim.now.After(readableAt) }
	sim.advance(4500 * time.Millisecond)
	sim.reportStoreChange(id(1))
	sim.advance(8 * time.Second)
	expectCompletedOnce(g, sim)
	g.Expect(sim.noteCounts[dispatch.NoteRunOrdered]).To(Equal(2))
}

// The former leader is notified of a job after its successor's load, and starts it beside it.
// The successor has read the change feed before, but not since it has read the worker.
func TestEndOfJobUnknownToSuccessorIsAcknowledgedWhileFeedIsSilent(t *testing.T) {
	g := NewWithT(t)
	sim := newSimulation(2, 16, checks) // a former leader can start no tasks without a ticket
	sim.allows = func(job.StepID, job.WorkerID) bool { return true }
	sim.advance(time.Second)
	former := sim.isolateLeader(formerLeaderClaimGap, "w00")
	sim.advance(2 * time.Second)
	j := newJob(1, "checks", job.Step{Tasks: 1, Demand: demand(4, 4), EstimateMilliseconds: 500})
	sim.submittedAt[j.ID] = sim.now
	sim.storeJob(j)
	sim.missingFromLoad[j.ID] = true
	sim.applyTo(former, dispatch.JobAccepted{Job: sim.jobs[j.ID], Notified: true})
	sim.advance(1500 * time.Millisecond)
	g.Expect(sim.workers["w00"].endedRuns).To(HaveLen(1))
	sim.leader.reaches = nil
	sim.advance(time.Second)
	sim.reportStoreChange(id(1))
	sim.advance(8 * time.Second)
	expectCompletedOnce(g, sim)
	g.Expect(sim.noteCounts[dispatch.NoteRunOrdered]).To(Equal(1))
}

func TestRunOfUnknownJobIsStoppedWhileFeedIsSilent(t *testing.T) {
	g := NewWithT(t)
	sim := newUnknownJob(4 * time.Second)
	sim.advance(4 * time.Second)
	sim.reportStoreChange(id(1))
	sim.advance(8 * time.Second)
	expectCompletedOnce(g, sim)
	g.Expect(sim.noteCounts[dispatch.NoteRunOrdered]).To(Equal(2))
}

// The runs go on for longer than the lease that their starter has granted.
func TestLeaseOfUnknownJobExpiresWhileFeedIsSilent(t *testing.T) {
	g := NewWithT(t)
	sim := newUnknownJob(8 * time.Second)
	sim.advance(6 * time.Second)
	sim.reportStoreChange(id(1))
	sim.advance(8 * time.Second)
	expectCompletedOnce(g, sim)
	g.Expect(sim.noteCounts[dispatch.NoteRunOrdered]).To(Equal(2))
}

// The worker's registration has lapsed, and after the reading that lists the runs it does not
// answer any more.
func TestRunOfUnknownJobIsForgottenWithItsWorker(t *testing.T) {
	g := NewWithT(t)
	sim := newUnknownJob(6 * time.Second)
	g.Expect(sim.workers["w00"].running).To(HaveLen(2))
	sim.workers["w00"].unregistered = true
	sim.advance(time.Second)
	sim.leader.reaches = func(w job.WorkerID) bool { return w != "w00" }
	sim.advance(3 * time.Second)
	sim.reportStoreChange(id(1))
	sim.advance(15 * time.Second)
	expectCompletedOnce(g, sim)
}

// The same with the ends of the runs.
func TestEndOfUnknownJobIsForgottenWithItsWorker(t *testing.T) {
	g := NewWithT(t)
	sim := newUnknownJob(800 * time.Millisecond)
	sim.workers["w00"].unregistered = true
	sim.advance(1500 * time.Millisecond)
	g.Expect(sim.workers["w00"].endedRuns).To(HaveLen(2))
	sim.leader.reaches = func(w job.WorkerID) bool { return w != "w00" }
	sim.advance(3 * time.Second)
	sim.reportStoreChange(id(1))
	sim.advance(15 * time.Second)
	expectCompletedOnce(g, sim)
}
