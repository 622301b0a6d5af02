package admission

import (
	"time"

	"fuchsiacross/model"
)

// Item is one waiting task, or the waiting tasks of one gang.
type Item struct {
	Request         *model.Request
	TaskIndex       uint32
	TaskCount       uint32          // tasks that must start together; 0 means 1
	Resources       model.Resources // amount to reserve for each task
	Attempts        uint32          // attempts made so far
	ExcludedWorkers []model.WorkerID
	EnqueuedAt      time.Time
	NotBefore       time.Time // end of the backoff of a retry; zero if there is none

	sequence           uint64
	shape              *shape // nil while the backoff lasts
	bypassed           int    // see TimesBypassed
	held               bool
	deadlineLink       link[Item] // in classQueue.itemsByDeadline
	shapeOrDelayedLink link[Item] // in shape.items or in Queue.delayed
}

// TimesBypassed returns how often a later item started first because no worker had
// capacity for this one.
func (i *Item) TimesBypassed() int { return i.bypassed }

// IsHeld reports whether a worker is held for the item.
func (i *Item) IsHeld() bool { return i.held }

func (i *Item) key() itemKey { return itemKey{i.Request.ID, i.TaskIndex} }

// shapeKey returns the key of the item's shape.
func (i *Item) shapeKey() shapeKey {
	k := shapeKey{
		team:      i.Request.Team,
		workload:  i.Request.Workload,
		resources: i.Resources,
		class:     i.Request.Class,
		taskCount: max(i.TaskCount, 1),
	}
	if n := len(i.ExcludedWorkers); n > 0 {
		k.lastExcluded = i.ExcludedWorkers[n-1]
	}
	return k
}

// isTypical reports whether other items that need as much must also fail if this item
// finds no capacity. Gangs and retries that exclude workers are harder to place than
// others, so they say nothing about other items.
func (i *Item) isTypical() bool { return i.TaskCount <= 1 && len(i.ExcludedWorkers) == 0 }

// itemKey identifies an item in a queue.
type itemKey struct {
	request   model.RequestID
	taskIndex uint32
}

// lessByDeadline orders items by deadline, then by insertion.
func lessByDeadline(a, b *Item) bool {
	if !a.Request.Deadline.Equal(b.Request.Deadline) {
		return a.Request.Deadline.Before(b.Request.Deadline)
	}
	return a.sequence < b.sequence
}

// lessByNotBefore orders delayed items by the end of their backoff, then by insertion.
func lessByNotBefore(a, b *Item) bool {
	if !a.NotBefore.Equal(b.NotBefore) {
		return a.NotBefore.Before(b.NotBefore)
	}
	return a.sequence < b.sequence
}

func shapeOrDelayedLinkOf(i *Item) *link[Item] { return &i.shapeOrDelayedLink }

func deadlineLinkOf(i *Item) *link[Item] { return &i.deadlineLink }

// StartResult is the result of an attempt to start an item.
type StartResult uint8

// The results.
const (
	// Started means that the item has started and leaves the queue.
	Started StartResult = iota + 1
	// NoCapacity means that the item fits no worker. Items of the same or a less
	// urgent class that need at least as much are not tried in the same call.
	NoCapacity
	// Blocked means that something else prevents the start, such as a quota.
	Blocked
)
