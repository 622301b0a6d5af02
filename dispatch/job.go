package dispatch

import (
	"cmp"
	"time"

	"fuchsiacross/job"
)

// jobState is a job with what became of its tasks.
type jobState struct {
	job            job.Job
	queue          job.Queue
	state          job.State // final state, or empty
	shown          job.State // the final state that is saved
	begun          bool
	uncertain      bool // a predecessor may have started its tasks
	told           bool // by the instance that stored it
	resubmitted    bool // it has two rows
	nextOccurrence int64
	occurrences    map[int64]*occurrence
	finished       int64           // occurrences whose steps are all done
	objective      time.Duration   // how long the job may take to be in time
	rest           []time.Duration // expected time from the start of a step to the end of the job
	forecast       *forecast       // of the job's queue
	offeredAt      time.Time       // zero once the job is stored
	planned        int             // version of the forecast that the plan uses
}

func (j *jobState) closed() bool { return j.state != "" }

// sameRow reports whether the job has one row only, the one that an instance tells
// of. A client that got no answer submits a job again, and a slow store may take
// both submissions, in different homes: an earlier leader may know the other row.
func (j *jobState) sameRow(told job.Job) bool {
	return !j.resubmitted && j.job.Version == told.Version
}

// advised reports whether advice on the job is to be stored.
func (j *jobState) advised() bool {
	for _, o := range j.occurrences {
		for _, s := range o.steps {
			if s.advice.kept {
				return true
			}
		}
	}
	return false
}

// occurrence is one repetition of a job's steps.
type occurrence struct {
	steps []*stepState
	left  int // steps that are not complete
}

// occurrence returns the state of an occurrence and makes it if necessary.
func (j *jobState) occurrence(k int64) *occurrence {
	if o := j.occurrences[k]; o != nil {
		return o
	}
	o := &occurrence{left: len(j.job.Definition.Steps)}
	for i := range j.job.Definition.Steps {
		s := &stepState{
			id:         job.StepID{Job: j.job.ID, Occurrence: k, Step: i},
			job:        j,
			occurrence: o,
			step:       &j.job.Definition.Steps[i],
		}
		s.tasks = make([]taskState, s.step.Tasks)
		s.left = s.step.Tasks
		o.steps = append(o.steps, s)
	}
	j.occurrences[k] = o
	return o
}

// find returns the state of a task that the job has.
func (j *jobState) find(id job.TaskID) (*stepState, bool) {
	d := &j.job.Definition
	if id.Step < 0 || id.Step >= len(d.Steps) || id.Index < 0 || id.Index >= d.Steps[id.Step].Tasks {
		return nil, false
	}
	if id.Occurrence != 0 && (id.Occurrence < 0 || id.Occurrence >= d.Occurrences) {
		return nil, false
	}
	return j.occurrence(id.Occurrence).steps[id.Step], true
}

// stepState is a step of one occurrence.
type stepState struct {
	id         job.StepID
	job        *jobState
	occurrence *occurrence
	step       *job.Step
	tasks      []taskState
	left       int // tasks that are not done
	openedAt   time.Time
	explainAt  time.Time // when the log next says why the step waits
	checkpoint string    // of a gang: of the member that was furthest
	saved      float64   // percent of that member
	advice     stepAdvice
	length     time.Duration // that a task is expected to take; zero before it is computed
	forecast   int           // version of the forecast that it is from
	paces      []workerPace
	took       time.Duration // sum over its complete runs that were not resumed
	ended      int           // number of these
	moves      int           // how often runs were moved off slow workers
	lengths    lengths
}

// keepCheckpoint notes the checkpoint of a run. That of any member is valid for
// its whole gang, so the furthest one is kept.
func (s *stepState) keepCheckpoint(index int, value string, percent float64) {
	s.tasks[index].checkpoint = value
	if percent >= s.saved || s.checkpoint == "" {
		s.checkpoint, s.saved = value, percent
	}
}

// observeLength counts a complete run that began without a checkpoint.
func (s *stepState) observeLength(now time.Time, run *run) {
	if !run.resumed {
		s.took += now.Sub(run.orderedAt)
		s.ended++
	}
}

func (s *stepState) complete() bool { return s.left == 0 }

// present reports whether a run of each task that is not done is known to be
// there.
func (s *stepState) present() bool {
	for i := range s.tasks {
		if t := &s.tasks[i]; !t.done && (t.run == nil || t.run.present.IsZero()) {
			return false
		}
	}
	return true
}

// failureIndex is the task that a failure counts for.
func (s *stepState) failureIndex(index int) int {
	if s.step.Gang {
		return 0
	}
	return index
}

// taskState is one task.
type taskState struct {
	done       bool
	run        *run // the current one, or nil
	checkpoint string
	failures   []int64 // runs that have failed
}

// idle reports whether the task could be started.
func (t *taskState) idle() bool { return !t.done && t.run == nil }

// run is one start of a task on a worker, from the order until its end is known.
type run struct {
	task      job.TaskID
	number    int64
	step      *stepState
	worker    *worker
	orderedAt time.Time
	waits     bool      // its start counts as waiting for an answer
	present   time.Time // when it was first known to be there; zero before
	stopping  bool
	stopSent  time.Time // the last stop order
	stopDone  time.Time // when a stop order was answered; zero before
	missed    int       // readings that did not list it
	unknownAt time.Time // when its order was given up without an answer; zero otherwise
	progress  progress
	resumed   bool // from a checkpoint

	tailMilliseconds float64   // of a service's own users, by the last reading
	percentOfTime    int       // that a filler works, or paceUnknown
	pacedAt          time.Time // the last order to change it
}

// progress returns the durable part of a job's state.
func (j *jobState) progress() Progress {
	p := Progress{ID: j.job.ID, State: j.state, Started: j.begun}
	if j.closed() {
		return p
	}
	for k, o := range j.occurrences {
		for i, s := range o.steps {
			sp := StepProgress{Occurrence: k, Step: i}
			if s.left < len(s.tasks) {
				sp.Done = make([]byte, (len(s.tasks)+7)/8)
			}
			for n := range s.tasks {
				if s.tasks[n].done {
					sp.Done[n/8] |= 1 << (n % 8)
				}
				if len(s.tasks[n].failures) > 0 {
					sp.Failures = append(sp.Failures, TaskFailures{Index: n, Runs: s.tasks[n].failures})
				}
			}
			if !s.complete() && j.queue.RequiresAdvice && s.advice.kept {
				sp.AllowedWorkers, sp.DeniedWorkers = s.advice.known()
			}
			if sp.Done != nil || sp.Failures != nil || sp.AllowedWorkers != nil || sp.DeniedWorkers != nil {
				p.Steps = append(p.Steps, sp)
			}
		}
	}
	return p
}

// restore sets the state of a job to what was saved.
func (j *jobState) restore(p Progress) {
	j.state, j.shown, j.begun = p.State, p.State, p.Started
	if j.closed() {
		j.job.Definition = job.Definition{Occurrences: j.job.Definition.Occurrences, Steps: j.job.Definition.Steps}
		return
	}
	for _, sp := range p.Steps {
		if sp.Step < 0 || sp.Step >= len(j.job.Definition.Steps) {
			continue
		}
		o := j.occurrence(sp.Occurrence)
		s := o.steps[sp.Step]
		for n := range s.tasks {
			if n/8 < len(sp.Done) && sp.Done[n/8]&(1<<(n%8)) != 0 {
				s.tasks[n].done = true
				s.left--
			}
		}
		if s.left == 0 {
			o.left--
		}
		for _, f := range sp.Failures {
			if f.Index >= 0 && f.Index < len(s.tasks) {
				s.tasks[f.Index].failures = f.Runs
			}
		}
		if o.left == 0 {
			j.finished++
		}
	}
}

func compare[T cmp.Ordered](a, b T) int { return cmp.Compare(a, b) }
