// Package advicelane chooses which instance makes a call for advice.
//
// The advice service answers the calls of one instance one after another, so
// each instance is a lane of its own. Calls differ in cost by a factor of a
// hundred: a lane that is taken by a dear call is of no use to a job that
// somebody waits for. Calls are therefore divided into classes by their cost;
// some lanes are kept free for the cheap ones, and of the others the middle and
// the dear class leave each other a part.
//
// # Usage
//
//	var lanes advicelane.Lanes
//	lanes.Set([]string{"a", "b", "c"})
//	class := advicelane.ClassOf(cost)
//	if lane := lanes.Best(class, now); lane != nil {
//		due := lane.Sent(class, cost, now)
//		...
//		lane.Answered(class, now)
//	}
//
// Nothing here reads a clock, and nothing is safe for concurrent use.
package advicelane

import "time"

// Class is a class of calls by their cost.
type Class int

// Classes of calls.
const (
	Cheap Class = iota
	Medium
	Expensive
	classes
)

const (
	// cheapCall and middleCall are the longest times that the service takes for a
	// call of these classes.
	cheapCall  = 40 * time.Millisecond
	middleCall = 250 * time.Millisecond

	// cheapLanes and dearLanes in lanesOf lanes are kept free of calls of other
	// classes.
	cheapLanes = 2
	dearLanes  = 1
	lanesOf    = 7

	// trip is the way of a call to its lane, to the service and back.
	trip = 15 * time.Millisecond
	// overdue is how much later than expected an answer may come before its lane
	// gets no further calls.
	overdue = 150 * time.Millisecond
)

// waits are how long the calls before it on its lane may take when a call goes
// out. The answers of cheap calls are due soon; a dear call that waits at the
// leader instead may turn out not to be needed.
var waits = [classes]time.Duration{60 * time.Millisecond, 150 * time.Millisecond, 20 * time.Millisecond}

// ClassOf returns the class of calls that take the service so long.
func ClassOf(cost time.Duration) Class {
	switch {
	case cost <= cheapCall:
		return Cheap
	case cost <= middleCall:
		return Medium
	}
	return Expensive
}

// Lane is an instance that makes calls.
type Lane struct {
	Name   string
	open   [classes]int
	busyTo time.Time // when its open calls are expected to be answered
	dueAt  time.Time // when the next answer is expected at the latest
	gone   bool
}

// Gone reports whether the lane has been left out of the last list of names.
func (l *Lane) Removed() bool { return l.gone }

// Sent notes a call that the service takes so long for, and returns when its
// answer is expected.
func (l *Lane) RecordCall(class Class, cost time.Duration, now time.Time) time.Time {
	l.busyTo = now.Add(l.wait(now) + cost + trip)
	if l.idle() {
		l.dueAt = l.busyTo
	}
	l.open[class]++
	return l.busyTo
}

// Answered notes the end of a call, with or without an answer.
func (l *Lane) RecordAnswer(class Class, now time.Time) {
	l.open[class]--
	if l.idle() {
		l.busyTo = now
	}
	l.dueAt = l.busyTo
}

// wait is how long the open calls of a lane are expected to take.
func (l *Lane) wait(now time.Time) time.Duration { return max(0, l.busyTo.Sub(now)) }

func (l *Lane) idle() bool { return l.open == [classes]int{} }

// silent reports whether the answers of a lane are overdue.
func (l *Lane) silent(now time.Time) bool { return !l.idle() && now.Sub(l.dueAt) > overdue }

// Lanes are the instances that make calls.
type Lanes struct {
	list []*Lane
}

// Set replaces the lanes; those that keep their names keep their calls.
func (l *Lanes) SetNames(names []string) {
	old := map[string]*Lane{}
	for _, lane := range l.list {
		old[lane.Name], lane.gone = lane, true
	}
	l.list = nil
	for _, name := range names {
		lane := old[name]
		if lane == nil {
			lane = &Lane{Name: name}
		}
		lane.gone = false
		l.list = append(l.list, lane)
	}
}

// Best returns the lane on which a call of a class is answered first, or nil if
// it would wait too long or take a lane that is kept for others.
func (l *Lanes) SelectLane(class Class, now time.Time) *Lane {
	var best *Lane
	for i, lane := range l.list {
		if class == Cheap {
			// The other classes take lanes from the front.
			lane = l.list[len(l.list)-1-i]
		}
		if lane.silent(now) || !l.permits(lane, class) {
			continue
		}
		if wait := lane.wait(now); wait <= waits[class] && (best == nil || wait < best.wait(now)) {
			best = lane
		}
	}
	return best
}

// permits reports whether a call of a class may go to a lane. One more lane with
// calls that are not cheap must leave the lanes that are kept for cheap ones, and
// one more with a class the lanes that are kept for the other class.
func (l *Lanes) permits(lane *Lane, class Class) bool {
	if class == Cheap || lane.open[class] > 0 {
		return true
	}
	count := len(l.list)
	slow, same := 0, 0
	for _, other := range l.list {
		if other.open[Medium]+other.open[Expensive] > 0 {
			slow++
		}
		if other.open[class] > 0 {
			same++
		}
	}
	slowMost := max(1, count-part(count, cheapLanes))
	sameMost := slowMost - 1 // the middle class keeps one lane
	if class == Medium {
		sameMost = slowMost - part(count, dearLanes)
	}
	fresh := lane.open[Medium]+lane.open[Expensive] == 0
	return (!fresh || slow < slowMost) && same < max(1, sameMost)
}

// part returns so many in lanesOf of all lanes, rounded up.
func part(count, lanes int) int { return (count*lanes + lanesOf - 1) / lanesOf }
