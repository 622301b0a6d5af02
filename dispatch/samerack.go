package dispatch

import (
	"slices"
	"time"
)

// serviceRackWait is how long a task that lasts waits for capacity in the rack of the others of
// its step. It then starts in another rack.
const serviceRackWait = 2 * time.Second

// keepOneRack keeps the places of one rack for a step whose tasks take several times as long on
// several racks: the rack of its runs, or else the smallest one with capacity for all missing
// tasks. It returns false if the step waits for such a rack, which it does for a limited time.
func (p *pass) keepOneRack(s *stepState, missing int) bool {
	capacity := map[string]int{}
	for i := range p.places {
		capacity[p.places[i].worker.registration.Rack] += s.taskCapacity(&p.places[i])
	}
	if rack, found := s.rackOfRuns(); found && capacity[rack] > 0 {
		p.keepRack(s, rack)
		return true
	}
	best := ""
	for rack, n := range capacity {
		if n >= missing && (best == "" || n < capacity[best] || n == capacity[best] && rack < best) {
			best = rack
		}
	}
	if best != "" && !s.hasRuns() {
		p.keepRack(s, best)
		return true
	}
	if s.rackBlockedSince.IsZero() {
		s.rackBlockedSince = p.now
	}
	if p.now.Sub(s.rackBlockedSince) < s.rackWait() {
		return false
	}
	if best != "" {
		p.keepRack(s, best)
	}
	return true
}

// keepRack keeps the places of a rack.
func (p *pass) keepRack(s *stepState, rack string) {
	s.rackBlockedSince = time.Time{}
	p.places = slices.DeleteFunc(p.places, func(l place) bool { return l.worker.registration.Rack != rack })
}

// rackWait returns how long the step waits for capacity in one rack.
func (s *stepState) rackWait() time.Duration {
	if s.step.LongRunning {
		return serviceRackWait
	}
	return s.expectedLength()
}

// hasRuns reports whether a task of the step has a run.
func (s *stepState) hasRuns() bool {
	return slices.ContainsFunc(s.tasks, func(t taskState) bool { return t.run != nil })
}

// rackOfRuns returns the rack with the most runs of the step.
func (s *stepState) rackOfRuns() (rack string, found bool) {
	runs := map[string]int{}
	for i := range s.tasks {
		if r := s.tasks[i].run; r != nil {
			runs[r.worker.registration.Rack]++
		}
	}
	for candidate, n := range runs {
		if !found || n > runs[rack] || n == runs[rack] && candidate < rack {
			rack, found = candidate, true
		}
	}
	return rack, found
}
