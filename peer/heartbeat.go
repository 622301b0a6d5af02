package peer

import (
	"slices"
	"time"

	"fuchsiacross/event"
	"fuchsiacross/model"
)

// wireHeartbeat is the difference of a heartbeat from the previous one on the
// link, or from the zero heartbeat for the first one. Absent fields are
// unchanged. NewTeams appends names to the table of teams of the link; Usage
// refers to teams by their index in this table.
type wireHeartbeat struct {
	Revision        *uint64            `cbor:"1,keyasint,omitempty"`
	Draining        *bool              `cbor:"2,keyasint,omitempty"`
	Workers         *uint32            `cbor:"3,keyasint,omitempty"`
	TotalCapacity   *wireResourcesMiB  `cbor:"4,keyasint,omitempty"`
	FreeCapacity    []wireFreeCapacity `cbor:"5,keyasint,omitempty"`
	NewTeams        []string           `cbor:"6,keyasint,omitempty"`
	Usage           []wireTeamUsage    `cbor:"7,keyasint,omitempty"`
	Partitions      *[]uint32          `cbor:"8,keyasint,omitempty"`
	HeardPeers      *[]string          `cbor:"9,keyasint,omitempty"`
	LargestCapacity *wireResourcesKiB  `cbor:"10,keyasint,omitempty"`
}

// wireResourcesMiB is a sum of resources over several workers, with memory in
// MiB.
type wireResourcesMiB struct {
	_            struct{} `cbor:",toarray"`
	MilliCPU     int64
	MemoryMiB    int64
	Accelerators int64
	Slots        int64
}

// wireResourcesKiB is an amount of resources on one worker, with memory in KiB:
// a task that needs a whole worker must still fit after the rounding.
type wireResourcesKiB struct {
	_            struct{} `cbor:",toarray"`
	MilliCPU     int64
	MemoryKiB    int64
	Accelerators int64
	Slots        int64
}

type wireFreeCapacity struct {
	_              struct{} `cbor:",toarray"`
	Class          uint8
	Free           *wireResourcesMiB
	Largest        *wireResourcesKiB
	QueuedRequests *uint32
}

type wireTeamUsage struct {
	_         struct{} `cbor:",toarray"`
	TeamIndex uint32
	Used      wireResourcesMiB
}

const (
	kib = 1 << 10
	mib = 1 << 20
)

// In a large cell, heartbeats use a deadband: a changed value is sent only if it
// differs from the value sent last by more than 1/divisor of that, if one of them
// is zero, or if the last one was sent at least a refresh interval ago. The deadband is
// 1/16 for capacity and 1/8 for usage: sums over 100 instances with independent
// errors of 1/8 are off by about 1 percent.
const (
	capacityDeadbandDivisor = 16
	usageDeadbandDivisor    = 8
	capacityRefreshInterval = 5 * time.Second
	usageRefreshInterval    = time.Minute
	// These limit the team usages in each heartbeat after the first one. If 79
	// teams change at once, all peers know the usages after 2 s in a small cell.
	// In a large cell, the peers in the same data centre know them after 4 s, and
	// 93 peers in other data centres after 48 s. With a limit of 16 in a small
	// cell, heartbeats took 17 KB/s in both directions at 714 starts/s.
	maxTeamUsagesSmallCell = 8
	maxTeamUsagesLargeCell = 4
	// maxTeams limits the table of teams of a link.
	maxTeams = 1 << 12
)

func resourcesToMiBFloor(r model.Resources) wireResourcesMiB {
	return wireResourcesMiB{MilliCPU: r.MilliCPU, MemoryMiB: r.MemoryBytes / mib, Accelerators: r.Accelerators, Slots: r.Slots}
}

// resourcesToMiBCeil rounds memory up, so that usage is never understated.
func resourcesToMiBCeil(r model.Resources) wireResourcesMiB {
	r.MemoryBytes += mib - 1
	return resourcesToMiBFloor(r)
}

func resourcesToKiBFloor(r model.Resources) wireResourcesKiB {
	return wireResourcesKiB{MilliCPU: r.MilliCPU, MemoryKiB: r.MemoryBytes / kib, Accelerators: r.Accelerators, Slots: r.Slots}
}

// outsideDeadband reports whether current differs from the value sent last by
// more than 1/divisor of that, or whether exactly one of them is zero.
func outsideDeadband(sent, current, divisor int64) bool {
	if (sent == 0) != (current == 0) {
		return true
	}
	return max(sent-current, current-sent)*divisor > sent
}

func (w wireResourcesMiB) outsideDeadband(current wireResourcesMiB, divisor int64) bool {
	return outsideDeadband(w.MilliCPU, current.MilliCPU, divisor) ||
		outsideDeadband(w.MemoryMiB, current.MemoryMiB, divisor) ||
		outsideDeadband(w.Accelerators, current.Accelerators, divisor) ||
		outsideDeadband(w.Slots, current.Slots, divisor)
}

func (w wireResourcesKiB) outsideDeadband(current wireResourcesKiB, divisor int64) bool {
	return outsideDeadband(w.MilliCPU, current.MilliCPU, divisor) ||
		outsideDeadband(w.MemoryKiB, current.MemoryKiB, divisor) ||
		outsideDeadband(w.Accelerators, current.Accelerators, divisor) ||
		outsideDeadband(w.Slots, current.Slots, divisor)
}

// sentCapacity is the capacity sent last for one class.
type sentCapacity struct {
	free           wireResourcesMiB
	largest        wireResourcesKiB
	queuedRequests uint32
	sentAt         time.Time
}

// sentUsage is the usage sent last for one team.
type sentUsage struct {
	used    wireResourcesMiB
	current wireResourcesMiB // in the heartbeat that is being encoded
	sentAt  time.Time
}

// heartbeatEncoder encodes heartbeats as differences. Its fields hold the values
// that the other side of the link knows.
type heartbeatEncoder struct {
	now       time.Time
	largeCell bool // applies the deadbands and the limits of a large cell

	sentFirst       bool
	revision        model.Revision
	draining        bool
	workers         uint32
	totalCapacity   wireResourcesMiB
	largestCapacity wireResourcesKiB
	freeCapacity    [model.ClassCount]sentCapacity
	teamIndexes     map[model.Team]uint32
	usage           []sentUsage // indexed like the table of teams
	usageCursor     int         // index of the usage that was checked last
	partitions      []model.Partition
	heardPeers      []model.InstanceID
}

// encode returns the difference between h and the values that the other side
// knows, and records it as delivered.
func (e *heartbeatEncoder) encode(h *event.Heartbeat) *wireHeartbeat {
	w := &wireHeartbeat{
		Revision: changedValueToWire(&e.revision, h.Revision, func(r model.Revision) uint64 { return uint64(r) }),
		Draining: changedValueToWire(&e.draining, h.Draining, identity[bool]),
		Workers:  changedValueToWire(&e.workers, h.Workers, identity[uint32]),
	}
	if total := resourcesToMiBFloor(h.TotalCapacity); e.shouldSend(e.totalCapacity != total, e.totalCapacity.outsideDeadband(total, capacityDeadbandDivisor), e.freeCapacity[0].sentAt, capacityRefreshInterval) {
		e.totalCapacity = total
		w.TotalCapacity = &total
	}
	if largest := resourcesToKiBFloor(h.LargestCapacity); e.largestCapacity != largest {
		e.largestCapacity = largest
		w.LargestCapacity = &largest
	}
	for i := range h.FreeCapacity {
		if c, ok := e.encodeFreeCapacity(i, &h.FreeCapacity[i]); ok {
			w.FreeCapacity = append(w.FreeCapacity, c)
		}
	}
	e.encodeUsage(w, h.Usage)
	if !slices.Equal(e.partitions, h.Partitions) {
		e.partitions = h.Partitions
		w.Partitions = changedListToWire(h.Partitions, func(p model.Partition) uint32 { return uint32(p) })
	}
	if !slices.Equal(e.heardPeers, h.HeardPeers) {
		e.heardPeers = h.HeardPeers
		w.HeardPeers = changedListToWire(h.HeardPeers, func(id model.InstanceID) string { return string(id) })
	}
	e.sentFirst = true
	return w
}

// shouldSend decides whether to send a value, given whether it differs from the
// value sent last, whether it is outside the deadband, and when it was sent
// last.
func (e *heartbeatEncoder) shouldSend(differs, outside bool, sentAt time.Time, refreshInterval time.Duration) bool {
	if !differs {
		return false
	}
	return !e.largeCell || outside || e.now.Sub(sentAt) >= refreshInterval
}

// encodeFreeCapacity returns the changed values of the class with index i, and
// false if nothing is to be sent.
func (e *heartbeatEncoder) encodeFreeCapacity(i int, c *event.FreeCapacity) (wireFreeCapacity, bool) {
	sent := &e.freeCapacity[i]
	w := wireFreeCapacity{Class: uint8(i + 1)}
	free, largest := resourcesToMiBFloor(c.Free), resourcesToKiBFloor(c.Largest)
	if e.shouldSend(sent.free != free, sent.free.outsideDeadband(free, capacityDeadbandDivisor), sent.sentAt, capacityRefreshInterval) {
		sent.free = free
		w.Free = &free
	}
	if e.shouldSend(sent.largest != largest, sent.largest.outsideDeadband(largest, capacityDeadbandDivisor), sent.sentAt, capacityRefreshInterval) {
		sent.largest = largest
		w.Largest = &largest
	}
	outside := outsideDeadband(int64(sent.queuedRequests), int64(c.QueuedRequests), capacityDeadbandDivisor)
	if e.shouldSend(sent.queuedRequests != c.QueuedRequests, outside, sent.sentAt, capacityRefreshInterval) {
		sent.queuedRequests = c.QueuedRequests
		w.QueuedRequests = &c.QueuedRequests
	}
	if w.Free == nil && w.Largest == nil && w.QueuedRequests == nil {
		return w, false
	}
	sent.sentAt = e.now
	return w, true
}

// encodeUsage adds new teams and the usages that are due, up to the limit. The
// next heartbeat continues with the team after the one that was checked last.
func (e *heartbeatEncoder) encodeUsage(w *wireHeartbeat, usage []event.TeamUsage) {
	for i := range e.usage {
		e.usage[i].current = wireResourcesMiB{}
	}
	for _, u := range usage {
		index, known := e.teamIndexes[u.Team]
		if !known {
			if len(e.usage) == maxTeams {
				continue
			}
			if e.teamIndexes == nil {
				e.teamIndexes = map[model.Team]uint32{}
			}
			index = uint32(len(e.usage))
			e.teamIndexes[u.Team] = index
			e.usage = append(e.usage, sentUsage{})
			w.NewTeams = append(w.NewTeams, string(u.Team))
		}
		e.usage[index].current = resourcesToMiBCeil(u.Used)
	}
	limit := e.maxTeamUsages()
	for range len(e.usage) {
		if len(w.Usage) == limit {
			return
		}
		e.usageCursor = (e.usageCursor + 1) % len(e.usage)
		u := &e.usage[e.usageCursor]
		if e.shouldSend(u.used != u.current, u.used.outsideDeadband(u.current, usageDeadbandDivisor), u.sentAt, usageRefreshInterval) {
			u.used, u.sentAt = u.current, e.now
			w.Usage = append(w.Usage, wireTeamUsage{TeamIndex: uint32(e.usageCursor), Used: u.current})
		}
	}
}

// maxTeamUsages returns the maximum number of team usages in the heartbeat.
func (e *heartbeatEncoder) maxTeamUsages() int {
	switch {
	case !e.sentFirst:
		return len(e.usage)
	case e.largeCell:
		return maxTeamUsagesLargeCell
	}
	return maxTeamUsagesSmallCell
}

func identity[T any](v T) T { return v }

// changedListToWire returns the wire form of a list that has changed. It is not
// nil for an empty list, since nil means that the list is unchanged.
func changedListToWire[A, W any](in []A, convert func(A) W) *[]W {
	out := mapSlice(in, convert)
	if out == nil {
		out = []W{}
	}
	return &out
}

// changedValueToWire returns nil if current equals the value sent last.
// Otherwise it records current as sent and returns its wire form.
func changedValueToWire[T comparable, W any](sent *T, current T, convert func(T) W) *W {
	if *sent == current {
		return nil
	}
	*sent = current
	w := convert(current)
	return &w
}

// heartbeatDecoder reconstructs the heartbeats of the other side of a link.
type heartbeatDecoder struct {
	latest event.Heartbeat
	teams  []model.Team
	used   []model.Resources // indexed like teams
}

func newHeartbeatDecoder(from model.Instance, incarnation model.Incarnation) heartbeatDecoder {
	return heartbeatDecoder{latest: event.Heartbeat{
		Instance:    from.ID,
		Incarnation: incarnation,
		DataCentre:  from.DataCentre,
	}}
}

// decode applies a difference and returns the full heartbeat. It shares slices
// with earlier heartbeats and never modifies them.
func (d *heartbeatDecoder) decode(w *wireHeartbeat) (event.Message, error) {
	var c fieldChecker
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
	if w.TotalCapacity != nil {
		h.TotalCapacity = c.resourcesFromMiB(*w.TotalCapacity)
	}
	if w.LargestCapacity != nil {
		h.LargestCapacity = c.resourcesFromKiB(*w.LargestCapacity)
	}
	for i := range w.FreeCapacity {
		d.applyFreeCapacity(&c, &w.FreeCapacity[i])
	}
	d.applyUsage(&c, w)
	if w.Partitions != nil {
		h.Partitions = mapSlice(*w.Partitions, func(p uint32) model.Partition { return model.Partition(p) })
	}
	if w.HeardPeers != nil {
		h.HeardPeers = identifiersFromWire[model.InstanceID](&c, "seen", *w.HeardPeers)
	}
	return *h, c.err
}

func (d *heartbeatDecoder) applyFreeCapacity(c *fieldChecker, w *wireFreeCapacity) {
	c.checkEnum("class", w.Class, uint8(model.ClassUrgent), uint8(model.ClassBackground))
	if c.err != nil {
		return
	}
	capacity := &d.latest.FreeCapacity[w.Class-1]
	if w.Free != nil {
		capacity.Free = c.resourcesFromMiB(*w.Free)
	}
	if w.Largest != nil {
		capacity.Largest = c.resourcesFromKiB(*w.Largest)
	}
	if w.QueuedRequests != nil {
		capacity.QueuedRequests = *w.QueuedRequests
	}
}

func (d *heartbeatDecoder) applyUsage(c *fieldChecker, w *wireHeartbeat) {
	if len(d.teams)+len(w.NewTeams) > maxTeams {
		c.fail("%d teams are above the limit of %d", len(d.teams)+len(w.NewTeams), maxTeams)
		return
	}
	for _, team := range w.NewTeams {
		c.checkIdentifier("team", team)
		d.teams = append(d.teams, model.Team(team))
		d.used = append(d.used, model.Resources{})
	}
	for _, u := range w.Usage {
		if int(u.TeamIndex) >= len(d.teams) {
			c.fail("team number %d is not in the table of %d", u.TeamIndex, len(d.teams))
			return
		}
		d.used[u.TeamIndex] = c.resourcesFromMiB(u.Used)
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

func (c *fieldChecker) resourcesFromMiB(w wireResourcesMiB) model.Resources {
	return c.resourcesFromWire(wireResources{
		MilliCPU:     w.MilliCPU,
		MemoryBytes:  c.memoryToBytes(w.MemoryMiB, mib),
		Accelerators: w.Accelerators,
		Slots:        w.Slots,
	})
}

func (c *fieldChecker) resourcesFromKiB(w wireResourcesKiB) model.Resources {
	return c.resourcesFromWire(wireResources{
		MilliCPU:     w.MilliCPU,
		MemoryBytes:  c.memoryToBytes(w.MemoryKiB, kib),
		Accelerators: w.Accelerators,
		Slots:        w.Slots,
	})
}

// memoryToBytes returns value times unit, and checks the range before the
// product can overflow.
func (c *fieldChecker) memoryToBytes(value, unit int64) int64 {
	if value < 0 || value > maxResourceAmount/unit {
		c.fail("memory %d is outside 0 to %d units of %d bytes", value, maxResourceAmount/unit, unit)
		return 0
	}
	return value * unit
}
