package dispatch_test

import (
	"container/heap"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"fuchsiacross/dispatch"
	"fuchsiacross/job"
	"fuchsiacross/model"
)

// cell is a fake of everything around the reducer, in virtual time: workers that
// run tasks, the store that keeps progress, the service that gives advice. It
// records what must never happen.
type cell struct {
	reducer *dispatch.Reducer
	options dispatch.Options
	start   time.Time
	now     time.Time
	actions actions
	number  int
	random  *rand.Rand
	queues  []job.Queue
	workers map[job.WorkerID]*fakeWorker
	lanes   map[string]time.Time // until when a lane is busy
	// laneCount is the number of instances that ask for advice.
	laneCount int

	jobs        map[job.ID]job.Job
	handed      map[job.ID]time.Time
	progress    map[job.ID]dispatch.Progress
	enrolled    map[job.WorkerID]job.Worker
	unloaded    map[job.ID]bool           // stored too late for the next leader's load
	resubmitted []job.ID                  // with a row in each home
	tail        func(*fakeWorker) float64 // of the services on a worker, in milliseconds
	version     int64                     // of the store
	confirmed   int64                     // version of the last write of a leader
	loading     func()                    // called before a new leader has loaded the jobs
	cancels     []job.ID
	shown       map[job.ID]time.Time // when a job was first shown as completed

	removedJobs []job.ID
	removal     error // of removals
	storeDown   bool
	term        int // effects of earlier leaders are dropped
	violations  []string
	noted       map[dispatch.NoteKind]int
	explained   string // the newest explanation of a step that waits
	asked       int
	calls       []dispatch.RequestAdvice
	began       map[job.ID]time.Time // the first start of a job
	good        func(job.StepID, job.WorkerID) bool
	// started is called before a worker carries out a start; a false result
	// means that the order gets no answer, with the delay until it is carried out.
	started func(dispatch.StartRun) (answered bool, delay time.Duration)
	// late is called before a worker carries out an order or a reading; a positive
	// result is the delay until it does so, without an answer.
	late func(job.WorkerID) time.Duration
	// advised is how much later than usual an answer to a call for advice comes.
	advised func(dispatch.RequestAdvice) time.Duration
	// firstRead is how much later a worker answers the first reading of a leader.
	firstRead func(job.WorkerID) time.Duration
	// length is how long a task runs.
	length func(job.TaskID) time.Duration
	// outcome is how a run ends.
	outcome func(job.TaskID, int64) job.EndKind
}

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
	orderDelay = 5 * time.Millisecond
	storeDelay = 25 * time.Millisecond
	// insertDelay is the time to store a job and to tell the leader.
	insertDelay = 38 * time.Millisecond
	longWait    = 1600 * time.Millisecond // of a long poll without an end
	shortWait   = 400 * time.Millisecond
	// orderSilence and readSilence are after which an order and a reading count as
	// unanswered; the latter beyond the wait of a long poll.
	orderSilence = 300 * time.Millisecond
	readSilence  = 500 * time.Millisecond
	gigabyte     = 1 << 30
	// defaultLanes is the number of instances of the standard sites.
	defaultLanes = 7
)

// newCell returns a cell with workers of a number of processors.
func newCell(workers int, processors int64, queues ...job.Queue) *cell {
	start := time.UnixMilli(1_700_000_000_000)
	c := &cell{
		start: start, now: start, random: rand.New(rand.NewPCG(1, 2)), queues: queues,
		workers: map[job.WorkerID]*fakeWorker{}, lanes: map[string]time.Time{},
		noted: map[dispatch.NoteKind]int{},
		jobs:  map[job.ID]job.Job{}, handed: map[job.ID]time.Time{}, progress: map[job.ID]dispatch.Progress{}, enrolled: map[job.WorkerID]job.Worker{}, unloaded: map[job.ID]bool{},
		shown: map[job.ID]time.Time{}, began: map[job.ID]time.Time{}, good: good,
		laneCount: defaultLanes,
		started:   func(dispatch.StartRun) (bool, time.Duration) { return true, 0 },
		late:      func(job.WorkerID) time.Duration { return 0 },
		advised:   func(dispatch.RequestAdvice) time.Duration { return 0 },
		firstRead: func(job.WorkerID) time.Duration { return 0 },
		outcome:   func(job.TaskID, int64) job.EndKind { return job.EndDone },
	}
	c.length = func(id job.TaskID) time.Duration {
		step := c.jobs[id.Job].Definition.Steps[id.Step]
		if step.LongRunning {
			return time.Hour
		}
		return time.Duration(step.EstimateMilliseconds * float64(time.Millisecond))
	}
	for n := range workers {
		id := job.WorkerID(fmt.Sprintf("w%02d", n))
		c.workers[id] = &fakeWorker{
			worker: job.Worker{
				ID: id, Pool: "pool",
				Capacity: model.Resources{MilliCPU: processors * 1000, MemoryBytes: 64 * gigabyte},
			},
			born: 1, offset: int64(n) * 1_000_000,
			running: map[job.TaskID]*fakeRun{}, stopped: map[job.TaskID]int64{},
		}
	}
	c.lead(dispatch.Options{Token: 1, FirstLeader: true, ClaimedAt: c.now, PredecessorSuspectedAt: c.now})
	return c
}

// lead begins the term of a new leader with what the store holds.
func (c *cell) lead(o dispatch.Options) {
	c.term++
	o.PredecessorVersion = c.confirmed
	c.confirm()
	o.ClaimVersion = c.confirmed
	c.options = o
	c.reducer = dispatch.New(o)
	c.apply(dispatch.ConfigurationChanged{Configuration: &job.Configuration{Queues: c.queues}})
	c.setLanes(c.laneCount)
	ids := make([]job.WorkerID, 0, len(c.workers))
	for id := range c.workers {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for _, id := range ids {
		if !c.workers[id].unlisted {
			c.apply(dispatch.WorkerListed{Worker: c.workers[id].worker})
		}
	}
	c.apply(dispatch.WorkersRead{})
	if c.loading != nil {
		c.loading()
	}
	c.apply(c.stored())
	term := c.term
	var tick func()
	tick = func() {
		if term != c.term {
			return
		}
		if !c.storeDown {
			c.confirm()
			c.apply(dispatch.LeadershipConfirmed{At: c.now, Version: c.confirmed})
		}
		c.apply(dispatch.Tick{})
		c.after(25*time.Millisecond, tick)
	}
	c.after(0, tick)
}

// confirm writes the leader's row.
func (c *cell) confirm() {
	c.version++
	c.confirmed = c.version
}

// setLanes tells the leader how many instances ask for advice.
func (c *cell) setLanes(count int) {
	c.laneCount = count
	var lanes []string
	for n := range count {
		lanes = append(lanes, fmt.Sprintf("i%02d", n))
	}
	c.apply(dispatch.LanesChanged{Names: lanes})
}

// loseLeader ends the term of the leader; another one claims after a gap. It
// knows only what is stored and what it reads from the workers.
func (c *cell) loseLeader(gap time.Duration) {
	suspected := c.now
	c.term++
	c.reducer = nil
	c.after(gap, func() {
		o := c.options
		o.Token++
		o.FirstLeader, o.ClaimedAt, o.PredecessorSuspectedAt = false, c.now, suspected
		c.lead(o)
	})
}

func (c *cell) stored() dispatch.JobsLoaded {
	loaded := dispatch.JobsLoaded{Cancels: c.cancels, Resubmitted: c.resubmitted, Workers: slices.Collect(maps.Values(c.enrolled))}
	for _, j := range c.jobs {
		if !c.unloaded[j.ID] {
			loaded.Jobs = append(loaded.Jobs, j)
		}
	}
	for _, p := range c.progress {
		loaded.Progress = append(loaded.Progress, p)
	}
	slices.SortFunc(loaded.Jobs, func(a, b job.Job) int { return a.AcceptedAt.Compare(b.AcceptedAt) })
	return loaded
}

func (c *cell) after(span time.Duration, do func()) {
	c.number++
	heap.Push(&c.actions, action{c.now.Add(span), c.number, do})
}

// run lets virtual time pass.
func (c *cell) run(span time.Duration) {
	end := c.now.Add(span)
	for len(c.actions) > 0 && !c.actions[0].at.After(end) {
		next := heap.Pop(&c.actions).(action)
		c.now = next.at
		next.do()
	}
	c.now = end
}

// submit stores a job and tells the leader.
func (c *cell) submit(j job.Job) {
	c.handed[j.ID] = c.now
	c.accept(j)
}

func (c *cell) accept(j job.Job) {
	c.store(j)
	c.tell(j.ID)
}

// store writes the row of a job that was handed in.
func (c *cell) store(j job.Job) {
	c.version++
	j.AcceptedAt, j.Pool, j.Version = c.handed[j.ID], "pool", c.version
	c.jobs[j.ID] = j
}

// tell tells the leader of a stored job.
func (c *cell) tell(id job.ID) { c.apply(dispatch.JobAccepted{Job: c.jobs[id], Notified: true}) }

// follow tells the leader of a job by the changes of the store.
func (c *cell) follow(id job.ID) { c.apply(dispatch.JobAccepted{Job: c.jobs[id]}) }

// hand tells the leader of a job while it is being stored.
func (c *cell) hand(j job.Job) {
	c.handed[j.ID] = c.now
	j.Pool = "pool"
	c.apply(dispatch.JobOffered{Job: j})
	c.after(insertDelay, func() { c.accept(j) })
}

func (c *cell) violation(format string, values ...any) {
	c.violations = append(c.violations, fmt.Sprintf("%s: ", c.now.Sub(c.start))+fmt.Sprintf(format, values...))
}

func (c *cell) apply(event any) {
	if c.reducer == nil {
		return
	}
	effects := c.reducer.Apply(c.now, event)
	for _, n := range effects.Notes {
		c.noted[n.Kind]++
		if n.Kind == dispatch.NoteStepWaits {
			c.explained = n.Detail
		}
	}
	term := c.term
	live := func(e any) {
		if term == c.term {
			c.apply(e)
		}
	}
	for _, s := range effects.Starts {
		c.carryOutStart(s, c.options.Token, live)
	}
	for _, s := range effects.Stops {
		c.after(orderDelay, func() {
			c.carryOutStop(s, c.options.Token, live)
		})
	}
	for _, p := range effects.Paces {
		c.after(orderDelay, func() {
			w := c.workers[p.Worker.ID]
			if run := w.running[p.Task]; run != nil && run.order.Run == p.Run {
				run.slowed = 100 - p.Percent
			}
			live(dispatch.PaceAnswered{Worker: p.Worker.ID, Task: p.Task, Run: p.Run, Percent: p.Percent})
		})
	}
	for _, r := range effects.Reads {
		c.carryOutRead(r, c.options.Token, live)
	}
	for _, a := range effects.AdviceRequests {
		c.carryOutAsk(a, live)
	}
	for _, id := range effects.Removals {
		err := c.removal
		if err == nil {
			c.removedJobs = append(c.removedJobs, id)
			delete(c.jobs, id)
		}
		c.after(storeDelay, func() { live(dispatch.JobRemoved{ID: id, Err: err}) })
	}
	if effects.Save != nil {
		c.carryOutSave(*effects.Save, live)
	}
}

func (c *cell) carryOutSave(s dispatch.Save, live func(any)) {
	c.after(storeDelay, func() {
		if c.storeDown {
			c.carryOutSave(s, live)
			return
		}
		for _, p := range s.Progress {
			c.progress[p.ID] = p
		}
		for _, id := range s.RemovedProgress {
			delete(c.progress, id)
		}
		for _, w := range s.Enrolled {
			c.enrolled[w.ID] = w
		}
		for _, id := range s.Unenrolled {
			delete(c.enrolled, id)
		}
		live(dispatch.Saved{Number: s.Number})
		if c.reducer == nil {
			return
		}
		for _, p := range s.Progress {
			if state, _ := c.reducer.Status(p.ID); state == job.StateCompleted && c.shown[p.ID].IsZero() {
				c.shown[p.ID] = c.now
			}
		}
	})
}

func (c *cell) carryOutAsk(a dispatch.RequestAdvice, live func(any)) {
	c.asked++
	c.calls = append(c.calls, a)
	var q job.Queue
	for _, known := range c.queues {
		if known.Name == c.jobs[a.Step.Job].Queue {
			q = known
		}
	}
	cost := time.Duration((q.AdviceCallMilliseconds + q.AdviceWorkerMilliseconds*float64(len(a.Workers))) * float64(time.Millisecond))
	begin := c.now.Add(orderDelay)
	if c.lanes[a.Lane].After(begin) {
		begin = c.lanes[a.Lane]
	}
	c.lanes[a.Lane] = begin.Add(cost)
	c.after(begin.Add(cost+orderDelay+c.advised(a)).Sub(c.now), func() {
		var tickets []job.Ticket
		for _, id := range a.Workers {
			if c.good(a.Step, id) {
				tickets = append(tickets, job.Ticket{Worker: id, Value: "t"})
			}
		}
		live(dispatch.AdviceAnswered{Number: a.Number, Tickets: tickets})
	})
}

// good is the policy of the advice service: two workers of three may run a step.
func good(step job.StepID, id job.WorkerID) bool {
	sum := step.Step
	for _, b := range []byte(string(step.Job) + string(id)) {
		sum = sum*31 + int(b)
	}
	return sum%3 != 0
}
