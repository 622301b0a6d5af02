package membership

import (
	"slices"

	"fuchsiacross/model"
)

// Sample returns a peer whose summary says that a task fits. Of the fitting
// peers of the data centre, or of the cell when there are none, two are drawn
// and the better one is returned: comparing two keeps many entries from
// choosing the same peer by the same summary.
func (v *View) SamplePeer(need model.Resources, class model.Class, exclude ...model.InstanceID) (model.InstanceID, bool) {
	if class < model.ClassUrgent || class > model.ClassBackground {
		return "", false
	}
	a, b := v.draw(need, class, exclude, true)
	if a == nil {
		a, b = v.draw(need, class, exclude, false)
	}
	if a == nil {
		return "", false
	}
	if b != nil && b.freer(a, class) {
		a = b
	}
	a.debit[class-1] = a.debit[class-1].Add(need)
	return a.instance.ID, true
}

// draw returns up to two fitting peers, each pair with the same probability.
func (v *View) draw(need model.Resources, class model.Class, exclude []model.InstanceID, near bool) (first, second *member) {
	fitting := 0
	for _, m := range v.ordered {
		if near != (m.instance.DataCentre == v.self.DataCentre) ||
			!m.takes(need, class) || slices.Contains(exclude, m.instance.ID) {
			continue
		}
		fitting++
		switch {
		case fitting == 1:
			first = m
		case fitting == 2:
			second = m
		default:
			switch v.random.IntN(fitting) {
			case 0:
				first = m
			case 1:
				second = m
			}
		}
	}
	return first, second
}

// takes reports whether the member's latest summary, less what was forwarded to
// it since, has room for a task.
func (m *member) takes(need model.Resources, class model.Class) bool {
	if !m.serves() || !m.linked || !m.heard {
		return false
	}
	c := &m.heartbeat.FreeCapacity[class-1]
	return need.Fits(c.Largest) && need.Add(m.debit[class-1]).Fits(c.Free)
}

// freer reports whether m is a better place than n: fewer waiting requests of
// the class, then the larger share of its resources free.
func (m *member) freer(n *member, class model.Class) bool {
	mc, nc := &m.heartbeat.FreeCapacity[class-1], &n.heartbeat.FreeCapacity[class-1]
	if mc.QueuedRequests != nc.QueuedRequests {
		return mc.QueuedRequests < nc.QueuedRequests
	}
	return m.used(class) < n.used(class)
}

// used returns the dominant share of the member's resources that is not free
// for a class.
func (m *member) used(class model.Class) float64 {
	total := m.heartbeat.TotalCapacity
	free := m.heartbeat.FreeCapacity[class-1].Free.Sub(m.debit[class-1])
	return total.Sub(free).DominantShare(total)
}
