package membership

import (
	"slices"

	"fuchsiacross/event"
	"fuchsiacross/model"
)

// ServingInstances returns the instances that may own workers and partitions, in
// ascending order of identifier: those that are live and not draining, including
// this one. The caller must not modify the result.
func (v *View) ServingInstances() []model.Instance {
	if v.serving == nil {
		v.serving = v.computeServing()
	}
	return v.serving
}

func (v *View) computeServing() []model.Instance {
	serving := make([]model.Instance, 0, len(v.ordered)+1)
	self := v.isServing()
	for _, m := range v.ordered {
		if self && m.instance.ID > v.self.ID {
			serving = append(serving, v.self)
			self = false
		}
		if m.isServing() {
			serving = append(serving, m.instance)
		}
	}
	if self {
		serving = append(serving, v.self)
	}
	return serving
}

// ServingIDs returns the identifiers of ServingInstances in ascending order. A
// gang reserves resources at the instances in this order.
func (v *View) ServingIDs() []model.InstanceID {
	serving := v.ServingInstances()
	ids := make([]model.InstanceID, len(serving))
	for i := range serving {
		ids[i] = serving[i].ID
	}
	return ids
}

// IsLive reports whether an instance is live; this instance always is. A draining
// instance is live until its heartbeats stop, because it still answers for its
// work.
func (v *View) IsLive(id model.InstanceID) bool {
	if id == v.self.ID {
		return true
	}
	m, ok := v.members[id]
	return ok && m.live
}

// IsDraining reports whether an instance is known to be leaving.
func (v *View) IsDraining(id model.InstanceID) bool {
	if id == v.self.ID {
		return !v.isServing()
	}
	m, ok := v.members[id]
	return ok && m.isDraining()
}

// isServing reports whether this instance may own workers and partitions.
func (v *View) isServing() bool { return !v.draining && !v.self.Leaving }

// NewestRevision returns the highest document revision in force at a live peer
// and a peer to fetch it from, or zero if there is none. It prefers peers with an
// open link, then peers of the data centre, and spreads fetches over the rest by
// hash.
func (v *View) NewestRevision() (model.Revision, model.InstanceID) {
	if v.newestStale {
		v.newest = v.findNewestSource()
		v.newestStale = false
	}
	if v.newest == nil {
		return 0, ""
	}
	return v.newest.heartbeat.Revision, v.newest.instance.ID
}

func (v *View) findNewestSource() *member {
	var best *member
	for _, m := range v.ordered {
		if m.live && m.heartbeat.Revision > 0 && (best == nil || v.isBetterSource(m, best)) {
			best = m
		}
	}
	return best
}

// isBetterSource reports whether a is preferred to b as the peer to fetch the
// document from.
func (v *View) isBetterSource(a, b *member) bool {
	if a.heartbeat.Revision != b.heartbeat.Revision {
		return a.heartbeat.Revision > b.heartbeat.Revision
	}
	if a.linkUp != b.linkUp {
		return a.linkUp
	}
	isLocal := a.instance.DataCentre == v.self.DataCentre
	if isLocal != (b.instance.DataCentre == v.self.DataCentre) {
		return isLocal
	}
	return mix64(a.hash^v.selfHash) > mix64(b.hash^v.selfHash)
}

// PartitionHolder returns the live peer that claims a partition, and whether
// there is one. Several may claim it while a former holder has not yet noticed
// that it lost the partition; the preferred holder is then returned if it is
// among them.
func (v *View) PartitionHolder(p model.Partition) (model.InstanceID, bool) {
	var holder model.InstanceID
	claimCount := 0
	for _, m := range v.ordered {
		if m.claims(p) {
			claimCount++
			if holder == "" {
				holder = m.instance.ID
			}
		}
	}
	if claimCount > 1 {
		preferred, ok := v.members[v.PreferredHolder(p)]
		if ok && preferred.claims(p) {
			return preferred.instance.ID, true
		}
	}
	return holder, claimCount > 0
}

// PeerTeamUsage returns the resources that a team's tasks use on the workers of
// all live peers.
func (v *View) PeerTeamUsage(team model.Team) model.Resources { return v.peerUsage[team] }

// LatestHeartbeat returns the latest heartbeat of a live peer, or false if the
// peer is unknown or not live.
func (v *View) LatestHeartbeat(id model.InstanceID) (event.Heartbeat, bool) {
	m, ok := v.members[id]
	if !ok || !m.live {
		return event.Heartbeat{}, false
	}
	return m.heartbeat, true
}

// PeerViews returns the state of every other known instance, in ascending order
// of identifier.
func (v *View) PeerViews() []event.InstanceView {
	views := make([]event.InstanceView, 0, len(v.ordered))
	for _, m := range v.ordered {
		views = append(views, event.InstanceView{
			Instance:        m.instance,
			Live:            m.live,
			Draining:        m.isDraining(),
			Revision:        m.heartbeat.Revision,
			Workers:         int(m.heartbeat.Workers),
			LastHeartbeatAt: m.lastHeartbeatAt,
		})
	}
	return views
}

// PeerIDs returns the identifiers of all other known instances, in ascending
// order.
func (v *View) PeerIDs() []model.InstanceID {
	ids := make([]model.InstanceID, 0, len(v.ordered))
	for _, m := range v.ordered {
		ids = append(ids, m.instance.ID)
	}
	return slices.Clip(ids)
}
