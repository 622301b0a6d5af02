package membership

import (
	"slices"

	"fuchsiacross/event"
	"fuchsiacross/model"
)

// Live returns the instances that may own workers and partitions, this one
// included, in ascending order: those that are live and do not drain. The result
// must not be modified.
func (v *View) ServingInstances() []model.Instance {
	if v.serving == nil {
		v.serving = v.listServing()
	}
	return v.serving
}

func (v *View) listServing() []model.Instance {
	live := make([]model.Instance, 0, len(v.ordered)+1)
	self := v.serves()
	for _, m := range v.ordered {
		if self && m.instance.ID > v.self.ID {
			live = append(live, v.self)
			self = false
		}
		if m.serves() {
			live = append(live, m.instance)
		}
	}
	if self {
		live = append(live, v.self)
	}
	return live
}

// InOrder returns the identifiers of Live in ascending order, the order in
// which a gang reserves.
func (v *View) ServingIDs() []model.InstanceID {
	live := v.ServingInstances()
	ids := make([]model.InstanceID, len(live))
	for i := range live {
		ids[i] = live[i].ID
	}
	return ids
}

// IsLive reports whether an instance is this one or is heard. A draining
// instance is live until it falls silent: it still answers for its work.
func (v *View) IsLive(id model.InstanceID) bool {
	if id == v.self.ID {
		return true
	}
	m, ok := v.members[id]
	return ok && m.live
}

// IsDraining reports whether an instance is known to leave.
func (v *View) IsDraining(id model.InstanceID) bool {
	if id == v.self.ID {
		return !v.serves()
	}
	m, ok := v.members[id]
	return ok && m.draining()
}

// serves reports whether this instance may own workers and partitions.
func (v *View) serves() bool { return !v.draining && !v.self.Leaving }

// Newest returns the highest document revision that a live peer has in force
// and a peer to fetch it from, or zero. Among several peers it takes a linked
// one of the data centre; the hash spreads the fetches over them.
func (v *View) Newest() (model.Revision, model.InstanceID) {
	if v.newestOld {
		v.newest = v.findNewest()
		v.newestOld = false
	}
	if v.newest == nil {
		return 0, ""
	}
	return v.newest.heartbeat.Revision, v.newest.instance.ID
}

func (v *View) findNewest() *member {
	var best *member
	for _, m := range v.ordered {
		if m.live && m.heartbeat.Revision > 0 && (best == nil || v.betterSource(m, best)) {
			best = m
		}
	}
	return best
}

// betterSource reports whether a is a better peer to fetch the document from
// than b.
func (v *View) betterSource(a, b *member) bool {
	if a.heartbeat.Revision != b.heartbeat.Revision {
		return a.heartbeat.Revision > b.heartbeat.Revision
	}
	if a.linked != b.linked {
		return a.linked
	}
	near := a.instance.DataCentre == v.self.DataCentre
	if near != (b.instance.DataCentre == v.self.DataCentre) {
		return near
	}
	return mix(a.hash^v.selfHash) > mix(b.hash^v.selfHash)
}

// PartitionHolder returns the live peer that claims a partition. When several
// claim it, after a claim that one of them has not noticed yet, the preferred
// one is returned.
func (v *View) PartitionHolder(p model.Partition) (model.InstanceID, bool) {
	var holder model.InstanceID
	claims := 0
	for _, m := range v.ordered {
		if m.holds(p) {
			claims++
			if holder == "" {
				holder = m.instance.ID
			}
		}
	}
	if claims > 1 {
		home, ok := v.members[v.PreferredHolder(p)]
		if ok && home.holds(p) {
			return home.instance.ID, true
		}
	}
	return holder, claims > 0
}

// TeamUsage returns what a team's tasks take on the workers of all live peers.
func (v *View) PeerTeamUsage(team model.Team) model.Resources { return v.usage[team] }

// Heartbeat returns the latest heartbeat of a live peer.
func (v *View) Heartbeat(id model.InstanceID) (event.Heartbeat, bool) {
	m, ok := v.members[id]
	if !ok || !m.live {
		return event.Heartbeat{}, false
	}
	return m.heartbeat, true
}

// Peers returns what is known of every other instance, in ascending order.
func (v *View) Peers() []event.InstanceView {
	views := make([]event.InstanceView, 0, len(v.ordered))
	for _, m := range v.ordered {
		views = append(views, event.InstanceView{
			Instance:        m.instance,
			Live:            m.live,
			Draining:        m.draining(),
			Revision:        m.heartbeat.Revision,
			Workers:         int(m.heartbeat.Workers),
			LastHeartbeatAt: m.heardAt,
		})
	}
	return views
}

// Known returns the identifiers of all other instances that are listed or
// heard, in ascending order.
func (v *View) Known() []model.InstanceID {
	ids := make([]model.InstanceID, 0, len(v.ordered))
	for _, m := range v.ordered {
		ids = append(ids, m.instance.ID)
	}
	return slices.Clip(ids)
}
