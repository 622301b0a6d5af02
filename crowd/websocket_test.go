//go:build crowd

package crowd

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"io"

	"github.com/fxamacker/cbor/v2"
)

// openWebSocket opens a link as a peer does.
func openWebSocket(w io.Writer, path string) error {
	handshake := "GET " + path + " HTTP/1.1\r\nHost: peer\r\nConnection: Upgrade\r\nUpgrade: websocket\r\n" +
		"Sec-WebSocket-Version: 13\r\nSec-WebSocket-Key: AAAAAAAAAAAAAAAAAAAAAA==\r\n\r\n"
	if _, err := io.WriteString(w, handshake); err != nil {
		return err
	}
	_, err := io.ReadAtLeast(w.(io.Reader), make([]byte, 1024), len("HTTP/1.1 101"))
	return err
}

// appendWebSocketFrame appends a final binary frame of WebSocket, masked with zeros, with a
// declared length, which may exceed that of the payload.
func appendWebSocketFrame(b []byte, length int, payload []byte) []byte {
	b = append(b, 0x82, 0xff) // the length has 64 bits
	b = binary.BigEndian.AppendUint64(b, uint64(length))
	b = append(b, 0, 0, 0, 0)
	return append(b, payload...)
}

// sendEmptyMessages sends frames whose decoded form is far larger than they are.
func sendEmptyMessages(w io.Writer, _ int) error {
	if err := openWebSocket(w, "/link"); err != nil {
		return err
	}
	array := binary.BigEndian.AppendUint16([]byte{0x99}, emptyMessages)
	frame := append(array, bytes.Repeat([]byte{0xa0}, emptyMessages)...)
	for range framesPerPeer {
		if _, err := w.Write(appendWebSocketFrame(nil, len(frame), frame)); err != nil {
			return err
		}
	}
	return nil
}

// greet opens a link as an instance does that is not listed, without the key of the cell.
func greet(w io.Writer, number int) error {
	if err := openWebSocket(w, "/peer"); err != nil {
		return err
	}
	hello, err := cbor.Marshal(map[int]any{
		1: 1, 2: fmt.Sprintf("stranger-%d", number), 3: 1, 4: "z", 5: "127.0.0.1:1", 6: 1.0, 7: 60_000, 8: make([]byte, 16), 9: "entry-1", 10: 64 << 10,
	})
	if err != nil {
		return err
	}
	b := appendWebSocketFrame(nil, len(hello), hello)
	_, err = w.Write(appendWebSocketFrame(b, 0, nil)) // the proof without a key
	return err
}

// sendHalfPeerFrame sends a frame without its last bytes.
func sendHalfPeerFrame(w io.Writer, number int) error {
	if err := greet(w, number); err != nil {
		return err
	}
	_, err := w.Write(appendWebSocketFrame(nil, frameBytes, make([]byte, frameBytes-shortBy)))
	return err
}

// sendEmptyReports sends a frame whose decoded form is far larger than it is.
func sendEmptyReports(w io.Writer, number int) error {
	if err := greet(w, number); err != nil {
		return err
	}
	const runningReply = 17
	// The first message of a link, with a list of the states of tasks.
	frame := []byte{0x82, 1, 0x81, 0x82, runningReply, 0xa2, 1, 1, 2, 0x99}
	frame = binary.BigEndian.AppendUint16(frame, emptyMessages)
	frame = append(frame, bytes.Repeat([]byte{0xa0}, emptyMessages)...)
	_, err := w.Write(appendWebSocketFrame(nil, len(frame), frame))
	return err
}
