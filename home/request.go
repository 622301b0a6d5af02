package home

import (
	"time"

	"fuchsiacross/event"
	"fuchsiacross/model"
	"fuchsiacross/requestjournal"
)

type taskState uint8

const (
	taskWaiting   taskState = iota + 1 // in the queue, or its acceptance is not committed
	taskReserving                      // a peer was asked for room
	taskIntending                      // room is held, the intent is not committed
	taskForwarded                      // a peer has the whole request
	taskSent                           // the start was sent
	taskRunning
	taskFencing // its state at the worker is not known
	taskDone
)

// task is one task of a request.
type task struct {
	index    uint32
	state    taskState
	number   uint32 // of the latest attempt
	base     uint32 // below the numbers that this home gives to attempts
	tries    uint32 // attempts that this home has made
	worker   model.WorkerID
	life     model.Incarnation // of the worker at the latest attempt
	owner    model.InstanceID  // that sent the latest attempt
	askAt    time.Time         // when to fence the attempt
	giveUpAt time.Time         // when an attempt that cannot be fenced is unknown
	failures uint32
	dueAt    time.Time // of its entry in the queue of due tasks
	auditAt  time.Time // when a running task is asked after again
	result   *model.TaskResult
	stopped  bool // a stop was sent
}

// next numbers another attempt. Two copies of a task with equal numbers on two
// workers could not be told apart once one instance leases both workers.
func (t *task) next() {
	t.number = max(t.number, t.base) + 1
	t.tries++
}

// adopts reports whether an attempt that an owner names becomes the latest one:
// the task waits, and this home has made no later attempt.
func (t *task) adopts(a model.Attempt) bool {
	return t.state == taskWaiting && (t.tries == 0 || a.Number > t.number)
}

func (t *task) attempt(id model.RequestID) model.Attempt {
	return model.Attempt{Request: id, Task: t.index, Number: t.number}
}

// maxHistory bounds the attempts that an explanation shows.
const maxHistory = 16

// request is one request whose home is this instance.
type request struct {
	spec      *model.Request
	partition *partition // nil for an ephemeral request
	accepted  bool       // the acceptance is committed, or needs no commit
	waiters   []Waiter
	tasks     []task
	open      int // tasks that are not done
	hops      uint8
	cancelled bool
	outcome   *model.Outcome // decided, and committed unless settling
	settling  bool           // the outcome is appended and not committed
	ran       bool           // an attempt may have run
	astray    bool           // an attempt of an ephemeral request was given up and may still start
	proof     model.Proof    // of the latest attempt that did not run
	message   string         // error of the latest failed attempt
	reason    string         // why it waits
	exclude   []model.WorkerID
	call      event.CallID // of the forward or the gang reservation
	gang      *gang
	remoteAt  time.Time // when peers may be asked again
	preemptAt time.Time // when further work may be stopped for it
	gangTries uint32
	started   bool
	history   []event.AttemptView
	dropAt    time.Time // of a settled ephemeral request
}

func newRequest(spec *model.Request, p *partition) *request {
	r := &request{spec: spec, partition: p, proof: model.ProofNeverSent}
	r.tasks = make([]task, spec.Tasks)
	for i := range r.tasks {
		r.tasks[i].index = uint32(i)
		r.tasks[i].state = taskWaiting
	}
	r.open = len(r.tasks)
	return r
}

func (r *request) atMostOnce() bool { return !r.spec.Idempotent }

func (r *request) task(a model.Attempt) *task {
	if int64(a.Task) >= int64(len(r.tasks)) {
		return nil
	}
	return &r.tasks[a.Task]
}

// mayHaveRun reports whether an attempt has run, or was sent and is not proved
// not to have run.
func (r *request) mayHaveRun() bool {
	for i := range r.tasks {
		switch r.tasks[i].state {
		case taskForwarded, taskSent, taskRunning, taskFencing:
			return true
		}
	}
	return r.ran
}

// beside lists the workers that run other tasks of a service.
func (r *request) beside() []model.WorkerID {
	if r.spec.Kind != model.KindService {
		return nil
	}
	var workers []model.WorkerID
	for i := range r.tasks {
		if x := &r.tasks[i]; x.state == taskSent || x.state == taskRunning {
			workers = append(workers, x.worker)
		}
	}
	return workers
}

func (r *request) addWaiter(w Waiter) {
	if w.Kind == 0 {
		return
	}
	for _, have := range r.waiters {
		if have == w {
			return
		}
	}
	r.waiters = append(r.waiters, w)
}

// status is the state that a caller hears before the request is settled.
func (r *request) status() model.Outcome {
	if r.outcome != nil && !r.settling {
		return *r.outcome
	}
	o := model.Outcome{Status: model.StatusWaiting, Reason: r.reason}
	for i := range r.tasks {
		if s := r.tasks[i].state; s == taskRunning || s == taskSent || s == taskFencing {
			o.Status = model.StatusRunning
			o.Worker = r.tasks[i].worker
			o.Attempt = r.tasks[i].attempt(r.spec.ID)
			o.Reason = ""
			break
		}
	}
	return o
}

func (r *request) note(now time.Time, a model.Attempt, w model.WorkerID, state, reason string) {
	if len(r.history) == maxHistory {
		r.history = append(r.history[:0], r.history[1:]...)
	}
	r.history = append(r.history, event.AttemptView{Attempt: a, Worker: w, State: state, At: now, Reason: reason})
}

// restore rebuilds an unsettled request from its journal entry.
func restore(p *partition, e *requestjournal.Entry) *request {
	r := newRequest(e.Request, p)
	r.accepted = true
	for _, a := range e.Attempts {
		t := r.task(a.Attempt)
		if t == nil || a.Attempt.Number < t.number {
			continue
		}
		t.number = a.Attempt.Number
		t.worker = a.Worker
		t.life = a.Life
		switch {
		case a.Refused:
			t.state = taskWaiting
			r.proof = model.ProofTargetRefused
		case a.Result != nil:
			t.state = taskDone
			t.result = a.Result
			r.ran = true
			r.open--
		default:
			t.state = taskFencing
		}
	}
	return r
}
