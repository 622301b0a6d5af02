package measure_test

import (
	"sync"
	"testing"

	. "github.com/onsi/gomega"

	"fuchsiacross/localcell"
	"fuchsiacross/measure"
)

// Targets of section 1.9 of the design.
const (
	bytesPerStart     = 250
	messagesPerStart  = 4
	writesPerThousand = 50
	writesPerSecond   = 300
	readsPerSecond    = 1000
)

type loaded struct {
	name    string
	figures measure.LoadResult
	err     error
}

// loadedCells runs both deployments once for all tests.
var loadedCells = sync.OnceValue(func() []loaded {
	var all []loaded
	for _, d := range []localcell.Deployment{localcell.Coban(), localcell.Schrijfkraam()} {
		f, err := measure.RunLoad(measure.LoadOptions{Deployment: d, Rate: 1500, Seconds: 3, Seed: 1})
		all = append(all, loaded{name: d.Name, figures: f, err: err})
	}
	return all
})

// The traffic of each adapter stays in its share, and the sum over workers,
// peers and the platform may still be above the target.
func TestControlBytes(t *testing.T) {
	g := NewWithT(t)
	for _, c := range loadedCells() {
		g.Expect(c.err).NotTo(HaveOccurred())
		t.Logf("%s: %.0f control bytes per start", c.name, c.figures.BytesPerStart())
	}
	for _, c := range loadedCells() {
		g.Expect(c.figures.BytesPerStart()).To(BeNumerically("<=", bytesPerStart), c.name)
	}
}

// Questions to peers that have no room multiply the messages of a start.
func TestControlMessages(t *testing.T) {
	g := NewWithT(t)
	for _, c := range loadedCells() {
		g.Expect(c.err).NotTo(HaveOccurred())
		t.Logf("%s: %.2f messages per start", c.name, c.figures.MessagesPerStart())
	}
	for _, c := range loadedCells() {
		g.Expect(c.figures.MessagesPerStart()).To(BeNumerically("<=", messagesPerStart), c.name)
	}
}

// A store that is asked more often than it sustains slows every journaled
// request down. Callers must get whole answers under this load as well.
func TestStoreRates(t *testing.T) {
	g := NewWithT(t)
	for _, c := range loadedCells() {
		g.Expect(c.err).NotTo(HaveOccurred())
		f := c.figures
		t.Logf("%s: %.1f writes/s, %.1f reads/s", c.name, f.LoadCounters.PlatformWrites/f.Seconds, f.LoadCounters.PlatformReads/f.Seconds)
		g.Expect(f.Report.Passed()).To(BeTrue(), c.name)
		g.Expect(f.LoadCounters.PlatformWrites/f.Seconds).To(BeNumerically("<", writesPerSecond), c.name)
		g.Expect(f.LoadCounters.PlatformReads/f.Seconds).To(BeNumerically("<", readsPerSecond), c.name)
	}
}
