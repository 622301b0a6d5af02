package jobstore

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"fuchsiacross/dispatch"
)

const (
	saveTimeout = 1500 * time.Millisecond // of one copy of a write; a slow store answers within about 0.5 s
	saveRetry   = 150 * time.Millisecond  // after a refusal
)

// writing is one write of a saver until it is stored. While it has no answer, the row
// is read, and a copy is sent if that shows that the write was not carried out. All
// copies expect the same version, so that one of them counts at most, and none that is
// carried out late. A slow store carries the writes of a partition out one after
// another, so that copies would delay it further.
type writing struct {
	saver   *Saver
	save    *dispatch.Save
	report  func(Report)
	ctx     context.Context
	cancel  context.CancelFunc
	next    LeaderRow // the row that is written
	began   time.Time
	sentAt  time.Time // the newest copy
	copies  int
	overdue *time.Timer
	answers chan answered
}

// answered is the answer to a copy of a write, or to a reading of the row.
type answered struct {
	sentAt  time.Time
	read    bool
	leader  LeaderRow // that was read
	version int64
	err     error
}

func newWriting(ctx context.Context, v *Saver, save *dispatch.Save, report func(Report)) *writing {
	w := &writing{saver: v, save: save, report: report, next: v.leader, began: time.Now(), answers: make(chan answered)}
	w.ctx, w.cancel = context.WithCancel(ctx)
	w.next.Sequence++
	w.overdue = time.NewTimer(w.haste())
	return w
}

// haste is how long a copy may be without an answer before the row is read.
func (w *writing) haste() time.Duration { return w.saver.store.client.WriteHedgeDelay() }

// run returns false if the leadership is lost or the saver stops.
func (w *writing) run() bool {
	defer w.cancel()
	defer w.overdue.Stop()
	w.send()
	for {
		select {
		case <-w.ctx.Done():
			return false
		case <-w.overdue.C:
			w.readRow()
		case a := <-w.answers:
			if ended, stored := w.judge(a); ended {
				return stored
			}
		}
	}
}

// send sends a copy.
func (w *writing) send() {
	w.sentAt = time.Now()
	w.copies++
	expected := w.saver.version
	w.ask(func(ctx context.Context, a *answered) {
		a.version, a.err = w.saver.store.WriteLeader(ctx, expected, w.next, w.save)
	})
}

// readRow asks what the row is.
func (w *writing) readRow() {
	w.ask(func(ctx context.Context, a *answered) {
		a.read = true
		a.leader, a.version, a.err = w.saver.store.ReadLeader(ctx)
	})
}

// ask makes a call whose answer arrives among the others.
func (w *writing) ask(call func(context.Context, *answered)) {
	a := answered{sentAt: time.Now()}
	ctx, done := context.WithTimeout(w.ctx, saveTimeout)
	go func() {
		defer done()
		call(ctx, &a)
		select {
		case w.answers <- a:
		case <-w.ctx.Done():
		}
	}()
}

// judge tells whether an answer ends the write, and whether it is stored then.
func (w *writing) judge(a answered) (ended, stored bool) {
	var replaced *replacedError
	switch {
	case a.err == nil && !a.read:
		w.stored(a.version, a.sentAt)
		return true, true
	case errors.As(a.err, &replaced):
		a.leader, a.version = replaced.leader, replaced.version
	case a.err != nil:
		if w.ctx.Err() == nil {
			w.report(Report{Err: errors.Wrap(a.err, "save")})
			w.overdue.Reset(saveRetry)
		}
		return false, false
	}
	switch l := a.leader; {
	case l.Token != w.next.Token || l.Incarnation != w.next.Incarnation:
		w.report(Report{Deposed: true})
		return true, false
	case l.Sequence == w.next.Sequence:
		// An earlier copy was stored, at some time since the first.
		w.stored(a.version, w.began)
		return true, true
	}
	if wait := w.haste() - time.Since(w.sentAt); wait > 0 {
		w.overdue.Reset(wait)
		return false, false
	}
	w.send()
	w.overdue.Reset(w.haste())
	return false, false
}

// stored notes the version of the row, which confirms the leadership at a time.
func (w *writing) stored(version int64, at time.Time) {
	v := w.saver
	v.version, v.leader, v.released = version, w.next, w.next.Released
	w.report(Report{SavedNumber: w.save.Number, ConfirmedAt: at, Version: version, WriteDuration: time.Since(w.began), Attempts: w.copies})
}
