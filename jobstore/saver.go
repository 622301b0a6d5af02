package jobstore

import (
	"context"
	"time"

	"fuchsiacross/dispatch"
)

const (
	// confirmInterval is how often an idle leader confirms its leadership: several
	// times within the timeout after which other instances suspect it.
	confirmInterval = 150 * time.Millisecond
)

// Saver writes the leader's saves one after another. When there is none, it rewrites
// the leader's row at intervals to confirm the leadership.
type Saver struct {
	store           *Store
	leader          LeaderRow
	version         int64
	releaseStored   bool // the released row is stored
	pendingSaves    chan *dispatch.Save
	releaseRequests chan struct{} // requests to release the leadership
	done            chan struct{}
	cancel          context.CancelFunc
}

// Report describes a step of a saver's write: it was stored, an attempt failed, the store
// refuses it for good, or the leadership is lost.
type Report struct {
	SavedNumber    int64     // number of the stored save, or zero
	RejectedNumber int64     // number of a save that is not repeated, or zero
	ConfirmedAt    time.Time // the leadership is known to have held at this time
	Version        int64     // of the leader's row after the write
	Deposed        bool
	WriteDuration  time.Duration // of a stored write, from its first attempt
	Attempts       int           // number of attempts of a stored write
	Err            error         // error of a failed attempt; the saver retries unless RejectedNumber is set
}

// NewSaver starts a saver for the leadership that l describes; version is that of the
// stored row. The saver calls report from its own goroutine.
func NewSaver(s *Store, l LeaderRow, version int64, report func(Report)) *Saver {
	ctx, cancel := context.WithCancel(context.Background())
	v := &Saver{
		store: s, leader: l, version: version, cancel: cancel,
		pendingSaves: make(chan *dispatch.Save, 1), releaseRequests: make(chan struct{}), done: make(chan struct{}),
	}
	go func() {
		defer close(v.done)
		confirmTimer := time.NewTimer(confirmInterval)
		defer confirmTimer.Stop()
		for {
			save := &dispatch.Save{}
			select {
			case <-ctx.Done():
				return
			case save = <-v.pendingSaves:
			case <-confirmTimer.C:
			case <-v.releaseRequests:
				v.leader.Released = true
				select {
				case save = <-v.pendingSaves:
				default:
				}
			}
			w := newPendingWrite(ctx, v, save, report)
			if !w.run() {
				return
			}
			if v.leader.Released {
				if w.rejected {
					newPendingWrite(ctx, v, &dispatch.Save{}, report).run()
				}
				return
			}
			confirmTimer.Reset(confirmInterval)
		}
	}()
	return v
}

// Save queues a save. The caller waits for its report before it queues the next one.
func (v *Saver) Save(s *dispatch.Save) {
	select {
	case v.pendingSaves <- s:
	case <-v.done:
	}
}

// Release releases the leadership, in one write with a queued save if there is one,
// and stops the saver. It returns the version of the released row, or false if that
// row was not stored before the context ended.
func (v *Saver) Release(ctx context.Context) (int64, bool) {
	select {
	case v.releaseRequests <- struct{}{}:
	case <-v.done:
		return 0, false
	case <-ctx.Done():
		return 0, false
	}
	stopWatch := context.AfterFunc(ctx, v.cancel)
	defer stopWatch()
	<-v.done
	return v.version, v.releaseStored
}

// Stop stops the saver and returns the last known version of the leader's row.
func (v *Saver) Stop() int64 {
	v.cancel()
	<-v.done
	return v.version
}
