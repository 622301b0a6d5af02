package dispatch_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"fuchsiacross/dispatch"
)

// The tasks of a lost worker have to wait for the end of its lease and for a later
// confirmation, which a store outage delays, but no longer.
func TestTasksOfLostWorkerWaitTooLong(t *testing.T) {
	const (
		longestLease = 4740 * time.Millisecond // with the margin for a slow clock
		reaction     = 300 * time.Millisecond  // for a sweep, a confirmation, a pass and the order
		outageBegins = time.Second             // after the loss
		simulated    = 20 * time.Second
	)
	tests := []struct {
		name    string
		outage  time.Duration
		longest time.Duration
	}{
		{"sound store", 0, longestLease + reaction},
		{"store outage within the lease", 3 * time.Second, longestLease + reaction},
		{"store outage beyond the lease", 4500 * time.Millisecond, outageBegins + 4500*time.Millisecond + reaction},
		{"store outage beyond the confirmation", 8 * time.Second, outageBegins + 8*time.Second + reaction},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			g := NewWithT(t)
			sim := newBusyWorker(g, 8*time.Second)
			lost := sim.now
			var restarted time.Time
			sim.started = func(s dispatch.StartRun) (bool, time.Duration) {
				if restarted.IsZero() && s.Task.Job == id(1) {
					restarted = sim.now
				}
				return true, 0
			}
			sim.workers["w00"].unreachable = true
			if test.outage > 0 {
				sim.schedule(outageBegins, func() { sim.storeDown = true })
				sim.schedule(outageBegins+test.outage, func() { sim.storeDown = false })
			}
			sim.advance(simulated)
			g.Expect(restarted).NotTo(BeZero())
			wait := restarted.Sub(lost)
			t.Logf("the tasks waited %v", wait)
			g.Expect(wait).To(BeNumerically("<=", test.longest))
			expectCompletedOnce(g, sim)
		})
	}
}
