package placement

import (
	"slices"

	"fuchsiacross/model"
)

// maxHeldFraction is the largest fraction of the workers that may be held at a time.
// One worker may be held in any case if there are at least two.
const maxHeldFraction = 1.0 / 16

// minHeldTaskFraction is the fraction of a worker that a single task must exceed for
// a worker to be held for it. Smaller tasks fit as others end. Holding workers for them
// cost 3% of a full cell of 7 workers and made other work wait half as long again.
const minHeldTaskFraction = 0.5

// HoldWorker holds one worker for a request that fits nowhere now. No other work is
// placed there, so that resources become free as its tasks end. It returns false if
// the task needs half of a worker or less and is not part of a gang, if enough
// workers are held already, or if no suitable worker is found. A gang, whose tasks
// start together, needs one call for each worker. The hold ends when the request
// reserves resources on the worker, with ReleaseHolds, and when the worker is
// drained, quarantined or removed.
func (x *Index) HoldWorker(req Requirements) (model.WorkerID, bool) {
	if len(x.nodeByID) < 2 || len(x.heldNodes) >= max(1, int(maxHeldFraction*float64(len(x.nodeByID)))) {
		return "", false
	}
	s := x.startSearch(&req)
	t := x.treeFor(s.dominant, true)
	i := s.findEmptiest(t, t.root)
	if i == 0 {
		return "", false
	}
	x.nodes[i].heldFor = req.Request.ID
	x.heldNodes = append(x.heldNodes, i)
	x.updateNode(i)
	return x.nodes[i].worker.ID, true
}

// findEmptiest returns the worker with the most free of the dominant dimension that
// will fit the task once everything on it but services has ended. It returns 0 if
// there is none or the search's budget is spent.
func (s *search) findEmptiest(t *tree, i int32) int32 {
	if i == 0 || s.visited > s.budget {
		return 0
	}
	s.visited++
	if found := s.findEmptiest(t, t.entries[i].right); found != 0 {
		return found
	}
	n := &s.index.nodes[i]
	if s.needsHold(n) && s.req.Resources.Fits(n.capacity.Sub(n.serviceReserved)) && !s.req.excludes(n.worker.ID) {
		return i
	}
	return s.findEmptiest(t, t.entries[i].left)
}

// needsHold reports whether the task is unlikely to fit the worker while other work
// is placed there. This holds for every task of a gang, because all of them must fit
// at the same time.
func (s *search) needsHold(n *node) bool {
	return s.req.Request.Gang || s.req.Resources.DominantShare(n.capacity) > minHeldTaskFraction
}

// ReleaseHolds ends the holds of all workers that are held for a request.
func (x *Index) ReleaseHolds(request model.RequestID) {
	for k := len(x.heldNodes) - 1; k >= 0; k-- {
		if i := x.heldNodes[k]; x.nodes[i].heldFor == request {
			x.clearHold(i)
			x.updateNode(i)
		}
	}
}

// clearHold ends the hold of a node, if any. The caller must call updateNode.
func (x *Index) clearHold(i int32) {
	if x.nodes[i].heldFor == "" {
		return
	}
	x.nodes[i].heldFor = ""
	k := slices.Index(x.heldNodes, i)
	x.heldNodes = slices.Delete(x.heldNodes, k, k+1)
}

// findHeldFor returns a worker that is held for the request and that the task fits
// now. The headroom does not apply there, because the worker was emptied for the
// request.
func (x *Index) findHeldFor(req *Requirements) (int32, bool) {
	for _, i := range x.heldNodes {
		n := &x.nodes[i]
		if n.heldFor == req.Request.ID && req.Resources.Fits(n.free) && !req.excludes(n.worker.ID) {
			return i, true
		}
	}
	return 0, false
}

// findHeldForOther returns a held worker that the task fits, for urgent work that
// fits nowhere else.
func (x *Index) findHeldForOther(req *Requirements) (int32, bool) {
	for _, i := range x.heldNodes[:min(len(x.heldNodes), maxHeldTried)] {
		n := &x.nodes[i]
		if req.Resources.Fits(n.free) && !req.excludes(n.worker.ID) {
			return i, true
		}
	}
	return 0, false
}
