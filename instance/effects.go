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
	// orderTimeout is after which an order without an answer counts as unknown; a
	// worker answers within some tens of milliseconds.
	orderTimeout = 300 * time.Millisecond
	readTimeout  = 500 * time.Millisecond // beyond the wait of a long poll
	longPoll     = 1600 * time.Millisecond
	shortPoll    = 400 * time.Millisecond // of a worker whose runs are late
)

// carryOut does what the reducer has decided.
func (l *leadership) carryOut(e dispatch.Effects) {
	for _, n := range e.Notes {
		l.i.logNote(n)
	}
	if e.LeadershipLost {
		l.depose("a worker has seen a higher token")
		return
	}
	if e.Save != nil {
		l.saver.Save(e.Save)
	}
	for _, id := range e.Removals {
		go l.remove(id)
	}
	for _, s := range e.Stops {
		go l.stop(s)
	}
	for _, s := range e.Starts {
		go l.start(s)
	}
	for _, p := range e.Paces {
		go l.pace(p)
	}
	for _, r := range e.Reads {
		go l.read(r)
	}
	for _, a := range e.AdviceRequests {
		l.ask(a)
	}
}

// remove deletes the rows of a job that ended long ago.
func (l *leadership) remove(id job.ID) {
	ctx, cancel := context.WithTimeout(l.ctx, storeTimeout)
	defer cancel()
	err := l.shard.jobs.Remove(ctx, id)
	if err != nil && l.ctx.Err() == nil {
		logevent.JobNotRemoved.Log(l.shard.log, zap.String("job", string(id)), failure(err))
	}
	l.post(dispatch.JobRemoved{ID: id, Err: err})
}

func (l *leadership) start(s dispatch.StartRun) {
	ctx, cancel := context.WithTimeout(l.ctx, orderTimeout)
	defer cancel()
	began := time.Now()
	rejection, err := l.i.runner.Start(ctx, s.Worker.Address, s.Worker.ID, runner.StartOrder{
		Task: s.Task, Run: s.Run, Spec: s.Spec, Checkpoint: s.Checkpoint, Ticket: s.Ticket,
		Token: l.token, Deadline: s.Deadline,
	})
	l.i.timer("start_order").UpdateSince(began)
	unhealthy := errors.Is(err, runner.ErrUnhealthy)
	l.post(dispatch.StartAnswered{
		Worker: s.Worker.ID, Task: s.Task, Run: s.Run, Rejection: rejection, Err: err, Unhealthy: unhealthy,
		NotExecuted: unhealthy || errors.Is(err, runner.ErrWrongLife) || errors.Is(err, runner.ErrMalformed),
	})
}

func (l *leadership) stop(s dispatch.StopRun) {
	ctx, cancel := context.WithTimeout(l.ctx, orderTimeout)
	defer cancel()
	rejection, err := l.i.runner.Stop(ctx, s.Worker.Address, s.Worker.ID, s.Task, s.Run, l.token)
	l.post(dispatch.StopAnswered{Worker: s.Worker.ID, Task: s.Task, Run: s.Run, Rejection: rejection, Err: err})
}

func (l *leadership) pace(p dispatch.PaceRun) {
	ctx, cancel := context.WithTimeout(l.ctx, orderTimeout)
	defer cancel()
	rejection, err := l.i.runner.Pace(ctx, p.Worker.Address, p.Worker.ID, p.Task, p.Run, l.token, p.Percent)
	l.post(dispatch.PaceAnswered{Worker: p.Worker.ID, Task: p.Task, Run: p.Run, Percent: p.Percent, Rejection: rejection, Err: err})
}

func (l *leadership) read(r dispatch.ReadWorker) {
	order := runner.ReadOrder{Token: l.token, Seen: r.AcknowledgedEnd, Deadline: r.Deadline}
	switch {
	case r.ShortWait:
		order.Wait = shortPoll
	case r.LongPoll:
		order.Wait = longPoll
	}
	ctx, cancel := context.WithTimeout(l.ctx, order.Wait+readTimeout)
	defer cancel()
	sentAt := time.Now()
	reading, err := l.i.runner.Read(ctx, r.Worker.Address, r.Worker.ID, order)
	l.post(dispatch.WorkerReading{
		ID: r.Worker.ID, SentAt: sentAt, Reading: reading, Replaced: errors.Is(err, runner.ErrWrongLife), Err: err,
	})
}

// ask makes a call for advice through the instance of its lane.
func (l *leadership) ask(a dispatch.RequestAdvice) {
	if a.Lane == l.i.settings.Name {
		go func() {
			tickets, err := l.i.askAdvice(a.Step, a.Workers)
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
	conn.Send(link.Message{Kind: link.KindAsk, Number: a.Number, Step: a.Step, Workers: a.Workers})
}

// logNote writes a decision of the reducer to the log and the counters.
func (i *Instance) logNote(n dispatch.Note) {
	event := noteEvents[n.Kind]
	i.counter("note." + event.Message).Inc(1)
	if n.Kind == dispatch.NoteRunStarted {
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

// noteEvents has the log event of each kind of note.
var noteEvents = map[dispatch.NoteKind]logevent.Event{
	dispatch.NoteJobAccepted:            logevent.JobAccepted,
	dispatch.NoteJobFinished:            logevent.JobFinished,
	dispatch.NoteJobCancelled:           logevent.JobCancelled,
	dispatch.NoteRunStarted:             logevent.RunStarted,
	dispatch.NoteRunRejected:            logevent.RunRejected,
	dispatch.NoteRunUnknown:             logevent.RunUnknown,
	dispatch.NoteRunEnded:               logevent.RunEnded,
	dispatch.NoteRunGivenUp:             logevent.RunLapsed,
	dispatch.NoteWorkerRestarted:        logevent.WorkerReborn,
	dispatch.NoteWorkerLost:             logevent.WorkerUnreachable,
	dispatch.NoteWorkerFound:            logevent.WorkerReached,
	dispatch.NoteWorkerHealthChanged:    logevent.WorkerJudged,
	dispatch.NoteAdviceFailed:           logevent.AdviceFailed,
	dispatch.NoteRunMoved:               logevent.RunMoved,
	dispatch.NoteRunPaced:               logevent.RunPaced,
	dispatch.NoteStepWaits:              logevent.StepWaits,
	dispatch.NotePredecessorRunsSettled: logevent.RunsSettled,
}

func (i *Instance) counter(name string) metrics.Counter {
	return metrics.GetOrRegisterCounter(name, i.metrics)
}

// sampleSize and sampleBias set how far back a histogram looks: about five
// minutes, as the metrics library recommends.
const (
	sampleSize = 1028
	sampleBias = 0.015
)

func (i *Instance) histogram(name string) metrics.Histogram {
	if known, ok := i.metrics.Get(name).(metrics.Histogram); ok {
		return known
	}
	return metrics.GetOrRegisterHistogram(name, i.metrics, metrics.NewExpDecaySample(sampleSize, sampleBias))
}

func (i *Instance) timer(name string) metrics.Timer {
	return metrics.GetOrRegisterTimer(name, i.metrics)
}
