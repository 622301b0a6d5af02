package dispatch

import (
	"slices"
	"time"

	"fuchsiacross/model"
)

const (
	// minReservations and workersPerReservation set how many blocked steps have workers
	// reserved at the same time. In a larger fleet more gangs wait: with a fixed number, those
	// further back in the order found all gaps taken by smaller tasks.
	minReservations       = 6
	workersPerReservation = 45
	// searchesPerReservation limits the searches for workers to reserve in one pass.
	searchesPerReservation = 2
	// reserveInterval is the time between two searches; expected ends change slowly.
	reserveInterval = 50 * time.Millisecond
)

// maxReservations returns how many blocked steps may have workers reserved.
func (r *Reducer) maxReservations() int {
	if r.policy.Reservations > 0 {
		return r.policy.Reservations
	}
	return minReservations + len(r.workers)/workersPerReservation
}

// mayReserve reports whether this pass may search for workers to reserve for another step.
func (p *pass) mayReserve() bool {
	limit := p.maxReservations()
	return p.reserving && p.reservedSteps < limit && p.reservationSearches < searchesPerReservation*limit
}

// opening is capacity for tasks of a blocked step that becomes free on a worker.
type opening struct {
	at     time.Time
	worker *worker
	tasks  int
}

// reserveWorkers reserves the workers that are the first to have capacity for the given number of
// tasks of a blocked step. Otherwise smaller tasks would take each gap before it is large enough.
func (p *pass) reserveWorkers(s *stepState, need int) {
	p.reservationSearches++
	var openings []opening
	p.eachEligible(s, func(w *worker, _ *ticket) {
		if w.reservedFor == nil {
			openings = append(openings, p.openings(s, w)...)
		}
	})
	slices.SortFunc(openings, func(a, b opening) int {
		if n := a.at.Compare(b.at); n != 0 {
			return n
		}
		return compare(a.worker.registration.ID, b.worker.registration.ID)
	})
	taken := 0
	for taken < len(openings) && need > 0 {
		need -= openings[taken].tasks
		taken++
	}
	if taken == 0 || need > 0 && s.step.Gang {
		return
	}
	p.reservedSteps++
	p.extendReservation(s)
	for _, o := range openings[:taken] {
		o.worker.reservedUntil, o.worker.reservedFor = openings[taken-1].at, s
	}
}

// mayHold reports whether a gang may hold capacity while its tickets are requested. The hold starts
// with the first report since the last answer, and lasts until the timeout of a call: then other
// steps may use the capacity.
func (p *pass) mayHold(s *stepState) bool {
	if s.advice.holdUntil.IsZero() {
		s.advice.holdUntil = p.now.Add(callCost(&s.job.queue, len(s.advice.renew)) + callTimeoutMargin)
	}
	return p.now.Before(s.advice.holdUntil)
}

// reserveChoices reserves the workers that a gang has chosen until their tickets are expected.
// Capacity that is only set aside in each pass is lost to earlier steps, and to urgent ones
// that have room elsewhere.
func (p *pass) reserveChoices(s *stepState, choices []choice) {
	until := p.now.Add(callCost(&s.job.queue, len(s.advice.renew)))
	reserved := false
	for _, ch := range choices {
		w := ch.worker
		if w.reservedFor == nil || w.reservedFor == s {
			w.reservedUntil, w.reservedFor = until, s
			reserved = true
		}
	}
	if reserved {
		p.extendReservation(s)
	}
}

// openings lists when a worker's runs are expected to free capacity for tasks of a step.
func (p *pass) openings(s *stepState, w *worker) []opening {
	demand := s.step.Allocation()
	free := w.uncommitted
	tasks := fitCount(demand, free)
	var list []opening
	if tasks > 0 {
		list = append(list, opening{p.now, w, tasks})
	}
	type end struct {
		at  time.Time
		run *run
	}
	ends := make([]end, 0, len(w.runs))
	for _, r := range w.runs {
		if !r.step.step.LongRunning {
			ends = append(ends, end{p.expectedEnd(r), r})
		}
	}
	slices.SortFunc(ends, func(a, b end) int {
		if n := a.at.Compare(b.at); n != 0 {
			return n
		}
		return compare(a.run.number, b.run.number)
	})
	for _, e := range ends {
		free = free.Add(e.run.step.step.Allocation())
		if n := fitCount(demand, free); n > tasks {
			list = append(list, opening{e.at, w, n - tasks})
			tasks = n
		}
	}
	return list
}

// expectedEnd returns when a run is expected to end. An overdue run is expected to continue
// for its expected length divided by overdueDivisor.
func (p *pass) expectedEnd(r *run) time.Time {
	length := r.step.expectedLength()
	end := r.orderedAt.Add(length)
	if earliest := p.now.Add(length / overdueDivisor); end.Before(earliest) {
		return earliest
	}
	return end
}

const overdueDivisor = 4

// fitCount returns how many tasks with the given demand fit the given resources.
func fitCount(demand, free model.Resources) int {
	n := int64(1 << 20)
	if demand.MilliCPU > 0 {
		n = min(n, free.MilliCPU/demand.MilliCPU)
	}
	if demand.MemoryBytes > 0 {
		n = min(n, free.MemoryBytes/demand.MemoryBytes)
	}
	if demand.Accelerators > 0 {
		n = min(n, free.Accelerators/demand.Accelerators)
	}
	return int(max(0, n))
}
