package membership

import (
	"time"

	"fuchsiacross/model"
)

// HeartbeatTargets returns the peers to send a heartbeat to now, or none when
// the next heartbeat is not due. Peers that are not live are included, because
// each side learns of the other by its heartbeats.
func (v *View) HeartbeatTargets(now time.Time) []model.InstanceID {
	if now.Before(v.nextBeat) {
		return nil
	}
	interval := milliseconds(v.timing.HeartbeatIntervalMilliseconds)
	v.nextBeat = v.nextBeat.Add(interval)
	if !v.nextBeat.After(now) {
		v.nextBeat = now.Add(interval)
	}
	if v.announce {
		v.announce = false
		return v.Known()
	}
	var targets []model.InstanceID
	for _, m := range v.ordered {
		if m.instance.DataCentre == v.self.DataCentre {
			targets = append(targets, m.instance.ID)
		}
	}
	for range min(RemotePeersPerHeartbeat, len(v.remote)) {
		v.cursor = (v.cursor + 1) % len(v.remote)
		targets = append(targets, v.remote[v.cursor].instance.ID)
	}
	return targets
}

// Announce sends the next heartbeat to every peer at once. It is meant for rare
// changes that all must learn soon, such as a claimed partition.
func (v *View) BroadcastNextHeartbeat() { v.announce = true }

// rounds returns the number of heartbeats in which each remote peer gets one.
func (v *View) rounds() int {
	return max(1, (len(v.remote)+RemotePeersPerHeartbeat-1)/RemotePeersPerHeartbeat)
}

// Seen returns the peers that this instance hears itself, for
// event.Heartbeat.Seen. When the rotation takes more than one round, only the
// peers of the data centre are named: they are heard at the full rate, and the
// list stays short.
func (v *View) HeardPeers(now time.Time) []model.InstanceID {
	var seen []model.InstanceID
	all := v.rounds() == 1
	for _, m := range v.ordered {
		if (all || m.instance.DataCentre == v.self.DataCentre) && v.fresh(now, m) {
			seen = append(seen, m.instance.ID)
		}
	}
	return seen
}
