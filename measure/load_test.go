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
	maxBytesPerStart             = 250
	maxMessagesPerStart          = 4
	maxWritesPerThousandRequests = 50
	maxWritesPerSecond           = 300
	maxReadsPerSecond            = 1000
)

type loadedCell struct {
	name   string
	result measure.LoadResult
	err    error
}

// runLoadedCells runs a load on the cells of both deployments, once for all tests.
var runLoadedCells = sync.OnceValue(func() []loadedCell {
	var all []loadedCell
	for _, d := range []localcell.Deployment{localcell.Coban(), localcell.Schrijfkraam()} {
		f, err := measure.RunLoad(measure.LoadOptions{Deployment: d, Rate: 1500, Seconds: 3, Seed: 1})
		all = append(all, loadedCell{name: d.Name, result: f, err: err})
	}
	return all
})

// The traffic of each adapter can stay within its own limit while the sum over
// workers, peers and the platform exceeds the target.
func TestControlBytes(t *testing.T) {
	g := NewWithT(t)
	for _, c := range runLoadedCells() {
		g.Expect(c.err).NotTo(HaveOccurred())
		t.Logf("%s: %.0f control bytes per start", c.name, c.result.BytesPerStart())
	}
	for _, c := range runLoadedCells() {
		g.Expect(c.result.BytesPerStart()).To(BeNumerically("<=", maxBytesPerStart), c.name)
	}
}

// Guards against requests to peers that have no free capacity, which multiply
// the messages per start.
func TestControlMessages(t *testing.T) {
	g := NewWithT(t)
	for _, c := range runLoadedCells() {
		g.Expect(c.err).NotTo(HaveOccurred())
		t.Logf("%s: %.2f messages per start", c.name, c.result.MessagesPerStart())
	}
	for _, c := range runLoadedCells() {
		g.Expect(c.result.MessagesPerStart()).To(BeNumerically("<=", maxMessagesPerStart), c.name)
	}
}

// More reads or writes than the store sustains delay every journaled request.
// Callers must also get complete answers under this load.
func TestStoreRates(t *testing.T) {
	g := NewWithT(t)
	for _, c := range runLoadedCells() {
		g.Expect(c.err).NotTo(HaveOccurred())
		f := c.result
		t.Logf("%s: %.1f writes/s, %.1f reads/s", c.name, f.LoadCounters.PlatformWrites/f.Seconds, f.LoadCounters.PlatformReads/f.Seconds)
		g.Expect(f.Report.Passed()).To(BeTrue(), c.name)
		g.Expect(f.LoadCounters.PlatformWrites/f.Seconds).To(BeNumerically("<", maxWritesPerSecond), c.name)
		g.Expect(f.LoadCounters.PlatformReads/f.Seconds).To(BeNumerically("<", maxReadsPerSecond), c.name)
	}
}
