package dispatch

import (
	"slices"

	"fuchsiacross/job"
	"fuchsiacross/model"
	"fuchsiacross/share"
)

// meterLoadedJobs decides for the jobs of the store which are beyond their tenants' shares, in the
// order of acceptance, as the predecessor did.
func (r *Reducer) meterLoadedJobs(jobs []job.Job) {
	if !r.shares.Active() {
		return
	}
	sorted := slices.Clone(jobs)
	slices.SortFunc(sorted, func(a, b job.Job) int {
		if n := a.AcceptedAt.Compare(b.AcceptedAt); n != 0 {
			return n
		}
		return compare(a.ID, b.ID)
	})
	for i := range sorted {
		r.jobs[sorted[i].ID].beyondShare = !r.shares.Within(sorted[i].Tenant, sorted[i].AcceptedAt)
	}
}

// interleaveTenants sorts the steps beyond their tenants' shares that have equal grade and priority
// by the use of their tenants. Steps within the shares keep the order of their deadlines: under
// overload, an order by use let twice as many urgent jobs end too late.
func (r *Reducer) interleaveTenants(list []candidate) {
	if !r.shares.Active() {
		return
	}
	first := slices.IndexFunc(list, func(c candidate) bool { return c.beyond })
	if first < 0 {
		return
	}
	total := model.Resources{}
	for _, w := range r.sortedWorkers {
		if w.acceptsRuns {
			total = total.Add(w.registration.Capacity)
		}
	}
	usage := map[string]share.Usage{}
	for from := first; from < len(list); {
		to := from + 1
		for to < len(list) && list[to].isEqualRank(&list[from]) {
			to++
		}
		entries := make([]share.Entry, 0, to-from)
		for _, c := range list[from:to] {
			s, tenant := c.step, c.step.job.job.Tenant
			if _, known := usage[tenant]; !known {
				used, _ := r.quota.Use(tenant)
				usage[tenant] = share.Usage{Share: used.DominantShare(total), Weight: r.shares.Weight(tenant)}
			}
			entries = append(entries, share.Entry{
				Tenant: tenant, Cost: s.step.Demand.Multiply(int64(s.idleTasks())).DominantShare(total),
			})
		}
		group := slices.Clone(list[from:to])
		for n, at := range share.Interleave(entries, usage) {
			list[from+n] = group[at]
		}
		from = to
	}
}

// isEqualRank reports whether only the tenants' use and the deadlines decide between two steps.
func (c *candidate) isEqualRank(other *candidate) bool {
	return c.beyond == other.beyond && c.grade == other.grade && c.step.job.queue.Priority == other.step.job.queue.Priority
}

// isReservedAgainst reports whether a worker is reserved for another step that goes before a step:
// the reservation of a step beyond its tenant's share does not hold up those within.
func (w *worker) isReservedAgainst(s *stepState) bool {
	return w.reservedFor != nil && w.reservedFor != s && (s.job.beyondShare || !w.reservedFor.job.beyondShare)
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}
