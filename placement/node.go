package placement

import (
	"math"

	"fuchsiacross/model"
)

// node is the index's account of one worker. Node 0 is never used, so that 0
// can stand for no node.
type node struct {
	worker   model.Worker
	rack     *rack
	term     model.Term
	capacity model.Resources
	reserved model.Resources
	urgent   model.Resources                   // part of reserved that urgent work holds
	pinned   model.Resources                   // part of reserved that services hold and that does not end by itself
	yield    [model.ClassCount]model.Resources // part of reserved that may be preempted, by class less one
	free     model.Resources                   // for urgent work
	room     model.Resources                   // for all other work
	attempts []model.Attempt
	health   health
	heldFor  model.RequestID // not empty while the worker is kept for a large request
	known    bool
	drained  bool
	borrowed int  // tasks counted by PickMany for the time of its search
	indexed  bool // in the trees
}

// recount derives free and room. An idle worker offers all of its capacity to
// any class: otherwise a task larger than the capacity less the headroom would
// never run.
func (n *node) recount(headroom float64) {
	n.free = n.capacity.Sub(n.reserved)
	n.room = n.free
	if len(n.attempts)+n.borrowed > 0 {
		n.room = n.free.Sub(n.kept(headroom))
	}
}

// kept returns what the worker keeps free for urgent work now: the headroom
// less what urgent work already takes of it, but at least a part of the headroom.
func (n *node) kept(headroom float64) model.Resources {
	all := keptFree(n.capacity, headroom)
	return all.Sub(n.urgent).Max(keptFree(n.capacity, headroom*keptPart))
}

// keptPart is the part of the headroom that is kept free however much urgent
// work runs. With 0, urgent work beyond the headroom waits like any other; with
// 1, other work waits much longer and urgent work hardly less.
const keptPart = 0.25

// keptFree returns what a worker keeps free for urgent work. Slots are rounded
// up, because urgent work runs on slots and a share of 8 slots is often below
// one; accelerators are rounded down, because a worker has few of them.
func keptFree(capacity model.Resources, headroom float64) model.Resources {
	share := func(whole int64) int64 { return int64(float64(whole) * headroom) }
	return model.Resources{
		MilliCPU:     share(capacity.MilliCPU),
		MemoryBytes:  share(capacity.MemoryBytes),
		Accelerators: share(capacity.Accelerators),
		Slots:        int64(math.Ceil(float64(capacity.Slots) * headroom)),
	}
}

// space returns what the worker offers to the class of an ask.
func (n *node) space(urgent bool) *model.Resources {
	if urgent {
		return &n.free
	}
	return &n.room
}

// usable reports whether the worker takes new work without being asked by name.
func (n *node) usable() bool {
	return n.known && !n.drained && !n.health.quarantined && n.heldFor == ""
}
