package peer

import (
	"context"
	"net/http/httptest"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/coder/websocket"

	"fuchsiacross/document"
	"fuchsiacross/event"
	"fuchsiacross/model"
)

// Guards against strangers that use up the memory with frames that stop short, and against the
// loss of the frames of instances that are not listed yet.
func TestLargeFramesOfStrangers(t *testing.T) {
	var mu sync.Mutex
	var order []string // of what arrives from whom
	record := func(e event.Event) {
		mu.Lock()
		defer mu.Unlock()
		switch e := e.(type) {
		case event.PeerReceived:
			order = append(order, "message of "+string(e.From))
		case event.PeerDown:
			order = append(order, string(e.Peer)+": "+e.Reason)
		}
	}
	links := New(Options{
		Self: model.Instance{ID: "b"}, Incarnation: 1, MaxFrameBytes: 1 << 20, Post: record,
		HandleDocument: func(from model.InstanceID, _ event.DocumentCopy) { record(event.PeerReceived{From: from}) },
	})
	server := httptest.NewServer(links.Handler())
	defer server.Close()
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	defer func() { _ = links.Close(ctx) }()
	links.SetPeers([]model.Instance{{ID: "listed", Address: netip.MustParseAddrPort("127.0.0.1:1")}})
	open := func(id model.InstanceID) *websocket.Conn {
		conn, _, err := websocket.Dial(ctx, "ws"+strings.TrimPrefix(server.URL, "http"), nil)
		if err != nil {
			t.Fatal(err)
		}
		greeting := must(encodeHello(hello{instance: model.Instance{ID: id}, incarnation: 1, recipient: "b", keepaliveMilliseconds: 20_000, maxFrameBytes: minFrameBytes}))
		for _, data := range [][]byte{greeting, nil} {
			if err := conn.Write(ctx, websocket.MessageBinary, data); err != nil {
				t.Fatal(err)
			}
		}
		return conn
	}
	large, err := newEncoder().encodeMessage(time.Now(), event.DocumentCopy{Revision: 1, Sections: []document.Section{{Name: "s", Body: make([]byte, 4*minFrameBytes)}}})
	if err != nil {
		t.Fatal(err)
	}
	frame := must(encMode.Marshal(wireFrame{FirstNumber: 1, Messages: []wireMessage{large}}))
	stalled, err := open("stalled").Writer(ctx, websocket.MessageBinary)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := stalled.Write(frame[:2*minFrameBytes]); err != nil {
		t.Fatal(err)
	}
	waitFor := func(what string, holds func() bool) {
		t.Helper()
		for !holds() {
			if ctx.Err() != nil {
				mu.Lock()
				defer mu.Unlock()
				t.Fatalf("%s: %q", what, order)
			}
			time.Sleep(time.Millisecond)
		}
	}
	waitFor("the stalled frame is not received", func() bool { return len(links.strangersLargeFrame) == 1 })
	for _, id := range []model.InstanceID{"new", "listed"} {
		if err := open(id).Write(ctx, websocket.MessageBinary, frame); err != nil {
			t.Fatal(err)
		}
	}
	waitFor("a message does not arrive", func() bool {
		mu.Lock()
		defer mu.Unlock()
		return len(order) >= 3
	})
	mu.Lock()
	defer mu.Unlock()
	want := []string{"message of listed", "stalled: a large frame did not arrive in time", "message of new"}
	slices.Sort(order[1:]) // the slot is free before the link is reported as closed
	slices.Sort(want[1:])
	if !slices.Equal(order[:3], want) {
		t.Errorf("events %q, want %q", order, want)
	}
}

// Guards against large frames of strangers that are far larger once they are decoded, and against
// the refusal of those that instances send.
func TestDecodeLargeFrameOfStranger(t *testing.T) {
	body := make([]byte, 2*minFrameBytes)
	sections := func(n int) event.Message {
		return event.DocumentCopy{Revision: 1, Sections: slices.Repeat([]document.Section{{Name: "s", Body: body[:1024]}}, n)}
	}
	tests := []struct {
		name     string
		messages []event.Message
		want     string // in the error; empty for none
	}{
		{"one body", []event.Message{event.DocumentCopy{Revision: 1, Sections: []document.Section{{Name: "s", Body: body}}}}, ""},
		{"the longest list", []event.Message{sections(256)}, ""},
		{"a longer list", []event.Message{sections(257)}, "exceeded max number of elements 256"},
		{"two messages", []event.Message{sections(100), sections(100)}, "2 messages, want one"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			e := newEncoder()
			var batch []wireMessage
			for _, m := range test.messages {
				w, err := e.encodeMessage(time.Now(), m)
				if err != nil {
					t.Fatal(err)
				}
				batch = append(batch, w)
			}
			frame, err := e.encodeFrame(batch)
			if err != nil {
				t.Fatal(err)
			}
			_, err = newDecoder(sender, 1).decodeLargeFrameOfStranger(frame)
			if (err == nil) != (test.want == "") || err != nil && !strings.Contains(err.Error(), test.want) {
				t.Errorf("decoding ends with %v, want %q", err, test.want)
			}
		})
	}
}
