package jobstore

import (
	"context"
	"time"

	"fuchsiacross/dispatch"
)

const (
	// beatInterval is how often an idle leader confirms its leadership: several
	// times within the span after which others suspect it.
	beatInterval = 150 * time.Millisecond
)

// Saver writes the leader's saves one after another and confirms the leadership
// in between.
type Saver struct {
	store    *Store
	leader   LeaderRow
	version  int64
	released bool // stored
	saves    chan *dispatch.Save
	release  chan struct{} // asks for the release of the leadership
	done     chan struct{}
	cancel   context.CancelFunc
}

// Report is what a saver tells of its writes.
type Report struct {
	SavedNumber   int64     // number of the save, or zero
	ConfirmedAt   time.Time // the leadership held at that time
	Version       int64     // of the write that confirmed it
	Deposed       bool
	WriteDuration time.Duration // of a stored write, from its first copy
	Attempts      int           // of a stored write
	Err           error         // of an attempt that failed and is repeated
}

// NewSaver starts a saver for a leadership whose row has a version. It calls
// report from its own goroutine.
func NewSaver(s *Store, l LeaderRow, version int64, report func(Report)) *Saver {
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
			if !newWriting(ctx, v, save, report).run() || v.leader.Released {
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
