package placement

import (
	"time"

	"fuchsiacross/model"
)

// PickMany chooses workers for several tasks of one request such that all of
// them hold their tasks at the same time. It returns fewer choices than asked
// for when no more fit. The tasks of a service are spread over racks.
func (x *Index) PickMany(now time.Time, ask Requirements, count int) []Choice {
	choices := make([]Choice, 0, count)
	service := ask.Request.Kind == model.KindService
	if service {
		x.countTasks(ask.ServiceWorkers)
	}
	for len(choices) < count {
		c, ok := x.pickNext(now, &ask, service)
		if !ok {
			break
		}
		x.borrow(c.Worker, ask.Resources, 1)
		choices = append(choices, c)
	}
	for _, c := range choices {
		x.borrow(c.Worker, ask.Resources, -1)
	}
	if service {
		x.racks.clearTasks()
	}
	return choices
}

func (x *Index) pickNext(now time.Time, ask *Requirements, service bool) (Choice, bool) {
	if !service {
		return x.Pick(now, *ask)
	}
	i, ok := x.racks.pick(x, ask)
	if !ok {
		i, ok = x.pickAnywhere(ask)
	}
	if !ok {
		return Choice{}, false
	}
	x.nodes[i].rack.tasks++
	return x.choice(i, ReasonRack), true
}

// pickAnywhere returns the worker with the best score.
func (x *Index) pickAnywhere(ask *Requirements) (int32, bool) {
	s := x.begin(ask)
	s.run()
	return s.best, s.best != 0
}

// borrow changes what is reserved on a worker without an attempt. Each amount
// must be given back before the index is used for anything else.
func (x *Index) borrow(w model.WorkerID, amount model.Resources, factor int64) {
	i := x.byID[w]
	n := &x.nodes[i]
	n.reserved = n.reserved.Add(amount.Multiply(factor))
	n.borrowed += int(factor)
	x.settle(i)
}
