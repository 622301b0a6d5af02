package peer

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/coder/websocket"
	"go.uber.org/zap"

	"fuchsiacross/document"
	"fuchsiacross/event"
	"fuchsiacross/logevent"
	"fuchsiacross/model"
)

// simultaneous is the age below which two connections of a pair count as opened
// at the same time. An older one is given up by the other side when that side
// dials again.
const simultaneous = time.Second

// link is the link to one peer: its queue, and its session while there is one.
type link struct {
	owner *Links
	id    model.InstanceID
	wake  chan struct{} // has room for one signal that messages wait
	free  chan struct{} // has room for one signal that missing may have changed
	stop  context.CancelFunc

	mu        sync.Mutex
	peer      model.Instance
	listed    bool
	closed    bool
	life      model.Incarnation // highest incarnation that said hello
	session   *session
	heartbeat *event.Heartbeat // the newest one that waits
	queue     []event.Message
	full      bool // messages have been dropped since the queue was last empty
}

// newLink starts the goroutine that keeps a link to a listed peer open. It
// returns when the link is closed.
func newLink(ctx context.Context, owner *Links, peer model.Instance, listed bool) *link {
	ctx, stop := context.WithCancel(ctx)
	l := &link{
		owner:  owner,
		id:     peer.ID,
		peer:   peer,
		listed: listed,
		wake:   make(chan struct{}, 1),
		free:   make(chan struct{}, 1),
		stop:   stop,
	}
	owner.running.Go(func() {
		backoff := backoffFirst
		delay := time.Duration(0)
		if owner.options.Self.ID > peer.ID {
			delay = 2 * backoffFirst // lets the lower identifier dial first
		}
		for sleep(ctx, delay) {
			if l.missing() {
				owner.dial(ctx, l)
			}
			opened := time.Now()
			for !l.missing() {
				if !signalled(ctx, l.free) {
					return
				}
			}
			if time.Since(opened) >= settledAfter {
				backoff = backoffFirst
			}
			delay = time.Duration(float64(backoff) * (0.6 + 0.8*rand.Float64()))
			backoff = min(2*backoff, backoffLast)
		}
	})
	return l
}

// sleep waits for a delay and reports whether the context is still in force.
func sleep(ctx context.Context, delay time.Duration) bool {
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

func signalled(ctx context.Context, signal <-chan struct{}) bool {
	select {
	case <-ctx.Done():
		return false
	case <-signal:
		return true
	}
}

func notify(signal chan<- struct{}) {
	select {
	case signal <- struct{}{}:
	default:
	}
}

// missing reports whether a session is missing and may be dialled. A peer that
// is not listed is never dialled.
func (l *link) missing() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.session == nil && l.listed && !l.closed
}

// address returns the peer as it was listed last.
func (l *link) address() model.Instance {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.peer
}

// list updates the peer from the platform's list. A peer that was not listed
// before is dialled from now on.
func (l *link) list(peer model.Instance) {
	l.mu.Lock()
	l.peer = peer
	l.listed = true
	l.mu.Unlock()
	notify(l.free)
}

// wasListed reports whether the peer was in the platform's list.
func (l *link) wasListed() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.listed
}

// install makes s the session of the link, or returns why it is refused.
func (l *link) install(ctx context.Context, s *session) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return errClosed
	}
	if s.remote.life < l.life {
		return fmt.Errorf("incarnation %d is earlier than %d", s.remote.life, l.life)
	}
	if old := l.session; old != nil {
		if s.remote.life == l.life && time.Since(old.openedAt) < simultaneous &&
			old.dialer < s.dialer {
			return errSimultaneous
		}
		s.previous = old
		old.fail("replaced by a newer connection")
		l.clear()
	}
	l.life = s.remote.life
	l.session = s
	s.start(ctx)
	notify(l.wake)
	return nil
}

// ended forgets a session that has ended.
func (l *link) ended(s *session) {
	l.mu.Lock()
	current := l.session == s
	if current {
		l.session = nil
		l.clear()
	}
	listed := l.listed
	l.mu.Unlock()
	if current {
		notify(l.free)
		if !listed {
			l.owner.remove(l)
		}
	}
}

// clear drops everything that waits. A message that was queued before PeerDown
// is never delivered afterwards, perhaps to a later incarnation of the peer; its
// sender resends it where that is right.
func (l *link) clear() {
	l.owner.counters.messagesDropped.Inc(int64(len(l.queue)))
	l.heartbeat = nil
	l.queue = nil
	l.full = false
}

// current reports whether s is the session of the link. A message that a
// replaced session still holds, perhaps one of an earlier incarnation, is
// dropped.
func (l *link) current(s *session) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.session == s
}

// close ends the link for good.
func (l *link) close(reason string) {
	l.mu.Lock()
	l.closed = true
	s := l.session
	l.mu.Unlock()
	if s != nil {
		s.fail(reason)
	}
	l.stop()
}

// send queues a message. A newer heartbeat replaces a waiting one; any other
// message is dropped when the queue is full. Without a session everything is
// dropped, as the reducer knows from PeerDown.
func (l *link) send(m event.Message) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.session == nil {
		l.owner.counters.messagesDropped.Inc(1)
		return
	}
	if h, ok := m.(event.Heartbeat); ok {
		if l.heartbeat != nil {
			l.owner.counters.heartbeatsReplaced.Inc(1)
		}
		l.heartbeat = &h
		notify(l.wake)
		return
	}
	if len(l.queue) >= l.owner.options.MaxQueuedMessages {
		l.owner.counters.messagesDropped.Inc(1)
		if !l.full {
			l.full = true
			logevent.PeerQueueFull.Log(l.owner.options.Log, zap.String("peer", string(l.id)))
		}
		return
	}
	l.queue = append(l.queue, m)
	notify(l.wake)
}

// take returns everything that waits, the heartbeat first, if s is the session.
func (l *link) take(s *session) []event.Message {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.session != s {
		return nil
	}
	var waiting []event.Message
	if l.heartbeat != nil {
		waiting = append(waiting, *l.heartbeat)
		l.heartbeat = nil
	}
	waiting = append(waiting, l.queue...)
	l.queue = nil
	l.full = false
	return waiting
}

// leave sends what waits, says farewell and closes the link. The closing
// handshake of WebSocket lets the peer read everything that was sent.
func (l *link) leave(ctx context.Context) {
	for !l.idle() {
		if !sleep(ctx, time.Millisecond) {
			break
		}
	}
	l.mu.Lock()
	l.closed = true
	s := l.session
	l.mu.Unlock()
	if s != nil {
		s.farewell(ctx, websocket.StatusGoingAway, "shutdown")
	}
	l.close("shutdown")
}

// idle reports whether nothing waits or nothing can be sent.
func (l *link) idle() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.session == nil || (len(l.queue) == 0 && l.heartbeat == nil)
}

// refuse counts a message that cannot be sent at all.
func (l *link) refuse(m event.Message, err error) {
	l.owner.counters.messagesDropped.Inc(1)
	refused := logevent.PeerMessageTooBig
	if err != nil {
		refused = logevent.PeerMessageInvalid
	}
	refused.Log(l.owner.options.Log,
		zap.String("peer", string(l.id)), zap.String("message", fmt.Sprintf("%T", m)), zap.Error(err))
}

// deliver hands a received message on. Documents pass by the reducer.
func (l *link) deliver(m event.Message) {
	switch m := m.(type) {
	case event.DocumentFetch:
		if copied, ok := newerSections(l.owner.options.CurrentDocument(), m.KnownRevision); ok {
			l.send(copied)
		}
	case event.DocumentCopy:
		l.owner.options.HandleDocument(l.id, m)
	default:
		l.owner.options.Post(event.PeerReceived{From: l.id, Message: m})
	}
}

// newerSections returns the sections committed after a revision, or false when
// the document is not newer.
func newerSections(d *document.Document, have model.Revision) (event.DocumentCopy, bool) {
	if d == nil || d.Revision <= have {
		return event.DocumentCopy{}, false
	}
	copied := event.DocumentCopy{Revision: d.Revision}
	for _, s := range d.Sections {
		if s.DocumentRevision > have {
			copied.Sections = append(copied.Sections, s)
		}
	}
	return copied, true
}
