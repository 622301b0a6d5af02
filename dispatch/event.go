package dispatch

import (
	"time"

	"fuchsiacross/job"
)

// Events that Apply accepts.
type (
	// JobsLoaded carries what the store held when the leadership began. Nothing
	// starts before it. Workers are those that an earlier leader has enrolled: any of
	// them may run something, also if its registration is missing. Resubmitted names
	// jobs that have a row in each home.
	JobsLoaded struct {
		Jobs        []job.Job
		Resubmitted []job.ID
		Progress    []Progress
		Cancels     []job.ID
		Workers     []job.Worker
	}
	// JobOffered reports a job that is being stored. Advice is asked for already.
	JobOffered struct{ Job job.Job }
	// JobAccepted reports a stored job. Told is set if the instance that stored it
	// has told this leader, and so no other one. An earlier leader may still know the
	// job by the changes of the store, or by another row, if its client has sent it
	// twice.
	JobAccepted struct {
		Job      job.Job
		Notified bool
	}
	// CancelAccepted reports a stored cancellation.
	CancelAccepted struct{ ID job.ID }
	// Configured carries the newest configuration.
	ConfigurationChanged struct{ Configuration *job.Configuration }
	// WorkerListed carries a worker's newest registration.
	WorkerListed struct{ Worker job.Worker }
	// WorkerUnlisted reports that a registration is gone.
	WorkerUnlisted struct{ ID job.WorkerID }
	// WorkersRead ends the first reading of the registrations.
	WorkersRead struct{}
	// WorkerReading answers a ReadWorker. Gone is set if another life answers at the
	// worker's address: what ran on this one has ended.
	WorkerReading struct {
		ID       job.WorkerID
		SentAt   time.Time
		Reading  job.WorkerSnapshot
		Replaced bool
		Err      error
	}
	// StartAnswered answers a StartRun. NotDone is set if the worker has not
	// carried out the order and never will.
	StartAnswered struct {
		Worker      job.WorkerID
		Task        job.TaskID
		Run         int64
		Rejection   job.Rejection
		Unhealthy   bool
		NotExecuted bool
		Err         error
	}
	// StopAnswered answers a StopRun.
	StopAnswered struct {
		Worker    job.WorkerID
		Task      job.TaskID
		Run       int64
		Rejection job.Rejection
		Err       error
	}
	// PaceAnswered answers a PaceRun.
	PaceAnswered struct {
		Worker    job.WorkerID
		Task      job.TaskID
		Run       int64
		Percent   int
		Rejection job.Rejection
		Err       error
	}
	// AdviceAnswered answers an AskAdvice.
	AdviceAnswered struct {
		Number  int64
		Tickets []job.Ticket
		Err     error
	}
	// Saved reports that a Save is stored.
	Saved struct{ Number int64 }
	// JobRemoved answers a removal.
	JobRemoved struct {
		ID  job.ID
		Err error
	}
	// Confirmed reports that the leadership was confirmed by the store at a time, by
	// a write with a version.
	LeadershipConfirmed struct {
		At      time.Time
		Version int64
	}
	// LanesChanged lists the instances that can ask for advice.
	LanesChanged struct{ Names []string }
	// Tick reports that time has passed.
	Tick struct{}
)

// Effects are what the caller of Apply has to do.
type Effects struct {
	Starts         []StartRun
	Stops          []StopRun
	Paces          []PaceRun
	Reads          []ReadWorker
	AdviceRequests []RequestAdvice
	Save           *Save
	// Removals are jobs whose rows are to be removed from the store.
	Removals []job.ID
	// Notes are decisions for the log.
	Notes []Note
	// Deposed is set when a worker has seen a higher token.
	LeadershipLost bool
}

// StartRun orders a run. Deadline is a reading of the worker's clock.
type StartRun struct {
	Worker     job.Worker
	Task       job.TaskID
	Run        int64
	Spec       string
	Checkpoint string
	Ticket     string
	Deadline   int64
}

// StopRun orders the end of a run.
type StopRun struct {
	Worker job.Worker
	Task   job.TaskID
	Run    int64
}

// PaceRun sets the share of time that a run works.
type PaceRun struct {
	Worker  job.Worker
	Task    job.TaskID
	Run     int64
	Percent int
}

// ReadWorker reads a worker's runs. Deadline is a reading of the worker's clock,
// or zero to extend no lease.
type ReadWorker struct {
	Worker          job.Worker
	AcknowledgedEnd int64
	Deadline        int64
	LongPoll        bool // the answer waits for an end
	ShortWait       bool // it waits for a short time only
}

// AskAdvice asks for tickets through the instance that Lane names.
type RequestAdvice struct {
	Number  int64
	Lane    string
	Step    job.StepID
	Workers []job.WorkerID
}

// Save stores the progress of jobs and the list of the workers that take runs. A
// worker gets none before it is stored there. The progress of forgotten jobs is
// removed.
type Save struct {
	Number          int64
	Progress        []Progress
	RemovedProgress []job.ID
	Enrolled        []job.Worker
	Unenrolled      []job.WorkerID
}

// Note is a decision or a change of belief.
type Note struct {
	Kind   NoteKind
	Job    job.ID
	Task   job.TaskID
	Run    int64
	Worker job.WorkerID
	Detail string
	Age    time.Duration
}

// NoteKind is the kind of a note.
type NoteKind int

// Kinds of notes.
const (
	NoteJobAccepted NoteKind = iota
	NoteJobFinished
	NoteJobCancelled
	NoteRunStarted
	NoteRunRejected
	NoteRunUnknown
	NoteRunEnded
	NoteRunGivenUp
	NoteWorkerRestarted
	NoteWorkerLost
	NoteWorkerFound
	NoteWorkerHealthChanged
	NoteAdviceFailed
	NoteRunMoved
	NoteRunPaced
	NoteStepWaits
	NotePredecessorRunsSettled
	// NoteKinds is the number of kinds.
	NoteKindCount
)

// Progress is the durable part of a job's state. Whatever it lacks is found
// again in the lists of the workers.
type Progress struct {
	ID      job.ID
	State   job.State // final states only; else empty
	Started bool
	Steps   []StepProgress
}

// StepProgress is the progress of one step of one occurrence.
type StepProgress struct {
	Occurrence int64
	Step       int
	Done       []byte // one bit for each task
	Failures   []TaskFailures
	// Good and Bad are the workers that may and may not run the step, where this
	// was dear to learn.
	AllowedWorkers, DeniedWorkers []job.WorkerID
}

// TaskFailures lists the runs of a task that have failed. A gang's failures are
// those of its first task.
type TaskFailures struct {
	Index int
	Runs  []int64
}
