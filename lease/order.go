package lease

import (
	"cmp"
	"maps"
	"slices"

	"fuchsiacross/model"
)

// Effects are sorted by identifier because the order of map iteration is
// random: the same events must always produce the same effects.

func compareAttempts(a, b model.Attempt) int {
	return cmp.Or(cmp.Compare(a.Request, b.Request), cmp.Compare(a.Task, b.Task), cmp.Compare(a.Number, b.Number))
}

func sortedAttempts(attempts map[model.Attempt]*attempt) []*attempt {
	return slices.SortedFunc(maps.Values(attempts), func(a, b *attempt) int { return compareAttempts(a.id, b.id) })
}

func compareWorkers(a, b *worker) int { return cmp.Compare(a.ID, b.ID) }
