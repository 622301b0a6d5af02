package membership

import (
	"time"

	"fuchsiacross/model"
)

// HasConverged reports whether this instance knows its live peers well enough to
// act on them: every listed instance has sent a heartbeat, or the suspicion
// timeout has passed since the platform's list was first read. Before that, an
// instance that has just started would see itself as the only one and claim
// workers and partitions that others hold.
func (v *View) HasConverged(now time.Time) bool {
	if v.firstListAt.IsZero() {
		return false
	}
	if !now.Before(v.firstListAt.Add(milliseconds(v.timing.SuspicionTimeoutMilliseconds))) {
		return true
	}
	for _, m := range v.ordered {
		if m.listed && !m.everHeard {
			return false
		}
	}
	return true
}

// PeerCapacity returns the total capacity of the workers of all live peers.
func (v *View) PeerCapacity() model.Resources {
	var total model.Resources
	for _, m := range v.ordered {
		if m.live {
			total = total.Add(m.heartbeat.TotalCapacity)
		}
	}
	return total
}

// LargestPeerWorker returns, per dimension, the largest capacity of any one worker
// of a live peer.
func (v *View) LargestPeerWorker() model.Resources {
	var largest model.Resources
	for _, m := range v.ordered {
		if m.live {
			largest = largest.Max(m.heartbeat.LargestCapacity)
		}
	}
	return largest
}

// FreePeerCapacity returns the resources of all live peers' workers that are free
// for a class.
func (v *View) FreePeerCapacity(c model.Class) model.Resources {
	var free model.Resources
	for _, m := range v.ordered {
		if m.live {
			free = free.Add(m.heartbeat.FreeCapacity[c-1].Free)
		}
	}
	return free
}
