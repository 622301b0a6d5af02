// Package advicelane selects the instance that makes a call for advice, which returns the
// workers that are allowed to run a step.
//
// The advice service answers the calls of one instance one after another, so each instance
// is a lane of its own. Calls differ in cost by a factor of a hundred: an expensive call
// blocks its lane for the jobs that a client waits for (head-of-line blocking). Calls are
// therefore divided into classes by their cost. Some lanes are reserved for cheap calls.
// Neither medium nor expensive calls may occupy all of the others if there are several.
//
// # Usage
//
//	var lanes advicelane.Lanes
//	lanes.SetNames([]string{"a", "b", "c"})
//	class := advicelane.ClassOf(cost)
//	if lane := lanes.SelectLane(class, now); lane != nil {
//		due := lane.RecordCall(class, cost, now)
//		...
//		lane.RecordAnswer(class, now)
//	}
//
// The package never reads the clock. Its types are not safe for concurrent use.
package advicelane

import "time"

// Class is a class of calls by the time that the service takes for them.
type Class int

// The classes of calls, from the cheapest to the most expensive.
const (
	Cheap Class = iota
	Medium
	Expensive
	classCount
)

const (
	// maxCheapCost and maxMediumCost are the longest times that the service takes for a
	// call of these classes.
	maxCheapCost  = 40 * time.Millisecond
	maxMediumCost = 250 * time.Millisecond

	// Of every reservationGroupSize lanes, cheapReservedLanes are reserved for cheap calls.
	// Of the others, medium calls leave expensiveReservedLanes to expensive calls.
	cheapReservedLanes     = 2
	expensiveReservedLanes = 1
	reservationGroupSize   = 7

	// roundTripTime is the network time of a call: to its lane, to the service and back.
	roundTripTime = 15 * time.Millisecond
	// overdueThreshold is how much later than expected an answer may come before its lane
	// gets no further calls.
	overdueThreshold = 150 * time.Millisecond
)

// maxWaits limits, by class, how long a call may be expected to wait for the calls before
// it on its lane. The answers of cheap calls are due soon. An expensive call is better kept
// at the leader, where it may turn out not to be needed.
var maxWaits = [classCount]time.Duration{60 * time.Millisecond, 150 * time.Millisecond, 20 * time.Millisecond}

// ClassOf returns the class of a call that the service answers in the time cost.
func ClassOf(cost time.Duration) Class {
	switch {
	case cost <= maxCheapCost:
		return Cheap
	case cost <= maxMediumCost:
		return Medium
	}
	return Expensive
}

// Lane is an instance that makes calls for advice. The service answers them in order.
type Lane struct {
	Name            string
	openCalls       [classCount]int
	busyUntil       time.Time // time at which all open calls are expected to be answered
	nextAnswerDueAt time.Time // latest time at which the next answer is expected
	usage           *usage    // of all lanes; nil if the lane was removed
}

// usage counts the lanes that have open calls.
type usage struct {
	slowLanes  int             // lanes with open calls that are not cheap
	classLanes [classCount]int // lanes with open calls of a class
}

// add counts the open calls of a lane with the given sign.
func (u *usage) add(l *Lane, sign int) {
	if u == nil {
		return
	}
	for class, open := range l.openCalls {
		if open > 0 {
			u.classLanes[class] += sign
		}
	}
	if l.hasSlowCalls() {
		u.slowLanes += sign
	}
}

// Removed reports whether the last SetNames left the lane out.
func (l *Lane) Removed() bool { return l.usage == nil }

// hasSlowCalls reports whether the lane has open calls that are not cheap.
func (l *Lane) hasSlowCalls() bool { return l.openCalls[Medium]+l.openCalls[Expensive] > 0 }

// changeOpenCalls changes the number of open calls of a class.
func (l *Lane) changeOpenCalls(class Class, change int) {
	l.usage.add(l, -1)
	l.openCalls[class] += change
	l.usage.add(l, 1)
}

// RecordCall adds an open call that the service answers in the time cost, and returns when
// its answer is expected.
func (l *Lane) RecordCall(class Class, cost time.Duration, now time.Time) time.Time {
	l.busyUntil = now.Add(l.expectedWait(now) + cost + roundTripTime)
	if l.isIdle() {
		l.nextAnswerDueAt = l.busyUntil
	}
	l.changeOpenCalls(class, 1)
	return l.busyUntil
}

// RecordAnswer removes an open call that has ended, with or without an answer.
func (l *Lane) RecordAnswer(class Class, now time.Time) {
	l.changeOpenCalls(class, -1)
	if l.isIdle() {
		l.busyUntil = now
	}
	l.nextAnswerDueAt = l.busyUntil
}

// expectedWait returns how long a new call would wait for the open calls.
func (l *Lane) expectedWait(now time.Time) time.Duration { return max(0, l.busyUntil.Sub(now)) }

func (l *Lane) isIdle() bool { return l.openCalls == [classCount]int{} }

// isOverdue reports whether an answer is late by more than overdueThreshold.
func (l *Lane) isOverdue(now time.Time) bool {
	return !l.isIdle() && now.Sub(l.nextAnswerDueAt) > overdueThreshold
}

// Lanes holds the lanes of all instances that can make calls. The zero value holds none.
type Lanes struct {
	lanes         []*Lane
	usage         *usage
	examinedLanes int64 // by all selections
}

// ExaminedLanes returns how many lanes all selections have considered.
func (l *Lanes) ExaminedLanes() int64 { return l.examinedLanes }

// SetNames replaces the lanes. A lane whose name was there before keeps its open calls.
func (l *Lanes) SetNames(names []string) {
	old := map[string]*Lane{}
	for _, lane := range l.lanes {
		old[lane.Name], lane.usage = lane, nil
	}
	l.lanes, l.usage = nil, &usage{}
	for _, name := range names {
		lane := old[name]
		if lane == nil {
			lane = &Lane{Name: name}
		}
		lane.usage = l.usage
		l.usage.add(lane, 1)
		l.lanes = append(l.lanes, lane)
	}
}

// SelectLane returns the lane on which a call of the class is answered first. It returns
// nil if the call would wait too long on each lane that is not reserved for other classes.
func (l *Lanes) SelectLane(class Class, now time.Time) *Lane {
	var best *Lane
	bestWait := maxWaits[class]
	for i, lane := range l.lanes {
		if class == Cheap {
			// Cheap calls try the lanes from the back, the other classes from the front.
			lane = l.lanes[len(l.lanes)-1-i]
		}
		l.examinedLanes++
		wait := lane.expectedWait(now)
		if best != nil && wait >= bestWait || wait > bestWait || lane.isOverdue(now) || !l.permits(lane, class) {
			continue
		}
		best, bestWait = lane, wait
		if wait == 0 {
			break
		}
	}
	return best
}

// permits reports whether a call of the class may go to the lane. A call that is not cheap
// may not occupy a lane that has only cheap calls if too few such lanes would remain for
// cheap calls, nor a further lane of its class if too few would remain for the other class.
func (l *Lanes) permits(lane *Lane, class Class) bool {
	if class == Cheap || lane.openCalls[class] > 0 {
		return true
	}
	count := len(l.lanes)
	maxSlowLanes := max(1, count-reservedLanes(count, cheapReservedLanes))
	maxClassLanes := maxSlowLanes - 1 // one lane is left to medium calls
	if class == Medium {
		maxClassLanes = maxSlowLanes - reservedLanes(count, expensiveReservedLanes)
	}
	return (lane.hasSlowCalls() || l.usage.slowLanes < maxSlowLanes) && l.usage.classLanes[class] < max(1, maxClassLanes)
}

// reservedLanes returns how many of count lanes are reserved if perGroup of each
// reservationGroupSize are, rounded up.
func reservedLanes(count, perGroup int) int {
	return (count*perGroup + reservationGroupSize - 1) / reservationGroupSize
}
