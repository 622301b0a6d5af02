package placement

import (
	"iter"
	"slices"
	"strings"

	"fuchsiacross/event"
	"fuchsiacross/model"
)

// Index records the workers whose leases an instance holds and the resources that
// are reserved on them. It is not safe for concurrent use.
type Index struct {
	policy             Policy
	randomState        uint64 // state of the generator of tree priorities
	nodes              []node
	vacantNodes        []int32 // indexes of unused nodes
	nodeByID           map[model.WorkerID]int32
	trees              [2 * dimensionCount]tree // by dimension: first those for other work, then those for urgent work
	potentials         potentialTree
	racks              racks
	reservations       map[model.Attempt]reservation
	sortedCache        []int32 // cache of nodesByWorkerID; empty if out of date
	sequence           uint64
	totalCapacity      model.Resources
	totalReserved      model.Resources
	totalFree          model.Resources // sum of free over schedulable workers
	totalFreeNonUrgent model.Resources // sum of freeNonUrgent over schedulable workers
	probeQueue         []int32         // quarantined workers without a running probe, ordered by backoffEnd
	quarantinedCount   int
	failureRateSum     float64 // sum of the failure rates of all workers
	heldNodes          []int32 // workers held for large requests
	victimCursor       int32   // node at which the next search for preemption victims starts
	search             search
	usage              usage
}

// reservation is the part of a worker's resources reserved for one attempt.
type reservation struct {
	node        int32
	position    int32 // index in the node's attempts
	amount      model.Resources
	sequence    uint64 // greater for later reservations
	class       model.Class
	isService   bool
	preemptible bool
}

// WorkerView is a copy of the index's record of one worker.
type WorkerView struct {
	Worker      model.Worker
	Term        model.Term
	Capacity    model.Resources
	Reserved    model.Resources
	Tasks       int // number of attempts with a reservation
	Drained     bool
	Quarantined bool
	HeldFor     model.RequestID // large request that the worker is held for, or empty
}

// New returns an empty index. The seed determines the shape of the trees, and
// thereby which of several workers with equal scores is chosen.
func New(p Policy, seed uint64) *Index {
	x := &Index{
		policy:       p,
		randomState:  seed,
		nodes:        make([]node, 1),
		nodeByID:     make(map[model.WorkerID]int32),
		reservations: make(map[model.Attempt]reservation),
		usage:        usage{workloads: make(map[workloadKey]*workloadUsage)},
	}
	for k := range x.trees {
		d := dimension(k)
		x.trees[k] = tree{dimension: d % dimensionCount, urgent: d >= dimensionCount, entries: make([]treeEntry, 1)}
	}
	return x
}

// SetPolicy replaces the policy for later decisions.
func (x *Index) SetPolicy(p Policy) {
	headroom := x.policy.UrgentHeadroom
	x.policy = p
	if headroom == p.UrgentHeadroom {
		return
	}
	for i := 1; i < len(x.nodes); i++ {
		if x.nodes[i].registered {
			x.updateNode(int32(i))
		}
	}
}

// UpsertWorker adds a worker, or replaces its properties and keeps its
// reservations. A worker that is leaving counts as drained.
func (x *Index) UpsertWorker(w model.Worker, term model.Term, capacity model.Resources) {
	i, ok := x.nodeByID[w.ID]
	if !ok {
		i = x.allocateNode()
		x.nodeByID[w.ID] = i
		x.sortedCache = x.sortedCache[:0]
		x.nodes[i].rack = x.racks.add(w.Rack, i)
	} else if x.nodes[i].worker.Rack != w.Rack {
		x.racks.remove(x.nodes[i].worker.Rack, i)
		x.nodes[i].rack = x.racks.add(w.Rack, i)
	}
	n := &x.nodes[i]
	x.totalCapacity = x.totalCapacity.Sub(n.capacity).Add(capacity)
	n.worker, n.term, n.capacity, n.registered = w, term, capacity, true
	n.drained = n.drained || w.Leaving
	x.updateNode(i)
}

// allocateNode returns the index of an unused node.
func (x *Index) allocateNode() int32 {
	if k := len(x.vacantNodes); k > 0 {
		i := x.vacantNodes[k-1]
		x.vacantNodes = x.vacantNodes[:k-1]
		return i
	}
	i := int32(len(x.nodes))
	x.nodes = append(x.nodes, node{})
	for k := range x.trees {
		x.trees[k].entries = append(x.trees[k].entries, treeEntry{priority: x.nextRandom()})
	}
	x.potentials.grow(len(x.nodes))
	return i
}

// treeFor returns the tree of a dimension for urgent or for other work.
func (x *Index) treeFor(d dimension, urgent bool) *tree {
	if urgent {
		d += dimensionCount
	}
	return &x.trees[d]
}

// nextRandom returns the next number of a splitmix64 sequence.
func (x *Index) nextRandom() uint64 {
	x.randomState += 0x9e3779b97f4a7c15
	z := x.randomState
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return z ^ z>>31
}

// RemoveWorker removes a worker with its reservations, and returns the attempts
// that they were for.
func (x *Index) RemoveWorker(w model.WorkerID) []model.Attempt {
	i, ok := x.nodeByID[w]
	if !ok {
		return nil
	}
	n := &x.nodes[i]
	attempts := slices.Clone(n.attempts)
	for _, a := range attempts {
		x.Release(a)
	}
	x.clearHold(i)
	x.resetHealth(i)
	n.registered = false
	x.updateNode(i)
	x.racks.remove(n.worker.Rack, i)
	x.totalCapacity = x.totalCapacity.Sub(n.capacity)
	*n = node{attempts: n.attempts[:0]}
	x.potentials.set(i, potential{})
	delete(x.nodeByID, w)
	x.sortedCache = x.sortedCache[:0]
	x.vacantNodes = append(x.vacantNodes, i)
	return attempts
}

// SetDrained excludes a worker from new work, because an operator has drained it
// or because it is leaving, or includes it again. Draining ends a hold.
func (x *Index) SetDrained(w model.WorkerID, drained bool) {
	i, ok := x.nodeByID[w]
	if !ok {
		return
	}
	x.nodes[i].drained = drained
	if drained {
		x.clearHold(i)
	}
	x.updateNode(i)
}

// updateNode updates the sums and the trees after a change of a node.
func (x *Index) updateNode(i int32) {
	n := &x.nodes[i]
	wasInTrees := n.inTrees
	if wasInTrees {
		x.totalFree = x.totalFree.Sub(n.free.Max(model.Resources{}))
		x.totalFreeNonUrgent = x.totalFreeNonUrgent.Sub(n.freeNonUrgent.Max(model.Resources{}))
	}
	n.updateFree(x.policy.UrgentHeadroom)
	n.inTrees = n.isSchedulable()
	if n.inTrees {
		x.totalFree = x.totalFree.Add(n.free.Max(model.Resources{}))
		x.totalFreeNonUrgent = x.totalFreeNonUrgent.Add(n.freeNonUrgent.Max(model.Resources{}))
	}
	for k := range x.trees {
		t := &x.trees[k]
		switch {
		case wasInTrees && n.inTrees:
			t.update(x.nodes, i)
		case wasInTrees:
			t.remove(x.nodes, i)
		case n.inTrees:
			t.insert(x.nodes, i)
		}
	}
	x.potentials.set(i, n.potential(x.policy.UrgentHeadroom))
}

// Reserve reserves an amount of a worker for an attempt. It returns false and
// changes nothing if the worker is unknown or drained, if the amount is negative or
// exceeds what is free, or if the attempt has a reservation already. A quarantined
// worker accepts one idempotent task at a time, as a probe.
func (x *Index) Reserve(w model.WorkerID, a model.Attempt, r *model.Request, amount model.Resources) bool {
	i, ok := x.nodeByID[w]
	if !ok || amount.HasNegative() {
		return false
	}
	if _, exists := x.reservations[a]; exists {
		return false
	}
	n := &x.nodes[i]
	if n.drained || !amount.Fits(n.free) || !x.tryStartProbe(i, a, r) {
		return false
	}
	if n.heldFor == r.ID {
		x.clearHold(i)
	}
	x.addReservation(i, a, reservation{
		amount:      amount,
		class:       r.Class,
		isService:   r.Kind == model.KindService,
		preemptible: r.Preemptible,
	})
	return true
}

// AddRunningAttempt adds a reservation for an attempt that already runs on a
// worker, even if it exceeds the free amount, because a running attempt uses
// resources in any case. The report does not say whether the attempt may be
// preempted; see AllowPreemption.
func (x *Index) AddRunningAttempt(w model.WorkerID, report model.TaskReport) {
	i, ok := x.nodeByID[w]
	if !ok || report.Resources.HasNegative() {
		return
	}
	x.Release(report.Attempt)
	x.addReservation(i, report.Attempt, reservation{
		amount:    report.Resources,
		class:     report.Class,
		isService: report.Kind == model.KindService,
	})
}

// AllowPreemption marks an attempt added by AddRunningAttempt as preemptible.
func (x *Index) AllowPreemption(a model.Attempt) {
	r, ok := x.reservations[a]
	if !ok || r.preemptible {
		return
	}
	n := &x.nodes[r.node]
	n.adjustSums(&r, -1)
	r.preemptible = true
	n.adjustSums(&r, 1)
	x.reservations[a] = r
	x.updateNode(r.node)
}

// addReservation adds a reservation to a node without any check.
func (x *Index) addReservation(i int32, a model.Attempt, r reservation) {
	n := &x.nodes[i]
	x.sequence++
	r.node, r.position, r.sequence = i, int32(len(n.attempts)), x.sequence
	n.attempts = append(n.attempts, a)
	n.adjustSums(&r, 1)
	x.reservations[a] = r
	x.totalReserved = x.totalReserved.Add(r.amount)
	x.updateNode(i)
}

// adjustSums adds a reservation to a node's sums, or subtracts it if factor is -1.
func (n *node) adjustSums(r *reservation, factor int64) {
	amount := r.amount.Multiply(factor)
	n.reserved = n.reserved.Add(amount)
	if r.class == model.ClassUrgent {
		n.urgentReserved = n.urgentReserved.Add(amount)
	}
	if r.isService {
		n.serviceReserved = n.serviceReserved.Add(amount)
	}
	if r.preemptible && r.class >= 1 && r.class <= model.ClassCount {
		n.preemptible[r.class-1] = n.preemptible[r.class-1].Add(amount)
	}
}

// Release removes the reservation of an attempt and returns its worker. It returns
// false if the attempt has none.
func (x *Index) Release(a model.Attempt) (model.WorkerID, bool) {
	r, ok := x.reservations[a]
	if !ok {
		return "", false
	}
	delete(x.reservations, a)
	n := &x.nodes[r.node]
	last := len(n.attempts) - 1
	if moved := n.attempts[last]; moved != a {
		n.attempts[r.position] = moved
		other := x.reservations[moved]
		other.position = r.position
		x.reservations[moved] = other
	}
	n.attempts = n.attempts[:last]
	n.adjustSums(&r, -1)
	x.totalReserved = x.totalReserved.Sub(r.amount)
	x.endProbe(r.node, a)
	x.updateNode(r.node)
	return n.worker.ID, true
}

// CanEverFit reports whether r fits the whole capacity of some worker. If it fits
// none, the dimension that is exceeded is returned. An index without workers
// reports true, because nothing is known about the capacity.
func (x *Index) CanEverFit(r model.Resources) (exceeded string, ok bool) {
	if len(x.nodeByID) == 0 {
		return "", true
	}
	matches := func(p *potential) bool { return r.Fits(p.capacity) }
	if _, ok := x.potentials.findFirst(0, matches); ok {
		return "", true
	}
	if d := r.FirstExceeded(x.potentials.largestCapacity()); d != "" {
		return d, false
	}
	// Each dimension fits some worker, but no worker fits all of them. Return
	// the dimension that a worker with the most processors lacks.
	maxMilliCPU := x.potentials.largestCapacity().MilliCPU
	i, _ := x.potentials.findFirst(0, func(p *potential) bool { return p.capacity.MilliCPU >= maxMilliCPU })
	return r.FirstExceeded(x.nodes[i].capacity), false
}

// FreeCapacity returns what is free for each class: the sum over the schedulable
// workers, and the maximum of each dimension on one of them. The counts of waiting
// work are left at zero.
func (x *Index) FreeCapacity() [model.ClassCount]event.FreeCapacity {
	var c [model.ClassCount]event.FreeCapacity
	freeNonUrgent := x.treeFor(processors, false).maxFree().Max(model.Resources{})
	free := x.treeFor(processors, true).maxFree().Max(model.Resources{})
	c[model.ClassUrgent-1] = event.FreeCapacity{Free: x.totalFree, Largest: free}
	c[model.ClassStandard-1] = event.FreeCapacity{Free: x.totalFreeNonUrgent, Largest: freeNonUrgent}
	c[model.ClassBackground-1] = c[model.ClassStandard-1]
	return c
}

// TotalCapacity returns the sum of the capacities of all workers.
func (x *Index) TotalCapacity() model.Resources { return x.totalCapacity }

// TotalReserved returns the sum of all reservations.
func (x *Index) TotalReserved() model.Resources { return x.totalReserved }

// Len returns the number of workers.
func (x *Index) Len() int { return len(x.nodeByID) }

// Workers returns an iterator over all workers in ascending order of ID.
func (x *Index) Workers() iter.Seq[WorkerView] {
	return func(yield func(WorkerView) bool) {
		for _, i := range x.nodesByWorkerID() {
			if !yield(x.nodes[i].view()) {
				return
			}
		}
	}
}

// nodesByWorkerID returns the nodes in ascending order of worker ID.
func (x *Index) nodesByWorkerID() []int32 {
	if len(x.sortedCache) == len(x.nodeByID) {
		return x.sortedCache
	}
	for _, i := range x.nodeByID {
		x.sortedCache = append(x.sortedCache, i)
	}
	slices.SortFunc(x.sortedCache, func(a, b int32) int {
		return strings.Compare(string(x.nodes[a].worker.ID), string(x.nodes[b].worker.ID))
	})
	return x.sortedCache
}

// view returns a copy of the node's record.
func (n *node) view() WorkerView {
	return WorkerView{
		Worker:      n.worker,
		Term:        n.term,
		Capacity:    n.capacity,
		Reserved:    n.reserved,
		Tasks:       len(n.attempts),
		Drained:     n.drained,
		Quarantined: n.health.quarantined,
		HeldFor:     n.heldFor,
	}
}

// LargestCapacity returns the maximum of each dimension over the capacities of all
// workers. The maxima may belong to different workers.
func (x *Index) LargestCapacity() model.Resources { return x.potentials.largestCapacity() }
