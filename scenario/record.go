package scenario

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// recordEntry is one event that a worker stand-in recorded.
type recordEntry struct {
	At            time.Time `json:"at"`
	Kind          string    `json:"kind"`
	Worker        string    `json:"worker"`
	Term          uint64    `json:"term"`
	Holder        string    `json:"holder"`
	RequestID     string    `json:"request_id"`
	Task          uint32    `json:"task"`
	AttemptNumber uint32    `json:"number"`
	TaskKind      string    `json:"task_kind"`
	Idempotent    bool      `json:"idempotent"`
	Detail        string    `json:"detail"`
}

// String returns the entry as one line of a log.
func (e recordEntry) String() string {
	return fmt.Sprintf("%s %s %s %s/%d#%d term %d holder %s %s",
		e.At.Format("15:04:05.000000"), e.Worker, e.Kind, e.RequestID, e.Task, e.AttemptNumber, e.Term, e.Holder, e.Detail)
}

// violation is a broken rule that a worker stand-in recorded.
type violation struct {
	Rule          string `json:"rule"`
	Worker        string `json:"worker"`
	RequestID     string `json:"request_id"`
	Task          uint32 `json:"task"`
	AttemptNumber uint32 `json:"number"`
	Detail        string `json:"detail"`
}

// workerRecord holds what all workers recorded, in chronological order. The times
// are comparable because all workers run on one machine.
type workerRecord struct {
	entries    []recordEntry
	violations []violation
}

// readRecord reads and merges the records of all workers.
func (c *cell) readRecord() (workerRecord, error) {
	var all workerRecord
	for _, w := range c.workers {
		var response struct {
			Entries    []recordEntry `json:"entries"`
			Violations []violation   `json:"violations"`
		}
		if err := w.getJSON("record", &response); err != nil {
			return workerRecord{}, err
		}
		all.entries = append(all.entries, response.Entries...)
		all.violations = append(all.violations, response.Violations...)
	}
	slices.SortStableFunc(all.entries, func(a, b recordEntry) int { return a.At.Compare(b.At) })
	return all, nil
}

// startsOf returns the task starts of a request. If id ends with "*", it returns
// those of all requests whose identifier begins with the text before it.
func (r workerRecord) startsOf(id string) []recordEntry {
	prefix, isPrefix := strings.CutSuffix(id, "*")
	var starts []recordEntry
	for _, e := range r.entries {
		if e.Kind == "started" && (e.RequestID == id || isPrefix && strings.HasPrefix(e.RequestID, prefix)) {
			starts = append(starts, e)
		}
	}
	return starts
}

// formatEntries returns the entries of a request, one per line.
func (r workerRecord) formatEntries(id string) string {
	var lines strings.Builder
	for _, e := range r.entries {
		if e.RequestID == id {
			fmt.Fprintln(&lines, e)
		}
	}
	return lines.String()
}
