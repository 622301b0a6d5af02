package link

import (
	"bytes"
	"encoding/binary"
	"strings"
	"testing"
)

// Guards against frames whose decoded form is far larger than they are.
func TestDecodeFrameLimits(t *testing.T) {
	array := func(head []byte, elements int, element byte) []byte {
		return append(head, bytes.Repeat([]byte{element}, elements)...)
	}
	const emptyMap, emptyText = 0xa0, 0x60
	head := binary.BigEndian.AppendUint32([]byte{0x9a}, maxListElements+1)
	workers := array(append([]byte{0x81, 0xa1, 14}, head...), maxListElements+1, emptyText)
	tests := []struct {
		name  string
		frame []byte
		want  string // in the error; empty for none
	}{
		{"no message", []byte{0x80}, ""},
		{"23 messages", array([]byte{0x97}, 23, emptyMap), ""},
		{"as many messages as are sent", array([]byte{0x99, 1, 0}, maxFrameMessages, emptyMap), ""},
		{"one more message", array([]byte{0x99, 1, 1}, maxFrameMessages+1, emptyMap), "257 messages, limit 256"},
		{"a length of eight bytes", []byte{0x9b, 0, 0, 0, 1, 0, 0, 0, 0}, "4294967296 messages"},
		{"a length that is cut off", []byte{0x9a, 0, 0}, "no length"},
		{"no fixed length", []byte{0x9f, 0xff}, "no length"},
		{"no list", []byte{0xa0}, "not a list"},
		{"no byte", nil, "not a list"},
		{"a message with a list that is too long", workers, "array"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			_, err := decodeFrame(test.frame)
			if (err == nil) != (test.want == "") || err != nil && !strings.Contains(err.Error(), test.want) {
				t.Errorf("decoding ends with %v, want %q", err, test.want)
			}
		})
	}
}
