package placement

import (
	"time"

	"fuchsiacross/model"
)

// PickMany chooses workers for up to count tasks of one request such that all the
// chosen tasks fit at the same time. It returns fewer choices if no more fit. The
// tasks of a service are spread over racks. Nothing is reserved.
func (x *Index) PickMany(now time.Time, req Requirements, count int) []Choice {
	choices := make([]Choice, 0, count)
	isService := req.Request.Kind == model.KindService
	if isService {
		x.countServiceTasks(req.ServiceWorkers)
	}
	for len(choices) < count {
		c, ok := x.pickNext(now, &req, isService)
		if !ok {
			break
		}
		x.reserveTentatively(c.Worker, req.Resources, 1)
		choices = append(choices, c)
	}
	for _, c := range choices {
		x.reserveTentatively(c.Worker, req.Resources, -1)
	}
	if isService {
		x.racks.clearServiceTasks()
	}
	return choices
}

// pickNext chooses the worker for one more task. It expects the chosen tasks to be
// reserved tentatively and, for a service, the tasks of each rack to be counted.
func (x *Index) pickNext(now time.Time, req *Requirements, isService bool) (Choice, bool) {
	if !isService {
		return x.Pick(now, *req)
	}
	i, ok := x.racks.pick(x, req)
	if !ok {
		i, ok = x.pickBestScore(req)
	}
	if !ok {
		return Choice{}, false
	}
	x.nodes[i].rack.serviceTasks++
	return x.newChoice(i, ReasonRack), true
}

// pickBestScore returns the worker with the best score among those examined.
func (x *Index) pickBestScore(req *Requirements) (int32, bool) {
	s := x.startSearch(req)
	s.run()
	return s.best, s.best != 0
}

// reserveTentatively adds an amount to what is reserved on a worker, without an
// attempt, or subtracts it if factor is -1. Each amount must be subtracted again
// before the index is used for anything else.
func (x *Index) reserveTentatively(w model.WorkerID, amount model.Resources, factor int64) {
	i := x.nodeByID[w]
	n := &x.nodes[i]
	n.reserved = n.reserved.Add(amount.Multiply(factor))
	n.tentativeTasks += int(factor)
	x.updateNode(i)
}
