package dispatch

import (
	"slices"
	"time"

	"github.com/go-faster/errors"

	"fuchsiacross/advicelane"
	"fuchsiacross/job"
)

const (
	// dearWorkers is how many workers a dear call names; the objective of a job
	// counts one call for as many.
	dearWorkers = 30
	maxWorkers  = 100 // of one call, by the platform's pages

	ticketMargin  = 80 * time.Millisecond   // a start arrives before its ticket ends
	callMargin    = 1200 * time.Millisecond // beyond the expected time, before a call counts as lost
	adviceRetry   = 100 * time.Millisecond  // after a failed call
	widenAfter    = 700 * time.Millisecond  // a step that waits longer asks for further workers
	widenInterval = 150 * time.Millisecond  // between two searches for further workers
	freshenSteps  = 3                       // blocked steps of a dear queue whose tickets are kept valid
	freshenBefore = 700 * time.Millisecond
)

// advisor hands calls for advice to the lanes.
type advisor struct {
	lanes  advicelane.Lanes
	calls  map[int64]*call
	number int64
	order  []candidate // of the last pass
	byRoom []*worker
	// changed is set when a lane or a step may take another call.
	changed bool
}

type call struct {
	step    *stepState
	lane    *advicelane.Lane
	class   advicelane.Class
	workers []job.WorkerID
	lostAt  time.Time
}

func newAdvisor() advisor { return advisor{calls: map[int64]*call{}} }

// stepAdvice is what is known of the workers that may run a step.
type stepAdvice struct {
	good    []ticket // by the worker's id
	asked   map[*worker]struct{}
	renew   []job.WorkerID // chosen workers without a valid ticket
	kept    bool           // it is stored, since it was dear
	open    int            // calls that have not been answered
	hedgeAt time.Time      // from when on the answer of a cheap call is overdue
	retryAt time.Time
	widenAt time.Time // when to look for further workers again
}

// ticket is the advice that a worker may run a step. The worker stays good; the
// ticket itself expires.
type ticket struct {
	worker  *worker
	value   string
	expires time.Time
}

// known returns the workers that may and may not run the step, by their ids.
func (a *stepAdvice) known() (good, bad []job.WorkerID) {
	for w := range a.asked {
		if _, found := a.find(w.worker.ID); found {
			good = append(good, w.worker.ID)
		} else {
			bad = append(bad, w.worker.ID)
		}
	}
	slices.Sort(good)
	slices.Sort(bad)
	return good, bad
}

// recall makes use of the advice that an earlier leader has stored. The tickets
// have to be asked for again, and only where there is room.
func (r *Reducer) recall() {
	for _, p := range r.recalled {
		j := r.jobs[p.ID]
		if j == nil || j.closed() {
			continue
		}
		for _, sp := range p.Steps {
			if sp.AllowedWorkers == nil && sp.DeniedWorkers == nil {
				continue
			}
			s, ok := j.find(job.TaskID{StepID: job.StepID{Job: p.ID, Occurrence: sp.Occurrence, Step: sp.Step}})
			if !ok || s.complete() || s.advice.asked != nil {
				continue
			}
			s.advice.kept = true
			r.learn(s, sp.AllowedWorkers, sp.DeniedWorkers)
		}
	}
	r.recalled = nil
}

// learn notes which workers were asked for and which of them may run a step.
func (r *Reducer) learn(s *stepState, good, bad []job.WorkerID) {
	if s.advice.asked == nil {
		s.advice.asked = map[*worker]struct{}{}
	}
	for _, id := range bad {
		if w := r.workers[id]; w != nil {
			s.advice.asked[w] = struct{}{}
		}
	}
	for _, id := range good {
		if w := r.workers[id]; w != nil {
			s.advice.asked[w] = struct{}{}
			if _, found := s.advice.find(id); !found {
				s.advice.grant(ticket{worker: w})
			}
		}
	}
}

// forgetAdvice frees what only the placing of a step needs: the states of
// complete jobs are kept for as long as clients may ask for them.
func (s *stepState) forgetAdvice() {
	s.advice.good, s.advice.asked, s.advice.renew, s.paces = nil, nil, nil, nil
}

// valid reports whether a start that is sent now arrives in time.
func (t *ticket) valid(now time.Time) bool { return now.Add(ticketMargin).Before(t.expires) }

// find returns the position of a worker among the good ones, or where it belongs.
func (a *stepAdvice) find(id job.WorkerID) (int, bool) {
	return slices.BinarySearchFunc(a.good, id, func(t ticket, id job.WorkerID) int { return compare(t.worker.worker.ID, id) })
}

// expire makes a worker's ticket invalid.
func (a *stepAdvice) expire(id job.WorkerID) {
	if at, found := a.find(id); found {
		a.good[at].expires = time.Time{}
	}
}

// grant notes a worker's newest ticket.
func (a *stepAdvice) grant(t ticket) {
	at, found := a.find(t.worker.worker.ID)
	if found {
		a.good[at] = t
		return
	}
	a.good = slices.Insert(a.good, at, t)
}

func callCost(q *job.Queue, workers int) time.Duration {
	return milliseconds(q.AdviceCallMilliseconds + q.AdviceWorkerMilliseconds*float64(workers))
}

func (r *Reducer) class(q *job.Queue) advicelane.Class {
	return advicelane.ClassOf(callCost(q, min(len(r.workers), maxWorkers)))
}

// setLanes replaces the lanes.
func (r *Reducer) setLanes(names []string) {
	r.advice.changed = true
	r.advice.lanes.SetNames(names)
	for number, c := range r.advice.calls {
		if c.lane.Removed() {
			r.adviceAnswered(AdviceAnswered{Number: number, Err: errLaneGone})
		}
	}
}

// ask hands out the calls that waiting steps need, in the order of service.
func (r *Reducer) ask() {
	for number, c := range r.advice.calls {
		if r.now.After(c.lostAt) {
			r.adviceAnswered(AdviceAnswered{Number: number, Err: errCallLost})
		}
	}
	if !r.advice.changed || !r.gathered() {
		return
	}
	r.advice.changed = false
	r.advice.byRoom = nil
	full := map[advicelane.Class]bool{}
	for _, kind := range questionKinds {
		freshened := 0
		for _, c := range r.advice.order {
			s := c.step
			if !s.job.queue.RequiresAdvice || s.complete() || s.job.closed() || r.now.Before(s.advice.retryAt) {
				continue
			}
			class := r.class(&s.job.queue)
			if full[class] || s.advice.open > 0 && !r.hedgeable(s, class) {
				continue
			}
			if kind == questionFreshen {
				if class != advicelane.Expensive || freshened == freshenSteps {
					continue
				}
				freshened++
			}
			l := r.advice.lanes.SelectLane(class, r.now)
			if l == nil {
				full[class] = true
				continue
			}
			workers := r.question(s, kind, class)
			if len(workers) == 0 {
				continue
			}
			r.sendAsk(s, l, workers)
		}
	}
}

// gathered reports whether enough workers have been read to ask for: a call that
// names the few that have answered first tells next to nothing.
func (r *Reducer) gathered() bool {
	if r.allGathered {
		return true
	}
	known := 0
	for _, w := range r.ordered {
		if w.known {
			known++
		}
	}
	r.allGathered = float64(known) >= gatherShare*float64(len(r.ordered)) || r.now.Sub(r.listedAt) > gatherSpan
	return r.allGathered
}

const (
	// gatherShare of the workers have to be read before advice is asked for, or
	// gatherSpan must have passed: some of them do not answer.
	gatherShare = 0.7
	gatherSpan  = 400 * time.Millisecond
)

// hedgeable reports whether a second call for a step may go out: a packet that is
// lost delays an answer by some 200 ms, which is most of what an urgent job has.
func (r *Reducer) hedgeable(s *stepState, class advicelane.Class) bool {
	return class == advicelane.Cheap && s.advice.open == 1 && r.now.After(s.advice.hedgeAt)
}

// hedgeAfter is how overdue the answer of a cheap call has to be.
const hedgeAfter = 50 * time.Millisecond

// questionKind is what a call for advice is for.
type questionKind int

const (
	questionRenew   questionKind = iota // tickets of workers that have room now
	questionFirst                       // a step of which nothing is known
	questionWiden                       // workers that the first call did not name
	questionFreshen                     // tickets of a blocked step that end soon
)

// questionKinds is the order in which calls go out: those that let a task start
// at once come first.
var questionKinds = []questionKind{questionRenew, questionFirst, questionWiden, questionFreshen}

func (r *Reducer) sendAsk(s *stepState, l *advicelane.Lane, workers []job.WorkerID) {
	r.advice.number++
	cost := callCost(&s.job.queue, len(workers))
	class := r.class(&s.job.queue)
	due := l.RecordCall(class, cost, r.now)
	r.advice.calls[r.advice.number] = &call{step: s, lane: l, class: class, workers: workers, lostAt: due.Add(callMargin)}
	s.advice.open++
	s.advice.hedgeAt = due.Add(hedgeAfter)
	r.effects.AdviceRequests = append(r.effects.AdviceRequests, RequestAdvice{
		Number: r.advice.number, Lane: l.Name, Step: s.id, Workers: workers,
	})
}

// question returns the workers that a call of a kind has to name, if any.
func (r *Reducer) question(s *stepState, kind questionKind, class advicelane.Class) []job.WorkerID {
	first := len(s.advice.asked) == 0
	limit := maxWorkers
	switch kind {
	case questionRenew:
		return slices.Clone(s.advice.renew)
	case questionFreshen:
		return r.freshen(s)
	case questionFirst:
		if !first {
			return nil
		}
		if class == advicelane.Expensive {
			limit = dearWorkers
		}
	case questionWiden:
		if first || r.now.Before(s.advice.widenAt) {
			return nil
		}
		s.advice.widenAt = r.now.Add(widenInterval)
	}
	var list []*worker
	for _, w := range r.byRoom() {
		if _, asked := s.advice.asked[w]; !asked && w.open && s.suits(w) {
			list = append(list, w)
		}
	}
	few := len(list) > len(s.advice.asked) && len(s.advice.asked) < limit/fewPart
	if !first && !few && r.now.Sub(s.openedAt) < widenAfter {
		return nil
	}
	if !first && len(list) < len(s.advice.asked)/widenPart && len(s.advice.good) > 0 {
		// A few workers that came back are not worth a call.
		return nil
	}
	if class != advicelane.Expensive {
		list = tightest(s, list, limit)
	}
	var ids []job.WorkerID
	for _, w := range list[:min(limit, len(list))] {
		ids = append(ids, w.worker.ID)
	}
	return ids
}

// tightest moves workers with little room that still fit a task of the step to
// the front of a list that is sorted by room, so that small tasks leave the
// larger gaps to gangs. Some of the freest stay in front, in case the others
// fill up before the answer.
func tightest(s *stepState, list []*worker, limit int) []*worker {
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
	spare := limit / freestPart
	return append(slices.Clone(list[:spare]), list[fitting-(limit-spare):fitting]...)
}

// freestPart is the part of a call that names the workers with the most room.
const freestPart = 3

// byRoom returns all workers, those with the most free processors first. The
// order is kept for one round of calls.
func (r *Reducer) byRoom() []*worker {
	if r.advice.byRoom != nil {
		return r.advice.byRoom
	}
	r.advice.byRoom = slices.Clone(r.ordered)
	slices.SortFunc(r.advice.byRoom, func(a, b *worker) int {
		if n := compare(b.free().MilliCPU, a.free().MilliCPU); n != 0 {
			return n
		}
		return compare(a.worker.ID, b.worker.ID)
	})
	return r.advice.byRoom
}

// widenPart: further workers are asked for if they are at least this part of
// those that were asked for already.
const widenPart = 4

// fewPart: a step for which fewer workers than this part of a call were asked
// for asks for more at once.
const fewPart = 4

// freshen returns the workers of a blocked step whose tickets end soon.
func (r *Reducer) freshen(s *stepState) []job.WorkerID {
	var ids []job.WorkerID
	stale := false
	for i := range s.advice.good {
		t := &s.advice.good[i]
		if t.worker.open && s.suits(t.worker) {
			ids = append(ids, t.worker.worker.ID)
			stale = stale || r.now.Add(freshenBefore).After(t.expires)
		}
	}
	if !stale {
		return nil
	}
	return ids[:min(len(ids), maxWorkers)]
}

func (r *Reducer) adviceAnswered(e AdviceAnswered) {
	c := r.advice.calls[e.Number]
	if c == nil {
		return
	}
	delete(r.advice.calls, e.Number)
	r.advice.changed = true
	c.lane.RecordAnswer(c.class, r.now)
	s := c.step
	s.advice.open--
	if e.Err != nil {
		s.advice.retryAt = r.now.Add(adviceRetry)
		r.note(Note{Kind: NoteAdviceFailed, Job: s.id.Job, Detail: e.Err.Error()})
		return
	}
	if s.complete() || s.job.closed() {
		return
	}
	r.learn(s, nil, c.workers)
	if r.class(&s.job.queue) == advicelane.Expensive {
		s.advice.kept = true
		if s.job.offeredAt.IsZero() {
			r.dirty[s.job] = struct{}{}
		}
	}
	expires := r.now.Add(milliseconds(s.job.queue.TicketMilliseconds))
	for _, t := range e.Tickets {
		if w := r.workers[t.Worker]; w != nil {
			s.advice.grant(ticket{w, t.Value, expires})
		}
	}
	s.advice.renew = nil
	r.changed = true
}

var (
	errLaneGone = errors.New("the instance that asked is gone")
	errCallLost = errors.New("no answer in time")
)
