package admission

import (
	"cmp"
	"slices"

	"fuchsiacross/document"
	"fuchsiacross/event"
	"fuchsiacross/model"
)

// Quota limits the resources that each team uses, and counts what its tasks use at
// this instance.
type Quota struct {
	hasDocument bool // whether SetDocument was called
	limits      map[model.Team]model.Resources
	used        map[model.Team]model.Resources
}

// NewQuota returns a quota that allows everything until a document is set.
func NewQuota() *Quota {
	return &Quota{
		limits: make(map[model.Team]model.Resources),
		used:   make(map[model.Team]model.Resources),
	}
}

// SetDocument replaces the quotas by those of a document. The counted use stays.
func (q *Quota) SetDocument(d *document.Document) {
	q.hasDocument = true
	clear(q.limits)
	for i := range d.Teams {
		q.limits[d.Teams[i].Team] = d.Teams[i].Quota
	}
}

// Charge adds an amount to what a team uses.
func (q *Quota) Charge(team model.Team, amount model.Resources) {
	q.used[team] = q.used[team].Add(amount)
}

// Release subtracts an amount from what a team uses.
func (q *Quota) Release(team model.Team, amount model.Resources) {
	remaining := q.used[team].Sub(amount)
	if remaining.IsZero() {
		delete(q.used, team)
		return
	}
	q.used[team] = remaining
}

// Used returns what a team uses at this instance.
func (q *Quota) Used(team model.Team) model.Resources { return q.used[team] }

// DominantShare returns the largest fraction of total, over all dimensions, that a
// team uses at this instance.
func (q *Quota) DominantShare(team model.Team, total model.Resources) float64 {
	return q.used[team].DominantShare(total)
}

// Allows reports whether a team may use an amount in addition to what it uses at this
// instance and to elsewhere, its use at the other instances. Dimensions without a
// quota are unlimited. Without a document everything is allowed, because urgent work
// must go on while no document is available. With a document, a team that is not in
// it may use nothing.
func (q *Quota) Allows(team model.Team, amount, elsewhere model.Resources) bool {
	if !q.hasDocument {
		return true
	}
	limit, ok := q.limits[team]
	if !ok {
		return false
	}
	total := q.used[team].Add(elsewhere).Add(amount)
	isWithin := func(total, amount, limit int64) bool {
		return limit == 0 || amount == 0 || total <= limit
	}
	return isWithin(total.MilliCPU, amount.MilliCPU, limit.MilliCPU) &&
		isWithin(total.MemoryBytes, amount.MemoryBytes, limit.MemoryBytes) &&
		isWithin(total.Accelerators, amount.Accelerators, limit.Accelerators) &&
		isWithin(total.Slots, amount.Slots, limit.Slots)
}

// UsageByTeam returns what each team uses at this instance, sorted by team, so that
// equal states give equal heartbeats.
func (q *Quota) UsageByTeam() []event.TeamUsage {
	usage := make([]event.TeamUsage, 0, len(q.used))
	for team, used := range q.used {
		usage = append(usage, event.TeamUsage{Team: team, Used: used})
	}
	slices.SortFunc(usage, func(a, b event.TeamUsage) int { return cmp.Compare(a.Team, b.Team) })
	return usage
}
