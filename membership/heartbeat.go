package membership

import (
	"time"

	"fuchsiacross/model"
)

// HeartbeatTargets returns the peers to send a heartbeat to now, or none if the
// next heartbeat is not due. Peers that are not live are included, because
// instances learn of each other by heartbeats.
func (v *View) HeartbeatTargets(now time.Time) []model.InstanceID {
	if now.Before(v.nextHeartbeatAt) {
		return nil
	}
	interval := milliseconds(v.timing.HeartbeatIntervalMilliseconds)
	v.nextHeartbeatAt = v.nextHeartbeatAt.Add(interval)
	if !v.nextHeartbeatAt.After(now) {
		v.nextHeartbeatAt = now.Add(interval)
	}
	if v.broadcastNext {
		v.broadcastNext = false
		return v.PeerIDs()
	}
	var targets []model.InstanceID
	for _, m := range v.ordered {
		if m.instance.DataCentre == v.self.DataCentre {
			targets = append(targets, m.instance.ID)
		}
	}
	for range min(RemotePeersPerHeartbeat, len(v.remotePeers)) {
		v.remoteCursor = (v.remoteCursor + 1) % len(v.remotePeers)
		targets = append(targets, v.remotePeers[v.remoteCursor].instance.ID)
	}
	return targets
}

// BroadcastNextHeartbeat makes the next heartbeat go to every peer instead of the
// next ones in rotation. It is meant for rare changes that all peers must learn
// soon, such as a claimed partition.
func (v *View) BroadcastNextHeartbeat() { v.broadcastNext = true }

// remoteRounds returns the number of heartbeats in which the rotation reaches every
// remote peer once.
func (v *View) remoteRounds() int {
	return max(1, (len(v.remotePeers)+RemotePeersPerHeartbeat-1)/RemotePeersPerHeartbeat)
}

// HeardPeers returns the peers that this instance hears directly, for
// event.Heartbeat.HeardPeers. If the rotation over the remote peers takes more
// than one heartbeat, only the peers of the data centre are included: they are
// heard at the full rate, and the list stays short.
func (v *View) HeardPeers(now time.Time) []model.InstanceID {
	var heard []model.InstanceID
	all := v.remoteRounds() == 1
	for _, m := range v.ordered {
		if (all || m.instance.DataCentre == v.self.DataCentre) && v.isHeardDirectly(now, m) {
			heard = append(heard, m.instance.ID)
		}
	}
	return heard
}
