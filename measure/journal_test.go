package measure_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"fuchsiacross/measure"
)

// Guards against commits that do not batch: without group commit each write to
// the store carries only a few records. The load is the journaled part of 5,000
// starts/s.
func TestJournalWrites(t *testing.T) {
	g := NewWithT(t)
	c := measure.NewSimulation(measure.SimulationOptions{Instances: 7, Workers: 200, LinkDelayMilliseconds: 5, Seed: 1, InitialDocument: documentWithRevision(1)})
	c.Advance(3 * time.Second)
	generator := newLoadGenerator(c, 7, 1)
	generator.atMostOnce = true
	generator.submitFor(time.Second, 1500) // lets the moving average of the request rate settle
	commits, count := c.Counts.Commits, generator.submittedCount
	generator.submitFor(4*time.Second, 1500)
	perThousand := 1000 * float64(c.Counts.Commits-commits) / float64(generator.submittedCount-count)
	c.Advance(3 * time.Second)
	t.Logf("%.1f writes per 1,000; %d of %d started; %+v", perThousand, len(generator.startDelays()), generator.submittedCount, c.Counts)
	g.Expect(generator.startDelays()).To(HaveLen(generator.submittedCount))
	g.Expect(perThousand).To(BeNumerically("<=", maxWritesPerThousandRequests))
}
