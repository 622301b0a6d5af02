// Package membership determines which instances are live, which of them should
// own each worker and journal partition, and which peer has room for a request.
//
// A View combines the platform's list of instances, which lags behind, with the
// heartbeats of the peers. An instance is live while its heartbeats reach this
// instance, or reach a peer whose heartbeats reach this instance and name it in
// Heartbeat.HeardPeers. The second condition prevents one lossy or cut link from
// making a live instance look dead. HeardPeers contains only peers that were heard
// directly, so two instances cannot keep a dead one live by repeating each other's
// reports.
//
// Weighted rendezvous hashing chooses the preferred owner of each worker and the
// preferred holder of each journal partition. Instances need not agree on the
// choice, because the lease at the worker and the conditional append to the
// partition's journal prevent two owners.
//
// Each heartbeat goes to every peer of the data centre and, in rotation, to at
// most RemotePeersPerHeartbeat remote peers, so the traffic does not grow with
// the square of the number of instances. A cell of up to nine instances is a full
// mesh.
//
// The package performs no I/O, reads no clock and draws random numbers only from
// a generator with a given seed.
//
// # Usage
//
//	v := membership.New(self, incarnation, seed)
//	v.UpdateList(now, instances)
//	v.ReceiveHeartbeat(now, heartbeat)
//	suspected, returned := v.UpdateLiveness(now)
//	if v.PreferredOwner(worker) == self.ID {
//		// acquire the worker's lease
//	}
//	for _, peer := range v.HeartbeatTargets(now) {
//		// send a heartbeat with HeardPeers: v.HeardPeers(now)
//	}
package membership
