// Package placement decides which worker runs a task.
//
// A worker is a machine that runs tasks, leased to one instance of the scheduler at
// a time. The Index records the capacity of each worker whose lease the instance
// holds, and the resources that are reserved on it for attempts. An attempt is one
// execution of a task.
//
// For each dimension of resources, and separately for urgent and for other work,
// the Index keeps the workers in a treap ordered by free amount. Each subtree
// stores the largest free amounts in it. Pick starts from the task's dominant
// dimension, the one of which the task needs the largest fraction of the total
// capacity. It scores a few workers from both ends of that tree, those that fit
// most tightly and those with the most free, and chooses the best score. The
// cost of a decision therefore grows with the logarithm of the number of
// workers, and a decision allocates nothing.
//
// The score weighs packing against waiting time. Packing favours a tight fit
// that leaves free processors and free memory in balance. Waiting time favours
// workers with more free resources.
//
// Part of each busy worker, the headroom, is kept free for urgent work. A worker
// on which attempts fail improbably often is quarantined and probed with single
// idempotent tasks. A worker can be held for a large request, so that smaller
// work does not take each part of it as soon as it is free.
//
// The package performs no I/O, starts no goroutine and reads no clock. It is
// deterministic: the same calls with the same seed give the same decisions.
//
// # Usage
//
//	x := placement.New(placement.Policy{WaitingWeight: 1, PackingWeight: 1, UrgentHeadroom: 0.1}, seed)
//	x.UpsertWorker(worker, term, capacity)
//	req := placement.Requirements{Request: r, Resources: x.EffectiveResources(r.Team, r.Workload, r.Resources)}
//	choice, ok := x.Pick(now, req)
//	if ok && x.Reserve(choice.Worker, attempt, r, req.Resources) {
//		// start the attempt on choice.Worker
//	}
//	x.Release(attempt) // when it has ended
package placement
