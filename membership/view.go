package membership

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"fuchsiacross/event"
	"fuchsiacross/model"
)

// View is one instance's view of the cell's membership. It is not safe for
// concurrent use.
type View struct {
	self        model.Instance
	selfHash    uint64
	incarnation model.Incarnation
	timing      Timing
	random      *rand.Rand
	draining    bool

	members         map[model.InstanceID]*member
	ordered         []*member // by identifier
	remotePeers     []*member // outside the data centre, in rotation order
	peerUsage       map[model.Team]model.Resources
	livenessChanges map[model.InstanceID]bool // new liveness of members that changed since the latest UpdateLiveness

	lastListAt      time.Time
	firstListAt     time.Time // when the list was first read
	listStale       bool
	nextHeartbeatAt time.Time
	remoteCursor    int
	broadcastNext   bool

	generation     uint64 // incremented when ownership may have changed
	preferredCache map[preferenceKey]model.InstanceID
	byDataCentre   map[model.DataCentre][]*member
	serving        []model.Instance // cached result of ServingInstances; nil if stale
	newest         *member          // cached source of NewestRevision
	newestStale    bool             // whether newest is stale
	nextCheckAt    time.Time        // no member times out before this time; zero if not known
}

// New returns the view of an instance that has received no heartbeat and no list
// yet.
func New(self model.Instance, incarnation model.Incarnation, seed uint64) *View {
	return &View{
		self:            self,
		selfHash:        xxhash.Sum64String(string(self.ID)),
		incarnation:     incarnation,
		timing:          DefaultTiming(),
		random:          rand.New(rand.NewPCG(seed, uint64(incarnation))),
		members:         map[model.InstanceID]*member{},
		peerUsage:       map[model.Team]model.Resources{},
		livenessChanges: map[model.InstanceID]bool{},

		generation:     1,
		preferredCache: map[preferenceKey]model.InstanceID{},
		byDataCentre:   map[model.DataCentre][]*member{},
	}
}

// Generation returns a number that changes whenever the results of
// PreferredOwner, PreferredHolder or ServingInstances may change. Callers can
// cache those results until then.
func (v *View) Generation() uint64 { return v.generation }

// invalidateCaches discards everything that is derived from the members.
func (v *View) invalidateCaches() {
	v.generation++
	clear(v.preferredCache)
	v.serving = nil
	v.newestStale = true
	v.nextCheckAt = time.Time{}
}

// SetTiming replaces the default timing. It must be called before any event.
func (v *View) SetTiming(t Timing) { v.timing = t }

// Drain permanently excludes this instance from owning workers and partitions.
func (v *View) Drain() {
	v.draining = true
	v.invalidateCaches()
	v.broadcastNext = true
}

// UpdateList stores the platform's list of instances, which lags behind. A listed
// instance is not live before its first heartbeat, and an unlisted one stays live
// as long as its heartbeats arrive.
func (v *View) UpdateList(now time.Time, instances []model.Instance) {
	v.lastListAt = now
	if v.firstListAt.IsZero() {
		v.firstListAt = now
	}
	v.listStale = false
	for _, m := range v.ordered {
		m.listed = false
	}
	for _, i := range instances {
		if i.ID == v.self.ID {
			v.self.Weight = i.Weight
			v.self.Leaving = i.Leaving
			continue
		}
		m := v.memberFor(i.ID)
		m.listed = true
		m.instance = i
	}
	v.rebuildIndexes()
}

// MarkListStale records that the platform's list could not be read. The latest
// list stays in use.
func (v *View) MarkListStale(time.Time) { v.listStale = true }

// PlatformListAge returns the time since the platform's list was last read, or
// false if it was never read.
func (v *View) PlatformListAge(now time.Time) (time.Duration, bool) {
	if v.lastListAt.IsZero() {
		return 0, false
	}
	return now.Sub(v.lastListAt), true
}

// IsListStale reports whether the latest read of the platform's list failed.
func (v *View) IsListStale() bool { return v.listStale }

// ReceiveHeartbeat processes a peer's heartbeat. Heartbeats of an earlier
// incarnation are ignored.
func (v *View) ReceiveHeartbeat(now time.Time, h event.Heartbeat) {
	if h.Instance == v.self.ID || h.Instance == "" {
		return
	}
	m, known := v.members[h.Instance]
	if known && m.everHeard && h.Incarnation < m.heartbeat.Incarnation {
		return
	}
	if !known {
		m = v.memberFor(h.Instance)
	}
	if !m.listed && m.instance.DataCentre != h.DataCentre {
		m.instance.DataCentre = h.DataCentre
		known = false
	}
	if !known {
		v.rebuildIndexes()
	}
	if m.live {
		v.addUsage(m, -1)
	}
	if !m.everHeard || h.Draining != m.heartbeat.Draining {
		v.invalidateCaches()
	}
	if !m.linkUp || h.Revision != m.heartbeat.Revision {
		v.newestStale = true
	}
	m.everHeard = true
	m.linkUp = true
	m.lastHeartbeatAt = now
	m.heartbeat = h
	m.forwarded = [model.ClassCount]model.Resources{}
	if m.live {
		v.addUsage(m, 1)
	} else {
		v.setLive(m, true)
	}
}

// MarkLinkDown records that the link to a peer has closed. SamplePeer skips the
// peer until its next heartbeat. The peer is not suspected for this reason alone,
// because a link also closes when a new one replaces it.
func (v *View) MarkLinkDown(_ time.Time, peer model.InstanceID) {
	if m, ok := v.members[peer]; ok {
		m.linkUp = false
		v.newestStale = true
	}
}

// UpdateLiveness updates which members are live. It returns the instances that
// have become suspected and those that have become live since the previous call,
// both in ascending order.
//
// It is called after every event. While all members that ever sent a heartbeat
// are heard directly, none can time out before the earliest suspicion timeout, so
// the members are not scanned until then. With 100 peers, a scan after each event
// took longer than a placement.
func (v *View) UpdateLiveness(now time.Time) (suspected, returned []model.InstanceID) {
	if len(v.livenessChanges) == 0 && now.Before(v.nextCheckAt) {
		return nil, nil
	}
	v.nextCheckAt = v.earliestNextCheck(now)
	for _, m := range v.ordered {
		if m.everHeard {
			v.setLive(m, v.isHeard(now, m))
		}
	}
	for id, live := range v.livenessChanges {
		if live {
			returned = append(returned, id)
		} else {
			suspected = append(suspected, id)
		}
	}
	clear(v.livenessChanges)
	slices.Sort(suspected)
	slices.Sort(returned)
	v.removeForgotten(now)
	return suspected, returned
}

// earliestNextCheck returns the earliest time at which a member may time out or
// be removed, or the zero time if that may happen at any event.
func (v *View) earliestNextCheck(now time.Time) time.Time {
	next := now.Add(milliseconds(v.timing.SuspicionTimeoutMilliseconds))
	for _, m := range v.ordered {
		switch {
		case m.everHeard && v.isHeardDirectly(now, m):
			if timeoutAt := m.lastHeartbeatAt.Add(v.suspicionTimeout(m)); timeoutAt.Before(next) {
				next = timeoutAt
			}
		case m.everHeard || !m.listed:
			return time.Time{}
		}
	}
	return next
}

// isHeard reports whether a member's heartbeats reach this instance, or a peer
// that this instance hears directly.
func (v *View) isHeard(now time.Time, m *member) bool {
	if v.isHeardDirectly(now, m) {
		return true
	}
	for _, peer := range v.ordered {
		if peer != m && peer.hears(m.instance.ID) && v.isHeardDirectly(now, peer) {
			return true
		}
	}
	return false
}

// isHeardDirectly reports whether a heartbeat of the member has reached this
// instance within the member's suspicion timeout.
func (v *View) isHeardDirectly(now time.Time, m *member) bool {
	return m.everHeard && now.Sub(m.lastHeartbeatAt) < v.suspicionTimeout(m)
}

// suspicionTimeout returns the time without a heartbeat after which a member is no
// longer heard. It is longer for a remote member, which sends to this instance
// only once per rotation.
func (v *View) suspicionTimeout(m *member) time.Duration {
	limit := milliseconds(v.timing.SuspicionTimeoutMilliseconds)
	if m.instance.DataCentre != v.self.DataCentre {
		limit += time.Duration(v.remoteRounds()-1) * milliseconds(v.timing.HeartbeatIntervalMilliseconds)
	}
	return limit
}

// setLive sets whether a member is live and adds its team usage to the totals or
// subtracts it. The next check time stays valid.
func (v *View) setLive(m *member, live bool) {
	if m.live == live {
		return
	}
	m.live = live
	checkAt := v.nextCheckAt
	v.invalidateCaches()
	v.nextCheckAt = checkAt
	id := m.instance.ID
	if _, pending := v.livenessChanges[id]; pending {
		delete(v.livenessChanges, id)
	} else {
		v.livenessChanges[id] = live
	}
	if live {
		v.addUsage(m, 1)
	} else {
		v.addUsage(m, -1)
	}
}

// addUsage adds a member's team usage, multiplied by sign, to the totals.
func (v *View) addUsage(m *member, sign int64) {
	for _, u := range m.heartbeat.Usage {
		sum := v.peerUsage[u.Team].Add(u.Used.Multiply(sign))
		if sum.IsZero() {
			delete(v.peerUsage, u.Team)
		} else {
			v.peerUsage[u.Team] = sum
		}
	}
}

// memberFor returns the member with an identifier and creates it if necessary.
func (v *View) memberFor(id model.InstanceID) *member {
	m, ok := v.members[id]
	if !ok {
		m = &member{
			instance: model.Instance{ID: id, Weight: 1},
			hash:     xxhash.Sum64String(string(id)),
		}
		v.members[id] = m
	}
	return m
}

// removeForgotten removes members that are neither listed nor live. Members that
// have sent a heartbeat are kept for ForgetTimeoutMilliseconds, so that a late
// heartbeat of an earlier incarnation is still recognised.
func (v *View) removeForgotten(now time.Time) {
	limit := milliseconds(v.timing.ForgetTimeoutMilliseconds)
	dropped := false
	for _, m := range v.ordered {
		if !m.listed && !m.live && now.Sub(m.lastHeartbeatAt) > limit {
			delete(v.members, m.instance.ID)
			dropped = true
		}
	}
	if dropped {
		v.rebuildIndexes()
	}
}

// rebuildIndexes rebuilds the sorted lists of members and the lists by data
// centre.
func (v *View) rebuildIndexes() {
	v.invalidateCaches()
	v.ordered = v.ordered[:0]
	v.remotePeers = v.remotePeers[:0]
	clear(v.byDataCentre)
	for _, m := range v.members {
		v.ordered = append(v.ordered, m)
		v.byDataCentre[m.instance.DataCentre] = append(v.byDataCentre[m.instance.DataCentre], m)
		if m.instance.DataCentre != v.self.DataCentre {
			v.remotePeers = append(v.remotePeers, m)
		}
	}
	slices.SortFunc(v.ordered, func(a, b *member) int {
		return cmp.Compare(a.instance.ID, b.instance.ID)
	})
	// The rotation order differs between instances, so that the instances of one
	// data centre send to a remote peer at different times.
	slices.SortFunc(v.remotePeers, func(a, b *member) int {
		return cmp.Or(
			cmp.Compare(mix64(a.hash^v.selfHash), mix64(b.hash^v.selfHash)),
			cmp.Compare(a.instance.ID, b.instance.ID),
		)
	})
}
