package peer

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/coder/websocket"
	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"fuchsiacross/event"
	"fuchsiacross/logevent"
	"fuchsiacross/model"
)

// session is one open connection of a link.
type session struct {
	link             *link
	conn             *websocket.Conn
	raw              net.Conn // below conn
	remote           hello
	dialer           model.InstanceID // the side that opened the connection
	openedAt         time.Time
	idleMilliseconds int64    // what this side promised
	previous         *session // replaced by this one; nil when there was none

	stop context.CancelFunc
	done chan struct{} // closed when PeerDown has been posted

	mu       sync.Mutex
	reason   string
	silentAt atomic.Pointer[time.Time] // when the connection counts as silent; nil before the first reading
}

// fail records the first reason for which the session ends, and ends it.
func (s *session) fail(reason string) {
	s.mu.Lock()
	if s.reason == "" {
		s.reason = reason
	}
	s.mu.Unlock()
	s.stop()
}

func (s *session) why() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reason
}

// start begins to read and write.
func (s *session) start(parent context.Context) {
	ctx, stop := context.WithCancel(parent)
	s.stop = stop
	s.conn.SetReadLimit(s.link.owner.options.MaxFrameBytes)
	wrote := make(chan struct{})
	s.link.owner.running.Go(func() {
		defer close(wrote)
		s.write(ctx)
	})
	s.link.owner.running.Go(func() {
		defer close(s.done)
		if s.previous != nil {
			<-s.previous.done // its PeerDown precedes this PeerUp
			s.previous = nil
		}
		s.opened()
		s.read(ctx)
		s.stop()
		<-wrote
		s.closed()
	})
}

func (s *session) opened() {
	l := s.link
	l.owner.counters.linksOpen.Inc(1)
	logevent.PeerUp.Log(l.owner.options.Log, zap.String("peer", string(l.id)), zap.String("opened_by", string(s.dialer)))
	l.owner.options.Post(event.PeerUp{Peer: l.id})
}

func (s *session) closed() {
	l := s.link
	_ = s.conn.CloseNow()
	l.ended(s)
	l.owner.counters.linksOpen.Dec(1)
	logevent.PeerDown.Log(l.owner.options.Log, zap.String("peer", string(l.id)), zap.String("reason", s.why()))
	l.owner.options.Post(event.PeerDown{Peer: l.id, Reason: s.why()})
}

// read takes frames until the session ends. The read deadline detects a
// connection that is dead without having been closed.
func (s *session) read(ctx context.Context) {
	owner := s.link.owner
	frames := newDecoder(s.remote.instance, s.remote.life)
	for {
		messages, err := s.receive(ctx, frames)
		if malformed, ok := errors.Into[*frameError](err); ok {
			owner.counters.framesBad.Inc(1)
			logevent.PeerFrameBad.Log(owner.options.Log, zap.String("peer", string(s.link.id)), zap.Error(malformed))
			s.farewell(ctx, websocket.StatusInvalidFramePayloadData, "malformed frame")
		}
		if err != nil {
			s.fail(reasonOf(ctx, err))
			return
		}
		owner.counters.messagesReceived.Inc(int64(len(messages)))
		for _, m := range messages {
			if !s.link.current(s) {
				return
			}
			s.link.deliver(m)
		}
	}
}

// frameError says that a peer sent something that is no frame.
type frameError struct {
	err error
}

// Error returns what is wrong with the frame.
func (e *frameError) Error() string { return "malformed frame: " + e.err.Error() }

// receive returns the messages of the next frame.
func (s *session) receive(ctx context.Context, frames *decoder) ([]event.Message, error) {
	deadline := time.Now().Add(idleFactor * milliseconds(s.remote.idleMilliseconds))
	s.silentAt.Store(&deadline)
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	kind, data, err := s.conn.Read(ctx)
	switch {
	case errors.Is(err, websocket.ErrMessageTooBig):
		return nil, &frameError{errors.Errorf("more than %d bytes", s.link.owner.options.MaxFrameBytes)}
	case err != nil:
		return nil, err
	case kind != websocket.MessageBinary:
		return nil, &frameError{errors.New("text instead of binary")}
	}
	messages, err := frames.frame(data)
	if err != nil {
		return nil, &frameError{err}
	}
	return messages, nil
}

// farewell closes the connection with a code for the peer. It waits for the
// peer's answer no longer than farewellTimeout; the library would wait for 5 s
// and has no other way to end that than to close the connection below it.
func (s *session) farewell(ctx context.Context, code websocket.StatusCode, reason string) {
	ctx, cancel := context.WithTimeout(ctx, farewellTimeout)
	defer cancel()
	stop := context.AfterFunc(ctx, func() { _ = s.raw.Close() })
	defer stop()
	_ = s.conn.Close(code, reason)
}

// reasonOf returns a sentence for the end of a session.
func reasonOf(ctx context.Context, err error) string {
	switch {
	case ctx.Err() != nil:
		return "closed by this instance"
	case errors.Is(err, context.DeadlineExceeded):
		return reasonSilent
	}
	return err.Error()
}

const reasonSilent = "nothing received in time"

// reasonOfWrite is the reason of a failed write. When nothing was received in
// time, the library closes the connection under the writer, who may notice
// before the reader does.
func (s *session) reasonOfWrite(err error) string {
	if deadline := s.silentAt.Load(); deadline != nil && !time.Now().Before(*deadline) {
		return reasonSilent
	}
	return "write: " + err.Error()
}

// write sends what waits, and an empty frame when nothing was sent in the
// promised time.
func (s *session) write(ctx context.Context) {
	frames := newEncoder()
	timer := time.NewTimer(milliseconds(s.idleMilliseconds))
	defer timer.Stop()
	for {
		keepalive := false
		select {
		case <-ctx.Done():
			return
		case <-s.link.wake:
		case <-timer.C:
			keepalive = true
		}
		sent, err := s.flush(ctx, frames, keepalive)
		if err != nil {
			s.fail(s.reasonOfWrite(err))
			return
		}
		if sent {
			timer.Reset(milliseconds(s.idleMilliseconds))
		}
	}
}

// flush sends all waiting messages in as few frames as possible, or an empty
// frame when nothing waits and the link must not be silent. It reports whether
// anything was sent.
func (s *session) flush(ctx context.Context, frames *encoder, keepalive bool) (bool, error) {
	frames.heartbeat.loose = s.link.owner.large()
	var batch []wireMessage
	size := 0
	now := time.Now()
	for _, m := range s.link.take(s) {
		w, err := frames.message(now, m)
		if err != nil || int64(len(w.Body)) > s.frameLimit()-maxFrameOverhead {
			s.link.refuse(m, err)
			continue
		}
		if size > 0 && size+len(w.Body) > coalesceBytes {
			if err := s.send(ctx, frames, batch); err != nil {
				return false, err
			}
			batch, size = batch[:0], 0
		}
		batch = append(batch, w)
		size += len(w.Body) + maxMessageOverhead
	}
	if len(batch) == 0 && !keepalive {
		return false, nil
	}
	return true, s.send(ctx, frames, batch)
}

// frameLimit returns the largest frame that both sides allow.
func (s *session) frameLimit() int64 {
	return min(s.link.owner.options.MaxFrameBytes, s.remote.limit)
}

func (s *session) send(ctx context.Context, frames *encoder, batch []wireMessage) error {
	data, err := frames.frame(batch)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	if err := s.conn.Write(ctx, websocket.MessageBinary, data); err != nil {
		return err
	}
	s.link.owner.counters.framesSent.Inc(1)
	s.link.owner.counters.messagesSent.Inc(int64(len(batch)))
	return nil
}

func milliseconds(n int64) time.Duration { return time.Duration(n) * time.Millisecond }
