package dispatch

import (
	"fmt"
	"slices"
	"time"

	"fuchsiacross/model"
)

const urgentPriority = 0

// pass places what fits, at most once in passInterval.
func (r *Reducer) pass() {
	if !r.changed || r.now.Sub(r.passedAt) < passInterval || !r.authorised() {
		return
	}
	r.changed, r.passedAt = false, r.now
	r.advice.changed = true
	p := pass{Reducer: r, reserving: r.now.Sub(r.reservedAt) >= reserveInterval}
	for _, w := range r.ordered {
		w.open, w.roomLeft = r.open(w), w.free()
		w.unreliable, w.suspect = w.health.unreliable(r.now), w.health.suspect(r.now)
		r.noteStanding(w)
		if p.reserving {
			w.reserved, w.reservedFor = time.Time{}, nil
		}
	}
	if p.reserving {
		r.reservedAt = r.now
	}
	settled := r.settled()
	if settled && !r.wasSettled {
		r.wasSettled = true
		r.noteSettled()
		r.settleGangs()
	}
	r.advice.order = r.order()
	for _, c := range r.advice.order {
		if c.step.job.uncertain && !settled || !r.mayBegin(c.step.job) {
			continue
		}
		if !r.starts.admits(r.now) {
			// A later pass goes on, with complete reservations.
			r.changed = true
			r.reservedAt = time.Time{}
			break
		}
		p.place(c)
	}
}

// settled reports whether no run of a predecessor can be unknown any more. The
// enrolled workers count also while their registrations are missing, as they are
// after an outage of the store.
func (r *Reducer) settled() bool {
	for _, w := range r.ordered {
		if !w.known && r.mayRun(w) {
			return false
		}
	}
	return true
}

// noteSettled notes from when on the tasks of the predecessor's jobs start again,
// and how many workers have not been read until then.
func (r *Reducer) noteSettled() {
	unread := 0
	for _, w := range r.ordered {
		if !w.known {
			unread++
		}
	}
	r.note(Note{Kind: NotePredecessorRunsSettled, Detail: fmt.Sprintf("%d of %d workers not read", unread, len(r.ordered)), Age: r.now.Sub(r.listedAt)})
}

// mayRun reports whether runs of a predecessor may go on at a worker that has not
// been read.
func (r *Reducer) mayRun(w *worker) bool {
	if r.loaded && !w.inherited || !r.now.Before(r.uncertainTo) {
		return false
	}
	return w.listed || !r.listed || r.now.Sub(r.listedAt) < registrationGrace
}

// registrationGrace is how long a new leader waits for a missing registration.
// Those that have lapsed in an outage are back 2 s after it, by the platform's
// pages. A worker that is cut off loses its registration after three heartbeats of
// 1.5 s; by the end of the grace its lease has lapsed, too.
const registrationGrace = 2500 * time.Millisecond

// pass is one walk over the waiting steps. A step costs as many looks as there
// are workers that may run it, and no more for those without room.
type pass struct {
	*Reducer
	reserving bool // reservations are made anew
	blocked   int  // steps with a reservation
	attempts  int  // searches for one
	explained int  // steps whose waiting is logged
	places    []place
	choices   []choice
}

// place is a worker that has room for a task of a step.
type place struct {
	worker *worker
	ticket *ticket // nil where the queue needs none
	free   model.Resources
	tasks  int // of the step that run there
	score  float64
}

// choice is a task with the place chosen for it.
type choice struct {
	index  int
	worker *worker
	ticket *ticket
}

func (p *pass) place(c candidate) {
	s := c.step
	missing := s.idle()
	choices := p.choose(c, missing)
	blocked := len(choices) < missing
	if s.step.Gang && (blocked || missing < len(s.tasks)) {
		choices = nil
	}
	s.advice.renew = s.advice.renew[:0]
	if !p.ticketed(s, choices) && s.step.Gang {
		p.hold(s, choices)
		p.explain(c, missing, len(choices))
		return
	}
	number := int64(0)
	for _, ch := range choices {
		if ch.ticket != nil && !ch.ticket.valid(p.now) {
			p.hold(s, []choice{ch})
			continue
		}
		if number == 0 || !s.step.Gang {
			number = p.newRun()
		}
		value := ""
		if ch.ticket != nil {
			value = ch.ticket.value
		}
		p.startRun(s, ch.index, ch.worker, number, value)
		ch.worker.roomLeft = ch.worker.roomLeft.Sub(s.step.Allocation())
		missing--
	}
	if missing == 0 {
		delete(p.waiting, s)
		return
	}
	p.explain(c, missing, len(choices))
	if blocked && s.step.Gang && p.reserving && p.blocked < maxReservations && p.attempts < maxAttempts && c.grade != gradeWorthless {
		p.reserve(s)
	}
}

// idle returns the number of tasks that could be started.
func (s *stepState) idle() int {
	n := 0
	for i := range s.tasks {
		if s.tasks[i].idle() {
			n++
		}
	}
	return n
}

// ticketed reports whether all choices have a valid ticket, and notes the
// workers whose tickets are not.
func (p *pass) ticketed(s *stepState, choices []choice) bool {
	for _, ch := range choices {
		if ch.ticket != nil && !ch.ticket.valid(p.now) && !slices.Contains(s.advice.renew, ch.worker.worker.ID) {
			s.advice.renew = append(s.advice.renew, ch.worker.worker.ID)
		}
	}
	return len(s.advice.renew) == 0
}

// hold keeps room for choices whose tickets are asked for.
func (p *pass) hold(s *stepState, choices []choice) {
	for _, ch := range choices {
		ch.worker.roomLeft = ch.worker.roomLeft.Sub(s.step.Allocation())
	}
}

// open reports whether a worker takes runs at all.
func (r *Reducer) open(w *worker) bool {
	return w.listed && w.enrolled && len(w.strays) == 0 && !w.worker.Leaving && w.known && !w.failing &&
		!r.now.Before(w.health.pausedUntil) &&
		(!w.health.slow || len(w.runs) == 0 && !r.now.Before(w.health.slowTo)) &&
		(w.health.failures < avoidFailures || len(w.runs) == 0)
}

// fewAttempts is a number of attempts that one failing worker can use up.
const fewAttempts = 2

// suits reports whether an open worker may run tasks of a step, with or without
// room. Steps with few attempts keep away from workers that may be failing.
func (s *stepState) suits(w *worker) bool {
	return w.worker.Pool == s.job.queue.Pool &&
		(!w.unreliable || s.job.queue.Priority > urgentPriority && !s.step.Gang) &&
		(!w.suspect || s.job.queue.MaxAttempts > fewAttempts) &&
		(s.step.RequiredLabel == "" || slices.Contains(w.worker.Labels, s.step.RequiredLabel)) &&
		s.step.Allocation().Fits(w.worker.Capacity)
}

// each calls f for the open workers that may run a step.
func (p *pass) each(s *stepState, f func(*worker, *ticket)) {
	if s.job.queue.RequiresAdvice {
		for i := range s.advice.good {
			t := &s.advice.good[i]
			if t.worker.open && s.suits(t.worker) {
				f(t.worker, t)
			}
		}
		return
	}
	for _, w := range p.ordered {
		if w.open && s.suits(w) {
			f(w, nil)
		}
	}
}

// choose picks a worker for each idle task, as far as there is room. The result
// is valid until the next call.
func (p *pass) choose(c candidate, missing int) []choice {
	s := c.step
	room := s.step.Allocation()
	p.places = p.places[:0]
	total := 0
	p.each(s, func(w *worker, t *ticket) {
		if !room.Fits(w.roomLeft) {
			return
		}
		if w.reservedFor != nil && w.reservedFor != s && s.job.queue.Priority > urgentPriority &&
			p.now.Add(stretched(s.expected(), &w.pace)).After(w.reserved) {
			return
		}
		l := place{worker: w, ticket: t, free: w.roomLeft}
		if s.step.MaxPerWorker > 0 {
			l.tasks = s.runsOn(w)
			if l.tasks >= s.step.MaxPerWorker {
				return
			}
		}
		p.places = append(p.places, l)
		total += s.mayTake(&l)
	})
	p.examined += int64(len(p.places))
	p.choices = p.choices[:0]
	if s.step.Gang && total < missing {
		return nil
	}
	if s.step.SameRack && !p.oneRack(s, missing) && p.now.Sub(s.openedAt) < s.expected() {
		// Tasks on several racks take a multiple of their time.
		return nil
	}
	if s.step.Gang {
		p.evenly(s, missing)
	}
	for i := range p.places {
		p.score(s, &p.places[i])
	}
	for i := range s.tasks {
		if !s.tasks[i].idle() {
			continue
		}
		best := p.best()
		if best < 0 {
			break
		}
		l := &p.places[best]
		p.choices = append(p.choices, choice{i, l.worker, l.ticket})
		l.free = l.free.Sub(room)
		l.tasks++
		if !room.Fits(l.free) || s.step.MaxPerWorker > 0 && l.tasks >= s.step.MaxPerWorker {
			p.places = slices.Delete(p.places, best, best+1)
			continue
		}
		p.score(s, l)
	}
	return p.choices
}

// runsOn returns how many tasks of a step run on a worker.
func (s *stepState) runsOn(w *worker) int {
	n := 0
	for i := range s.tasks {
		if r := s.tasks[i].run; r != nil && r.worker == w {
			n++
		}
	}
	return n
}

// mayTake returns how many tasks of a step a place has room for.
func (s *stepState) mayTake(l *place) int {
	n := fits(s.step.Allocation(), l.free)
	if s.step.MaxPerWorker > 0 {
		n = min(n, s.step.MaxPerWorker-l.tasks)
	}
	return n
}

// oneRack keeps only the places of one rack if a rack has room for all tasks.
func (p *pass) oneRack(s *stepState, missing int) bool {
	racks := map[string]int{}
	for i := range s.tasks {
		if r := s.tasks[i].run; r != nil {
			racks[r.worker.worker.Rack] += len(s.tasks) // the rest follows those that run
		}
	}
	for i := range p.places {
		racks[p.places[i].worker.worker.Rack] += s.mayTake(&p.places[i])
	}
	best := ""
	for rack, n := range racks {
		if n >= missing && (best == "" || n < racks[best] || n == racks[best] && rack < best) {
			best = rack
		}
	}
	if best == "" {
		return false
	}
	p.places = slices.DeleteFunc(p.places, func(l place) bool { return l.worker.worker.Rack != best })
	return true
}

// best returns the place with the lowest score, or -1.
func (p *pass) best() int {
	best := -1
	for i := range p.places {
		if best < 0 || p.places[i].score < p.places[best].score {
			best = i
		}
	}
	return best
}

// Weights of a worker's score, against the share of processors left free.
const (
	memoryWeight   = 0.2
	paceWeight     = 0.3
	remotePenalty  = 2
	ticketPenalty  = 1
	silencePenalty = 1
	servicePenalty = 1
)

// score rates a place: the tightest fit is best, near the data first. Fillers take
// the places with the most unused processors instead.
func (p *pass) score(s *stepState, l *place) {
	w := l.worker
	left := l.free.Sub(s.step.Allocation())
	unused := float64(left.MilliCPU) / float64(max(1, w.worker.Capacity.MilliCPU))
	if s.step.Fills {
		unused = -unused // a filler works with what the others leave
	}
	l.score = unused +
		memoryWeight*float64(left.MemoryBytes)/float64(max(1, w.worker.Capacity.MemoryBytes)) +
		paceWeight*w.pace.log
	if s.step.DataRack != "" && s.step.DataRack != w.worker.Rack {
		l.score += remotePenalty
	}
	if l.ticket != nil && !l.ticket.valid(p.now) {
		l.score += ticketPenalty
	}
	if w.unreliable {
		l.score += silencePenalty
	}
	if s.step.Fills && w.worstTail() > 0 {
		l.score += servicePenalty
	}
}
