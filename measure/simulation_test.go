package measure_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"fuchsiacross/document"
	"fuchsiacross/measure"
	"fuchsiacross/model"
)

// Targets of section 1.9 of the design.
const (
	maxEditDelay             = time.Second
	maxEditDelayWithoutStore = 4 * time.Second
	maxTakeoverDuration      = 2400 * time.Millisecond
)

func documentWithRevision(n model.Revision) *document.Document {
	d := *document.Default()
	d.Revision = n
	d.Teams = []document.TeamSection{{Team: "gates", Workloads: []document.Workload{{
		Name: "moisture_check", Kind: model.KindRequest, Class: model.ClassUrgent, Idempotent: true, MaxQueued: 10_000,
	}}}}
	return &d
}

// measureEditDelay advances the simulation until all instances have a document
// revision in force, and returns the time that took. It stops after limit.
func measureEditDelay(c *measure.Simulation, instances int, wanted model.Revision, limit time.Duration) time.Duration {
	startedAt := c.Now()
	for c.Now().Sub(startedAt) < limit {
		behind := false
		for i := range instances {
			behind = behind || c.Reducer(i).Document().Revision < wanted
		}
		if !behind {
			break
		}
		c.Advance(time.Millisecond)
	}
	return c.Now().Sub(startedAt)
}

// newLossySimulation returns a simulation after 3 s of virtual time, with a
// one-way delay of 5 ms between data centres and 5% packet loss.
func newLossySimulation(instances, workers int, seed uint64) *measure.Simulation {
	c := measure.NewSimulation(measure.SimulationOptions{
		Instances: instances, Workers: workers, LinkDelayMilliseconds: 5, PacketLossFraction: 0.05, Seed: seed, InitialDocument: documentWithRevision(1),
	})
	c.Advance(3 * time.Second)
	return c
}

func percentile(samples []time.Duration, fraction float64) time.Duration {
	GinkgoHelper()
	slices.Sort(samples)
	Expect(samples).NotTo(BeEmpty())
	return samples[min(len(samples)-1, int(fraction*float64(len(samples))))]
}

var _ = Describe("Simulation", func() {
	// Guards against edits that reach an instance late because they wait for the
	// next poll of the store or for a lost heartbeat. The delay of an edit is that
	// of the slowest instance.
	It("has 99% of edits in force on all instances within 1 s", func() {
		var times []time.Duration
		for seed := range uint64(10) {
			c := newLossySimulation(7, 50, seed)
			for n := range 10 {
				wanted := model.Revision(n + 2)
				c.CommitDocument(int(seed+uint64(n))%7, documentWithRevision(wanted))
				times = append(times, measureEditDelay(c, 7, wanted, 5*time.Second))
				c.Advance(300 * time.Millisecond)
			}
		}
		AddReportEntry("edit", fmt.Sprintf("median %v, p99 %v, slowest %v of %d edits",
			percentile(times, 0.5), percentile(times, 0.99), percentile(times, 1), len(times)))
		Expect(percentile(times, 0.99)).To(BeNumerically("<", maxEditDelay))
	})

	// The instance that committed an edit can die before it notifies a peer, so the
	// edit is only in the store. An instance that cannot reach the store must get
	// it from a peer.
	It("has an edit in force within the limit on an instance that cannot reach the store", func() {
		var times []time.Duration
		for seed := range uint64(20) {
			c := newLossySimulation(7, 50, seed)
			c.DisconnectStore(int(seed) % 7)
			c.CommitDocument(-1, documentWithRevision(2))
			times = append(times, measureEditDelay(c, 7, 2, 8*time.Second))
		}
		AddReportEntry("edit, cut off", fmt.Sprintf("median %v, slowest %v", percentile(times, 0.5), percentile(times, 1)))
		Expect(percentile(times, 1)).To(BeNumerically("<", maxEditDelayWithoutStore))
	})

	// Guards against placement that prefers a leaving worker for its free capacity
	// and starts work on it until the worker disappears.
	It("starts no task on a worker later than 2 s after it was marked as leaving", func() {
		c := newLossySimulation(7, 50, 1)
		generator := newLoadGenerator(c, 7, 1)
		generator.submitFor(time.Second, 500)
		for i := range 10 {
			c.MarkWorkerLeaving(i)
			generator.submitFor(300*time.Millisecond, 500)
		}
		generator.submitFor(3*time.Second, 500)
		Expect(c.Counts.Starts).To(BeNumerically(">", 2000))
		Expect(c.Counts.LateStartsOnLeavingWorkers).To(BeZero())
	})

	// Urgent work for the workers of a dead instance waits until the instance is
	// suspected, the lease expires and the next holder requests it. The second
	// lease duration is the one that the capacity page proposes.
	It("takes over all workers of a dead instance within the limit", func() {
		var times []time.Duration
		for seed := range uint64(24) {
			c := measure.NewSimulation(measure.SimulationOptions{
				Instances: 7, Workers: 50, LinkDelayMilliseconds: 5, PacketLossFraction: 0.05, Seed: seed, InitialDocument: documentWithRevision(1),
				LeaseMilliseconds: []int64{1200, 1800}[seed%2],
			})
			c.Advance(3 * time.Second)
			dead := int(seed) % 7
			held := c.WorkersHeldBy(dead)
			if len(held) == 0 {
				continue
			}
			c.KillInstance(dead)
			killed := c.Now()
			for len(c.WorkersHeldBy(dead)) == len(held) && c.Now().Sub(killed) < 10*time.Second {
				c.Advance(time.Millisecond)
			}
			first := c.Now().Sub(killed)
			for len(c.WorkersHeldBy(dead)) > 0 && c.Now().Sub(killed) < 10*time.Second {
				c.Advance(time.Millisecond)
			}
			AddReportEntry(fmt.Sprint("seed ", seed), fmt.Sprintf("first lease after %v, last of %d after %v", first, len(held), c.Now().Sub(killed)))
			times = append(times, c.Now().Sub(killed))
		}
		Expect(percentile(times, 1)).To(BeNumerically("<", maxTakeoverDuration))
	})

	// Urgent requests that queue behind other work, or that are forwarded several
	// times in search of free capacity, wait longer than four one-way delays.
	It("starts 99% of urgent requests within four one-way delays at the peak rate", func() {
		const oneWay = 5 * time.Millisecond
		c := measure.NewSimulation(measure.SimulationOptions{Instances: 7, Workers: 50, LinkDelayMilliseconds: 5, Seed: 1, InitialDocument: documentWithRevision(1)})
		c.Advance(3 * time.Second)
		generator := newLoadGenerator(c, 7, 1)
		generator.submitFor(2*time.Second, 5000)
		c.Advance(time.Second)
		waits := generator.startDelays()
		AddReportEntry("peak", fmt.Sprintf("%d starts, wait median %v p99 %v; %.3f messages between instances for each start",
			len(waits), percentile(waits, 0.5), percentile(waits, 0.99), float64(c.Counts.PeerMessages)/float64(c.Counts.Starts)))
		Expect(len(waits)).To(Equal(generator.submittedCount))
		Expect(percentile(waits, 0.99)).To(BeNumerically("<=", 4*oneWay))
	})
})

// loadGenerator submits urgent requests at random instances.
type loadGenerator struct {
	simulation     *measure.Simulation
	instances      int
	random         *rand.Rand
	submittedCount int
	atMostOnce     bool // submit requests that are not idempotent
	submittedAt    map[model.RequestID]time.Time
}

func newLoadGenerator(c *measure.Simulation, instances int, seed uint64) *loadGenerator {
	return &loadGenerator{simulation: c, instances: instances, random: rand.New(rand.NewPCG(seed, 2)), submittedAt: map[model.RequestID]time.Time{}}
}

// submitFor submits requests for d, at random times with a mean of rate requests
// per second.
func (f *loadGenerator) submitFor(d time.Duration, rate float64) {
	for end := f.simulation.Now().Add(d); f.simulation.Now().Before(end); {
		r := newUrgentRequest(fmt.Sprintf("check-%07d", f.submittedCount), f.simulation.Now())
		r.Idempotent = !f.atMostOnce
		f.submittedCount++
		f.submittedAt[r.ID] = f.simulation.Now()
		f.simulation.Submit(f.random.IntN(f.instances), r)
		f.simulation.Advance(time.Duration(f.random.ExpFloat64() / rate * float64(time.Second)))
	}
}

// startDelays returns the time from submission to start of each started request.
func (f *loadGenerator) startDelays() []time.Duration {
	var waits []time.Duration
	for id, at := range f.submittedAt {
		if s := f.simulation.StartTime(id); !s.IsZero() {
			waits = append(waits, s.Sub(at))
		}
	}
	return waits
}
