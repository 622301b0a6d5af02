package jobstore

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"fuchsiacross/dispatch"
)

const (
	// beatInterval is how often an idle leader confirms its leadership: several
	// times within the span after which others suspect it.
	beatInterval = 150 * time.Millisecond
	saveTimeout  = 1500 * time.Millisecond // of one copy of a write; a slow store answers within about 0.5 s
	saveRetry    = 150 * time.Millisecond  // after a refusal
)

// Saver writes the leader's saves one after another and confirms the leadership
// in between.
type Saver struct {
	store    *Store
	leader   Leader
	version  int64
	released bool // stored
	saves    chan *dispatch.Save
	release  chan struct{} // asks for the release of the leadership
	done     chan struct{}
	cancel   context.CancelFunc
}

// Report is what a saver tells of its writes.
type Report struct {
	Saved     int64     // number of the save, or zero
	Confirmed time.Time // the leadership held at that time
	Version   int64     // of the write that confirmed it
	Deposed   bool
	Err       error // of an attempt that failed and is repeated
}

// NewSaver starts a saver for a leadership whose row has a version. It calls
// report from its own goroutine.
func NewSaver(s *Store, l Leader, version int64, report func(Report)) *Saver {
	ctx, cancel := context.WithCancel(context.Background())
	v := &Saver{
		store: s, leader: l, version: version, cancel: cancel,
		saves: make(chan *dispatch.Save, 1), release: make(chan struct{}), done: make(chan struct{}),
	}
	go func() {
		defer close(v.done)
		beat := time.NewTimer(beatInterval)
		defer beat.Stop()
		for {
			save := &dispatch.Save{}
			select {
			case <-ctx.Done():
				return
			case save = <-v.saves:
			case <-beat.C:
			case <-v.release:
				v.leader.Released = true
				select {
				case save = <-v.saves:
				default:
				}
			}
			if !v.write(ctx, save, report) || v.leader.Released {
				return
			}
			beat.Reset(beatInterval)
		}
	}()
	return v
}

// Save writes a save. At most one may be unreported.
func (v *Saver) Save(s *dispatch.Save) {
	select {
	case v.saves <- s:
	case <-v.done:
	}
}

// Release gives the leadership up, together with a save that waits, and ends the
// saver. It returns the version of the released row, or false if that was not
// stored before the context ended.
func (v *Saver) Release(ctx context.Context) (int64, bool) {
	select {
	case v.release <- struct{}{}:
	case <-v.done:
		return 0, false
	case <-ctx.Done():
		return 0, false
	}
	stopped := context.AfterFunc(ctx, v.cancel)
	defer stopped()
	<-v.done
	return v.version, v.released
}

// Stop ends the saver and returns the version of the leader's row.
func (v *Saver) Stop() int64 {
	v.cancel()
	<-v.done
	return v.version
}

// answered is the answer to a copy of a write, or to a reading of the row.
type answered struct {
	sentAt  time.Time
	read    bool
	leader  Leader // that was read
	version int64
	err     error
}

// write makes one write until it is stored. While it has no answer, the row is read,
// and a copy is sent if that shows that the write was not carried out. All copies
// expect the same version, so that one of them counts at most, and none that is
// carried out late. A slow store carries the writes of a partition out one after
// another, so that copies would delay it further. It returns false if the leadership
// is lost or the saver stops.
func (v *Saver) write(ctx context.Context, save *dispatch.Save, report func(Report)) bool {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	next, expected := v.leader, v.version
	next.Sequence++
	client := v.store.client
	answers := make(chan answered)
	ask := func(call func(context.Context, *answered)) {
		a := answered{sentAt: time.Now()}
		attempt, done := context.WithTimeout(ctx, saveTimeout)
		go func() {
			defer done()
			call(attempt, &a)
			select {
			case answers <- a:
			case <-ctx.Done():
			}
		}()
	}
	began := time.Now()
	var sentAt time.Time // the newest copy
	send := func() {
		sentAt = time.Now()
		ask(func(ctx context.Context, a *answered) {
			a.version, a.err = v.store.WriteLeader(ctx, expected, next, save)
		})
	}
	stored := func(version int64, at time.Time) bool {
		v.version, v.leader, v.released = version, next, next.Released
		report(Report{Saved: save.Number, Confirmed: at, Version: version})
		return true
	}
	send()
	overdue := time.NewTimer(client.Haste())
	defer overdue.Stop()
	for {
		var a answered
		select {
		case <-ctx.Done():
			return false
		case <-overdue.C:
			ask(func(ctx context.Context, a *answered) {
				a.read = true
				a.leader, a.version, a.err = v.store.ReadLeader(ctx)
			})
			continue
		case a = <-answers:
		}
		var replaced *replacedError
		switch {
		case a.err == nil && !a.read:
			return stored(a.version, a.sentAt)
		case errors.As(a.err, &replaced):
			a.leader, a.version = replaced.leader, replaced.version
		case a.err != nil:
			if ctx.Err() == nil {
				report(Report{Err: errors.Wrap(a.err, "save")})
				overdue.Reset(saveRetry)
			}
			continue
		}
		switch l := a.leader; {
		case l.Token != next.Token || l.Life != next.Life:
			report(Report{Deposed: true})
			return false
		case l.Sequence == next.Sequence:
			// An earlier copy was stored, at some time since the first.
			return stored(a.version, began)
		}
		if wait := client.Haste() - time.Since(sentAt); wait > 0 {
			overdue.Reset(wait)
			continue
		}
		send()
		overdue.Reset(client.Haste())
	}
}
