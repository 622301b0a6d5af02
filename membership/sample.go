package membership

import (
	"slices"

	"fuchsiacross/model"
)

// SamplePeer returns a peer whose latest heartbeat shows room for a task, or false
// if there is none. It draws two random peers with room from the data centre, or
// from the rest of the cell if the data centre has none, and returns the less
// loaded one. Sampling keeps many instances from choosing the same peer by the
// same heartbeat (power of two choices).
func (v *View) SamplePeer(need model.Resources, class model.Class, exclude ...model.InstanceID) (model.InstanceID, bool) {
	if class < model.ClassUrgent || class > model.ClassBackground {
		return "", false
	}
	a, b := v.samplePair(need, class, exclude, true)
	if a == nil {
		a, b = v.samplePair(need, class, exclude, false)
	}
	if a == nil {
		return "", false
	}
	if b != nil && b.isLessLoaded(a, class) {
		a = b
	}
	a.forwarded[class-1] = a.forwarded[class-1].Add(need)
	return a.instance.ID, true
}

// samplePair draws up to two peers with room by reservoir sampling, so that every
// pair is equally likely. It considers the peers of the data centre if local is
// set, and the remote peers otherwise.
func (v *View) samplePair(need model.Resources, class model.Class, exclude []model.InstanceID, local bool) (first, second *member) {
	candidates := 0
	for _, m := range v.ordered {
		if local != (m.instance.DataCentre == v.self.DataCentre) ||
			!m.hasRoomFor(need, class) || slices.Contains(exclude, m.instance.ID) {
			continue
		}
		candidates++
		switch {
		case candidates == 1:
			first = m
		case candidates == 2:
			second = m
		default:
			switch v.random.IntN(candidates) {
			case 0:
				first = m
			case 1:
				second = m
			}
		}
	}
	return first, second
}

// hasRoomFor reports whether the member's latest heartbeat, minus what was
// forwarded to it since, shows room for a task.
func (m *member) hasRoomFor(need model.Resources, class model.Class) bool {
	if !m.isServing() || !m.linkUp || !m.everHeard {
		return false
	}
	c := &m.heartbeat.FreeCapacity[class-1]
	return need.Fits(c.Largest) && need.Add(m.forwarded[class-1]).Fits(c.Free)
}

// isLessLoaded reports whether m is preferable to n: it has fewer queued requests
// of the class or, if equally many, a smaller fraction of its resources in use.
func (m *member) isLessLoaded(n *member, class model.Class) bool {
	mc, nc := &m.heartbeat.FreeCapacity[class-1], &n.heartbeat.FreeCapacity[class-1]
	if mc.QueuedRequests != nc.QueuedRequests {
		return mc.QueuedRequests < nc.QueuedRequests
	}
	return m.usedFraction(class) < n.usedFraction(class)
}

// usedFraction returns the dominant share of the member's resources that is not
// free for a class.
func (m *member) usedFraction(class model.Class) float64 {
	total := m.heartbeat.TotalCapacity
	free := m.heartbeat.FreeCapacity[class-1].Free.Sub(m.forwarded[class-1])
	return total.Sub(free).DominantShare(total)
}
