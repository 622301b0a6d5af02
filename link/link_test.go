package link_test

import (
	"context"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"fuchsiacross/link"
)

func TestLink(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "link")
}

// pair opens a connection and returns its two ends, and what each has received or
// was closed with.
type pair struct {
	dialled, accepted *link.Conn
	received          chan link.Message // by the accepting side
	closed            chan error        // of either side
}

func open(ctx context.Context) *pair {
	GinkgoHelper()
	p := &pair{received: make(chan link.Message, 16), closed: make(chan error, 16)}
	accepted := make(chan *link.Conn, 1)
	server := httptest.NewServer(link.Handler(func(c *link.Conn, m link.Message) {
		if m.Kind == link.KindHello {
			accepted <- c
			return
		}
		p.received <- m
	}, func(_ *link.Conn, err error) { p.closed <- err }))
	DeferCleanup(server.Close)
	address := netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://"))
	var err error
	p.dialled, err = link.Dial(ctx, address, func(*link.Conn, link.Message) {}, func(_ *link.Conn, err error) { p.closed <- err })
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(p.dialled.Close)
	p.dialled.Send(link.Message{Kind: link.KindHello, Name: "a", Shard: 3, Token: 7})
	Eventually(accepted).Should(Receive(&p.accepted))
	return p
}

var _ = Describe("Conn", func() {
	// A field without its codec line arrives empty, and its reader takes it for zero.
	It("carries a message with its shard", func(ctx SpecContext) {
		p := open(ctx)
		sent := link.Message{Kind: link.KindLeadershipReleased, Shard: 3, Token: 7, Version: 9, Known: true}
		p.dialled.Send(sent)
		var got link.Message
		Eventually(p.received).Should(Receive(&got))
		Expect(got.Shard).To(Equal(3))
		Expect(got.Version).To(BeEquivalentTo(9))
	})

	// Beats that are longer than the silence that the other side bears would close every
	// connection to the instances of other shards.
	It("stays open without messages, relaxed or not", func(ctx SpecContext) {
		usual, relaxed := open(ctx), open(ctx)
		relaxed.accepted.ExtendTimeouts()
		relaxed.dialled.ExtendTimeouts()
		Consistently(usual.closed, 2500*time.Millisecond).ShouldNot(Receive())
		Expect(relaxed.closed).NotTo(Receive())
	})
})
