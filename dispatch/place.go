package dispatch

import (
	"fmt"
	"slices"
	"time"

	"fuchsiacross/model"
	"fuchsiacross/runtimes"
)

const urgentPriority = 0

// runPass places the waiting steps that fit, at most once per passInterval.
func (r *Reducer) runPass() {
	if !r.needsPass || r.now.Sub(r.lastPassAt) < passInterval || !r.isAuthorised() {
		return
	}
	r.needsPass, r.lastPassAt = false, r.now
	r.refreshSpeeds()
	r.advice.needsCalls = true
	complete := r.passes.beginPass(r.now)
	r.quota.ClearHidden()
	p := pass{Reducer: r, reserving: complete && r.now.Sub(r.lastReservationAt) >= reserveInterval}
	for _, w := range r.sortedWorkers {
		w.acceptsRuns, w.uncommitted = r.acceptsRuns(w), w.free()
		w.unreliable, w.suspect = w.health.isUnreliable(r.now), w.health.isSuspect(r.now)
		if w.acceptsRuns && w.suspect {
			p.suspects++
		}
		r.noteHealthChange(w)
		r.hideUnreadRuns(w)
		if p.reserving {
			w.reservedUntil, w.reservedFor = time.Time{}, nil
		}
	}
	if p.reserving {
		r.lastReservationAt = r.now
		r.reservationRound++
	}
	settled := r.predecessorSettled()
	if settled && !r.predecessorWasSettled {
		r.predecessorWasSettled = true
		r.notePredecessorSettled()
		r.stopPartialGangs()
	}
	r.advice.candidates = r.sortCandidates()
	r.giveTurns(r.advice.candidates)
	for _, c := range r.advice.candidates {
		if !complete && !c.isUrgentInTime() {
			r.needsPass = true
			break
		}
		if c.step.job.uncertain && !settled || !r.mayStartTasks(c.step.job) {
			continue
		}
		if !r.starts.HasCapacity(r.now) {
			// A later pass continues with complete reservations.
			r.needsPass = true
			r.lastReservationAt = time.Time{}
			break
		}
		if !c.step.job.queue.RequiresAdvice && (r.resigning || r.unsentStarts >= r.starts.Limit(r.now)) {
			continue // a pass follows when starts have been recorded and sent
		}
		p.placeStep(c)
	}
	r.reportAdmission()
	if complete {
		r.passes.endPass()
		r.reportCapacity()
	}
}

// predecessorSettled reports whether all runs of the predecessor are known. Enrolled workers
// count even while their registrations are missing, as after an outage of the store.
func (r *Reducer) predecessorSettled() bool {
	for _, w := range r.sortedWorkers {
		if r.mayHavePredecessorRuns(w) {
			return false
		}
	}
	return true
}

// notePredecessorSettled logs when tasks of the predecessor's jobs can start again, and how
// many workers have not been read by then.
func (r *Reducer) notePredecessorSettled() {
	unread := 0
	for _, w := range r.sortedWorkers {
		if w.listedAt.IsZero() {
			unread++
		}
	}
	r.addNote(Note{Kind: NotePredecessorRunsSettled, Detail: fmt.Sprintf("%d of %d workers not read, confirmed %s ago", unread, len(r.sortedWorkers), r.now.Sub(r.confirmedAt).Round(time.Millisecond)), Age: r.now.Sub(r.workersListedAt)})
}

// mayHavePredecessorRuns reports whether runs of a predecessor may continue, or may have ended
// in time, on a worker without being known to this leader.
func (r *Reducer) mayHavePredecessorRuns(w *worker) bool {
	if r.loaded && !w.inherited {
		return false
	}
	if !w.listedAt.IsZero() {
		// The worker may have restarted after a successor had acknowledged ends.
		return !r.confirmedAt.After(w.listedAt)
	}
	if w.moreEnds && !r.leaseHasExpired(w) {
		return true
	}
	// A missing registration proves nothing: a worker that has lost the store may still work
	// for a predecessor. Nor does the time alone: a successor may have read the worker.
	return !r.confirmedAt.After(r.predecessorRunsEnd(w))
}

// pass is one iteration over the waiting steps. The cost of a step is proportional to the
// number of workers that may run it, with or without free capacity.
type pass struct {
	*Reducer
	reserving           bool // whether this pass replaces all reservations
	reservedSteps       int  // blocked steps with reserved workers
	reservationSearches int  // searches for workers to reserve
	explained           int  // steps whose waiting was logged
	suspects            int  // workers that accept runs and are suspect
	places              []place
	choices             []choice
	placement           runtimes.Placement // of the step that is being placed
}

// place is a worker with free capacity for a task of a step.
type place struct {
	worker *worker
	ticket *ticket // nil if the queue needs none
	free   model.Resources
	tasks  int // of the step that run there
	score  float64
}

// choice is a task and the worker chosen for it.
type choice struct {
	index  int
	worker *worker
	ticket *ticket
}

// placeStep starts the tasks of a waiting step that have a worker and, if needed, a valid
// ticket. Workers are reserved for a blocked gang, and for any step that is overdue.
func (p *pass) placeStep(c candidate) {
	s := c.step
	missing := s.idleTasks()
	admitted := p.admitByQuota(c, missing)
	if s.atQuota {
		return
	}
	withheld := missing - admitted
	choices := p.choosePlaces(c, admitted)
	blocked := len(choices) < admitted
	p.noteAvoidance(s, blocked)
	if s.step.Gang && (blocked || missing < len(s.tasks)) {
		choices = nil
	}
	s.advice.renew = s.advice.renew[:0]
	if !p.checkTickets(s, choices) && s.step.Gang {
		if p.mayHold(s) {
			p.holdCapacity(s, choices)
			p.reserveChoices(s, choices)
		}
		p.explainWaiting(c, missing, len(choices))
		return
	}
	number := int64(0)
	for _, ch := range choices {
		if ch.ticket != nil && !ch.ticket.valid(p.now) {
			p.holdCapacity(s, []choice{ch})
			continue
		}
		if number == 0 || !s.step.Gang {
			number = p.newRunNumber()
		}
		value := ""
		if ch.ticket != nil {
			value = ch.ticket.value
		}
		p.startRun(s, ch.index, ch.worker, number, value)
		ch.worker.uncommitted = ch.worker.uncommitted.Sub(s.step.Allocation())
		p.recordStart(s)
		missing--
	}
	if missing == 0 {
		delete(p.waitingSteps, s)
		return
	}
	if blocked {
		p.notePassedOver(s)
	}
	p.explainWaiting(c, missing, len(choices))
	if blocked && (c.overdue && p.reserving || s.step.Gang && p.mayReserve() && c.grade != gradeTooLate) {
		p.reserveWorkers(s, missing-withheld)
	}
}

// idleTasks returns the number of tasks that can be started.
func (s *stepState) idleTasks() int {
	n := 0
	for i := range s.tasks {
		if s.tasks[i].idle() {
			n++
		}
	}
	return n
}

// checkTickets reports whether all choices have a valid ticket, and records the workers whose
// tickets have to be renewed.
func (p *pass) checkTickets(s *stepState, choices []choice) bool {
	for _, ch := range choices {
		if ch.ticket != nil && !ch.ticket.valid(p.now) && !slices.Contains(s.advice.renew, ch.worker.registration.ID) {
			s.advice.renew = append(s.advice.renew, ch.worker.registration.ID)
		}
	}
	return len(s.advice.renew) == 0
}

// holdCapacity sets capacity aside for choices whose tickets are being requested.
func (p *pass) holdCapacity(s *stepState, choices []choice) {
	for _, ch := range choices {
		ch.worker.uncommitted = ch.worker.uncommitted.Sub(s.step.Allocation())
	}
}

// mayStartOn reports whether tasks may start on a worker that accepts runs. An incarnation that
// started after a successor's claim does not know the successor's token yet, and would accept a
// task that the successor has started elsewhere.
func (r *Reducer) mayStartOn(w *worker) bool { return r.confirmedAt.After(w.incarnationAt) }

// acceptsRuns reports whether a worker can get new runs at all.
func (r *Reducer) acceptsRuns(w *worker) bool {
	return w.registered && r.isEnrolled(w) && len(w.orphans) == 0 && !w.registration.Leaving && w.wasRead && !w.unreachable &&
		!r.now.Before(w.health.pausedUntil) && !w.isClosedAsSlow(r.now) && !w.isClosedAsFailing(r.now)
}

// fewAttempts is the number of attempts up to which a step avoids suspect workers: a single
// failing worker can use up so few.
const fewAttempts = 2

// isEligible reports whether a worker that accepts runs may run tasks of a step, regardless of
// its free capacity. Steps with few attempts avoid workers that may be failing.
func (s *stepState) isEligible(w *worker) bool {
	return s.isEligibleIfSound(w) && (!w.suspect || s.acceptsSuspects || s.job.queue.MaxAttempts > fewAttempts)
}

// isEligibleIfSound reports the same without regard to failures on the worker.
func (s *stepState) isEligibleIfSound(w *worker) bool {
	return w.registration.Pool == s.job.queue.Pool &&
		(!w.unreliable || s.job.queue.Priority > urgentPriority && !s.step.Gang) &&
		(s.step.RequiredLabel == "" || slices.Contains(w.registration.Labels, s.step.RequiredLabel)) &&
		s.step.Allocation().Fits(w.registration.Capacity)
}

// noteAvoidance determines whether a step with few attempts may use suspect workers. If most of the
// workers that may run it are suspect, a choice among the others says little, and the step would
// wait for as long as jobs go on failing.
func (p *pass) noteAvoidance(s *stepState, blocked bool) {
	if s.job.queue.MaxAttempts > fewAttempts || blocked && p.now.Before(s.checkSuspectsAt) {
		return
	}
	mostAreSuspect := false
	if blocked && p.suspects > 0 {
		s.checkSuspectsAt = p.now.Add(suspectsInterval)
		total, suspect := p.countSuspects(s)
		mostAreSuspect = 2*suspect > total
	}
	switch {
	case !mostAreSuspect:
		s.avoidUntil, s.acceptsSuspects = time.Time{}, false
	case s.avoidUntil.IsZero():
		s.avoidUntil = p.now.Add(suspectDuration)
	case !s.acceptsSuspects && !p.now.Before(s.avoidUntil):
		s.acceptsSuspects, p.needsPass = true, true
	}
}

// suspectsInterval is the time between two counts of a step's suspect workers, each of which
// considers all workers.
const suspectsInterval = 250 * time.Millisecond

// countSuspects returns how many workers might run a step, and how many of them are suspect. If the
// step requires advice, workers that have not been asked about count too.
func (p *pass) countSuspects(s *stepState) (total, suspect int) {
	for _, w := range p.sortedWorkers {
		if !w.acceptsRuns || !s.isEligibleIfSound(w) || s.job.queue.RequiresAdvice && s.advice.isDenied(w) {
			continue
		}
		total++
		if w.suspect {
			suspect++
		}
	}
	return total, suspect
}

// eachEligible calls f for the workers that accept runs and may run a step.
func (p *pass) eachEligible(s *stepState, f func(*worker, *ticket)) {
	if s.job.queue.RequiresAdvice {
		p.passes.examinedWorkers += int64(len(s.advice.tickets))
		for i := range s.advice.tickets {
			t := &s.advice.tickets[i]
			if t.worker.acceptsRuns && s.isEligible(t.worker) {
				f(t.worker, t)
			}
		}
		return
	}
	p.passes.examinedWorkers += int64(len(p.sortedWorkers))
	for _, w := range p.sortedWorkers {
		if w.acceptsRuns && s.isEligible(w) {
			f(w, nil)
		}
	}
}

// choosePlaces chooses a worker for each of the missing tasks, as far as there is capacity. The
// result is valid until the next call.
func (p *pass) choosePlaces(c candidate, missing int) []choice {
	s := c.step
	demand := s.step.Allocation()
	p.places = p.places[:0]
	total := 0
	p.eachEligible(s, func(w *worker, t *ticket) {
		if !demand.Fits(w.uncommitted) || !p.mayStartOn(w) {
			return
		}
		if w.isReservedAgainst(s) && s.job.queue.Priority > urgentPriority &&
			p.now.Add(p.scaleBySpeed(s.expectedLength(), w)).After(w.reservedUntil) {
			return
		}
		found := place{worker: w, ticket: t, free: w.uncommitted}
		if s.step.MaxPerWorker > 0 {
			found.tasks = s.runsOn(w)
			if found.tasks >= s.step.MaxPerWorker {
				return
			}
		}
		p.places = append(p.places, found)
		total += s.taskCapacity(&found)
	})
	p.examinedPlaces += int64(len(p.places))
	p.placement = p.stepPlacement(c)
	p.choices = p.choices[:0]
	if s.step.Gang && total < missing {
		return nil
	}
	if s.step.SameRack && !p.keepOneRack(s, missing) {
		return nil
	}
	if s.step.Gang {
		p.keepValidTickets(s, missing)
		p.keepEvenPlaces(s, missing)
	}
	for i := range p.places {
		p.scorePlace(s, &p.places[i])
	}
	for i := range s.tasks {
		if len(p.choices) == missing {
			break
		}
		if !s.tasks[i].idle() {
			continue
		}
		best := p.bestPlace()
		if best < 0 {
			break
		}
		l := &p.places[best]
		p.choices = append(p.choices, choice{i, l.worker, l.ticket})
		l.free = l.free.Sub(demand)
		l.tasks++
		if !demand.Fits(l.free) || s.step.MaxPerWorker > 0 && l.tasks >= s.step.MaxPerWorker {
			p.places = slices.Delete(p.places, best, best+1)
			continue
		}
		p.scorePlace(s, l)
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

// taskCapacity returns how many tasks of a step fit a place.
func (s *stepState) taskCapacity(l *place) int {
	n := fitCount(s.step.Allocation(), l.free)
	if s.step.MaxPerWorker > 0 {
		n = min(n, s.step.MaxPerWorker-l.tasks)
	}
	return n
}

// keepValidTickets keeps only the places with valid tickets if they have capacity for all tasks.
// The most even places change with each task that ends elsewhere. If a gang chose these, it would
// need other tickets each time that the ones it had asked for arrive.
func (p *pass) keepValidTickets(s *stepState, missing int) {
	hasTicket := func(l place) bool { return l.ticket == nil || l.ticket.valid(p.now) }
	capacity := 0
	for i := range p.places {
		if hasTicket(p.places[i]) {
			capacity += s.taskCapacity(&p.places[i])
		}
	}
	if capacity >= missing {
		p.places = slices.DeleteFunc(p.places, func(l place) bool { return !hasTicket(l) })
	}
}

// bestPlace returns the index of the place with the lowest score, or -1.
func (p *pass) bestPlace() int {
	best := -1
	for i := range p.places {
		if best < 0 || p.places[i].score < p.places[best].score {
			best = i
		}
	}
	return best
}

// Weights and penalties in the score of a place, relative to the fraction of processors left
// free.
const (
	memoryWeight      = 0.2
	remotePenalty     = 2
	ticketPenalty     = 1
	unreliablePenalty = 1
	suspectPenalty    = 1
	servicePenalty    = 1
	// reservedPenalty applies to tasks that may take capacity reserved for another step: urgent
	// ones, and those that end before it is needed.
	reservedPenalty = 1
)

// scorePlace scores a place; lower is better. The tightest fit is best, and places near the
// data come first. Fillers prefer the places with the most unused processors instead.
func (p *pass) scorePlace(s *stepState, l *place) {
	w := l.worker
	left := l.free.Sub(s.step.Allocation())
	unused := float64(left.MilliCPU) / float64(max(1, w.registration.Capacity.MilliCPU))
	if s.step.Fills {
		unused = -unused // a filler uses what the others leave
	}
	l.score = unused +
		memoryWeight*float64(left.MemoryBytes)/float64(max(1, w.registration.Capacity.MemoryBytes)) +
		p.placement.Score(&w.pace, w.speed)
	if s.step.DataRack != "" && s.step.DataRack != w.registration.Rack {
		l.score += remotePenalty
	}
	if l.ticket != nil && !l.ticket.valid(p.now) {
		l.score += ticketPenalty
	}
	if w.unreliable {
		l.score += unreliablePenalty
	}
	if w.suspect && s.acceptsSuspects {
		l.score += suspectPenalty
	}
	if w.reservedFor != nil && w.reservedFor != s {
		l.score += reservedPenalty
	}
	if s.step.Fills && w.worstTailRatio() > 0 {
		l.score += servicePenalty
	}
}
