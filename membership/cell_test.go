package membership_test

import (
	"math/rand/v2"
	"slices"
	"time"

	"fuchsiacross/event"
	"fuchsiacross/membership"
	"fuchsiacross/model"
)

// network configures the simulated loss and delay of heartbeats.
type network struct {
	lossProbability  float64
	delay            time.Duration // one-way latency
	jitter           time.Duration // maximum additional delay, uniformly distributed from 0
	isRetransmitting bool          // a lost packet is delayed, as over TCP, instead of dropped
}

// minRetransmissionTimeout is the minimum time after which TCP retransmits a lost
// packet. It doubles with each further loss.
const minRetransmissionTimeout = 200 * time.Millisecond

type arrival struct {
	to        int
	heartbeat event.Heartbeat
}

// testCell simulates the membership views of all instances in virtual time.
type testCell struct {
	network         network
	random          *rand.Rand
	now             time.Time
	instances       []model.Instance
	views           []*membership.View
	isDead          []bool
	isCut           map[[2]int]bool
	inFlight        map[int64][]arrival // by arrival time in Unix milliseconds
	earliestArrival map[[2]int]time.Time
	onSuspected     func(by int, id model.InstanceID)
	sentHeartbeats  int
}

func newTestCell(instances []model.Instance, n network, seed uint64) *testCell {
	c := &testCell{
		network:         n,
		random:          rand.New(rand.NewPCG(seed, 0)),
		now:             startTime,
		instances:       instances,
		isDead:          make([]bool, len(instances)),
		isCut:           map[[2]int]bool{},
		inFlight:        map[int64][]arrival{},
		earliestArrival: map[[2]int]time.Time{},
		onSuspected:     func(int, model.InstanceID) {},
	}
	for i := range instances {
		v := membership.New(instances[i], 1, seed+uint64(i))
		v.UpdateList(startTime, instances)
		c.views = append(c.views, v)
	}
	return c
}

// stepInterval is the time between two steps of one instance.
const stepInterval = 10 * time.Millisecond

// run advances the simulation. The instances step in different milliseconds,
// because real processes are not synchronised.
func (c *testCell) run(d time.Duration) {
	for end := c.now.Add(d); c.now.Before(end); c.now = c.now.Add(time.Millisecond) {
		for _, a := range c.inFlight[c.now.UnixMilli()] {
			if !c.isDead[a.to] {
				c.views[a.to].ReceiveHeartbeat(c.now, a.heartbeat)
			}
		}
		delete(c.inFlight, c.now.UnixMilli())
		ms := int(c.now.Sub(startTime).Milliseconds())
		for i, v := range c.views {
			if !c.isDead[i] && (ms+7*i)%int(stepInterval.Milliseconds()) == 0 && ms > 17*i%200 {
				c.stepInstance(i, v)
			}
		}
	}
}

func (c *testCell) stepInstance(i int, v *membership.View) {
	suspected, _ := v.UpdateLiveness(c.now)
	for _, id := range suspected {
		c.onSuspected(i, id)
	}
	targets := v.HeartbeatTargets(c.now)
	if len(targets) == 0 {
		return
	}
	heartbeat := event.Heartbeat{
		Instance:    c.instances[i].ID,
		Incarnation: 1,
		DataCentre:  c.instances[i].DataCentre,
		HeardPeers:  v.HeardPeers(c.now),
	}
	for _, id := range targets {
		c.sendHeartbeat(i, slices.IndexFunc(c.instances, func(m model.Instance) bool { return m.ID == id }), heartbeat)
	}
}

func (c *testCell) sendHeartbeat(from, to int, heartbeat event.Heartbeat) {
	c.sentHeartbeats++
	if c.isCut[[2]int{from, to}] {
		return
	}
	delay := c.network.delay + time.Duration(c.random.Int64N(int64(c.network.jitter)+1))
	for wait := minRetransmissionTimeout; c.random.Float64() < c.network.lossProbability; wait *= 2 {
		if !c.network.isRetransmitting {
			return
		}
		delay += wait
	}
	arrives := c.now.Add(delay)
	if c.network.isRetransmitting {
		// Head-of-line blocking: later frames of the link wait for the lost one.
		link := [2]int{from, to}
		if arrives.Before(c.earliestArrival[link]) {
			arrives = c.earliestArrival[link]
		}
		c.earliestArrival[link] = arrives
	}
	ms := arrives.UnixMilli() + 1 // rounded up, so that nothing arrives early
	c.inFlight[ms] = append(c.inFlight[ms], arrival{to, heartbeat})
}
