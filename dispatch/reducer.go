// Package dispatch is the reducer of the leader: it decides when and on which worker each
// task runs, and keeps track of the results.
//
// Only jobs, cancellations, ends of tasks, and starts without a ticket that may not have been
// executed, are durable. Runs are read from the workers: a new leader reads each worker with its
// own token, which fences the predecessor there, before it starts a task that the predecessor may
// have started. In the same way it fences its own earlier orders at a worker that has restarted,
// since a worker forgets with its runs which token it has seen. A worker forgets the end of a run
// only after the leader has saved it.
//
// A reading is a worker's answer with its active and ended runs. The ended runs, or ends for
// short, are numbered, so that the leader can acknowledge them up to a number.
//
// A queue can require advice: the advice service then issues a ticket for each worker that may
// run a step, and a task starts only with a valid ticket.
//
// The reducer never blocks and reads no clock.
//
// # Usage
//
//	r := dispatch.New(dispatch.Options{Token: 7, ClaimedAt: now, ...})
//	effects := r.Apply(now, dispatch.JobAccepted{Job: j, Notified: true})
package dispatch

import (
	"maps"
	"slices"
	"time"

	"fuchsiacross/backlog"

	"fuchsiacross/job"
	"fuchsiacross/quota"
	"fuchsiacross/runtimes"
	"fuchsiacross/share"
	"fuchsiacross/startwindow"
)

const (
	// leaseDuration is how long a worker's runs continue without contact: long enough for a
	// change of leader, short enough to restart the runs of a lost worker within a job's
	// objective.
	leaseDuration = 4500 * time.Millisecond
	// confirmationTimeout limits how long after the store's last confirmation a leader extends
	// leases and starts runs. It covers a store outage of about 4.5 s.
	confirmationTimeout = 5500 * time.Millisecond
	// clockDriftFraction and clockRoundingMargin cover a worker's clock that is 2 % slow,
	// according to the platform's documentation, and the rounding of its readings.
	clockDriftFraction  = 0.02
	clockRoundingMargin = 150 * time.Millisecond

	passInterval          = 8 * time.Millisecond   // between two placement passes
	sweepInterval         = 100 * time.Millisecond // between two checks of all workers and timed jobs
	saveInterval          = 15 * time.Millisecond  // between two saves, to batch ends
	saveIntervalPerLeader = 4 * time.Millisecond   // times the number of leaders replaces saveInterval if it is longer: 250 saves a second in total
	stopRetryInterval     = 300 * time.Millisecond // after an unanswered stop order
	readRetryInterval     = 250 * time.Millisecond // between two readings of a worker that does not answer
	runNumbersPerToken    = 1 << 22                // run numbers available to each token
)

// TokensPerTerm is the number of fencing tokens of one leader. It orders with its first token
// until a worker restarts or is gone, and from then on with the next one at this worker.
const TokensPerTerm = 1 << 8

// Options configure a reducer.
type Options struct {
	Token                  int64     // first fencing token of this leadership; rises by TokensPerTerm at least
	ClaimedAt              time.Time // when the claim was sent, which confirms the leadership
	PredecessorSuspectedAt time.Time // a time after the predecessor's last confirmation
	// ClaimVersion is the store version of the claim, PredecessorVersion that of the
	// predecessor's last write.
	ClaimVersion, PredecessorVersion int64

	FirstLeader bool // there is no predecessor
	// MaxHoldMilliseconds is the longest lease that workers grant; zero means no limit.
	MaxHoldMilliseconds int64
	// StopTimeoutMilliseconds is the longest time that a worker takes for a stop.
	StopTimeoutMilliseconds int64
	// RetentionSeconds is how long clients may ask for a job in a final state; zero means
	// forever.
	RetentionSeconds int64
	// MaxPendingStarts limits the start orders that wait for an answer; a gang may exceed it.
	// How many orders a leader can send in time depends on its machine. Zero means a default.
	MaxPendingStarts int
	// LeaderCount is the number of leaders that share the store; zero counts as one.
	LeaderCount int
	// Shard is the number of the shard, below LeaderCount.
	Shard int
	// MaxRowBytes is the largest value of a row that the store accepts; zero means no limit.
	MaxRowBytes int
	// MaxBacklogBytes limits the memory of the jobs that are known; zero means no limit.
	MaxBacklogBytes int64
	Policy          Policy
}

// Policy changes the order of waiting work. The zero value is the policy in use; the
// alternatives are baselines for comparison under a replayed load.
type Policy struct {
	FirstComeFirstServed bool // serve jobs in the order of acceptance
	UseRawEstimates      bool // do not correct estimates by completed steps
	EqualSpeeds          bool // place tasks as on workers of equal speed
	Reservations         int  // blocked steps with reserved workers; zero means a number that grows with the fleet
}

// Reducer holds the state of all jobs and workers. It is not safe for concurrent use.
type Reducer struct {
	policy                  Policy
	maxHoldMilliseconds     int64
	stopTimeoutMilliseconds int64
	retentionSeconds        int64
	leaderCount             int
	shard                   int
	maxPartBytes            int // of the parts into which progress is divided
	token                   int64
	nextRun                 int64
	confirmedAt             time.Time
	confirmedVersion        int64
	toBeConfirmed           time.Time // the latest time of which a decision awaits a confirmation
	predecessorVersion      int64
	predecessorSuspectedAt  time.Time // after the predecessor's last confirmation; zero if there is none
	firstLeader             bool
	loaded                  bool
	jobsReadAt              time.Time // jobs that were stored before this time are known
	workersListed           bool
	workersListedAt         time.Time
	predecessorWasSettled   bool // whether predecessorSettled held in an earlier pass
	enoughWorkersRead       bool // enough workers have been read to request advice

	queues             map[string]job.Queue
	forecasts          map[string]*runtimes.Forecast // by queue
	speeds             runtimes.Speeds
	reporter           runtimes.Reporter
	runtimesSavedAt    time.Time // when the models of run times were last in a save
	runtimesRejected   bool      // the store has refused a save with them
	jobs               map[job.ID]*jobState
	storedAdvice       []Progress           // whose advice is not restored yet
	notifiedBeforeLoad map[job.ID]job.Job   // stored jobs that this leader was notified of before the load
	offers             map[job.ID]*jobState // jobs that are being stored
	workers            map[job.WorkerID]*worker
	sortedWorkers      []*worker              // sorted by ID
	usedTokens         map[job.WorkerID]int64 // tokens that are used up at a worker, because it has restarted or was gone
	enrolling          map[*worker]struct{}
	unenrolling        []job.WorkerID
	closedJobs         []closedJob         // in the order of removal times
	openRemovals       int                 // removals without an answer
	withdrawnJobs      map[job.ID][]string // jobs that are not known, with the tenants whose cancellation is stored
	progressRemovals   []job.ID            // jobs whose progress is to be removed
	examinedPlaces     int64               // places considered by all passes
	waitingSteps       map[*stepState]struct{}
	timedJobs          map[*jobState]struct{}
	unsavedJobs        map[*jobState]struct{}
	needsPass          bool
	lastPassAt         time.Time
	passes             passLimit
	lastReservationAt  time.Time
	reservationRound   int64 // counts the searches for reservations
	// latestStartedOpening is the latest opening time of the steps that were started, without
	// urgent ones.
	latestStartedOpening time.Time
	lastCapacityReportAt time.Time
	lastAdmissionAt      time.Time
	refusedTenants       map[string]bool // of the last Admission
	lastSweepAt          time.Time
	lastReadScanAt       time.Time

	saveNumber   int64
	maxSavedJobs int // in one save; reduced after the store has rejected one
	savingJobs   []savedJob
	saveMarks    map[*worker]endMark
	// dividedJob is a job whose progress is being written with several saves, or nil;
	// dividedNumbers are the numbers of the parts that are in a save. deferredMarks are the ends
	// that the last of these saves covers.
	dividedJob     *jobState
	dividedNumbers []int
	dividedStarts  []*run // whose records are among the parts
	deferredMarks  map[*worker]endMark
	obsoleteParts  map[*jobState]struct{} // jobs with parts that newer ones have replaced
	openSave       *Save                  // the save without a result, or nil
	// savesRefusedJob is set if the last save was that of a job whose progress the store had refused.
	savesRefusedJob bool
	lastSaveAt      time.Time

	backlogState

	starts startwindow.Window
	// unrecordedStarts are chosen starts whose records are in no save yet, recordedStarts those
	// whose records are stored. unsentStarts counts the starts of both, and of the open save.
	unrecordedStarts map[*jobState][]*run
	recordedStarts   []*run
	unsentStarts     int
	resigning        bool // the leadership is about to be released
	advice           advisor
	quota            *quota.Ledger
	shares           *share.Meter

	now     time.Time
	effects Effects
}

// New returns a reducer without jobs and workers.
func New(o Options) *Reducer {
	r := &Reducer{
		policy: o.Policy, maxHoldMilliseconds: o.MaxHoldMilliseconds,
		stopTimeoutMilliseconds: o.StopTimeoutMilliseconds, retentionSeconds: o.RetentionSeconds, leaderCount: o.LeaderCount, shard: o.Shard,
		maxPartBytes: maxPartBytes(o.MaxRowBytes), maxSavedJobs: maxSaveEntries,
		token:              o.Token,
		nextRun:            o.Token * runNumbersPerToken,
		queues:             map[string]job.Queue{},
		forecasts:          map[string]*runtimes.Forecast{},
		speeds:             runtimes.Speeds{AssumeEqual: o.Policy.EqualSpeeds},
		jobs:               map[job.ID]*jobState{},
		offers:             map[job.ID]*jobState{},
		workers:            map[job.WorkerID]*worker{},
		usedTokens:         map[job.WorkerID]int64{},
		enrolling:          map[*worker]struct{}{},
		notifiedBeforeLoad: map[job.ID]job.Job{},
		waitingSteps:       map[*stepState]struct{}{},
		timedJobs:          map[*jobState]struct{}{},
		withdrawnJobs:      map[job.ID][]string{},
		unsavedJobs:        map[*jobState]struct{}{},
		obsoleteParts:      map[*jobState]struct{}{},
		unrecordedStarts:   map[*jobState][]*run{},
		firstLeader:        o.FirstLeader,
		starts:             startwindow.New(o.MaxPendingStarts),
		advice:             newAdvisor(),
		quota:              quota.NewLedger(),
		shares:             share.NewMeter(o.LeaderCount),
		backlogState:       backlogState{backlog: backlog.NewMeter(o.MaxBacklogBytes)},
	}
	if !o.FirstLeader {
		r.predecessorSuspectedAt = o.PredecessorSuspectedAt
	}
	r.confirmedAt, r.confirmedVersion, r.predecessorVersion = o.ClaimedAt, o.ClaimVersion, o.PredecessorVersion
	return r
}

// withClockMargin returns the longest time on the leader's clock that a duration on a worker's
// clock may take.
func withClockMargin(duration time.Duration) time.Duration {
	return duration + time.Duration(float64(duration)*clockDriftFraction) + clockRoundingMargin
}

// Apply applies events to the state and returns the resulting effects. Work is placed once for
// all events, so that a leader that has fallen behind catches up.
func (r *Reducer) Apply(now time.Time, events ...any) Effects {
	r.now = now
	r.effects = Effects{}
	for _, event := range events {
		r.applyEvent(event)
	}
	if r.loaded && r.workersListed {
		r.applyStoredAdvice()
		r.sendRecordedStarts()
		r.runPass()
		r.requestAdvice()
	}
	r.reportBacklog()
	r.readWorkers()
	r.startSave()
	return r.effects
}

func (r *Reducer) applyEvent(event any) {
	switch e := event.(type) {
	case JobsLoaded:
		r.loadJobs(e)
	case JobOffered:
		r.offerJob(e.Job)
	case JobAccepted:
		r.acceptJob(e.Job, e.Notified)
	case JobChangesRead:
		if e.SentAt.After(r.jobsReadAt) {
			r.jobsReadAt = e.SentAt
		}
	case CancelAccepted:
		r.cancelJob(e)
	case ConfigurationChanged:
		r.configure(e.Configuration)
	case WorkerListed:
		r.registerWorker(e.Worker)
	case WorkerUnlisted:
		r.unregisterWorker(e.ID)
	case WorkersRead:
		r.workersListed, r.workersListedAt = true, r.now
	case WorkerReading:
		r.handleReading(e)
	case StartAnswered:
		r.handleStartAnswer(e)
	case StopAnswered:
		r.handleStopAnswer(e)
	case PaceAnswered:
		r.handlePaceAnswer(e)
	case AdviceAnswered:
		r.handleAdviceAnswer(e)
	case Saved:
		r.handleSaved(e.Number)
	case SaveRejected:
		r.handleSaveRejected(e)
	case JobRemoved:
		r.handleJobRemoved(e)
	case LeadershipConfirmed:
		if e.At.After(r.confirmedAt) {
			r.confirmedAt = e.At
		}
		if e.Version > r.confirmedVersion {
			r.confirmedVersion, r.needsPass = e.Version, true
		}
	case Resigning:
		r.resign()
	case LanesChanged:
		r.setLanes(e.Names)
	case Tick:
		r.handleTick()
	}
}

func (r *Reducer) addNote(n Note) { r.effects.Notes = append(r.effects.Notes, n) }

// isAuthorised reports whether the leader may start runs and extend leases. It checks both
// clocks: the monotonic clock stops while a process is suspended, the wall clock does not.
func (r *Reducer) isAuthorised() bool {
	age := max(r.now.Sub(r.confirmedAt), r.now.Round(0).Sub(r.confirmedAt.Round(0)))
	return age < confirmationTimeout
}

// leaseEnd returns the time to which leases may be extended now.
func (r *Reducer) leaseEnd() time.Time {
	duration := leaseDuration
	if longest := time.Duration(r.maxHoldMilliseconds) * time.Millisecond; longest > 0 {
		duration = min(duration, longest)
	}
	end := r.now.Add(duration)
	if limit := r.confirmedAt.Add(confirmationTimeout); limit.Before(end) {
		return limit
	}
	return end
}

func (r *Reducer) configure(c *job.Configuration) {
	r.queues = make(map[string]job.Queue, len(c.Queues))
	for _, q := range c.Queues {
		r.queues[q.Name] = q
	}
	r.quota.Configure(c.Tenants, r.shard, r.leaderCount)
	r.shares.Configure(c.Tenants)
	for _, j := range r.jobs {
		if q, ok := r.queues[j.job.Queue]; ok {
			j.plan(q)
		}
	}
	r.needsPass = true
}

// openDueOccurrences opens the steps of all due occurrences of a job.
func (r *Reducer) openDueOccurrences(j *jobState) {
	if j.closed() {
		return
	}
	d := &j.job.Definition
	if d.Occurrences == 0 {
		r.openOccurrence(j, 0)
		return
	}
	r.recountJob(j) // occurrences may have been completed
	for {
		j.nextOccurrence = j.completedOccurrences.endOfRange(j.nextOccurrence)
		if j.nextOccurrence >= d.Occurrences {
			delete(r.timedJobs, j)
			return
		}
		due := time.UnixMilli(d.FirstDueMilliseconds + j.nextOccurrence*d.IntervalMilliseconds)
		if due.After(r.now) || !r.mayOpenOccurrence(j, j.nextOccurrence) {
			r.timedJobs[j] = struct{}{}
			return
		}
		r.openOccurrence(j, j.nextOccurrence)
		r.recountJob(j)
		j.nextOccurrence++
	}
}

// openStartedOccurrences opens the occurrences of which a predecessor has saved progress.
func (r *Reducer) openStartedOccurrences(j *jobState) {
	if j.closed() {
		return
	}
	for k := range j.occurrences {
		r.openOccurrence(j, k)
	}
}

// openReportedStep opens a step that a worker has reported a run of. A predecessor may have
// opened its occurrence before this leader does.
func (r *Reducer) openReportedStep(s *stepState) {
	r.openStep(s)
	if j := s.job; j.isScheduled() && s.id.Occurrence >= j.nextOccurrence && j.occurrences[s.id.Occurrence] != nil {
		r.openOccurrence(j, s.id.Occurrence)
	}
}

func (r *Reducer) openOccurrence(j *jobState, k int64) {
	o := j.occurrence(k)
	for _, s := range o.steps {
		r.openStep(s)
	}
}

// openStep adds a step to the waiting steps if it has idle tasks and the steps that it depends
// on are complete.
func (r *Reducer) openStep(s *stepState) {
	if s.complete() || s.job.closed() {
		delete(r.waitingSteps, s)
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
			r.waitingSteps[s] = struct{}{}
			r.needsPass = true
			return
		}
	}
}

func (r *Reducer) cancelJob(c CancelAccepted) {
	j := r.jobs[c.ID]
	if !r.loaded || j != nil && (j.closed() || !job.IsVisible(j.job.Tenant, c.Tenant)) {
		return
	}
	if j == nil {
		r.withdrawJob(c)
		return
	}
	r.addNote(Note{Kind: NoteJobCancelled, Job: c.ID, Age: r.now.Sub(j.job.AcceptedAt)})
	r.closeJob(j, job.StateCancelled)
}

// closeJob puts a job into a final state and stops its runs.
func (r *Reducer) closeJob(j *jobState, state job.State) {
	j.state = state
	r.scheduleRemoval(j)
	j.job.Definition.Spec = "" // no task of the job starts any more
	r.recountJob(j)
	delete(r.timedJobs, j)
	r.unsavedJobs[j] = struct{}{}
	for _, o := range j.occurrences {
		for _, s := range o.steps {
			delete(r.waitingSteps, s)
			s.releaseAdvice()
			for i := range s.tasks {
				if run := s.tasks[i].run; run != nil {
					r.stopRun(run)
				}
			}
		}
	}
	r.addNote(Note{Kind: NoteJobFinished, Job: j.job.ID, Detail: string(state), Age: r.now.Sub(j.job.AcceptedAt)})
}

func (r *Reducer) handleTick() {
	if r.now.Sub(r.lastSweepAt) < sweepInterval {
		return
	}
	r.lastSweepAt = r.now
	for j := range maps.Clone(r.timedJobs) {
		r.openDueOccurrences(j)
	}
	r.dropExpiredOffers()
	r.removeExpiredJobs()
	for _, w := range slices.Clone(r.sortedWorkers) {
		r.checkWorker(w)
	}
	r.needsPass = true
}

// Status returns the state of a job that clients see, and whether the job is known.
func (r *Reducer) Status(id job.ID) (job.State, bool) {
	j := r.jobs[id]
	switch {
	case j == nil || !r.loaded:
		return "", false
	case j.savedState != "":
		return j.savedState, true
	case j.started:
		return job.StateRunning, true
	}
	return job.StateQueued, true
}

// IsHidden reports whether a known job belongs to another tenant than the one that asks.
func (r *Reducer) IsHidden(id job.ID, tenant string) bool {
	j := r.jobs[id]
	return j != nil && !job.IsVisible(j.job.Tenant, tenant)
}

// ExaminedPlaces returns how many places all passes have considered.
func (r *Reducer) ExaminedPlaces() int64 { return r.examinedPlaces }

// ExaminedWorkers returns how many workers all passes have considered, with or without
// capacity.
func (r *Reducer) ExaminedWorkers() int64 { return r.passes.examinedWorkers }

// ExaminedLanes returns how many lanes all calls for advice have considered.
func (r *Reducer) ExaminedLanes() int64 { return r.advice.lanes.ExaminedLanes() }

// Pending returns the number of a queue's jobs without a started task. It is unknown before
// the jobs are loaded.
func (r *Reducer) Pending(queue string) (count int64, known bool) {
	n := int64(0)
	for _, j := range r.jobs {
		if j.job.Queue == queue && !j.started && j.state == "" && j.job.Definition.Occurrences == 0 {
			n++
		}
	}
	return n, r.loaded
}
