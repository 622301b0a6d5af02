package home

import (
	"slices"
	"time"

	"fuchsiacross/event"
	"fuchsiacross/model"
	"fuchsiacross/requestjournal"
)

// taskState is the state of a task at the home of its request.
type taskState uint8

const (
	taskWaiting          taskState = iota + 1 // in the queue, or the acceptance of the request is not committed
	taskReserving                             // a peer was asked to reserve capacity
	taskCommittingIntent                      // capacity is reserved, the intent is not committed
	taskForwarded                             // the whole request was forwarded to a peer
	taskSent                                  // the start was sent and not answered
	taskRunning
	taskFencing // the state of the attempt at the worker is not known
	taskDone
)

// task is one task of a request.
type task struct {
	index             uint32
	state             taskState
	attemptNumber     uint32 // number of the latest attempt
	numberBase        uint32 // attempt numbers of this home are above it
	attemptCount      uint32 // number of attempts made by this home
	worker            model.WorkerID
	workerIncarnation model.Incarnation // incarnation of the worker at the latest attempt
	owner             model.InstanceID  // instance that starts the attempt, or that the request was forwarded to
	fenceAt           time.Time         // when to fence the attempt next
	fencingDeadline   time.Time         // when to stop fencing the attempt
	failures          uint32
	dueAt             time.Time // time of its entry in the queue of due tasks
	nextAuditAt       time.Time // when the state of a running task is queried again
	result            *model.TaskResult
	stopSent          bool // a stop was sent
}

// assignAttemptNumber assigns the next attempt number. Numbers must be
// unique: two copies of a task with equal numbers on two workers could not be
// told apart once one instance leases both workers.
func (t *task) assignAttemptNumber() {
	t.attemptNumber = max(t.attemptNumber, t.numberBase) + 1
	t.attemptCount++
}

// canAdopt reports whether an attempt reported by an owner becomes the latest
// attempt: the task waits, and this home has made no later attempt.
func (t *task) canAdopt(a model.Attempt) bool {
	return t.state == taskWaiting && (t.attemptCount == 0 || a.Number > t.attemptNumber)
}

// lacksIntentOf reports whether an owner reports an attempt of which this home
// has not committed the intent. An attempt that was not sent may be refused.
func (t *task) lacksIntentOf(u event.AttemptUpdate) bool {
	if n := u.Report.Attempt.Number; n != t.attemptNumber {
		return n > t.attemptNumber
	}
	return t.state == taskCommittingIntent && u.State != event.AttemptRefused
}

// attemptID returns the identifier of the latest attempt.
func (t *task) attemptID(id model.RequestID) model.Attempt {
	return model.Attempt{Request: id, Task: t.index, Number: t.attemptNumber}
}

// maxHistoryEntries is the maximum number of attempt events that an
// explanation shows.
const maxHistoryEntries = 16

// request is the state of a request whose home is this instance.
type request struct {
	spec                *model.Request
	partition           *partition // nil for an ephemeral request
	accepted            bool       // the acceptance is committed, or the request is ephemeral
	waiters             []Waiter
	tasks               []task
	openTasks           int   // number of tasks that are not done
	hops                uint8 // number of forwards of an ephemeral request so far
	cancelled           bool
	outcome             *model.Outcome   // set when settled; committed unless outcomePending
	outcomePending      bool             // the outcome is appended to the journal and not committed
	attemptMayHaveRun   bool             // an attempt may have run
	hasAbandonedAttempt bool             // an attempt of an ephemeral request was given up and may still start
	notRunProof         model.Proof      // proof for the latest attempt that did not run
	failureMessage      string           // error of the latest failed attempt
	waitReason          string           // why the request waits
	excludedWorkers     []model.WorkerID // workers that later attempts avoid
	forwardCall         event.CallID     // call of the latest forward
	gang                *gangReservation
	remoteRetryAt       time.Time // when peers may be asked for capacity again
	nextPreemptionAt    time.Time // when more tasks may be preempted for the request
	gangFailures        uint32    // failed tries to reserve a gang
	started             bool      // a start was sent; assumed for a restored service
	history             []event.AttemptView
	dropAt              time.Time // when a settled ephemeral request is dropped
}

func newRequest(spec *model.Request, p *partition) *request {
	r := &request{spec: spec, partition: p, notRunProof: model.ProofNeverSent}
	r.tasks = make([]task, spec.Tasks)
	for i := range r.tasks {
		r.tasks[i].index = uint32(i)
		r.tasks[i].state = taskWaiting
	}
	r.openTasks = len(r.tasks)
	return r
}

// atMostOnce reports whether each task must run at most once.
func (r *request) atMostOnce() bool { return !r.spec.Idempotent }

// taskOf returns the task of an attempt, or nil if the request has no such
// task.
func (r *request) taskOf(a model.Attempt) *task {
	if int64(a.Task) >= int64(len(r.tasks)) {
		return nil
	}
	return &r.tasks[a.Task]
}

// mayHaveRun reports whether an attempt has run, or was sent and is not
// proved not to have run.
func (r *request) mayHaveRun() bool {
	for i := range r.tasks {
		switch r.tasks[i].state {
		case taskForwarded, taskSent, taskRunning, taskFencing:
			return true
		}
	}
	return r.attemptMayHaveRun
}

// hasDurableResult reports whether a takeover does not need the result of an
// attempt: the journal has it, or the task may run more than once.
func (r *request) hasDurableResult(a model.Attempt) bool {
	if !r.atMostOnce() {
		return true
	}
	e, ok := r.partition.journal.Entry(r.spec.ID)
	if !ok {
		return false
	}
	i := slices.IndexFunc(e.Attempts, func(known requestjournal.AttemptEntry) bool { return known.Attempt == a })
	return i >= 0 && (e.Attempts[i].Result != nil || e.Attempts[i].NotRun)
}

// siblingWorkers returns the workers that run other tasks of a service.
func (r *request) siblingWorkers() []model.WorkerID {
	if r.spec.Kind != model.KindService {
		return nil
	}
	var workers []model.WorkerID
	for i := range r.tasks {
		if task := &r.tasks[i]; task.state == taskSent || task.state == taskRunning {
			workers = append(workers, task.worker)
		}
	}
	return workers
}

// addWaiter adds a waiter unless it is the zero Waiter or already present.
func (r *request) addWaiter(w Waiter) {
	if w.Kind == 0 {
		return
	}
	for _, existing := range r.waiters {
		if existing == w {
			return
		}
	}
	r.waiters = append(r.waiters, w)
}

// currentOutcome returns the outcome of a settled request, or the current
// state of one that is not settled.
func (r *request) currentOutcome() model.Outcome {
	if r.outcome != nil && !r.outcomePending {
		return *r.outcome
	}
	o := model.Outcome{Status: model.StatusWaiting, Reason: r.waitReason}
	for i := range r.tasks {
		if s := r.tasks[i].state; s == taskRunning || s == taskSent || s == taskFencing {
			o.Status = model.StatusRunning
			o.Worker = r.tasks[i].worker
			o.Attempt = r.tasks[i].attemptID(r.spec.ID)
			o.Reason = ""
			break
		}
	}
	return o
}

// addHistory adds an event of an attempt to the history and drops the oldest
// one if the history is full.
func (r *request) addHistory(now time.Time, a model.Attempt, w model.WorkerID, state, reason string) {
	if len(r.history) == maxHistoryEntries {
		r.history = append(r.history[:0], r.history[1:]...)
	}
	r.history = append(r.history, event.AttemptView{Attempt: a, Worker: w, State: state, At: now, Reason: reason})
}

// restoreRequest restores an unsettled request from its journal entry.
func restoreRequest(p *partition, e *requestjournal.Entry) *request {
	r := newRequest(e.Request, p)
	r.accepted = true
	for _, a := range e.Attempts {
		task := r.taskOf(a.Attempt)
		if task == nil || a.Attempt.Number < task.attemptNumber {
			continue
		}
		task.attemptNumber = a.Attempt.Number
		task.worker = a.Worker
		task.workerIncarnation = a.WorkerIncarnation
		switch {
		case a.NotRun:
			task.state = taskWaiting
			r.notRunProof = model.ProofTargetRefused
		case a.Result != nil:
			task.state = taskDone
			task.result = a.Result
			r.attemptMayHaveRun = true
			r.openTasks--
		default:
			task.state = taskFencing
		}
	}
	return r
}
