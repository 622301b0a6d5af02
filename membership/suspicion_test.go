package membership_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"fuchsiacross/model"
)

// The amounts of the takeover target.
const (
	leaseTime   = 1200 * time.Millisecond
	takeover    = 2400 * time.Millisecond
	acquireTime = 40 * time.Millisecond // two round trips of 10 ms and one turn of the daemon for each
)

var (
	lossy    = network{loss: 0.05, delay: 5 * time.Millisecond, jitter: 5 * time.Millisecond}
	lossyTCP = network{loss: 0.05, delay: 5 * time.Millisecond, jitter: 5 * time.Millisecond, retransmits: true}
)

var _ = Describe("suspicion", func() {
	// A live instance that is suspected has its workers asked for and its
	// partitions claimed, which costs a handover each time.
	It("does not flap under loss", func() {
		tests := []struct {
			name    string
			cell    []model.Instance
			network network
			minutes int
		}{
			{"7 instances, datagrams", cellOf(7), lossy, 20},
			{"7 instances, TCP", cellOf(7), lossyTCP, 20},
			{"7 instances in 4 data centres, TCP", small(), lossyTCP, 20},
			{"100 instances, datagrams", cellOf(100), lossy, 1},
			{"100 instances, TCP", cellOf(100), lossyTCP, 1},
		}
		for _, test := range tests {
			c := newCell(test.cell, test.network, 1)
			c.run(10 * time.Second)
			c.sent = 0
			suspicions := 0
			c.suspected = func(int, model.InstanceID) { suspicions++ }
			c.run(time.Duration(test.minutes) * time.Minute)
			rate := float64(c.sent) / float64(test.minutes*60*len(test.cell))
			fmt.Fprintf(GinkgoWriter, "%s: %d false suspicions in %d min, %.1f heartbeats/s from each instance\n",
				test.name, suspicions, test.minutes, rate)
			Expect(suspicions).To(BeZero(), test.name)
		}
	})

	// A takeover that starts late makes urgent callers wait longer than 2.4 s.
	It("detects a dead instance in time for a takeover", func() {
		tests := []struct {
			name    string
			cell    []model.Instance
			network network
			trials  int
			near    bool // only the peers of its data centre must be in time
		}{
			{"7 instances, datagrams", cellOf(7), lossy, 100, false},
			{"7 instances in 4 data centres, TCP", small(), lossyTCP, 100, false},
			{"100 instances, TCP", cellOf(100), lossyTCP, 4, true},
		}
		for _, test := range tests {
			var last, far, start time.Duration
			c := newCell(test.cell, test.network, 2)
			c.run(10 * time.Second)
			for trial := range test.trials {
				victim := trial % len(test.cell)
				c.run(time.Duration(c.random.IntN(1000)) * time.Millisecond)
				c.dead[victim] = true
				died := c.now
				detected := map[int]time.Duration{}
				c.suspected = func(by int, id model.InstanceID) {
					if id == test.cell[victim].ID {
						detected[by] = c.now.Sub(died)
					}
				}
				c.run(6 * time.Second)
				Expect(detected).To(HaveLen(len(test.cell)-1), test.name)
				slowest := time.Duration(0)
				for by, d := range detected {
					if test.near && test.cell[by].DataCentre != test.cell[victim].DataCentre {
						far = max(far, d)
						continue
					}
					slowest = max(slowest, d)
				}
				last = max(last, slowest)
				// The latest renewal was at most a third of the lease ago.
				expiry := leaseTime - time.Duration(c.random.Int64N(int64(leaseTime/3)))
				start = max(start, max(expiry, slowest)+acquireTime)
				c.dead[victim] = false
				c.run(4 * time.Second)
			}
			fmt.Fprintf(GinkgoWriter, "%s: %d trials, slowest detection %v (other data centres of a large cell %v), slowest first start %v\n",
				test.name, test.trials, last, far, start)
			Expect(start).To(BeNumerically("<=", takeover), test.name)
		}
	})

	// Two instances that cannot reach each other must not each take over what
	// the other holds while the rest of the cell reaches both.
	It("keeps both sides of one cut link live", func() {
		c := newCell(small(), lossy, 3)
		c.run(2 * time.Second)
		suspicions := 0
		c.suspected = func(int, model.InstanceID) { suspicions++ }
		c.cut[[2]int{0, 1}] = true
		c.run(time.Minute)
		c.cut[[2]int{1, 0}] = true
		c.run(time.Minute)
		Expect(suspicions).To(BeZero())
	})

	// Instances that are cut off together must be suspected by the others, and
	// each side must be whole again after the cut.
	It("splits and heals with a cut data centre", func() {
		cell := small()
		c := newCell(cell, lossy, 4)
		c.run(2 * time.Second)
		inside := func(i int) bool { return cell[i].DataCentre == cell[0].DataCentre }
		size := 0
		for i := range cell {
			if inside(i) {
				size++
			}
			for j := range cell {
				c.cut[[2]int{i, j}] = inside(i) != inside(j)
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
		clear(c.cut)
		c.run(3 * time.Second)
		for i, v := range c.views {
			Expect(v.ServingInstances()).To(HaveLen(len(cell)), string(cell[i].ID))
		}
	})
})

// small returns the 7 instances of today's cell in 4 data centres.
func small() []model.Instance {
	all := cellOf(7)
	for i := range all {
		all[i].DataCentre = model.DataCentre(fmt.Sprintf("centre-%d", i%4))
	}
	return all
}
