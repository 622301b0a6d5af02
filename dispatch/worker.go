package dispatch

import (
	"slices"
	"time"

	"fuchsiacross/job"
	"fuchsiacross/model"
)

// worker is a worker with what runs on it.
type worker struct {
	worker    job.Worker
	listed    bool // registered
	enrolled  bool // stored as one that takes runs
	inherited bool // enrolled by a predecessor, which may have started runs here
	used      model.Resources
	runs      map[runKey]*run
	born      int64
	clock     int64     // reading of its clock
	clockAt   time.Time // when that reading arrived; zero before the first
	known     bool      // read under this leader's token
	leaseEnd  time.Time // until when its runs may go on, by the leader's clock
	health    health
	pace      pace
	filling   filling
	strays    map[runKey]stray

	processed int64     // ends up to this number are in the jobs' state
	seen      int64     // ends up to this number are saved
	readings  int       // open ones
	urgent    bool      // something is to be found out without waiting for an end
	readAt    time.Time // earliest time of the next reading
	failing   bool      // the last reading failed

	// Of the current pass.
	open       bool            // takes runs
	unreliable bool            // leaves orders unanswered
	suspect    bool            // may fail what it starts
	standing   standing        // as last noted
	roomLeft   model.Resources // not used and not promised

	reservedFor *stepState // a blocked step that it is kept for, or nil
	reserved    time.Time  // until when
}

func compareWorker(w *worker, id job.WorkerID) int { return compare(w.worker.ID, id) }

type runKey struct {
	task job.TaskID
	run  int64
}

// deadline converts a time to a reading of the worker's clock that is not later.
func (w *worker) deadline(at time.Time) int64 {
	return w.clock + at.Sub(w.clockAt).Milliseconds()
}

func (w *worker) free() model.Resources { return w.worker.Capacity.Sub(w.used) }

func (r *Reducer) list(listed job.Worker) {
	w := r.addWorker(listed)
	if !w.listed {
		r.note(Note{Kind: NoteWorkerFound, Worker: listed.ID, Detail: listed.String()})
	}
	if listed.Address != w.worker.Address {
		w.readAt = r.now
		r.enrolling[w] = struct{}{}
	}
	if !w.enrolled {
		r.enrolling[w] = struct{}{}
	}
	w.worker, w.listed = listed, true
	r.changed = true
}

// addWorker returns the state of a worker and makes it if necessary.
func (r *Reducer) addWorker(added job.Worker) *worker {
	w := r.workers[added.ID]
	if w == nil {
		w = &worker{worker: added, runs: map[runKey]*run{}}
		r.workers[added.ID] = w
		at, _ := slices.BinarySearchFunc(r.ordered, added.ID, compareWorker)
		r.ordered = slices.Insert(r.ordered, at, w)
	}
	return w
}

func (r *Reducer) unlist(id job.WorkerID) {
	w := r.workers[id]
	if w == nil {
		return
	}
	w.listed = false
	r.note(Note{Kind: NoteWorkerLost, Worker: id, Detail: "its registration is gone"})
	r.forget(w)
}

// forget dismisses a worker that does not answer and holds no run, so that no
// later leader waits for it; it is enrolled again before its next run. If it is not
// listed either, it is dropped. A worker that this leader has not read may hold a
// run of its predecessor for a while.
func (r *Reducer) forget(w *worker) {
	if !w.failing || len(w.runs) > 0 || w.processed != w.seen || !w.known && r.mayRun(w) {
		return
	}
	if w.enrolled {
		w.enrolled, w.inherited = false, false
		r.dismissed = append(r.dismissed, w.worker.ID)
	}
	if w.listed {
		return
	}
	delete(r.workers, w.worker.ID)
	delete(r.enrolling, w)
	w.open = false
	if at, found := slices.BinarySearchFunc(r.ordered, w.worker.ID, compareWorker); found {
		r.ordered = slices.Delete(r.ordered, at, at+1)
	}
}

// readWorkers reads the workers that are due.
func (r *Reducer) readWorkers() {
	if !r.loaded || r.now.Sub(r.readsAt) < readScan {
		return
	}
	r.readsAt = r.now
	for _, w := range r.ordered {
		urgent := w.urgent && !w.failing && w.readings < maxReadings
		// An answer may be missing while the worker is well, so a failing worker is
		// asked again before the last reading is given up.
		again := w.failing && w.readings < maxReadings
		if !urgent && (w.readings > 0 && !again || r.now.Before(w.readAt)) {
			continue
		}
		unsaved := w.processed > w.seen
		if !urgent && unsaved && !w.failing && r.now.Sub(w.clockAt) < unsavedWait {
			continue
		}
		read := ReadWorker{Worker: w.worker, AcknowledgedEnd: w.seen, LongPoll: !urgent && !unsaved && w.known && !w.failing}
		if read.LongPoll && (w.unreliable || r.overdue(w) || w.shared()) {
			read.ShortWait = true
		}
		w.urgent = false
		if w.failing || !w.known {
			// The worker may have begun a new life, with ends numbered anew.
			read.AcknowledgedEnd = 0
		}
		if w.known && !w.failing && len(w.runs) > 0 && r.authorised() {
			end := r.leaseEnd()
			read.Deadline = w.deadline(end)
			w.extend(r.now, end)
		}
		if w.failing {
			w.readAt = r.now.Add(readRetry)
		}
		w.readings++
		r.effects.Reads = append(r.effects.Reads, read)
	}
}

// maxReadings bounds the open readings of one worker.
const maxReadings = 3

// overdue reports whether most runs of a worker are past their estimates, so that
// their progress is of interest.
func (r *Reducer) overdue(w *worker) bool {
	late := 0
	for _, run := range w.runs {
		if !run.step.step.LongRunning && r.now.Sub(run.orderedAt) > time.Duration(overdueFactor*float64(run.step.expected())) {
			late++
		}
	}
	return late > 0 && late*2 >= len(w.runs)
}

// overdueFactor: estimates are off by half.
const overdueFactor = 1.5

// readScan is between two looks for workers whose reading is due.
const readScan = 5 * time.Millisecond

// unsavedWait bounds how long a reading waits for a save, because a reading
// returns at once while it lists ends.
const unsavedWait = 400 * time.Millisecond

func (w *worker) extend(now, end time.Time) {
	if limit := now.Add(withSlack(end.Sub(now))); limit.After(w.leaseEnd) {
		w.leaseEnd = limit
	}
}

func (r *Reducer) read(e WorkerReading) {
	w := r.workers[e.ID]
	if w == nil {
		return
	}
	w.readings--
	if e.Err != nil && w.known && e.SentAt.Before(w.clockAt) {
		// A later reading has been answered.
		return
	}
	if e.Err != nil {
		if !w.failing {
			r.note(Note{Kind: NoteWorkerLost, Worker: e.ID, Detail: e.Err.Error()})
		}
		if w.readings == 0 || !w.failing {
			w.readAt = r.now
		}
		w.failing = true
		if e.Replaced {
			w.known = true
			r.vanishAll(w, e.SentAt, "another life answers at its worker's address")
		}
		r.breakGangs(w)
		r.forget(w)
		return
	}
	if e.Reading.Rejection == job.RejectedStaleToken {
		r.effects.LeadershipLost = true
		return
	}
	if w.failing {
		r.note(Note{Kind: NoteWorkerFound, Worker: e.ID})
		if !w.enrolled && w.listed {
			r.enrolling[w] = struct{}{}
		}
	}
	w.failing = false
	if w.born == e.Reading.StartTime && e.Reading.Clock < w.clock {
		// A newer answer has overtaken this one.
		return
	}
	w.clock, w.clockAt = e.Reading.Clock, r.now
	if w.born != e.Reading.StartTime {
		r.rebirth(w, e)
	}
	slices.SortFunc(e.Reading.Ended, func(a, b job.EndedRun) int { return compare(a.Number, b.Number) })
	wait := readGap
	for _, end := range e.Reading.Ended {
		if end.Number <= w.processed {
			continue
		}
		if r.jobs[end.Task.Job] == nil && r.now.Sub(r.loadedAt) < strayGrace {
			// The end would be forgotten before its job is known.
			wait = strayWait
			break
		}
		w.processed = end.Number
		r.ended(w, end)
	}
	r.running(w, e)
	r.holdFillers(w)
	w.known = true
	if w.processed > w.seen && len(r.dirty) == 0 && r.saveMarks == nil {
		// None of the ends changed what is durable.
		w.seen = w.processed
	}
	if len(e.Reading.Ended) == 0 {
		w.readAt = r.now
	} else {
		w.readAt = r.now.Add(wait)
	}
	r.changed = true
}

const (
	// readGap gathers ends: a reading is answered as soon as there is one.
	readGap = 10 * time.Millisecond
	// strayWait is the same while a worker lists ends of jobs that are not known.
	strayWait = 150 * time.Millisecond
)

// rebirth forgets what a worker did before its restart.
func (r *Reducer) rebirth(w *worker, e WorkerReading) {
	if w.born != 0 {
		r.note(Note{Kind: NoteWorkerRestarted, Worker: e.ID})
	}
	w.born, w.processed, w.seen = e.Reading.StartTime, 0, 0
	w.health, w.pace, w.filling, w.strays = health{}, pace{}, filling{}, nil
	listed := map[runKey]bool{}
	for _, running := range e.Reading.Running {
		listed[runKey{running.Task, running.Run}] = true
	}
	for key, run := range w.runs {
		if !listed[key] && run.orderedAt.Before(e.SentAt) {
			r.vanish(run, "its worker has restarted")
		}
	}
}

// vanishAll ends the runs of a worker that were ordered before a time.
func (r *Reducer) vanishAll(w *worker, before time.Time, reason string) {
	for _, run := range w.runs {
		if run.orderedAt.Before(before) {
			r.vanish(run, reason)
		}
	}
}

// running compares a worker's list of runs with what is believed.
func (r *Reducer) running(w *worker, e WorkerReading) {
	listed := make(map[runKey]bool, len(e.Reading.Running))
	for _, running := range e.Reading.Running {
		key := runKey{running.Task, running.Run}
		listed[key] = true
		known := w.runs[key]
		if known == nil {
			r.adopt(w, running)
			continue
		}
		known.missed, known.unknownAt = 0, time.Time{}
		known.step.job.begun = true
		if known.present.IsZero() {
			known.present = r.now
		}
		known.tailMilliseconds = running.TailMillisecondsOrMilliCPU
		r.observeProgress(known, running.Percent)
		if running.Checkpoint != "" {
			known.step.keepCheckpoint(running.Task.Index, running.Checkpoint, running.Percent)
		}
	}
	for key := range w.strays {
		if !listed[key] {
			delete(w.strays, key)
		}
	}
	for key, run := range w.runs {
		if listed[key] {
			continue
		}
		switch {
		case !run.stopDone.IsZero() && run.stopDone.Before(e.SentAt):
			r.vanish(run, "stopped before it started")
		case !run.unknownAt.IsZero() && run.unknownAt.Before(e.SentAt) && !run.stopping:
			r.stop(run)
		case !run.present.IsZero() && run.present.Before(e.SentAt):
			run.missed++
			if run.missed > missedReadings {
				r.stop(run)
			}
		}
	}
}

// missedReadings is how many readings may omit a run before it is given up.
const missedReadings = 2

// vanish ends a run without a report of its worker.
func (r *Reducer) vanish(run *run, reason string) {
	r.note(Note{
		Kind: NoteRunGivenUp, Job: run.task.Job, Task: run.task, Run: run.number,
		Worker: run.worker.worker.ID, Detail: reason,
	})
	r.drop(run)
	r.settleGang(run.step)
	r.openStep(run.step)
}

// drop frees what a run holds.
func (r *Reducer) drop(run *run) {
	key := runKey{run.task, run.number}
	w := run.worker
	if w.runs[key] != run {
		return
	}
	delete(w.runs, key)
	w.used = w.used.Sub(run.step.step.Allocation())
	if task := &run.step.tasks[run.task.Index]; task.run == run {
		task.run = nil
	}
	r.changed = true
}

// stop ends a run, once.
func (r *Reducer) stop(run *run) {
	if run.stopping {
		return
	}
	run.stopping = true
	r.sendStop(run)
}

func (r *Reducer) sendStop(run *run) {
	run.stopSent = r.now
	r.effects.Stops = append(r.effects.Stops, StopRun{Worker: run.worker.worker, Task: run.task, Run: run.number})
}

// breakGangs stops the gangs that wait for a member on a worker that does not
// answer: the member can be replaced only when the worker's lease has lapsed.
func (r *Reducer) breakGangs(w *worker) {
	for _, run := range w.runs {
		if s := run.step; s.step.Gang && run.present.IsZero() && !run.stopping {
			r.stopStep(s)
		}
	}
}

// stopStep stops all runs of a step.
func (r *Reducer) stopStep(s *stepState) {
	for i := range s.tasks {
		if run := s.tasks[i].run; run != nil {
			r.stop(run)
		}
	}
}

func (r *Reducer) tickWorker(w *worker) {
	if !w.failing && r.authorised() {
		r.rescue(w)
		if w.worker.Leaving && !w.worker.LeavesAt.IsZero() {
			r.evacuate(w)
		}
	}
	for _, run := range w.runs {
		if run.stopping && run.stopDone.IsZero() && r.now.Sub(run.stopSent) > stopRetry {
			r.sendStop(run)
		}
	}
	if w.failing && r.now.After(w.leaseEnd) {
		r.vanishAll(w, r.now, "the lease of its worker has lapsed")
	}
	r.forget(w)
}
