package dispatch_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"fuchsiacross/dispatch"
	"fuchsiacross/job"
)

// A client submits a job twice, and each instance stores a row and tells the leader that it
// knows: the first the former leader, the second its successor. Only the row in the main home
// counts as a notification.
func TestTwoLeadersStartJobWithTwoRows(t *testing.T) {
	g := NewWithT(t)
	sim := newSimulation(2, 16, plain)
	sim.advance(time.Second)
	former := sim.isolateLeader(formerLeaderClaimGap, "w00")
	sim.advance(time.Second)
	j := newJob(1, "plain", job.Step{Tasks: 1, Demand: demand(4, 4), EstimateMilliseconds: 1000})
	sim.submittedAt[j.ID] = sim.now
	sim.storeJob(j)
	sim.applyTo(former, dispatch.JobAccepted{Job: sim.jobs[j.ID], Notified: true})
	sim.advance(100 * time.Millisecond)
	sim.storeJob(j)
	sim.reportStoreChange(j.ID)
	sim.advance(12 * time.Second)
	expectCompletedOnce(g, sim)
}
