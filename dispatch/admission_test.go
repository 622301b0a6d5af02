package dispatch_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"fuchsiacross/dispatch"
	"fuchsiacross/job"
)

// Guards against callers that are not told for how long a burst beyond the share waits, and against
// refusals that outlive it.
func TestAdmissionNamesTenantsWithWaitingWork(t *testing.T) {
	g := NewWithT(t)
	sim := newShares(job.Tenant{Name: "burst", Weight: 4}, job.Tenant{Name: "calm", Weight: 4})
	for n := 1; n <= 24; n++ {
		sim.submit(wholeWorkers(n, "plain", "burst", 1))
	}
	sim.advance(time.Second)
	g.Expect(sim.admission.Refusals).To(BeEmpty(), "it has waited for a second at most")
	sim.advance(500 * time.Millisecond)
	g.Expect(sim.admission.Refusals).To(HaveLen(1))
	refusal := sim.admission.Refusals[0]
	g.Expect(refusal.Tenant).To(Equal("burst"))
	g.Expect(refusal.Wait).To(BeNumerically("~", 4*time.Second, time.Second), "20 or 16 tasks of a second for four workers")
	sim.advance(10 * time.Second)
	g.Expect(sim.admission.Refusals).To(BeEmpty())
	g.Expect(sim.noteCounts[dispatch.NoteShareExceeded]).To(Equal(1))
}
