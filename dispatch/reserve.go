package dispatch

import (
	"slices"
	"time"

	"fuchsiacross/model"
)

const (
	// maxReservations bounds the blocked steps that hold workers for themselves.
	maxReservations = 7
	// maxAttempts bounds the searches for such workers in one pass.
	maxAttempts = 12
	// reserveInterval is between two searches; expected ends change slowly.
	reserveInterval = 50 * time.Millisecond
)

// opening is room for tasks of a blocked step that appears on a worker.
type opening struct {
	at     time.Time
	worker *worker
	tasks  int
}

// reserve keeps the workers that have room for all of a blocked gang first:
// otherwise smaller tasks take each gap before it is large enough.
func (p *pass) reserve(s *stepState) {
	p.attempts++
	var openings []opening
	p.each(s, func(w *worker, _ *ticket) {
		if w.reservedFor == nil {
			openings = append(openings, p.openings(s, w)...)
		}
	})
	slices.SortFunc(openings, func(a, b opening) int {
		if n := a.at.Compare(b.at); n != 0 {
			return n
		}
		return compare(a.worker.worker.ID, b.worker.worker.ID)
	})
	need := len(s.tasks)
	taken := 0
	for taken < len(openings) && need > 0 {
		need -= openings[taken].tasks
		taken++
	}
	if need > 0 {
		return
	}
	p.blocked++
	for _, o := range openings[:taken] {
		o.worker.reserved, o.worker.reservedFor = openings[taken-1].at, s
	}
}

// openings lists when a worker's runs are expected to make room for tasks of a
// step.
func (p *pass) openings(s *stepState, w *worker) []opening {
	room := s.step.Allocation()
	free := w.roomLeft
	tasks := fits(room, free)
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
		if n := fits(room, free); n > tasks {
			list = append(list, opening{e.at, w, n - tasks})
			tasks = n
		}
	}
	return list
}

// expectedEnd is when a run is expected to end. A run that is past it is taken to
// go on for a part of its length.
func (p *pass) expectedEnd(r *run) time.Time {
	whole := r.step.expected()
	end := r.orderedAt.Add(whole)
	if least := p.now.Add(whole / overdueShare); end.Before(least) {
		return least
	}
	return end
}

// overdueShare is the part of its estimate for which a run still counts as busy.
const overdueShare = 4

// fits returns how many tasks of a demand fit a room.
func fits(demand, room model.Resources) int {
	n := int64(1 << 20)
	if demand.MilliCPU > 0 {
		n = min(n, room.MilliCPU/demand.MilliCPU)
	}
	if demand.MemoryBytes > 0 {
		n = min(n, room.MemoryBytes/demand.MemoryBytes)
	}
	if demand.Accelerators > 0 {
		n = min(n, room.Accelerators/demand.Accelerators)
	}
	return int(max(0, n))
}
