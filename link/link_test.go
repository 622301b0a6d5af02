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
	"fuchsiacross/share"
)

func TestLink(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "link")
}

// connPair holds both ends of a connection, with the messages that arrived and the
// errors with which the ends were closed.
type connPair struct {
	dialled, accepted *link.Conn
	received          chan link.Message // by the accepting end
	closed            chan error        // of either end
}

func openPair(ctx context.Context) *connPair {
	GinkgoHelper()
	p := &connPair{received: make(chan link.Message, 16), closed: make(chan error, 16)}
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
	// A field that toWire or fromWire does not copy arrives as zero, without an error.
	It("carries a message with its shard", func(ctx SpecContext) {
		p := openPair(ctx)
		sent := link.Message{Kind: link.KindLeadershipReleased, Shard: 3, Token: 7, Version: 9, Known: true}
		p.dialled.Send(sent)
		var got link.Message
		Eventually(p.received).Should(Receive(&got))
		Expect(got.Shard).To(Equal(3))
		Expect(got.Version).To(BeEquivalentTo(9))
	})

	// The same for the tenants whose jobs are to be refused.
	It("carries refusals", func(ctx SpecContext) {
		p := openPair(ctx)
		refusals := []share.Refusal{{Tenant: "a", Wait: 1500 * time.Millisecond}, {Tenant: "b", Wait: time.Second}}
		p.dialled.Send(link.Message{Kind: link.KindAdmission, Count: 5, Refusals: refusals})
		var got link.Message
		Eventually(p.received).Should(Receive(&got))
		Expect(got.Kind).To(Equal(link.KindAdmission))
		Expect(got.Count).To(BeEquivalentTo(5))
		Expect(got.Refusals).To(Equal(refusals))
	})

	// If the heartbeat interval of one end exceeded the timeout of the other, every
	// connection to an instance of another shard would be closed.
	It("stays open without messages, with and without extended timeouts", func(ctx SpecContext) {
		normal, extended := openPair(ctx), openPair(ctx)
		extended.accepted.ExtendTimeouts()
		extended.dialled.ExtendTimeouts()
		Consistently(normal.closed, 2500*time.Millisecond).ShouldNot(Receive())
		Expect(extended.closed).NotTo(Receive())
	})
})
