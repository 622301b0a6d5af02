package dispatch

import (
	"slices"
	"time"

	"fuchsiacross/job"
)

const (
	// removalsMost bounds the jobs whose rows are removed at the same time, so that
	// removals take a small part of the store's calls.
	removalsMost = 8
	// retentionMargin is added to the time for which clients may ask for a job: the
	// last answer may be under way.
	retentionMargin = 10 * time.Second
	// removalLinger is for how long a job outlives its rows: longer than any read.
	removalLinger = 30 * time.Second
	// removalRetry is the pause after a removal that failed.
	removalRetry = 5 * time.Second
)

// closedJob is a job that has ended, with the time from which it may be forgotten.
type closedJob struct {
	id       job.ID
	forgetAt time.Time
	removed  bool // its rows are gone
}

// retire notes that a job has ended.
func (r *Reducer) retire(j *jobState) {
	if r.retentionSeconds > 0 {
		span := time.Duration(r.retentionSeconds)*time.Second + retentionMargin
		r.forgetLater(closedJob{id: j.job.ID, forgetAt: r.now.Add(span)})
	}
}

// forgetLater inserts a job in the order in which jobs may be forgotten.
func (r *Reducer) forgetLater(c closedJob) {
	at, _ := slices.BinarySearchFunc(r.closedJobs, c.forgetAt, func(o closedJob, t time.Time) int {
		return o.forgetAt.Compare(t)
	})
	r.closedJobs = slices.Insert(r.closedJobs, at, c)
}

// forgetJobs asks for the removal of jobs that nobody may ask for any more, and
// forgets those whose rows were removed some time ago.
func (r *Reducer) forgetJobs() {
	for len(r.closedJobs) > 0 && r.removing < removalsMost && !r.now.Before(r.closedJobs[0].forgetAt) {
		c := r.closedJobs[0]
		r.closedJobs = r.closedJobs[1:]
		j := r.jobs[c.id]
		switch {
		case c.removed && (j == nil || j.closed()):
			delete(r.jobs, c.id)
			delete(r.dirty, j)
			r.forgotten = append(r.forgotten, c.id)
		case j != nil && j.shown != "":
			r.removing++
			r.effects.Removals = append(r.effects.Removals, c.id)
		}
	}
}

// removed notes that a job's rows are gone. The job and its progress are kept for
// as long as a read of rows may take: they show that the job has run if such a
// read still returns it.
func (r *Reducer) removed(e JobRemoved) {
	r.removing--
	again := closedJob{id: e.ID, forgetAt: r.now.Add(removalRetry)}
	if e.Err == nil {
		again = closedJob{id: e.ID, forgetAt: r.now.Add(removalLinger), removed: true}
	}
	r.forgetLater(again)
}

// forgetOrphans forgets progress whose job has no rows: the predecessor ended
// between the two removals.
func (r *Reducer) forgetOrphans(progress []Progress) {
	for _, p := range progress {
		if r.jobs[p.ID] == nil {
			r.forgetLater(closedJob{id: p.ID, forgetAt: r.now.Add(removalLinger), removed: true})
		}
	}
}
