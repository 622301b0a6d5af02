package dispatch

import (
	"time"

	"fuchsiacross/backlog"
	"fuchsiacross/job"
)

// Memory of a job besides its texts, with what the start of its tasks adds.
const (
	jobStateBytes  = 2048 // the state, its entries in maps, and the policy of its queue
	stepStateBytes = 1024
	taskStateBytes = 96
)

// BacklogReport names the queues of which no further jobs are to be accepted.
type BacklogReport struct{ Refusals []backlog.Refusal }

// MemoryBytes estimates the memory that a leader needs for a job with one open occurrence.
func MemoryBytes(d *job.Definition) int64 {
	n := int64(jobStateBytes + len(d.Spec))
	for i := range d.Steps {
		n += int64(len(d.Steps[i].RequiredLabel) + len(d.Steps[i].DataRack))
	}
	return n + occurrenceBytes(d)
}

// occurrenceBytes estimates the memory of an open occurrence.
func occurrenceBytes(d *job.Definition) int64 {
	n := int64(0)
	for i := range d.Steps {
		n += int64(stepStateBytes + taskStateBytes*d.Steps[i].Tasks)
	}
	return n
}

// recountJob counts what a job takes now in the backlog. Jobs that have ended count too, since
// clients may ask for their state during the retention time.
func (r *Reducer) recountJob(j *jobState) {
	d := &j.job.Definition
	r.setCount(j, MemoryBytes(d)+int64(max(0, len(j.occurrences)-1))*occurrenceBytes(d))
}

// uncountJob removes a job from the backlog.
func (r *Reducer) uncountJob(j *jobState) { r.setCount(j, 0) }

func (r *Reducer) setCount(j *jobState, bytes int64) {
	r.backlog.Add(j.job.Queue, bytes-j.countedBytes)
	j.countedBytes = bytes
}

// maxOpenTasks limits the tasks in the open occurrences of a job, whose state is kept in
// memory. Due occurrences beyond that wait for others to complete.
const maxOpenTasks = 10_000

// mayOpenOccurrence reports whether a job may open a due occurrence. Without memory for more,
// each job has one open.
func (r *Reducer) mayOpenOccurrence(j *jobState, k int64) bool {
	if len(j.occurrences) == 0 || j.occurrences[k] != nil {
		return true
	}
	d := &j.job.Definition
	tasks := 0
	for i := range d.Steps {
		tasks += d.Steps[i].Tasks
	}
	return (len(j.occurrences)+1)*tasks <= maxOpenTasks && r.backlog.HasRoom(occurrenceBytes(d))
}

// reportBacklog reports the queues to refuse: at once when there is a first one, and then
// regularly, also without any.
func (r *Reducer) reportBacklog() {
	refusals := r.backlog.Refusals(r.now, len(r.queues))
	isNew := len(refusals) > 0 && r.backlogRefusals == 0
	if !r.loaded || !isNew && r.now.Sub(r.lastBacklogAt) < admissionInterval {
		return
	}
	if isNew {
		r.addNote(Note{Kind: NoteBacklogFull, Detail: refusals[0].Queue, Age: refusals[0].Wait})
	}
	r.lastBacklogAt, r.backlogRefusals = r.now, len(refusals)
	r.effects.Backlog = &BacklogReport{refusals}
}

// backlogState is the part of the reducer that bounds waiting jobs.
type backlogState struct {
	backlog         *backlog.Meter
	lastBacklogAt   time.Time
	backlogRefusals int // in the last report
}
