package workerstandin

import (
	"context"
	"time"

	"google.golang.org/protobuf/types/known/timestamppb"

	"fuchsiacross/model"
	"fuchsiacross/workerv1"
)

// task is one attempt that the worker started.
type task struct {
	attempt   model.Attempt
	start     *workerv1.Start
	resources model.Resources
	behaviour Behaviour
	startedAt time.Time
	ctx       context.Context
	cancel    context.CancelFunc
	done      chan struct{} // closed when the task has ended

	// The rest is guarded by the worker.
	state   workerv1.TaskState
	result  *workerv1.Result
	awaited int // Run calls waiting for the result
}

// admit starts an attempt or returns the reason for refusing it. An attempt
// that the worker holds already is returned as it is. The caller holds the lock.
func (w *Worker) admit(short *workerv1.Start) (*task, string) {
	start := w.expand(short)
	if start == nil {
		return nil, "the profile is not known"
	}
	attempt := attemptFromWire(start.GetAttempt())
	resources := resourcesFromWire(start.GetResources())
	if known := w.tasks[attempt]; known != nil {
		if w.options.Permissive {
			w.violation(RuleAttemptReused, attempt, "the attempt is at the worker already")
		}
		return known, ""
	}
	for _, fault := range w.startFaults(start, attempt, resources) {
		if !w.trusts(fault.rule) {
			w.tombstones[attempt] = fault.detail
			w.record(Entry{
				Kind: EntryRefused, Term: model.Term(start.GetTerm()), Attempt: attempt,
				Resources: resources, Detail: fault.detail,
			})
			return nil, fault.detail
		}
		w.violation(fault.rule, attempt, "%s", fault.detail)
	}
	return w.begun(start, attempt, resources), ""
}

// trusts reports whether a start that breaks a rule is carried out.
func (w *Worker) trusts(r Rule) bool {
	if r == RuleOlderTerm || r == RuleFencedAttempt {
		return w.options.Unguarded
	}
	return w.options.Permissive
}

// begun runs an admitted attempt.
func (w *Worker) begun(start *workerv1.Start, attempt model.Attempt, resources model.Resources) *task {
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
	w.used = w.used.Add(resources)
	w.recorder.start(w.entryOf(t, EntryStarted, ""))
	if start.GetBodyStored() {
		go func() { w.fetch(t) }()
		return t
	}
	w.behave(t, start.GetBody())
	return t
}

// fetch gets a stored body and lets the task run.
func (w *Worker) fetch(t *task) {
	if w.options.FetchBody == nil || len(t.start.GetBodyDigest()) != len(model.Digest{}) {
		w.finish(t, failed("the body is stored and cannot be fetched"))
		return
	}
	digest := model.Digest(t.start.GetBodyDigest())
	body, err := w.options.FetchBody(t.ctx, digest)
	switch {
	case err != nil:
		w.finish(t, failed("fetch the body: "+err.Error()))
	case model.DigestOf(body) != digest:
		w.finish(t, failed("the fetched body does not match its digest"))
	default:
		w.mu.Lock()
		defer w.mu.Unlock()
		w.behave(t, body)
	}
}

// behave runs the task as its body and the worker's faults say.
func (w *Worker) behave(t *task, body []byte) {
	kind := kindFromWire(t.start.GetKind())
	t.behaviour = behaviourOf(body, kind)
	run := time.Duration(float64(t.behaviour.RunMilliseconds) * factor(w.faults.RunFactor) * float64(time.Millisecond))
	switch {
	case w.faults.FailAll:
		time.AfterFunc(0, func() { w.finish(t, failed("the worker fails every task")) })
	case kind == model.KindService && t.behaviour.RunMilliseconds == 0 && !t.behaviour.Fail:
	case t.behaviour.Fail:
		time.AfterFunc(run, func() { w.finish(t, failed("the task failed as its body says")) })
	default:
		time.AfterFunc(run, func() { w.finish(t, succeeded(t)) })
	}
}

func failed(message string) *workerv1.Result {
	digest := model.DigestOf(nil)
	return &workerv1.Result{Message: message, AnswerDigest: digest[:]}
}

func succeeded(t *task) *workerv1.Result {
	answer := AnswerFor(t.attempt.Request, t.behaviour.AnswerBytes)
	digest := model.DigestOf(answer)
	return &workerv1.Result{Succeeded: true, Answer: answer, AnswerDigest: digest[:]}
}

// finish ends a running task with a result.
func (w *Worker) finish(t *task, result *workerv1.Result) {
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
	w.ended(t, kind)
}

// stop ends a task on command. Ended tasks are reported again.
func (w *Worker) stop(a model.Attempt, checkpoint bool) {
	t := w.tasks[a]
	if t == nil {
		return
	}
	if t.state != workerv1.TaskState_TASK_STATE_RUNNING {
		w.reportFinished(t)
		return
	}
	if checkpoint {
		w.record(w.entryOf(t, EntryCheckpoint, ""))
	}
	t.state = workerv1.TaskState_TASK_STATE_STOPPED
	w.ended(t, EntryStopped)
}

// ended gives a task's resources back and reports its end, through the Run call
// that waits for it or else through the session. The connection of a call from
// an earlier term may be cut, so its result also goes through the session.
func (w *Worker) ended(t *task, kind EntryKind) {
	t.cancel()
	w.used = w.used.Sub(t.resources)
	w.recordEnd(t, kind, t.result.GetMessage())
	if t.awaited == 0 || model.Term(t.start.GetTerm()) != w.term {
		w.reportFinished(t)
	}
	close(t.done)
}

// reportFinished sends Finished through the current session.
func (w *Worker) reportFinished(t *task) {
	if w.current == nil || w.dropsAnswer() {
		return
	}
	w.current.send(&workerv1.Report{Report: &workerv1.Report_Finished{Finished: w.finishedToWire(t, w.current.term)}})
}

// dropsAnswer uses up one of the answers that are to be lost.
func (w *Worker) dropsAnswer() bool {
	if w.faults.DropAnswers <= 0 {
		return false
	}
	w.faults.DropAnswers--
	return true
}

func (w *Worker) finishedToWire(t *task, term model.Term) *workerv1.Finished {
	attempt, tag := nameFor(t.start, term)
	return &workerv1.Finished{
		Attempt: attempt,
		Tag:     tag,
		Result:  w.resultToWire(t),
		Stopped: t.state == workerv1.TaskState_TASK_STATE_STOPPED,
	}
}

// resultToWire uses up one of the answers that are to be truncated.
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

func (w *Worker) reportToWire(t *task) *workerv1.TaskReport {
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

func (w *Worker) entryOf(t *task, kind EntryKind, detail string) Entry {
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

func (w *Worker) recordEnd(t *task, kind EntryKind, detail string) {
	w.recorder.end(w.entryOf(t, kind, detail))
}
