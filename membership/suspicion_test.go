package membership_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"fuchsiacross/model"
)

// The timing of the takeover target: urgent work starts within 2.4 s of a failure.
const (
	leaseDuration   = 1200 * time.Millisecond
	takeoverTarget  = 2400 * time.Millisecond
	acquireDuration = 40 * time.Millisecond // two round trips of 10 ms, each with one 10 ms step of the daemon
)

var (
	lossyDatagrams = network{lossProbability: 0.05, delay: 5 * time.Millisecond, jitter: 5 * time.Millisecond}
	lossyTCP       = network{lossProbability: 0.05, delay: 5 * time.Millisecond, jitter: 5 * time.Millisecond, isRetransmitting: true}
)

var _ = Describe("suspicion", func() {
	// When a live instance is suspected, other instances request its workers and
	// claim its partitions, which costs a handover each time.
	It("raises no false suspicion under packet loss", func() {
		tests := []struct {
			name    string
			cell    []model.Instance
			network network
			minutes int
		}{
			{"7 instances, datagrams", cellOf(7), lossyDatagrams, 20},
			{"7 instances, TCP", cellOf(7), lossyTCP, 20},
			{"7 instances in 4 data centres, TCP", cellOfToday(), lossyTCP, 20},
			{"100 instances, datagrams", cellOf(100), lossyDatagrams, 1},
			{"100 instances, TCP", cellOf(100), lossyTCP, 1},
		}
		for _, test := range tests {
			c := newTestCell(test.cell, test.network, 1)
			c.run(10 * time.Second)
			c.sentHeartbeats = 0
			suspicions := 0
			c.onSuspected = func(int, model.InstanceID) { suspicions++ }
			c.run(time.Duration(test.minutes) * time.Minute)
			rate := float64(c.sentHeartbeats) / float64(test.minutes*60*len(test.cell))
			fmt.Fprintf(GinkgoWriter, "%s: %d false suspicions in %d min, %.1f heartbeats/s from each instance\n",
				test.name, suspicions, test.minutes, rate)
			Expect(suspicions).To(BeZero(), test.name)
		}
	})

	// If a takeover starts late, urgent callers wait longer than 2.4 s.
	It("detects a dead instance in time for a takeover", func() {
		tests := []struct {
			name      string
			cell      []model.Instance
			network   network
			trials    int
			localOnly bool // only the peers of the victim's data centre must detect it in time
		}{
			{"7 instances, datagrams", cellOf(7), lossyDatagrams, 100, false},
			{"7 instances in 4 data centres, TCP", cellOfToday(), lossyTCP, 100, false},
			{"100 instances, TCP", cellOf(100), lossyTCP, 4, true},
		}
		for _, test := range tests {
			var slowestLocal, slowestRemote, slowestStart time.Duration
			c := newTestCell(test.cell, test.network, 2)
			c.run(10 * time.Second)
			for trial := range test.trials {
				victim := trial % len(test.cell)
				c.run(time.Duration(c.random.IntN(1000)) * time.Millisecond)
				c.isDead[victim] = true
				killedAt := c.now
				detected := map[int]time.Duration{}
				c.onSuspected = func(by int, id model.InstanceID) {
					if id == test.cell[victim].ID {
						detected[by] = c.now.Sub(killedAt)
					}
				}
				c.run(6 * time.Second)
				Expect(detected).To(HaveLen(len(test.cell)-1), test.name)
				slowest := time.Duration(0)
				for by, d := range detected {
					if test.localOnly && test.cell[by].DataCentre != test.cell[victim].DataCentre {
						slowestRemote = max(slowestRemote, d)
						continue
					}
					slowest = max(slowest, d)
				}
				slowestLocal = max(slowestLocal, slowest)
				// The lease was last renewed at most a third of its duration ago.
				expiry := leaseDuration - time.Duration(c.random.Int64N(int64(leaseDuration/3)))
				slowestStart = max(slowestStart, max(expiry, slowest)+acquireDuration)
				c.isDead[victim] = false
				c.run(4 * time.Second)
			}
			fmt.Fprintf(GinkgoWriter, "%s: %d trials, slowest detection %v (other data centres of a large cell %v), slowest first start %v\n",
				test.name, test.trials, slowestLocal, slowestRemote, slowestStart)
			Expect(slowestStart).To(BeNumerically("<=", takeoverTarget), test.name)
		}
	})

	// While the rest of the cell reaches both, two instances that cannot reach each
	// other must not take over each other's workers and partitions.
	It("keeps both sides of one cut link live", func() {
		c := newTestCell(cellOfToday(), lossyDatagrams, 3)
		c.run(2 * time.Second)
		suspicions := 0
		c.onSuspected = func(int, model.InstanceID) { suspicions++ }
		c.isCut[[2]int{0, 1}] = true
		c.run(time.Minute)
		c.isCut[[2]int{1, 0}] = true
		c.run(time.Minute)
		Expect(suspicions).To(BeZero())
	})

	// Instances that are partitioned off together must be suspected by the others.
	// After the partition heals, all instances must see all others as live again.
	It("splits and rejoins when a data centre is cut off", func() {
		cell := cellOfToday()
		c := newTestCell(cell, lossyDatagrams, 4)
		c.run(2 * time.Second)
		inside := func(i int) bool { return cell[i].DataCentre == cell[0].DataCentre }
		size := 0
		for i := range cell {
			if inside(i) {
				size++
			}
			for j := range cell {
				c.isCut[[2]int{i, j}] = inside(i) != inside(j)
			}
		}
		c.run(3 * time.Second)
		for i, v := range c.views {
			want := len(cell) - size
			if inside(i) {
				want = size
			}
			Expect(v.ServingInstances()).To(HaveLen(want), string(cell[i].ID))
		}
		clear(c.isCut)
		c.run(3 * time.Second)
		for i, v := range c.views {
			Expect(v.ServingInstances()).To(HaveLen(len(cell)), string(cell[i].ID))
		}
	})
})

// cellOfToday returns the 7 instances of the current cell in 4 data centres.
func cellOfToday() []model.Instance {
	all := cellOf(7)
	for i := range all {
		all[i].DataCentre = model.DataCentre(fmt.Sprintf("centre-%d", i%4))
	}
	return all
}
