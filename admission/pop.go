package admission

import (
	"time"
)

const (
	// maxTriedPerClass limits the calls of tryStart for one class in one call of
	// PopNext.
	maxTriedPerClass = 32
	// maxInspectedPerClass limits the shapes examined of one class in one call of
	// PopNext.
	maxInspectedPerClass = 128
	// maxSmallTried is the number of shapes, the smallest ones, that are tried once
	// one of these limits is reached. Without it, many large shapes with early
	// deadlines would block the others. It also limits the items that startAged
	// examines of one class.
	maxSmallTried = 8
	// agingInterval is the number of started items between two calls of PopNext that
	// first try items of less urgent classes that have waited long.
	agingInterval = 16
	// minBypassed is the number of times that an item must have been bypassed before
	// it counts as starved. In a full cell, a long wait alone is no sign of
	// starvation.
	minBypassed = 8
	// starvationFactor is the multiple of the mean waiting time of its class that an
	// item must have waited before it counts as starved. In an overloaded cell all
	// items wait long, and holding workers would only waste capacity.
	starvationFactor = 4
	// maxHeldItems limits the items that workers are held for.
	maxHeldItems = 16
)

// cursor is the position of PopNext among the shapes of a team.
type cursor struct {
	teamQueue      *teamQueue
	shape          *shape // next shape to try
	dominantShare  float64
	aboveFairShare bool // the team uses more than its fair share
}

// PopNext removes and returns the first item for which tryStart returns Started, or
// returns false if none starts. tryStart is called a limited number of times, and in
// general only for the first item of each shape.
func (q *Queue) PopNext(now time.Time, tryStart func(*Item) StartResult) (*Item, bool) {
	q.advanceTime(now)
	q.withoutCapacity = q.withoutCapacity[:0]
	i := q.startHeld(tryStart)
	if i == nil && q.popCount%agingInterval == agingInterval-1 {
		i = q.startAged(now, tryStart)
	}
	for c := 0; i == nil && c < len(q.classes); c++ {
		i = q.startInClass(&q.classes[c], tryStart)
	}
	if i == nil {
		return nil, false
	}
	q.popCount++
	q.recordBypass(now, i)
	class := &q.classes[i.Request.Class-1]
	q.removeItem(i)
	class.throughput.recordStart(now.Sub(i.EnqueuedAt).Seconds())
	return i, true
}

// recordBypass counts a bypass for each item that found no capacity before the given
// item started, and updates the starved item.
func (q *Queue) recordBypass(now time.Time, taken *Item) {
	for _, f := range q.withoutCapacity {
		if f == taken || f.held || f.Request.Class > taken.Request.Class {
			continue
		}
		f.bypassed++
		meanWait := q.classes[f.Request.Class-1].throughput.meanWaitSeconds
		threshold := max(float64(q.options.StarvationSeconds), starvationFactor*meanWait)
		if f.bypassed < minBypassed || now.Sub(f.EnqueuedAt).Seconds() < threshold {
			continue
		}
		if q.starved == nil || f.EnqueuedAt.Before(q.starved.EnqueuedAt) {
			q.starved = f
		}
	}
}

// StarvedItem returns the starved item that has waited longest, or false if there is
// none or workers are held for enough items. The caller holds a worker for the item and
// then calls MarkHeld.
func (q *Queue) StarvedItem() (*Item, bool) {
	if len(q.held) >= maxHeldItems {
		return nil, false
	}
	return q.starved, q.starved != nil
}

// MarkHeld records that a worker is held for an item, which is tried before all items
// that are not held from then on.
func (q *Queue) MarkHeld(i *Item) {
	if i.held || q.items[i.key()] != i {
		return
	}
	i.held = true
	q.held = append(q.held, i)
	if q.starved == i {
		q.starved = nil
	}
}

// startHeld returns the first held item that starts, or nil.
func (q *Queue) startHeld(tryStart func(*Item) StartResult) *Item {
	for _, i := range q.held {
		if i.shape == nil {
			continue
		}
		q.triedCount++
		if tryStart(i) == Started {
			return i
		}
	}
	return nil
}

// startAged returns the first item of a less urgent class that has waited long and
// starts, or nil. The least urgent class comes first.
func (q *Queue) startAged(now time.Time, tryStart func(*Item) StartResult) *Item {
	for c := len(q.classes) - 1; c > 0; c-- {
		items := &q.classes[c].itemsByDeadline
		tried := 0
		for i := items.first(); i != nil && tried < maxSmallTried; i = items.firstAfter(i) {
			tried++
			hasAged := int64(now.Sub(i.EnqueuedAt)/time.Second) >= q.options.AgingSeconds
			if i.shape == nil || !hasAged || q.isRuledOut(i.shape) {
				continue
			}
			if q.tryItem(i, tryStart) {
				return i
			}
		}
	}
	return nil
}

// startInClass returns the first item of a class that starts, or nil.
func (q *Queue) startInClass(class *classQueue, tryStart func(*Item) StartResult) *Item {
	q.initCursors(class)
	tried := 0
	for k := 0; len(q.cursors) > 0; k++ {
		if k >= maxInspectedPerClass || tried >= maxTriedPerClass {
			return q.startSmallest(class, tryStart)
		}
		q.inspectedCount++
		top := &q.cursors[0]
		if !q.isRuledOut(top.shape) {
			tried++
			if q.tryItem(top.shape.earliest, tryStart) {
				return top.shape.earliest
			}
		}
		top.shape = top.teamQueue.shapes.firstAfter(top.shape)
		if top.shape == nil {
			last := len(q.cursors) - 1
			q.cursors[0] = q.cursors[last]
			q.cursors = q.cursors[:last]
		}
		q.siftDown(0)
	}
	return nil
}

// startSmallest returns the first item of one of the smallest shapes of a class that
// starts, or nil.
func (q *Queue) startSmallest(class *classQueue, tryStart func(*Item) StartResult) *Item {
	s := class.shapesBySize.first()
	for k := 0; s != nil && k < maxSmallTried; k++ {
		q.inspectedCount++
		if !q.isRuledOut(s) && q.tryItem(s.earliest, tryStart) {
			return s.earliest
		}
		s = class.shapesBySize.firstAfter(s)
	}
	return nil
}

// tryItem reports whether an item starts, and records it if it finds no capacity.
func (q *Queue) tryItem(i *Item, tryStart func(*Item) StartResult) bool {
	q.triedCount++
	result := tryStart(i)
	if result == NoCapacity {
		q.withoutCapacity = append(q.withoutCapacity, i)
	}
	return result == Started
}

// isRuledOut reports whether a shape needs at least as much as an item that found no
// capacity in this call.
func (q *Queue) isRuledOut(s *shape) bool {
	for _, f := range q.withoutCapacity {
		if f.isTypical() && f.Request.Class <= s.key.class && f.Resources.Fits(s.key.resources) {
			return true
		}
	}
	return false
}

// initCursors fills the cursors with the active teams of a class, as a binary heap.
// The fair share of a team is 1 divided by the number of active teams.
func (q *Queue) initCursors(class *classQueue) {
	q.cursors = q.cursors[:0]
	fairShare := 1 / float64(max(1, len(class.activeTeams)))
	for _, queue := range class.activeTeams {
		share := q.dominantShare(queue.team)
		q.cursors = append(q.cursors, cursor{queue, queue.shapes.first(), share, share > fairShare})
	}
	for k := len(q.cursors)/2 - 1; k >= 0; k-- {
		q.siftDown(k)
	}
}

// siftDown restores the heap order of the cursors below index k.
func (q *Queue) siftDown(k int) {
	for {
		first := k
		for c := 2*k + 1; c <= 2*k+2 && c < len(q.cursors); c++ {
			if q.cursors[c].before(&q.cursors[first]) {
				first = c
			}
		}
		if first == k {
			return
		}
		q.cursors[k], q.cursors[first] = q.cursors[first], q.cursors[k]
		k = first
	}
}

// before reports whether a team comes before another of the same class. Teams up to
// their fair share come first, in order of deadline, then those above it, in order of
// dominant share.
func (c *cursor) before(d *cursor) bool {
	switch {
	case c.aboveFairShare != d.aboveFairShare:
		return !c.aboveFairShare
	case c.aboveFairShare && c.dominantShare != d.dominantShare:
		return c.dominantShare < d.dominantShare
	}
	return lessByEarliestDeadline(c.shape, d.shape)
}
