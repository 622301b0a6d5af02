package jobstore

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"fuchsiacross/dispatch"
	"fuchsiacross/platform/store"
)

const (
	attemptTimeout = 1500 * time.Millisecond // of one write or read of the row; a slow store answers within about 0.5 s
	saveRetryDelay = 150 * time.Millisecond  // after an error, before the row is read
)

// pendingWrite is one write of a saver, which is attempted until it is stored. While
// there is no answer, the row is read, and another attempt is made if the row shows
// that the write was not applied. All attempts expect the same version of the row, so
// at most one is applied, and none after a later write. The row is read before another
// attempt because a slow store executes the writes of a partition one after another:
// needless attempts would delay it further.
type pendingWrite struct {
	saver      *Saver
	save       *dispatch.Save
	report     func(Report)
	ctx        context.Context
	cancel     context.CancelFunc
	newRow     LeaderRow // row to be written
	startedAt  time.Time
	lastSentAt time.Time // time of the last attempt
	attempts   int
	rejected   bool // the store refuses the write for good
	checkTimer *time.Timer
	responses  chan response
}

// response is the result of an attempt to write the row, or of a read of the row.
type response struct {
	sentAt  time.Time
	isRead  bool
	leader  LeaderRow // row found by a read, or by a write that conflicted
	version int64
	err     error
}

func newPendingWrite(ctx context.Context, v *Saver, save *dispatch.Save, report func(Report)) *pendingWrite {
	w := &pendingWrite{saver: v, save: save, report: report, newRow: v.leader, startedAt: time.Now(), responses: make(chan response)}
	w.ctx, w.cancel = context.WithCancel(ctx)
	w.newRow.Sequence++
	w.checkTimer = time.NewTimer(w.hedgeDelay())
	return w
}

// hedgeDelay returns how long an attempt may go unanswered before the row is read.
func (w *pendingWrite) hedgeDelay() time.Duration {
	return w.saver.store.leaderClient.WriteHedgeDelay()
}

// run completes the write. It returns false if the leadership is lost or the saver
// stops.
func (w *pendingWrite) run() bool {
	defer w.cancel()
	defer w.checkTimer.Stop()
	w.sendAttempt()
	for {
		select {
		case <-w.ctx.Done():
			return false
		case <-w.checkTimer.C:
			w.readLeaderRow()
		case r := <-w.responses:
			if ended, continues := w.handleResponse(r); ended {
				return continues
			}
		}
	}
}

// sendAttempt starts an attempt to write the row.
func (w *pendingWrite) sendAttempt() {
	w.lastSentAt = time.Now()
	w.attempts++
	expected := w.saver.version
	w.callAsync(func(ctx context.Context, r *response) {
		r.version, r.err = w.saver.store.WriteLeader(ctx, expected, w.newRow, w.save)
	})
}

// readLeaderRow starts a read of the row, which shows whether an attempt was applied.
func (w *pendingWrite) readLeaderRow() {
	w.callAsync(func(ctx context.Context, r *response) {
		r.isRead = true
		r.leader, r.version, r.err = w.saver.store.ReadLeader(ctx)
	})
}

// callAsync runs call in a goroutine, with attemptTimeout, and delivers its response to
// w.responses.
func (w *pendingWrite) callAsync(call func(context.Context, *response)) {
	r := response{sentAt: time.Now()}
	ctx, cancel := context.WithTimeout(w.ctx, attemptTimeout)
	go func() {
		defer cancel()
		call(ctx, &r)
		select {
		case w.responses <- r:
		case <-w.ctx.Done():
		}
	}()
}

// handleResponse reports whether a response ends the write and, if so, whether the
// saver continues. Otherwise it schedules the next read or makes another attempt.
func (w *pendingWrite) handleResponse(r response) (ended, continues bool) {
	var deposed *deposedError
	switch {
	case r.err == nil && !r.isRead:
		w.recordStored(r.version, r.sentAt)
		return true, true
	case errors.Is(r.err, store.ErrInvalid) && !r.isRead:
		// Every attempt is refused in the same way.
		w.rejected = true
		w.report(Report{RejectedNumber: w.save.Number, Err: errors.Wrap(r.err, "save")})
		return true, true
	case errors.As(r.err, &deposed):
		r.leader, r.version = deposed.leader, deposed.version
	case r.err != nil:
		if w.ctx.Err() == nil {
			w.report(Report{Err: errors.Wrap(r.err, "save")})
			w.checkTimer.Reset(saveRetryDelay)
		}
		return false, false
	}
	switch row := r.leader; {
	case row.Token != w.newRow.Token || row.Incarnation != w.newRow.Incarnation:
		w.report(Report{Deposed: true})
		return true, false
	case row.Sequence == w.newRow.Sequence:
		// An earlier attempt was applied, at an unknown time after the first was sent.
		w.recordStored(r.version, w.startedAt)
		return true, true
	}
	if wait := w.hedgeDelay() - time.Since(w.lastSentAt); wait > 0 {
		w.checkTimer.Reset(wait)
		return false, false
	}
	w.sendAttempt()
	w.checkTimer.Reset(w.hedgeDelay())
	return false, false
}

// recordStored records the row's new version and reports the write as stored. It
// confirms that the leadership held at the given time.
func (w *pendingWrite) recordStored(version int64, confirmedAt time.Time) {
	v := w.saver
	v.version, v.leader, v.releaseStored = version, w.newRow, w.newRow.Released
	w.report(Report{SavedNumber: w.save.Number, ConfirmedAt: confirmedAt, Version: version, WriteDuration: time.Since(w.startedAt), Attempts: w.attempts})
}
