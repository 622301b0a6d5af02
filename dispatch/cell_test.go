package dispatch_test

import (
	"container/heap"
	"errors"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
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
	calls       []dispatch.AskAdvice
	began       map[job.ID]time.Time // the first start of a job
	good        func(job.StepID, job.WorkerID) bool
	// started is called before a worker carries out a start; a false result
	// means that the order gets no answer, with the delay until it is carried out.
	started func(dispatch.StartRun) (answered bool, delay time.Duration)
	// late is called before a worker carries out an order or a reading; a positive
	// result is the delay until it does so, without an answer.
	late func(job.WorkerID) time.Duration
	// advised is how much later than usual an answer to a call for advice comes.
	advised func(dispatch.AskAdvice) time.Duration
	// firstRead is how much later a worker answers the first reading of a leader.
	firstRead func(job.WorkerID) time.Duration
	// length is how long a task runs.
	length func(job.TaskID) time.Duration
	// outcome is how a run ends.
	outcome func(job.TaskID, int64) job.EndKind
}

type fakeWorker struct {
	worker  job.Worker
	token   int64
	born    int64
	offset  int64 // of its clock
	holdEnd time.Time
	running map[job.TaskID]*fakeRun
	stopped map[job.TaskID]int64
	ended   []job.Ended
	number  int64
	lapsed  int64  // ends up to this number came before the lease lapsed
	waiting func() // answers an open long poll

	unlisted bool // its registration is missing
	readTerm int  // term of the leader that has read it last
	dark     bool
	slow     float64 // how many times longer runs take; zero for one
	pace     float64 // the same, for good; workers are of different kinds
}

type fakeRun struct {
	order    dispatch.StartRun
	room     model.Resources
	began    time.Time
	takes    time.Duration
	finished bool // its work; a gang ends together
	saved    float64
	saves    bool
	slowed   int // percent of the time that it does not work
}

// percent is how far a run is. Workers report whole percents.
func (r *fakeRun) percent(now time.Time) float64 {
	return math.Floor(min(100, r.saved+(100-r.saved)*float64(now.Sub(r.began))/float64(max(1, r.takes))))
}

// checkpoint is what a worker reports of the run's progress.
func (r *fakeRun) checkpoint(now time.Time) string {
	if !r.saves {
		return ""
	}
	return strconv.FormatFloat(r.percent(now), 'f', -1, 64)
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
		advised:   func(dispatch.AskAdvice) time.Duration { return 0 },
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
	c.lead(dispatch.Options{Token: 1, FirstLeader: true, ClaimedAt: c.now, SuspectedAt: c.now})
	return c
}

// lead begins the term of a new leader with what the store holds.
func (c *cell) lead(o dispatch.Options) {
	c.term++
	o.PredecessorVersion = c.confirmed
	c.confirm()
	o.Version = c.confirmed
	c.options = o
	c.reducer = dispatch.New(o)
	c.apply(dispatch.Configured{Configuration: &job.Configuration{Queues: c.queues}})
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
			c.apply(dispatch.Confirmed{At: c.now, Version: c.confirmed})
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
		o.FirstLeader, o.ClaimedAt, o.SuspectedAt = false, c.now, suspected
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
func (c *cell) tell(id job.ID) { c.apply(dispatch.JobAccepted{Job: c.jobs[id], Told: true}) }

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
	for _, a := range effects.Asks {
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
		for _, id := range s.Forgotten {
			delete(c.progress, id)
		}
		for _, w := range s.Enrolled {
			c.enrolled[w.ID] = w
		}
		for _, id := range s.Dismissed {
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

func (c *cell) carryOutAsk(a dispatch.AskAdvice, live func(any)) {
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

func (c *cell) carryOutStart(s dispatch.StartRun, token int64, live func(any)) {
	answered, delay := c.started(s)
	if late := c.late(s.Worker.ID); late > 0 {
		answered, delay = false, late
	}
	answer := dispatch.StartAnswered{Worker: s.Worker.ID, Task: s.Task, Run: s.Run}
	if !answered {
		c.after(orderSilence, func() {
			answer.Err = errors.New("no answer")
			live(answer)
		})
	}
	c.after(orderDelay+delay, func() {
		w := c.workers[s.Worker.ID]
		if w.dark {
			if answered {
				c.after(orderSilence, func() {
					answer.Err = errors.New("no answer")
					live(answer)
				})
			}
			return
		}
		answer.Rejection = w.start(c, s, token)
		if answered {
			c.after(orderDelay, func() { live(answer) })
		}
	})
}

func (w *fakeWorker) clock(c *cell) int64 { return c.now.UnixMilli() + w.offset }

func (w *fakeWorker) start(c *cell, s dispatch.StartRun, token int64) job.Rejection {
	switch {
	case token < w.token:
		return job.RejectedToken
	case w.clock(c) > s.Deadline:
		return job.RejectedLate
	case w.stopped[s.Task] >= s.Run:
		return job.RejectedRun
	}
	w.token = token
	w.extend(c, s.Deadline)
	room := c.jobs[s.Task.Job].Definition.Steps[s.Task.Step].Room()
	used := room
	for _, r := range w.running {
		used = used.Add(r.room)
	}
	if !used.Fits(w.worker.Capacity) {
		c.violation("worker %s is over its capacity", w.worker.ID)
	}
	for _, other := range c.workers {
		if r := other.running[s.Task]; r != nil && !other.dark {
			c.violation("two runs of %s at the same time", s.Task)
		}
		for _, e := range other.ended {
			// The rules void ends that are taken note of after the lease has lapsed.
			if e.Task == s.Task && e.How == job.EndDone && e.Number > other.lapsed {
				c.violation("%s starts after it has ended done", s.Task)
			}
		}
	}
	if !c.shown[s.Task.Job].IsZero() {
		c.violation("%s starts after its job was shown as completed", s.Task)
	}
	for _, before := range c.jobs[s.Task.Job].Definition.Steps[s.Task.Step].After {
		p := c.progress[s.Task.Job]
		if !doneStep(c.jobs[s.Task.Job], p, before) && !c.endedIn(s.Task, before) {
			c.violation("%s starts before step %d is done", s.Task, before)
		}
	}
	if c.began[s.Task.Job].IsZero() {
		c.began[s.Task.Job] = c.now
	}
	if c.jobs[s.Task.Job].ID == "" {
		c.violation("%s starts before its job is stored", s.Task)
		return ""
	}
	step := c.jobs[s.Task.Job].Definition.Steps[s.Task.Step]
	run := &fakeRun{order: s, room: room, began: c.now, takes: c.length(s.Task), saves: step.Checkpoints}
	if s.Checkpoint != "" {
		saved, err := strconv.ParseFloat(s.Checkpoint, 64)
		if err != nil {
			c.violation("checkpoint %q is no task's", s.Checkpoint)
		}
		run.saved = saved
		run.takes = time.Duration(float64(run.takes) * (1 - saved/100))
	}
	if w.pace > 0 {
		run.takes = time.Duration(float64(run.takes) * w.pace)
	}
	if w.slow > 0 {
		run.takes = time.Duration(float64(run.takes) * w.slow)
	}
	w.running[s.Task] = run
	c.after(run.takes, func() {
		if w.running[s.Task] != run || w.dark {
			return
		}
		how := c.outcome(s.Task, s.Run)
		if !c.jobs[s.Task.Job].Definition.Steps[s.Task.Step].Gang {
			w.end(s.Task, how)
			return
		}
		run.finished = true
		c.endGang(run, how)
	})
	return ""
}

// endGang ends the runs of a gang when all have done their work, or when one has
// failed.
func (c *cell) endGang(run *fakeRun, how job.EndKind) {
	type member struct {
		worker *fakeWorker
		task   job.TaskID
	}
	var members []member
	finished := 0
	for _, other := range c.workers {
		for task, r := range other.running {
			if task.StepID == run.order.Task.StepID && r.order.Run == run.order.Run && !other.dark {
				members = append(members, member{other, task})
				if r.finished {
					finished++
				}
			}
		}
	}
	if how == job.EndDone && finished < c.jobs[run.order.Task.Job].Definition.Steps[run.order.Task.Step].Tasks {
		return
	}
	slices.SortFunc(members, func(a, b member) int { return a.task.Index - b.task.Index })
	for _, m := range members {
		switch {
		case m.task == run.order.Task || how == job.EndDone:
			m.worker.end(m.task, how)
		default:
			m.worker.end(m.task, job.EndBroken)
		}
	}
}

// endedIn reports whether a task of an earlier step has ended on any worker.
func (c *cell) endedIn(task job.TaskID, step int) bool {
	for _, other := range c.workers {
		for _, e := range other.ended {
			if e.Task.Job == task.Job && e.Task.Step == step {
				return true
			}
		}
	}
	return false
}

func doneStep(j job.Job, p dispatch.Progress, step int) bool {
	for _, s := range p.Steps {
		if s.Step == step {
			count := 0
			for n := range j.Definition.Steps[step].Tasks {
				if n/8 < len(s.Done) && s.Done[n/8]&(1<<(n%8)) != 0 {
					count++
				}
			}
			return count == j.Definition.Steps[step].Tasks
		}
	}
	return false
}

// extend prolongs the lease of all runs; they end when it lapses.
func (w *fakeWorker) extend(c *cell, deadline int64) {
	end := time.UnixMilli(deadline - w.offset)
	if !end.After(w.holdEnd) {
		return
	}
	w.holdEnd = end
	born := w.born
	c.after(end.Sub(c.now), func() {
		if w.born != born || c.now.Before(w.holdEnd) {
			return
		}
		w.lapsed = w.number
		for task := range w.running {
			w.end(task, job.EndLapsed)
		}
	})
}

func (w *fakeWorker) end(task job.TaskID, how job.EndKind) {
	run := w.running[task]
	delete(w.running, task)
	w.number++
	w.ended = append(w.ended, job.Ended{Number: w.number, Task: task, Run: run.order.Run, How: how})
	if waiting := w.waiting; waiting != nil {
		w.waiting = nil
		waiting()
	}
}

func (c *cell) carryOutStop(s dispatch.StopRun, token int64, live func(any)) {
	w := c.workers[s.Worker.ID]
	answer := dispatch.StopAnswered{Worker: s.Worker.ID, Task: s.Task, Run: s.Run}
	if late := c.late(s.Worker.ID); late > 0 {
		c.after(late, func() {
			if !w.dark && token >= w.token {
				w.stop(s)
			}
		})
		c.after(orderSilence, func() {
			answer.Err = errors.New("no answer")
			live(answer)
		})
		return
	}
	if w.dark {
		c.after(orderSilence, func() {
			answer.Err = errors.New("no answer")
			live(answer)
		})
		return
	}
	if token < w.token {
		answer.Rejection = job.RejectedToken
		live(answer)
		return
	}
	w.stop(s)
	live(answer)
}

func (w *fakeWorker) stop(s dispatch.StopRun) {
	w.stopped[s.Task] = max(w.stopped[s.Task], s.Run)
	if r := w.running[s.Task]; r != nil && r.order.Run == s.Run {
		w.end(s.Task, job.EndStopped)
	}
}

func (c *cell) carryOutRead(r dispatch.ReadWorker, token int64, live func(any)) {
	sentAt, term := c.now, c.term
	w := c.workers[r.Worker.ID]
	answer := func() {
		reading := job.Reading{Clock: w.clock(c), Born: w.born, Ended: slices.Clone(w.ended)}
		for _, run := range w.running {
			running := job.Running{
				Task: run.order.Task, Run: run.order.Run, Percent: run.percent(c.now), Checkpoint: run.checkpoint(c.now),
			}
			if c.tail != nil && c.jobs[run.order.Task.Job].Definition.Steps[run.order.Task.Step].LongRunning {
				running.Level = c.tail(w)
			}
			reading.Running = append(reading.Running, running)
		}
		delay := orderDelay
		if w.readTerm < term {
			w.readTerm = term
			delay += c.firstRead(r.Worker.ID)
		}
		c.after(delay, func() {
			live(dispatch.WorkerReading{ID: r.Worker.ID, SentAt: sentAt, Reading: reading})
		})
	}
	wait := time.Duration(0)
	switch {
	case r.Watch:
		wait = shortWait
	case r.LongPoll:
		wait = longWait
	}
	if late := c.late(r.Worker.ID); late > 0 {
		c.after(wait+readSilence, func() {
			live(dispatch.WorkerReading{ID: r.Worker.ID, SentAt: sentAt, Err: errors.New("no answer")})
		})
		return
	}
	c.after(orderDelay, func() {
		if w.dark {
			c.after(wait+readSilence, func() {
				live(dispatch.WorkerReading{ID: r.Worker.ID, SentAt: sentAt, Err: errors.New("no answer")})
			})
			return
		}
		if token < w.token {
			live(dispatch.WorkerReading{ID: r.Worker.ID, SentAt: sentAt, Reading: job.Reading{Rejection: job.RejectedToken}})
			return
		}
		w.token = token
		if r.Deadline != 0 {
			w.extend(c, r.Deadline)
		}
		w.ended = slices.DeleteFunc(w.ended, func(e job.Ended) bool { return e.Number <= r.Seen })
		if !r.LongPoll || len(w.ended) > 0 {
			answer()
			return
		}
		done := false
		once := func() {
			if done {
				return
			}
			done = true
			if w.dark {
				c.after(readSilence, func() {
					live(dispatch.WorkerReading{ID: r.Worker.ID, SentAt: sentAt, Err: errors.New("no answer")})
				})
				return
			}
			answer()
		}
		w.waiting = once
		c.after(wait, once)
	})
}

// restart begins a new life of a worker under its id.
func (w *fakeWorker) restart() {
	w.born++
	w.running, w.stopped, w.ended = map[job.TaskID]*fakeRun{}, map[job.TaskID]int64{}, nil
	w.number, w.token, w.lapsed = 0, 0, 0
	w.holdEnd = time.Time{}
	w.dark = false
}
