package instance

import (
	"context"
	"errors"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"fuchsiacross/dispatch"
	"fuchsiacross/job"
	"fuchsiacross/link"
	"fuchsiacross/logevent"
	"fuchsiacross/platform/runner"
)

const (
	// orderTimeout is the time after which the outcome of an order to a worker (start, stop
	// or pace) counts as unknown. A worker answers within some tens of milliseconds.
	orderTimeout      = 300 * time.Millisecond
	readMargin        = 500 * time.Millisecond // added to the wait of a poll to get the timeout of the call
	longPollDuration  = 1600 * time.Millisecond
	shortPollDuration = 400 * time.Millisecond // for a worker that is unreliable or whose runs have to be watched
)

// executeEffects executes the effects that the reducer returned. After the end of the term or
// the release it sends nothing: while the links are still open for the announcement, the
// successor may already have read the workers.
func (l *leadership) executeEffects(e dispatch.Effects) {
	for _, n := range e.Notes {
		l.instance.logNote(n)
	}
	if e.RunTimes != nil {
		l.shard.logRunTimes(e.RunTimes)
	}
	if e.Capacity != nil {
		l.shard.logCapacity(e.Capacity, time.Now())
	}
	if e.Admission != nil {
		l.announceAdmission(e.Admission)
	}
	if e.Backlog != nil {
		l.announceBacklog(e.Backlog)
	}
	if l.released.Load() || l.ctx.Err() != nil {
		return
	}
	if e.LeadershipLost {
		l.stepDown("a worker has seen a higher token")
		return
	}
	if e.Save != nil {
		l.saver.Save(e.Save)
	}
	for _, id := range e.Removals {
		go l.removeJob(id)
	}
	for _, s := range e.Stops {
		go l.stopRun(s)
	}
	for _, s := range e.Starts {
		go l.startRun(s)
	}
	for _, p := range e.Paces {
		go l.setPace(p)
	}
	for _, r := range e.Reads {
		go l.readWorker(r)
	}
	for _, a := range e.AdviceRequests {
		l.requestAdvice(a)
	}
}

// removeJob deletes the rows of a job whose retention time has passed.
func (l *leadership) removeJob(id job.ID) {
	ctx, cancel := context.WithTimeout(l.ctx, storeTimeout)
	defer cancel()
	err := l.shard.jobs.Remove(ctx, id)
	if err != nil && l.ctx.Err() == nil {
		logevent.JobNotRemoved.Log(l.shard.log, zap.String("job", string(id)), errorField(err))
	}
	l.post(dispatch.JobRemoved{ID: id, Err: err})
}

func (l *leadership) startRun(s dispatch.StartRun) {
	ctx, cancel := context.WithTimeout(l.ctx, orderTimeout)
	defer cancel()
	began := time.Now()
	answer, err := l.instance.runner.Start(ctx, s.Worker.Address, s.Worker.ID, runner.StartOrder{
		Task: s.Task, Run: s.Run, Spec: s.Spec, Checkpoint: s.Checkpoint, Ticket: s.Ticket,
		Token: s.Token, DeadlineMilliseconds: s.Deadline,
	})
	l.instance.timer("start_order").UpdateSince(began)
	unhealthy := errors.Is(err, runner.ErrUnhealthy)
	l.post(dispatch.StartAnswered{
		Worker: s.Worker.ID, Token: s.Token, Task: s.Task, Run: s.Run, Clock: answer.ClockMilliseconds, Rejection: answer.Rejection, Err: err, Unhealthy: unhealthy,
		NotExecuted: err != nil && runner.IsNotExecuted(err),
	})
}

func (l *leadership) stopRun(s dispatch.StopRun) {
	ctx, cancel := context.WithTimeout(l.ctx, orderTimeout)
	defer cancel()
	rejection, err := l.instance.runner.Stop(ctx, s.Worker.Address, s.Worker.ID, s.Task, s.Run, s.Token)
	l.post(dispatch.StopAnswered{Worker: s.Worker.ID, Token: s.Token, Task: s.Task, Run: s.Run, Rejection: rejection, Err: err})
}

func (l *leadership) setPace(p dispatch.PaceRun) {
	ctx, cancel := context.WithTimeout(l.ctx, orderTimeout)
	defer cancel()
	rejection, err := l.instance.runner.SetPace(ctx, p.Worker.Address, p.Worker.ID, p.Task, p.Run, p.Token, p.Percent)
	l.post(dispatch.PaceAnswered{Worker: p.Worker.ID, Token: p.Token, Task: p.Task, Run: p.Run, Percent: p.Percent, Rejection: rejection, Err: err})
}

func (l *leadership) readWorker(r dispatch.ReadWorker) {
	order := runner.ReadOrder{Token: r.Token, AcknowledgedEnd: r.AcknowledgedEnd, DeadlineMilliseconds: r.Deadline}
	switch {
	case r.ShortWait:
		order.Wait = shortPollDuration
	case r.LongPoll:
		order.Wait = longPollDuration
	}
	ctx, cancel := context.WithTimeout(l.ctx, order.Wait+readMargin)
	defer cancel()
	sentAt := time.Now()
	reading, err := l.instance.runner.Read(ctx, r.Worker.Address, r.Worker.ID, order)
	l.post(dispatch.WorkerReading{
		ID: r.Worker.ID, Token: r.Token, SentAt: sentAt, Reading: reading, Replaced: errors.Is(err, runner.ErrWrongIncarnation), Err: err,
	})
}

// requestAdvice makes a call for advice through the instance of the call's lane.
func (l *leadership) requestAdvice(a dispatch.RequestAdvice) {
	if a.Lane == l.instance.settings.Name {
		go func() {
			tickets, err := l.instance.callAdviceService(a.Step, a.Workers)
			l.post(dispatch.AdviceAnswered{Number: a.Number, Tickets: tickets, Err: err})
		}()
		return
	}
	l.mu.Lock()
	m := l.members[a.Lane]
	var conn *link.Conn
	if m != nil {
		conn = m.conn
	}
	l.mu.Unlock()
	if conn == nil {
		go l.post(dispatch.AdviceAnswered{Number: a.Number, Err: adviceError("the instance has no link")})
		return
	}
	conn.Send(link.Message{Kind: link.KindAdviceRequest, Number: a.Number, Step: a.Step, Workers: a.Workers})
}

// logNote records a decision of the reducer in the log and the metrics.
func (i *Instance) logNote(n dispatch.Note) {
	event := noteEvents[n.Kind]
	i.counter("note." + event.Message).Inc(1)
	if n.Kind == dispatch.NoteRunOrdered {
		i.timer("accepted_to_start").Update(n.Age)
	}
	fields := make([]zap.Field, 0, 6)
	if n.Job != "" {
		fields = append(fields, zap.String("job", string(n.Job)))
	}
	if n.Task != (job.TaskID{}) {
		fields = append(fields, zap.Stringer("task", n.Task), zap.Int64("run", n.Run))
	}
	if n.Worker != "" {
		fields = append(fields, zap.String("worker", string(n.Worker)))
	}
	if n.Detail != "" {
		fields = append(fields, zap.String("detail", n.Detail))
	}
	if n.Age != 0 {
		fields = append(fields, zap.Duration("age", n.Age))
	}
	event.Log(i.log, fields...)
}

// noteEvents maps each kind of note to its log event.
var noteEvents = map[dispatch.NoteKind]logevent.Event{
	dispatch.NoteJobKnownToLeader:       logevent.JobKnownToLeader,
	dispatch.NoteJobFinished:            logevent.JobFinished,
	dispatch.NoteJobCancelled:           logevent.JobCancelled,
	dispatch.NoteRunOrdered:             logevent.RunOrdered,
	dispatch.NoteRunRejected:            logevent.RunRejected,
	dispatch.NoteRunUnknown:             logevent.RunUnknown,
	dispatch.NoteRunEnded:               logevent.RunEnded,
	dispatch.NoteRunGivenUp:             logevent.RunGivenUp,
	dispatch.NoteWorkerRestarted:        logevent.WorkerRestarted,
	dispatch.NoteWorkerUnreachable:      logevent.WorkerUnreachable,
	dispatch.NoteWorkerReachable:        logevent.WorkerReachable,
	dispatch.NoteWorkerHealthChanged:    logevent.WorkerHealthChanged,
	dispatch.NoteAdviceFailed:           logevent.AdviceFailed,
	dispatch.NoteRunMoved:               logevent.RunMoved,
	dispatch.NoteRunPaced:               logevent.RunPaced,
	dispatch.NoteStepWaiting:            logevent.StepWaiting,
	dispatch.NotePredecessorRunsSettled: logevent.PredecessorRunsSettled,
	dispatch.NoteProgressRejected:       logevent.ProgressRejected,
	dispatch.NoteProgressDivided:        logevent.ProgressDivided,
	dispatch.NoteRunAdopted:             logevent.RunAdopted,
	dispatch.NoteStepOverdue:            logevent.StepOverdue,
	dispatch.NoteTenantAtQuota:          logevent.TenantAtQuota,
	dispatch.NoteStepAboveQuota:         logevent.StepAboveQuota,
	dispatch.NoteShareExceeded:          logevent.ShareExceeded,
	dispatch.NoteBacklogFull:            logevent.BacklogFull,
	dispatch.NoteRunTimesNotRestored:    logevent.RunTimesNotRestored,
}

func (i *Instance) counter(name string) metrics.Counter {
	return metrics.GetOrRegisterCounter(name, i.metrics)
}

// histogramSampleSize and histogramDecayFactor make a histogram cover about the last five
// minutes, as the metrics library recommends.
const (
	histogramSampleSize  = 1028
	histogramDecayFactor = 0.015
)

func (i *Instance) histogram(name string) metrics.Histogram {
	if known, ok := i.metrics.Get(name).(metrics.Histogram); ok {
		return known
	}
	return metrics.GetOrRegisterHistogram(name, i.metrics, metrics.NewExpDecaySample(histogramSampleSize, histogramDecayFactor))
}

func (i *Instance) timer(name string) metrics.Timer {
	return metrics.GetOrRegisterTimer(name, i.metrics)
}
