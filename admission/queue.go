package admission

import (
	"fmt"
	"iter"
	"math"
	"slices"
	"time"

	"github.com/go-faster/errors"

	"fuchsiacross/document"
	"fuchsiacross/model"
)

// Options configures a queue.
type Options struct {
	ClassLimits       [model.ClassCount]int // largest number of items of each class, indexed by class-1
	MaxTeamFraction   float64               // largest fraction of a class's limit that one team may use
	AgingSeconds      int64                 // after this wait, an item may go before more urgent classes
	StarvationSeconds int64                 // after this wait, an item that was bypassed often may count as starved
}

// DefaultOptions returns the default options.
func DefaultOptions() Options {
	return Options{
		ClassLimits:       [model.ClassCount]int{10_000, 20_000, 40_000},
		MaxTeamFraction:   0.5,
		AgingSeconds:      30,
		StarvationSeconds: 60,
	}
}

// ErrDuplicate is returned if an item with the same request and task is queued.
var ErrDuplicate = errors.New("the task is already queued")

// QueueFullError is returned if a limit on waiting items is reached.
type QueueFullError struct {
	Class    model.Class
	Team     model.Team     // set if the limit is that of the team
	Workload model.Workload // set if the limit is that of the workload
	Limit    int
}

// Error returns the limit that is reached, as a reason for the caller.
func (e *QueueFullError) Error() string {
	switch {
	case e.Workload != "":
		return fmt.Sprintf("%d requests of workload %s/%s wait already", e.Limit, e.Team, e.Workload)
	case e.Team != "":
		return fmt.Sprintf("%d %s requests of team %s wait already", e.Limit, e.Class, e.Team)
	}
	return fmt.Sprintf("%d %s requests wait already", e.Limit, e.Class)
}

// Queue holds the waiting items of one instance. It is not safe for concurrent use.
type Queue struct {
	options           Options
	dominantShare     func(model.Team) float64 // fraction of the cell that a team uses, see NewQueue
	document          *document.Document
	items             map[itemKey]*Item
	classes           [model.ClassCount]classQueue
	shapes            map[shapeKey]*shape
	waitingByWorkload map[workloadKey]int
	delayed           treap[Item] // items whose backoff has not ended, by NotBefore
	held              []*Item     // items that a worker is held for
	starved           *Item       // see StarvedItem
	sequence          uint64
	randomState       uint64 // state of the generator of treap priorities
	popCount          uint64 // items returned by PopNext
	now               time.Time
	cursors           []cursor // teams still to try; scratch space of PopNext
	withoutCapacity   []*Item  // items that found no capacity; scratch space of PopNext
	triedCount        int      // calls of tryStart
	inspectedCount    int      // shapes examined
}

type workloadKey struct {
	team     model.Team
	workload model.Workload
}

// NewQueue returns an empty queue. dominantShare returns the dominant share of a team:
// the largest fraction of the cell's capacity, over all dimensions of resources, that
// the team uses now.
func NewQueue(o Options, dominantShare func(model.Team) float64) *Queue {
	q := &Queue{
		options:           o,
		dominantShare:     dominantShare,
		items:             make(map[itemKey]*Item),
		shapes:            make(map[shapeKey]*shape),
		waitingByWorkload: make(map[workloadKey]int),
		delayed:           treap[Item]{link: shapeOrDelayedLinkOf, before: lessByNotBefore},
	}
	for c := range q.classes {
		q.classes[c] = newClassQueue()
	}
	return q
}

// SetDocument applies the limits on queued requests per workload of a document, the
// configuration that operators edit.
func (q *Queue) SetDocument(d *document.Document) { q.document = d }

// Len returns the number of waiting items of a class.
func (q *Queue) Len(c model.Class) int { return q.classes[c-1].itemsByDeadline.len() }

// Get returns the item of a task, or false if the task is not queued.
func (q *Queue) Get(id model.RequestID, task uint32) (*Item, bool) {
	i, ok := q.items[itemKey{id, task}]
	return i, ok
}

// All returns an iterator over all items in order of class and deadline. The queue
// must not be changed during the iteration.
func (q *Queue) All() iter.Seq[*Item] {
	return func(yield func(*Item) bool) {
		for c := range q.classes {
			items := &q.classes[c].itemsByDeadline
			for i := items.first(); i != nil; i = items.firstAfter(i) {
				if !yield(i) {
					return
				}
			}
		}
	}
}

// Push adds an item. If the task is already queued or a limit is reached, it returns
// ErrDuplicate or a *QueueFullError and the item is not added. Retries are exempt from
// the limits, because they were admitted before.
func (q *Queue) Push(now time.Time, i *Item) error {
	q.advanceTime(now)
	key := i.key()
	if _, ok := q.items[key]; ok {
		return ErrDuplicate
	}
	if i.Attempts == 0 {
		if limit := q.reachedLimit(i.Request); limit != nil {
			return limit
		}
	}
	q.sequence++
	i.sequence, i.bypassed, i.held, i.shape = q.sequence, 0, false, nil
	class := &q.classes[i.Request.Class-1]
	class.throughput.addBusyTime(now, class.itemsByDeadline.len() > 0)
	class.itemsByDeadline.insert(i, q.nextRandom())
	q.items[key] = i
	q.waitingByWorkload[workloadKey{i.Request.Team, i.Request.Workload}]++
	class.teamQueueFor(i.Request.Team).itemCount++
	if i.NotBefore.After(now) {
		q.delayed.insert(i, q.nextRandom())
	} else {
		q.addToShape(i)
	}
	return nil
}

// reachedLimit returns the limit that prevents another request from waiting, or nil.
func (q *Queue) reachedLimit(r *model.Request) *QueueFullError {
	limit := q.options.ClassLimits[r.Class-1]
	class := &q.classes[r.Class-1]
	if class.itemsByDeadline.len() >= limit {
		return &QueueFullError{Class: r.Class, Limit: limit}
	}
	teamLimit := int(math.Ceil(q.options.MaxTeamFraction * float64(limit)))
	if queue, ok := class.byTeam[r.Team]; ok && queue.itemCount >= teamLimit {
		return &QueueFullError{Class: r.Class, Team: r.Team, Limit: teamLimit}
	}
	if q.document == nil {
		return nil
	}
	w, ok := q.document.Workload(r.Team, r.Workload)
	if ok && w.MaxQueued > 0 && int64(q.waitingByWorkload[workloadKey{r.Team, r.Workload}]) >= w.MaxQueued {
		return &QueueFullError{Class: r.Class, Team: r.Team, Workload: r.Workload, Limit: int(w.MaxQueued)}
	}
	return nil
}

// teamQueueFor returns the queue of a team, which is created if needed.
func (c *classQueue) teamQueueFor(team model.Team) *teamQueue {
	queue, ok := c.byTeam[team]
	if !ok {
		queue = newTeamQueue(team)
		c.byTeam[team] = queue
	}
	return queue
}

// Remove removes and returns the item of a task, or returns false if the task is not
// queued.
func (q *Queue) Remove(id model.RequestID, task uint32) (*Item, bool) {
	i, ok := q.items[itemKey{id, task}]
	if ok {
		q.removeItem(i)
	}
	return i, ok
}

// removeItem removes an item from the queue.
func (q *Queue) removeItem(i *Item) {
	class := &q.classes[i.Request.Class-1]
	class.throughput.addBusyTime(q.now, true)
	class.itemsByDeadline.remove(i)
	delete(q.items, i.key())
	key := workloadKey{i.Request.Team, i.Request.Workload}
	q.waitingByWorkload[key]--
	if q.waitingByWorkload[key] == 0 {
		delete(q.waitingByWorkload, key)
	}
	if i.shape != nil {
		q.removeFromShape(i)
	} else {
		q.delayed.remove(i)
	}
	queue := class.byTeam[i.Request.Team]
	queue.itemCount--
	if queue.itemCount == 0 {
		delete(class.byTeam, queue.team)
	}
	if i.held {
		i.held = false
		q.held = slices.DeleteFunc(q.held, func(h *Item) bool { return h == i })
	}
	if q.starved == i {
		q.starved = nil
	}
}

// addToShape adds an item to its shape, which is created if needed.
func (q *Queue) addToShape(i *Item) {
	class := &q.classes[i.Request.Class-1]
	key := i.shapeKey()
	s, ok := q.shapes[key]
	if !ok {
		q.sequence++
		s = &shape{
			key:       key,
			teamQueue: class.teamQueueFor(key.team),
			items:     treap[Item]{link: shapeOrDelayedLinkOf, before: lessByDeadline},
			size:      sizeOf(key.resources, key.taskCount),
			sequence:  q.sequence,
		}
		q.shapes[key] = s
		class.shapesBySize.insert(s, q.nextRandom())
	}
	i.shape = s
	s.items.insert(i, q.nextRandom())
	q.updateShapeOrder(class, s)
}

// removeFromShape removes an item from its shape, and the shape if it is empty then.
func (q *Queue) removeFromShape(i *Item) {
	class := &q.classes[i.Request.Class-1]
	s := i.shape
	s.items.remove(i)
	i.shape = nil
	q.updateShapeOrder(class, s)
	if s.earliest == nil {
		class.shapesBySize.remove(s)
		delete(q.shapes, s.key)
	}
}

// updateShapeOrder updates the position of a shape in its team queue after a change of
// its items, and whether the team is among the active ones.
func (q *Queue) updateShapeOrder(class *classQueue, s *shape) {
	head := s.items.first()
	if head == s.earliest {
		return
	}
	queue := s.teamQueue
	before := queue.shapes.len()
	if s.earliest != nil {
		queue.shapes.remove(s)
	}
	s.earliest = head
	if head != nil {
		queue.shapes.insert(s, q.nextRandom())
	}
	switch after := queue.shapes.len(); {
	case before == 0 && after > 0:
		class.activeTeams = append(class.activeTeams, queue)
	case before > 0 && after == 0:
		class.activeTeams = slices.DeleteFunc(class.activeTeams, func(o *teamQueue) bool { return o == queue })
	}
}

// nextRandom returns the next number of a splitmix64 sequence.
func (q *Queue) nextRandom() uint64 {
	q.randomState += 0x9e3779b97f4a7c15
	z := q.randomState
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return z ^ z>>31
}

// advanceTime sets the time and adds the items whose backoff has ended to their
// shapes.
func (q *Queue) advanceTime(now time.Time) {
	if now.After(q.now) {
		q.now = now
	}
	for i := q.delayed.first(); i != nil && !i.NotBefore.After(now); i = q.delayed.first() {
		q.delayed.remove(i)
		q.addToShape(i)
	}
}

// RemoveExpired removes and returns all items whose deadline has passed.
func (q *Queue) RemoveExpired(now time.Time) []*Item {
	q.advanceTime(now)
	var expired []*Item
	for c := range q.classes {
		items := &q.classes[c].itemsByDeadline
		for i := items.first(); i != nil && !i.Request.Deadline.After(now); i = items.first() {
			q.removeItem(i)
			expired = append(expired, i)
		}
	}
	return expired
}

// NextDue returns the earliest time at which a deadline passes or a backoff ends, or
// false if the queue is empty.
func (q *Queue) NextDue() (time.Time, bool) {
	var earliest time.Time
	updateEarliest := func(t time.Time) {
		if earliest.IsZero() || t.Before(earliest) {
			earliest = t
		}
	}
	for c := range q.classes {
		if i := q.classes[c].itemsByDeadline.first(); i != nil {
			updateEarliest(i.Request.Deadline)
		}
	}
	if i := q.delayed.first(); i != nil {
		updateEarliest(i.NotBefore)
	}
	return earliest, !earliest.IsZero()
}
