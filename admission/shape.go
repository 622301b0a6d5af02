package admission

import (
	"fuchsiacross/model"
)

// shape holds the waiting items that are equivalent for placement.
type shape struct {
	key       shapeKey
	teamQueue *teamQueue
	items     treap[Item]
	earliest  *Item // first of items, by which the shape is ordered in its team queue; nil if empty
	size      float64
	sequence  uint64
	teamLink  link[shape] // in teamQueue.shapes, by the deadline of earliest
	sizeLink  link[shape] // in classQueue.shapesBySize
}

// shapeKey identifies a shape. Items with equal keys are equivalent for placement.
type shapeKey struct {
	team         model.Team
	workload     model.Workload
	resources    model.Resources
	class        model.Class
	taskCount    uint32
	lastExcluded model.WorkerID // last of the item's ExcludedWorkers, or empty
}

// teamQueue holds the waiting items of one team in one class.
type teamQueue struct {
	team      model.Team
	shapes    treap[shape]
	itemCount int
}

// classQueue holds the waiting items of one class.
type classQueue struct {
	activeTeams     []*teamQueue // teams with at least one shape
	byTeam          map[model.Team]*teamQueue
	itemsByDeadline treap[Item]
	shapesBySize    treap[shape]
	throughput      throughput
}

func newClassQueue() classQueue {
	return classQueue{
		byTeam:          make(map[model.Team]*teamQueue),
		itemsByDeadline: treap[Item]{link: deadlineLinkOf, before: lessByDeadline},
		shapesBySize: treap[shape]{
			link:   func(s *shape) *link[shape] { return &s.sizeLink },
			before: lessBySize,
		},
	}
}

func newTeamQueue(team model.Team) *teamQueue {
	return &teamQueue{team: team, shapes: treap[shape]{
		link:   func(s *shape) *link[shape] { return &s.teamLink },
		before: lessByEarliestDeadline,
	}}
}

// lessByEarliestDeadline orders shapes by the deadline of their first items.
func lessByEarliestDeadline(a, b *shape) bool { return lessByDeadline(a.earliest, b.earliest) }

// lessBySize orders shapes by size, then by creation.
func lessBySize(a, b *shape) bool {
	if a.size != b.size {
		return a.size < b.size
	}
	return a.sequence < b.sequence
}

// Amounts that count as one unit of size. The ratio follows the workers of the two
// deployments, which have 2 to 4 GB for each processor.
const (
	sizeUnitMilliCPU    = 1000
	sizeUnitMemoryBytes = 4 << 30
)

// sizeOf returns the size by which shapes are ordered, a weighted sum of all
// dimensions. An accelerator counts as 4 units, a slot as 1.
func sizeOf(r model.Resources, count uint32) float64 {
	taskSize := float64(r.MilliCPU)/sizeUnitMilliCPU + float64(r.MemoryBytes)/sizeUnitMemoryBytes +
		4*float64(r.Accelerators) + float64(r.Slots)
	return taskSize * float64(max(count, 1))
}
