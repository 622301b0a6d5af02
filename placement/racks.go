package placement

import (
	"slices"

	"fuchsiacross/model"
)

// racks lists the racks in the order in which they were added. A rack is a group of
// workers that may fail together.
type racks struct {
	list   []*rack
	cursor int // index in list at which the next search starts
}

type rack struct {
	name         model.Rack
	workers      []int32
	serviceTasks int // tasks of the service that is being placed
}

const (
	// maxRacksCompared limits how many racks with a fitting worker are compared.
	maxRacksCompared = 4
	// maxRacksExamined limits how many racks are examined for one task.
	maxRacksExamined = 16
	// maxWorkersPerRack limits how many workers of a rack are examined.
	maxWorkersPerRack = 16
)

// find returns the index of a rack in the list, or -1.
func (r *racks) find(name model.Rack) int {
	return slices.IndexFunc(r.list, func(k *rack) bool { return k.name == name })
}

// add adds a worker to a rack, which is created if needed, and returns the rack.
func (r *racks) add(name model.Rack, i int32) *rack {
	k := r.find(name)
	if k < 0 {
		r.list = append(r.list, &rack{name: name})
		k = len(r.list) - 1
	}
	r.list[k].workers = append(r.list[k].workers, i)
	return r.list[k]
}

// remove removes a worker from a rack, and the rack if it is empty then.
func (r *racks) remove(name model.Rack, i int32) {
	k := r.find(name)
	if k < 0 {
		return
	}
	at := slices.Index(r.list[k].workers, i)
	if at >= 0 {
		r.list[k].workers = slices.Delete(r.list[k].workers, at, at+1)
	}
	if len(r.list[k].workers) == 0 {
		r.list = slices.Delete(r.list, k, k+1)
	}
}

// pick returns a worker in the rack with the fewest tasks of the service, among a
// limited number of racks. Of racks with equally many, the better score decides.
func (r *racks) pick(x *Index, req *Requirements) (int32, bool) {
	s := x.startSearch(req)
	fewest, compared := 0, 0
	start := r.cursor
	for k := 0; k < len(r.list) && k < maxRacksExamined && compared < maxRacksCompared; k++ {
		at := (start + k) % len(r.list)
		best, score := r.bestInRack(s, r.list[at])
		if best == 0 {
			continue
		}
		compared++
		tasks := r.list[at].serviceTasks
		if s.best == 0 || tasks < fewest || (tasks == fewest && score > s.bestScore) {
			s.best, s.bestScore, fewest = best, score, tasks
			r.cursor = at + 1
		}
	}
	return s.best, s.best != 0
}

// bestInRack returns the worker of a rack with the best score, or 0 if none fits.
func (r *racks) bestInRack(s *search, k *rack) (int32, float64) {
	best, score := int32(0), 0.0
	for _, i := range k.workers[:min(len(k.workers), maxWorkersPerRack)] {
		n := &s.index.nodes[i]
		if !n.inTrees || !s.req.Resources.Fits(*n.freeFor(s.urgent)) || s.req.excludes(n.worker.ID) {
			continue
		}
		if nodeScore := s.scoreNode(n); best == 0 || nodeScore > score {
			best, score = i, nodeScore
		}
	}
	return best, score
}

// countServiceTasks counts one task of the service for the rack of each of the given
// workers, until clearServiceTasks is called.
func (x *Index) countServiceTasks(workers []model.WorkerID) {
	for _, w := range workers {
		if i, ok := x.nodeByID[w]; ok {
			x.nodes[i].rack.serviceTasks++
		}
	}
}

// clearServiceTasks resets the counts of countServiceTasks.
func (r *racks) clearServiceTasks() {
	for _, k := range r.list {
		k.serviceTasks = 0
	}
}
