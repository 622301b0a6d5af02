package admission

import (
	"time"
)

const (
	// maxTried bounds the verdicts asked for in one class for one call of Next.
	maxTried = 32
	// maxInspected bounds the shapes looked at in one class for one call.
	maxInspected = 128
	// smallTried is the number of small shapes tried once a bound is reached,
	// so that many large shapes with early deadlines do not block the others.
	smallTried = 8
	// agedEvery is the number of items taken between two turns in which lower
	// classes go first with what has waited long.
	agedEvery = 16
	// minPassed is the number of times that an item must have been passed
	// before it counts as starved. Waiting alone is no sign of starvation when
	// the cell is full.
	minPassed = 8
	// starvedFactor is how many times the mean waiting time of its class an item
	// must have waited. In an overloaded cell everything waits long, and holding
	// workers would only waste room.
	starvedFactor = 4
	// maxHeldItems bounds the items that workers are held for.
	maxHeldItems = 16
)

// cursor is the next shape of a team.
type cursor struct {
	line  *line
	shape *shape
	share float64
	over  bool // the team takes more than its fair share
}

// Next takes out and returns the first item that fits. fits is called for one
// item of each shape at most, with a bounded number of calls.
func (q *Queue) PopNext(now time.Time, fits func(*Item) StartResult) (*Item, bool) {
	q.advance(now)
	q.failed = q.failed[:0]
	i := q.nextHeld(fits)
	if i == nil && q.turn%agedEvery == agedEvery-1 {
		i = q.nextAged(now, fits)
	}
	for c := 0; i == nil && c < len(q.bands); c++ {
		i = q.nextOf(&q.bands[c], fits)
	}
	if i == nil {
		return nil, false
	}
	q.turn++
	q.pass(now, i)
	b := &q.bands[i.Request.Class-1]
	q.take(i)
	b.service.start(now.Sub(i.EnqueuedAt).Seconds())
	return i, true
}

// pass counts an item that goes before the ones that did not fit.
func (q *Queue) pass(now time.Time, taken *Item) {
	for _, f := range q.failed {
		if f == taken || f.held || f.Request.Class > taken.Request.Class {
			continue
		}
		f.passed++
		usual := q.bands[f.Request.Class-1].service.waited
		long := max(float64(q.options.HoldSeconds), starvedFactor*usual)
		if f.passed < minPassed || now.Sub(f.EnqueuedAt).Seconds() < long {
			continue
		}
		if q.starved == nil || f.EnqueuedAt.Before(q.starved.EnqueuedAt) {
			q.starved = f
		}
	}
}

// Starved returns the longest waiting item that does not fit and was passed
// often. The caller holds a worker for it and then calls Hold.
func (q *Queue) StarvedItem() (*Item, bool) {
	if len(q.held) >= maxHeldItems {
		return nil, false
	}
	return q.starved, q.starved != nil
}

// Hold says that a worker is held for a waiting item, which is tried first from
// now on.
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

func (q *Queue) nextHeld(fits func(*Item) StartResult) *Item {
	for _, i := range q.held {
		if i.shape == nil {
			continue
		}
		q.tried++
		if fits(i) == Started {
			return i
		}
	}
	return nil
}

// nextAged returns an item of a lower class that has waited long and fits.
func (q *Queue) nextAged(now time.Time, fits func(*Item) StartResult) *Item {
	for c := len(q.bands) - 1; c > 0; c-- {
		due := &q.bands[c].due
		tried := 0
		for i := due.first(); i != nil && tried < smallTried; i = due.after(i) {
			tried++
			aged := int64(now.Sub(i.EnqueuedAt)/time.Second) >= q.options.AgedSeconds
			if i.shape == nil || !aged || q.hopeless(i.shape) {
				continue
			}
			if q.try(i, fits) {
				return i
			}
		}
	}
	return nil
}

// nextOf returns the first item of a class that fits.
func (q *Queue) nextOf(b *band, fits func(*Item) StartResult) *Item {
	q.start(b)
	tried := 0
	for k := 0; len(q.cursors) > 0; k++ {
		if k >= maxInspected || tried >= maxTried {
			return q.nextSmall(b, fits)
		}
		q.inspected++
		at := &q.cursors[0]
		if !q.hopeless(at.shape) {
			tried++
			if q.try(at.shape.head, fits) {
				return at.shape.head
			}
		}
		at.shape = at.line.shapes.after(at.shape)
		if at.shape == nil {
			last := len(q.cursors) - 1
			q.cursors[0] = q.cursors[last]
			q.cursors = q.cursors[:last]
		}
		q.sink(0)
	}
	return nil
}

// nextSmall returns an item of one of the smallest shapes.
func (q *Queue) nextSmall(b *band, fits func(*Item) StartResult) *Item {
	s := b.sizes.first()
	for k := 0; s != nil && k < smallTried; k++ {
		q.inspected++
		if !q.hopeless(s) && q.try(s.head, fits) {
			return s.head
		}
		s = b.sizes.after(s)
	}
	return nil
}

func (q *Queue) try(i *Item, fits func(*Item) StartResult) bool {
	q.tried++
	v := fits(i)
	if v == NoCapacity {
		q.failed = append(q.failed, i)
	}
	return v == Started
}

// hopeless reports whether a shape needs at least as much as an item that found
// no room in this call.
func (q *Queue) hopeless(s *shape) bool {
	for _, f := range q.failed {
		if f.typical() && f.Request.Class <= s.key.class && f.Resources.Fits(s.key.resources) {
			return true
		}
	}
	return false
}

// start fills the cursors with the teams of a class, as a heap.
func (q *Queue) start(b *band) {
	q.cursors = q.cursors[:0]
	fair := 1 / float64(max(1, len(b.lines)))
	for _, l := range b.lines {
		s := q.share(l.team)
		q.cursors = append(q.cursors, cursor{l, l.shapes.first(), s, s > fair})
	}
	for k := len(q.cursors)/2 - 1; k >= 0; k-- {
		q.sink(k)
	}
}

// sink restores the heap below a cursor.
func (q *Queue) sink(k int) {
	for {
		least := k
		for c := 2*k + 1; c <= 2*k+2 && c < len(q.cursors); c++ {
			if q.cursors[c].before(&q.cursors[least]) {
				least = c
			}
		}
		if least == k {
			return
		}
		q.cursors[k], q.cursors[least] = q.cursors[least], q.cursors[k]
		k = least
	}
}

// before orders teams within a class: below the fair share by deadline, then
// above it by share.
func (c *cursor) before(d *cursor) bool {
	switch {
	case c.over != d.over:
		return !c.over
	case c.over && c.share != d.share:
		return c.share < d.share
	}
	return byHead(c.shape, d.shape)
}
