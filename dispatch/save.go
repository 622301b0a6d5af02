package dispatch

import (
	"slices"
	"time"

	"fuchsiacross/job"
)

// maxSaved bounds one save below the store's limit of entries; maxSavedWorkers and
// maxForgotten the parts of it that workers and forgotten jobs take.
const (
	maxSaved        = 90
	maxSavedWorkers = 50
	maxForgotten    = 10
)

// mark is the number of the last end of a worker's life that a save covers.
type mark struct {
	born   int64
	number int64
}

type savedJob struct {
	job   *jobState
	state job.State
}

// save stores what has changed, one save at a time.
func (r *Reducer) save() {
	changes := len(r.dirty) + len(r.enrolling) + len(r.dismissed) + len(r.forgotten)
	if !r.loaded || r.saveMarks != nil || changes == 0 || r.now.Sub(r.savedAt) < max(saveInterval, saveShare*time.Duration(r.leaders)) {
		return
	}
	r.saveNumber++
	r.saveMarks = map[*worker]mark{}
	save := &Save{Number: r.saveNumber}
	r.saveWorkers(save)
	n := min(len(r.forgotten), maxForgotten)
	save.RemovedProgress, r.forgotten = r.forgotten[:n:n], r.forgotten[n:]
	for j := range r.dirty {
		if len(save.Progress) == maxSaved-len(save.Enrolled)-len(save.Unenrolled)-len(save.RemovedProgress) {
			break
		}
		delete(r.dirty, j)
		save.Progress = append(save.Progress, j.progress())
		r.saving = append(r.saving, savedJob{j, j.state})
	}
	if len(r.dirty) == 0 {
		for _, w := range r.ordered {
			r.saveMarks[w] = mark{w.born, w.processed}
		}
	}
	slices.SortFunc(save.Progress, func(a, b Progress) int { return compare(a.ID, b.ID) })
	r.effects.Save = save
}

// saveWorkers adds workers that take runs from now on, and those that are gone.
func (r *Reducer) saveWorkers(save *Save) {
	for w := range r.enrolling {
		if len(save.Enrolled) == maxSavedWorkers {
			break
		}
		delete(r.enrolling, w)
		save.Enrolled = append(save.Enrolled, w.worker)
	}
	slices.SortFunc(save.Enrolled, func(a, b job.Worker) int { return compare(a.ID, b.ID) })
	n := min(len(r.dismissed), maxSavedWorkers-len(save.Enrolled))
	for _, id := range r.dismissed[:n] {
		if w := r.workers[id]; w == nil || !w.enrolled && !slices.ContainsFunc(save.Enrolled, func(e job.Worker) bool { return e.ID == id }) {
			save.Unenrolled = append(save.Unenrolled, id)
		}
	}
	r.dismissed = r.dismissed[n:]
	r.enrolled = save.Enrolled
}

func (r *Reducer) saved(number int64) {
	if number != r.saveNumber || r.saveMarks == nil {
		return
	}
	for _, s := range r.saving {
		s.job.shown = s.state
	}
	for _, saved := range r.enrolled {
		if w := r.workers[saved.ID]; w != nil && !w.enrolled {
			w.enrolled, r.changed = true, true
		}
	}
	r.enrolled = nil
	for w, m := range r.saveMarks {
		if w.born == m.born {
			w.seen = max(w.seen, m.number)
		}
	}
	r.saving, r.saveMarks, r.savedAt = nil, nil, r.now
}
