package admission

// link is the position of a value in a treap. It is a field of the value.
type link[T any] struct {
	left, right *T
	priority    uint64
	size        int
}

// treap is an ordered set of values that contain their own links. The order of a
// value relative to others must not change while it is in the set.
type treap[T any] struct {
	root   *T
	link   func(*T) *link[T]  // returns the link of a value for this treap
	before func(a, b *T) bool // the order of the values
}

func (t *treap[T]) len() int { return t.size(t.root) }

func (t *treap[T]) size(v *T) int {
	if v == nil {
		return 0
	}
	return t.link(v).size
}

// updateSize recomputes the size of a value's subtree from its children.
func (t *treap[T]) updateSize(v *T) {
	l := t.link(v)
	l.size = 1 + t.size(l.left) + t.size(l.right)
}

// insert adds a value that is not in the set.
func (t *treap[T]) insert(v *T, priority uint64) {
	*t.link(v) = link[T]{priority: priority, size: 1}
	t.root = t.insertAt(t.root, v)
}

// insertAt inserts v into the subtree of root at and returns the new root.
func (t *treap[T]) insertAt(at, v *T) *T {
	if at == nil {
		return v
	}
	if t.link(v).priority > t.link(at).priority {
		l := t.link(v)
		l.left, l.right = t.split(at, v)
		t.updateSize(v)
		return v
	}
	l := t.link(at)
	if t.before(v, at) {
		l.left = t.insertAt(l.left, v)
	} else {
		l.right = t.insertAt(l.right, v)
	}
	t.updateSize(at)
	return at
}

// split divides a subtree into the values before and the values after v.
func (t *treap[T]) split(at, v *T) (left, right *T) {
	if at == nil {
		return nil, nil
	}
	l := t.link(at)
	if t.before(at, v) {
		left, right = t.split(l.right, v)
		l.right = left
		t.updateSize(at)
		return at, right
	}
	left, right = t.split(l.left, v)
	l.left = right
	t.updateSize(at)
	return left, at
}

// remove removes a value that is in the set.
func (t *treap[T]) remove(v *T) { t.root = t.removeAt(t.root, v) }

// removeAt removes v from the subtree of root at and returns the new root.
func (t *treap[T]) removeAt(at, v *T) *T {
	l := t.link(at)
	if at == v {
		return t.merge(l.left, l.right)
	}
	if t.before(v, at) {
		l.left = t.removeAt(l.left, v)
	} else {
		l.right = t.removeAt(l.right, v)
	}
	t.updateSize(at)
	return at
}

// merge joins two subtrees, of which all values of a precede all values of b.
func (t *treap[T]) merge(a, b *T) *T {
	if a == nil {
		return b
	}
	if b == nil {
		return a
	}
	if t.link(a).priority > t.link(b).priority {
		t.link(a).right = t.merge(t.link(a).right, b)
		t.updateSize(a)
		return a
	}
	t.link(b).left = t.merge(a, t.link(b).left)
	t.updateSize(b)
	return b
}

// first returns the first value in order, or nil.
func (t *treap[T]) first() *T {
	v := t.root
	for v != nil && t.link(v).left != nil {
		v = t.link(v).left
	}
	return v
}

// firstAfter returns the first value that comes after v, or nil. v need not be in the
// set.
func (t *treap[T]) firstAfter(v *T) *T {
	var found *T
	for at := t.root; at != nil; {
		if t.before(v, at) {
			found, at = at, t.link(at).left
		} else {
			at = t.link(at).right
		}
	}
	return found
}

// countBefore returns the number of values that come before v.
func (t *treap[T]) countBefore(v *T) int {
	count := 0
	for at := t.root; at != nil; {
		l := t.link(at)
		if t.before(at, v) {
			count += 1 + t.size(l.left)
			at = l.right
		} else {
			at = l.left
		}
	}
	return count
}
