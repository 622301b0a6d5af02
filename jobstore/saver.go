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
	saveTimeout  = 1500 * time.Millisecond // of one attempt, at most; a slow store answers within about 0.5 s
	saveRetry    = 150 * time.Millisecond
)

// Saver writes the leader's saves one after another and confirms the leadership
// in between. A save whose outcome is unknown is resolved by reading the row.
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

// write repeats one write until it is stored. It returns false if the leadership
// is lost or the saver stops.
func (v *Saver) write(ctx context.Context, save *dispatch.Save, report func(Report)) bool {
	for patience := v.store.client.Patience(); ; patience *= 2 {
		sentAt := time.Now()
		next := v.leader
		next.Sequence++
		attempt, cancel := context.WithTimeout(ctx, min(saveTimeout, patience))
		version, err := v.store.WriteLeader(attempt, v.version, next, save)
		cancel()
		if err == nil {
			v.version, v.leader, v.released = version, next, next.Released
			report(Report{Saved: save.Number, Confirmed: sentAt, Version: v.version})
			return true
		}
		if ctx.Err() != nil {
			return false
		}
		report(Report{Err: err})
		if stored, known := v.resolve(ctx, report); !known {
			return false
		} else if stored {
			report(Report{Saved: save.Number, Confirmed: sentAt, Version: v.version})
			return true
		}
	}
}

// resolve reads the leader's row until it answers, and tells whether the last
// attempt was stored.
func (v *Saver) resolve(ctx context.Context, report func(Report)) (stored, known bool) {
	for {
		select {
		case <-ctx.Done():
			return false, false
		case <-time.After(saveRetry):
		}
		attempt, cancel := context.WithTimeout(ctx, saveTimeout)
		l, version, err := v.store.ReadLeader(attempt)
		cancel()
		switch {
		case err != nil:
			if ctx.Err() == nil {
				report(Report{Err: errors.Wrap(err, "resolve a save")})
			}
			continue
		case l.Token != v.leader.Token || l.Life != v.leader.Life:
			report(Report{Deposed: true})
			return false, false
		case version == v.version:
			// Only a write confirms the leadership: a claim may follow this reading.
			return false, true
		}
		v.version, v.leader, v.released = version, l, l.Released
		return true, true
	}
}
