package placement

import (
	"fuchsiacross/model"
)

// tree is a treap of workers ordered by their free amount of one dimension, for
// urgent or for other work. Every subtree stores the maximum of each dimension over
// its workers, so that a search skips subtrees in which no worker can fit. Urgent
// and other work have separate trees, so that order and maxima are derived from the
// same free amounts. In a subtree whose keys all suffice, the maximum of a second
// dimension therefore decides exactly whether a task that needs these two dimensions
// fits one of the workers.
type tree struct {
	dimension dimension
	urgent    bool
	root      int32
	entries   []treeEntry // parallel to Index.nodes
}

// treeEntry is the position of a worker in a tree.
type treeEntry struct {
	key         int64
	priority    uint64
	left, right int32
	subtreeMax  model.Resources // maximum of each dimension over the subtree
}

// before reports whether node i precedes node j. Nodes are ordered by key, then by
// index.
func (t *tree) before(i, j int32) bool {
	a, b := t.entries[i].key, t.entries[j].key
	if a != b {
		return a < b
	}
	return i < j
}

// updateMax recomputes the maxima of a node's subtree from its children.
func (t *tree) updateMax(nodes []node, i int32) {
	e := &t.entries[i]
	e.subtreeMax = *nodes[i].freeFor(t.urgent)
	if e.left != 0 {
		e.subtreeMax = e.subtreeMax.Max(t.entries[e.left].subtreeMax)
	}
	if e.right != 0 {
		e.subtreeMax = e.subtreeMax.Max(t.entries[e.right].subtreeMax)
	}
}

// insert adds a node with its current free amount as the key.
func (t *tree) insert(nodes []node, i int32) {
	e := &t.entries[i]
	e.key, e.left, e.right = t.dimension.amountIn(nodes[i].freeFor(t.urgent)), 0, 0
	t.root = t.insertAt(nodes, t.root, i)
}

// insertAt inserts node i into the subtree of root at and returns the new root.
func (t *tree) insertAt(nodes []node, at, i int32) int32 {
	if at == 0 {
		t.updateMax(nodes, i)
		return i
	}
	if t.entries[i].priority > t.entries[at].priority {
		t.entries[i].left, t.entries[i].right = t.split(nodes, at, i)
		t.updateMax(nodes, i)
		return i
	}
	if t.before(i, at) {
		t.entries[at].left = t.insertAt(nodes, t.entries[at].left, i)
	} else {
		t.entries[at].right = t.insertAt(nodes, t.entries[at].right, i)
	}
	t.updateMax(nodes, at)
	return at
}

// split divides a subtree into the nodes before and the nodes after node i.
func (t *tree) split(nodes []node, at, i int32) (left, right int32) {
	if at == 0 {
		return 0, 0
	}
	if t.before(at, i) {
		l, r := t.split(nodes, t.entries[at].right, i)
		t.entries[at].right = l
		t.updateMax(nodes, at)
		return at, r
	}
	l, r := t.split(nodes, t.entries[at].left, i)
	t.entries[at].left = r
	t.updateMax(nodes, at)
	return l, at
}

// remove removes a node.
func (t *tree) remove(nodes []node, i int32) { t.root = t.removeAt(nodes, t.root, i) }

// removeAt removes node i from the subtree of root at and returns the new root.
func (t *tree) removeAt(nodes []node, at, i int32) int32 {
	if at == i {
		return t.merge(nodes, t.entries[i].left, t.entries[i].right)
	}
	if t.before(i, at) {
		t.entries[at].left = t.removeAt(nodes, t.entries[at].left, i)
	} else {
		t.entries[at].right = t.removeAt(nodes, t.entries[at].right, i)
	}
	t.updateMax(nodes, at)
	return at
}

// merge joins two subtrees, of which all nodes of a precede all nodes of b.
func (t *tree) merge(nodes []node, a, b int32) int32 {
	switch {
	case a == 0:
		return b
	case b == 0:
		return a
	case t.entries[a].priority > t.entries[b].priority:
		t.entries[a].right = t.merge(nodes, t.entries[a].right, b)
		t.updateMax(nodes, a)
		return a
	default:
		t.entries[b].left = t.merge(nodes, a, t.entries[b].left)
		t.updateMax(nodes, b)
		return b
	}
}

// update adjusts the tree to the current free amounts of a node.
func (t *tree) update(nodes []node, i int32) {
	if t.dimension.amountIn(nodes[i].freeFor(t.urgent)) == t.entries[i].key {
		t.updatePath(nodes, t.root, i)
		return
	}
	t.remove(nodes, i)
	t.insert(nodes, i)
}

// updatePath recomputes the maxima on the path from node at down to node i.
func (t *tree) updatePath(nodes []node, at, i int32) {
	if at != i {
		next := t.entries[at].right
		if t.before(i, at) {
			next = t.entries[at].left
		}
		t.updatePath(nodes, next, i)
	}
	t.updateMax(nodes, at)
}

// maxFree returns the maximum of each free amount over all nodes.
func (t *tree) maxFree() model.Resources {
	if t.root == 0 {
		return model.Resources{}
	}
	return t.entries[t.root].subtreeMax
}
