package membership

import (
	"time"

	"fuchsiacross/model"
)

// Settled reports whether this instance has had the time to hear from its
// peers: every listed instance is heard, or the time of a suspicion has passed
// since the platform's list was first read. Before that, an instance that has
// just started would take itself for the only one and claim what others hold.
func (v *View) HasConverged(now time.Time) bool {
	if v.listedAt.IsZero() {
		return false
	}
	if !now.Before(v.listedAt.Add(milliseconds(v.timing.SuspicionTimeoutMilliseconds))) {
		return true
	}
	for _, m := range v.ordered {
		if m.listed && !m.heard {
			return false
		}
	}
	return true
}

// Total returns what the workers of all live peers offer.
func (v *View) Total() model.Resources {
	var total model.Resources
	for _, m := range v.ordered {
		if m.live {
			total = total.Add(m.heartbeat.TotalCapacity)
		}
	}
	return total
}

// LargestWorker returns the largest capacity of each dimension on one worker of
// a live peer.
func (v *View) LargestPeerWorker() model.Resources {
	var largest model.Resources
	for _, m := range v.ordered {
		if m.live {
			largest = largest.Max(m.heartbeat.LargestCapacity)
		}
	}
	return largest
}

// FreeElsewhere returns what the workers of all live peers have free for a class.
func (v *View) FreePeerCapacity(c model.Class) model.Resources {
	var free model.Resources
	for _, m := range v.ordered {
		if m.live {
			free = free.Add(m.heartbeat.FreeCapacity[c-1].Free)
		}
	}
	return free
}
