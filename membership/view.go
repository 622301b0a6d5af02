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

// View is one instance's view of the cell. It is not safe for concurrent use.
type View struct {
	self     model.Instance
	selfHash uint64
	life     model.Incarnation
	timing   Timing
	random   *rand.Rand
	draining bool

	members map[model.InstanceID]*member
	ordered []*member // by identifier
	remote  []*member // outside the data centre, in the order of the rotation
	usage   map[model.Team]model.Resources
	changed map[model.InstanceID]bool // live or not, since the latest Check

	listAt     time.Time
	listedAt   time.Time // when the list was first read
	listFailed bool
	nextBeat   time.Time
	cursor     int
	announce   bool

	generation uint64 // of everything that ownership and Newest follow from
	preference map[preferenceKey]model.InstanceID
	centres    map[model.DataCentre][]*member
	serving    []model.Instance // result of Live, nil when it is out of date
	newest     *member          // result of Newest
	newestOld  bool             // newest is out of date
	checkAt    time.Time        // no member falls silent before; zero when not known
}

// New returns the view of an instance that has heard nothing yet.
func New(self model.Instance, life model.Incarnation, seed uint64) *View {
	return &View{
		self:     self,
		selfHash: xxhash.Sum64String(string(self.ID)),
		life:     life,
		timing:   DefaultTiming(),
		random:   rand.New(rand.NewPCG(seed, uint64(life))),
		members:  map[model.InstanceID]*member{},
		usage:    map[model.Team]model.Resources{},
		changed:  map[model.InstanceID]bool{},

		generation: 1,
		preference: map[preferenceKey]model.InstanceID{},
		centres:    map[model.DataCentre][]*member{},
	}
}

// Generation returns a number that changes with every change that Owner, Home
// or Live may follow, so that their results can be kept until then.
func (v *View) Generation() uint64 { return v.generation }

// touch makes everything that follows from the members be computed again.
func (v *View) touch() {
	v.generation++
	clear(v.preference)
	v.serving = nil
	v.newestOld = true
	v.checkAt = time.Time{}
}

// SetTiming replaces the default timing. It is called before any event.
func (v *View) SetTiming(t Timing) { v.timing = t }

// Drain takes this instance out of every ownership for the rest of its life.
func (v *View) Drain() {
	v.draining = true
	v.touch()
	v.announce = true
}

// List takes over the platform's list, which lags. A listed instance is not
// live before it is heard, and an unlisted one stays live while it is heard.
func (v *View) UpdateList(now time.Time, instances []model.Instance) {
	v.listAt = now
	if v.listedAt.IsZero() {
		v.listedAt = now
	}
	v.listFailed = false
	for _, m := range v.ordered {
		m.listed = false
	}
	for _, i := range instances {
		if i.ID == v.self.ID {
			v.self.Weight = i.Weight
			v.self.Leaving = i.Leaving
			continue
		}
		m := v.member(i.ID)
		m.listed = true
		m.instance = i
	}
	v.arrange()
}

// ListFailed notes that the platform's list could not be read. The latest list
// stays in force.
func (v *View) ListFailed(time.Time) { v.listFailed = true }

// ListAge returns the time since the platform's list was read, or false when it
// was never read.
func (v *View) ListAge(now time.Time) (time.Duration, bool) {
	if v.listAt.IsZero() {
		return 0, false
	}
	return now.Sub(v.listAt), true
}

// ListStale reports whether the latest reading of the platform's list failed.
func (v *View) ListStale() bool { return v.listFailed }

// Heard takes in a peer's heartbeat. One of an earlier incarnation is ignored.
func (v *View) ReceiveHeartbeat(now time.Time, h event.Heartbeat) {
	if h.Instance == v.self.ID || h.Instance == "" {
		return
	}
	m, known := v.members[h.Instance]
	if known && m.heard && h.Incarnation < m.heartbeat.Incarnation {
		return
	}
	if !known {
		m = v.member(h.Instance)
	}
	if !m.listed && m.instance.DataCentre != h.DataCentre {
		m.instance.DataCentre = h.DataCentre
		known = false
	}
	if !known {
		v.arrange()
	}
	if m.live {
		v.charge(m, -1)
	}
	if !m.heard || h.Draining != m.heartbeat.Draining {
		v.touch()
	}
	if !m.linked || h.Revision != m.heartbeat.Revision {
		v.newestOld = true
	}
	m.heard = true
	m.linked = true
	m.heardAt = now
	m.heartbeat = h
	m.debit = [model.ClassCount]model.Resources{}
	if m.live {
		v.charge(m, 1)
	} else {
		v.setLive(m, true)
	}
}

// LinkDown notes that the link to a peer has closed. The peer is not sampled
// until it is heard again. It is not suspected for that alone, because a link
// also closes when it is replaced.
func (v *View) LinkDown(_ time.Time, peer model.InstanceID) {
	if m, ok := v.members[peer]; ok {
		m.linked = false
		v.newestOld = true
	}
}

// Check returns the instances that have become suspected and those that have
// become live since the latest call, both in ascending order.
//
// It is called after every event. While this instance itself hears every member
// that was ever heard, none can fall silent before the earliest time limit, and
// the members are not gone through until then: with 100 peers that took more
// time than a placement.
func (v *View) Check(now time.Time) (suspected, returned []model.InstanceID) {
	if len(v.changed) == 0 && now.Before(v.checkAt) {
		return nil, nil
	}
	v.checkAt = v.nextCheck(now)
	for _, m := range v.ordered {
		if m.heard {
			v.setLive(m, v.audible(now, m))
		}
	}
	for id, live := range v.changed {
		if live {
			returned = append(returned, id)
		} else {
			suspected = append(suspected, id)
		}
	}
	clear(v.changed)
	slices.Sort(suspected)
	slices.Sort(returned)
	v.forget(now)
	return suspected, returned
}

// nextCheck returns the earliest time at which a member may fall silent or be
// forgotten, or the zero time when that can be at any event.
func (v *View) nextCheck(now time.Time) time.Time {
	next := now.Add(milliseconds(v.timing.SuspicionTimeoutMilliseconds))
	for _, m := range v.ordered {
		switch {
		case m.heard && v.fresh(now, m):
			if until := m.heardAt.Add(v.silence(m)); until.Before(next) {
				next = until
			}
		case m.heard || !m.listed:
			return time.Time{}
		}
	}
	return next
}

// audible reports whether a member is heard, by this instance or by a peer that
// this instance hears.
func (v *View) audible(now time.Time, m *member) bool {
	if v.fresh(now, m) {
		return true
	}
	for _, witness := range v.ordered {
		if witness != m && witness.sees(m.instance.ID) && v.fresh(now, witness) {
			return true
		}
	}
	return false
}

// fresh reports whether this instance itself hears a member. A remote member is
// allowed the longer time between its heartbeats.
func (v *View) fresh(now time.Time, m *member) bool {
	return m.heard && now.Sub(m.heardAt) < v.silence(m)
}

// silence returns the time after which a member is no longer heard.
func (v *View) silence(m *member) time.Duration {
	limit := milliseconds(v.timing.SuspicionTimeoutMilliseconds)
	if m.instance.DataCentre != v.self.DataCentre {
		limit += time.Duration(v.rounds()-1) * milliseconds(v.timing.HeartbeatIntervalMilliseconds)
	}
	return limit
}

// setLive changes whether a member is live, and the team usage with it.
func (v *View) setLive(m *member, live bool) {
	if m.live == live {
		return
	}
	m.live = live
	checkAt := v.checkAt
	v.touch()
	v.checkAt = checkAt
	id := m.instance.ID
	if _, pending := v.changed[id]; pending {
		delete(v.changed, id)
	} else {
		v.changed[id] = live
	}
	if live {
		v.charge(m, 1)
	} else {
		v.charge(m, -1)
	}
}

// charge adds a member's team usage to the totals, sign times.
func (v *View) charge(m *member, sign int64) {
	for _, u := range m.heartbeat.Usage {
		sum := v.usage[u.Team].Add(u.Used.Multiply(sign))
		if sum.IsZero() {
			delete(v.usage, u.Team)
		} else {
			v.usage[u.Team] = sum
		}
	}
}

// member returns the member with an identifier and creates it when it is new.
func (v *View) member(id model.InstanceID) *member {
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

// forget drops members that are neither listed nor live, those that were heard
// after a delay so that a late heartbeat of an earlier incarnation is still
// recognised.
func (v *View) forget(now time.Time) {
	limit := milliseconds(v.timing.ForgetTimeoutMilliseconds)
	dropped := false
	for _, m := range v.ordered {
		if !m.listed && !m.live && now.Sub(m.heardAt) > limit {
			delete(v.members, m.instance.ID)
			dropped = true
		}
	}
	if dropped {
		v.arrange()
	}
}

// arrange rebuilds the two orders of the members.
func (v *View) arrange() {
	v.touch()
	v.ordered = v.ordered[:0]
	v.remote = v.remote[:0]
	clear(v.centres)
	for _, m := range v.members {
		v.ordered = append(v.ordered, m)
		v.centres[m.instance.DataCentre] = append(v.centres[m.instance.DataCentre], m)
		if m.instance.DataCentre != v.self.DataCentre {
			v.remote = append(v.remote, m)
		}
	}
	slices.SortFunc(v.ordered, func(a, b *member) int {
		return cmp.Compare(a.instance.ID, b.instance.ID)
	})
	// The order differs between instances, so that a peer hears the instances
	// of one data centre at different times.
	slices.SortFunc(v.remote, func(a, b *member) int {
		return cmp.Or(
			cmp.Compare(mix(a.hash^v.selfHash), mix(b.hash^v.selfHash)),
			cmp.Compare(a.instance.ID, b.instance.ID),
		)
	})
}
