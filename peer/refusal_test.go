package peer

import (
	"context"
	"net/http/httptest"
	"strings"
	"sync"

	"github.com/coder/websocket"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"fuchsiacross/event"
	"fuchsiacross/model"
)

var _ = Describe("a faulty peer", func() {
	var (
		links  *Links
		url    string
		logged *observer.ObservedLogs
		mu     sync.Mutex
		events []event.Event
	)
	posted := func() []event.Event {
		mu.Lock()
		defer mu.Unlock()
		return events
	}

	BeforeEach(func() {
		core, logs := observer.New(zapcore.WarnLevel)
		logged = logs
		events = nil
		links = New(Options{
			Self: model.Instance{ID: "b"}, Incarnation: 1, MaxFrameBytes: 64 << 10, Log: zap.New(core),
			Post: func(e event.Event) {
				mu.Lock()
				defer mu.Unlock()
				events = append(events, e)
			},
		})
		server := httptest.NewServer(links.Handler())
		url = "ws" + strings.TrimPrefix(server.URL, "http")
		DeferCleanup(func(ctx context.Context) {
			Expect(links.Close(ctx)).To(Succeed())
			server.Close()
		})
	})

	// dial opens a connection and sends a hello.
	dial := func(ctx context.Context, greeting []byte) *websocket.Conn {
		conn, _, err := websocket.Dial(ctx, url, nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(conn.Write(ctx, websocket.MessageBinary, greeting)).To(Succeed())
		return conn
	}
	greeting := must(encodeHello(hello{instance: model.Instance{ID: "a"}, incarnation: 3, recipient: "b", keepaliveMilliseconds: 1000, maxFrameBytes: minFrameBytes}))

	// Guards against the use of a part of a malformed frame, which would change the
	// state of an instance by a message of unknown meaning.
	It("has its link closed by a malformed frame, of which no message is delivered", func(ctx context.Context) {
		good, err := newEncoder().encodeMessage(testTime, event.ReleaseReservation{Call: 1})
		Expect(err).NotTo(HaveOccurred())
		tests := []struct {
			frame  []byte
			kind   websocket.MessageType
			reason string
		}{
			{must(encMode.Marshal(wireFrame{FirstNumber: 1, Messages: []wireMessage{good, {Kind: 77, Body: good.Body}}})), websocket.MessageBinary, "malformed frame: message 2: unknown kind 77"},
			{[]byte("nonsense"), websocket.MessageBinary, "malformed frame: frame: "},
			{[]byte("nonsense"), websocket.MessageText, "malformed frame: text instead of binary"},
			{make([]byte, 65<<10), websocket.MessageBinary, "malformed frame: more than 65536 bytes"},
		}
		for i, test := range tests {
			conn := dial(ctx, greeting)
			for range 2 {
				_, _, err := conn.Read(ctx)
				Expect(err).NotTo(HaveOccurred())
			}
			Expect(conn.Write(ctx, websocket.MessageBinary, nil)).To(Succeed()) // the empty proof
			Eventually(posted).Should(HaveLen(2*i + 1))
			_ = conn.Write(ctx, test.kind, test.frame)
			Eventually(posted).Should(HaveLen(2*i+2), test.reason)
			Expect(posted()[2*i]).To(Equal(event.PeerUp{Peer: "a"}))
			down := posted()[2*i+1].(event.PeerDown)
			Expect(down.Reason).To(ContainSubstring(test.reason))
			Expect(logged.TakeAll()).To(HaveLen(1), test.reason)
			_ = conn.CloseNow()
		}
	})

	// Guards against a link to the wrong instance or version, whose messages neither
	// side can rely on.
	It("is refused because of an invalid hello", func(ctx context.Context) {
		wire := func(change func(*wireHello)) []byte {
			w := wireHello{Version: protocolVersion, Instance: "a", Incarnation: 3, KeepaliveMilliseconds: 1000, Nonce: make([]byte, nonceBytes), Recipient: "b", Address: "10.0.0.1:1", MaxFrameBytes: minFrameBytes}
			change(&w)
			return must(encMode.Marshal(w))
		}
		tests := []struct {
			hello []byte
			want  string
		}{
			{[]byte{1, 2}, "hello: cbor"},
			{wire(func(w *wireHello) { w.Version = 2 }), "hello: version 2, want 1"},
			{wire(func(w *wireHello) { w.Instance = "" }), "hello: instance has 0 bytes"},
			{wire(func(w *wireHello) { w.Instance = "b" }), `instance "b" is this one`},
			{wire(func(w *wireHello) { w.Recipient = "c" }), `meant for instance "c", this is "b"`},
			{wire(func(w *wireHello) { w.Nonce = nil }), "nonce has 0 bytes"},
			{wire(func(w *wireHello) { w.KeepaliveMilliseconds = 0 }), "keepalive interval 0 ms"},
			{wire(func(w *wireHello) { w.Address = "host:1" }), "hello: address"},
			{wire(func(w *wireHello) { w.MaxFrameBytes = 9 }), "accepts frames of 9 bytes"},
			{make([]byte, 5<<10), "read hello"},
		}
		for _, test := range tests {
			conn := dial(ctx, test.hello)
			_, _, err := conn.Read(ctx)
			Expect(err).To(HaveOccurred(), test.want)
			Eventually(logged.Len).Should(Equal(1))
			Expect(logged.TakeAll()[0].ContextMap()["error"]).To(ContainSubstring(test.want))
		}
		Expect(posted()).To(BeEmpty())
	})
})
