package membership

import (
	"slices"
	"time"

	"fuchsiacross/event"
	"fuchsiacross/model"
)

// member is the state of one peer in a View.
type member struct {
	instance        model.Instance
	hash            uint64
	listed          bool // whether the platform's latest list has it
	everHeard       bool // whether any heartbeat has arrived
	live            bool
	linkUp          bool // whether the link is open since the latest heartbeat
	lastHeartbeatAt time.Time
	heartbeat       event.Heartbeat
	forwarded       [model.ClassCount]model.Resources // resources of requests forwarded to it since the latest heartbeat, by class
}

// isServing reports whether the member may own workers and partitions.
func (m *member) isServing() bool {
	return m.live && !m.isDraining()
}

// isDraining reports whether the platform or the member itself has announced
// that it leaves.
func (m *member) isDraining() bool {
	return m.instance.Leaving || m.heartbeat.Draining
}

// hears reports whether the member's latest heartbeat lists id in HeardPeers.
func (m *member) hears(id model.InstanceID) bool {
	return slices.Contains(m.heartbeat.HeardPeers, id)
}

// claims reports whether the member is live and claims a partition.
func (m *member) claims(p model.Partition) bool {
	return m.live && slices.Contains(m.heartbeat.Partitions, p)
}
