package placement

import (
	"fuchsiacross/model"
)

// potential is the most that a worker could offer: its capacity, and what would be
// free for standard and for urgent work if every attempt that the class may preempt
// were stopped.
type potential struct {
	capacity    model.Resources
	forStandard model.Resources
	forUrgent   model.Resources
}

// potentialTree is a segment tree over the potentials of the workers in the order
// of their node indexes. Each inner node holds the maximum of each dimension.
type potentialTree struct {
	size    int32       // number of leaves: 0 or a power of two
	maxima  []potential // root at index 1, leaves from index size on
	visited int         // tree nodes examined so far
}

// grow makes the tree large enough for the given number of leaves.
func (t *potentialTree) grow(count int) {
	if int(t.size) >= count && t.size > 0 {
		return
	}
	old := *t
	t.size = max(t.size, 8)
	for int(t.size) < count {
		t.size *= 2
	}
	t.maxima = make([]potential, 2*t.size)
	for i := range old.size {
		t.set(i, old.maxima[old.size+i])
	}
}

// set replaces the potential of one worker.
func (t *potentialTree) set(i int32, p potential) {
	at := t.size + i
	t.maxima[at] = p
	for at /= 2; at > 0; at /= 2 {
		a, b := &t.maxima[2*at], &t.maxima[2*at+1]
		t.maxima[at] = potential{
			capacity:    a.capacity.Max(b.capacity),
			forStandard: a.forStandard.Max(b.forStandard),
			forUrgent:   a.forUrgent.Max(b.forUrgent),
		}
	}
}

// findFirst returns the first worker with an index of at least from whose potential
// matches. If matches is true for one of several potentials, it must be true for
// their maximum.
func (t *potentialTree) findFirst(from int32, matches func(*potential) bool) (int32, bool) {
	if t.size == 0 {
		return 0, false
	}
	return t.findFirstIn(1, 0, t.size, from, matches)
}

// findFirstIn searches the subtree of tree node at, which covers the workers from low
// to high-1.
func (t *potentialTree) findFirstIn(at, low, high, from int32, matches func(*potential) bool) (int32, bool) {
	if high <= from {
		return 0, false
	}
	t.visited++
	if !matches(&t.maxima[at]) {
		return 0, false
	}
	if high-low == 1 {
		return low, true
	}
	middle := (low + high) / 2
	if i, ok := t.findFirstIn(2*at, low, middle, from, matches); ok {
		return i, true
	}
	return t.findFirstIn(2*at+1, middle, high, from, matches)
}

// largestCapacity returns the maximum of each dimension over all capacities.
func (t *potentialTree) largestCapacity() model.Resources {
	if t.size == 0 {
		return model.Resources{}
	}
	return t.maxima[1].capacity
}
