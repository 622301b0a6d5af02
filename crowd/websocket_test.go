//go:build crowd

package crowd

import (
	"bytes"
	"encoding/binary"
	"io"
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
