package peer_test

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"

	"fuchsiacross/document"
	"fuchsiacross/event"
	"fuchsiacross/model"
	"fuchsiacross/peer"
)

// endpoint is one instance with its links and the events that they posted.
type endpoint struct {
	links      *peer.Links
	instance   model.Instance
	registry   metrics.Registry
	server     *http.Server
	dropWrites atomic.Bool // discards everything that the dialled connections of this side send

	mu        sync.Mutex
	events    []event.Event
	copies    []event.DocumentCopy
	blockPost chan struct{} // blocks Post until it is closed, if set
}

// droppingConn is a connection that discards all writes while dropWrites is set,
// like a network that drops every packet.
type droppingConn struct {
	net.Conn
	dropWrites *atomic.Bool
}

func (c *droppingConn) Write(p []byte) (int, error) {
	if c.dropWrites.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// newEndpoint returns an endpoint that accepts links and has no peers yet.
func newEndpoint(id model.InstanceID, incarnation model.Incarnation, configure func(*peer.Options)) *endpoint {
	GinkgoHelper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	return newEndpointOn(listener, id, incarnation, configure)
}

func newEndpointOn(listener net.Listener, id model.InstanceID, incarnation model.Incarnation, configure func(*peer.Options)) *endpoint {
	e := &endpoint{registry: metrics.NewRegistry()}
	e.instance = model.Instance{
		ID:         id,
		Address:    netip.MustParseAddrPort(listener.Addr().String()),
		DataCentre: "north",
		Weight:     1,
	}
	o := peer.Options{
		Self:        e.instance,
		Incarnation: incarnation,
		Metrics:     e.registry,
		Post:        e.post,
		HandleDocument: func(_ model.InstanceID, c event.DocumentCopy) {
			e.mu.Lock()
			defer e.mu.Unlock()
			e.copies = append(e.copies, c)
		},
		Dial: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
			return &droppingConn{conn, &e.dropWrites}, err
		},
	}
	if configure != nil {
		configure(&o)
	}
	e.links = peer.New(o)
	e.server = &http.Server{Handler: e.links.Handler(), ReadHeaderTimeout: time.Second}
	go func() { _ = e.server.Serve(listener) }()
	DeferCleanup(e.close)
	return e
}

func (e *endpoint) close() {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	Expect(e.links.Close(ctx)).To(Succeed())
	_ = e.server.Close()
}

func (e *endpoint) post(v event.Event) {
	e.mu.Lock()
	e.events = append(e.events, v)
	block := e.blockPost
	e.mu.Unlock()
	if block != nil {
		<-block
	}
}

// postedEvents returns a function that returns the events of one type so far.
func postedEvents[T event.Event](e *endpoint) func() []T {
	return func() []T {
		e.mu.Lock()
		defer e.mu.Unlock()
		var found []T
		for _, v := range e.events {
			if t, ok := v.(T); ok {
				found = append(found, t)
			}
		}
		return found
	}
}

func (e *endpoint) counter(name string) int64 {
	return metrics.GetOrRegisterCounter(name, e.registry).Count()
}

func (e *endpoint) send(to *endpoint, m event.Message) {
	GinkgoHelper()
	Expect(e.links.Apply(event.SendPeer{To: to.instance.ID, Message: m})).To(BeTrue())
}

// connectAll makes the endpoints peers of each other and waits until all links
// are open.
func connectAll(all ...*endpoint) {
	GinkgoHelper()
	instances := make([]model.Instance, len(all))
	for i, e := range all {
		instances[i] = e.instance
	}
	for _, e := range all {
		e.links.SetPeers(instances)
	}
	for _, e := range all {
		Eventually(e.openLinks, "5s", "5ms").Should(Equal(int64(len(all) - 1)))
	}
}

func (e *endpoint) openLinks() int64 { return e.counter("peer.links_open") }

var _ = Describe("Links", func() {
	// Guards against messages that are lost, reordered or changed between two healthy
	// instances, which would be attributed to a fault of the peer.
	It("delivers messages in order in both directions", func() {
		a, b := newEndpoint("a", 1, nil), newEndpoint("b", 1, nil)
		connectAll(a, b)
		for i := range 200 {
			a.send(b, event.RunningQuery{Partition: model.Partition(i)})
		}
		b.send(a, event.ReleaseReservation{Call: 7})
		Eventually(postedEvents[event.PeerReceived](b), "5s").Should(HaveLen(200))
		for i, r := range postedEvents[event.PeerReceived](b)() {
			Expect(r).To(Equal(event.PeerReceived{From: "a", Message: event.RunningQuery{Partition: model.Partition(i)}}))
		}
		Eventually(postedEvents[event.PeerReceived](a)).Should(ConsistOf(
			event.PeerReceived{From: "b", Message: event.ReleaseReservation{Call: 7}}))
		Expect(a.counter("peer.messages_sent")).To(Equal(int64(200)))
		Expect(a.counter("peer.frames_sent")).To(BeNumerically("<", 200), "waiting messages share frames")
		Expect(b.counter("peer.messages_received")).To(Equal(int64(200)))
		Expect(b.counter("peer.bytes_received")).To(BeNumerically(">", 200*5))
	})

	// Guards against two connections for one pair, which would post PeerUp twice and
	// double the heartbeats, and against a link that never opens because both sides
	// close the other's connection. Dials that take longer than the head start of
	// the lower identifier happen at the same time.
	It("keeps one link for each pair when all instances start at once", func() {
		slow := func(o *peer.Options) {
			dial := o.Dial
			o.Dial = func(ctx context.Context, network, address string) (net.Conn, error) {
				conn, err := dial(ctx, network, address)
				time.Sleep(250 * time.Millisecond)
				return conn, err
			}
		}
		all := make([]*endpoint, 7)
		for i := range all {
			all[i] = newEndpoint(model.InstanceID(rune('a'+i)), 1, slow)
		}
		connectAll(all...)
		Consistently(func(g Gomega) {
			for _, e := range all {
				g.Expect(e.openLinks()).To(Equal(int64(6)))
				g.Expect(postedEvents[event.PeerUp](e)()).To(HaveLen(6))
			}
		}, "500ms").Should(Succeed())
	})

	// Guards against messages of an earlier incarnation of a peer that are attributed
	// to the current one, and against an earlier incarnation that replaces the
	// current one.
	It("refuses an earlier incarnation and accepts a later one", func() {
		a, b := newEndpoint("a", 5, nil), newEndpoint("b", 1, nil)
		connectAll(a, b)
		earlier := newEndpoint("a", 4, nil)
		earlier.links.SetPeers([]model.Instance{b.instance})
		Consistently(postedEvents[event.PeerDown](b), "500ms").Should(BeEmpty())
		earlier.send(b, event.ReleaseReservation{Call: 1})
		Consistently(postedEvents[event.PeerReceived](b), "100ms").Should(BeEmpty())

		later := newEndpoint("a", 6, nil)
		later.links.SetPeers([]model.Instance{b.instance})
		Eventually(postedEvents[event.PeerUp](b), "2s").Should(HaveLen(2))
		Eventually(postedEvents[event.PeerDown](b)).Should(HaveLen(1))
	})

	// Guards against messages for an earlier incarnation that reach the later one,
	// and against a link that takes much longer than a second to reopen after a peer
	// has restarted.
	It("reconnects to a restarted peer and drops earlier messages", func() {
		a, b := newEndpoint("a", 1, nil), newEndpoint("b", 1, nil)
		connectAll(a, b)
		b.close()
		Eventually(a.openLinks).Should(BeZero())
		a.send(b, event.ReleaseReservation{Call: 1})
		listener, err := net.Listen("tcp", b.instance.Address.String())
		Expect(err).NotTo(HaveOccurred())
		again := newEndpointOn(listener, "b", 2, nil)
		Eventually(a.openLinks, "2s", "5ms").Should(Equal(int64(1)))
		a.send(again, event.ReleaseReservation{Call: 2})
		Eventually(postedEvents[event.PeerReceived](again)).Should(HaveLen(1))
		Expect(postedEvents[event.PeerReceived](again)()[0].Message).To(Equal(event.ReleaseReservation{Call: 2}))
		Expect(a.counter("peer.messages_dropped")).To(Equal(int64(1)))
	})

	// Guards against a connection that stays open although all packets are lost: TCP
	// does not close it in time, so the read deadline must.
	It("closes a link on which nothing is received", func() {
		a, b := newEndpoint("a", 1, nil), newEndpoint("b", 1, nil)
		connectAll(a, b)
		a.dropWrites.Store(true)
		Eventually(b.openLinks, "4s", "10ms").Should(BeZero())
		Eventually(postedEvents[event.PeerDown](b), "4s").ShouldNot(BeEmpty())
		Expect(postedEvents[event.PeerDown](b)()[0].Reason).To(Equal("nothing received in time"))
		a.dropWrites.Store(false)
		Eventually(b.openLinks, "5s", "10ms").Should(Equal(int64(1)))
	})

	// Guards against a misleading reason in PeerDown. The library closes a connection
	// whose read deadline has passed, and the writer then reported a failed write
	// instead of the timeout that caused it.
	It("reports the read timeout as the reason even while it sends", func() {
		a, b := newEndpoint("a", 1, nil), newEndpoint("b", 1, nil)
		connectAll(a, b)
		a.dropWrites.Store(true)
		done := make(chan struct{})
		go func() {
			defer close(done)
			for b.openLinks() == 1 {
				b.send(a, event.ReleaseReservation{Call: 1})
			}
		}()
		Eventually(postedEvents[event.PeerDown](b), "20s", "10ms").ShouldNot(BeEmpty())
		<-done
		Expect(postedEvents[event.PeerDown](b)()[0].Reason).To(Equal("nothing received in time"))
	})

	// Guards against an instance without the shared key that sends commands in the
	// name of a peer.
	It("opens no link between instances with different keys", func() {
		tests := []struct {
			a, b string
			up   bool
		}{
			{"one", "one", true},
			{"one", "two", false},
			{"one", "", false},
			{"", "two", false},
		}
		for _, test := range tests {
			withKey := func(key string) func(*peer.Options) {
				return func(o *peer.Options) { o.Secret = func() []byte { return []byte(key) } }
			}
			a, b := newEndpoint("a", 1, withKey(test.a)), newEndpoint("b", 1, withKey(test.b))
			a.links.SetPeers([]model.Instance{b.instance})
			if test.up {
				Eventually(b.openLinks, "2s").Should(Equal(int64(1)))
				continue
			}
			Consistently(b.openLinks, "300ms").Should(BeZero())
			Expect(postedEvents[event.PeerUp](a)()).To(BeEmpty())
		}
	})

	// Guards against a slow peer that makes the memory of its peers grow, and against
	// stale heartbeats when it reads again.
	It("bounds the queue and keeps only the newest heartbeat", func() {
		b := newEndpoint("b", 1, nil)
		b.blockPost = make(chan struct{})
		a := newEndpoint("a", 1, func(o *peer.Options) { o.MaxQueuedMessages = 8 })
		a.links.SetPeers([]model.Instance{b.instance})
		Eventually(a.openLinks, "2s").Should(Equal(int64(1)))
		body := make([]byte, 1<<20)
		for i := range 64 {
			a.send(b, event.Forward{Call: event.CallID(i), Request: &model.Request{
				ID: "r", Team: "t", Workload: "w", Kind: model.KindRequest, Class: model.ClassUrgent, Tasks: 1, Body: body,
			}})
			a.send(b, event.Heartbeat{Instance: "a", Incarnation: 1, Revision: model.Revision(i + 1)})
			time.Sleep(time.Millisecond)
		}
		Expect(a.counter("peer.messages_dropped")).To(BeNumerically(">", 0))
		Expect(a.counter("peer.heartbeats_replaced")).To(BeNumerically(">", 0))
		close(b.blockPost)
		revision := func() (newest model.Revision) {
			for _, r := range postedEvents[event.PeerReceived](b)() {
				if h, ok := r.Message.(event.Heartbeat); ok {
					newest = h.Revision
				}
			}
			return newest
		}
		Eventually(revision, "5s").Should(Equal(model.Revision(64)))
	})

	// Guards against a message above the peer's limit that closes the link each time
	// it is sent, and loses all other messages with it.
	It("drops a message that is too large for the peer and keeps the link open", func() {
		a := newEndpoint("a", 1, nil)
		b := newEndpoint("b", 1, func(o *peer.Options) { o.MaxFrameBytes = 64 << 10 })
		connectAll(a, b)
		for _, size := range []int{70 << 10, 40 << 10, 40 << 10} {
			a.send(b, event.OutcomeReply{Outcome: model.Outcome{Answer: make([]byte, size)}})
		}
		Eventually(postedEvents[event.PeerReceived](b)).Should(HaveLen(2))
		Expect(a.counter("peer.messages_dropped")).To(Equal(int64(1)))
		Expect(postedEvents[event.PeerDown](b)()).To(BeEmpty())
	})

	// Guards against an instance with an old document that does not get the newer
	// sections, and against copies sent to one that is up to date.
	It("answers a document fetch without the reducer", func() {
		held := &document.Document{Revision: 9, Sections: []document.Section{
			{Name: "cell", Revision: 1, DocumentRevision: 3, Body: []byte("{}")},
			{Name: "gates", Owners: []model.Team{"gates"}, Revision: 4, DocumentRevision: 9, EditID: "e", Body: []byte("{}")},
		}}
		a := newEndpoint("a", 1, func(o *peer.Options) {
			o.CurrentDocument = func() *document.Document { return &document.Document{Revision: 5} }
		})
		b := newEndpoint("b", 1, func(o *peer.Options) { o.CurrentDocument = func() *document.Document { return held } })
		connectAll(a, b)
		Expect(a.links.Apply(event.FetchDocument{Revision: 9})).To(BeFalse(), "the platform's part")
		Expect(a.links.Apply(event.FetchDocument{Peer: "b", Revision: 9})).To(BeTrue())
		Expect(b.links.Apply(event.FetchDocument{Peer: "a", Revision: 9})).To(BeTrue())
		copies := func() []event.DocumentCopy {
			a.mu.Lock()
			defer a.mu.Unlock()
			return a.copies
		}
		Eventually(copies).Should(Equal([]event.DocumentCopy{{Revision: 9, Sections: held.Sections[1:]}}))
		Expect(postedEvents[event.PeerReceived](b)()).To(BeEmpty())
		Consistently(func() []event.DocumentCopy { return b.copies }, "100ms").Should(BeEmpty())
	})

	// Guards against refusing a peer that connects before it is listed, since the
	// list lags behind, and against a link that stays open after a peer was removed
	// from the list.
	It("accepts unlisted peers and closes links to peers removed from the list", func() {
		a, b := newEndpoint("a", 1, nil), newEndpoint("b", 1, nil)
		a.links.SetPeers([]model.Instance{a.instance, b.instance})
		Eventually(b.openLinks, "2s").Should(Equal(int64(1)))
		b.links.SetPeers(nil)
		Consistently(b.openLinks, "100ms").Should(Equal(int64(1)))
		a.links.SetPeers([]model.Instance{a.instance})
		Eventually(b.openLinks).Should(BeZero())
		Consistently(b.openLinks, "300ms").Should(BeZero())
	})
})
