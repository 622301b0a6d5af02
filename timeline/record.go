package timeline

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"fuchsiacross/model"
)

// Record describes one event in a process.
type Record struct {
	At       time.Time // by the clock of the process
	Process  string    // with its incarnation if the process keeps its name across restarts
	Sequence uint64    // ascending within the process
	Kind     string
	Request  model.RequestID
	Attempt  model.Attempt
	Worker   model.WorkerID
	Peer     model.InstanceID
	Detail   string
}

// Merge returns the records of all lists, sorted by time, process and sequence, without
// duplicates. Records of one process stay in the order of their sequence even if its
// clock was set back: such a record is sorted by the latest time of the records before
// it.
func Merge(lists ...[]Record) []Record {
	all := slices.Concat(lists...)
	slices.SortStableFunc(all, func(a, b Record) int {
		return cmp.Or(strings.Compare(a.Process, b.Process), cmp.Compare(a.Sequence, b.Sequence), a.At.Compare(b.At))
	})
	all = slices.CompactFunc(all, isSameRecord)
	type sortableRecord struct {
		Record
		at time.Time
	}
	merged := make([]sortableRecord, len(all))
	for i, r := range all {
		merged[i] = sortableRecord{r, r.At}
		if i > 0 && all[i-1].Process == r.Process && merged[i-1].at.After(r.At) {
			merged[i].at = merged[i-1].at
		}
	}
	slices.SortStableFunc(merged, func(a, b sortableRecord) int {
		return cmp.Or(a.at.Compare(b.at), strings.Compare(a.Process, b.Process), cmp.Compare(a.Sequence, b.Sequence))
	})
	for i := range merged {
		all[i] = merged[i].Record
	}
	return all
}

// isSameRecord compares times as instants, because copies of a record that were received
// from another process lack the monotonic clock reading and the location.
func isSameRecord(a, b Record) bool {
	at := a.At.Equal(b.At)
	a.At, b.At = time.Time{}, time.Time{}
	return at && a == b
}
