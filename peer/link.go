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

// simultaneousDialWindow is the age of a connection below which a second one of
// the same pair counts as opened at the same time. A later second one means that
// the other side has given up the first one and dials again.
const simultaneousDialWindow = time.Second

// link is the link to one peer. It holds the queue of outgoing messages and the
// open session, if any.
type link struct {
	owner         *Links
	id            model.InstanceID
	messagesReady chan struct{} // signals queued messages; has a buffer of one
	stateChanged  chan struct{} // signals that needsDial may have changed; has a buffer of one
	stop          context.CancelFunc

	mu          sync.Mutex
	peer        model.Instance
	listed      bool
	closed      bool
	incarnation model.Incarnation // highest incarnation of the peer so far
	session     *session
	heartbeat   *event.Heartbeat // the newest one, if not yet sent
	queue       []event.Message
	queueFull   bool // messages were dropped since the queue was last emptied
}

// newLink returns a link and starts a goroutine that dials the peer while it is
// listed and no session is open. The goroutine ends when the link is closed.
func newLink(ctx context.Context, owner *Links, peer model.Instance, listed bool) *link {
	ctx, stop := context.WithCancel(ctx)
	l := &link{
		owner:         owner,
		id:            peer.ID,
		peer:          peer,
		listed:        listed,
		messagesReady: make(chan struct{}, 1),
		stateChanged:  make(chan struct{}, 1),
		stop:          stop,
	}
	owner.goroutines.Go(func() {
		backoff := minBackoff
		delay := time.Duration(0)
		if owner.options.Self.ID > peer.ID {
			delay = 2 * minBackoff // lets the side with the lower identifier dial first
		}
		for sleep(ctx, delay) {
			if l.needsDial() {
				owner.dial(ctx, l)
			}
			openedAt := time.Now()
			for !l.needsDial() {
				if !waitForSignal(ctx, l.stateChanged) {
					return
				}
			}
			if time.Since(openedAt) >= backoffResetThreshold {
				backoff = minBackoff
			}
			delay = time.Duration(float64(backoff) * (0.6 + 0.8*rand.Float64()))
			backoff = min(2*backoff, maxBackoff)
		}
	})
	return l
}

// sleep waits for a delay. It returns false if ctx is cancelled meanwhile.
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

func waitForSignal(ctx context.Context, signal <-chan struct{}) bool {
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

// needsDial reports whether there is no session and the peer may be dialled. A
// peer that is not listed is never dialled.
func (l *link) needsDial() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.session == nil && l.listed && !l.closed
}

// listedInstance returns the peer as it was listed last.
func (l *link) listedInstance() model.Instance {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.peer
}

// updateListing updates the peer from the platform's list of instances. A peer
// that was not listed before is dialled from now on.
func (l *link) updateListing(peer model.Instance) {
	l.mu.Lock()
	l.peer = peer
	l.listed = true
	l.mu.Unlock()
	notify(l.stateChanged)
}

// isListed reports whether the peer is in the platform's list of instances.
func (l *link) isListed() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.listed
}

// installSession makes s the session of the link, in place of an older one. It
// returns an error if the link is closed, if the peer has a later incarnation,
// or if s lost against a connection opened at the same time.
func (l *link) installSession(ctx context.Context, s *session) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return errClosed
	}
	if s.remote.incarnation < l.incarnation {
		return fmt.Errorf("incarnation %d is earlier than %d", s.remote.incarnation, l.incarnation)
	}
	if previous := l.session; previous != nil {
		if s.remote.incarnation == l.incarnation && time.Since(previous.openedAt) < simultaneousDialWindow &&
			previous.dialer < s.dialer {
			return errSimultaneous
		}
		s.previous = previous
		previous.fail("replaced by a newer connection")
		l.dropQueued()
	}
	l.incarnation = s.remote.incarnation
	l.session = s
	s.start(ctx)
	notify(l.messagesReady)
	return nil
}

// removeSession removes a session that has ended, and the link as well if the
// peer is not listed.
func (l *link) removeSession(s *session) {
	l.mu.Lock()
	current := l.session == s
	if current {
		l.session = nil
		l.dropQueued()
	}
	listed := l.listed
	l.mu.Unlock()
	if current {
		notify(l.stateChanged)
		if !listed {
			l.owner.removeUnlisted(l)
		}
	}
}

// dropQueued drops all queued messages. A message that was queued before
// PeerDown must not be delivered after it, possibly to a later incarnation of
// the peer; the sender resends it where that is safe. The caller holds l.mu.
func (l *link) dropQueued() {
	l.owner.counters.messagesDropped.Inc(int64(len(l.queue)))
	l.heartbeat = nil
	l.queue = nil
	l.queueFull = false
}

// isCurrentSession reports whether s is the session of the link. Messages that a
// replaced session has received, possibly from an earlier incarnation of the
// peer, must be dropped.
func (l *link) isCurrentSession(s *session) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.session == s
}

// close closes the link permanently.
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

// enqueue queues a message. A heartbeat replaces a queued one; any other message
// is dropped if the queue is full. Without a session all messages are dropped;
// the reducer expects that after PeerDown.
func (l *link) enqueue(m event.Message) {
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
		notify(l.messagesReady)
		return
	}
	if len(l.queue) >= l.owner.options.MaxQueuedMessages {
		l.owner.counters.messagesDropped.Inc(1)
		if !l.queueFull {
			l.queueFull = true
			logevent.PeerQueueFull.Log(l.owner.options.Log, zap.String("peer", string(l.id)))
		}
		return
	}
	l.queue = append(l.queue, m)
	notify(l.messagesReady)
}

// takeQueued removes and returns all queued messages, the heartbeat first. It
// returns nothing if s is not the current session.
func (l *link) takeQueued(s *session) []event.Message {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.session != s {
		return nil
	}
	var messages []event.Message
	if l.heartbeat != nil {
		messages = append(messages, *l.heartbeat)
		l.heartbeat = nil
	}
	messages = append(messages, l.queue...)
	l.queue = nil
	l.queueFull = false
	return messages
}

// closeGracefully sends the queued messages and closes the link. The closing
// handshake of WebSocket lets the peer read everything that was sent.
func (l *link) closeGracefully(ctx context.Context) {
	for !l.isFlushed() {
		if !sleep(ctx, time.Millisecond) {
			break
		}
	}
	l.mu.Lock()
	l.closed = true
	s := l.session
	l.mu.Unlock()
	if s != nil {
		s.closeWithStatus(ctx, websocket.StatusGoingAway, "shutdown")
	}
	l.close("shutdown")
}

// isFlushed reports whether no message is queued or none can be sent.
func (l *link) isFlushed() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.session == nil || (len(l.queue) == 0 && l.heartbeat == nil)
}

// recordUnsendable counts and logs a message that was dropped because it cannot
// be encoded or, if err is nil, because it is too large.
func (l *link) recordUnsendable(m event.Message, err error) {
	l.owner.counters.messagesDropped.Inc(1)
	logEvent := logevent.PeerMessageTooLarge
	if err != nil {
		logEvent = logevent.PeerMessageInvalid
	}
	logEvent.Log(l.owner.options.Log,
		zap.String("peer", string(l.id)), zap.String("message", fmt.Sprintf("%T", m)), zap.Error(err))
}

// deliver passes a received message to the reducer. Document messages bypass the
// reducer.
func (l *link) deliver(m event.Message) {
	switch m := m.(type) {
	case event.DocumentFetch:
		if copied, ok := newerSections(l.owner.options.CurrentDocument(), m.KnownRevision); ok {
			l.enqueue(copied)
		}
	case event.DocumentCopy:
		l.owner.options.HandleDocument(l.id, m)
	default:
		l.owner.options.Post(event.PeerReceived{From: l.id, Message: m})
	}
}

// newerSections returns the sections committed after a revision, and false if
// the document is not newer.
func newerSections(d *document.Document, knownRevision model.Revision) (event.DocumentCopy, bool) {
	if d == nil || d.Revision <= knownRevision {
		return event.DocumentCopy{}, false
	}
	copied := event.DocumentCopy{Revision: d.Revision}
	for _, s := range d.Sections {
		if s.DocumentRevision > knownRevision {
			copied.Sections = append(copied.Sections, s)
		}
	}
	return copied, true
}
