package membership

import (
	"slices"
	"time"

	"fuchsiacross/event"
	"fuchsiacross/model"
)

// member is what a View knows of one peer.
type member struct {
	instance  model.Instance
	hash      uint64
	listed    bool // in the platform's latest list
	heard     bool // at least one heartbeat has arrived
	live      bool
	linked    bool // the link has not closed since the latest heartbeat
	heardAt   time.Time
	heartbeat event.Heartbeat
	debit     [model.ClassCount]model.Resources // forwarded since the latest heartbeat
}

// serves reports whether the member may own workers and partitions.
func (m *member) serves() bool {
	return m.live && !m.draining()
}

// draining reports whether the platform or the member itself says that it
// leaves.
func (m *member) draining() bool {
	return m.instance.Leaving || m.heartbeat.Draining
}

// sees reports whether the member's latest heartbeat names id as heard.
func (m *member) sees(id model.InstanceID) bool {
	return slices.Contains(m.heartbeat.HeardPeers, id)
}

// holds reports whether the member claims a partition.
func (m *member) holds(p model.Partition) bool {
	return m.live && slices.Contains(m.heartbeat.Partitions, p)
}
