package dispatch_test

import (
	"fmt"
	"math"
	"slices"
	"strconv"
	"time"

	"github.com/go-faster/errors"

	"fuchsiacross/dispatch"
	"fuchsiacross/job"
	"fuchsiacross/model"
)

// fakeWorker simulates a worker with its lease, runs and clock.
type fakeWorker struct {
	worker      job.Worker
	token       int64
	startTime   int64
	clockOffset int64
	leaseEnd    time.Time
	running     map[job.TaskID]*fakeRun
	stopped     map[job.TaskID]int64
	endedRuns   []job.EndedRun
	lastEnd     int64
	lapsedEnd   int64  // ends up to this number came before the lease expired
	answerPoll  func() // answers the open long poll

	unregistered bool          // its registration is missing
	readTerm     int           // term of the leader that read it last
	readLives    map[int]int64 // start time in the last answer to the leader of each term
	unreachable  bool
	replaced     bool    // another incarnation answers at its address
	slowdown     float64 // factor on the length of runs in a disturbance; zero means 1
	pace         float64 // permanent factor on the length of runs, by hardware; zero means 1
}

const (
	// maxListedEnds is how many ends a worker lists at a time.
	maxListedEnds = 500
	// maxHold is the longest lease that a worker grants.
	maxHold = 10 * time.Second
	// firstClock is the first reading of the clock of a restarted worker, in milliseconds.
	firstClock = 480_000
)

// fakeRun is a run on a fakeWorker.
type fakeRun struct {
	order             dispatch.StartRun
	allocation        model.Resources
	startedAt         time.Time
	length            time.Duration
	finished          bool // its work is done; a gang ends together
	checkpointPercent float64
	keepsCheckpoints  bool
	idlePercent       int // percent of the time that it does not work
}

// percent returns the progress of a run. Workers report whole percents.
func (r *fakeRun) percent(now time.Time) float64 {
	return math.Floor(min(100, r.checkpointPercent+(100-r.checkpointPercent)*float64(now.Sub(r.startedAt))/float64(max(1, r.length))))
}

// checkpoint returns the checkpoint that a worker reports for the run.
func (r *fakeRun) checkpoint(now time.Time) string {
	if !r.keepsCheckpoints {
		return ""
	}
	return strconv.FormatFloat(r.percent(now), 'f', -1, 64)
}

func (sim *simulation) executeStart(l *leader, s dispatch.StartRun, applyIfLeading func(any)) {
	sendAnswer, delay := sim.started(s)
	if late := sim.orderDelay(s.Worker.ID); late > 0 {
		sendAnswer, delay = false, late
	}
	answer := dispatch.StartAnswered{Worker: s.Worker.ID, Token: s.Token, Task: s.Task, Run: s.Run}
	if !sendAnswer {
		sim.schedule(orderTimeout, func() {
			answer.Err = errors.New("no answer")
			applyIfLeading(answer)
		})
	}
	w := sim.workers[s.Worker.ID]
	underway := delay > 0 && l.canReach(w)
	sim.schedule(networkDelay+delay, func() {
		if !l.canReach(w) && (!underway || w.unreachable) {
			if sendAnswer {
				sim.schedule(orderTimeout, func() {
					answer.Err = errors.New("no answer")
					applyIfLeading(answer)
				})
			}
			return
		}
		switch {
		case w.replaced:
			answer.Err, answer.NotExecuted = errors.New("wrong incarnation"), true
		case sim.losesCrossingStarts && w.readLives[l.term] != w.startTime:
			answer.Err = errors.New("no answer")
		default:
			answer.Rejection, answer.Clock = w.start(sim, s, delay > 0), w.clock(sim)
		}
		if sendAnswer {
			sim.schedule(networkDelay, func() { applyIfLeading(answer) })
		}
	})
}

func (w *fakeWorker) clock(sim *simulation) int64 { return sim.now.UnixMilli() + w.clockOffset }

func (w *fakeWorker) start(sim *simulation, s dispatch.StartRun, late bool) job.Rejection {
	switch {
	case s.Token < w.token:
		return job.RejectedStaleToken
	case w.clock(sim) > s.Deadline:
		return job.RejectedDeadline
	case w.stopped[s.Task] >= s.Run:
		return job.RejectedStaleRun
	case s.Ticket != "" && !w.isValidTicket(sim, s.Ticket):
		return job.RejectedInvalidTicket
	}
	w.token = s.Token
	w.extendLease(sim, s.Deadline)
	allocation := sim.jobs[s.Task.Job].Definition.Steps[s.Task.Step].Allocation()
	used := allocation
	for _, r := range w.running {
		used = used.Add(r.allocation)
	}
	if !used.Fits(w.worker.Capacity) {
		sim.addViolation("worker %s is over its capacity", w.worker.ID)
	}
	for _, other := range sim.workers {
		if r := other.running[s.Task]; r != nil && !other.unreachable {
			sim.addViolation("two runs of %s at the same time", s.Task)
		}
		for _, e := range other.endedRuns {
			// By the rules, ends that are recorded after the lease has expired do not count.
			if e.Task == s.Task && e.Kind == job.EndDone && e.Number > other.lapsedEnd {
				sim.addViolation("%s starts after it was done", s.Task)
			}
		}
	}
	if sim.acknowledged[s.Task] {
		sim.addViolation("%s starts after its end as done was acknowledged", s.Task)
	}
	// By the rules, this holds for orders of the current leader that are not executed late. The
	// others are checked against the ends that were acknowledged.
	former := sim.leader == nil || s.Token < sim.options.Token
	if !former && !late && !sim.completedAt[s.Task.Job].IsZero() {
		sim.addViolation("%s starts after its job was shown as completed", s.Task)
	}
	for _, before := range sim.jobs[s.Task.Job].Definition.Steps[s.Task.Step].After {
		if !sim.isStepDone(s.Task, before) {
			sim.addViolation("%s starts before step %d is done", s.Task, before)
		}
	}
	if sim.startedAt[s.Task.Job].IsZero() {
		sim.startedAt[s.Task.Job] = sim.now
	}
	if sim.jobs[s.Task.Job].ID == "" {
		sim.addViolation("%s starts before its job is stored", s.Task)
		return ""
	}
	step := sim.jobs[s.Task.Job].Definition.Steps[s.Task.Step]
	run := &fakeRun{order: s, allocation: allocation, startedAt: sim.now, length: sim.taskLength(s.Task), keepsCheckpoints: step.Checkpoints}
	if s.Checkpoint != "" {
		saved, err := strconv.ParseFloat(s.Checkpoint, 64)
		if err != nil {
			sim.addViolation("invalid checkpoint %q", s.Checkpoint)
		}
		run.checkpointPercent = saved
		run.length = time.Duration(float64(run.length) * (1 - saved/100))
	}
	if w.pace > 0 {
		run.length = time.Duration(float64(run.length) * w.pace)
	}
	if w.slowdown > 0 {
		run.length = time.Duration(float64(run.length) * w.slowdown)
	}
	w.running[s.Task] = run
	sim.checkQuota(sim.jobs[s.Task.Job].Tenant, step.Demand)
	sim.schedule(run.length, func() {
		if w.running[s.Task] != run || w.unreachable {
			return
		}
		kind := sim.outcome(s.Task, s.Run)
		if !sim.jobs[s.Task.Job].Definition.Steps[s.Task.Step].Gang {
			sim.endedDone[s.Task] = sim.endedDone[s.Task] || kind == job.EndDone
			w.end(s.Task, kind)
			return
		}
		run.finished = true
		sim.endGang(run, kind)
	})
	return ""
}

// checkQuota records a violation if a start brings what a tenant has running on all workers, whoever
// started it, above its limit times 1.1 and one task more.
func (sim *simulation) checkQuota(tenant string, started model.Resources) {
	at := slices.IndexFunc(sim.tenants, func(t job.Tenant) bool { return t.Name == tenant })
	if at < 0 {
		return
	}
	limit, used := sim.tenants[at].Limit, model.Resources{}
	for _, w := range sim.workers {
		for task := range w.running {
			if j := sim.jobs[task.Job]; j.Tenant == tenant && !w.unreachable {
				used = used.Add(j.Definition.Steps[task.Step].Demand)
			}
		}
	}
	exceeds := func(used, limit, task int64) bool { return limit > 0 && used > limit+limit/10+task }
	if exceeds(used.MilliCPU, limit.MilliCPU, started.MilliCPU) || exceeds(used.MemoryBytes, limit.MemoryBytes, started.MemoryBytes) {
		sim.addViolation("tenant %s has %v running, its limit is %v", tenant, used, limit)
	}
	sim.peakUse[tenant] = sim.peakUse[tenant].Max(used)
}

// ticketValidity is how long a ticket is valid, as in the queues of the specs.
const ticketValidity = 2500 * time.Millisecond

// newTicket returns a ticket for the current incarnation of a worker.
func (w *fakeWorker) newTicket(sim *simulation) string {
	return fmt.Sprintf("%d %d", w.startTime, sim.now.Add(ticketValidity).UnixMilli())
}

func (w *fakeWorker) isValidTicket(sim *simulation, ticket string) bool {
	var startTime, expires int64
	_, err := fmt.Sscan(ticket, &startTime, &expires)
	return err == nil && startTime == w.startTime && sim.now.UnixMilli() <= expires
}

// endGang ends the runs of a gang when all members have done their work, or when one has
// failed.
func (sim *simulation) endGang(run *fakeRun, kind job.EndKind) {
	type member struct {
		worker *fakeWorker
		task   job.TaskID
	}
	var members []member
	finished := 0
	for _, other := range sim.workers {
		for task, r := range other.running {
			if task.StepID == run.order.Task.StepID && r.order.Run == run.order.Run && !other.unreachable {
				members = append(members, member{other, task})
				if r.finished {
					finished++
				}
			}
		}
	}
	if kind == job.EndDone && finished < sim.jobs[run.order.Task.Job].Definition.Steps[run.order.Task.Step].Tasks {
		return
	}
	slices.SortFunc(members, func(a, b member) int { return a.task.Index - b.task.Index })
	for _, m := range members {
		switch {
		case m.task == run.order.Task || kind == job.EndDone:
			sim.endedDone[m.task] = sim.endedDone[m.task] || kind == job.EndDone
			m.worker.end(m.task, kind)
		default:
			m.worker.end(m.task, job.EndGangBroken)
		}
	}
}

// isStepDone reports whether runs of all tasks of an earlier step have ended as done.
func (sim *simulation) isStepDone(task job.TaskID, step int) bool {
	for n := range sim.jobs[task.Job].Definition.Steps[step].Tasks {
		earlier := task
		earlier.Step, earlier.Index = step, n
		if !sim.endedDone[earlier] {
			return false
		}
	}
	return true
}

// extendLease extends the lease of all runs, by maxHold at most. They end when it expires.
func (w *fakeWorker) extendLease(sim *simulation, deadline int64) {
	end := time.UnixMilli(deadline - w.clockOffset)
	if limit := sim.now.Add(maxHold); end.After(limit) {
		end = limit
	}
	if !end.After(w.leaseEnd) {
		return
	}
	w.leaseEnd = end
	startTime := w.startTime
	sim.schedule(end.Sub(sim.now), func() {
		if w.startTime != startTime || sim.now.Before(w.leaseEnd) {
			return
		}
		w.lapsedEnd = w.lastEnd
		for task := range w.running {
			w.end(task, job.EndLapsed)
		}
	})
}

func (w *fakeWorker) end(task job.TaskID, kind job.EndKind) {
	run := w.running[task]
	delete(w.running, task)
	w.lastEnd++
	w.endedRuns = append(w.endedRuns, job.EndedRun{Number: w.lastEnd, Task: task, Run: run.order.Run, Kind: kind})
	if waiting := w.answerPoll; waiting != nil {
		w.answerPoll = nil
		waiting()
	}
}

func (sim *simulation) executeStop(l *leader, s dispatch.StopRun, applyIfLeading func(any)) {
	w := sim.workers[s.Worker.ID]
	answer := dispatch.StopAnswered{Worker: s.Worker.ID, Token: s.Token, Task: s.Task, Run: s.Run}
	if late := sim.orderDelay(s.Worker.ID); late > 0 {
		underway := l.canReach(w)
		sim.schedule(late, func() {
			if underway && !w.unreachable && !w.replaced && s.Token >= w.token {
				w.stop(s)
			}
		})
		sim.schedule(orderTimeout, func() {
			answer.Err = errors.New("no answer")
			applyIfLeading(answer)
		})
		return
	}
	if !l.canReach(w) {
		sim.schedule(orderTimeout, func() {
			answer.Err = errors.New("no answer")
			applyIfLeading(answer)
		})
		return
	}
	if w.replaced {
		answer.Err = errors.New("wrong incarnation")
		applyIfLeading(answer)
		return
	}
	if s.Token < w.token {
		answer.Rejection = job.RejectedStaleToken
		applyIfLeading(answer)
		return
	}
	w.stop(s)
	applyIfLeading(answer)
}

func (w *fakeWorker) stop(s dispatch.StopRun) {
	w.stopped[s.Task] = max(w.stopped[s.Task], s.Run)
	if r := w.running[s.Task]; r != nil && r.order.Run == s.Run {
		w.end(s.Task, job.EndStopped)
	}
}

func (sim *simulation) executeRead(l *leader, r dispatch.ReadWorker, applyIfLeading func(any)) {
	sentAt := sim.now
	w := sim.workers[r.Worker.ID]
	answer := func() {
		reading := job.WorkerSnapshot{
			Clock: w.clock(sim), StartTime: w.startTime, Ended: slices.Clone(w.endedRuns[:min(len(w.endedRuns), maxListedEnds)]),
			MoreEnds: len(w.endedRuns) >= maxListedEnds,
		}
		for _, run := range w.running {
			running := job.ActiveRun{
				Task: run.order.Task, Run: run.order.Run, Percent: run.percent(sim.now), Checkpoint: run.checkpoint(sim.now),
			}
			if sim.serviceTail != nil && sim.jobs[run.order.Task.Job].Definition.Steps[run.order.Task.Step].LongRunning {
				running.TailMillisecondsOrMilliCPU = sim.serviceTail(w)
			}
			reading.Running = append(reading.Running, running)
		}
		delay := networkDelay
		if w.readTerm < l.term {
			w.readTerm = l.term
			delay += sim.firstReadDelay(r.Worker.ID)
		}
		sim.schedule(delay, func() {
			if w.readLives == nil {
				w.readLives = map[int]int64{}
			}
			w.readLives[l.term] = reading.StartTime
			applyIfLeading(dispatch.WorkerReading{ID: r.Worker.ID, Token: r.Token, SentAt: sentAt, Reading: reading})
		})
	}
	wait := time.Duration(0)
	switch {
	case r.ShortWait:
		wait = shortPollWait
	case r.LongPoll:
		wait = longPollWait
	}
	if late := sim.orderDelay(r.Worker.ID); late > 0 {
		underway := l.canReach(w)
		sim.schedule(late, func() {
			if underway && !w.unreachable && !w.replaced && r.Token >= w.token {
				w.hold(sim, r)
			}
		})
		sim.schedule(wait+readTimeout, func() {
			applyIfLeading(dispatch.WorkerReading{ID: r.Worker.ID, Token: r.Token, SentAt: sentAt, Err: errors.New("no answer")})
		})
		return
	}
	sim.schedule(networkDelay, func() {
		if !l.canReach(w) {
			sim.schedule(wait+readTimeout, func() {
				applyIfLeading(dispatch.WorkerReading{ID: r.Worker.ID, Token: r.Token, SentAt: sentAt, Err: errors.New("no answer")})
			})
			return
		}
		if w.replaced {
			applyIfLeading(dispatch.WorkerReading{ID: r.Worker.ID, Token: r.Token, SentAt: sentAt, Replaced: true, Err: errors.New("wrong incarnation")})
			return
		}
		if r.Token < w.token {
			applyIfLeading(dispatch.WorkerReading{ID: r.Worker.ID, Token: r.Token, SentAt: sentAt, Reading: job.WorkerSnapshot{Rejection: job.RejectedStaleToken}})
			return
		}
		w.hold(sim, r)
		if !r.LongPoll || len(w.endedRuns) > 0 {
			answer()
			return
		}
		done, startTime := false, w.startTime
		answerOnce := func() {
			if done {
				return
			}
			done = true
			if !l.canReach(w) || w.startTime != startTime {
				sim.schedule(readTimeout, func() {
					applyIfLeading(dispatch.WorkerReading{ID: r.Worker.ID, Token: r.Token, SentAt: sentAt, Err: errors.New("no answer")})
				})
				return
			}
			answer()
		}
		w.answerPoll = answerOnce
		sim.schedule(wait, answerOnce)
	})
}

// hold executes the part of a reading that changes the worker.
func (w *fakeWorker) hold(sim *simulation, r dispatch.ReadWorker) {
	w.token = r.Token
	if r.Deadline != 0 {
		w.extendLease(sim, r.Deadline)
	}
	w.endedRuns = slices.DeleteFunc(w.endedRuns, func(e job.EndedRun) bool {
		if e.Number <= r.AcknowledgedEnd && e.Kind == job.EndDone && e.Number > w.lapsedEnd {
			sim.acknowledged[e.Task] = true
		}
		return e.Number <= r.AcknowledgedEnd
	})
}

// restart starts a new incarnation of a worker under its ID, whose clock begins anew.
func (w *fakeWorker) restart(now time.Time) {
	w.startTime++
	w.worker.StartTime = w.startTime
	w.clockOffset = firstClock - now.UnixMilli()
	w.running, w.stopped, w.endedRuns = map[job.TaskID]*fakeRun{}, map[job.TaskID]int64{}, nil
	w.lastEnd, w.token, w.lapsedEnd = 0, 0, 0
	w.leaseEnd = time.Time{}
	w.unreachable = false
}
