package dispatch

import (
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
)

// endMark identifies the last end of a worker incarnation that a save covers.
type endMark struct {
	startTime int64
	number    int64
}

// savedJob is a job in the open save and the state that the save stores.
type savedJob struct {
	job   *jobState
	state job.State
}

// startSave saves pending changes, one save at a time.
func (r *Reducer) startSave() {
	changes := len(r.unsavedJobs) + len(r.enrolling) + len(r.unenrolling) + len(r.progressRemovals)
	if !r.loaded || r.saveMarks != nil || changes == 0 || r.now.Sub(r.lastSaveAt) < max(saveInterval, saveIntervalPerLeader*time.Duration(r.leaderCount)) {
		return
	}
	r.saveNumber++
	r.saveMarks = map[*worker]endMark{}
	save := &Save{Number: r.saveNumber}
	r.addWorkerChanges(save)
	n := min(len(r.progressRemovals), maxProgressRemovals)
	save.RemovedProgress, r.progressRemovals = r.progressRemovals[:n:n], r.progressRemovals[n:]
	for j := range r.unsavedJobs {
		if len(save.Progress) == maxSaveEntries-len(save.Enrolled)-len(save.Unenrolled)-len(save.RemovedProgress) {
			break
		}
		delete(r.unsavedJobs, j)
		save.Progress = append(save.Progress, j.progress())
		r.savingJobs = append(r.savingJobs, savedJob{j, j.state})
	}
	if len(r.unsavedJobs) == 0 {
		for _, w := range r.sortedWorkers {
			r.saveMarks[w] = endMark{w.startTime, w.processedEnd}
		}
	}
	slices.SortFunc(save.Progress, func(a, b Progress) int { return compare(a.ID, b.ID) })
	r.effects.Save = save
}

// addWorkerChanges adds the workers to enroll and those to unenroll to a save.
func (r *Reducer) addWorkerChanges(save *Save) {
	for w := range r.enrolling {
		if len(save.Enrolled) == maxSavedWorkers {
			break
		}
		delete(r.enrolling, w)
		save.Enrolled = append(save.Enrolled, w.registration)
	}
	slices.SortFunc(save.Enrolled, func(a, b job.Worker) int { return compare(a.ID, b.ID) })
	n := min(len(r.unenrolling), maxSavedWorkers-len(save.Enrolled))
	for _, id := range r.unenrolling[:n] {
		if w := r.workers[id]; w == nil || !w.enrolled && !slices.ContainsFunc(save.Enrolled, func(e job.Worker) bool { return e.ID == id }) {
			save.Unenrolled = append(save.Unenrolled, id)
		}
	}
	r.unenrolling = r.unenrolling[n:]
	r.savingWorkers = save.Enrolled
}

// handleSaved processes the completion of a save.
func (r *Reducer) handleSaved(number int64) {
	if number != r.saveNumber || r.saveMarks == nil {
		return
	}
	for _, s := range r.savingJobs {
		s.job.savedState = s.state
	}
	for _, saved := range r.savingWorkers {
		if w := r.workers[saved.ID]; w != nil && !w.enrolled {
			w.enrolled, r.needsPass = true, true
		}
	}
	r.savingWorkers = nil
	for w, m := range r.saveMarks {
		if w.startTime == m.startTime {
			w.savedEnd = max(w.savedEnd, m.number)
		}
	}
	r.savingJobs, r.saveMarks, r.lastSaveAt = nil, nil, r.now
}
