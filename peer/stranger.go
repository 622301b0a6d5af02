package peer

import (
	"bytes"
	"context"
	"io"
	"time"

	"github.com/coder/websocket"

	"fuchsiacross/event"
)

// strangersFrameTimeout is how long a large frame of a stranger may keep those of others waiting.
const strangersFrameTimeout = time.Second

// isStranger reports whether a peer has neither been listed nor proved that it has the key of the
// cell. New instances are strangers until the list has them.
func (l *link) isStranger() bool { return !l.isListed() && len(l.owner.options.Secret()) == 0 }

// readMessage reads a message. The release function must be called once the message is decoded.
//
// Of the messages of strangers only one at a time may have more than minFrameBytes: the rest of
// the others stays in their sockets, for as long as their senders wait for the write.
func (s *session) readMessage(ctx context.Context) (messageType websocket.MessageType, message []byte, release func(), err error) {
	release = func() {}
	messageType, reader, err := s.conn.Reader(ctx)
	if err != nil {
		return messageType, nil, release, err
	}
	var data bytes.Buffer
	if s.link.isStranger() {
		n, err := data.ReadFrom(io.LimitReader(reader, minFrameBytes+1))
		if err != nil || n <= minFrameBytes {
			return messageType, data.Bytes(), release, err
		}
		timer := time.AfterFunc(writeTimeout, func() { s.fail("a large frame did not arrive in time") })
		defer timer.Stop()
		largeFrame := s.link.owner.strangersLargeFrame
		select {
		case largeFrame <- struct{}{}:
			release = func() { <-largeFrame }
			timer.Reset(strangersFrameTimeout)
		case <-ctx.Done():
			return messageType, nil, release, ctx.Err()
		}
	}
	_, err = data.ReadFrom(reader)
	return messageType, data.Bytes(), release, err
}

// decodeFrame decodes the frames of strangers one after the other, since the decoded form of a
// frame may be far larger than the frame.
func (s *session) decodeFrame(dec *decoder, data []byte) ([]event.Message, error) {
	if !s.link.isStranger() {
		return dec.decodeFrame(data)
	}
	decoding := &s.link.owner.strangersDecoding
	decoding.Lock()
	defer decoding.Unlock()
	if len(data) > minFrameBytes {
		return dec.decodeLargeFrameOfStranger(data)
	}
	return dec.decodeFrame(data)
}
