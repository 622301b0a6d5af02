package placement

import (
	"cmp"
	"slices"
	"time"

	"fuchsiacross/model"
)

// maxVictimWorkers is the number of workers whose victims are compared.
const maxVictimWorkers = 8

// potential returns the most that a worker could offer. Workers that are not
// schedulable offer nothing to preemption.
func (n *node) potential(headroom float64) potential {
	if !n.registered {
		return potential{}
	}
	p := potential{capacity: n.capacity}
	if !n.isSchedulable() {
		return p
	}
	background := n.preemptible[model.ClassBackground-1]
	p.forStandard = n.free.Sub(n.remainingHeadroom(headroom)).Add(background)
	p.forUrgent = n.free.Add(background).Add(n.preemptible[model.ClassStandard-1])
	return p
}

// canFitByPreemption reports whether preemption could free enough for a task.
func (p *potential) canFitByPreemption(req *Requirements) bool {
	switch req.Request.Class {
	case model.ClassUrgent:
		return req.Resources.Fits(p.forUrgent)
	case model.ClassStandard:
		return req.Resources.Fits(p.forStandard)
	}
	return false
}

// victim is an attempt that may be preempted.
type victim struct {
	attempt     model.Attempt
	reservation reservation
}

// SelectVictims returns the cheapest set of attempts to preempt, among a limited
// number of workers, so that the task fits their worker. It returns false if there is
// none or the policy disables preemption. Only preemptible attempts of a less urgent
// class are selected. Less urgent, later and fewer attempts are preferred, because
// less work is lost.
func (x *Index) SelectVictims(_ time.Time, req Requirements) (model.WorkerID, []model.Attempt, bool) {
	if !x.policy.PreemptionEnabled || req.Resources.HasNegative() {
		return "", nil, false
	}
	matches := func(p *potential) bool { return p.canFitByPreemption(&req) }
	var best []victim
	at, cost := int32(0), 0.0
	from, wrapped := x.victimCursor, false
	for range maxVictimWorkers {
		i, ok := x.potentials.findFirst(from, matches)
		if !ok && !wrapped {
			wrapped = true
			i, ok = x.potentials.findFirst(0, matches)
		}
		if !ok || (wrapped && i >= x.victimCursor) {
			break
		}
		from = i + 1
		if req.excludes(x.nodes[i].worker.ID) {
			continue
		}
		victims, c := x.selectVictimsOn(i, &req)
		if len(victims) > 0 && (at == 0 || c < cost) {
			at, best, cost = i, victims, c
		}
	}
	if at == 0 {
		return "", nil, false
	}
	x.victimCursor = at + 1
	attempts := make([]model.Attempt, len(best))
	for k := range best {
		attempts[k] = best[k].attempt
	}
	return x.nodes[at].worker.ID, attempts, true
}

// selectVictimsOn returns the attempts to preempt on one worker and their cost, or
// no attempts if the task cannot fit or fits already.
func (x *Index) selectVictimsOn(i int32, req *Requirements) ([]victim, float64) {
	n := &x.nodes[i]
	var victims []victim
	for _, a := range n.attempts {
		if r := x.reservations[a]; r.preemptible && r.class > req.Request.Class {
			victims = append(victims, victim{a, r})
		}
	}
	slices.SortFunc(victims, func(a, b victim) int {
		if a.reservation.class != b.reservation.class {
			return int(b.reservation.class) - int(a.reservation.class)
		}
		return cmp.Compare(b.reservation.sequence, a.reservation.sequence)
	})
	free := n.free
	if !req.isUrgent() {
		free = free.Sub(n.remainingHeadroom(x.policy.UrgentHeadroom))
	}
	count := 0
	for count < len(victims) && !req.Resources.Fits(free) {
		free = free.Add(victims[count].reservation.amount)
		count++
	}
	if !req.Resources.Fits(free) {
		return nil, 0
	}
	victims = removeUnneeded(victims[:count], free, req)
	cost := 0.0
	for k := range victims {
		fraction := victims[k].reservation.amount.DominantShare(n.capacity)
		cost += 1 + fraction
		if victims[k].reservation.class == model.ClassStandard {
			cost += 2
		}
	}
	return victims, cost
}

// removeUnneeded removes the victims that are not needed, the costliest first.
func removeUnneeded(victims []victim, free model.Resources, req *Requirements) []victim {
	for k := len(victims) - 1; k >= 0; k-- {
		if remaining := free.Sub(victims[k].reservation.amount); req.Resources.Fits(remaining) {
			free = remaining
			victims = slices.Delete(victims, k, k+1)
		}
	}
	return victims
}
