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

// Options bounds a queue.
type Options struct {
	Limits      [model.ClassCount]int // items of each class, by class less one
	TeamShare   float64               // largest share of a class's limit that one team may take
	AgedSeconds int64                 // items that waited longer may go before more urgent classes
	HoldSeconds int64                 // items that waited longer and do not fit count as starved
}

// DefaultOptions returns the bounds used where the settings name none.
func DefaultOptions() Options {
	return Options{
		Limits:      [model.ClassCount]int{10_000, 20_000, 40_000},
		TeamShare:   0.5,
		AgedSeconds: 30,
		HoldSeconds: 60,
	}
}

// ErrDuplicate says that an item with the same request and task waits already.
var ErrDuplicate = errors.New("the task waits already")

// FullError says that a queue takes no more items of some kind.
type QueueFullError struct {
	Class    model.Class
	Team     model.Team     // set when the bound is the team's
	Workload model.Workload // set when the bound is the workload's
	Limit    int
}

// Error returns the bound that was reached.
func (e *QueueFullError) Error() string {
	switch {
	case e.Workload != "":
		return fmt.Sprintf("%d requests of workload %s/%s wait already", e.Limit, e.Team, e.Workload)
	case e.Team != "":
		return fmt.Sprintf("%d %s requests of team %s wait already", e.Limit, e.Class, e.Team)
	}
	return fmt.Sprintf("%d %s requests wait already", e.Limit, e.Class)
}

// Queue holds the items that wait for room at one instance. It is used by one
// goroutine.
type Queue struct {
	options   Options
	share     func(model.Team) float64 // dominant share of the cell that a team takes
	document  *document.Document
	items     map[itemKey]*Item
	bands     [model.ClassCount]band
	shapes    map[shapeKey]*shape
	waiting   map[workloadKey]int
	delayed   treap[Item]
	held      []*Item
	starved   *Item
	sequence  uint64
	random    uint64 // state of the generator of treap priorities
	turn      uint64 // items taken
	now       time.Time
	cursors   []cursor // scratch of Next
	failed    []*Item  // scratch of Next: items without room
	tried     int      // verdicts asked for, for tests
	inspected int      // shapes looked at, for tests
}

type workloadKey struct {
	team     model.Team
	workload model.Workload
}

// NewQueue returns an empty queue. share returns the dominant share of the cell
// that a team takes now.
func NewQueue(o Options, share func(model.Team) float64) *Queue {
	q := &Queue{
		options: o,
		share:   share,
		items:   make(map[itemKey]*Item),
		shapes:  make(map[shapeKey]*shape),
		waiting: make(map[workloadKey]int),
		delayed: treap[Item]{link: placeOf, before: byDelay},
	}
	for c := range q.bands {
		q.bands[c] = newBand()
	}
	return q
}

// SetDocument puts the queue limits of a document's workloads in force.
func (q *Queue) SetDocument(d *document.Document) { q.document = d }

// Len returns the number of waiting items of a class.
func (q *Queue) Len(c model.Class) int { return q.bands[c-1].due.len() }

// Get returns a waiting item.
func (q *Queue) Get(id model.RequestID, task uint32) (*Item, bool) {
	i, ok := q.items[itemKey{id, task}]
	return i, ok
}

// Each yields every waiting item by class and deadline. The queue must not be
// changed meanwhile.
func (q *Queue) All() iter.Seq[*Item] {
	return func(yield func(*Item) bool) {
		for c := range q.bands {
			due := &q.bands[c].due
			for i := due.first(); i != nil; i = due.after(i) {
				if !yield(i) {
					return
				}
			}
		}
	}
}

// Push adds an item. It returns ErrDuplicate or a *FullError and changes
// nothing when the item cannot wait. Retries are exempt from the bounds: they
// were admitted before.
func (q *Queue) Push(now time.Time, i *Item) error {
	q.advance(now)
	key := i.key()
	if _, ok := q.items[key]; ok {
		return ErrDuplicate
	}
	if i.Attempts == 0 {
		if full := q.full(i.Request); full != nil {
			return full
		}
	}
	q.sequence++
	i.sequence, i.passed, i.held, i.shape = q.sequence, 0, false, nil
	b := &q.bands[i.Request.Class-1]
	b.service.account(now, b.due.len() > 0)
	b.due.insert(i, q.draw())
	q.items[key] = i
	q.waiting[workloadKey{i.Request.Team, i.Request.Workload}]++
	b.line(i.Request.Team).items++
	if i.NotBefore.After(now) {
		q.delayed.insert(i, q.draw())
	} else {
		q.enter(i)
	}
	return nil
}

// full returns the bound that keeps another request from waiting, or nil.
func (q *Queue) full(r *model.Request) *QueueFullError {
	limit := q.options.Limits[r.Class-1]
	b := &q.bands[r.Class-1]
	if b.due.len() >= limit {
		return &QueueFullError{Class: r.Class, Limit: limit}
	}
	ofTeam := int(math.Ceil(q.options.TeamShare * float64(limit)))
	if l, ok := b.byTeam[r.Team]; ok && l.items >= ofTeam {
		return &QueueFullError{Class: r.Class, Team: r.Team, Limit: ofTeam}
	}
	if q.document == nil {
		return nil
	}
	w, ok := q.document.Workload(r.Team, r.Workload)
	if ok && w.MaxQueued > 0 && int64(q.waiting[workloadKey{r.Team, r.Workload}]) >= w.MaxQueued {
		return &QueueFullError{Class: r.Class, Team: r.Team, Workload: r.Workload, Limit: int(w.MaxQueued)}
	}
	return nil
}

// line returns a team's line.
func (b *band) line(team model.Team) *line {
	l, ok := b.byTeam[team]
	if !ok {
		l = newLine(team)
		b.byTeam[team] = l
	}
	return l
}

// Remove takes an item out and reports whether it waited.
func (q *Queue) Remove(id model.RequestID, task uint32) (*Item, bool) {
	i, ok := q.items[itemKey{id, task}]
	if ok {
		q.take(i)
	}
	return i, ok
}

// take takes a waiting item out.
func (q *Queue) take(i *Item) {
	b := &q.bands[i.Request.Class-1]
	b.service.account(q.now, true)
	b.due.remove(i)
	delete(q.items, i.key())
	w := workloadKey{i.Request.Team, i.Request.Workload}
	q.waiting[w]--
	if q.waiting[w] == 0 {
		delete(q.waiting, w)
	}
	if i.shape != nil {
		q.leave(i)
	} else {
		q.delayed.remove(i)
	}
	l := b.byTeam[i.Request.Team]
	l.items--
	if l.items == 0 {
		delete(b.byTeam, l.team)
	}
	if i.held {
		i.held = false
		q.held = slices.DeleteFunc(q.held, func(h *Item) bool { return h == i })
	}
	if q.starved == i {
		q.starved = nil
	}
}

// enter adds an item to its shape.
func (q *Queue) enter(i *Item) {
	b := &q.bands[i.Request.Class-1]
	key := i.shapeKey()
	s, ok := q.shapes[key]
	if !ok {
		q.sequence++
		s = &shape{
			key:    key,
			line:   b.line(key.team),
			items:  treap[Item]{link: placeOf, before: byDeadline},
			bulk:   bulkOf(key.resources, key.count),
			number: q.sequence,
		}
		q.shapes[key] = s
		b.sizes.insert(s, q.draw())
	}
	i.shape = s
	s.items.insert(i, q.draw())
	q.reorder(b, s)
}

// leave takes an item out of its shape.
func (q *Queue) leave(i *Item) {
	b := &q.bands[i.Request.Class-1]
	s := i.shape
	s.items.remove(i)
	i.shape = nil
	q.reorder(b, s)
	if s.head == nil {
		b.sizes.remove(s)
		delete(q.shapes, s.key)
	}
}

// reorder moves a shape to where its first item belongs in its line.
func (q *Queue) reorder(b *band, s *shape) {
	head := s.items.first()
	if head == s.head {
		return
	}
	l := s.line
	before := l.shapes.len()
	if s.head != nil {
		l.shapes.remove(s)
	}
	s.head = head
	if head != nil {
		l.shapes.insert(s, q.draw())
	}
	switch after := l.shapes.len(); {
	case before == 0 && after > 0:
		b.lines = append(b.lines, l)
	case before > 0 && after == 0:
		b.lines = slices.DeleteFunc(b.lines, func(o *line) bool { return o == l })
	}
}

// draw returns the next number of a splitmix64 sequence.
func (q *Queue) draw() uint64 {
	q.random += 0x9e3779b97f4a7c15
	z := q.random
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return z ^ z>>31
}

// advance lets the items whose back-off has ended compete.
func (q *Queue) advance(now time.Time) {
	if now.After(q.now) {
		q.now = now
	}
	for i := q.delayed.first(); i != nil && !i.NotBefore.After(now); i = q.delayed.first() {
		q.delayed.remove(i)
		q.enter(i)
	}
}

// Expired takes out and returns every item whose deadline has passed.
func (q *Queue) RemoveExpired(now time.Time) []*Item {
	q.advance(now)
	var expired []*Item
	for c := range q.bands {
		due := &q.bands[c].due
		for i := due.first(); i != nil && !i.Request.Deadline.After(now); i = due.first() {
			q.take(i)
			expired = append(expired, i)
		}
	}
	return expired
}

// NextChange returns the earliest time at which a deadline passes or a back-off
// ends.
func (q *Queue) NextChange() (time.Time, bool) {
	var at time.Time
	sooner := func(t time.Time) {
		if at.IsZero() || t.Before(at) {
			at = t
		}
	}
	for c := range q.bands {
		if i := q.bands[c].due.first(); i != nil {
			sooner(i.Request.Deadline)
		}
	}
	if i := q.delayed.first(); i != nil {
		sooner(i.NotBefore)
	}
	return at, !at.IsZero()
}
