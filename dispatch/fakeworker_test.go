package dispatch_test

import (
	"math"
	"slices"
	"strconv"
	"time"

	"github.com/go-faster/errors"

	"fuchsiacross/dispatch"
	"fuchsiacross/job"
	"fuchsiacross/model"
)

type fakeWorker struct {
	worker  job.Worker
	token   int64
	born    int64
	offset  int64 // of its clock
	holdEnd time.Time
	running map[job.TaskID]*fakeRun
	stopped map[job.TaskID]int64
	ended   []job.EndedRun
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
		return job.RejectedStaleToken
	case w.clock(c) > s.Deadline:
		return job.RejectedDeadline
	case w.stopped[s.Task] >= s.Run:
		return job.RejectedStaleRun
	}
	w.token = token
	w.extend(c, s.Deadline)
	room := c.jobs[s.Task.Job].Definition.Steps[s.Task.Step].Allocation()
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
			if e.Task == s.Task && e.Kind == job.EndDone && e.Number > other.lapsed {
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
	w.ended = append(w.ended, job.EndedRun{Number: w.number, Task: task, Run: run.order.Run, Kind: how})
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
		answer.Rejection = job.RejectedStaleToken
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
		reading := job.WorkerSnapshot{Clock: w.clock(c), StartTime: w.born, Ended: slices.Clone(w.ended)}
		for _, run := range w.running {
			running := job.ActiveRun{
				Task: run.order.Task, Run: run.order.Run, Percent: run.percent(c.now), Checkpoint: run.checkpoint(c.now),
			}
			if c.tail != nil && c.jobs[run.order.Task.Job].Definition.Steps[run.order.Task.Step].LongRunning {
				running.TailMillisecondsOrMilliCPU = c.tail(w)
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
	case r.ShortWait:
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
			live(dispatch.WorkerReading{ID: r.Worker.ID, SentAt: sentAt, Reading: job.WorkerSnapshot{Rejection: job.RejectedStaleToken}})
			return
		}
		w.token = token
		if r.Deadline != 0 {
			w.extend(c, r.Deadline)
		}
		w.ended = slices.DeleteFunc(w.ended, func(e job.EndedRun) bool { return e.Number <= r.AcknowledgedEnd })
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
