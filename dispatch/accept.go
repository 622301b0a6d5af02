package dispatch

import (
	"reflect"
	"time"

	"fuchsiacross/job"
)

func (r *Reducer) load(e JobsLoaded) {
	if r.loaded {
		// The changes were lost and all rows were read again.
		for _, j := range e.Jobs {
			r.accept(j, false)
		}
		for _, id := range e.Cancels {
			r.cancel(id)
		}
		return
	}
	for _, j := range e.Jobs {
		r.add(j)
	}
	for _, p := range e.Progress {
		if j := r.jobs[p.ID]; j != nil {
			j.restore(p)
		}
	}
	r.recalled = e.Progress
	for _, w := range e.Workers {
		known := r.addWorker(w)
		known.enrolled, known.inherited = true, true
		delete(r.enrolling, known)
	}
	r.loaded, r.loadedAt = true, r.now
	if r.retentionSeconds > 0 {
		r.forgetOrphans(e.Progress)
	}
	for _, id := range e.Resubmitted {
		if j := r.jobs[id]; j != nil {
			j.resubmitted = true
		}
	}
	for id, j := range r.jobs {
		if j.closed() {
			r.retire(j)
		}
		told, ok := r.toldEarly[id]
		j.told = ok && j.sameRow(told)
		j.uncertain = !j.closed() && !r.unstarted(j)
		r.openJob(j)
	}
	for id, j := range r.toldEarly {
		if r.jobs[id] == nil {
			// It was stored after the rows were read.
			r.accept(j, true)
		}
	}
	r.toldEarly = nil
	for _, id := range e.Cancels {
		r.cancel(id)
	}
	r.changed = true
}

func (r *Reducer) accept(j job.Job, told bool) {
	switch known := r.jobs[j.ID]; {
	case !r.loaded:
		// It is loaded, or accepted after the load.
		if told {
			r.toldEarly[j.ID] = j
		}
		return
	case known != nil:
		if told && known.uncertain && known.sameRow(j) {
			known.told = true
			known.uncertain, r.changed = !r.unstarted(known), true
		}
		return
	}
	s := r.offers[j.ID]
	if s == nil || !reflect.DeepEqual(s.job.Definition, j.Definition) {
		r.dropOffer(j.ID)
		s = r.newJob(j)
	}
	delete(r.offers, j.ID)
	s.job.AcceptedAt, s.job.Version, s.offeredAt = j.AcceptedAt, j.Version, time.Time{}
	if s.advised() {
		r.dirty[s] = struct{}{}
	}
	s.told = told
	s.uncertain = !r.unstarted(s)
	r.jobs[j.ID] = s
	r.adoptStrays(s)
	r.openJob(s)
	r.note(Note{Kind: NoteJobAccepted, Job: j.ID, Detail: j.Queue + ": " + j.Definition.String(), Age: r.now.Sub(j.AcceptedAt)})
}

// unstarted reports whether no earlier leader can have started a job: its instance
// has told none of them, and it was stored after the predecessor's last write. A
// leader that knows a job only from the store's changes starts it after a later
// write of its own.
func (r *Reducer) unstarted(j *jobState) bool {
	return j.told && j.job.Version > r.predecessorVersion
}

// mayBegin reports whether tasks of a job may start: it is stored, and a successor
// will not take it for unstarted.
func (r *Reducer) mayBegin(j *jobState) bool {
	return j.offeredAt.IsZero() && (j.told || j.job.Version <= r.confirmedVersion)
}

// offer begins to ask for advice for a job that is not stored yet. None of its
// tasks starts before it is accepted.
func (r *Reducer) offer(j job.Job) {
	if r.jobs[j.ID] != nil || r.offers[j.ID] != nil || !r.loaded || j.Definition.Occurrences != 0 {
		return
	}
	s := r.newJob(j)
	s.offeredAt = r.now
	r.offers[j.ID] = s
	r.openJob(s)
}

// dropOffers forgets jobs that nobody has stored.
func (r *Reducer) dropOffers() {
	for id, j := range r.offers {
		if r.now.Sub(j.offeredAt) >= offerSpan {
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
		delete(r.waiting, s)
	}
}

// offerSpan is longer than a client waits for its job to be stored.
const offerSpan = 4 * time.Second

func (r *Reducer) add(j job.Job) {
	r.jobs[j.ID] = r.newJob(j)
}

func (r *Reducer) newJob(j job.Job) *jobState {
	q, known := r.queues[j.Queue]
	if !known {
		// The queue has been removed since: its jobs go on with one attempt a task.
		q = job.Queue{Name: j.Queue, Pool: j.Pool, MaxAttempts: 1, Priority: lowestPriority, Stretch: 1}
	}
	f := r.forecasts[j.Queue]
	if f == nil {
		f = &forecast{}
		r.forecasts[j.Queue] = f
	}
	s := &jobState{job: j, occurrences: map[int64]*occurrence{}, forecast: f}
	s.plan(q)
	return s
}

// lowestPriority is that of jobs whose queue is no longer configured.
const lowestPriority = 9
