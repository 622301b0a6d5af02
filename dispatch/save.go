package dispatch

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"fuchsiacross/job"
)

// maxSaveEntries keeps a save below the store's limit of entries. maxSavedWorkers and
// maxProgressRemovals limit the entries for workers and for removed progress.
const (
	maxSaveEntries      = 90
	maxSavedWorkers     = 50
	maxProgressRemovals = 10
	// maxSaveBytes keeps a save below the 1 MB that the store takes in one call, in base64 and
	// with the names of the rows.
	maxSaveBytes = 600_000
)

// maxPartBytes returns the largest part of a job's progress for a limit of the store. The
// limit may count the base64 form of a value.
func maxPartBytes(rowBytes int) int {
	if rowBytes == 0 {
		return maxSaveBytes
	}
	return rowBytes / 4 * 3
}

// endMark identifies the last end of a worker incarnation that a save covers.
type endMark struct {
	startTime int64
	number    int64
}

// savedJob is a job in the open save and the state that the save stores.
type savedJob struct {
	job     *jobState
	state   job.State
	numbers []int  // of the parts that then hold its progress; nil if further ones follow
	starts  []*run // whose records are stored then
}

// awaitConfirmation requests a confirmation of the leadership from after a time, instead of
// waiting for the periodic one. It is called when that time has come.
func (r *Reducer) awaitConfirmation(of time.Time) {
	if of.After(r.toBeConfirmed) {
		r.toBeConfirmed = of
	}
}

// startSave saves pending changes, one save at a time. A save without changes confirms the
// leadership.
func (r *Reducer) startSave() {
	changes := len(r.unsavedJobs) + len(r.enrolling) + len(r.unenrolling) + len(r.progressRemovals) + len(r.obsoleteParts)
	needed := changes > 0 || r.dividedJob != nil || !r.confirmedAt.After(r.toBeConfirmed)
	if !r.loaded || r.saveMarks != nil || !needed || r.now.Sub(r.lastSaveAt) < max(saveInterval, saveIntervalPerLeader*time.Duration(r.leaderCount)) {
		return
	}
	r.saveNumber++
	r.saveMarks = map[*worker]endMark{}
	save := &Save{Number: r.saveNumber}
	r.addWorkerChanges(save)
	n := min(len(r.progressRemovals), maxProgressRemovals)
	save.RemovedProgress, r.progressRemovals = r.progressRemovals[:n:n], r.progressRemovals[n:]
	room := saveRoom{maxSaveEntries - len(save.Enrolled) - len(save.Unenrolled) - len(save.RemovedProgress), maxSaveBytes}
	r.addJobProgress(save, &room)
	r.addPartRemovals(save, &room)
	r.addRuntimes(save)
	r.markSavedEnds()
	sortProgress(save.Progress)
	r.openSave, r.effects.Save = save, save
}

// markSavedEnds determines the ends that the open save covers. Those of a job whose progress is
// divided are covered by the last save of the division, with all that had been saved when it began.
func (r *Reducer) markSavedEnds() {
	isDivided := r.dividedJob != nil && len(r.dividedJob.parts.pending) > 0
	if len(r.unsavedJobs) == 0 && (r.deferredMarks == nil || !isDivided) {
		r.deferredMarks = map[*worker]endMark{}
		for _, w := range r.sortedWorkers {
			r.deferredMarks[w] = endMark{w.startTime, w.processedEnd}
		}
	}
	if r.deferredMarks != nil && !isDivided {
		r.saveMarks, r.deferredMarks = r.deferredMarks, nil
	}
}

// addJobProgress adds the progress of unsaved jobs to a save, as far as there is room. Jobs whose
// starts wait for the save come first, and those that have taken several parts, so that smaller ones
// do not keep them out.
func (r *Reducer) addJobProgress(save *Save, room *saveRoom) {
	if j := r.dividedJob; j != nil && j.closed() {
		r.abandonDivision()
	}
	r.addPendingParts(save, room)
	// Progress that the store has refused is saved alone, in each second save.
	refused := r.refusedJob()
	r.savesRefusedJob = refused != nil && !r.savesRefusedJob && len(r.savingJobs) == 0
	if r.savesRefusedJob {
		r.addProgressOf(refused, save, room)
		return
	}
	for _, first := range []bool{true, false} {
		for j := range r.unsavedJobs {
			isFirst := len(r.unrecordedStarts[j]) > 0 || len(j.parts.complete) > 1
			if isFirst != first || j == r.dividedJob || j.rejectedVersion != 0 {
				continue
			}
			if room.entries <= 0 || len(r.savingJobs) == r.maxSavedJobs {
				return
			}
			r.addProgressOf(j, save, room)
		}
	}
}

// refusedJob returns an unsaved job whose progress the store has refused, or nil.
func (r *Reducer) refusedJob() *jobState {
	for j := range r.unsavedJobs {
		if j.rejectedVersion != 0 && j != r.dividedJob {
			return j
		}
	}
	return nil
}

func (r *Reducer) addProgressOf(j *jobState, save *Save, room *saveRoom) {
	parts, size := j.progress().split(r.partLimit(j))
	switch {
	case size > maxSaveBytes || len(parts) > maxSaveEntries:
		if r.dividedJob == nil {
			delete(r.unsavedJobs, j)
			r.dividedJob = j
			j.parts.divide(parts)
			r.dividedStarts = r.takeUnrecordedStarts(j)
			r.addNote(Note{Kind: NoteProgressDivided, Job: j.job.ID, Detail: fmt.Sprintf("%d bytes in %d parts", size, len(parts))})
			r.addPendingParts(save, room)
		}
		return
	case !room.has(len(parts), size):
		return
	}
	delete(r.unsavedJobs, j)
	room.take(len(parts), size)
	saved := savedJob{job: j, state: j.state, starts: r.takeUnrecordedStarts(j)}
	for _, p := range parts {
		save.Progress = append(save.Progress, p.Progress)
		saved.numbers = append(saved.numbers, p.Part)
	}
	r.savingJobs = append(r.savingJobs, saved)
}

// partLimit returns the largest part of a job's progress.
func (r *Reducer) partLimit(j *jobState) int {
	if j.smallParts {
		return min(r.maxPartBytes, smallPartBytes)
	}
	return r.maxPartBytes
}

// smallPartBytes limits the parts of a job of which the store has refused larger ones.
const smallPartBytes = 3072

// rejectProgress closes a job whose progress the store refuses, whatever its size. Without it, tasks
// of the job that are done would run again, and no other job of the shard could be saved.
func (r *Reducer) rejectProgress(j *jobState, reason string) {
	r.addNote(Note{Kind: NoteProgressRejected, Job: j.job.ID, Detail: reason})
	if !j.closed() {
		r.closeJob(j, job.StateFailed)
	}
}

// addWorkerChanges adds the workers to enroll and those to unenroll to a save.
func (r *Reducer) addWorkerChanges(save *Save) {
	for w := range r.enrolling {
		if len(save.Enrolled) == maxSavedWorkers {
			break
		}
		delete(r.enrolling, w)
		save.Enrolled = append(save.Enrolled, r.enrolmentOf(w))
	}
	slices.SortFunc(save.Enrolled, func(a, b Enrolment) int { return compare(a.Worker.ID, b.Worker.ID) })
	n := min(len(r.unenrolling), maxSavedWorkers-len(save.Enrolled))
	for _, id := range r.unenrolling[:n] {
		if w := r.workers[id]; w == nil || !w.enrolled && !slices.ContainsFunc(save.Enrolled, func(e Enrolment) bool { return e.Worker.ID == id }) {
			save.Unenrolled = append(save.Unenrolled, id)
		}
	}
	r.unenrolling = r.unenrolling[n:]
}

// handleSaved processes the completion of a save.
func (r *Reducer) handleSaved(number int64) {
	if number != r.saveNumber || r.saveMarks == nil {
		return
	}
	r.recordParts(r.openSave)
	for _, s := range r.savingJobs {
		r.recordedStarts = append(r.recordedStarts, s.starts...)
	}
	// In the order in which they were chosen; the members of a gang share a number.
	slices.SortFunc(r.recordedStarts, func(a, b *run) int {
		return cmp.Or(cmp.Compare(a.number, b.number), cmp.Compare(a.task.Index, b.task.Index))
	})
	for _, saved := range r.openSave.Enrolled {
		if w := r.workers[saved.Worker.ID]; w != nil {
			w.setEnrolled(saved)
			r.needsPass = true
		}
	}
	for w, m := range r.saveMarks {
		if w.startTime == m.startTime {
			w.savedEnd = max(w.savedEnd, m.number)
		}
	}
	r.savingJobs, r.openSave, r.saveMarks, r.lastSaveAt = nil, nil, nil, r.now
	r.maxSavedJobs = min(2*r.maxSavedJobs, maxSaveEntries)
}

// handleSaveRejected divides a save that the store refuses, until the job is found whose
// progress it refuses. That job is saved in smaller parts, and closed if the store refuses these
// too, both only if the store has taken other writes meanwhile.
func (r *Reducer) handleSaveRejected(e SaveRejected) {
	if e.Number != r.saveNumber || r.saveMarks == nil {
		return
	}
	if len(r.savingJobs) == 1 {
		switch j := r.savingJobs[0].job; {
		case j.rejectedVersion == 0:
			j.rejectedVersion = r.confirmedVersion
		case j.rejectedVersion == r.confirmedVersion:
		case !j.smallParts:
			j.smallParts, j.rejectedVersion = true, r.confirmedVersion
		default:
			r.rejectProgress(j, e.Err.Error())
		}
	}
	for _, s := range r.savingJobs {
		r.unsavedJobs[s.job] = struct{}{}
		r.returnUnrecordedStarts(s.job, s.starts)
	}
	r.abandonDivision()
	for _, saved := range r.openSave.Enrolled {
		if w := r.workers[saved.Worker.ID]; w != nil {
			r.enrolling[w] = struct{}{}
		}
	}
	r.runtimesRejected = r.runtimesRejected || len(r.openSave.RunTimes) > 0
	r.unenrolling = append(r.unenrolling, r.openSave.Unenrolled...)
	r.progressRemovals = append(r.progressRemovals, r.openSave.RemovedProgress...)
	r.maxSavedJobs = max(1, len(r.savingJobs)/2)
	r.savingJobs, r.openSave, r.saveMarks = nil, nil, nil
	r.lastSaveAt = r.now.Add(rejectedSaveDelay)
}

// rejectedSaveDelay delays the save after a rejected one, so that the leadership is confirmed
// in between.
const rejectedSaveDelay = 300 * time.Millisecond
