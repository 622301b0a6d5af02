package membership_test

import (
	"math/rand/v2"
	"slices"
	"time"

	"fuchsiacross/event"
	"fuchsiacross/membership"
	"fuchsiacross/model"
)

// network says what becomes of a heartbeat on its way.
type network struct {
	loss        float64
	delay       time.Duration // one way
	jitter      time.Duration // added, uniform from 0
	retransmits bool          // a lost packet arrives late, as over TCP, instead of never
}

// retransmission is the least time after which TCP repeats a lost packet; it
// doubles with each further loss.
const retransmission = 200 * time.Millisecond

type arrival struct {
	to   int
	beat event.Heartbeat
}

// cell runs the views of all instances in virtual time.
type cell struct {
	network   network
	random    *rand.Rand
	now       time.Time
	instances []model.Instance
	views     []*membership.View
	dead      []bool
	cut       map[[2]int]bool
	inFlight  map[int64][]arrival // by the millisecond of their arrival
	inOrder   map[[2]int]time.Time
	suspected func(by int, id model.InstanceID)
	sent      int
}

func newCell(instances []model.Instance, n network, seed uint64) *cell {
	c := &cell{
		network:   n,
		random:    rand.New(rand.NewPCG(seed, 0)),
		now:       start,
		instances: instances,
		dead:      make([]bool, len(instances)),
		cut:       map[[2]int]bool{},
		inFlight:  map[int64][]arrival{},
		inOrder:   map[[2]int]time.Time{},
		suspected: func(int, model.InstanceID) {},
	}
	for i := range instances {
		v := membership.New(instances[i], 1, seed+uint64(i))
		v.UpdateList(start, instances)
		c.views = append(c.views, v)
	}
	return c
}

// step is the time between two turns of an instance.
const step = 10 * time.Millisecond

// run lets the cell run for a time. The instances take their turns in different
// milliseconds, as their clocks are not in step.
func (c *cell) run(d time.Duration) {
	for end := c.now.Add(d); c.now.Before(end); c.now = c.now.Add(time.Millisecond) {
		for _, a := range c.inFlight[c.now.UnixMilli()] {
			if !c.dead[a.to] {
				c.views[a.to].ReceiveHeartbeat(c.now, a.beat)
			}
		}
		delete(c.inFlight, c.now.UnixMilli())
		ms := int(c.now.Sub(start).Milliseconds())
		for i, v := range c.views {
			if !c.dead[i] && (ms+7*i)%int(step.Milliseconds()) == 0 && ms > 17*i%200 {
				c.turn(i, v)
			}
		}
	}
}

func (c *cell) turn(i int, v *membership.View) {
	gone, _ := v.Check(c.now)
	for _, id := range gone {
		c.suspected(i, id)
	}
	targets := v.HeartbeatTargets(c.now)
	if len(targets) == 0 {
		return
	}
	beat := event.Heartbeat{
		Instance:    c.instances[i].ID,
		Incarnation: 1,
		DataCentre:  c.instances[i].DataCentre,
		HeardPeers:  v.HeardPeers(c.now),
	}
	for _, id := range targets {
		c.send(i, slices.IndexFunc(c.instances, func(m model.Instance) bool { return m.ID == id }), beat)
	}
}

func (c *cell) send(from, to int, beat event.Heartbeat) {
	c.sent++
	if c.cut[[2]int{from, to}] {
		return
	}
	delay := c.network.delay + time.Duration(c.random.Int64N(int64(c.network.jitter)+1))
	for wait := retransmission; c.random.Float64() < c.network.loss; wait *= 2 {
		if !c.network.retransmits {
			return
		}
		delay += wait
	}
	arrives := c.now.Add(delay)
	if c.network.retransmits {
		// Later frames of the link wait for the lost one.
		link := [2]int{from, to}
		if arrives.Before(c.inOrder[link]) {
			arrives = c.inOrder[link]
		}
		c.inOrder[link] = arrives
	}
	ms := arrives.UnixMilli() + 1 // arrivals are not early
	c.inFlight[ms] = append(c.inFlight[ms], arrival{to, beat})
}
