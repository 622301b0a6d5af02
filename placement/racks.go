package placement

import (
	"slices"

	"fuchsiacross/model"
)

// racks lists the workers of each rack, in the order in which racks appeared.
type racks struct {
	list   []*rack
	cursor int // where the next search starts
}

type rack struct {
	name    model.Rack
	workers []int32
	tasks   int // of the service that is being placed
}

const (
	// racksTried bounds how many racks with a fitting worker are compared.
	racksTried = 4
	// racksSeen bounds how many racks are examined for one task.
	racksSeen = 16
	// rackWorkers bounds how many workers of a rack are examined.
	rackWorkers = 16
)

func (r *racks) find(name model.Rack) int {
	return slices.IndexFunc(r.list, func(k *rack) bool { return k.name == name })
}

func (r *racks) add(name model.Rack, i int32) *rack {
	k := r.find(name)
	if k < 0 {
		r.list = append(r.list, &rack{name: name})
		k = len(r.list) - 1
	}
	r.list[k].workers = append(r.list[k].workers, i)
	return r.list[k]
}

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

// pick returns a worker in a rack with the fewest tasks of the service, among a
// bounded number of racks.
func (r *racks) pick(x *Index, ask *Requirements) (int32, bool) {
	s := x.begin(ask)
	fewest, tried := 0, 0
	start := r.cursor
	for k := 0; k < len(r.list) && k < racksSeen && tried < racksTried; k++ {
		at := (start + k) % len(r.list)
		best, score := r.best(s, r.list[at])
		if best == 0 {
			continue
		}
		tried++
		used := r.list[at].tasks
		if s.best == 0 || used < fewest || (used == fewest && score > s.score) {
			s.best, s.score, fewest = best, score, used
			r.cursor = at + 1
		}
	}
	return s.best, s.best != 0
}

// best returns the worker of a rack with the best score.
func (r *racks) best(s *search, k *rack) (int32, float64) {
	best, score := int32(0), 0.0
	for _, i := range k.workers[:min(len(k.workers), rackWorkers)] {
		n := &s.x.nodes[i]
		if !n.indexed || !s.ask.Resources.Fits(*n.space(s.urgent)) || s.ask.excludes(n.worker.ID) {
			continue
		}
		if v := s.rank(n); best == 0 || v > score {
			best, score = i, v
		}
	}
	return best, score
}

// countTasks adds the tasks that run on the given workers to the counts of their
// racks.
func (x *Index) countTasks(workers []model.WorkerID) {
	for _, w := range workers {
		if i, ok := x.byID[w]; ok {
			x.nodes[i].rack.tasks++
		}
	}
}

// clearTasks ends what countTasks began.
func (r *racks) clearTasks() {
	for _, k := range r.list {
		k.tasks = 0
	}
}
