// Package admission decides which requests are accepted, in what order accepted
// requests start, and which are refused.
//
// A Queue holds waiting items, each one task or one gang of tasks that must start
// together. The number of items per class is limited; a class is the urgency of a
// request. Items of one team and workload that need the same resources form a
// shape, an equivalence class for placement. If the first item of a shape finds no
// capacity, the others are not tried, so that the cost of PopNext depends on the
// number of shapes and not on the number of items.
//
// Items are ordered by class. Within a class, teams that use at most their fair
// share of the cell come first, in order of deadline, then the other teams in order
// of their dominant share. Within a team, items are ordered by deadline.
//
// To avoid head-of-line blocking, an item may bypass earlier ones that do not fit.
// An item that was bypassed often and has waited long is reported as starved, so
// that a worker can be held for it. In a small fraction of the calls, items of less
// urgent classes that have waited long go first.
//
// A Quota limits what each team uses. A RetryBudget limits retries to a fraction of
// the recent first attempts.
//
// The package performs no I/O, starts no goroutine and reads no clock.
//
// # Usage
//
//	q := admission.NewQueue(admission.DefaultOptions(), dominantShare)
//	if refusal, ok := q.CanAdmit(now, r); !ok {
//		return refusal.String()
//	}
//	if err := q.Push(now, &admission.Item{Request: r, Resources: amount, EnqueuedAt: now}); err != nil {
//		return err // *admission.QueueFullError
//	}
//	item, ok := q.PopNext(now, func(i *admission.Item) admission.StartResult {
//		if !quota.Allows(i.Request.Team, i.Resources, usedElsewhere) {
//			return admission.Blocked
//		}
//		choice, ok = index.Pick(now, placement.Requirements{Request: i.Request, Resources: i.Resources})
//		if !ok {
//			return admission.NoCapacity
//		}
//		return admission.Started
//	})
package admission
