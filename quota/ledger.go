package quota

import (
	"math"
	"time"

	"fuchsiacross/job"
	"fuchsiacross/model"
)

// Ledger keeps the use and the limit of each tenant. It is not safe for concurrent use.
type Ledger struct {
	accounts map[string]*account
	limited  bool            // some tenant has a limit
	hidden   model.Resources // capacity of workers that may have runs that are not charged
}

// account is the state of one tenant.
type account struct {
	used      model.Resources
	limit     model.Resources // this leader's part
	limited   bool
	skipped   int64     // steps that were skipped since the last report
	waiting   int64     // steps that CountWaiting has counted since the last report
	beyond    int64     // of these, the ones beyond the tenant's share
	turn      *Turn     // of the step that others of the tenant give way to; nil if there is none
	reachedAt time.Time // when its reaching the quota was last reported; zero before
}

// NewLedger returns a ledger without tenants.
func NewLedger() *Ledger { return &Ledger{accounts: map[string]*account{}} }

// Configure sets the limits of a configuration for the leader of a shard. A tenant that is no
// longer configured keeps its last limit: removing it must not let its accepted jobs take more.
func (l *Ledger) Configure(tenants []job.Tenant, shard, shards int) {
	for i := range tenants {
		a := l.account(tenants[i].Name)
		a.limit = Part(tenants[i].Limit, shard, shards)
		a.limited = !tenants[i].Limit.IsZero()
	}
	l.limited = false
	for _, a := range l.accounts {
		l.limited = l.limited || a.limited
	}
}

// Limited reports whether any tenant has a limit. Without one, nothing needs to be observed.
func (l *Ledger) Limited() bool { return l.limited }

func (l *Ledger) account(tenant string) *account {
	a := l.accounts[tenant]
	if a == nil {
		a = &account{limit: Part(model.Resources{}, 0, 1)}
		l.accounts[tenant] = a
	}
	return a
}

// Charge adds the demand of a run to the use of its tenant. Jobs without a tenant are not counted.
func (l *Ledger) Charge(tenant string, demand model.Resources) {
	if tenant != "" {
		a := l.account(tenant)
		a.used = a.used.Add(demand)
	}
}

// Release takes the demand of a run from the use of its tenant.
func (l *Ledger) Release(tenant string, demand model.Resources) {
	if tenant != "" {
		a := l.account(tenant)
		a.used = a.used.Sub(demand)
	}
}

// ClearHidden begins a new observation of the workers, each of which is added with Hide.
func (l *Ledger) ClearHidden() { l.hidden = model.Resources{} }

// Hide adds a worker that may have runs that are not charged: they take at most its capacity less
// the runs that are known there. Any tenant may own them.
func (l *Ledger) Hide(capacity, known model.Resources) {
	l.hidden = l.hidden.Add(capacity.Sub(known).Max(model.Resources{}))
}

// Hidden returns the capacity of the workers that Hide added.
func (l *Ledger) Hidden() model.Resources { return l.hidden }

// Room returns how many tasks of a tenant with the given demand may start. Dimensions that the
// task does not need do not count, even if the tenant exceeds its limit there.
func (l *Ledger) Room(tenant string, demand model.Resources) int {
	return l.roomBeside(tenant, demand, model.Resources{})
}

// RoomBesideTurn returns how many tasks of a tenant may start beside the step that has the turn:
// what that step needs is kept free for it.
func (l *Ledger) RoomBesideTurn(tenant string, demand model.Resources) int {
	a := l.accounts[tenant]
	if a == nil || a.turn == nil {
		return l.Room(tenant, demand)
	}
	return l.roomBeside(tenant, demand, a.turn.Need)
}

func (l *Ledger) roomBeside(tenant string, demand, kept model.Resources) int {
	a := l.accounts[tenant]
	if a == nil || !a.limited {
		return math.MaxInt
	}
	room := int64(math.MaxInt)
	for _, d := range dimensions(demand, a.used.Add(l.hidden).Add(kept), a.limit) {
		if d.demand > 0 && d.limit != unlimited {
			room = min(room, max(0, d.limit-d.used)/d.demand)
		}
	}
	return int(room)
}

// reportInterval is the time between two reports that a tenant has reached its quota.
const reportInterval = 2 * time.Second

// Skip counts a step that was not started because of its tenant's quota. It returns whether this
// is to be logged, which is once in reportInterval.
func (l *Ledger) Skip(tenant string, now time.Time) bool {
	a := l.account(tenant)
	a.skipped++
	if !a.reachedAt.IsZero() && now.Sub(a.reachedAt) < reportInterval {
		return false
	}
	a.reachedAt = now
	return true
}

// Turn is the turn of a step that its tenant's quota has held back for too long. Smaller steps of the
// tenant would otherwise take each part of the quota that becomes free before a gang fits.
type Turn struct {
	Step        job.StepID
	Since       time.Time       // from when on the quota has held it back
	Need        model.Resources // of the tasks that start together
	BeyondShare bool
}

// ClearTurns begins a new choice of the turns.
func (l *Ledger) ClearTurns() {
	for _, a := range l.accounts {
		a.turn = nil
	}
}

// OfferTurn gives a step the turn of its tenant if it goes before the step that has it: within the
// share first, then the one that was held back first.
func (l *Ledger) OfferTurn(tenant string, t Turn) {
	a := l.account(tenant)
	if a.turn == nil || t.goesBefore(a.turn) {
		a.turn = &t
	}
}

func (t *Turn) goesBefore(other *Turn) bool {
	if t.BeyondShare != other.BeyondShare {
		return other.BeyondShare
	}
	if n := t.Since.Compare(other.Since); n != 0 {
		return n < 0
	}
	return t.Step.Compare(other.Step) < 0
}

// GivesWay reports whether a step has to leave the step that has the turn what it needs of the
// tenant's quota. A step within the share does not give way to one beyond it.
func (l *Ledger) GivesWay(tenant string, step job.StepID, beyondShare bool) bool {
	a := l.accounts[tenant]
	return a != nil && a.turn != nil && a.turn.Step != step && (beyondShare || !a.turn.BeyondShare)
}

// Use returns the use of a tenant, and the part of its limit that this leader may use.
func (l *Ledger) Use(tenant string) (used, limit model.Resources) {
	a := l.accounts[tenant]
	if a == nil {
		return model.Resources{}, Part(model.Resources{}, 0, 1)
	}
	return a.used, a.limit
}

// Exceeded returns why a step can never run within its tenant's limit, or an empty string.
func (l *Ledger) Exceeded(tenant string, s *job.Step) string {
	if a := l.accounts[tenant]; a != nil && a.limited {
		return CheckStep(s, a.limit)
	}
	return ""
}
