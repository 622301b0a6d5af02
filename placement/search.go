package placement

import (
	"math"
	"math/bits"
	"slices"
	"time"

	"fuchsiacross/model"
)

const (
	// sampled is the number of fitting workers scored from each end of a tree.
	sampled = 4
	// entriesPerLevel bounds the tree entries examined from each end, for each
	// level of a balanced tree. A search that has found nothing goes on.
	entriesPerLevel = 2
	// heldTried bounds how many held workers one decision examines.
	heldTried = 8
)

// search looks for the best worker for one ask. It lives in the index, so that
// a decision allocates nothing.
type search struct {
	x       *Index
	ask     Requirements
	dim     dimension // dominant dimension of the ask
	need    int64     // amount of the dominant dimension
	urgent  bool
	waiting float64 // weights
	packing float64
	found   int // fitting workers from the present end
	budget  int // tree entries to examine before the first fit suffices
	visited int // tree entries examined
	best    int32
	score   float64
	reason  Reason
	end     Reason // the reason that the present end stands for
}

// Pick chooses a worker for one task, or returns false when no worker that
// takes new work has room. Nothing is reserved.
func (x *Index) Pick(now time.Time, ask Requirements) (Choice, bool) {
	if len(x.byID) == 0 || ask.Resources.HasNegative() {
		return Choice{}, false
	}
	if i, ok := x.heldTarget(&ask); ok {
		return x.choice(i, ReasonHeld), true
	}
	if i, ok := x.probeTarget(now, &ask); ok {
		return x.choice(i, ReasonProbe), true
	}
	if ask.Request.Kind == model.KindService {
		x.countTasks(ask.ServiceWorkers)
		i, ok := x.racks.pick(x, &ask)
		x.racks.clearTasks()
		if ok {
			return x.choice(i, ReasonRack), true
		}
	}
	if i, ok := x.pickAnywhere(&ask); ok {
		return x.choice(i, x.search.reason), true
	}
	if ask.urgent() {
		if i, ok := x.anyHeld(&ask); ok {
			return x.choice(i, ReasonLastResort), true
		}
	}
	return Choice{}, false
}

func (x *Index) choice(i int32, r Reason) Choice {
	return Choice{Worker: x.nodes[i].worker.ID, Term: x.nodes[i].term, Reason: r}
}

// begin prepares the index's search for an ask.
func (x *Index) begin(ask *Requirements) *search {
	d := dominant(&ask.Resources, &x.total)
	x.search = search{
		x:       x,
		ask:     *ask,
		dim:     d,
		need:    d.of(&ask.Resources),
		urgent:  ask.urgent(),
		waiting: x.policy.WaitingWeight,
		packing: x.policy.PackingWeight,
		budget:  entriesPerLevel * bits.Len(uint(len(x.byID))),
	}
	return &x.search
}

// run examines the fullest and the emptiest workers that fit.
func (s *search) run() {
	t := s.x.tree(s.dim, s.urgent)
	s.found, s.end = 0, ReasonBestFit
	s.ascend(t, t.root)
	if s.best == 0 || !s.spreads() {
		return
	}
	s.found, s.end = 0, ReasonLeastLoaded
	s.budget += s.visited
	s.descend(t, t.root)
}

// spreads reports whether emptier workers can have a better score.
func (s *search) spreads() bool { return s.waiting > 0 }

// done reports whether enough workers were examined. A search that has found
// nothing goes on, so that a worker that fits is never missed.
func (s *search) done() bool {
	return s.found >= sampled || (s.best != 0 && s.visited > s.budget)
}

// prunes reports whether nothing below a tree entry can fit.
func (s *search) prunes(l *link) bool {
	s.visited++
	return !s.ask.Resources.Fits(l.most)
}

// ascend examines a subtree from the least free amount on.
func (s *search) ascend(t *tree, i int32) {
	if i == 0 || s.done() || s.prunes(&t.links[i]) {
		return
	}
	if t.links[i].key >= s.need {
		s.ascend(t, t.links[i].left)
		s.consider(i)
	}
	s.ascend(t, t.links[i].right)
}

// descend examines a subtree from the greatest free amount on.
func (s *search) descend(t *tree, i int32) {
	if i == 0 || s.done() || s.prunes(&t.links[i]) {
		return
	}
	s.descend(t, t.links[i].right)
	if t.links[i].key >= s.need {
		s.consider(i)
		s.descend(t, t.links[i].left)
	}
}

// consider scores a worker if it fits.
func (s *search) consider(i int32) {
	n := &s.x.nodes[i]
	if s.done() || !s.ask.Resources.Fits(*n.space(s.urgent)) || s.ask.excludes(n.worker.ID) {
		return
	}
	s.found++
	score := s.rank(n)
	if s.best == 0 || score > s.score {
		s.best, s.score, s.reason = i, score, s.end
	}
}

const (
	// calmShare is the part of the waiting weight that applies to work nobody
	// waits for: spreading it breaks up the holes that large tasks need.
	calmShare = 0.25
	// strandedWeight is how much an imbalance between free processors and free
	// memory counts against a worker, relative to the fit. With 0 to 0.5 a full
	// cell of Cobán's workers holds 2 to 5% less.
	strandedWeight = 1
	// acceleratorWeight is how much idle accelerators count against a worker
	// for work that needs none.
	acceleratorWeight = 1
	// failureWeight is how much a worker's failure rate counts against it.
	failureWeight = 2
)

// rank scores a worker; higher is better.
func (s *search) rank(n *node) float64 {
	left := n.free.Sub(s.ask.Resources)
	cpu := share(left.MilliCPU, n.capacity.MilliCPU)
	mem := share(left.MemoryBytes, n.capacity.MemoryBytes)
	hole := share(s.dim.of(&left), s.dim.of(&n.capacity))
	stranded := 0.0
	if n.capacity.MilliCPU > 0 && n.capacity.MemoryBytes > 0 {
		stranded = math.Abs(cpu - mem)
	}
	fit := 1 - hole - strandedWeight*stranded
	calm := min(cpu, mem, hole)
	weight := s.waiting
	if !s.urgent {
		weight *= calmShare
	}
	score := s.packing*fit + weight*calm - failureWeight*n.health.rate
	if s.ask.Resources.Accelerators == 0 {
		score -= acceleratorWeight * share(left.Accelerators, n.capacity.Accelerators)
	}
	return score
}

// share returns a part of a whole, or 1 where there is no whole.
func share(part, whole int64) float64 {
	if whole <= 0 {
		return 1
	}
	return float64(part) / float64(whole)
}

func (a *Requirements) excludes(w model.WorkerID) bool { return slices.Contains(a.ExcludedWorkers, w) }
