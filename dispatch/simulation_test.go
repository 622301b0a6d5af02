package dispatch_test

import (
	"container/heap"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/go-faster/errors"

	"fuchsiacross/dispatch"
	"fuchsiacross/job"
	"fuchsiacross/jobstore"
	"fuchsiacross/model"
)

// simulation replaces everything around the reducer in virtual time: the workers that run
// tasks, the store that keeps progress and the advice service. It records violations of the
// scheduling rules.
type simulation struct {
	runTimes       []byte            // stored state of the models of run times
	leader         *leader           // the latest; nil between two leaderships
	reducer        *dispatch.Reducer // of the latest leader
	options        dispatch.Options
	start          time.Time
	now            time.Time
	pendingActions actions
	lastAction     int
	random         *rand.Rand
	queues         []job.Queue
	tenants        []job.Tenant
	workers        map[job.WorkerID]*fakeWorker
	lanes          map[string]time.Time // until when a lane is busy
	// laneCount is the number of instances that can request advice.
	laneCount int

	jobs            map[job.ID]job.Job
	submittedAt     map[job.ID]time.Time
	progress        map[job.ID]dispatch.Progress                // first parts
	furtherParts    map[dispatch.ProgressPart]dispatch.Progress // of jobs with several parts
	maxRowBytes     int                                         // limit of the store; zero means none
	rejectsProgress func(dispatch.Progress) bool                // the store rejects a save that contains it
	// onlySavesConfirm suspends the periodic confirmations of the leadership.
	onlySavesConfirm bool
	nextReaches      func(job.WorkerID) bool // the workers that the next leader reaches; nil means all
	acknowledged     map[job.TaskID]bool     // tasks of which an end as done was acknowledged
	endedDone        map[job.TaskID]bool     // tasks of which a run has ended as done
	enrolled         map[job.WorkerID]dispatch.Enrolment
	// missingFromLoad are jobs that are stored too late for the next leader's load. The change
	// feed is silent until they are reported.
	missingFromLoad map[job.ID]bool
	notStored       map[job.ID]bool           // known to a former leader only
	resubmitted     []job.ID                  // with a row in each home
	serviceTail     func(*fakeWorker) float64 // tail latency of the services on a worker, in milliseconds
	version         int64                     // of the store
	confirmed       int64                     // version of the last write of a leader
	beforeLoad      func()                    // called before a new leader has loaded the jobs
	cancels         []dispatch.CancelAccepted
	peakUse         map[string]model.Resources // the most that ran at once, by tenant
	completedAt     map[job.ID]time.Time       // when a job was first shown as completed

	removedJobs     []job.ID
	removalError    error // result of removals
	storeDown       bool
	term            int // number of the latest leadership
	violations      []string
	deposed         bool // a leader has found that a worker has seen a higher token
	noteCounts      map[dispatch.NoteKind]int
	lastExplanation string // latest explanation of a waiting step
	capacity        *dispatch.CapacityReport
	admission       *dispatch.Admission            // the last one
	onCapacity      func(*dispatch.CapacityReport) // called with each report; nil means none
	callCount       int
	appliedEvents   int
	calls           []dispatch.RequestAdvice
	startedAt       map[job.ID]time.Time // first start of each job
	allows          func(job.StepID, job.WorkerID) bool
	// started is called before a worker executes a start. It returns whether the order gets an
	// answer, and the delay until it is executed.
	started func(dispatch.StartRun) (answered bool, delay time.Duration)
	// orderDelay is called before a worker executes an order or answers a reading. A positive
	// result delays the execution by that time and suppresses the answer.
	orderDelay func(job.WorkerID) time.Duration
	// adviceDelay returns the additional delay of the answer to a call for advice.
	adviceDelay func(dispatch.RequestAdvice) time.Duration
	// firstReadDelay returns the additional delay of a worker's answer to the first reading of
	// a leader.
	firstReadDelay func(job.WorkerID) time.Duration
	// confirmDelay returns the time until a confirmation is stored, and from then until its
	// answer; nil means none.
	confirmDelay func() time.Duration
	// losesCrossingStarts loses the starts that reach a restarted worker before a reading of it
	// has reached their leader.
	losesCrossingStarts bool
	// taskLength returns how long a task runs.
	taskLength func(job.TaskID) time.Duration
	// outcome returns how a run ends.
	outcome func(job.TaskID, int64) job.EndKind
}

// leader is one leadership. A leader that is cut off from the store goes on beside its successor
// until a worker rejects its token.
type leader struct {
	reducer *dispatch.Reducer
	term    int
	ended   bool // its effects have no consequences any more
	cutOff  bool // from the store
	// reaches reports whether there is a path to a worker; nil means to all.
	reaches func(job.WorkerID) bool
}

// canReach reports whether a worker gets the orders of a leader.
func (l *leader) canReach(w *fakeWorker) bool {
	return !w.unreachable && (l.reaches == nil || l.reaches(w.worker.ID))
}

// action is a function to call at a virtual time. Actions of the same time run in the order
// of their numbers.
type action struct {
	at     time.Time
	number int
	do     func()
}

type actions []action

func (a actions) Len() int { return len(a) }
func (a actions) Less(i, j int) bool {
	return a[i].at.Before(a[j].at) || a[i].at.Equal(a[j].at) && a[i].number < a[j].number
}
func (a actions) Swap(i, j int) { a[i], a[j] = a[j], a[i] }
func (a *actions) Push(x any)   { *a = append(*a, x.(action)) }
func (a *actions) Pop() any {
	last := (*a)[len(*a)-1]
	*a = (*a)[:len(*a)-1]
	return last
}

const (
	networkDelay = 5 * time.Millisecond
	storeDelay   = 25 * time.Millisecond
	// insertDelay is the time to store a job and to notify the leader.
	insertDelay   = 38 * time.Millisecond
	longPollWait  = 1600 * time.Millisecond // of a long poll without an end
	shortPollWait = 400 * time.Millisecond
	// orderTimeout and readTimeout are the times after which an order and a reading count as
	// unanswered, for readings in addition to the wait of a long poll.
	orderTimeout = 300 * time.Millisecond
	readTimeout  = 500 * time.Millisecond
	gigabyte     = 1 << 30
	// maxCallWorkers is the number of workers that a call for advice may name.
	maxCallWorkers = 100
	// defaultLaneCount is the number of instances of the standard sites.
	defaultLaneCount = 7
)

// newSimulation returns a simulation of workers with the given number of processors each.
func newSimulation(workers int, processors int64, queues ...job.Queue) *simulation {
	start := time.UnixMilli(1_700_000_000_000)
	sim := &simulation{
		start: start, now: start, random: rand.New(rand.NewPCG(1, 2)), queues: queues,
		workers: map[job.WorkerID]*fakeWorker{}, lanes: map[string]time.Time{},
		noteCounts: map[dispatch.NoteKind]int{},
		jobs:       map[job.ID]job.Job{}, submittedAt: map[job.ID]time.Time{}, progress: map[job.ID]dispatch.Progress{}, furtherParts: map[dispatch.ProgressPart]dispatch.Progress{}, enrolled: map[job.WorkerID]dispatch.Enrolment{}, missingFromLoad: map[job.ID]bool{}, notStored: map[job.ID]bool{},
		acknowledged: map[job.TaskID]bool{}, endedDone: map[job.TaskID]bool{},
		completedAt: map[job.ID]time.Time{}, peakUse: map[string]model.Resources{}, startedAt: map[job.ID]time.Time{}, allows: allowTwoThirds,
		laneCount:      defaultLaneCount,
		started:        func(dispatch.StartRun) (bool, time.Duration) { return true, 0 },
		orderDelay:     func(job.WorkerID) time.Duration { return 0 },
		adviceDelay:    func(dispatch.RequestAdvice) time.Duration { return 0 },
		firstReadDelay: func(job.WorkerID) time.Duration { return 0 },
		outcome:        func(job.TaskID, int64) job.EndKind { return job.EndDone },

		rejectsProgress: func(dispatch.Progress) bool { return false },
	}
	sim.taskLength = func(id job.TaskID) time.Duration {
		step := sim.jobs[id.Job].Definition.Steps[id.Step]
		if step.LongRunning {
			return time.Hour
		}
		return time.Duration(step.EstimateMilliseconds * float64(time.Millisecond))
	}
	for n := range workers {
		sim.addFakeWorker(job.WorkerID(fmt.Sprintf("w%02d", n)), processors)
	}
	sim.startLeader(dispatch.Options{Token: 1, FirstLeader: true, ClaimedAt: sim.now, PredecessorSuspectedAt: sim.now})
	return sim
}

// addFakeWorker adds a worker that is not registered yet.
func (sim *simulation) addFakeWorker(id job.WorkerID, processors int64) *fakeWorker {
	w := &fakeWorker{
		worker: job.Worker{
			ID: id, Pool: "pool", StartTime: 1,
			Capacity: model.Resources{MilliCPU: processors * 1000, MemoryBytes: 64 * gigabyte},
		},
		startTime: 1, clockOffset: int64(len(sim.workers)) * 1_000_000,
		running: map[job.TaskID]*fakeRun{}, stopped: map[job.TaskID]int64{},
	}
	sim.workers[id] = w
	return w
}

// startLeader starts a new leader with the content of the store.
func (sim *simulation) startLeader(o dispatch.Options) {
	if sim.leader != nil {
		sim.leader.ended = true
	}
	sim.term++
	o.MaxHoldMilliseconds = maxHold.Milliseconds()
	o.PredecessorVersion = sim.confirmed
	sim.confirmLeadership()
	o.ClaimVersion = sim.confirmed
	sim.options = o
	sim.reducer = dispatch.New(o)
	l := &leader{reducer: sim.reducer, term: sim.term, reaches: sim.nextReaches}
	sim.leader, sim.nextReaches = l, nil
	sim.apply(dispatch.ConfigurationChanged{Configuration: &job.Configuration{Queues: sim.queues, Tenants: sim.tenants}})
	sim.setLanes(sim.laneCount)
	ids := make([]job.WorkerID, 0, len(sim.workers))
	for id := range sim.workers {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for _, id := range ids {
		if !sim.workers[id].unregistered {
			sim.apply(dispatch.WorkerListed{Worker: sim.workers[id].worker})
		}
	}
	sim.apply(dispatch.WorkersRead{})
	if sim.beforeLoad != nil {
		sim.beforeLoad()
	}
	sim.apply(sim.storedState())
	var tick func()
	tick = func() {
		if l.ended {
			return
		}
		sim.executeConfirmation(l)
		sim.applyTo(l, dispatch.Tick{})
		sim.schedule(25*time.Millisecond, tick)
	}
	sim.schedule(0, tick)
}

// executeConfirmation writes the row of a leader, reports the write to it and reads the store's
// changes for it.
func (sim *simulation) executeConfirmation(l *leader) {
	if sim.storeDown || sim.onlySavesConfirm || l.cutOff {
		return
	}
	sim.readJobChanges(l)
	if sim.confirmDelay == nil {
		sim.confirmLeadership()
		sim.applyTo(l, dispatch.LeadershipConfirmed{At: sim.now, Version: sim.confirmed})
		return
	}
	sentAt := sim.now
	sim.schedule(sim.confirmDelay(), func() {
		if l.ended || l.cutOff || sim.storeDown {
			return
		}
		sim.confirmLeadership()
		confirmed := dispatch.LeadershipConfirmed{At: sentAt, Version: sim.confirmed}
		sim.schedule(sim.confirmDelay(), func() {
			if !l.ended && !l.cutOff {
				sim.applyTo(l, confirmed)
			}
		})
	})
}

// readJobChanges reads the store's changes, unless these are silent about a job.
func (sim *simulation) readJobChanges(l *leader) {
	if len(sim.missingFromLoad) > 0 {
		return
	}
	sentAt := sim.now
	sim.schedule(storeDelay, func() {
		if !l.ended && !l.cutOff {
			sim.applyTo(l, dispatch.JobChangesRead{SentAt: sentAt})
		}
	})
}

// confirmLeadership writes the leader's row.
func (sim *simulation) confirmLeadership() {
	sim.version++
	sim.confirmed = sim.version
}

// setLanes sets the number of instances that can request advice.
func (sim *simulation) setLanes(count int) {
	sim.laneCount = count
	var lanes []string
	for n := range count {
		lanes = append(lanes, fmt.Sprintf("i%02d", n))
	}
	sim.apply(dispatch.LanesChanged{Names: lanes})
}

// loseLeader ends the leadership. After a gap another leader claims it, which knows only what
// is stored and what it reads from the workers.
func (sim *simulation) loseLeader(gap time.Duration) {
	suspected := sim.now
	sim.leader.ended = true
	sim.leader, sim.reducer = nil, nil
	sim.schedule(gap, func() { sim.startSuccessor(suspected) })
}

// startSuccessor starts a leader whose predecessor was last confirmed before a time.
func (sim *simulation) startSuccessor(suspected time.Time) {
	o := sim.options
	o.Token += dispatch.TokensPerTerm
	o.FirstLeader, o.ClaimedAt, o.PredecessorSuspectedAt = false, sim.now, suspected
	sim.startLeader(o)
}

// isolateLeader cuts the leader off from the store and from all workers but those beside it.
// After a gap another leader claims the leadership, which reaches all other workers. It returns
// the former leader, which does not know of its successor.
func (sim *simulation) isolateLeader(gap time.Duration, beside ...job.WorkerID) *leader {
	former := sim.leader
	former.cutOff = true
	former.reaches = func(id job.WorkerID) bool { return slices.Contains(beside, id) }
	sim.leader, sim.reducer = nil, nil
	sim.schedule(gap, func() {
		sim.nextReaches = func(id job.WorkerID) bool { return !slices.Contains(beside, id) }
		sim.startSuccessor(sim.now)
	})
	return former
}

func (sim *simulation) storedState() dispatch.JobsLoaded {
	loaded := dispatch.JobsLoaded{Cancels: sim.cancels, Resubmitted: sim.resubmitted, Workers: slices.Collect(maps.Values(sim.enrolled)), RunTimes: sim.runTimes}
	for _, j := range sim.jobs {
		if !sim.missingFromLoad[j.ID] && !sim.notStored[j.ID] {
			loaded.Jobs = append(loaded.Jobs, j)
		}
	}
	for _, p := range sim.progress {
		loaded.Progress = append(loaded.Progress, p)
	}
	for _, p := range sim.furtherParts {
		loaded.Progress = append(loaded.Progress, p)
	}
	slices.SortFunc(loaded.Jobs, func(a, b job.Job) int { return a.AcceptedAt.Compare(b.AcceptedAt) })
	return loaded
}

func (sim *simulation) schedule(duration time.Duration, do func()) {
	sim.lastAction++
	heap.Push(&sim.pendingActions, action{sim.now.Add(duration), sim.lastAction, do})
}

// advance executes the pending actions of the next duration of virtual time.
func (sim *simulation) advance(duration time.Duration) {
	end := sim.now.Add(duration)
	for len(sim.pendingActions) > 0 && !sim.pendingActions[0].at.After(end) {
		next := heap.Pop(&sim.pendingActions).(action)
		sim.now = next.at
		next.do()
	}
	sim.now = end
}

// submit stores a job and notifies the leader.
func (sim *simulation) submit(j job.Job) {
	sim.submittedAt[j.ID] = sim.now
	sim.storeAndNotify(j)
}

func (sim *simulation) storeAndNotify(j job.Job) {
	sim.storeJob(j)
	sim.notifyLeader(j.ID)
}

// storeJob writes the row of a submitted job.
func (sim *simulation) storeJob(j job.Job) {
	sim.version++
	j.AcceptedAt, j.Pool, j.Version = sim.submittedAt[j.ID], "pool", sim.version
	sim.jobs[j.ID] = j
}

// notifyLeader notifies the leader of a stored job.
func (sim *simulation) notifyLeader(id job.ID) {
	sim.apply(dispatch.JobAccepted{Job: sim.jobs[id], Notified: true})
}

// reportStoreChange reports a job to the leader through the store's change feed.
func (sim *simulation) reportStoreChange(id job.ID) {
	delete(sim.missingFromLoad, id)
	sim.apply(dispatch.JobAccepted{Job: sim.jobs[id]})
}

// submitWithOffer offers a job to the leader while it is being stored.
func (sim *simulation) submitWithOffer(j job.Job) {
	sim.submittedAt[j.ID] = sim.now
	j.Pool = "pool"
	sim.apply(dispatch.JobOffered{Job: j})
	sim.schedule(insertDelay, func() { sim.storeAndNotify(j) })
}

func (sim *simulation) addViolation(format string, values ...any) {
	sim.violations = append(sim.violations, fmt.Sprintf("%s: ", sim.now.Sub(sim.start))+fmt.Sprintf(format, values...))
}

// apply applies an event to the latest leader, if there is one.
func (sim *simulation) apply(event any) {
	if sim.leader != nil {
		sim.applyTo(sim.leader, event)
	}
}

func (sim *simulation) applyTo(l *leader, event any) {
	sim.appliedEvents++
	effects := l.reducer.Apply(sim.now, event)
	if effects.LeadershipLost && l != sim.leader {
		l.ended = true
		return
	}
	sim.deposed = sim.deposed || effects.LeadershipLost
	for _, n := range effects.Notes {
		sim.noteCounts[n.Kind]++
		if n.Kind == dispatch.NoteStepWaiting {
			sim.lastExplanation = n.Detail
		}
	}
	applyIfLeading := func(e any) {
		if !l.ended {
			sim.applyTo(l, e)
		}
	}
	if effects.Admission != nil {
		sim.admission = effects.Admission
	}
	if effects.Capacity != nil {
		sim.capacity = effects.Capacity
		if sim.onCapacity != nil {
			sim.onCapacity(effects.Capacity)
		}
	}
	for _, s := range effects.Starts {
		sim.executeStart(l, s, applyIfLeading)
	}
	for _, s := range effects.Stops {
		sim.schedule(networkDelay, func() {
			sim.executeStop(l, s, applyIfLeading)
		})
	}
	for _, p := range effects.Paces {
		sim.schedule(networkDelay, func() {
			w := sim.workers[p.Worker.ID]
			if run := w.running[p.Task]; run != nil && run.order.Run == p.Run {
				run.idlePercent = 100 - p.Percent
			}
			applyIfLeading(dispatch.PaceAnswered{Worker: p.Worker.ID, Token: p.Token, Task: p.Task, Run: p.Run, Percent: p.Percent})
		})
	}
	for _, r := range effects.Reads {
		sim.executeRead(l, r, applyIfLeading)
	}
	for _, a := range effects.AdviceRequests {
		sim.executeAdviceCall(a, applyIfLeading)
	}
	for _, id := range effects.Removals {
		err := sim.removalError
		if err == nil {
			sim.removedJobs = append(sim.removedJobs, id)
			delete(sim.jobs, id)
		}
		sim.schedule(storeDelay, func() { applyIfLeading(dispatch.JobRemoved{ID: id, Err: err}) })
	}
	if effects.Save != nil {
		sim.executeSave(l, *effects.Save, applyIfLeading)
	}
}

func (sim *simulation) executeSave(l *leader, s dispatch.Save, applyIfLeading func(any)) {
	sentAt := sim.now
	sim.schedule(storeDelay, func() {
		if l.cutOff {
			return // a successor claims before the leader reaches the store again
		}
		if sim.storeDown {
			sim.executeSave(l, s, applyIfLeading)
			return
		}
		sim.checkSaveSize(s)
		if slices.ContainsFunc(s.Progress, sim.rejectsProgress) {
			applyIfLeading(dispatch.SaveRejected{Number: s.Number, Err: errors.New("rejected")})
			return
		}
		for _, p := range s.Progress {
			if p.Part > 0 {
				sim.furtherParts[dispatch.ProgressPart{ID: p.ID, Part: p.Part}] = p
				continue
			}
			sim.progress[p.ID] = p
		}
		for _, p := range s.RemovedParts {
			delete(sim.furtherParts, p)
		}
		for _, id := range s.RemovedProgress {
			delete(sim.progress, id)
		}
		if len(s.RunTimes) > 0 {
			sim.runTimes = s.RunTimes
		}
		for _, e := range s.Enrolled {
			sim.enrolled[e.Worker.ID] = e
		}
		for _, id := range s.Unenrolled {
			delete(sim.enrolled, id)
		}
		if !l.ended {
			sim.confirmLeadership()
		}
		applyIfLeading(dispatch.LeadershipConfirmed{At: sentAt, Version: sim.confirmed})
		applyIfLeading(dispatch.Saved{Number: s.Number})
		if sim.reducer == nil {
			return
		}
		for _, p := range s.Progress {
			if state, _ := sim.reducer.Status(p.ID); state == job.StateCompleted && sim.completedAt[p.ID].IsZero() {
				sim.completedAt[p.ID] = sim.now
			}
		}
	})
}

// checkSaveSize records a violation if a save exceeds the limits of the store.
func (sim *simulation) checkSaveSize(s dispatch.Save) {
	const maxCallBytes, maxCallEntries, leaderEntries, encodedFraction = 1_000_000, 100, 2, 4.0 / 3
	total := 0
	for _, p := range s.Progress {
		encoded, err := jobstore.EncodeProgress(p)
		if err != nil {
			sim.addViolation("progress of %s: %s", p.ID, err)
		}
		if sim.maxRowBytes > 0 && len(encoded) > sim.maxRowBytes {
			sim.addViolation("progress of %s takes %d bytes", p.ID, len(encoded))
		}
		total += len(encoded)
	}
	total += len(s.RunTimes)
	entries := min(1, len(s.RunTimes)) + len(s.Progress) + len(s.RemovedProgress) + len(s.RemovedParts) + len(s.Enrolled) + len(s.Unenrolled) + leaderEntries
	if float64(total)*encodedFraction > maxCallBytes || entries > maxCallEntries {
		sim.addViolation("a save has %d entries with %d bytes", entries, total)
	}
}

// savedProgress returns the saved progress of a job, with all its parts.
func (sim *simulation) savedProgress(id job.ID) dispatch.Progress {
	p := sim.progress[id]
	p.Steps = slices.Clone(p.Steps)
	for part, further := range sim.furtherParts {
		if part.ID == id {
			p.Steps = append(p.Steps, further.Steps...)
		}
	}
	return p
}

func (sim *simulation) executeAdviceCall(a dispatch.RequestAdvice, applyIfLeading func(any)) {
	sim.callCount++
	if len(a.Workers) > maxCallWorkers {
		sim.addViolation("a call for advice names %d workers", len(a.Workers))
		sim.schedule(networkDelay, func() {
			applyIfLeading(dispatch.AdviceAnswered{Number: a.Number, Err: errors.New("too many workers")})
		})
		return
	}
	sim.calls = append(sim.calls, a)
	var q job.Queue
	for _, known := range sim.queues {
		if known.Name == sim.jobs[a.Step.Job].Queue {
			q = known
		}
	}
	cost := time.Duration((q.AdviceCallMilliseconds + q.AdviceWorkerMilliseconds*float64(len(a.Workers))) * float64(time.Millisecond))
	begin := sim.now.Add(networkDelay)
	if sim.lanes[a.Lane].After(begin) {
		begin = sim.lanes[a.Lane]
	}
	sim.lanes[a.Lane] = begin.Add(cost)
	sim.schedule(begin.Add(cost+networkDelay+sim.adviceDelay(a)).Sub(sim.now), func() {
		var tickets []job.Ticket
		for _, id := range a.Workers {
			if sim.allows(a.Step, id) {
				tickets = append(tickets, job.Ticket{Worker: id, Value: sim.workers[id].newTicket(sim)})
			}
		}
		applyIfLeading(dispatch.AdviceAnswered{Number: a.Number, Tickets: tickets})
	})
}

// allowTwoThirds is the policy of the advice service: two of three workers may run a step.
func allowTwoThirds(step job.StepID, id job.WorkerID) bool {
	sum := step.Step
	for _, b := range []byte(string(step.Job) + string(id)) {
		sum = sum*31 + int(b)
	}
	return sum%3 != 0
}

// setTenants puts a configuration with tenants in force.
func (sim *simulation) setTenants(tenants ...job.Tenant) {
	sim.tenants = tenants
	sim.apply(dispatch.ConfigurationChanged{Configuration: &job.Configuration{Queues: sim.queues, Tenants: tenants}})
}
