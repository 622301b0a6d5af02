package admission

import (
	"time"

	"fuchsiacross/model"
)

// Item is one task, or the tasks of one gang, that waits for room.
type Item struct {
	Request         *model.Request
	TaskIndex       uint32
	TaskCount       uint32          // tasks that must start together; 0 stands for 1
	Resources       model.Resources // to reserve for each task
	Attempts        uint32          // attempts made so far
	ExcludedWorkers []model.WorkerID
	EnqueuedAt      time.Time
	NotBefore       time.Time // end of the back-off of a retry; zero for none

	sequence uint64
	shape    *shape // nil while NotBefore lies ahead
	passed   int    // times that a later item went first because this one did not fit
	held     bool
	due      link[Item] // among the items of the class, by deadline
	place    link[Item] // among the items of the shape by deadline, or among the delayed
}

// Passed returns how often a later item went first because this one did not fit.
func (i *Item) Passed() int { return i.passed }

// Held reports whether a worker is held for the item.
func (i *Item) Held() bool { return i.held }

func (i *Item) key() itemKey { return itemKey{i.Request.ID, i.TaskIndex} }

// shapeKey returns what the item has in common with others of its shape.
func (i *Item) shapeKey() shapeKey {
	k := shapeKey{
		team:      i.Request.Team,
		workload:  i.Request.Workload,
		resources: i.Resources,
		class:     i.Request.Class,
		count:     max(i.TaskCount, 1),
	}
	if n := len(i.ExcludedWorkers); n > 0 {
		k.excluded = i.ExcludedWorkers[n-1]
	}
	return k
}

// typical reports whether the lack of room for the item says anything about
// other items: gangs and retries that avoid workers are harder to place.
func (i *Item) typical() bool { return i.TaskCount <= 1 && len(i.ExcludedWorkers) == 0 }

// itemKey identifies an item.
type itemKey struct {
	request model.RequestID
	task    uint32
}

func byDeadline(a, b *Item) bool {
	if !a.Request.Deadline.Equal(b.Request.Deadline) {
		return a.Request.Deadline.Before(b.Request.Deadline)
	}
	return a.sequence < b.sequence
}

func byDelay(a, b *Item) bool {
	if !a.NotBefore.Equal(b.NotBefore) {
		return a.NotBefore.Before(b.NotBefore)
	}
	return a.sequence < b.sequence
}

func placeOf(i *Item) *link[Item] { return &i.place }

func dueOf(i *Item) *link[Item] { return &i.due }

// Verdict is the answer to the question whether an item can start now.
type StartResult uint8

// The verdicts.
const (
	// Fits means that the item starts.
	Started StartResult = iota + 1
	// NoRoom means that no worker has room. Items of the same or a less urgent
	// class that need at least as much are not tried in the same call.
	NoCapacity
	// Barred means that something else keeps the item back, such as a quota.
	Blocked
)
