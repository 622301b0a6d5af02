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
		s := &d.Steps[i]
		n += int64(stepStateBytes + taskStateBytes*s.Tasks + len(s.RequiredLabel) + len(s.DataRack))
	}
	return n
}

// countJob adds a job to the backlog until uncountJob is called. Jobs that have ended count too,
// since clients may ask for their state during the retention time.
func (r *Reducer) countJob(j *jobState) {
	j.countedBytes = MemoryBytes(&j.job.Definition)
	r.backlog.Add(j.job.Queue, j.countedBytes)
}

func (r *Reducer) uncountJob(j *jobState) {
	if j.countedBytes > 0 {
		r.backlog.Remove(j.job.Queue, j.countedBytes)
		j.countedBytes = 0
	}
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
