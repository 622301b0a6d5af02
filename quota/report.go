package quota

import (
	"cmp"
	"slices"

	"fuchsiacross/model"
)

// Account is what a report says about one tenant.
type Account struct {
	Tenant       string
	Used, Limit  model.Resources // a dimension without a limit is math.MaxInt64
	Skipped      int64           // times that a step was skipped for the quota since the last report
	WaitingSteps int64
	BeyondShare  int64 // waiting steps beyond the tenant's share
}

// CountWaiting counts a waiting step for the next report.
func (l *Ledger) CountWaiting(tenant string, beyondShare bool) {
	if tenant == "" {
		return
	}
	a := l.account(tenant)
	a.waiting++
	if beyondShare {
		a.beyond++
	}
}

// Report returns the accounts in the order of the tenants' names and begins new counts.
func (l *Ledger) Report() []Account {
	list := make([]Account, 0, len(l.accounts))
	for name, a := range l.accounts {
		list = append(list, Account{
			Tenant: name, Used: a.used, Limit: a.limit, Skipped: a.skipped, WaitingSteps: a.waiting, BeyondShare: a.beyond,
		})
		a.skipped, a.waiting, a.beyond = 0, 0, 0
	}
	slices.SortFunc(list, func(a, b Account) int { return cmp.Compare(a.Tenant, b.Tenant) })
	return list
}

// OtherTenants is the name under which Bound adds up the tenants that it does not list.
const OtherTenants = "other"

// Bound returns the accounts of the tenants that use the most processors, at most limit of them,
// and the sum of all others under OtherTenants, which has no limit.
func Bound(accounts []Account, limit int) []Account {
	if len(accounts) <= limit {
		return accounts
	}
	sorted := slices.Clone(accounts)
	slices.SortStableFunc(sorted, func(a, b Account) int { return cmp.Compare(b.Used.MilliCPU, a.Used.MilliCPU) })
	other := Account{Tenant: OtherTenants, Limit: Part(model.Resources{}, 0, 1)}
	for _, a := range sorted[limit:] {
		other.Used = other.Used.Add(a.Used)
		other.Skipped += a.Skipped
		other.WaitingSteps += a.WaitingSteps
		other.BeyondShare += a.BeyondShare
	}
	return append(sorted[:limit:limit], other)
}
