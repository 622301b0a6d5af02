package workerstandin

import (
	"context"
	"time"

	"google.golang.org/protobuf/types/known/timestamppb"

	"fuchsiacross/model"
	"fuchsiacross/workerv1"
)

// task is one attempt that the worker has started.
type task struct {
	attempt   model.Attempt
	start     *workerv1.Start
	resources model.Resources
	behaviour Behaviour
	startedAt time.Time
	ctx       context.Context
	cancel    context.CancelFunc
	done      chan struct{} // closed when the task has ended

	// The worker's lock guards the fields below.
	state           workerv1.TaskState
	result          *workerv1.Result
	pendingRunCalls int // number of Run calls that wait for the result
}

// admit starts an attempt or returns the reason for refusing it. A repeated start
// returns the existing task of the attempt. The caller holds the lock.
func (w *Worker) admit(received *workerv1.Start) (*task, string) {
	start := w.expandProfile(received)
	if start == nil {
		return nil, "the profile is not known"
	}
	attempt := attemptFromWire(start.GetAttempt())
	resources := resourcesFromWire(start.GetResources())
	if known := w.tasks[attempt]; known != nil {
		if w.options.Permissive {
			w.recordViolation(RuleAttemptReused, attempt, "the attempt is at the worker already")
		}
		return known, ""
	}
	for _, violation := range w.findStartViolations(start, attempt, resources) {
		if !w.permitsViolation(violation.rule) {
			w.tombstones[attempt] = violation.detail
			w.recordEntry(Entry{
				Kind: EntryRefused, Term: model.Term(start.GetTerm()), Attempt: attempt,
				Resources: resources, Detail: violation.detail,
			})
			return nil, violation.detail
		}
		w.recordViolation(violation.rule, attempt, "%s", violation.detail)
	}
	return w.startTask(start, attempt, resources), ""
}

// permitsViolation reports whether the options let the worker carry out a start
// that breaks a rule.
func (w *Worker) permitsViolation(r Rule) bool {
	if r == RuleStaleTerm || r == RuleFencedAttempt {
		return w.options.IgnoreFencing
	}
	return w.options.Permissive
}

// startTask runs an admitted attempt.
func (w *Worker) startTask(start *workerv1.Start, attempt model.Attempt, resources model.Resources) *task {
	t := &task{
		attempt:   attempt,
		start:     start,
		resources: resources,
		startedAt: time.Now(),
		state:     workerv1.TaskState_TASK_STATE_RUNNING,
		done:      make(chan struct{}),
	}
	t.ctx, t.cancel = context.WithCancel(context.Background())
	w.tasks[attempt] = t
	w.reserved = w.reserved.Add(resources)
	w.recorder.recordStart(w.taskEntry(t, EntryStarted, ""))
	if start.GetBodyStored() {
		go func() { w.fetchBody(t) }()
		return t
	}
	w.scheduleEnd(t, start.GetBody())
	return t
}

// fetchBody fetches a stored body, checks its digest and runs the task with it.
func (w *Worker) fetchBody(t *task) {
	if w.options.FetchBody == nil || len(t.start.GetBodyDigest()) != len(model.Digest{}) {
		w.finishTask(t, failedResult("the body is stored and cannot be fetched"))
		return
	}
	digest := model.Digest(t.start.GetBodyDigest())
	body, err := w.options.FetchBody(t.ctx, digest)
	switch {
	case err != nil:
		w.finishTask(t, failedResult("fetch the body: "+err.Error()))
	case model.DigestOf(body) != digest:
		w.finishTask(t, failedResult("the fetched body does not match its digest"))
	default:
		w.mu.Lock()
		defer w.mu.Unlock()
		w.scheduleEnd(t, body)
	}
}

// scheduleEnd schedules the end of the task according to its body and the worker's
// faults. The caller holds the lock. The end takes the lock as well, so even an
// immediate end runs in a timer.
func (w *Worker) scheduleEnd(t *task, body []byte) {
	kind := kindFromWire(t.start.GetKind())
	t.behaviour = parseBehaviour(body, kind)
	runTime := time.Duration(float64(t.behaviour.RunMilliseconds) * factorOrOne(w.faults.RunFactor) * float64(time.Millisecond))
	switch {
	case w.faults.FailAll:
		time.AfterFunc(0, func() { w.finishTask(t, failedResult("the worker fails every task")) })
	case kind == model.KindService && t.behaviour.RunMilliseconds == 0 && !t.behaviour.Fail:
	case t.behaviour.Fail:
		time.AfterFunc(runTime, func() { w.finishTask(t, failedResult("the task failed as its body says")) })
	default:
		time.AfterFunc(runTime, func() { w.finishTask(t, successfulResult(t)) })
	}
}

// failedResult returns the result of a failed task.
func failedResult(message string) *workerv1.Result {
	digest := model.DigestOf(nil)
	return &workerv1.Result{Message: message, AnswerDigest: digest[:]}
}

// successfulResult returns the result of a task that succeeded.
func successfulResult(t *task) *workerv1.Result {
	answer := AnswerFor(t.attempt.Request, t.behaviour.AnswerBytes)
	digest := model.DigestOf(answer)
	return &workerv1.Result{Succeeded: true, Answer: answer, AnswerDigest: digest[:]}
}

// finishTask ends a running task with a result. It does nothing if the task has
// already ended.
func (w *Worker) finishTask(t *task, result *workerv1.Result) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if t.state != workerv1.TaskState_TASK_STATE_RUNNING {
		return
	}
	t.state = workerv1.TaskState_TASK_STATE_FINISHED
	t.result = result
	kind := EntryFinished
	if !result.GetSucceeded() {
		kind = EntryFailed
	}
	w.endTask(t, kind)
}

// stopTask ends a task on a command of the holder. If the task has already ended,
// its result is sent again.
func (w *Worker) stopTask(a model.Attempt, checkpoint bool) {
	t := w.tasks[a]
	if t == nil {
		return
	}
	if t.state != workerv1.TaskState_TASK_STATE_RUNNING {
		w.reportFinished(t)
		return
	}
	if checkpoint {
		w.recordEntry(w.taskEntry(t, EntryCheckpoint, ""))
	}
	t.state = workerv1.TaskState_TASK_STATE_STOPPED
	w.endTask(t, EntryStopped)
}

// endTask releases a task's resources and reports its end, through the Run calls
// that wait for it or else through the session. The connection of a Run call from
// an earlier term may be broken, so its result also goes through the session.
func (w *Worker) endTask(t *task, kind EntryKind) {
	t.cancel()
	w.reserved = w.reserved.Sub(t.resources)
	w.recordTaskEnd(t, kind, t.result.GetMessage())
	if t.pendingRunCalls == 0 || model.Term(t.start.GetTerm()) != w.term {
		w.reportFinished(t)
	}
	close(t.done)
}

// reportFinished sends Finished through the current session, if there is one.
func (w *Worker) reportFinished(t *task) {
	if w.currentSession == nil || w.takeDropFault() {
		return
	}
	w.currentSession.enqueue(&workerv1.Report{Report: &workerv1.Report_Finished{Finished: w.finishedToWire(t, w.currentSession.term)}})
}

// takeDropFault reports whether an answer is to be dropped, and counts down the
// fault DropAnswers.
func (w *Worker) takeDropFault() bool {
	if w.faults.DropAnswers <= 0 {
		return false
	}
	w.faults.DropAnswers--
	return true
}

func (w *Worker) finishedToWire(t *task, term model.Term) *workerv1.Finished {
	attempt, tag := attemptOrTag(t.start, term)
	return &workerv1.Finished{
		Attempt: attempt,
		Tag:     tag,
		Result:  w.resultToWire(t),
		Stopped: t.state == workerv1.TaskState_TASK_STATE_STOPPED,
	}
}

// resultToWire returns a task's result. While the fault TruncateAnswers is set, it
// returns half of a non-empty answer and counts the fault down.
func (w *Worker) resultToWire(t *task) *workerv1.Result {
	answer := t.result.GetAnswer()
	if w.faults.TruncateAnswers <= 0 || len(answer) == 0 {
		return t.result
	}
	w.faults.TruncateAnswers--
	return &workerv1.Result{
		Succeeded:    t.result.GetSucceeded(),
		Message:      t.result.GetMessage(),
		Answer:       answer[:len(answer)/2],
		AnswerDigest: t.result.GetAnswerDigest(),
	}
}

func (w *Worker) taskReportToWire(t *task) *workerv1.TaskReport {
	report := &workerv1.TaskReport{
		Attempt:   t.start.GetAttempt(),
		State:     t.state,
		Resources: t.start.GetResources(),
		Team:      t.start.GetTeam(),
		Workload:  t.start.GetWorkload(),
		Kind:      t.start.GetKind(),
		Class:     t.start.GetClass(),
		StartedAt: timestamppb.New(t.startedAt),
	}
	if t.state == workerv1.TaskState_TASK_STATE_FINISHED {
		report.Result = w.resultToWire(t)
	}
	return report
}

// taskEntry returns an entry about a task at the present time.
func (w *Worker) taskEntry(t *task, kind EntryKind, detail string) Entry {
	return Entry{
		At:         time.Now(),
		Kind:       kind,
		Worker:     w.options.ID,
		Term:       model.Term(t.start.GetTerm()),
		Holder:     w.holder,
		Attempt:    t.attempt,
		TaskKind:   kindFromWire(t.start.GetKind()),
		Idempotent: t.start.GetIdempotent(),
		Resources:  t.resources,
		Detail:     detail,
	}
}

func (w *Worker) recordTaskEnd(t *task, kind EntryKind, detail string) {
	w.recorder.recordEnd(w.taskEntry(t, kind, detail))
}
