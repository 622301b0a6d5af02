package dispatch

import (
	"slices"
	"time"

	"github.com/go-faster/errors"

	"fuchsiacross/advicelane"
	"fuchsiacross/job"
)

const (
	// expensiveCallWorkers is how many workers an expensive call names; the objective of a job
	// allows for one call of that size.
	expensiveCallWorkers = 30
	maxCallWorkers       = 100 // of one call, according to the platform's documentation

	ticketMargin      = 80 * time.Millisecond   // a start has to arrive this long before its ticket expires
	callTimeoutMargin = 1200 * time.Millisecond // after the expected answer, before a call counts as lost
	adviceRetryDelay  = 100 * time.Millisecond  // after a failed call
	widenDelay        = 700 * time.Millisecond  // a step that waits longer requests advice on more workers
	widenInterval     = 150 * time.Millisecond  // between two searches for more workers
	maxRefreshedSteps = 3                       // blocked steps without reserved workers whose tickets are kept valid
	refreshWindow     = 700 * time.Millisecond  // tickets that expire within this time are refreshed
)

// advisor distributes calls for advice over the lanes. A lane is an instance that can call the
// advice service.
type advisor struct {
	lanes            advicelane.Lanes
	calls            map[int64]*adviceCall
	lastCall         int64
	candidates       []candidate // of the last pass
	workersByFreeCPU []*worker   // cached for one round of calls
	// needsCalls is set when a lane or a step may take another call.
	needsCalls bool
}

// adviceCall is a call for advice that has not been answered.
type adviceCall struct {
	step      *stepState
	lane      *advicelane.Lane
	class     advicelane.Class
	purpose   callPurpose
	workers   []job.WorkerID
	timeoutAt time.Time
}

func newAdvisor() advisor { return advisor{calls: map[int64]*adviceCall{}} }

// stepAdvice is what the advice service has said about a step's workers.
type stepAdvice struct {
	tickets   []ticket // sorted by worker ID
	asked     map[*worker]struct{}
	known     *knownWorkers  // cached until further advice is recorded
	renew     []job.WorkerID // chosen workers without a valid ticket
	stored    bool           // it is saved with the job, since it was expensive
	holdUntil time.Time      // until when chosen workers stay reserved without an answer; zero if no tickets are awaited
	openCalls int            // calls without an answer
	renewals  int            // of these, calls that renew tickets of chosen workers
	hedgeAt   time.Time      // when the answer to a cheap call becomes overdue
	retryAt   time.Time
	widenAt   time.Time // earliest time of the next search for more workers
	fewAt     time.Time // earliest time of a call for few further workers whose room it does not need
}

// ticket is the permission to run a step on a worker. When it expires, the worker remains
// allowed, but the ticket has to be renewed.
type ticket struct {
	worker  *worker
	value   string
	expires time.Time
}

// knownWorkers lists the workers that may and may not run a step, sorted by ID.
type knownWorkers struct{ allowed, denied []job.WorkerID }

// knownWorkers returns the workers that may and may not run the step. Each save of a job
// contains them, so the lists are kept; they are never changed in place.
func (a *stepAdvice) knownWorkers() *knownWorkers {
	if a.known != nil {
		return a.known
	}
	a.known = &knownWorkers{}
	for w := range a.asked {
		if _, found := a.findTicket(w.registration.ID); found {
			a.known.allowed = append(a.known.allowed, w.registration.ID)
		} else {
			a.known.denied = append(a.known.denied, w.registration.ID)
		}
	}
	slices.Sort(a.known.allowed)
	slices.Sort(a.known.denied)
	return a.known
}

// applyStoredAdvice restores the advice that an earlier leader saved. Tickets are not saved;
// they are requested again for workers with free capacity.
func (r *Reducer) applyStoredAdvice() {
	for _, p := range r.storedAdvice {
		j := r.jobs[p.ID]
		if j == nil || j.closed() {
			continue
		}
		for _, sp := range p.Steps {
			if sp.AllowedWorkers == nil && sp.DeniedWorkers == nil {
				continue
			}
			s, ok := j.findTask(job.TaskID{StepID: job.StepID{Job: p.ID, Occurrence: sp.Occurrence, Step: sp.Step}})
			if !ok || s.complete() || s.advice.asked != nil {
				continue
			}
			s.advice.stored = true
			r.recordAdvice(s, sp.AllowedWorkers, sp.DeniedWorkers)
		}
	}
	r.storedAdvice = nil
}

// recordAdvice records the workers that were asked for, and among them those that are allowed
// to run a step.
func (r *Reducer) recordAdvice(s *stepState, allowed, denied []job.WorkerID) {
	s.advice.known = nil
	if s.advice.asked == nil {
		s.advice.asked = map[*worker]struct{}{}
	}
	for _, id := range denied {
		if w := r.workers[id]; w != nil {
			s.advice.asked[w] = struct{}{}
		}
	}
	for _, id := range allowed {
		if w := r.workers[id]; w != nil {
			s.advice.asked[w] = struct{}{}
			if _, found := s.advice.findTicket(id); !found {
				s.advice.setTicket(ticket{worker: w})
			}
		}
	}
}

// forgetAdviceOn drops the advice on a worker whose state is dropped. If it returns, it is
// another worker to the reducer, which has to be asked for.
func (r *Reducer) forgetAdviceOn(w *worker) {
	for _, jobs := range []map[job.ID]*jobState{r.jobs, r.offers} {
		for _, j := range jobs {
			for _, o := range j.occurrences {
				for _, s := range o.steps {
					s.advice.forget(w)
				}
			}
		}
	}
}

func (a *stepAdvice) forget(w *worker) {
	if _, asked := a.asked[w]; !asked {
		return
	}
	delete(a.asked, w)
	a.known = nil
	a.tickets = slices.DeleteFunc(a.tickets, func(t ticket) bool { return t.worker == w })
}

// releaseAdvice frees the data that only placement needs: the states of completed jobs are
// kept for as long as clients may ask for them.
func (s *stepState) releaseAdvice() {
	s.advice.tickets, s.advice.asked, s.advice.known, s.advice.renew, s.paces = nil, nil, nil, nil, nil
}

// valid reports whether a start that is sent now arrives before the ticket expires.
func (t *ticket) valid(now time.Time) bool { return now.Add(ticketMargin).Before(t.expires) }

// findTicket returns the index of a worker's ticket, or the index at which to insert it.
func (a *stepAdvice) findTicket(id job.WorkerID) (int, bool) {
	return slices.BinarySearchFunc(a.tickets, id, func(t ticket, id job.WorkerID) int { return compare(t.worker.registration.ID, id) })
}

// isDenied reports whether a worker may not run the step.
func (a *stepAdvice) isDenied(w *worker) bool {
	if _, asked := a.asked[w]; !asked {
		return false
	}
	_, allowed := a.findTicket(w.registration.ID)
	return !allowed
}

// expireTicket invalidates a worker's ticket.
func (a *stepAdvice) expireTicket(id job.WorkerID) {
	if at, found := a.findTicket(id); found {
		a.tickets[at].expires = time.Time{}
	}
}

// setTicket stores the latest ticket of a worker.
func (a *stepAdvice) setTicket(t ticket) {
	at, found := a.findTicket(t.worker.registration.ID)
	if found {
		a.tickets[at] = t
		return
	}
	a.tickets = slices.Insert(a.tickets, at, t)
	a.known = nil
}

// callCost returns the time that the advice service takes for a call.
func callCost(q *job.Queue, workers int) time.Duration {
	return milliseconds(q.AdviceCallMilliseconds + q.AdviceWorkerMilliseconds*float64(workers))
}

func (r *Reducer) callClass(q *job.Queue) advicelane.Class {
	return advicelane.ClassOf(callCost(q, min(len(r.workers), maxCallWorkers)))
}

// setLanes replaces the lanes. Calls through removed lanes fail.
func (r *Reducer) setLanes(names []string) {
	r.advice.needsCalls = true
	r.advice.lanes.SetNames(names)
	for number, c := range r.advice.calls {
		if c.lane.Removed() {
			r.handleAdviceAnswer(AdviceAnswered{Number: number, Err: errInstanceGone})
		}
	}
}

// requestAdvice sends the calls that waiting steps need, in service order.
func (r *Reducer) requestAdvice() {
	for number, c := range r.advice.calls {
		if r.now.After(c.timeoutAt) {
			r.handleAdviceAnswer(AdviceAnswered{Number: number, Err: errCallTimeout})
		}
	}
	if !r.advice.needsCalls || !r.hasReadEnoughWorkers() {
		return
	}
	r.advice.needsCalls = false
	r.advice.workersByFreeCPU = nil
	fullClasses := map[advicelane.Class]bool{}
	// Most waiting steps need no call, so the lane that was selected for one step is kept for
	// the next.
	selectedLanes := map[advicelane.Class]*advicelane.Lane{}
	for _, purpose := range callPurposes {
		refreshed := 0
		for _, c := range r.advice.candidates {
			s := c.step
			if !s.job.queue.RequiresAdvice || s.complete() || s.job.closed() || r.now.Before(s.advice.retryAt) || r.waitsForQuota(s) {
				continue
			}
			class := r.callClass(&s.job.queue)
			if fullClasses[class] || !r.mayCall(s, purpose, class) {
				continue
			}
			if purpose == purposeRefresh && !r.hasReservedWorkers(s) {
				if refreshed == maxRefreshedSteps {
					continue
				}
				refreshed++
			}
			l := selectedLanes[class]
			if l == nil {
				l = r.advice.lanes.SelectLane(class, r.now)
			}
			if l == nil {
				fullClasses[class] = true
				continue
			}
			selectedLanes[class] = l
			workers := r.selectCallWorkers(s, purpose, class)
			if len(workers) == 0 {
				continue
			}
			r.sendAdviceCall(s, l, workers, purpose)
			clear(selectedLanes)
		}
	}
}

// hasReadEnoughWorkers reports whether enough workers have been read to request advice. A call
// that names only the few workers that answered first is of little use.
func (r *Reducer) hasReadEnoughWorkers() bool {
	if r.enoughWorkersRead {
		return true
	}
	readCount := 0
	for _, w := range r.sortedWorkers {
		if w.wasRead {
			readCount++
		}
	}
	r.enoughWorkersRead = float64(readCount) >= minReadFraction*float64(len(r.sortedWorkers)) || r.now.Sub(r.workersListedAt) > firstReadTimeout
	return r.enoughWorkersRead
}

const (
	// minReadFraction of the workers have to be read before advice is requested, unless
	// firstReadTimeout has passed: some workers do not answer.
	minReadFraction  = 0.7
	firstReadTimeout = 400 * time.Millisecond
)

// mayCall reports whether a step may make a call now. It makes one call at a time, except that
// tickets of chosen workers do not wait for the answer about other workers: the capacity of a
// gang would be lost in the meantime.
func (r *Reducer) mayCall(s *stepState, purpose callPurpose, class advicelane.Class) bool {
	switch {
	case purpose == purposeRefresh && class != advicelane.Expensive:
		return false
	case s.advice.openCalls == 0:
		return true
	case purpose == purposeRenew && s.advice.renewals == 0:
		return true
	}
	return r.canHedge(s, class)
}

// canHedge reports whether a second call for a step may be sent. A lost packet delays an
// answer by about 200 ms, which is most of the time that an urgent job has.
func (r *Reducer) canHedge(s *stepState, class advicelane.Class) bool {
	return class == advicelane.Cheap && s.advice.openCalls == 1 && r.now.After(s.advice.hedgeAt)
}

// hedgeDelay is how overdue the answer to a cheap call must be before a second call is sent.
const hedgeDelay = 50 * time.Millisecond

// callPurpose is the reason for a call for advice.
type callPurpose int

const (
	purposeRenew   callPurpose = iota // tickets of workers that have free capacity now
	purposeFirst                      // a step without any advice
	purposeWiden                      // workers that earlier calls did not name
	purposeRefresh                    // tickets of a blocked step that expire soon
)

// callPurposes is the order in which calls are sent: those that let a task start at once come
// first.
var callPurposes = []callPurpose{purposeRenew, purposeFirst, purposeWiden, purposeRefresh}

// sendAdviceCall sends a call for a step through a lane.
func (r *Reducer) sendAdviceCall(s *stepState, l *advicelane.Lane, workers []job.WorkerID, purpose callPurpose) {
	r.advice.lastCall++
	cost := callCost(&s.job.queue, len(workers))
	class := r.callClass(&s.job.queue)
	due := l.RecordCall(class, cost, r.now)
	r.advice.calls[r.advice.lastCall] = &adviceCall{step: s, lane: l, class: class, purpose: purpose, workers: workers, timeoutAt: due.Add(callTimeoutMargin)}
	s.advice.openCalls++
	if purpose == purposeRenew {
		s.advice.renewals++
	}
	s.advice.hedgeAt = due.Add(hedgeDelay)
	r.effects.AdviceRequests = append(r.effects.AdviceRequests, RequestAdvice{
		Number: r.advice.lastCall, Lane: l.Name, Step: s.id, Workers: workers,
	})
}

// selectCallWorkers returns the workers to name in a call, or none if no call is needed.
func (r *Reducer) selectCallWorkers(s *stepState, purpose callPurpose, class advicelane.Class) []job.WorkerID {
	firstCall := len(s.advice.asked) == 0
	limit := maxCallWorkers
	switch purpose {
	case purposeRenew:
		return slices.Clone(s.advice.renew[:min(len(s.advice.renew), maxCallWorkers)])
	case purposeRefresh:
		return r.workersToRefresh(s)
	case purposeFirst:
		if !firstCall {
			return nil
		}
		if class == advicelane.Expensive {
			limit = expensiveCallWorkers
		}
	case purposeWiden:
		if firstCall || r.now.Before(s.advice.widenAt) {
			return nil
		}
		s.advice.widenAt = r.now.Add(widenInterval)
	}
	mayWiden := firstCall || r.now.Sub(s.openedAt) >= widenDelay
	askedFew := len(s.advice.asked) < limit/fewAskedDivisor
	if !mayWiden && !askedFew {
		return nil
	}
	var list []*worker
	for _, w := range r.sortByFreeCPU() {
		if _, asked := s.advice.asked[w]; !asked && w.acceptsRuns && s.isEligible(w) {
			list = append(list, w)
		}
	}
	if !mayWiden && len(list) <= len(s.advice.asked) {
		return nil
	}
	if !firstCall && len(list) < len(s.advice.asked)/widenDivisor && s.hasUsableTicket() && r.now.Before(s.advice.fewAt) {
		// A few workers that became available again do not justify a call at once, unless the
		// step waits for room that they have.
		list = r.workersWithMissingRoom(s, list)
	}
	if class != advicelane.Expensive {
		list = preferTightFit(s, list, limit)
	}
	var ids []job.WorkerID
	for _, w := range list[:min(limit, len(list))] {
		ids = append(ids, w.registration.ID)
	}
	return ids
}

// preferTightFit moves the workers with the least free capacity that still fit a task to the
// front of a list sorted by free capacity, so that small tasks leave the larger gaps to gangs.
// Some of the freest workers stay in front, in case the others fill up before the answer.
func preferTightFit(s *stepState, list []*worker, limit int) []*worker {
	if len(list) <= limit {
		return list
	}
	fitting := 0
	for fitting < len(list) && s.step.Allocation().Fits(list[fitting].free()) {
		fitting++
	}
	if fitting <= limit {
		return list
	}
	freest := limit / freestDivisor
	return append(slices.Clone(list[:freest]), list[fitting-(limit-freest):fitting]...)
}

// freestDivisor is the inverse of the fraction of a call that names the workers with the most
// free capacity.
const freestDivisor = 3

// sortByFreeCPU returns all workers, those with the most free processors first. The order is
// cached for one round of calls.
func (r *Reducer) sortByFreeCPU() []*worker {
	if r.advice.workersByFreeCPU != nil {
		return r.advice.workersByFreeCPU
	}
	for i, w := range r.sortedWorkers {
		w.sortedFreeCPU, w.position = w.free().MilliCPU, i
	}
	r.advice.workersByFreeCPU = slices.Clone(r.sortedWorkers)
	slices.SortFunc(r.advice.workersByFreeCPU, func(a, b *worker) int {
		if a.sortedFreeCPU != b.sortedFreeCPU {
			return compare(b.sortedFreeCPU, a.sortedFreeCPU)
		}
		return compare(a.position, b.position)
	})
	return r.advice.workersByFreeCPU
}

// widenDivisor divides the number of workers already asked for. Fewer further workers than that
// are not worth another call before fewWorkersDelay after the last such answer, unless no worker
// that may run the step accepts runs, or the further ones have room that the others lack.
const (
	widenDivisor    = 4
	fewWorkersDelay = 4 * time.Second
)

// workersWithMissingRoom returns the further workers that have room for a task of a blocked step. It
// returns none if the workers that may run the step have the room that it needs, or if a gang would
// lack room even with the further ones.
func (r *Reducer) workersWithMissingRoom(s *stepState, further []*worker) []*worker {
	missing, room := s.idleTasks(), 0
	for i := range s.advice.tickets {
		if w := s.advice.tickets[i].worker; w.acceptsRuns && s.isEligible(w) {
			room += s.roomOn(w)
		}
	}
	if room >= missing {
		return nil
	}
	var list []*worker
	for _, w := range further {
		if n := s.roomOn(w); n > 0 {
			list = append(list, w)
			room += n
		}
	}
	if s.step.Gang && room < missing {
		return nil
	}
	return list
}

// roomOn returns how many tasks of a step fit on a worker after the last pass.
func (s *stepState) roomOn(w *worker) int {
	if w.isReservedAgainst(s) && s.job.queue.Priority > urgentPriority {
		return 0
	}
	at := place{worker: w, free: w.uncommitted}
	if s.step.MaxPerWorker > 0 {
		at.tasks = s.runsOn(w)
	}
	return s.taskCapacity(&at)
}

// hasUsableTicket reports whether a worker that may run the step accepts runs. Its ticket may
// have expired.
func (s *stepState) hasUsableTicket() bool {
	return slices.ContainsFunc(s.advice.tickets, func(t ticket) bool { return t.worker.acceptsRuns && s.isEligible(t.worker) })
}

// fewAskedDivisor divides the maximum number of workers in a call. A step that has asked for
// fewer workers than that asks for more without widenDelay.
const fewAskedDivisor = 4

// hasReservedWorkers reports whether workers are reserved for a blocked step.
func (r *Reducer) hasReservedWorkers(s *stepState) bool {
	return slices.ContainsFunc(s.advice.tickets, func(t ticket) bool { return t.worker.reservedFor == s })
}

// workersToRefresh returns the workers whose tickets are kept valid for a blocked step, if one of
// the tickets expires soon: those that are reserved for the step, if new tickets will be valid
// when they are expected to have capacity, or all if none is reserved.
func (r *Reducer) workersToRefresh(s *stepState) []job.WorkerID {
	var ids []job.WorkerID
	stale, reserved := false, r.hasReservedWorkers(s)
	var freeAt time.Time
	for i := range s.advice.tickets {
		t := &s.advice.tickets[i]
		if reserved && t.worker.reservedFor != s || !t.worker.acceptsRuns || !s.isEligible(t.worker) {
			continue
		}
		ids = append(ids, t.worker.registration.ID)
		stale = stale || r.now.Add(refreshWindow).After(t.expires)
		if reserved {
			freeAt = t.worker.reservedUntil
		}
	}
	ids = ids[:min(len(ids), maxCallWorkers)]
	validUntil := r.now.Add(callCost(&s.job.queue, len(ids)) + milliseconds(s.job.queue.TicketMilliseconds))
	if !stale || freeAt.Add(refreshWindow).After(validUntil) {
		return nil
	}
	return ids
}

// handleAdviceAnswer records the tickets of an answer, or schedules a retry after a failed
// call.
func (r *Reducer) handleAdviceAnswer(e AdviceAnswered) {
	c := r.advice.calls[e.Number]
	if c == nil {
		return
	}
	delete(r.advice.calls, e.Number)
	r.advice.needsCalls = true
	c.lane.RecordAnswer(c.class, r.now)
	s := c.step
	s.advice.openCalls--
	if c.purpose == purposeRenew {
		s.advice.renewals--
	}
	if e.Err != nil {
		s.advice.retryAt = r.now.Add(adviceRetryDelay)
		r.addNote(Note{Kind: NoteAdviceFailed, Job: s.id.Job, Detail: e.Err.Error()})
		return
	}
	if s.complete() || s.job.closed() {
		return
	}
	r.recordAdvice(s, nil, c.workers)
	s.advice.holdUntil = time.Time{}
	if c.purpose == purposeFirst || c.purpose == purposeWiden {
		s.advice.fewAt = r.now.Add(fewWorkersDelay)
	}
	if r.callClass(&s.job.queue) == advicelane.Expensive {
		s.advice.stored = true
		if s.job.offeredAt.IsZero() {
			r.unsavedJobs[s.job] = struct{}{}
		}
	}
	expires := r.now.Add(milliseconds(s.job.queue.TicketMilliseconds))
	for _, t := range e.Tickets {
		if w := r.workers[t.Worker]; w != nil {
			s.advice.setTicket(ticket{w, t.Value, expires})
		}
	}
	s.advice.renew = nil
	r.needsPass = true
}

var (
	errInstanceGone = errors.New("the instance that made the call has left")
	errCallTimeout  = errors.New("no answer before the timeout")
)
