package home

import (
	"container/heap"
	"time"
)

// dueTask is a scheduled check of a task.
type dueTask struct {
	at       time.Time
	sequence uint64 // insertion order, decides between equal times
	request  *request
	task     *task
}

// dueTaskQueue is a heap of scheduled checks ordered by time, so that the
// cost of a scan grows with the number of due tasks and not of running ones.
// An entry is stale, and skipped when popped, if its time is no longer the
// dueAt of its task.
type dueTaskQueue struct {
	entries  []dueTask
	sequence uint64
}

func (q *dueTaskQueue) Len() int { return len(q.entries) }

func (q *dueTaskQueue) Less(i, j int) bool {
	a, b := &q.entries[i], &q.entries[j]
	if a.at.Equal(b.at) {
		return a.sequence < b.sequence
	}
	return a.at.Before(b.at)
}

func (q *dueTaskQueue) Swap(i, j int) { q.entries[i], q.entries[j] = q.entries[j], q.entries[i] }

// Push implements heap.Interface.
func (q *dueTaskQueue) Push(x any) { q.entries = append(q.entries, x.(dueTask)) }

// Pop implements heap.Interface.
func (q *dueTaskQueue) Pop() any {
	last := len(q.entries) - 1
	d := q.entries[last]
	q.entries[last] = dueTask{}
	q.entries = q.entries[:last]
	return d
}

// add schedules a check of a task unless an earlier one is scheduled.
func (q *dueTaskQueue) add(r *request, task *task, at time.Time) {
	if !task.dueAt.IsZero() && !at.Before(task.dueAt) {
		return
	}
	task.dueAt = at
	q.sequence++
	heap.Push(q, dueTask{at: at, sequence: q.sequence, request: r, task: task})
}

// popDue removes and returns the next task that is due.
func (q *dueTaskQueue) popDue(now time.Time) (*request, *task, bool) {
	for len(q.entries) > 0 && !q.entries[0].at.After(now) {
		d := heap.Pop(q).(dueTask)
		if d.task.dueAt.Equal(d.at) {
			d.task.dueAt = time.Time{}
			return d.request, d.task, true
		}
	}
	return nil, nil, false
}
