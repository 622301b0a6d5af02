package dispatch

import (
	"time"

	"fuchsiacross/job"
)

// A start without a ticket may be executed late by an incarnation of its worker that knows neither
// the fencing token of its leader nor that of a successor. A successor must therefore know of each
// such start that no worker lists. The leader stores a record of it with the progress of its job
// before it sends the start, and removes it once the start has been executed or never will be.
// Starts with a ticket need no record: a later incarnation refuses them.

// StartRecord is the record of a start order without a ticket that may not have been executed.
type StartRecord struct {
	Index  int // of the task
	Run    int64
	Worker job.WorkerID
}

// awaitRecord has a chosen start recorded. It is sent after the save that contains the record.
func (r *Reducer) awaitRecord(chosen *run) {
	j := chosen.step.job
	chosen.unsent, chosen.recorded = true, true
	r.unsentStarts++
	r.unrecordedStarts[j] = append(r.unrecordedStarts[j], chosen)
	r.unsavedJobs[j] = struct{}{}
}

// resign gives up the starts that are not recorded yet, and chooses no others: a successor would wait
// for those that are recorded and never sent.
func (r *Reducer) resign() {
	r.resigning = true
	for j, starts := range r.unrecordedStarts {
		for _, start := range starts {
			if start.unsent {
				r.releaseRun(start)
				r.openStep(start.step)
			}
		}
		delete(r.unrecordedStarts, j)
	}
}

// takeUnrecordedStarts returns the starts of a job whose records go into a save now.
func (r *Reducer) takeUnrecordedStarts(j *jobState) []*run {
	starts := r.unrecordedStarts[j]
	delete(r.unrecordedStarts, j)
	return starts
}

// returnUnrecordedStarts has starts recorded by another save than the one that was to contain them.
func (r *Reducer) returnUnrecordedStarts(j *jobState, starts []*run) {
	if len(starts) > 0 {
		r.unrecordedStarts[j] = append(r.unrecordedStarts[j], starts...)
	}
}

// startRecords returns the records of a step's starts.
func (s *stepState) startRecords() []StartRecord {
	var records []StartRecord
	add := func(run *run) {
		if run.ticketless && run.presentSince.IsZero() {
			records = append(records, StartRecord{run.task.Index, run.number, run.worker.registration.ID})
		}
	}
	for i := range s.tasks {
		if run := s.tasks[i].run; run != nil {
			add(run)
		}
	}
	for _, run := range s.secondRuns {
		add(run)
	}
	return records
}

// sendRecordedStarts sends the starts whose records are stored, as far as the window of pending starts
// has room. A gang may exceed it. What has changed meanwhile may have made some starts impossible.
func (r *Reducer) sendRecordedStarts() {
	for len(r.recordedStarts) > 0 && r.starts.HasCapacity(r.now) {
		first := r.recordedStarts[0]
		n := 1
		for first.step.step.Gang && n < len(r.recordedStarts) && r.recordedStarts[n].step == first.step {
			n++
		}
		for _, start := range r.recordedStarts[:n] {
			if start.unsent && !r.maySendStart(start) {
				r.releaseRun(start)
				r.stopPartialGang(start.step)
				r.openStep(start.step)
			}
		}
		for _, start := range r.recordedStarts[:n] {
			if start.unsent {
				start.unsent = false
				r.unsentStarts--
				r.sendStart(start, "")
			}
		}
		r.recordedStarts = r.recordedStarts[n:]
		r.needsPass = true
	}
}

func (r *Reducer) maySendStart(start *run) bool {
	w := start.worker
	return r.isAuthorised() && start.goneAt.IsZero() && r.acceptsRuns(w) && r.mayStartOn(w)
}

// confirmRun records that a worker has executed the start of a run, whose record is no longer
// needed.
func (r *Reducer) confirmRun(run *run) {
	if !run.presentSince.IsZero() {
		return
	}
	run.presentSince = r.now
	if run.inherited {
		// As for an adopted run: its start and its lease are known from the predecessor only.
		run.orderedAt = r.now
		run.worker.extendLease(r.now, r.now.Add(confirmationTimeout))
	}
	r.dropRecord(run)
}

// dropRecord has the record of a start removed with the next save of its job.
func (r *Reducer) dropRecord(run *run) {
	if run.recorded && !run.step.job.closed() {
		run.recorded = false
		r.unsavedJobs[run.step.job] = struct{}{}
	}
}

// restoreStarts restores the starts of predecessors that may not have been executed. Each counts as
// a run until its worker lists it, or it cannot be executed any more. That time begins when the
// predecessor's authority has ended at the latest.
func (r *Reducer) restoreStarts(progress []Progress) {
	sentBefore := r.predecessorSuspectedAt.Add(withClockMargin(confirmationTimeout))
	for i := range progress {
		j := r.jobs[progress[i].ID]
		if j == nil || j.closed() {
			continue
		}
		for _, sp := range progress[i].Steps {
			for _, record := range sp.Starts {
				r.restoreStart(j, job.TaskID{StepID: job.StepID{Job: j.job.ID, Occurrence: sp.Occurrence, Step: sp.Step}, Index: record.Index}, record, sentBefore)
			}
		}
	}
}

func (r *Reducer) restoreStart(j *jobState, id job.TaskID, record StartRecord, sentBefore time.Time) {
	s, ok := j.findTask(id)
	// The worker of a start that may still be executed stays enrolled.
	w := r.workers[record.Worker]
	if !ok || w == nil || s.tasks[id.Index].done || w.runs[runKey{id, record.Run}] != nil {
		return
	}
	restored := &run{
		task: id, number: record.Run, step: s, worker: w, orderedAt: sentBefore, unknownAt: r.now,
		ticketless: true, recorded: true, inherited: true, resumed: true, percentOfTime: paceUnknown,
	}
	r.addRun(restored)
	r.addNote(Note{
		Kind: NoteRunUnknown, Job: j.job.ID, Task: id, Run: record.Run, Worker: record.Worker,
		Detail: "a start of the predecessor may not have been executed",
	})
}

// addRun adds a run to its worker and its task. A task has one run, and others only until they are
// stopped.
func (r *Reducer) addRun(added *run) {
	s, w := added.step, added.worker
	w.runs[runKey{added.task, added.number}] = added
	w.used = w.used.Add(s.step.Allocation())
	r.quota.Charge(s.job.job.Tenant, s.step.Demand)
	if task := &s.tasks[added.task.Index]; task.run == nil {
		task.run = added
	} else {
		s.secondRuns = append(s.secondRuns, added)
	}
}

// takeSecondRun returns another run of a task whose run has ended, or nil if there is none. The task
// must not start again before that one has ended too.
func (s *stepState) takeSecondRun(index int) *run {
	for i, other := range s.secondRuns {
		if other.task.Index == index {
			s.dropSecondRun(i)
			return other
		}
	}
	return nil
}

func (s *stepState) dropSecondRun(at int) {
	last := len(s.secondRuns) - 1
	s.secondRuns[at], s.secondRuns[last] = s.secondRuns[last], nil
	s.secondRuns = s.secondRuns[:last]
}
