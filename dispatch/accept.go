package dispatch

import (
	"reflect"
	"time"

	"fuchsiacross/job"
	"fuchsiacross/runtimes"
)

// loadJobs restores the state of all jobs from the store. A repeated load only adds jobs and
// cancellations that are new.
func (r *Reducer) loadJobs(e JobsLoaded) {
	if r.loaded {
		// The change feed had a gap and all rows were read again.
		for _, j := range e.Jobs {
			r.acceptJob(j, false)
		}
		for _, c := range e.Cancels {
			r.cancelJob(c)
		}
		return
	}
	for _, enrolment := range e.Workers {
		known := r.addWorker(enrolment.Worker)
		known.setEnrolled(enrolment)
		known.inherited = true
		delete(r.enrolling, known)
	}
	r.restoreRuntimes(e.RunTimes)
	for _, j := range e.Jobs {
		r.addJob(j)
	}
	r.meterLoadedJobs(e.Jobs)
	sortProgress(e.Progress)
	for _, p := range e.Progress {
		if j := r.jobs[p.ID]; j != nil {
			j.restore(p)
		}
	}
	r.restoreStarts(e.Progress)
	r.storedAdvice = e.Progress
	r.loaded = true
	if r.retentionSeconds > 0 {
		r.removeProgressWithoutJob(e.Progress)
	}
	for _, id := range e.Resubmitted {
		if j := r.jobs[id]; j != nil {
			j.resubmitted = true
		}
	}
	for id, j := range r.jobs {
		if j.closed() {
			r.scheduleRemoval(j)
			if len(j.parts.numbers) > 1 {
				r.unsavedJobs[j] = struct{}{} // to remove the others
			}
		}
		notification, ok := r.notifiedBeforeLoad[id]
		j.notified = ok && j.isOnlyRow(notification)
		j.uncertain = !j.closed() && !r.neverStarted(j)
		r.openStartedOccurrences(j)
		r.openDueOccurrences(j)
	}
	for id, j := range r.notifiedBeforeLoad {
		if r.jobs[id] == nil {
			// It was stored after the rows were read.
			r.acceptJob(j, true)
		}
	}
	r.notifiedBeforeLoad = nil
	for _, c := range e.Cancels {
		r.cancelJob(c)
	}
	r.needsPass = true
}

// acceptJob adds a stored job. For a job that is already known, only a notification has an
// effect.
func (r *Reducer) acceptJob(j job.Job, notified bool) {
	switch known := r.jobs[j.ID]; {
	case !r.loaded:
		// The load contains the job, or it is accepted after the load.
		if notified {
			r.notifiedBeforeLoad[j.ID] = j
		}
		return
	case known != nil:
		if notified && known.uncertain && known.isOnlyRow(j) {
			known.notified = true
			known.uncertain, r.needsPass = !r.neverStarted(known), true
		}
		return
	}
	s := r.offers[j.ID]
	if s == nil || s.job.Tenant != j.Tenant || !reflect.DeepEqual(s.job.Definition, j.Definition) {
		r.dropOffer(j.ID)
		s = r.newJobState(j)
	}
	delete(r.offers, j.ID)
	s.job.AcceptedAt, s.job.Version, s.offeredAt = j.AcceptedAt, j.Version, time.Time{}
	if s.hasAdviceToStore() {
		r.unsavedJobs[s] = struct{}{}
	}
	s.notified = notified
	s.beyondShare = !r.shares.Within(j.Tenant, j.AcceptedAt)
	s.uncertain = !r.neverStarted(s)
	r.jobs[j.ID] = s
	r.recountJob(s)
	r.adoptOrphans(s)
	r.openDueOccurrences(s)
	r.addNote(Note{Kind: NoteJobKnownToLeader, Job: j.ID, Detail: j.Queue + ": " + j.Definition.String(), Age: r.now.Sub(j.AcceptedAt)})
	if tenants, withdrawn := r.withdrawnJobs[j.ID]; withdrawn {
		delete(r.withdrawnJobs, j.ID)
		for _, t := range tenants {
			r.cancelJob(CancelAccepted{ID: j.ID, Tenant: t})
		}
	}
}

// neverStarted reports whether no earlier leader can have started a job: the storing instance
// notified only this leader, and the job was stored after the predecessor's last write. A
// leader that knows a job only from the store's change feed starts it after a later write of
// its own.
func (r *Reducer) neverStarted(j *jobState) bool {
	return j.notified && j.job.Version > r.predecessorVersion
}

// mayStartTasks reports whether tasks of a job may start: it is stored, and a successor will
// not regard it as never started.
func (r *Reducer) mayStartTasks(j *jobState) bool {
	return j.offeredAt.IsZero() && (j.notified || j.job.Version <= r.confirmedVersion)
}

// offerJob starts to request advice for a job that is not stored yet. None of its tasks starts
// before the job is accepted.
func (r *Reducer) offerJob(j job.Job) {
	if r.jobs[j.ID] != nil || r.offers[j.ID] != nil || !r.loaded || j.Definition.Occurrences != 0 {
		return
	}
	s := r.newJobState(j)
	s.offeredAt = r.now
	r.offers[j.ID] = s
	r.openDueOccurrences(s)
}

// dropExpiredOffers drops offered jobs that were not stored within offerTimeout.
func (r *Reducer) dropExpiredOffers() {
	for id, j := range r.offers {
		if r.now.Sub(j.offeredAt) >= offerTimeout {
			r.dropOffer(id)
		}
	}
}

func (r *Reducer) dropOffer(id job.ID) {
	j := r.offers[id]
	if j == nil {
		return
	}
	delete(r.offers, id)
	for _, s := range j.occurrence(0).steps {
		delete(r.waitingSteps, s)
	}
}

// offerTimeout is longer than a client waits for its job to be stored.
const offerTimeout = 4 * time.Second

func (r *Reducer) addJob(j job.Job) {
	s := r.newJobState(j)
	r.jobs[j.ID] = s
	r.recountJob(s)
}

// newJobState returns the state of a job under the policy of its queue. If the queue was
// removed from the configuration, the policy that the job was accepted with stays in force.
func (r *Reducer) newJobState(j job.Job) *jobState {
	q, known := r.queues[j.Queue]
	switch {
	case known:
	case j.Policy != nil:
		q = *j.Policy
	default:
		// The job was stored by a version that did not store the policy of its queue.
		q = job.Queue{Name: j.Queue, Pool: j.Pool, MaxAttempts: 1, Priority: lowestPriority, Stretch: 1}
	}
	f := r.forecasts[j.Queue]
	if f == nil {
		f = &runtimes.Forecast{}
		r.forecasts[j.Queue] = f
	}
	s := &jobState{job: j, occurrences: map[int64]*occurrence{}, forecast: f}
	s.plan(q)
	return s
}

// lowestPriority applies to jobs whose queue's policy is unknown.
const lowestPriority = 9
