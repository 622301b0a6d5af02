package peer

import (
	"reflect"
	"testing"

	"fuchsiacross/event"
)

// FuzzFrame guards against frames that crash an instance, and against messages
// that change when they are decoded and encoded again.
func FuzzFrame(f *testing.F) {
	for _, m := range sampleMessages() {
		e := newEncoder()
		w, err := e.encodeMessage(testTime, m)
		if err != nil {
			f.Fatal(err)
		}
		data, err := e.encodeFrame([]wireMessage{w})
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Add([]byte{0x82, 0x01, 0xf6})
	f.Fuzz(func(t *testing.T, data []byte) {
		messages, err := newDecoder(sender, 7).decodeFrame(data)
		if err != nil {
			return
		}
		e := newEncoder()
		batch := make([]wireMessage, len(messages))
		for i, m := range messages {
			if batch[i], err = e.encodeMessage(testTime, m); err != nil {
				t.Fatal(err)
			}
		}
		again, err := e.encodeFrame(batch)
		if err != nil {
			t.Fatal(err)
		}
		decoded, err := newDecoder(sender, 7).decodeFrame(again)
		if err != nil {
			t.Fatalf("decode again: %v", err)
		}
		for i := range messages {
			if !equalMessages(messages[i], decoded[i]) {
				t.Fatalf("message %d changed:\n%#v\n%#v", i, messages[i], decoded[i])
			}
		}
	})
}

// equalMessages compares messages, but not the usages of heartbeats: their order
// may differ, and a team that is twice in the table of teams has two entries.
func equalMessages(a, b event.Message) bool {
	x, ok := a.(event.Heartbeat)
	if !ok {
		return reflect.DeepEqual(a, b)
	}
	y := b.(event.Heartbeat)
	x.Usage, y.Usage = nil, nil
	return reflect.DeepEqual(x, y)
}
