package placement

import (
	"slices"

	"fuchsiacross/model"
)

// maxHeld is the largest share of workers kept for large requests at a time; one
// worker may be kept in any case where there are at least two.
const maxHeld = 1.0 / 16

// minHeldShare is the share of a worker that a single task must exceed for a
// worker to be held for it. Smaller tasks find room as others end; holding
// workers for them took 3% of a full cell of 7 workers and made other work wait
// half as long again.
const minHeldShare = 0.5

// Hold keeps a worker for a request that does not fit anywhere now: other work
// no longer goes there, so that room appears as tasks end. It returns false when
// the task needs half of a worker or less and is not part of a gang, and when
// enough workers are held. One call keeps one
// worker; a gang needs one call for each worker. The hold ends when the
// request reserves room there, and with Unhold.
func (x *Index) HoldWorker(ask Requirements) (model.WorkerID, bool) {
	if len(x.byID) < 2 || len(x.held) >= max(1, int(maxHeld*float64(len(x.byID)))) {
		return "", false
	}
	s := x.begin(&ask)
	t := x.tree(s.dim, true)
	i := s.emptiest(t, t.root)
	if i == 0 {
		return "", false
	}
	x.nodes[i].heldFor = ask.Request.ID
	x.held = append(x.held, i)
	x.settle(i)
	return x.nodes[i].worker.ID, true
}

// emptiest returns the worker with the most free of the dominant dimension that
// will hold the ask once everything but its services has ended. It gives up
// after the search's budget.
func (s *search) emptiest(t *tree, i int32) int32 {
	if i == 0 || s.visited > s.budget {
		return 0
	}
	s.visited++
	if found := s.emptiest(t, t.links[i].right); found != 0 {
		return found
	}
	n := &s.x.nodes[i]
	if s.needsAll(n) && s.ask.Resources.Fits(n.capacity.Sub(n.pinned)) && !s.ask.excludes(n.worker.ID) {
		return i
	}
	return s.emptiest(t, t.links[i].left)
}

// needsAll reports whether the task is too large to find room on a worker that
// takes other work. Every task of a gang is, because all need room at once.
func (s *search) needsAll(n *node) bool {
	return s.ask.Request.Gang || s.ask.Resources.DominantShare(n.capacity) > minHeldShare
}

// Unhold gives up every worker kept for a request.
func (x *Index) ReleaseHolds(request model.RequestID) {
	for k := len(x.held) - 1; k >= 0; k-- {
		if i := x.held[k]; x.nodes[i].heldFor == request {
			x.unhold(i)
			x.settle(i)
		}
	}
}

// unhold ends a hold without settling the node.
func (x *Index) unhold(i int32) {
	if x.nodes[i].heldFor == "" {
		return
	}
	x.nodes[i].heldFor = ""
	k := slices.Index(x.held, i)
	x.held = slices.Delete(x.held, k, k+1)
}

// heldTarget returns a worker kept for the request that holds it by now. The
// headroom does not apply there, because the worker was emptied for the request.
func (x *Index) heldTarget(ask *Requirements) (int32, bool) {
	for _, i := range x.held {
		n := &x.nodes[i]
		if n.heldFor == ask.Request.ID && ask.Resources.Fits(n.free) && !ask.excludes(n.worker.ID) {
			return i, true
		}
	}
	return 0, false
}

// anyHeld returns a worker kept for another request, for urgent work that fits
// nowhere else.
func (x *Index) anyHeld(ask *Requirements) (int32, bool) {
	for _, i := range x.held[:min(len(x.held), heldTried)] {
		n := &x.nodes[i]
		if ask.Resources.Fits(n.free) && !ask.excludes(n.worker.ID) {
			return i, true
		}
	}
	return 0, false
}
