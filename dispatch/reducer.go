// Package dispatch is the reducer of the leader: it decides which task runs on
// which worker and when, and knows what became of each.
//
// Only jobs, cancellations and the ends of tasks are durable. What runs is read
// from the workers: a new leader reads each worker under its own token, which
// ends the authority of its predecessor there, before it starts a task that the
// predecessor may have started. A worker forgets an end only after the leader
// has saved it.
//
// The reducer never blocks and reads no clock.
//
// # Usage
//
//	r := dispatch.New(dispatch.Options{Token: 7, ClaimedAt: now, ...})
//	effects := r.Apply(now, dispatch.JobAccepted{Job: j, Told: true})
package dispatch

import (
	"maps"
	"slices"
	"time"

	"fuchsiacross/job"
)

const (
	// holdSpan is how long a worker's runs go on without contact: long enough
	// for a change of leader, short enough to restart the runs of a lost worker
	// within a job's objective.
	holdSpan = 4500 * time.Millisecond
	// confirmedSpan bounds how long after the store's last confirmation a leader
	// extends leases and starts runs. It outlasts an outage of about 4.5 s.
	confirmedSpan = 5500 * time.Millisecond
	// clockSlack covers a worker's clock that is 2 % slow, by the platform's
	// pages, and the rounding of its readings.
	clockSlack = 0.02
	clockFixed = 150 * time.Millisecond

	passInterval  = 8 * time.Millisecond   // between two passes over the queues
	sweepInterval = 100 * time.Millisecond // between two looks at all workers and timed jobs
	saveInterval  = 15 * time.Millisecond  // between two saves, to gather ends
	saveShare     = 4 * time.Millisecond   // the same for each of many leaders, which save 250 times a second together
	stopRetry     = 300 * time.Millisecond // repeats an unanswered stop
	readRetry     = 250 * time.Millisecond // between two readings of a worker that does not answer
	runNumbers    = 1 << 22                // run numbers of one leadership
)

// Options configure a reducer.
type Options struct {
	Token                  int64     // of this leadership; rises from leader to leader
	ClaimedAt              time.Time // when the claim was sent; it confirms the leadership
	PredecessorSuspectedAt time.Time // when the predecessor's last confirmation was already past
	// Version is that of the claim, PredecessorVersion that of the predecessor's last
	// write.
	ClaimVersion, PredecessorVersion int64

	FirstLeader bool // no predecessor exists
	// MaxHoldMilliseconds is the longest lease that workers grant; zero for any.
	MaxHoldMilliseconds int64
	// StopTimeoutMilliseconds is how long a worker takes for a stop at most.
	StopTimeoutMilliseconds int64
	// RetentionSeconds is for how long clients may ask for a job that has ended; zero
	// for ever.
	RetentionSeconds int64
	// StartsAtOnce is how many starts may wait for an answer, more for a gang. What a
	// leader can give in time depends on its machine. Zero stands for a default.
	MaxPendingStarts int
	// Leaders is how many leaders share the store; zero counts as one.
	LeaderCount int
	Policy      Policy
}

// Policy changes how waiting work is ordered. The zero value is the policy in
// use; the others are baselines to compare it with under a replayed load.
type Policy struct {
	FirstCome      bool // serve jobs in the order of their acceptance
	TrustEstimates bool // do not correct estimates by what has ended
}

// Reducer holds the state of all jobs and workers. It is not safe for
// concurrent use.
type Reducer struct {
	policy              Policy
	maxHoldMilliseconds int64
	stopMilliseconds    int64
	retentionSeconds    int64
	leaders             int
	token               int64
	nextRun             int64
	confirmed           time.Time
	confirmedVersion    int64
	predecessorVersion  int64
	uncertainTo         time.Time // until when a predecessor's runs may go on unseen
	loaded              bool
	loadedAt            time.Time
	listed              bool
	listedAt            time.Time
	wasSettled          bool // noted in the log
	allGathered         bool // advice is asked for

	queues     map[string]job.Queue
	forecasts  map[string]*forecast // by queue
	jobs       map[job.ID]*jobState
	recalled   []Progress           // with advice that is not in use yet
	toldEarly  map[job.ID]job.Job   // that instances told of before the load
	offers     map[job.ID]*jobState // that are being stored
	workers    map[job.WorkerID]*worker
	ordered    []*worker // all workers by id
	enrolling  map[*worker]struct{}
	dismissed  []job.WorkerID
	closedJobs []closedJob // in the order in which they may be forgotten
	removing   int         // removals that have not been answered
	forgotten  []job.ID    // jobs whose progress is to be removed
	examined   int64       // places that passes have looked at
	waiting    map[*stepState]struct{}
	timed      map[*jobState]struct{}
	dirty      map[*jobState]struct{}
	changed    bool
	passedAt   time.Time
	reservedAt time.Time
	sweptAt    time.Time
	readsAt    time.Time

	saveNumber int64
	saving     []savedJob
	saveMarks  map[*worker]mark
	enrolled   []job.Worker // in the open save
	savedAt    time.Time

	starts startWindow
	advice advisor

	now     time.Time
	effects Effects
}

// New returns a reducer without jobs and workers.
func New(o Options) *Reducer {
	r := &Reducer{
		policy: o.Policy, maxHoldMilliseconds: o.MaxHoldMilliseconds,
		stopMilliseconds: o.StopTimeoutMilliseconds, retentionSeconds: o.RetentionSeconds, leaders: o.LeaderCount,
		token:     o.Token,
		nextRun:   o.Token * runNumbers,
		queues:    map[string]job.Queue{},
		forecasts: map[string]*forecast{},
		jobs:      map[job.ID]*jobState{},
		offers:    map[job.ID]*jobState{},
		workers:   map[job.WorkerID]*worker{},
		enrolling: map[*worker]struct{}{},
		toldEarly: map[job.ID]job.Job{},
		waiting:   map[*stepState]struct{}{},
		timed:     map[*jobState]struct{}{},
		dirty:     map[*jobState]struct{}{},
		starts:    newStartWindow(o.MaxPendingStarts),
		advice:    newAdvisor(),
	}
	if !o.FirstLeader {
		r.uncertainTo = o.PredecessorSuspectedAt.Add(withSlack(confirmedSpan))
	}
	r.confirmed, r.confirmedVersion, r.predecessorVersion = o.ClaimedAt, o.ClaimVersion, o.PredecessorVersion
	return r
}

func withSlack(span time.Duration) time.Duration {
	return span + time.Duration(float64(span)*clockSlack) + clockFixed
}

// Apply changes the state by events and returns what follows from them. Work is
// placed once for all of them, so that a leader that falls behind catches up.
func (r *Reducer) Apply(now time.Time, events ...any) Effects {
	r.now = now
	r.effects = Effects{}
	for _, event := range events {
		r.apply(event)
	}
	if r.loaded && r.listed {
		r.recall()
		r.pass()
		r.ask()
	}
	r.readWorkers()
	r.save()
	return r.effects
}

func (r *Reducer) apply(event any) {
	switch e := event.(type) {
	case JobsLoaded:
		r.load(e)
	case JobOffered:
		r.offer(e.Job)
	case JobAccepted:
		r.accept(e.Job, e.Notified)
	case CancelAccepted:
		r.cancel(e.ID)
	case ConfigurationChanged:
		r.configure(e.Configuration)
	case WorkerListed:
		r.list(e.Worker)
	case WorkerUnlisted:
		r.unlist(e.ID)
	case WorkersRead:
		r.listed, r.listedAt = true, r.now
	case WorkerReading:
		r.read(e)
	case StartAnswered:
		r.startAnswered(e)
	case StopAnswered:
		r.stopAnswered(e)
	case PaceAnswered:
		r.paceAnswered(e)
	case AdviceAnswered:
		r.adviceAnswered(e)
	case Saved:
		r.saved(e.Number)
	case JobRemoved:
		r.removed(e)
	case LeadershipConfirmed:
		if e.At.After(r.confirmed) {
			r.confirmed = e.At
		}
		if e.Version > r.confirmedVersion {
			r.confirmedVersion, r.changed = e.Version, true
		}
	case LanesChanged:
		r.setLanes(e.Names)
	case Tick:
		r.tick()
	}
}

func (r *Reducer) note(n Note) { r.effects.Notes = append(r.effects.Notes, n) }

// authorised reports whether the leader may start runs and extend leases. The
// steady clock stands still while a process is suspended, the time of day does not.
func (r *Reducer) authorised() bool {
	age := max(r.now.Sub(r.confirmed), r.now.Round(0).Sub(r.confirmed.Round(0)))
	return age < confirmedSpan
}

// leaseEnd is the time until which leases may be extended now.
func (r *Reducer) leaseEnd() time.Time {
	span := holdSpan
	if longest := time.Duration(r.maxHoldMilliseconds) * time.Millisecond; longest > 0 {
		span = min(span, longest)
	}
	end := r.now.Add(span)
	if limit := r.confirmed.Add(confirmedSpan); limit.Before(end) {
		return limit
	}
	return end
}

func (r *Reducer) configure(c *job.Configuration) {
	r.queues = make(map[string]job.Queue, len(c.Queues))
	for _, q := range c.Queues {
		r.queues[q.Name] = q
	}
	for _, j := range r.jobs {
		if q, ok := r.queues[j.job.Queue]; ok {
			j.plan(q)
		}
	}
	r.changed = true
}

// openJob makes the tasks of due occurrences ready to run.
func (r *Reducer) openJob(j *jobState) {
	if j.closed() {
		return
	}
	d := &j.job.Definition
	if d.Occurrences == 0 {
		r.openOccurrence(j, 0)
		return
	}
	for ; j.nextOccurrence < d.Occurrences; j.nextOccurrence++ {
		due := time.UnixMilli(d.FirstDueMilliseconds + j.nextOccurrence*d.IntervalMilliseconds)
		if due.After(r.now) {
			r.timed[j] = struct{}{}
			return
		}
		r.openOccurrence(j, j.nextOccurrence)
	}
	delete(r.timed, j)
}

func (r *Reducer) openOccurrence(j *jobState, k int64) {
	o := j.occurrence(k)
	for _, s := range o.steps {
		r.openStep(s)
	}
}

// openStep puts a step whose earlier steps are done among the waiting ones.
func (r *Reducer) openStep(s *stepState) {
	if s.complete() || s.job.closed() {
		delete(r.waiting, s)
		return
	}
	for _, before := range s.step.After {
		if !s.occurrence.steps[before].complete() {
			return
		}
	}
	if s.openedAt.IsZero() {
		s.openedAt = r.now
	}
	for i := range s.tasks {
		if s.tasks[i].idle() {
			r.waiting[s] = struct{}{}
			r.changed = true
			return
		}
	}
}

func (r *Reducer) cancel(id job.ID) {
	j := r.jobs[id]
	if j == nil || j.closed() || !r.loaded {
		return
	}
	r.note(Note{Kind: NoteJobCancelled, Job: id, Age: r.now.Sub(j.job.AcceptedAt)})
	r.finish(j, job.StateCancelled)
}

// finish closes a job in a final state and stops what it still runs.
func (r *Reducer) finish(j *jobState, state job.State) {
	j.state = state
	r.retire(j)
	j.job.Definition.Spec = "" // nothing of the job starts any more
	delete(r.timed, j)
	r.dirty[j] = struct{}{}
	for _, o := range j.occurrences {
		for _, s := range o.steps {
			delete(r.waiting, s)
			s.forgetAdvice()
			for i := range s.tasks {
				if run := s.tasks[i].run; run != nil {
					r.stop(run)
				}
			}
		}
	}
	r.note(Note{Kind: NoteJobFinished, Job: j.job.ID, Detail: string(state), Age: r.now.Sub(j.job.AcceptedAt)})
}

func (r *Reducer) tick() {
	if r.now.Sub(r.sweptAt) < sweepInterval {
		return
	}
	r.sweptAt = r.now
	for j := range maps.Clone(r.timed) {
		r.openJob(j)
	}
	r.dropOffers()
	r.forgetJobs()
	for _, w := range slices.Clone(r.ordered) {
		r.tickWorker(w)
	}
	r.changed = true
}

// Status returns what a client is told of a job.
func (r *Reducer) Status(id job.ID) (job.State, bool) {
	j := r.jobs[id]
	switch {
	case j == nil || !r.loaded:
		return "", false
	case j.shown != "":
		return j.shown, true
	case j.begun:
		return job.StateRunning, true
	}
	return job.StateQueued, true
}

// Examined returns how many places passes have looked at.
func (r *Reducer) Examined() int64 { return r.examined }

// Pending returns the number of a queue's jobs of which no task has started. It
// is not known before the jobs are loaded.
func (r *Reducer) Pending(queue string) (count int64, known bool) {
	n := int64(0)
	for _, j := range r.jobs {
		if j.job.Queue == queue && !j.begun && j.state == "" && j.job.Definition.Occurrences == 0 {
			n++
		}
	}
	return n, r.loaded
}
