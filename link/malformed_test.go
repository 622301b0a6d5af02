package link_test

import (
	"context"
	"net/http/httptest"
	"net/netip"
	"strings"
	"time"

	"github.com/coder/websocket"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"fuchsiacross/link"
)

var _ = Describe("A malformed frame", func() {
	// One malformed message must cost no more than the connection that it came on.
	It("closes its own link only", func(ctx SpecContext) {
		received, closed := make(chan link.Message, 1), make(chan error, 2)
		server := httptest.NewServer(link.Handler(
			func(_ *link.Conn, m link.Message) { received <- m }, func(_ *link.Conn, err error) { closed <- err }))
		DeferCleanup(server.Close)
		address := netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://"))
		good, err := link.Dial(ctx, address, func(*link.Conn, link.Message) {}, func(*link.Conn, error) {})
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(good.Close)
		frames := [][]byte{
			{0xff},
			[]byte("text"),
			{0x81, 0x07},
			[]byte(strings.Repeat("\x81", 5000)), // deeply nested
			{0x9b, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff}, // a list of 2^64-1 messages
		}
		for _, frame := range frames {
			socket, _, err := websocket.Dial(ctx, "ws://"+address.String()+link.Path, nil)
			Expect(err).NotTo(HaveOccurred())
			writeCtx, cancel := context.WithTimeout(ctx, time.Second)
			Expect(socket.Write(writeCtx, websocket.MessageBinary, frame)).To(Succeed())
			cancel()
			Eventually(closed, "5s").Should(Receive(MatchError(ContainSubstring("decode frame"))), "%x", frame[:1])
			_ = socket.CloseNow()
		}
		good.Send(link.Message{Kind: link.KindHello, Name: "leader"})
		Eventually(received, "5s").Should(Receive())
	})

	// Strangers that send many large frames at once used up the memory of the process.
	It("may be large only after a hello", func(ctx SpecContext) {
		received, closed := make(chan link.Message, 2), make(chan error, 2)
		server := httptest.NewServer(link.Handler(
			func(_ *link.Conn, m link.Message) { received <- m }, func(_ *link.Conn, err error) { closed <- err }))
		DeferCleanup(server.Close)
		address := netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://"))
		large := link.Message{Kind: link.KindJobStored, Data: make([]byte, 100_000)}
		for _, greets := range []bool{false, true} {
			c, err := link.Dial(ctx, address, func(*link.Conn, link.Message) {}, func(*link.Conn, error) {})
			Expect(err).NotTo(HaveOccurred())
			DeferCleanup(c.Close)
			if greets {
				c.Send(link.Message{Kind: link.KindHello, Name: "leader"})
				Eventually(received, "5s").Should(Receive(HaveField("Kind", link.KindHello)))
			}
			c.Send(large)
			if greets {
				Eventually(received, "5s").Should(Receive(HaveField("Kind", link.KindJobStored)))
			} else {
				Eventually(closed, "5s").Should(Receive(MatchError(ContainSubstring("read"))))
			}
		}
	})
})
