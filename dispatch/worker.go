package dispatch

import (
	"slices"
	"time"

	"fuchsiacross/job"
	"fuchsiacross/model"
	"fuchsiacross/runtimes"
)

// worker is the leader's view of a worker and its runs.
type worker struct {
	registration      job.Worker
	registered        bool  // its registration exists
	enrolled          bool  // its enrolment is stored
	enrolledStartTime int64 // start time of the incarnation that it is enrolled with
	enrolledStray     bool  // Enrolment.StrayLease of its enrolment
	inherited         bool  // enrolled by a predecessor, which may have started runs here
	used              model.Resources
	runs              map[runKey]*run
	startTime         int64
	incarnationAt     time.Time    // when its incarnation was first read; zero before
	clock             int64        // latest reading of its clock, in milliseconds
	clockAt           time.Time    // when that reading arrived; zero before the first
	wasRead           bool         // with this leader's token
	fencedStartTime   int64        // start time of the incarnation that has answered with the current token
	listedAt          time.Time    // when a reading first listed all its runs, active and ended; zero before
	moreEnds          bool         // the last reading left ends out
	unknownEnds       []unknownEnd // of jobs that are not known, in the last reading
	leaseEnd          time.Time    // until when its runs may continue, by the leader's clock
	strayLeaseEnd     time.Time    // until when orders for earlier incarnations may have extended it
	health            health
	pace              runtimes.Pace
	speed             *runtimes.Speed
	fillerThrottle    fillerThrottle
	orphans           map[runKey]orphanRun

	processedEnd int64     // ends up to this number are applied to the jobs
	savedEnd     int64     // ends up to this number are saved
	openReadings int       // readings without an answer
	readSoon     bool      // the next reading must not wait for an end
	nextReadAt   time.Time // earliest time of the next reading
	unreachable  bool      // the last reading failed

	// State of the current pass.
	acceptsRuns bool            // can get new runs
	unreliable  bool            // leaves orders unanswered
	suspect     bool            // jobs fail on it
	healthState healthState     // as last logged
	uncommitted model.Resources // capacity that is neither used nor set aside

	// Sort keys of the last sort by free processors: the free processors and the position in
	// the order of the IDs.
	sortedFreeCPU int64
	position      int

	reservedFor   *stepState // a blocked step that it is reserved for, or nil
	reservedUntil time.Time
}

func compareWorker(w *worker, id job.WorkerID) int { return compare(w.registration.ID, id) }

type runKey struct {
	task job.TaskID
	run  int64
}

// fence returns the token of orders to a worker. Orders of earlier tokens that are still on
// their way are refused once the worker has executed one with this token.
func (r *Reducer) fence(w *worker) int64 {
	return r.token + min(r.usedTokens[w.registration.ID], TokensPerTerm-1)
}

// isDeposed reports whether a rejection shows that another leader has ordered with a higher
// token. An order from before the worker's restart is fenced by this leader's later ones.
func (r *Reducer) isDeposed(w *worker, rejection job.Rejection, token int64) bool {
	return rejection == job.RejectedStaleToken && token >= r.fence(w)
}

// toWorkerClock converts a time to milliseconds of the worker's clock. The result is never too
// late, because the worker read its clock before clockAt.
func (w *worker) toWorkerClock(at time.Time) int64 {
	return w.clock + at.Sub(w.clockAt).Milliseconds()
}

func (w *worker) free() model.Resources { return w.registration.Capacity.Sub(w.used) }

// registerWorker records a registration and enrolls the worker if necessary.
func (r *Reducer) registerWorker(registration job.Worker) {
	w := r.addWorker(registration)
	if !w.registered {
		r.addNote(Note{Kind: NoteWorkerReachable, Worker: registration.ID, Detail: registration.String()})
	}
	if registration.Address != w.registration.Address {
		w.nextReadAt = r.now
		r.enrolling[w] = struct{}{}
	}
	if !w.enrolled {
		r.enrolling[w] = struct{}{}
	}
	if w.wasRead && !slices.Equal(registration.Labels, w.registration.Labels) {
		// A new incarnation may be of another kind, which other steps may run on.
		r.forgetAdviceOn(w)
	}
	w.registration, w.registered = registration, true
	w.describeSpeed()
	r.needsPass = true
}

// addWorker returns the state of a worker and creates it if necessary.
func (r *Reducer) addWorker(added job.Worker) *worker {
	w := r.workers[added.ID]
	if w == nil {
		w = &worker{registration: added, runs: map[runKey]*run{}, speed: r.speeds.Join(added.ID)}
		w.describeSpeed()
		r.workers[added.ID] = w
		at, _ := slices.BinarySearchFunc(r.sortedWorkers, added.ID, compareWorker)
		r.sortedWorkers = slices.Insert(r.sortedWorkers, at, w)
	}
	return w
}

func (r *Reducer) unregisterWorker(id job.WorkerID) {
	w := r.workers[id]
	if w == nil {
		return
	}
	w.registered = false
	r.addNote(Note{Kind: NoteWorkerUnreachable, Worker: id, Detail: "its registration is gone"})
	r.dropIfUnused(w)
}

// dropIfUnused unenrolls a worker that does not answer and has no runs, so that no later
// leader waits for it. It is enrolled again before its next run. If it is not registered
// either, its state is dropped. A worker that this leader has not read may still have runs of
// a predecessor and is kept for a while, one with runs or ends of unknown jobs until the stored
// jobs have been read.
func (r *Reducer) dropIfUnused(w *worker) {
	if !w.unreachable || len(w.runs) > 0 || w.processedEnd != w.savedEnd || r.mayHavePredecessorRuns(w) || r.awaitsJobs(w) {
		return
	}
	if w.enrolled {
		w.enrolled, w.inherited, w.enrolledStartTime = false, false, 0
		r.unenrolling = append(r.unenrolling, w.registration.ID)
	}
	if w.registered {
		return
	}
	r.usedTokens[w.registration.ID]++ // it may return as another incarnation
	r.forgetAdviceOn(w)
	delete(r.workers, w.registration.ID)
	r.speeds.Leave(w.registration.ID)
	delete(r.enrolling, w)
	w.acceptsRuns = false
	if at, found := slices.BinarySearchFunc(r.sortedWorkers, w.registration.ID, compareWorker); found {
		r.sortedWorkers = slices.Delete(r.sortedWorkers, at, at+1)
	}
}

// readWorkers sends the readings that are due.
func (r *Reducer) readWorkers() {
	if !r.loaded || r.now.Sub(r.lastReadScanAt) < readScanInterval {
		return
	}
	r.lastReadScanAt = r.now
	for _, w := range r.sortedWorkers {
		urgent := w.readSoon && !w.unreachable && w.openReadings < maxOpenReadings
		// An answer may be lost although the worker is healthy, so an unreachable worker is
		// read again before the previous reading times out.
		retry := w.unreachable && w.openReadings < maxOpenReadings
		if !urgent && (w.openReadings > 0 && !retry || r.now.Before(w.nextReadAt)) {
			continue
		}
		unsaved := w.processedEnd > w.savedEnd
		if !urgent && unsaved && !w.unreachable && r.now.Sub(w.clockAt) < unsavedReadDelay {
			continue
		}
		read := ReadWorker{Worker: w.registration, Token: r.fence(w), AcknowledgedEnd: w.savedEnd, LongPoll: !urgent && !unsaved && w.wasRead && !w.unreachable}
		if read.LongPoll && (w.unreliable || r.hasOverdueRuns(w) || w.hasServicesAndFillers()) {
			read.ShortWait = true
		}
		w.readSoon = false
		if w.unreachable || !w.wasRead {
			// The worker may have restarted and number its ends anew.
			read.AcknowledgedEnd = 0
		}
		if w.wasRead && !w.unreachable && len(w.runs)+len(w.orphans) > 0 && r.isAuthorised() {
			end := r.leaseEnd()
			read.Deadline = w.toWorkerClock(end)
			w.extendLease(r.now, end)
		}
		if w.unreachable {
			w.nextReadAt = r.now.Add(readRetryInterval)
		}
		w.openReadings++
		r.effects.Reads = append(r.effects.Reads, read)
	}
}

// maxOpenReadings limits the concurrent readings of one worker.
const maxOpenReadings = 3

// hasOverdueRuns reports whether at least half of a worker's runs exceed their estimates, so
// that their progress has to be watched.
func (r *Reducer) hasOverdueRuns(w *worker) bool {
	late := 0
	for _, run := range w.runs {
		if !run.step.step.LongRunning && r.now.Sub(run.orderedAt) > time.Duration(overdueThreshold*float64(run.step.expectedLength())) {
			late++
		}
	}
	return late > 0 && late*2 >= len(w.runs)
}

// overdueThreshold is the ratio to the expected length above which a run is overdue; estimates
// are off by half.
const overdueThreshold = 1.5

// readScanInterval is the time between two searches for workers whose reading is due.
const readScanInterval = 5 * time.Millisecond

// unsavedReadDelay limits how long a reading waits for a save. A worker answers at once while
// it lists ends.
const unsavedReadDelay = 400 * time.Millisecond

// extendLease extends the time until which the worker's runs may continue.
func (w *worker) extendLease(now, end time.Time) {
	if limit := now.Add(withClockMargin(end.Sub(now))); limit.After(w.leaseEnd) {
		w.leaseEnd = limit
	}
}

// handleReading processes the answer to a reading, or its failure.
func (r *Reducer) handleReading(e WorkerReading) {
	w := r.workers[e.ID]
	if w == nil {
		return
	}
	w.openReadings--
	if e.Err != nil && w.wasRead && e.SentAt.Before(w.clockAt) {
		// A later reading has been answered.
		return
	}
	if e.Err != nil {
		if !w.unreachable {
			r.addNote(Note{Kind: NoteWorkerUnreachable, Worker: e.ID, Detail: e.Err.Error()})
		}
		if w.openReadings == 0 || !w.unreachable {
			w.nextReadAt = r.now
		}
		w.unreachable = true
		if e.Replaced {
			w.wasRead, w.moreEnds = true, false
			r.markListed(w)
			for _, run := range w.runs {
				if run.orderedAt.Before(e.SentAt) {
					r.markGone(run, "another incarnation answers at the worker's address")
				}
			}
		}
		r.stopIncompleteGangs(w)
		r.dropIfUnused(w)
		return
	}
	if e.Reading.Rejection == job.RejectedStaleToken {
		r.effects.LeadershipLost = r.effects.LeadershipLost || r.isDeposed(w, e.Reading.Rejection, e.Token)
		return
	}
	if w.startTime != 0 && w.startTime != e.Reading.StartTime && e.Token < r.fence(w) {
		// An answer of an earlier incarnation has been overtaken.
		return
	}
	if w.unreachable {
		r.addNote(Note{Kind: NoteWorkerReachable, Worker: e.ID})
		if !w.enrolled && w.registered {
			r.enrolling[w] = struct{}{}
		}
	}
	w.unreachable = false
	if w.startTime == e.Reading.StartTime && e.Reading.Clock < w.clock {
		// A later answer has overtaken this one.
		return
	}
	w.clock, w.clockAt = e.Reading.Clock, r.now
	if w.startTime != e.Reading.StartTime {
		r.handleRestart(w, e)
	}
	slices.SortFunc(e.Reading.Ended, func(a, b job.EndedRun) int { return compare(a.Number, b.Number) })
	delay := endsReadDelay
	unknownBefore := w.unknownEnds
	w.unknownEnds = nil
	for _, end := range e.Reading.Ended {
		if end.Number <= w.processedEnd {
			continue
		}
		if r.jobs[end.Task.Job] == nil {
			since := unknownSince(unknownBefore, end.Number, r.now)
			if !r.jobsReadAt.After(since) {
				// The worker would forget the end before its job is known. Later ends are
				// applied with each reading until then.
				w.unknownEnds = append(w.unknownEnds, unknownEnd{end, since})
				continue
			}
		}
		if w.unknownEnds == nil {
			w.processedEnd = end.Number
		}
		r.handleEnd(w, end)
	}
	if w.unknownEnds != nil {
		delay = unknownJobReadDelay
	}
	w.moreEnds = e.Reading.MoreEnds
	r.reconcileRuns(w, e)
	r.throttleFillers(w)
	if e.Token == r.fence(w) {
		r.recordFence(w)
		w.wasRead = true
		if !w.moreEnds {
			r.markListed(w)
		}
	}
	if w.processedEnd > w.savedEnd && !r.hasUnsavedProgress() && r.saveMarks == nil {
		// None of the ends changed the durable state.
		w.savedEnd = w.processedEnd
	}
	if len(e.Reading.Ended) == 0 {
		w.nextReadAt = r.now
	} else {
		w.nextReadAt = r.now.Add(delay)
	}
	r.needsPass = true
}

const (
	// endsReadDelay lets ends accumulate: a worker answers a reading as soon as there is one.
	endsReadDelay = 10 * time.Millisecond
	// unknownJobReadDelay is the same while a worker lists ends of unknown jobs.
	unknownJobReadDelay = 150 * time.Millisecond
)

// handleRestart discards the state of the previous incarnation of a worker. Its runs are given
// up after a reading with a new token: until then, a start that is still on its way may be
// executed by this incarnation.
func (r *Reducer) handleRestart(w *worker, e WorkerReading) {
	if w.startTime != 0 {
		r.addNote(Note{Kind: NoteWorkerRestarted, Worker: e.ID})
		r.usedTokens[e.ID]++
		w.wasRead, w.readSoon = false, true
	}
	r.awaitConfirmation(r.now)
	w.speed.Restart(e.Reading.StartTime)
	w.startTime, w.incarnationAt, w.processedEnd, w.savedEnd = e.Reading.StartTime, r.now, 0, 0
	w.health, w.pace, w.fillerThrottle, w.orphans, w.unknownEnds = health{}, runtimes.Pace{}, fillerThrottle{}, nil, nil
}

// markListed records that all runs of the worker are known, or are gone with it.
func (r *Reducer) markListed(w *worker) {
	if w.listedAt.IsZero() {
		w.listedAt = r.now
		r.awaitConfirmation(r.now)
	}
}

// markGone records that the incarnation of the worker that had the run is gone.
func (r *Reducer) markGone(run *run, reason string) {
	if run.goneAt.IsZero() {
		run.goneAt, run.goneReason = r.now, reason
		r.awaitConfirmation(r.now)
	}
}

// giveUpEndedRuns gives up the runs that have ended with the lease or the incarnation of their
// worker. A successor may have acknowledged their ends before; a later confirmation rules that
// out.
func (r *Reducer) giveUpEndedRuns(w *worker) {
	for _, run := range w.runs {
		end := r.latestEnd(run)
		if w.unreachable && r.now.After(end) {
			r.awaitConfirmation(end)
		}
		switch {
		case r.startInTransit(run):
		case !run.goneAt.IsZero() && r.confirmedAt.After(run.goneAt):
			r.giveUpRun(run, run.goneReason)
		case w.unreachable && r.confirmedAt.After(end):
			r.giveUpRun(run, "the worker's lease has expired")
		}
	}
}

// reconcileRuns compares the runs that a worker lists with those that the leader expects.
func (r *Reducer) reconcileRuns(w *worker, e WorkerReading) {
	listed := make(map[runKey]bool, len(e.Reading.Running))
	for _, running := range e.Reading.Running {
		key := runKey{running.Task, running.Run}
		listed[key] = true
		known := w.runs[key]
		if known == nil {
			r.adoptRun(w, running)
			continue
		}
		known.missedReadings, known.unknownAt, known.goneAt = 0, time.Time{}, time.Time{}
		known.step.job.started = true
		r.confirmRun(known)
		w.health.observeService(r.now, known)
		if r.hasSurvivedStop(known) {
			known.stopAnsweredAt = time.Time{}
			r.sendStop(known)
		}
		known.tailMilliseconds = running.TailMillisecondsOrMilliCPU
		r.observeProgress(known, running.Percent)
		if running.Checkpoint != "" {
			known.step.recordCheckpoint(running.Task.Index, running.Checkpoint, running.Percent)
		}
	}
	for key := range w.orphans {
		if !listed[key] {
			delete(w.orphans, key)
		}
	}
	if e.Reading.MoreEnds || e.Token < r.fence(w) {
		// A run that is not listed may have ended, or may still start.
		return
	}
	for key, run := range w.runs {
		if listed[key] {
			continue
		}
		switch {
		case r.startInTransit(run):
			if run.step.step.Gang && run.isUnansweredAt(e.SentAt) {
				// The other members would wait for it in vain.
				r.stopStep(run.step)
			}
		case run.inherited:
			r.markGone(run, "the predecessor's start cannot be executed any more")
		case run.token < e.Token:
			r.markGone(run, "the worker has restarted")
		case !run.stopAnsweredAt.IsZero() && run.stopAnsweredAt.Before(e.SentAt):
			r.giveUpRun(run, "stopped before it started")
		case run.isUnansweredAt(e.SentAt):
			// Its start may still be executed by this incarnation.
			r.stopRun(run)
		case !run.presentSince.IsZero() && run.presentSince.Before(e.SentAt):
			run.missedReadings++
			if run.missedReadings > maxMissedReadings {
				r.stopRun(run)
			}
		}
	}
}

// maxMissedReadings is how many readings may omit a run before it is stopped.
const maxMissedReadings = 2

// giveUpRun ends a run without a report from its worker.
func (r *Reducer) giveUpRun(run *run, reason string) {
	r.addNote(Note{
		Kind: NoteRunGivenUp, Job: run.task.Job, Task: run.task, Run: run.number,
		Worker: run.worker.registration.ID, Detail: reason, Age: r.now.Sub(r.confirmedAt),
	})
	r.releaseRun(run)
	r.stopPartialGang(run.step)
	r.openStep(run.step)
}

// releaseRun releases the resources of a run.
func (r *Reducer) releaseRun(run *run) {
	key := runKey{run.task, run.number}
	w := run.worker
	if w.runs[key] != run {
		return
	}
	delete(w.runs, key)
	w.used = w.used.Sub(run.step.step.Allocation())
	r.quota.Release(run.step.job.job.Tenant, run.step.step.Demand)
	if run.unsent {
		run.unsent = false
		r.unsentStarts--
	}
	r.dropRecord(run)
	if task := &run.step.tasks[run.task.Index]; task.run == run {
		task.run = run.step.takeSecondRun(run.task.Index)
	} else if at := slices.Index(run.step.secondRuns, run); at >= 0 {
		run.step.dropSecondRun(at)
	}
	r.needsPass = true
}

// stopRun stops a run unless it is already being stopped.
func (r *Reducer) stopRun(run *run) {
	if run.stopping {
		return
	}
	if run.unsent {
		r.releaseRun(run)
		r.openStep(run.step)
		return
	}
	run.stopping = true
	r.sendStop(run)
}

func (r *Reducer) sendStop(run *run) {
	run.stopSentAt = r.now
	r.effects.Stops = append(r.effects.Stops, StopRun{Worker: run.worker.registration, Token: r.fence(run.worker), Task: run.task, Run: run.number})
}

// hasSurvivedStop reports whether a run that is listed should have ended by now. Its start may
// have been executed by an incarnation of the worker that does not know the stop.
func (r *Reducer) hasSurvivedStop(run *run) bool {
	stopTime := time.Duration(r.stopTimeoutMilliseconds)*time.Millisecond + stopRetryInterval
	return !run.stopAnsweredAt.IsZero() && r.now.Sub(run.stopAnsweredAt) > stopTime
}

// stopIncompleteGangs stops the gangs that wait for a member on a worker that does not answer.
// The member can be replaced only after the worker's lease has expired.
func (r *Reducer) stopIncompleteGangs(w *worker) {
	for _, run := range w.runs {
		if s := run.step; s.step.Gang && run.presentSince.IsZero() && !run.stopping {
			r.stopStep(s)
		}
	}
}

// stopStep stops all runs of a step.
func (r *Reducer) stopStep(s *stepState) {
	for i := range s.tasks {
		if run := s.tasks[i].run; run != nil {
			r.stopRun(run)
		}
	}
}

// checkWorker moves runs off a slow or leaving worker, repeats unanswered stop orders, gives up
// the runs of an unreachable worker whose lease has expired, and corrects its enrolment.
func (r *Reducer) checkWorker(w *worker) {
	if w.enrolled && w.enrolledStray && !r.hasStrayLease(w) && w.fencedStartTime != 0 {
		r.enrolling[w] = struct{}{}
	}
	if !w.unreachable && r.isAuthorised() {
		r.moveSlowRuns(w)
		if w.registration.Leaving && !w.registration.LeavesAt.IsZero() {
			r.moveRunsOffLeavingWorker(w)
		}
	}
	for _, run := range w.runs {
		if run.stopping && run.stopAnsweredAt.IsZero() && r.now.Sub(run.stopSentAt) > stopRetryInterval {
			r.sendStop(run)
		}
	}
	r.giveUpEndedRuns(w)
	r.dropIfUnused(w)
}

// leaseHasExpired reports whether the runs of an unreachable worker have ended with its lease.
// The leader's clock alone does not show it, since a successor may have extended the lease. A
// confirmation from after the end of the lease rules that out: until then, no successor had
// claimed the leadership.
func (r *Reducer) leaseHasExpired(w *worker) bool {
	return w.unreachable && r.confirmedAt.After(w.leaseEnd)
}
