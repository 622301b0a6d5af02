package share

// Entry is a waiting step in the order of service.
type Entry struct {
	Tenant string
	// Cost is the fraction of the capacity that the step would take: its dominant share.
	Cost float64
}

// Usage is what a tenant has running, as the dominant share of the capacity, and its weight.
type Usage struct {
	Share, Weight float64
}

// Interleave returns the positions of entries of equal rank in the order in which their tenants are
// to be served: next comes the tenant whose ratio of share to weight is the smallest, counting what
// precedes in this order as running. The entries of one tenant keep their order. Entries without
// usage, which have no tenant, compete as one more tenant of weight 1 with no use.
//
// A static order by the ratios would give all capacity that becomes free at once to one tenant.
func Interleave(entries []Entry, usage map[string]Usage) []int {
	type queue struct {
		ratio, weight float64
		waiting       []int
	}
	var queues []*queue
	byTenant := map[string]*queue{}
	for at := range entries {
		tenant := entries[at].Tenant
		q := byTenant[tenant]
		if q == nil {
			u := usage[tenant]
			weight := EffectiveWeight(u.Weight)
			q = &queue{ratio: u.Share / weight, weight: weight}
			byTenant[tenant] = q
			queues = append(queues, q)
		}
		q.waiting = append(q.waiting, at)
	}
	order := make([]int, 0, len(entries))
	for len(queues) > 0 {
		best := 0
		for n, q := range queues {
			b := queues[best]
			if q.ratio < b.ratio || q.ratio == b.ratio && q.waiting[0] < b.waiting[0] {
				best = n
			}
		}
		q := queues[best]
		order = append(order, q.waiting[0])
		q.ratio += entries[q.waiting[0]].Cost / q.weight
		if q.waiting = q.waiting[1:]; len(q.waiting) == 0 {
			queues = append(queues[:best], queues[best+1:]...)
		}
	}
	return order
}
