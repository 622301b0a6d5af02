package placement

import (
	"math"

	"fuchsiacross/model"
)

// node is the index's record of one worker. Index 0 of Index.nodes is not used, so
// that 0 means "no node".
type node struct {
	worker          model.Worker
	rack            *rack
	term            model.Term
	capacity        model.Resources
	reserved        model.Resources
	urgentReserved  model.Resources                   // part of reserved for urgent work
	serviceReserved model.Resources                   // part of reserved for services, which do not end by themselves
	preemptible     [model.ClassCount]model.Resources // part of reserved that may be preempted, indexed by class-1
	free            model.Resources                   // free for urgent work; negative if overcommitted
	freeNonUrgent   model.Resources                   // free for all other work
	attempts        []model.Attempt
	health          health
	heldFor         model.RequestID // the large request that the worker is held for, or empty
	registered      bool
	drained         bool
	tentativeTasks  int  // tasks that PickMany has reserved for the duration of its search
	inTrees         bool // whether the worker is schedulable and therefore in the trees
}

// updateFree recomputes free and freeNonUrgent. On an idle worker all of the
// capacity is free for any class; otherwise a task that is larger than the
// capacity minus the headroom could never run.
func (n *node) updateFree(headroom float64) {
	n.free = n.capacity.Sub(n.reserved)
	n.freeNonUrgent = n.free
	if len(n.attempts)+n.tentativeTasks > 0 {
		n.freeNonUrgent = n.free.Sub(n.remainingHeadroom(headroom))
	}
}

// remainingHeadroom returns what the worker keeps free for urgent work: the
// headroom minus what urgent work already uses, but at least minHeadroomFraction
// of the headroom.
func (n *node) remainingHeadroom(headroom float64) model.Resources {
	full := headroomOf(n.capacity, headroom)
	return full.Sub(n.urgentReserved).Max(headroomOf(n.capacity, headroom*minHeadroomFraction))
}

// minHeadroomFraction is the fraction of the headroom that is kept free however
// much urgent work runs. With 0, urgent work beyond the headroom waits like any
// other work. With 1, other work waits much longer and urgent work hardly less.
const minHeadroomFraction = 0.25

// headroomOf returns the given fraction of a capacity. Slots are rounded up,
// because urgent work runs on slots and the fraction of 8 slots is often less than
// one. Accelerators are rounded down, because a worker has few of them.
func headroomOf(capacity model.Resources, fraction float64) model.Resources {
	portion := func(amount int64) int64 { return int64(float64(amount) * fraction) }
	return model.Resources{
		MilliCPU:     portion(capacity.MilliCPU),
		MemoryBytes:  portion(capacity.MemoryBytes),
		Accelerators: portion(capacity.Accelerators),
		Slots:        int64(math.Ceil(float64(capacity.Slots) * fraction)),
	}
}

// freeFor returns what is free for urgent work or for other work.
func (n *node) freeFor(urgent bool) *model.Resources {
	if urgent {
		return &n.free
	}
	return &n.freeNonUrgent
}

// isSchedulable reports whether the worker accepts new work in general. Probes
// and the request that it is held for are placed without this check.
func (n *node) isSchedulable() bool {
	return n.registered && !n.drained && !n.health.quarantined && n.heldFor == ""
}
