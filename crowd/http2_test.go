//go:build crowd

package crowd

import (
	"encoding/binary"
	"io"
	"strings"
)

// Types, flags and settings of HTTP/2 frames.
const (
	frameData         = 0x0
	frameHeaders      = 0x1
	frameReset        = 0x3
	frameSettings     = 0x4
	frameContinuation = 0x9

	flagEndStream  = 0x1
	flagEndHeaders = 0x4

	settingInitialWindowSize = 0x4

	prefaceHTTP2 = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"
	headerName   = "x-filler"
	// maxLiteralBytes is the largest string whose length takes one byte in HPACK.
	maxLiteralBytes = 126
)

// appendFrame appends a frame with a declared length, which may exceed that of the payload.
func appendFrame(b []byte, kind, flags byte, stream uint32, length int, payload []byte) []byte {
	b = append(b, byte(length>>16), byte(length>>8), byte(length), kind, flags)
	b = binary.BigEndian.AppendUint32(b, stream)
	return append(b, payload...)
}

// appendLiteral appends a header field without indexing and without Huffman coding.
func appendLiteral(b []byte, name, value string) []byte {
	b = append(b, 0, byte(len(name)))
	b = append(b, name...)
	b = append(b, byte(len(value)))
	return append(b, value...)
}

// appendCall appends the header fields of a call and then others of at least so many bytes.
func appendCall(b []byte, path string, fillerBytes int) []byte {
	fields := []struct{ name, value string }{
		{":method", "POST"},
		{":scheme", "http"},
		{":path", path},
		{":authority", "entry-1"},
		{"content-type", "application/json"},
	}
	for _, f := range fields {
		b = appendLiteral(b, f.name, f.value)
	}
	for end := len(b) + fillerBytes; len(b) < end; {
		b = appendLiteral(b, headerName, strings.Repeat("x", maxLiteralBytes))
	}
	return b
}

func beginHTTP2(settings []byte) []byte {
	return appendFrame([]byte(prefaceHTTP2), frameSettings, 0, 0, len(settings), settings)
}

// sendHalfFrameHTTP2 sends a large frame without its last bytes.
func sendHalfFrameHTTP2(w io.Writer, _ int) error {
	b := beginHTTP2(nil)
	b = appendFrame(b, frameHeaders, flagEndHeaders, 1, largeFrameBytes, make([]byte, largeFrameBytes-shortBy))
	_, err := w.Write(b)
	return err
}

// sendHalfHeaderHTTP2 sends a header block without its end.
func sendHalfHeaderHTTP2(w io.Writer, _ int) error {
	block := appendCall(nil, statusPath, headerBytes)
	half := len(block) / 2
	b := beginHTTP2(nil)
	b = appendFrame(b, frameHeaders, 0, 1, half, block[:half])
	b = appendFrame(b, frameContinuation, 0, 1, len(block)-half, block[half:])
	_, err := w.Write(b)
	return err
}

// sendResets opens streams and resets each of them at once.
func sendResets(w io.Writer, _ int) error {
	if _, err := w.Write(beginHTTP2(nil)); err != nil {
		return err
	}
	block := appendCall(nil, submitPath, headerBytes)
	const cancelled = 8
	for n := range resetsPerConnection {
		stream := uint32(2*n + 1)
		b := appendFrame(nil, frameHeaders, flagEndHeaders, stream, len(block), block)
		b = appendFrame(b, frameReset, 0, stream, 4, binary.BigEndian.AppendUint32(nil, cancelled))
		if _, err := w.Write(b); err != nil {
			return err
		}
	}
	return nil
}

// sendStreamsWithoutWindow makes calls on many streams, whose responses do not fit into their
// windows.
func sendStreamsWithoutWindow(w io.Writer, _ int) error {
	setting := binary.BigEndian.AppendUint16(nil, settingInitialWindowSize)
	b := beginHTTP2(binary.BigEndian.AppendUint32(setting, 0))
	block := appendCall(nil, statusPath, headerBytes)
	body := []byte(`{"requestId":"unknown"}`)
	for n := range streamsPerConnection {
		stream := uint32(2*n + 1)
		b = appendFrame(b, frameHeaders, flagEndHeaders, stream, len(block), block)
		b = appendFrame(b, frameData, flagEndStream, stream, len(body), body)
	}
	_, err := w.Write(b)
	return err
}
