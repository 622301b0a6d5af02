package dispatch

import (
	"slices"
	"time"

	"fuchsiacross/job"
)

const (
	// maxOpenRemovals limits the concurrent removals of jobs' rows, so that they take a small
	// part of the store's calls.
	maxOpenRemovals = 8
	// retentionMargin is added to the time for which clients may ask for a job, because the
	// last answer may still be in transit.
	retentionMargin = 10 * time.Second
	// tombstoneDuration is how long the state of a job outlives its rows: longer than any read
	// of the rows.
	tombstoneDuration = 30 * time.Second
	// removalRetryDelay is the delay after a failed removal.
	removalRetryDelay = 5 * time.Second
)

// closedJob is a job in a final state and the time of the next step of its removal.
type closedJob struct {
	id          job.ID
	removeAt    time.Time
	rowsRemoved bool // its rows are removed from the store
}

// scheduleRemoval schedules the removal of a closed job, unless jobs are kept forever.
func (r *Reducer) scheduleRemoval(j *jobState) {
	if r.retentionSeconds > 0 {
		r.insertClosedJob(closedJob{id: j.job.ID, removeAt: r.now.Add(r.retention())})
	}
}

// withdrawJob schedules the removal of the cancellation of a job that is not known. The job
// was cancelled before it was stored, so that an insertion in transit fails, or has been
// removed. If the job is stored after all, acceptJob cancels it.
func (r *Reducer) withdrawJob(c CancelAccepted) {
	tenants, known := r.withdrawnJobs[c.ID]
	if slices.Contains(tenants, c.Tenant) {
		return
	}
	r.withdrawnJobs[c.ID] = append(tenants, c.Tenant)
	if r.retentionSeconds > 0 && !known {
		r.insertClosedJob(closedJob{id: c.ID, removeAt: r.now.Add(r.retention())})
	}
}

// retention returns how long the rows of a closed job are kept.
func (r *Reducer) retention() time.Duration {
	return time.Duration(r.retentionSeconds)*time.Second + retentionMargin
}

// insertClosedJob inserts a job in the order of removal times.
func (r *Reducer) insertClosedJob(c closedJob) {
	at, _ := slices.BinarySearchFunc(r.closedJobs, c.removeAt, func(o closedJob, t time.Time) int {
		return o.removeAt.Compare(t)
	})
	r.closedJobs = slices.Insert(r.closedJobs, at, c)
}

// removeExpiredJobs requests the removal of jobs whose retention is over, and drops the state
// of those whose rows were removed long enough ago.
func (r *Reducer) removeExpiredJobs() {
	for len(r.closedJobs) > 0 && r.openRemovals < maxOpenRemovals && !r.now.Before(r.closedJobs[0].removeAt) {
		c := r.closedJobs[0]
		r.closedJobs = r.closedJobs[1:]
		j := r.jobs[c.id]
		_, withdrawn := r.withdrawnJobs[c.id]
		switch {
		case withdrawn && c.rowsRemoved:
			delete(r.withdrawnJobs, c.id)
		case c.rowsRemoved && (j == nil || j.closed()):
			if j != nil {
				r.uncountJob(j)
			}
			delete(r.jobs, c.id)
			delete(r.unsavedJobs, j)
			delete(r.obsoleteParts, j)
			r.progressRemovals = append(r.progressRemovals, c.id)
		case j != nil && j.savedState != "", withdrawn:
			r.openRemovals++
			r.effects.Removals = append(r.effects.Removals, c.id)
		}
	}
}

// handleJobRemoved processes the result of a removal. The job and its progress are kept for as
// long as a read of the rows may take: if such a read still returns the job, they show that it
// has run.
func (r *Reducer) handleJobRemoved(e JobRemoved) {
	r.openRemovals--
	next := closedJob{id: e.ID, removeAt: r.now.Add(removalRetryDelay)}
	if e.Err == nil {
		next = closedJob{id: e.ID, removeAt: r.now.Add(tombstoneDuration), rowsRemoved: true}
	}
	r.insertClosedJob(next)
}

// removeProgressWithoutJob removes progress whose job has no rows, because the predecessor
// ended between the two removals.
func (r *Reducer) removeProgressWithoutJob(progress []Progress) {
	for _, p := range progress {
		if r.jobs[p.ID] == nil && p.Part == 0 {
			r.insertClosedJob(closedJob{id: p.ID, removeAt: r.now.Add(tombstoneDuration), rowsRemoved: true})
		}
	}
}
