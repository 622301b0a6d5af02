package admission

// PathLength returns the largest number of items on a path from the root of a class's
// treap of deadlines. Pushing and removing an item follow one such path.
func (q *Queue) PathLength(class int) int {
	var depth func(i *Item) int
	depth = func(i *Item) int {
		if i == nil {
			return 0
		}
		return 1 + max(depth(i.deadlineLink.left), depth(i.deadlineLink.right))
	}
	return depth(q.classes[class-1].itemsByDeadline.root)
}
