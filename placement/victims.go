package placement

import (
	"cmp"
	"slices"
	"time"

	"fuchsiacross/model"
)

// victimWorkers is the number of workers whose victims are compared.
const victimWorkers = 8

// extent returns the most that a worker could offer.
func (n *node) extent(headroom float64) extent {
	if !n.known {
		return extent{}
	}
	e := extent{capacity: n.capacity}
	if !n.usable() {
		return e
	}
	background := n.yield[model.ClassBackground-1]
	e.standard = n.free.Sub(n.kept(headroom)).Add(background)
	e.urgent = n.free.Add(background).Add(n.yield[model.ClassStandard-1])
	return e
}

// offers reports whether preemption could make room for an ask.
func (e *extent) offers(ask *Requirements) bool {
	switch ask.Request.Class {
	case model.ClassUrgent:
		return ask.Resources.Fits(e.urgent)
	case model.ClassStandard:
		return ask.Resources.Fits(e.standard)
	}
	return false
}

// victim is an attempt that may be stopped.
type victim struct {
	attempt model.Attempt
	entry   entry
}

// Victims returns the cheapest set of attempts, among a bounded number of
// workers, whose stop makes room for the ask on their worker. Only preemptible
// attempts of a lower class are named. Less urgent, later and fewer attempts
// are cheaper, because less work is lost.
func (x *Index) SelectVictims(_ time.Time, ask Requirements) (model.WorkerID, []model.Attempt, bool) {
	if !x.policy.PreemptionEnabled || ask.Resources.HasNegative() {
		return "", nil, false
	}
	may := func(e *extent) bool { return e.offers(&ask) }
	var best []victim
	at, cost := int32(0), 0.0
	from, wrapped := x.cursor, false
	for range victimWorkers {
		i, ok := x.reach.find(from, may)
		if !ok && !wrapped {
			wrapped = true
			i, ok = x.reach.find(0, may)
		}
		if !ok || (wrapped && i >= x.cursor) {
			break
		}
		from = i + 1
		if ask.excludes(x.nodes[i].worker.ID) {
			continue
		}
		set, c := x.victimsOn(i, &ask)
		if len(set) > 0 && (at == 0 || c < cost) {
			at, best, cost = i, set, c
		}
	}
	if at == 0 {
		return "", nil, false
	}
	x.cursor = at + 1
	attempts := make([]model.Attempt, len(best))
	for k := range best {
		attempts[k] = best[k].attempt
	}
	return x.nodes[at].worker.ID, attempts, true
}

// victimsOn returns the attempts to stop on one worker, and their cost.
func (x *Index) victimsOn(i int32, ask *Requirements) ([]victim, float64) {
	n := &x.nodes[i]
	var set []victim
	for _, a := range n.attempts {
		if e := x.entries[a]; e.yields && e.class > ask.Request.Class {
			set = append(set, victim{a, e})
		}
	}
	slices.SortFunc(set, func(a, b victim) int {
		if a.entry.class != b.entry.class {
			return int(b.entry.class) - int(a.entry.class)
		}
		return cmp.Compare(b.entry.sequence, a.entry.sequence)
	})
	free := n.free
	if !ask.urgent() {
		free = free.Sub(n.kept(x.policy.UrgentHeadroom))
	}
	taken := 0
	for taken < len(set) && !ask.Resources.Fits(free) {
		free = free.Add(set[taken].entry.amount)
		taken++
	}
	if !ask.Resources.Fits(free) {
		return nil, 0
	}
	set = spare(set[:taken], free, ask)
	cost := 0.0
	for k := range set {
		share := set[k].entry.amount.DominantShare(n.capacity)
		cost += 1 + share
		if set[k].entry.class == model.ClassStandard {
			cost += 2
		}
	}
	return set, cost
}

// spare drops the victims that turn out not to be needed, costliest first.
func spare(set []victim, free model.Resources, ask *Requirements) []victim {
	for k := len(set) - 1; k >= 0; k-- {
		if less := free.Sub(set[k].entry.amount); ask.Resources.Fits(less) {
			free = less
			set = slices.Delete(set, k, k+1)
		}
	}
	return set
}
