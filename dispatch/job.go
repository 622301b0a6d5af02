package dispatch

import (
	"cmp"
	"time"

	"fuchsiacross/job"
	"fuchsiacross/runtimes"
	"fuchsiacross/startwindow"
)

// jobState is a job and the state of its tasks.
type jobState struct {
	job                  job.Job
	queue                job.Queue
	state                job.State // final state, or empty
	savedState           job.State // the final state that is saved and shown to clients
	started              bool
	uncertain            bool // a predecessor may have started its tasks
	notified             bool // the storing instance notified this leader
	resubmitted          bool // it has two rows
	nextOccurrence       int64
	occurrences          map[int64]*occurrence // without the completed ones of a scheduled job
	completedOccurrences occurrenceSet         // occurrences whose steps are all complete
	parts                storedParts           // of its progress
	rejectedVersion      int64                 // confirmed version when the store last refused its progress; zero before
	smallParts           bool                  // its progress is divided into small parts, since the store has refused it
	objective            time.Duration         // the time from acceptance or due time within which the job is in time
	remainingTimes       []time.Duration       // expected time from the start of each step to the end of the job
	forecast             *runtimes.Forecast    // of the job's queue
	offeredAt            time.Time             // zero once the job is stored
	beyondShare          bool                  // its tenant had used up its share when it was accepted
	countedBytes         int64                 // in the backlog
	planVersion          int                   // version of the forecast that the plan uses
	failureRecords       []failureRecord       // by step; nil before the first failure
}

func (j *jobState) closed() bool { return j.state != "" }

// isOnlyRow reports whether the job has a single row, the one of the notification. A client
// without an answer submits a job again, and a slow store may take both submissions, in
// different homes; an earlier leader may then know the other row.
func (j *jobState) isOnlyRow(notification job.Job) bool {
	return !j.resubmitted && j.job.Version == notification.Version
}

// hasAdviceToStore reports whether advice on the job has to be saved.
func (j *jobState) hasAdviceToStore() bool {
	for _, o := range j.occurrences {
		for _, s := range o.steps {
			if s.advice.stored {
				return true
			}
		}
	}
	return false
}

// occurrence is one repetition of a job's steps.
type occurrence struct {
	steps     []*stepState
	stepsLeft int // steps that are not complete
}

// isScheduled reports whether the job repeats its steps at fixed times.
func (j *jobState) isScheduled() bool { return j.job.Definition.Occurrences > 0 }

// occurrence returns the state of an occurrence and creates it if necessary. A completed one
// whose state was dropped is returned with all its tasks done.
func (j *jobState) occurrence(k int64) *occurrence {
	if o := j.occurrences[k]; o != nil {
		return o
	}
	o := j.newOccurrence(k)
	if j.completedOccurrences.contains(k) {
		o.stepsLeft = 0
		for _, s := range o.steps {
			s.tasksLeft = 0
			for i := range s.tasks {
				s.tasks[i].done = true
			}
		}
		return o
	}
	j.occurrences[k] = o
	return o
}

func (j *jobState) newOccurrence(k int64) *occurrence {
	o := &occurrence{stepsLeft: len(j.job.Definition.Steps)}
	for i := range j.job.Definition.Steps {
		s := &stepState{
			id:         job.StepID{Job: j.job.ID, Occurrence: k, Step: i},
			job:        j,
			occurrence: o,
			step:       &j.job.Definition.Steps[i],
		}
		s.tasks = make([]taskState, s.step.Tasks)
		s.tasksLeft = s.step.Tasks
		o.steps = append(o.steps, s)
	}
	return o
}

// findTask returns the step of a task, and whether the job has the task.
func (j *jobState) findTask(id job.TaskID) (*stepState, bool) {
	d := &j.job.Definition
	if id.Step < 0 || id.Step >= len(d.Steps) || id.Index < 0 || id.Index >= d.Steps[id.Step].Tasks {
		return nil, false
	}
	if id.Occurrence != 0 && (id.Occurrence < 0 || id.Occurrence >= d.Occurrences) {
		return nil, false
	}
	return j.occurrence(id.Occurrence).steps[id.Step], true
}

// stepState is the state of a step in one occurrence.
type stepState struct {
	id                job.StepID
	job               *jobState
	occurrence        *occurrence
	step              *job.Step
	tasks             []taskState
	secondRuns        []*run // of tasks that have another run; they are being stopped
	tasksLeft         int    // tasks that are not done
	openedAt          time.Time
	passedOverSince   time.Time // when a step that opened later was first started while this one was blocked; zero before
	promoted          bool      // it has been overdue; see promoteOverdue
	reservation       reservationSpan
	explainAt         time.Time // when the log next explains why the step waits
	checkpoint        string    // of a gang: the checkpoint of its furthest member
	checkpointPercent float64   // progress of that member
	advice            stepAdvice
	cachedLength      time.Duration // expected length of a task; zero before it is computed
	lengthVersion     int           // version of the forecast that cachedLength is from
	paces             []workerPace
	totalRunTime      time.Duration // sum over its completed runs that were not resumed
	endedRuns         int           // number of these runs
	moveCount         int           // how often runs were moved off slow workers
	lengths           lengths
	speedLengths      runtimes.StepLengths
	rackBlockedSince  time.Time // from when on no rack has had capacity for its tasks; zero before
	quotaHeldSince    time.Time // when its tenant's quota first held it back since its last start; zero if it has not
	atQuota           bool      // the last pass skipped it because of its tenant's quota
	aboveQuota        bool      // it was logged that it can never run within its tenant's quota
	avoidUntil        time.Time // until when it avoids suspect workers although most are; zero if most are not
	acceptsSuspects   bool      // that time has passed
	checkSuspectsAt   time.Time // when its suspect workers are counted next
}

// recordCheckpoint stores the checkpoint of a run. The checkpoint of any member is valid for
// the whole gang, so that of the furthest member is kept for the gang.
func (s *stepState) recordCheckpoint(index int, value string, percent float64) {
	s.tasks[index].checkpoint = value
	if percent >= s.checkpointPercent || s.checkpoint == "" {
		s.checkpoint, s.checkpointPercent = value, percent
	}
}

// observeLength counts a completed run that started without a checkpoint, with its length on the
// average worker.
func (s *stepState) observeLength(now time.Time, run *run, speeds *runtimes.Speeds) {
	if !run.resumed {
		s.totalRunTime += speeds.Nominal(run.worker.speed, now.Sub(run.orderedAt))
		s.endedRuns++
	}
}

func (s *stepState) complete() bool { return s.tasksLeft == 0 }

// allPresent reports whether each task that is not done has a run that its worker has
// confirmed.
func (s *stepState) allPresent() bool {
	for i := range s.tasks {
		if t := &s.tasks[i]; !t.done && (t.run == nil || t.run.presentSince.IsZero()) {
			return false
		}
	}
	return true
}

// failureIndex returns the index of the task that a failure counts for. All failures of a gang
// count for its first task.
func (s *stepState) failureIndex(index int) int {
	if s.step.Gang {
		return 0
	}
	return index
}

// taskState is the progress and the current run of one task.
type taskState struct {
	done       bool
	run        *run // the current run, or nil
	checkpoint string
	failures   []int64 // numbers of the failed runs
}

// idle reports whether the task can be started.
func (t *taskState) idle() bool { return !t.done && t.run == nil }

// run is one execution of a task on a worker, from the start order until its end is known.
type run struct {
	task           job.TaskID
	number         int64
	token          int64 // of its start order
	step           *stepState
	worker         *worker
	orderedAt      time.Time
	ticketless     bool               // its start carries no ticket
	unsent         bool               // its start waits for its record to be stored
	recorded       bool               // the store may hold a record of its start
	inherited      bool               // restored from the record of a predecessor's start
	start          *startwindow.Start // nil if another leader started it
	presentSince   time.Time          // when its worker first confirmed it; zero before
	stopping       bool
	stopSentAt     time.Time // time of the last stop order
	stopAnsweredAt time.Time // when a stop order was answered; zero before
	missedReadings int       // consecutive readings that did not list it
	unknownAt      time.Time // when its start order remained unanswered; zero otherwise
	goneAt         time.Time // when its worker was found to be gone; zero otherwise
	goneReason     string
	progress       progress
	speedObserved  bool // its progress or its end has been added to its worker's speed
	resumed        bool // from a checkpoint, or adopted from a predecessor

	tailMilliseconds float64   // tail latency of a service, from the last reading
	percentOfTime    int       // that a filler works, or paceUnknown
	pacedAt          time.Time // time of the last pace order
}

func compare[T cmp.Ordered](a, b T) int { return cmp.Compare(a, b) }
