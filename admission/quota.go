package admission

import (
	"cmp"
	"slices"

	"fuchsiacross/document"
	"fuchsiacross/event"
	"fuchsiacross/model"
)

// Quota limits what each team takes, and counts what its tasks take at this
// instance.
type Quota struct {
	known  bool
	limits map[model.Team]model.Resources
	used   map[model.Team]model.Resources
}

// NewQuota returns a quota that allows everything until a document is set.
func NewQuota() *Quota {
	return &Quota{
		limits: make(map[model.Team]model.Resources),
		used:   make(map[model.Team]model.Resources),
	}
}

// Set puts the quotas of a document in force. What teams take stays.
func (q *Quota) SetDocument(d *document.Document) {
	q.known = true
	clear(q.limits)
	for i := range d.Teams {
		q.limits[d.Teams[i].Team] = d.Teams[i].Quota
	}
}

// Charge counts an amount that a team takes.
func (q *Quota) Charge(team model.Team, amount model.Resources) {
	q.used[team] = q.used[team].Add(amount)
}

// Release gives an amount back.
func (q *Quota) Release(team model.Team, amount model.Resources) {
	left := q.used[team].Sub(amount)
	if left.IsZero() {
		delete(q.used, team)
		return
	}
	q.used[team] = left
}

// Used returns what a team takes at this instance.
func (q *Quota) Used(team model.Team) model.Resources { return q.used[team] }

// Share returns the dominant share of total that a team takes at this instance.
func (q *Quota) Share(team model.Team, total model.Resources) float64 {
	return q.used[team].DominantShare(total)
}

// Allowed reports whether a team may take an amount in addition to what it
// takes here and elsewhere. Dimensions without a quota are unlimited. Without a
// document everything is allowed, because urgent work continues while no
// document can be had; with one, a team that it lacks may take nothing.
func (q *Quota) Allows(team model.Team, amount, elsewhere model.Resources) bool {
	if !q.known {
		return true
	}
	limit, ok := q.limits[team]
	if !ok {
		return false
	}
	after := q.used[team].Add(elsewhere).Add(amount)
	within := func(after, amount, limit int64) bool {
		return limit == 0 || amount == 0 || after <= limit
	}
	return within(after.MilliCPU, amount.MilliCPU, limit.MilliCPU) &&
		within(after.MemoryBytes, amount.MemoryBytes, limit.MemoryBytes) &&
		within(after.Accelerators, amount.Accelerators, limit.Accelerators) &&
		within(after.Slots, amount.Slots, limit.Slots)
}

// Usage lists what the teams take at this instance, in order of the teams, so
// that equal states give equal heartbeats.
func (q *Quota) UsageByTeam() []event.TeamUsage {
	usage := make([]event.TeamUsage, 0, len(q.used))
	for team, used := range q.used {
		usage = append(usage, event.TeamUsage{Team: team, Used: used})
	}
	slices.SortFunc(usage, func(a, b event.TeamUsage) int { return cmp.Compare(a.Team, b.Team) })
	return usage
}
