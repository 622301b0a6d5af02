package placement

import (
	"iter"
	"slices"
	"strings"

	"fuchsiacross/event"
	"fuchsiacross/model"
)

// Index knows the workers whose leases an instance holds and what is reserved
// on them. It is used by one goroutine.
type Index struct {
	policy   Policy
	random   uint64 // state of the generator of tree priorities
	nodes    []node
	vacant   []int32
	byID     map[model.WorkerID]int32
	trees    [2 * dimensions]tree // for other work, then for urgent work, by dimension
	reach    reach
	racks    racks
	entries  map[model.Attempt]entry
	order    []int32 // cache of sorted; empty when out of date
	sequence uint64
	total    model.Resources
	reserved model.Resources
	free     model.Resources // sum over indexed workers
	room     model.Resources // sum over indexed workers
	probes   []int32         // quarantined workers without a running probe, by the end of their back-off
	isolated int             // number of quarantined workers
	rates    float64         // sum of the failure rates of all workers
	held     []int32         // workers kept for large requests
	cursor   int32           // where the next search for victims starts
	search   search
	usage    usage
}

// entry is a reservation.
type entry struct {
	node     int32
	position int32 // in the node's attempts
	amount   model.Resources
	sequence uint64 // later reservations are greater
	class    model.Class
	service  bool
	yields   bool // may be preempted
}

// View is one worker as the index sees it.
type View struct {
	Worker      model.Worker
	Term        model.Term
	Capacity    model.Resources
	Reserved    model.Resources
	Tasks       int
	Drained     bool
	Quarantined bool
	Held        model.RequestID // large request that the worker is kept for
}

// New returns an empty index. The seed determines the shape of its trees and
// thereby which of several equal workers is chosen.
func New(p Policy, seed uint64) *Index {
	x := &Index{
		policy:  p,
		random:  seed,
		nodes:   make([]node, 1),
		byID:    make(map[model.WorkerID]int32),
		entries: make(map[model.Attempt]entry),
		usage:   usage{workloads: make(map[workloadKey]*observed)},
	}
	for k := range x.trees {
		d := dimension(k)
		x.trees[k] = tree{dim: d % dimensions, urgent: d >= dimensions, links: make([]link, 1)}
	}
	return x
}

// SetPolicy puts another policy in force for later decisions.
func (x *Index) SetPolicy(p Policy) {
	headroom := x.policy.UrgentHeadroom
	x.policy = p
	if headroom == p.UrgentHeadroom {
		return
	}
	for i := 1; i < len(x.nodes); i++ {
		if x.nodes[i].known {
			x.settle(int32(i))
		}
	}
}

// Upsert adds a worker or replaces what is known of it. Its reservations stay.
func (x *Index) UpsertWorker(w model.Worker, term model.Term, capacity model.Resources) {
	i, ok := x.byID[w.ID]
	if !ok {
		i = x.allocate()
		x.byID[w.ID] = i
		x.order = x.order[:0]
		x.nodes[i].rack = x.racks.add(w.Rack, i)
	} else if x.nodes[i].worker.Rack != w.Rack {
		x.racks.remove(x.nodes[i].worker.Rack, i)
		x.nodes[i].rack = x.racks.add(w.Rack, i)
	}
	n := &x.nodes[i]
	x.total = x.total.Sub(n.capacity).Add(capacity)
	n.worker, n.term, n.capacity, n.known = w, term, capacity, true
	n.drained = n.drained || w.Leaving
	x.settle(i)
}

// allocate returns a vacant node.
func (x *Index) allocate() int32 {
	if k := len(x.vacant); k > 0 {
		i := x.vacant[k-1]
		x.vacant = x.vacant[:k-1]
		return i
	}
	i := int32(len(x.nodes))
	x.nodes = append(x.nodes, node{})
	for k := range x.trees {
		x.trees[k].links = append(x.trees[k].links, link{priority: x.draw()})
	}
	x.reach.grow(len(x.nodes))
	return i
}

// tree returns the tree for a dimension.
func (x *Index) tree(d dimension, urgent bool) *tree {
	if urgent {
		d += dimensions
	}
	return &x.trees[d]
}

// draw returns the next number of a splitmix64 sequence.
func (x *Index) draw() uint64 {
	x.random += 0x9e3779b97f4a7c15
	z := x.random
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return z ^ z>>31
}

// Remove forgets a worker and returns the attempts that were reserved on it.
func (x *Index) RemoveWorker(w model.WorkerID) []model.Attempt {
	i, ok := x.byID[w]
	if !ok {
		return nil
	}
	n := &x.nodes[i]
	attempts := slices.Clone(n.attempts)
	for _, a := range attempts {
		x.Release(a)
	}
	x.unhold(i)
	x.forgetHealth(i)
	n.known = false
	x.settle(i)
	x.racks.remove(n.worker.Rack, i)
	x.total = x.total.Sub(n.capacity)
	*n = node{attempts: n.attempts[:0]}
	x.reach.set(i, extent{})
	delete(x.byID, w)
	x.order = x.order[:0]
	x.vacant = append(x.vacant, i)
	return attempts
}

// SetDrained stops or resumes giving new work to a worker that operators have
// drained or that is leaving.
func (x *Index) SetDrained(w model.WorkerID, drained bool) {
	i, ok := x.byID[w]
	if !ok {
		return
	}
	x.nodes[i].drained = drained
	if drained {
		x.unhold(i)
	}
	x.settle(i)
}

// settle brings the sums and the trees in line with a node.
func (x *Index) settle(i int32) {
	n := &x.nodes[i]
	was := n.indexed
	if was {
		x.free = x.free.Sub(n.free.Max(model.Resources{}))
		x.room = x.room.Sub(n.room.Max(model.Resources{}))
	}
	n.recount(x.policy.UrgentHeadroom)
	n.indexed = n.usable()
	if n.indexed {
		x.free = x.free.Add(n.free.Max(model.Resources{}))
		x.room = x.room.Add(n.room.Max(model.Resources{}))
	}
	for k := range x.trees {
		t := &x.trees[k]
		switch {
		case was && n.indexed:
			t.update(x.nodes, i)
		case was:
			t.remove(x.nodes, i)
		case n.indexed:
			t.insert(x.nodes, i)
		}
	}
	x.reach.set(i, n.extent(x.policy.UrgentHeadroom))
}

// Reserve takes an amount of a worker for an attempt. It returns false and
// changes nothing when the worker is unknown, takes no new work or does not
// hold the amount, and when the attempt is reserved already. A quarantined
// worker takes one idempotent task at a time.
func (x *Index) Reserve(w model.WorkerID, a model.Attempt, r *model.Request, amount model.Resources) bool {
	i, ok := x.byID[w]
	if !ok || amount.HasNegative() {
		return false
	}
	if _, twice := x.entries[a]; twice {
		return false
	}
	n := &x.nodes[i]
	if n.drained || !amount.Fits(n.free) || !x.startProbe(i, a, r) {
		return false
	}
	if n.heldFor == r.ID {
		x.unhold(i)
	}
	x.add(i, a, entry{
		amount:  amount,
		class:   r.Class,
		service: r.Kind == model.KindService,
		yields:  r.Preemptible,
	})
	return true
}

// Adopt counts an attempt that already runs on a worker, even when the worker
// does not hold it: what runs there takes room whether it should or not. The
// report does not say whether the attempt may be preempted; see AllowPreemption.
func (x *Index) AddRunningAttempt(w model.WorkerID, report model.TaskReport) {
	i, ok := x.byID[w]
	if !ok || report.Resources.HasNegative() {
		return
	}
	x.Release(report.Attempt)
	x.add(i, report.Attempt, entry{
		amount:  report.Resources,
		class:   report.Class,
		service: report.Kind == model.KindService,
	})
}

// AllowPreemption says that an adopted attempt may be preempted.
func (x *Index) AllowPreemption(a model.Attempt) {
	e, ok := x.entries[a]
	if !ok || e.yields {
		return
	}
	n := &x.nodes[e.node]
	n.count(&e, -1)
	e.yields = true
	n.count(&e, 1)
	x.entries[a] = e
	x.settle(e.node)
}

func (x *Index) add(i int32, a model.Attempt, e entry) {
	n := &x.nodes[i]
	x.sequence++
	e.node, e.position, e.sequence = i, int32(len(n.attempts)), x.sequence
	n.attempts = append(n.attempts, a)
	n.count(&e, 1)
	x.entries[a] = e
	x.reserved = x.reserved.Add(e.amount)
	x.settle(i)
}

// count adds an entry to a node's sums, or takes it away with a factor of -1.
func (n *node) count(e *entry, factor int64) {
	amount := e.amount.Multiply(factor)
	n.reserved = n.reserved.Add(amount)
	if e.class == model.ClassUrgent {
		n.urgent = n.urgent.Add(amount)
	}
	if e.service {
		n.pinned = n.pinned.Add(amount)
	}
	if e.yields && e.class >= 1 && e.class <= model.ClassCount {
		n.yield[e.class-1] = n.yield[e.class-1].Add(amount)
	}
}

// Release gives back what an attempt has reserved and returns its worker.
func (x *Index) Release(a model.Attempt) (model.WorkerID, bool) {
	e, ok := x.entries[a]
	if !ok {
		return "", false
	}
	delete(x.entries, a)
	n := &x.nodes[e.node]
	last := len(n.attempts) - 1
	if moved := n.attempts[last]; moved != a {
		n.attempts[e.position] = moved
		m := x.entries[moved]
		m.position = e.position
		x.entries[moved] = m
	}
	n.attempts = n.attempts[:last]
	n.count(&e, -1)
	x.reserved = x.reserved.Sub(e.amount)
	x.endProbe(e.node, a)
	x.settle(e.node)
	return n.worker.ID, true
}

// Rules reports whether some worker could hold r when idle. If none could, it
// names the dimension that rules r out. An index without workers rules nothing
// out, because nothing is known.
func (x *Index) CanEverFit(r model.Resources) (dimension string, ok bool) {
	if len(x.byID) == 0 {
		return "", true
	}
	holds := func(e *extent) bool { return r.Fits(e.capacity) }
	if _, ok := x.reach.find(0, holds); ok {
		return "", true
	}
	if d := r.FirstExceeded(x.reach.largest()); d != "" {
		return d, false
	}
	// Each dimension fits some worker, but no worker fits all. The one that
	// the workers with the most processors lack is named.
	most := x.reach.largest().MilliCPU
	i, _ := x.reach.find(0, func(e *extent) bool { return e.capacity.MilliCPU >= most })
	return r.FirstExceeded(x.nodes[i].capacity), false
}

// Capacity summarises what is free for each class, without the waiting counts.
func (x *Index) FreeCapacity() [model.ClassCount]event.FreeCapacity {
	var c [model.ClassCount]event.FreeCapacity
	room := x.tree(processors, false).largest().Max(model.Resources{})
	free := x.tree(processors, true).largest().Max(model.Resources{})
	c[model.ClassUrgent-1] = event.FreeCapacity{Free: x.free, Largest: free}
	c[model.ClassStandard-1] = event.FreeCapacity{Free: x.room, Largest: room}
	c[model.ClassBackground-1] = c[model.ClassStandard-1]
	return c
}

// Total returns the capacity of all workers.
func (x *Index) TotalCapacity() model.Resources { return x.total }

// Reserved returns what is reserved on all workers.
func (x *Index) TotalReserved() model.Resources { return x.reserved }

// Len returns the number of workers.
func (x *Index) Len() int { return len(x.byID) }

// Workers yields every worker in ascending order of identifier.
func (x *Index) Workers() iter.Seq[View] {
	return func(yield func(View) bool) {
		for _, i := range x.sorted() {
			if !yield(x.nodes[i].view()) {
				return
			}
		}
	}
}

// sorted returns the workers in ascending order of identifier.
func (x *Index) sorted() []int32 {
	if len(x.order) == len(x.byID) {
		return x.order
	}
	for _, i := range x.byID {
		x.order = append(x.order, i)
	}
	slices.SortFunc(x.order, func(a, b int32) int {
		return strings.Compare(string(x.nodes[a].worker.ID), string(x.nodes[b].worker.ID))
	})
	return x.order
}

func (n *node) view() View {
	return View{
		Worker:      n.worker,
		Term:        n.term,
		Capacity:    n.capacity,
		Reserved:    n.reserved,
		Tasks:       len(n.attempts),
		Drained:     n.drained,
		Quarantined: n.health.quarantined,
		Held:        n.heldFor,
	}
}

// Largest returns the largest capacity of each dimension on one worker.
func (x *Index) LargestCapacity() model.Resources { return x.reach.largest() }
