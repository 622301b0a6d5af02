package dispatch

import (
	"time"

	"fuchsiacross/job"
	"fuchsiacross/runtimes"
)

// Events that Apply accepts.
type (
	// JobsLoaded carries the content of the store at the start of a leadership. Nothing starts
	// before it. Workers are those that an earlier leader enrolled: any of them may have runs,
	// even if its registration is missing. Resubmitted lists the jobs that have a row in each
	// of their homes, the store partitions that may hold a job.
	JobsLoaded struct {
		Jobs        []job.Job
		Resubmitted []job.ID
		Progress    []Progress
		Cancels     []CancelAccepted
		Workers     []Enrolment
		RunTimes    []byte // what earlier leaders learned about run times; empty if there is no row
	}
	// JobOffered reports a job that is being stored, so that advice is requested early.
	JobOffered struct{ Job job.Job }
	// JobAccepted reports a stored job. Notified is set if the instance that stored the job in
	// its main home notified this leader, and thus no other leader. An earlier leader may still
	// know the job from the store's change feed, or from another row if the client submitted it
	// twice; it starts such a job only after a later write of its own.
	JobAccepted struct {
		Job      job.Job
		Notified bool
	}
	// JobChangesRead reports that the jobs that were stored before a time have been posted: a
	// read of the store's change feed or of all rows was sent then and has been answered. It
	// follows the events of that read.
	JobChangesRead struct{ SentAt time.Time }
	// CancelAccepted reports a stored cancellation by a tenant. It does not concern the job of
	// another tenant with the same ID.
	CancelAccepted struct {
		ID     job.ID
		Tenant string
	}
	// ConfigurationChanged carries the latest configuration.
	ConfigurationChanged struct{ Configuration *job.Configuration }
	// WorkerListed carries the latest registration of a worker.
	WorkerListed struct{ Worker job.Worker }
	// WorkerUnlisted reports that the registration of a worker is gone.
	WorkerUnlisted struct{ ID job.WorkerID }
	// WorkersRead reports that the first read of all registrations is complete.
	WorkersRead struct{}
	// WorkerReading answers a ReadWorker. Replaced is set if another incarnation answers at
	// the worker's address, which proves that the runs of this one have ended.
	WorkerReading struct {
		ID       job.WorkerID
		Token    int64 // of the order
		SentAt   time.Time
		Reading  job.WorkerSnapshot
		Replaced bool
		Err      error
	}
	// StartAnswered answers a StartRun. NotExecuted is set if the worker did not execute the
	// order and never will.
	StartAnswered struct {
		Worker      job.WorkerID
		Token       int64 // of the order
		Clock       int64 // the worker's clock, in milliseconds; zero without an answer
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
		Token     int64 // of the order
		Task      job.TaskID
		Run       int64
		Rejection job.Rejection
		Err       error
	}
	// PaceAnswered answers a PaceRun.
	PaceAnswered struct {
		Worker    job.WorkerID
		Token     int64 // of the order
		Task      job.TaskID
		Run       int64
		Percent   int
		Rejection job.Rejection
		Err       error
	}
	// AdviceAnswered answers a RequestAdvice.
	AdviceAnswered struct {
		Number  int64
		Tickets []job.Ticket
		Err     error
	}
	// Saved reports that the Save with the given number is stored.
	Saved struct{ Number int64 }
	// SaveRejected reports that the store refuses the Save with the given number for good.
	SaveRejected struct {
		Number int64
		Err    error
	}
	// JobRemoved reports the result of a removal.
	JobRemoved struct {
		ID  job.ID
		Err error
	}
	// LeadershipConfirmed reports that the store confirmed the leadership at a time, by a
	// write with the given version.
	LeadershipConfirmed struct {
		At      time.Time
		Version int64
	}
	// Resigning reports that the leadership is about to be released.
	Resigning struct{}
	// LanesChanged lists the instances that can request advice; each is a lane.
	LanesChanged struct{ Names []string }
	// Tick triggers periodic work.
	Tick struct{}
)

// Effects lists what the caller of Apply has to carry out.
type Effects struct {
	Starts         []StartRun
	Stops          []StopRun
	Paces          []PaceRun
	Reads          []ReadWorker
	AdviceRequests []RequestAdvice
	Save           *Save
	// Removals lists the jobs whose rows are to be removed from the store.
	Removals []job.ID
	// Capacity reports where the capacity of the shard is; nil except every few seconds.
	Capacity *CapacityReport
	// Admission tells which tenants' jobs instances are to refuse; nil except every
	// admissionInterval, and always without tenants.
	Admission *Admission
	// Backlog tells of which queues instances are to refuse jobs because the leader has no
	// memory for more; nil except every admissionInterval.
	Backlog *BacklogReport
	// RunTimes compares predicted and measured run times; nil except every few seconds.
	RunTimes *runtimes.Report
	// Notes lists decisions and observations for the log.
	Notes []Note
	// LeadershipLost is set when a worker has seen a higher token.
	LeadershipLost bool
}

// StartRun starts a run. Deadline is the end of the lease in milliseconds of the worker's
// clock.
type StartRun struct {
	Worker     job.Worker
	Token      int64 // fencing token
	Task       job.TaskID
	Run        int64
	Spec       string
	Checkpoint string
	Ticket     string
	Deadline   int64
}

// StopRun stops a run.
type StopRun struct {
	Worker job.Worker
	Token  int64
	Task   job.TaskID
	Run    int64
}

// PaceRun sets the percentage of the time that a run works.
type PaceRun struct {
	Worker  job.Worker
	Token   int64
	Task    job.TaskID
	Run     int64
	Percent int
}

// ReadWorker reads a worker's runs and extends its lease to Deadline, in milliseconds of the
// worker's clock. A Deadline of zero extends no lease.
type ReadWorker struct {
	Worker          job.Worker
	Token           int64
	AcknowledgedEnd int64 // the worker forgets ends up to this number
	Deadline        int64
	LongPoll        bool // the worker delays its answer until a run ends
	ShortWait       bool // limits a long poll to a short time
}

// RequestAdvice requests tickets through the instance that Lane names.
type RequestAdvice struct {
	Number  int64
	Lane    string
	Step    job.StepID
	Workers []job.WorkerID
}

// Save stores the progress of jobs and the list of enrolled workers, which are those that may
// have runs. A worker gets no runs before its enrolment is stored. RemovedProgress lists the
// jobs whose progress is removed, RemovedParts the parts that newer ones have replaced.
type Save struct {
	Number          int64
	Progress        []Progress
	RemovedProgress []job.ID
	RemovedParts    []ProgressPart
	Enrolled        []Enrolment
	Unenrolled      []job.WorkerID
	RunTimes        []byte // state of the models of run times; empty if it is not written
}

// Enrolment is the stored record of a worker that may have runs.
type Enrolment struct {
	// Worker has the registration. Its StartTime is that of the incarnation that gets runs.
	Worker job.Worker
	// StrayLease is set while orders for an earlier incarnation may have extended the lease of
	// this one beyond what its leaders asked for.
	StrayLease bool
}

// Note is a decision or an observation for the log.
type Note struct {
	Kind   NoteKind
	Job    job.ID
	Task   job.TaskID
	Run    int64
	Worker job.WorkerID
	Detail string
	Age    time.Duration // depends on the kind, mostly the time since the job was accepted
}

// NoteKind is the kind of a note. It determines the log event.
type NoteKind int

// Kinds of notes.
const (
	NoteJobKnownToLeader NoteKind = iota
	NoteJobFinished
	NoteJobCancelled
	NoteRunOrdered
	NoteRunRejected
	NoteRunUnknown
	NoteRunEnded
	NoteRunGivenUp
	NoteWorkerRestarted
	NoteWorkerUnreachable
	NoteWorkerReachable
	NoteWorkerHealthChanged
	NoteAdviceFailed
	NoteRunMoved
	NoteRunPaced
	NoteStepWaiting
	NotePredecessorRunsSettled
	NoteProgressRejected
	NoteProgressDivided
	NoteRunAdopted
	NoteStepOverdue
	NoteTenantAtQuota
	NoteStepAboveQuota
	NoteShareExceeded
	NoteBacklogFull
	NoteRunTimesNotRestored
	// NoteKindCount is the number of kinds.
	NoteKindCount
)

// ProgressPart names a part of a job's progress.
type ProgressPart struct {
	ID   job.ID
	Part int
}

// Progress is the durable part of a job's state. The rest is recovered from the runs that the
// workers list. Progress that is too large for a row of the store has several parts, which are
// combined when they are loaded, in any order and with outdated ones among them. Only part 0 has
// the state.
type Progress struct {
	ID                   job.ID
	Part                 int       // zero for the first part
	State                job.State // final states only, otherwise empty
	Started              bool      // a run of the job has started
	CompletedOccurrences []OccurrenceRange
	Steps                []StepProgress // of occurrences that are not complete
}

// StepProgress is the progress of a step in one occurrence. A step may have several, each with a
// part of the lists.
type StepProgress struct {
	Occurrence int64
	Step       int
	Done       []byte // a bit set by task index
	Failures   []TaskFailures
	Starts     []StartRecord
	// AllowedWorkers and DeniedWorkers may and may not run the step. They are stored only if
	// the advice was expensive to get.
	AllowedWorkers, DeniedWorkers []job.WorkerID
}

// TaskFailures lists the failed runs of a task. The failures of a gang are listed under its
// first task.
type TaskFailures struct {
	Index int
	Runs  []int64
}
