package dispatch_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"fuchsiacross/dispatch"
)

// wideJobsWorkload returns the traffic of a shard whose offered work is above its capacity.
// Season jobs are gangs of one to 80 tasks that a third of the workers may run.
func wideJobsWorkload(rate float64) workload {
	l := largeShard()
	l.duration = 34 * time.Second
	l.rateFactor = func(string, time.Duration) float64 { return rate }
	return l
}

// capacityUse holds the mean fractions of a shard's processors that were free, reserved, set
// aside for tickets and in use while the load lasted.
type capacityUse struct {
	free, reserved, awaitingTickets, used float64
	reports                               int
}

func (u *capacityUse) record(c *dispatch.CapacityReport) {
	fraction := func(milliCPU int64) float64 { return float64(milliCPU) / float64(max(1, c.TotalMilliCPU)) }
	n := float64(u.reports)
	for _, m := range []struct {
		mean  *float64
		value float64
	}{
		{&u.free, fraction(c.FreeMilliCPU)},
		{&u.reserved, fraction(c.ReservedMilliCPU)},
		{&u.awaitingTickets, fraction(c.AwaitingTicketsMilliCPU)},
		{&u.used, fraction(c.TotalMilliCPU - c.FreeMilliCPU)},
	} {
		*m.mean = (*m.mean*n + m.value) / (n + 1)
	}
	u.reports++
}

// Of the widest season jobs less than half as many were served as of all.
func TestWideJobsStarveUnderOverload(t *testing.T) {
	const seeds, warmUp = 4, 5 * time.Second
	for _, c := range []struct {
		name string
		rate float64
	}{
		{"a quarter above a calm day", 1.25},
		{"0.6 above a calm day", 1.6},
		{"twice a calm day", 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			RegisterTestingT(t) // for the checks of replay
			l := wideJobsWorkload(c.rate)
			uses := make([]capacityUse, seeds)
			results := replaySeedsWith(l, seeds, func(n int, sim *simulation) {
				sim.onCapacity = func(r *dispatch.CapacityReport) {
					if at := sim.now.Sub(sim.start); at >= warmUp && at <= l.duration {
						uses[n].record(r)
					}
				}
			})
			served := sumResults(results).served["reconciliations"]
			for n, u := range uses {
				t.Logf("seed %d: season jobs served %s; of the processors %.2f free, %.2f reserved, %.2f set aside for tickets, %.2f used",
					n, results[n].served["reconciliations"], u.free, u.reserved, u.awaitingTickets, u.used)
			}
			t.Logf("all seeds: season jobs served %s", served)
			g.Expect(served.largestTenth).To(BeNumerically(">=", served.all/2), "the largest tenth")
			g.Expect(served.nextFifth).To(BeNumerically(">=", served.all/2), "the fifth below it")
		})
	}
}
