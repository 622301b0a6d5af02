package placement

import (
	"math"
	"math/bits"
	"slices"
	"time"

	"fuchsiacross/model"
)

const (
	// maxCandidates is the number of fitting workers that are scored from each end
	// of a tree.
	maxCandidates = 4
	// maxEntriesPerLevel limits the tree entries examined from each end, per level
	// of a balanced tree. The limit does not apply before a worker that fits is found.
	maxEntriesPerLevel = 2
	// maxHeldTried limits how many held workers one decision examines.
	maxHeldTried = 8
)

// search is the state of the search for the best worker for one task. It is a
// field of the index, so that a decision allocates nothing.
type search struct {
	index         *Index
	req           Requirements
	dominant      dimension // dominant dimension of the task
	need          int64     // amount needed of the dominant dimension
	urgent        bool
	waitingWeight float64 // from the policy
	packingWeight float64 // from the policy
	candidates    int     // fitting workers scored from the current end of the tree
	budget        int     // tree entries to examine, after which any worker found is accepted
	visited       int     // tree entries examined
	best          int32   // node with the best score, or 0
	bestScore     float64
	bestReason    Reason
	currentReason Reason // reason for choosing a worker from the current end
}

// Pick chooses a worker for one task, or returns false if the task fits no worker.
// Nothing is reserved. Pick tries in order: a worker held for the request; for an
// idempotent task, a quarantined worker whose probe is due; for a service, a rack with
// few of its tasks; the worker with the best score; for urgent work, a worker held for
// another request.
func (x *Index) Pick(now time.Time, req Requirements) (Choice, bool) {
	if len(x.nodeByID) == 0 || req.Resources.HasNegative() {
		return Choice{}, false
	}
	if i, ok := x.findHeldFor(&req); ok {
		return x.newChoice(i, ReasonHeld), true
	}
	if i, ok := x.findProbeTarget(now, &req); ok {
		return x.newChoice(i, ReasonProbe), true
	}
	if req.Request.Kind == model.KindService {
		x.countServiceTasks(req.ServiceWorkers)
		i, ok := x.racks.pick(x, &req)
		x.racks.clearServiceTasks()
		if ok {
			return x.newChoice(i, ReasonRack), true
		}
	}
	if i, ok := x.pickBestScore(&req); ok {
		return x.newChoice(i, x.search.bestReason), true
	}
	if req.isUrgent() {
		if i, ok := x.findHeldForOther(&req); ok {
			return x.newChoice(i, ReasonLastResort), true
		}
	}
	return Choice{}, false
}

// newChoice returns the choice of a node.
func (x *Index) newChoice(i int32, r Reason) Choice {
	return Choice{Worker: x.nodes[i].worker.ID, Term: x.nodes[i].term, Reason: r}
}

// startSearch resets the index's search for a task.
func (x *Index) startSearch(req *Requirements) *search {
	d := dominantDimension(&req.Resources, &x.totalCapacity)
	x.search = search{
		index:         x,
		req:           *req,
		dominant:      d,
		need:          d.amountIn(&req.Resources),
		urgent:        req.isUrgent(),
		waitingWeight: x.policy.WaitingWeight,
		packingWeight: x.policy.PackingWeight,
		budget:        maxEntriesPerLevel * bits.Len(uint(len(x.nodeByID))),
	}
	return &x.search
}

// run scores the fullest workers that fit and, if the policy weighs waiting time,
// the emptiest.
func (s *search) run() {
	t := s.index.treeFor(s.dominant, s.urgent)
	s.candidates, s.currentReason = 0, ReasonBestFit
	s.visitAscending(t, t.root)
	if s.best == 0 || !s.prefersEmptier() {
		return
	}
	s.candidates, s.currentReason = 0, ReasonLeastLoaded
	s.budget += s.visited
	s.visitDescending(t, t.root)
}

// prefersEmptier reports whether emptier workers can have a better score.
func (s *search) prefersEmptier() bool { return s.waitingWeight > 0 }

// isDone reports whether enough workers were examined. The budget does not apply
// before a worker is found, so that a worker that fits is never missed.
func (s *search) isDone() bool {
	return s.candidates >= maxCandidates || (s.best != 0 && s.visited > s.budget)
}

// visitAndPrune counts a tree entry as visited and reports whether no worker in its
// subtree can fit.
func (s *search) visitAndPrune(e *treeEntry) bool {
	s.visited++
	return !s.req.Resources.Fits(e.subtreeMax)
}

// visitAscending examines a subtree in ascending order of the free amount.
func (s *search) visitAscending(t *tree, i int32) {
	if i == 0 || s.isDone() || s.visitAndPrune(&t.entries[i]) {
		return
	}
	if t.entries[i].key >= s.need {
		s.visitAscending(t, t.entries[i].left)
		s.considerNode(i)
	}
	s.visitAscending(t, t.entries[i].right)
}

// visitDescending examines a subtree in descending order of the free amount.
func (s *search) visitDescending(t *tree, i int32) {
	if i == 0 || s.isDone() || s.visitAndPrune(&t.entries[i]) {
		return
	}
	s.visitDescending(t, t.entries[i].right)
	if t.entries[i].key >= s.need {
		s.considerNode(i)
		s.visitDescending(t, t.entries[i].left)
	}
}

// considerNode scores a worker if the task fits it.
func (s *search) considerNode(i int32) {
	n := &s.index.nodes[i]
	if s.isDone() || !s.req.Resources.Fits(*n.freeFor(s.urgent)) || s.req.excludes(n.worker.ID) {
		return
	}
	s.candidates++
	score := s.scoreNode(n)
	if s.best == 0 || score > s.bestScore {
		s.best, s.bestScore, s.bestReason = i, score, s.currentReason
	}
}

const (
	// nonUrgentWaitingFactor scales the waiting weight for work that is not urgent,
	// because no person waits for it. Spreading such work over the workers fragments
	// the free capacity that large tasks need.
	nonUrgentWaitingFactor = 0.25
	// imbalanceWeight is the penalty for an imbalance between free processors and
	// free memory, relative to the fit. With 0 to 0.5, a full cell of the workers
	// of the deployment Cobán holds 2 to 5% less work.
	imbalanceWeight = 1
	// idleAcceleratorWeight is the penalty for a worker's idle accelerators if the
	// task needs none.
	idleAcceleratorWeight = 1
	// failureRateWeight is the penalty for a worker's failure rate.
	failureRateWeight = 2
)

// scoreNode returns the score of a worker for the task; higher is better.
func (s *search) scoreNode(n *node) float64 {
	left := n.free.Sub(s.req.Resources)
	freeProcessors := fractionOf(left.MilliCPU, n.capacity.MilliCPU)
	freeMemory := fractionOf(left.MemoryBytes, n.capacity.MemoryBytes)
	freeDominant := fractionOf(s.dominant.amountIn(&left), s.dominant.amountIn(&n.capacity))
	imbalance := 0.0
	if n.capacity.MilliCPU > 0 && n.capacity.MemoryBytes > 0 {
		imbalance = math.Abs(freeProcessors - freeMemory)
	}
	fit := 1 - freeDominant - imbalanceWeight*imbalance
	minFree := min(freeProcessors, freeMemory, freeDominant)
	weight := s.waitingWeight
	if !s.urgent {
		weight *= nonUrgentWaitingFactor
	}
	score := s.packingWeight*fit + weight*minFree - failureRateWeight*n.health.failureRate
	if s.req.Resources.Accelerators == 0 {
		score -= idleAcceleratorWeight * fractionOf(left.Accelerators, n.capacity.Accelerators)
	}
	return score
}

// fractionOf returns part/whole, or 1 if whole is not positive.
func fractionOf(part, whole int64) float64 {
	if whole <= 0 {
		return 1
	}
	return float64(part) / float64(whole)
}

// excludes reports whether the worker must not be chosen.
func (r *Requirements) excludes(w model.WorkerID) bool { return slices.Contains(r.ExcludedWorkers, w) }
