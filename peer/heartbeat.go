package peer

import (
	"slices"
	"time"

	"fuchsiacross/event"
	"fuchsiacross/model"
)

// wireHeartbeat is the difference of a heartbeat from the previous one of the
// link, or from the zero heartbeat for the first. Absent fields are unchanged.
// Teams adds names to the link's table of teams; Usage refers to the table.
type wireHeartbeat struct {
	Revision   *uint64        `cbor:"1,keyasint,omitempty"`
	Draining   *bool          `cbor:"2,keyasint,omitempty"`
	Workers    *uint32        `cbor:"3,keyasint,omitempty"`
	Total      *wireSum       `cbor:"4,keyasint,omitempty"`
	Capacity   []wireCapacity `cbor:"5,keyasint,omitempty"`
	Teams      []string       `cbor:"6,keyasint,omitempty"`
	Usage      []wireUsage    `cbor:"7,keyasint,omitempty"`
	Partitions *[]uint32      `cbor:"8,keyasint,omitempty"`
	Seen       *[]string      `cbor:"9,keyasint,omitempty"`
	Largest    *wireLargest   `cbor:"10,keyasint,omitempty"`
}

// wireSum is an amount over several workers, with memory in MiB.
type wireSum struct {
	_            struct{} `cbor:",toarray"`
	MilliCPU     int64
	MemoryMiB    int64
	Accelerators int64
	Slots        int64
}

// wireLargest is an amount on one worker, with memory in KiB: a task that needs
// a whole worker must still fit after the rounding.
type wireLargest struct {
	_            struct{} `cbor:",toarray"`
	MilliCPU     int64
	MemoryKiB    int64
	Accelerators int64
	Slots        int64
}

type wireCapacity struct {
	_       struct{} `cbor:",toarray"`
	Class   uint8
	Free    *wireSum
	Largest *wireLargest
	Waiting *uint32
}

type wireUsage struct {
	_    struct{} `cbor:",toarray"`
	Team uint32
	Used wireSum
}

const (
	kib = 1 << 10
	mib = 1 << 20
)

// In a large cell, a value is sent when it has left its band around the value
// sent last, or when it differs at all and is older than its refresh time. The
// band of capacity is 1/16 and that of usage 1/8: sums over 100 instances with
// independent errors of 1/8 are off by about 1 percent.
const (
	capacityBand    = 16
	usageBand       = 8
	capacityRefresh = 5 * time.Second
	usageRefresh    = time.Minute
	// The number of teams in one heartbeat is bounded after the first. When 79
	// teams change at once, the peers get all of them in 2 s in a small cell; in
	// a large one the peers of the data centre get them in 4 s and the others,
	// with 93 of them, in 48 s. With 16 teams in a small cell, heartbeats took
	// 17 KB/s in both directions at 714 starts/s.
	usageSmall = 8
	usageLarge = 4
	// maxTeams bounds the table of teams of a link.
	maxTeams = 1 << 12
)

func sumDown(r model.Resources) wireSum {
	return wireSum{MilliCPU: r.MilliCPU, MemoryMiB: r.MemoryBytes / mib, Accelerators: r.Accelerators, Slots: r.Slots}
}

// sumUp rounds memory up, so that usage is never understated.
func sumUp(r model.Resources) wireSum {
	r.MemoryBytes += mib - 1
	return sumDown(r)
}

func largestWire(r model.Resources) wireLargest {
	return wireLargest{MilliCPU: r.MilliCPU, MemoryKiB: r.MemoryBytes / kib, Accelerators: r.Accelerators, Slots: r.Slots}
}

// outside reports whether an amount has left the band of 1/band around old.
func outside(old, current, band int64) bool {
	if (old == 0) != (current == 0) {
		return true
	}
	return max(old-current, current-old)*band > old
}

func (w wireSum) outside(current wireSum, band int64) bool {
	return outside(w.MilliCPU, current.MilliCPU, band) ||
		outside(w.MemoryMiB, current.MemoryMiB, band) ||
		outside(w.Accelerators, current.Accelerators, band) ||
		outside(w.Slots, current.Slots, band)
}

func (w wireLargest) outside(current wireLargest, band int64) bool {
	return outside(w.MilliCPU, current.MilliCPU, band) ||
		outside(w.MemoryKiB, current.MemoryKiB, band) ||
		outside(w.Accelerators, current.Accelerators, band) ||
		outside(w.Slots, current.Slots, band)
}

// sentCapacity is what was sent last for one class.
type sentCapacity struct {
	free    wireSum
	largest wireLargest
	waiting uint32
	at      time.Time
}

// sentUsage is what was sent last for one team.
type sentUsage struct {
	used    wireSum
	current wireSum // of the heartbeat that is being encoded
	at      time.Time
}

// heartbeatEncoder keeps what the other side of a link knows.
type heartbeatEncoder struct {
	now   time.Time
	loose bool // the cell is large: bands and bounds apply

	started    bool
	revision   model.Revision
	draining   bool
	workers    uint32
	total      wireSum
	largest    wireLargest
	capacity   [model.ClassCount]sentCapacity
	teams      map[model.Team]uint32
	usage      []sentUsage // indexed by the table of teams
	cursor     int
	partitions []model.Partition
	seen       []model.InstanceID
}

// encode returns the difference of h from what the other side knows, and
// assumes that it will be delivered.
func (e *heartbeatEncoder) encode(h *event.Heartbeat) *wireHeartbeat {
	w := &wireHeartbeat{
		Revision: difference(&e.revision, h.Revision, func(r model.Revision) uint64 { return uint64(r) }),
		Draining: difference(&e.draining, h.Draining, same[bool]),
		Workers:  difference(&e.workers, h.Workers, same[uint32]),
	}
	if total := sumDown(h.TotalCapacity); e.send(e.total != total, e.total.outside(total, capacityBand), e.capacity[0].at, capacityRefresh) {
		e.total = total
		w.Total = &total
	}
	if largest := largestWire(h.LargestCapacity); e.largest != largest {
		e.largest = largest
		w.Largest = &largest
	}
	for i := range h.FreeCapacity {
		if c, ok := e.capacityOf(i, &h.FreeCapacity[i]); ok {
			w.Capacity = append(w.Capacity, c)
		}
	}
	e.encodeUsage(w, h.Usage)
	if !slices.Equal(e.partitions, h.Partitions) {
		e.partitions = h.Partitions
		w.Partitions = list(h.Partitions, func(p model.Partition) uint32 { return uint32(p) })
	}
	if !slices.Equal(e.seen, h.HeardPeers) {
		e.seen = h.HeardPeers
		w.Seen = list(h.HeardPeers, func(id model.InstanceID) string { return string(id) })
	}
	e.started = true
	return w
}

// send decides on a value that differs or not, is outside its band or not, and
// was sent last at a time.
func (e *heartbeatEncoder) send(differs, outside bool, at time.Time, refresh time.Duration) bool {
	if !differs {
		return false
	}
	return !e.loose || outside || e.now.Sub(at) >= refresh
}

// capacityOf returns what has changed for one class.
func (e *heartbeatEncoder) capacityOf(i int, c *event.FreeCapacity) (wireCapacity, bool) {
	sent := &e.capacity[i]
	w := wireCapacity{Class: uint8(i + 1)}
	free, largest := sumDown(c.Free), largestWire(c.Largest)
	if e.send(sent.free != free, sent.free.outside(free, capacityBand), sent.at, capacityRefresh) {
		sent.free = free
		w.Free = &free
	}
	if e.send(sent.largest != largest, sent.largest.outside(largest, capacityBand), sent.at, capacityRefresh) {
		sent.largest = largest
		w.Largest = &largest
	}
	waits := outside(int64(sent.waiting), int64(c.QueuedRequests), capacityBand)
	if e.send(sent.waiting != c.QueuedRequests, waits, sent.at, capacityRefresh) {
		sent.waiting = c.QueuedRequests
		w.Waiting = &c.QueuedRequests
	}
	if w.Free == nil && w.Largest == nil && w.Waiting == nil {
		return w, false
	}
	sent.at = e.now
	return w, true
}

// encodeUsage adds the teams whose usage is due, in rotation.
func (e *heartbeatEncoder) encodeUsage(w *wireHeartbeat, usage []event.TeamUsage) {
	for i := range e.usage {
		e.usage[i].current = wireSum{}
	}
	for _, u := range usage {
		index, known := e.teams[u.Team]
		if !known {
			if len(e.usage) == maxTeams {
				continue
			}
			if e.teams == nil {
				e.teams = map[model.Team]uint32{}
			}
			index = uint32(len(e.usage))
			e.teams[u.Team] = index
			e.usage = append(e.usage, sentUsage{})
			w.Teams = append(w.Teams, string(u.Team))
		}
		e.usage[index].current = sumUp(u.Used)
	}
	limit := e.usageLimit()
	for range len(e.usage) {
		if len(w.Usage) == limit {
			return
		}
		e.cursor = (e.cursor + 1) % len(e.usage)
		u := &e.usage[e.cursor]
		if e.send(u.used != u.current, u.used.outside(u.current, usageBand), u.at, usageRefresh) {
			u.used, u.at = u.current, e.now
			w.Usage = append(w.Usage, wireUsage{Team: uint32(e.cursor), Used: u.current})
		}
	}
}

// usageLimit returns the number of teams that the heartbeat may name.
func (e *heartbeatEncoder) usageLimit() int {
	switch {
	case !e.started:
		return len(e.usage)
	case e.loose:
		return usageLarge
	}
	return usageSmall
}

func same[T any](v T) T { return v }

// list returns the wire form of a list that has changed. An empty list must not
// be nil, which would mean that it is unchanged.
func list[A, W any](in []A, wire func(A) W) *[]W {
	out := mapped(in, wire)
	if out == nil {
		out = []W{}
	}
	return &out
}

// difference returns the wire form of current when it differs from the value
// sent last, and remembers it.
func difference[T comparable, W any](sent *T, current T, wire func(T) W) *W {
	if *sent == current {
		return nil
	}
	*sent = current
	w := wire(current)
	return &w
}

// heartbeatDecoder rebuilds the heartbeats of the other side of a link.
type heartbeatDecoder struct {
	latest event.Heartbeat
	teams  []model.Team
	used   []model.Resources // indexed by the table of teams
}

func newHeartbeatDecoder(from model.Instance, life model.Incarnation) heartbeatDecoder {
	return heartbeatDecoder{latest: event.Heartbeat{
		Instance:    from.ID,
		Incarnation: life,
		DataCentre:  from.DataCentre,
	}}
}

// decode applies a difference and returns the whole heartbeat. Slices of
// earlier heartbeats are shared and never modified.
func (d *heartbeatDecoder) decode(w *wireHeartbeat) (event.Message, error) {
	var c checker
	h := &d.latest
	if w.Revision != nil {
		h.Revision = model.Revision(*w.Revision)
	}
	if w.Draining != nil {
		h.Draining = *w.Draining
	}
	if w.Workers != nil {
		h.Workers = *w.Workers
	}
	if w.Total != nil {
		h.TotalCapacity = c.sum(*w.Total)
	}
	if w.Largest != nil {
		h.LargestCapacity = c.largest(*w.Largest)
	}
	for i := range w.Capacity {
		d.capacity(&c, &w.Capacity[i])
	}
	d.usage(&c, w)
	if w.Partitions != nil {
		h.Partitions = mapped(*w.Partitions, func(p uint32) model.Partition { return model.Partition(p) })
	}
	if w.Seen != nil {
		h.HeardPeers = named[model.InstanceID](&c, "seen", *w.Seen)
	}
	return *h, c.err
}

func (d *heartbeatDecoder) capacity(c *checker, w *wireCapacity) {
	c.enumeration("class", w.Class, uint8(model.ClassUrgent), uint8(model.ClassBackground))
	if c.err != nil {
		return
	}
	capacity := &d.latest.FreeCapacity[w.Class-1]
	if w.Free != nil {
		capacity.Free = c.sum(*w.Free)
	}
	if w.Largest != nil {
		capacity.Largest = c.largest(*w.Largest)
	}
	if w.Waiting != nil {
		capacity.QueuedRequests = *w.Waiting
	}
}

func (d *heartbeatDecoder) usage(c *checker, w *wireHeartbeat) {
	if len(d.teams)+len(w.Teams) > maxTeams {
		c.fail("%d teams are above the limit of %d", len(d.teams)+len(w.Teams), maxTeams)
		return
	}
	for _, team := range w.Teams {
		c.identifier("team", team)
		d.teams = append(d.teams, model.Team(team))
		d.used = append(d.used, model.Resources{})
	}
	for _, u := range w.Usage {
		if int(u.Team) >= len(d.teams) {
			c.fail("team number %d is not in the table of %d", u.Team, len(d.teams))
			return
		}
		d.used[u.Team] = c.sum(u.Used)
	}
	if len(w.Usage) == 0 {
		return
	}
	teams := make([]event.TeamUsage, 0, len(d.teams))
	for i, used := range d.used {
		if !used.IsZero() {
			teams = append(teams, event.TeamUsage{Team: d.teams[i], Used: used})
		}
	}
	d.latest.Usage = teams
}

func (c *checker) sum(w wireSum) model.Resources {
	return c.resources(wireResources{
		MilliCPU:     w.MilliCPU,
		MemoryBytes:  c.scaled(w.MemoryMiB, mib),
		Accelerators: w.Accelerators,
		Slots:        w.Slots,
	})
}

func (c *checker) largest(w wireLargest) model.Resources {
	return c.resources(wireResources{
		MilliCPU:     w.MilliCPU,
		MemoryBytes:  c.scaled(w.MemoryKiB, kib),
		Accelerators: w.Accelerators,
		Slots:        w.Slots,
	})
}

// scaled returns value times unit, checked before the product can overflow.
func (c *checker) scaled(value, unit int64) int64 {
	if value < 0 || value > maxAmount/unit {
		c.fail("memory %d is outside 0 to %d units of %d bytes", value, maxAmount/unit, unit)
		return 0
	}
	return value * unit
}
