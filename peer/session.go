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

// session is one connection of a link after its handshake.
type session struct {
	link                  *link
	conn                  *websocket.Conn
	netConn               net.Conn // network connection under conn
	remote                hello
	dialer                model.InstanceID // the instance that opened the connection
	openedAt              time.Time
	keepaliveMilliseconds int64    // announced by this side
	previous              *session // session that this one replaced, if any

	stop context.CancelFunc
	done chan struct{} // closed after PeerDown was posted

	mu           sync.Mutex
	endReason    string
	readDeadline atomic.Pointer[time.Time] // of the current read; nil before the first one
}

// fail ends the session. Only the first reason is recorded.
func (s *session) fail(reason string) {
	s.mu.Lock()
	if s.endReason == "" {
		s.endReason = reason
	}
	s.mu.Unlock()
	s.stop()
}

func (s *session) currentEndReason() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.endReason
}

// start starts the goroutines that read and write.
func (s *session) start(parent context.Context) {
	ctx, stop := context.WithCancel(parent)
	s.stop = stop
	s.conn.SetReadLimit(s.link.owner.options.MaxFrameBytes)
	writerDone := make(chan struct{})
	s.link.owner.goroutines.Go(func() {
		defer close(writerDone)
		s.writeFrames(ctx)
	})
	s.link.owner.goroutines.Go(func() {
		defer close(s.done)
		if s.previous != nil {
			<-s.previous.done // its PeerDown precedes this PeerUp
			s.previous = nil
		}
		s.reportUp()
		s.readFrames(ctx)
		s.stop()
		<-writerDone
		s.reportDown()
	})
}

func (s *session) reportUp() {
	l := s.link
	l.owner.counters.linksOpen.Inc(1)
	logevent.PeerLinkOpened.Log(l.owner.options.Log, zap.String("peer", string(l.id)), zap.String("opened_by", string(s.dialer)))
	l.owner.options.Post(event.PeerUp{Peer: l.id})
}

func (s *session) reportDown() {
	l := s.link
	_ = s.conn.CloseNow()
	l.removeSession(s)
	l.owner.counters.linksOpen.Dec(1)
	logevent.PeerLinkClosed.Log(l.owner.options.Log, zap.String("peer", string(l.id)), zap.String("reason", s.currentEndReason()))
	l.owner.options.Post(event.PeerDown{Peer: l.id, Reason: s.currentEndReason()})
}

// readFrames receives frames and delivers their messages until the session ends.
// The read deadline detects a connection that is dead but was not closed.
func (s *session) readFrames(ctx context.Context) {
	owner := s.link.owner
	dec := newDecoder(s.remote.instance, s.remote.incarnation)
	for {
		messages, err := s.receiveFrame(ctx, dec)
		if malformed, ok := errors.Into[*malformedFrameError](err); ok {
			owner.counters.malformedFrames.Inc(1)
			logevent.PeerFrameMalformed.Log(owner.options.Log, zap.String("peer", string(s.link.id)), zap.Error(malformed))
			s.closeWithStatus(ctx, websocket.StatusInvalidFramePayloadData, "malformed frame")
		}
		if err != nil {
			s.fail(readFailureReason(ctx, err))
			return
		}
		owner.counters.messagesReceived.Inc(int64(len(messages)))
		for _, m := range messages {
			if !s.link.isCurrentSession(s) {
				return
			}
			s.link.deliver(m)
		}
	}
}

// malformedFrameError reports that a peer sent data that is not a valid frame.
type malformedFrameError struct {
	err error
}

// Error describes the fault of the frame.
func (e *malformedFrameError) Error() string { return "malformed frame: " + e.err.Error() }

// receiveFrame reads one frame and returns its messages. It returns a
// *malformedFrameError if the frame is invalid.
func (s *session) receiveFrame(ctx context.Context, dec *decoder) ([]event.Message, error) {
	deadline := time.Now().Add(keepaliveTimeoutFactor * milliseconds(s.remote.keepaliveMilliseconds))
	s.readDeadline.Store(&deadline)
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	messageType, data, release, err := s.readMessage(ctx)
	defer release()
	switch {
	case errors.Is(err, websocket.ErrMessageTooBig):
		return nil, &malformedFrameError{errors.Errorf("more than %d bytes", s.link.owner.options.MaxFrameBytes)}
	case err != nil:
		return nil, err
	case messageType != websocket.MessageBinary:
		return nil, &malformedFrameError{errors.New("text instead of binary")}
	}
	messages, err := s.decodeFrame(dec, data)
	if err != nil {
		return nil, &malformedFrameError{err}
	}
	return messages, nil
}

// closeWithStatus closes the connection with a status code for the peer. It
// waits for the peer's answer for at most closeHandshakeTimeout. The library
// would wait for 5 s; the only way to interrupt that is to close the underlying
// network connection.
func (s *session) closeWithStatus(ctx context.Context, code websocket.StatusCode, reason string) {
	ctx, cancel := context.WithTimeout(ctx, closeHandshakeTimeout)
	defer cancel()
	stop := context.AfterFunc(ctx, func() { _ = s.netConn.Close() })
	defer stop()
	_ = s.conn.Close(code, reason)
}

// readFailureReason describes why reading failed and the session ends.
func readFailureReason(ctx context.Context, err error) string {
	switch {
	case ctx.Err() != nil:
		return "closed by this instance"
	case errors.Is(err, context.DeadlineExceeded):
		return reasonReadTimeout
	}
	return err.Error()
}

const reasonReadTimeout = "nothing received in time"

// writeFailureReason describes why a write failed. If the read deadline has
// passed, the library closes the connection, and the writer may notice that
// before the reader does.
func (s *session) writeFailureReason(err error) string {
	if deadline := s.readDeadline.Load(); deadline != nil && !time.Now().Before(*deadline) {
		return reasonReadTimeout
	}
	return "write: " + err.Error()
}

// writeFrames sends the queued messages, and an empty frame if nothing was sent
// during the keepalive interval.
func (s *session) writeFrames(ctx context.Context) {
	enc := newEncoder()
	timer := time.NewTimer(milliseconds(s.keepaliveMilliseconds))
	defer timer.Stop()
	for {
		keepalive := false
		select {
		case <-ctx.Done():
			return
		case <-s.link.messagesReady:
		case <-timer.C:
			keepalive = true
		}
		sent, err := s.flush(ctx, enc, keepalive)
		if err != nil {
			s.fail(s.writeFailureReason(err))
			return
		}
		if sent {
			timer.Reset(milliseconds(s.keepaliveMilliseconds))
		}
	}
}

// flush sends all queued messages in as few frames as possible. If keepalive is
// set and no message is queued, it sends an empty frame. It reports whether it
// sent anything.
func (s *session) flush(ctx context.Context, enc *encoder, keepalive bool) (bool, error) {
	enc.heartbeat.largeCell = s.link.owner.isLargeCell()
	var batch []wireMessage
	size := 0
	now := time.Now()
	for _, m := range s.link.takeQueued(s) {
		w, err := enc.encodeMessage(now, m)
		if err != nil || int64(len(w.Body)) > s.maxSentFrameBytes()-maxFrameOverheadBytes {
			s.link.recordUnsendable(m, err)
			continue
		}
		if size > 0 && size+len(w.Body) > maxCoalescedBytes {
			if err := s.sendFrame(ctx, enc, batch); err != nil {
				return false, err
			}
			batch, size = batch[:0], 0
		}
		batch = append(batch, w)
		size += len(w.Body) + maxMessageOverheadBytes
	}
	if len(batch) == 0 && !keepalive {
		return false, nil
	}
	return true, s.sendFrame(ctx, enc, batch)
}

// maxSentFrameBytes returns the largest frame size that both sides allow.
func (s *session) maxSentFrameBytes() int64 {
	return min(s.link.owner.options.MaxFrameBytes, s.remote.maxFrameBytes)
}

func (s *session) sendFrame(ctx context.Context, enc *encoder, batch []wireMessage) error {
	data, err := enc.encodeFrame(batch)
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
