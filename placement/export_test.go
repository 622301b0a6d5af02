package placement

// EntriesExamined returns the number of tree entries that the latest search
// examined.
func (x *Index) EntriesExamined() int { return x.search.visited }
