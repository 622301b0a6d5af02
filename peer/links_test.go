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

// endpoint is one instance with its links and what they posted.
type endpoint struct {
	links    *peer.Links
	instance model.Instance
	registry metrics.Registry
	server   *http.Server
	cut      atomic.Bool // swallows everything that this side's connections carry

	mu     sync.Mutex
	events []event.Event
	copies []event.DocumentCopy
	block  chan struct{} // Post waits for it when it is set
}

// cutConn is a connection that carries nothing while its endpoint is cut, as a
// network that drops every packet.
type cutConn struct {
	net.Conn
	cut *atomic.Bool
}

func (c *cutConn) Write(p []byte) (int, error) {
	if c.cut.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// listen returns an endpoint whose handler is served but that has no peers.
func listen(id model.InstanceID, life model.Incarnation, change func(*peer.Options)) *endpoint {
	GinkgoHelper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	return serve(listener, id, life, change)
}

func serve(listener net.Listener, id model.InstanceID, life model.Incarnation, change func(*peer.Options)) *endpoint {
	e := &endpoint{registry: metrics.NewRegistry()}
	e.instance = model.Instance{
		ID:         id,
		Address:    netip.MustParseAddrPort(listener.Addr().String()),
		DataCentre: "north",
		Weight:     1,
	}
	o := peer.Options{
		Self:        e.instance,
		Incarnation: life,
		Metrics:     e.registry,
		Post:        e.post,
		HandleDocument: func(_ model.InstanceID, c event.DocumentCopy) {
			e.mu.Lock()
			defer e.mu.Unlock()
			e.copies = append(e.copies, c)
		},
		Dial: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
			return &cutConn{conn, &e.cut}, err
		},
	}
	if change != nil {
		change(&o)
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
	block := e.block
	e.mu.Unlock()
	if block != nil {
		<-block
	}
}

// posted returns the events of one type.
func posted[T event.Event](e *endpoint) func() []T {
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

func (e *endpoint) count(name string) int64 {
	return metrics.GetOrRegisterCounter(name, e.registry).Count()
}

func (e *endpoint) send(to *endpoint, m event.Message) {
	GinkgoHelper()
	Expect(e.links.Apply(event.SendPeer{To: to.instance.ID, Message: m})).To(BeTrue())
}

// connect lists each endpoint at the others and waits for the links.
func connect(all ...*endpoint) {
	GinkgoHelper()
	instances := make([]model.Instance, len(all))
	for i, e := range all {
		instances[i] = e.instance
	}
	for _, e := range all {
		e.links.SetPeers(instances)
	}
	for _, e := range all {
		Eventually(e.linked, "5s", "5ms").Should(Equal(int64(len(all) - 1)))
	}
}

func (e *endpoint) linked() int64 { return e.count("peer.links_open") }

var _ = Describe("Links", func() {
	// A message that is lost, reordered or changed between two healthy instances
	// would be taken for a fault of the peer.
	It("carries messages in order in both directions", func() {
		a, b := listen("a", 1, nil), listen("b", 1, nil)
		connect(a, b)
		for i := range 200 {
			a.send(b, event.RunningQuery{Partition: model.Partition(i)})
		}
		b.send(a, event.ReleaseReservation{Call: 7})
		Eventually(posted[event.PeerReceived](b), "5s").Should(HaveLen(200))
		for i, r := range posted[event.PeerReceived](b)() {
			Expect(r).To(Equal(event.PeerReceived{From: "a", Message: event.RunningQuery{Partition: model.Partition(i)}}))
		}
		Eventually(posted[event.PeerReceived](a)).Should(ConsistOf(
			event.PeerReceived{From: "b", Message: event.ReleaseReservation{Call: 7}}))
		Expect(a.count("peer.messages_sent")).To(Equal(int64(200)))
		Expect(a.count("peer.frames_sent")).To(BeNumerically("<", 200), "waiting messages share frames")
		Expect(b.count("peer.messages_received")).To(Equal(int64(200)))
		Expect(b.count("peer.bytes_received")).To(BeNumerically(">", 200*5))
	})

	// Two connections for one pair would post PeerUp twice and double the
	// heartbeats; a link that both sides close again would never open. Dials that
	// take longer than the head start of the lower identifier meet each other.
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
			all[i] = listen(model.InstanceID(rune('a'+i)), 1, slow)
		}
		connect(all...)
		Consistently(func(g Gomega) {
			for _, e := range all {
				g.Expect(e.linked()).To(Equal(int64(6)))
				g.Expect(posted[event.PeerUp](e)()).To(HaveLen(6))
			}
		}, "500ms").Should(Succeed())
	})

	// A message of an earlier life of a peer must not be taken for one of its
	// present life, and the earlier life must not push the present one out.
	It("refuses an earlier incarnation", func() {
		a, b := listen("a", 5, nil), listen("b", 1, nil)
		connect(a, b)
		earlier := listen("a", 4, nil)
		earlier.links.SetPeers([]model.Instance{b.instance})
		Consistently(posted[event.PeerDown](b), "500ms").Should(BeEmpty())
		earlier.send(b, event.ReleaseReservation{Call: 1})
		Consistently(posted[event.PeerReceived](b), "100ms").Should(BeEmpty())

		later := listen("a", 6, nil)
		later.links.SetPeers([]model.Instance{b.instance})
		Eventually(posted[event.PeerUp](b), "2s").Should(HaveLen(2))
		Eventually(posted[event.PeerDown](b)).Should(HaveLen(1))
	})

	// A peer that restarts must be linked again within about a second, and
	// messages for its earlier life must not reach the later one.
	It("reconnects to a restarted peer and drops what waited", func() {
		a, b := listen("a", 1, nil), listen("b", 1, nil)
		connect(a, b)
		b.close()
		Eventually(a.linked).Should(BeZero())
		a.send(b, event.ReleaseReservation{Call: 1})
		listener, err := net.Listen("tcp", b.instance.Address.String())
		Expect(err).NotTo(HaveOccurred())
		again := serve(listener, "b", 2, nil)
		Eventually(a.linked, "2s", "5ms").Should(Equal(int64(1)))
		a.send(again, event.ReleaseReservation{Call: 2})
		Eventually(posted[event.PeerReceived](again)).Should(HaveLen(1))
		Expect(posted[event.PeerReceived](again)()[0].Message).To(Equal(event.ReleaseReservation{Call: 2}))
		Expect(a.count("peer.messages_dropped")).To(Equal(int64(1)))
	})

	// A connection whose packets all vanish is never closed by TCP in time; only
	// the read deadline ends it.
	It("closes a link that has gone silent", func() {
		a, b := listen("a", 1, nil), listen("b", 1, nil)
		connect(a, b)
		a.cut.Store(true)
		Eventually(b.linked, "4s", "10ms").Should(BeZero())
		Eventually(posted[event.PeerDown](b), "4s").ShouldNot(BeEmpty())
		Expect(posted[event.PeerDown](b)()[0].Reason).To(Equal("nothing received in time"))
		a.cut.Store(false)
		Eventually(b.linked, "5s", "10ms").Should(Equal(int64(1)))
	})

	// The library closes a silent connection under the writer; operators were told
	// of a failed write instead of the silence that caused it.
	It("names silence as the reason also while it sends", func() {
		a, b := listen("a", 1, nil), listen("b", 1, nil)
		connect(a, b)
		a.cut.Store(true)
		done := make(chan struct{})
		go func() {
			defer close(done)
			for b.linked() == 1 {
				b.send(a, event.ReleaseReservation{Call: 1})
			}
		}()
		Eventually(posted[event.PeerDown](b), "20s", "10ms").ShouldNot(BeEmpty())
		<-done
		Expect(posted[event.PeerDown](b)()[0].Reason).To(Equal("nothing received in time"))
	})

	// An instance with another key could send commands in the name of a peer.
	It("opens no link between different keys", func() {
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
			keyed := func(key string) func(*peer.Options) {
				return func(o *peer.Options) { o.Secret = func() []byte { return []byte(key) } }
			}
			a, b := listen("a", 1, keyed(test.a)), listen("b", 1, keyed(test.b))
			a.links.SetPeers([]model.Instance{b.instance})
			if test.up {
				Eventually(b.linked, "2s").Should(Equal(int64(1)))
				continue
			}
			Consistently(b.linked, "300ms").Should(BeZero())
			Expect(posted[event.PeerUp](a)()).To(BeEmpty())
		}
	})

	// A slow peer must not let the memory of its peers grow, and its heartbeats
	// must not be stale when it reads again.
	It("bounds the queue and keeps only the newest heartbeat", func() {
		b := listen("b", 1, nil)
		b.block = make(chan struct{})
		a := listen("a", 1, func(o *peer.Options) { o.MaxQueuedMessages = 8 })
		a.links.SetPeers([]model.Instance{b.instance})
		Eventually(a.linked, "2s").Should(Equal(int64(1)))
		body := make([]byte, 1<<20)
		for i := range 64 {
			a.send(b, event.Forward{Call: event.CallID(i), Request: &model.Request{
				ID: "r", Team: "t", Workload: "w", Kind: model.KindRequest, Class: model.ClassUrgent, Tasks: 1, Body: body,
			}})
			a.send(b, event.Heartbeat{Instance: "a", Incarnation: 1, Revision: model.Revision(i + 1)})
			time.Sleep(time.Millisecond)
		}
		Expect(a.count("peer.messages_dropped")).To(BeNumerically(">", 0))
		Expect(a.count("peer.heartbeats_replaced")).To(BeNumerically(">", 0))
		close(b.block)
		revision := func() (newest model.Revision) {
			for _, r := range posted[event.PeerReceived](b)() {
				if h, ok := r.Message.(event.Heartbeat); ok {
					newest = h.Revision
				}
			}
			return newest
		}
		Eventually(revision, "5s").Should(Equal(model.Revision(64)))
	})

	// A message above the peer's limit would close the link again and again, and
	// take all other messages with it.
	It("drops a message that is too large for the peer and keeps the link", func() {
		a := listen("a", 1, nil)
		b := listen("b", 1, func(o *peer.Options) { o.MaxFrameBytes = 64 << 10 })
		connect(a, b)
		for _, size := range []int{70 << 10, 40 << 10, 40 << 10} {
			a.send(b, event.OutcomeReply{Outcome: model.Outcome{Answer: make([]byte, size)}})
		}
		Eventually(posted[event.PeerReceived](b)).Should(HaveLen(2))
		Expect(a.count("peer.messages_dropped")).To(Equal(int64(1)))
		Expect(posted[event.PeerDown](b)()).To(BeEmpty())
	})

	// An instance that is behind must get the sections that it lacks, and nothing
	// when it lacks none.
	It("answers a document fetch without the reducer", func() {
		held := &document.Document{Revision: 9, Sections: []document.Section{
			{Name: "cell", Revision: 1, DocumentRevision: 3, Body: []byte("{}")},
			{Name: "gates", Owners: []model.Team{"gates"}, Revision: 4, DocumentRevision: 9, EditID: "e", Body: []byte("{}")},
		}}
		a := listen("a", 1, func(o *peer.Options) {
			o.CurrentDocument = func() *document.Document { return &document.Document{Revision: 5} }
		})
		b := listen("b", 1, func(o *peer.Options) { o.CurrentDocument = func() *document.Document { return held } })
		connect(a, b)
		Expect(a.links.Apply(event.FetchDocument{Revision: 9})).To(BeFalse(), "the platform's part")
		Expect(a.links.Apply(event.FetchDocument{Peer: "b", Revision: 9})).To(BeTrue())
		Expect(b.links.Apply(event.FetchDocument{Peer: "a", Revision: 9})).To(BeTrue())
		copies := func() []event.DocumentCopy {
			a.mu.Lock()
			defer a.mu.Unlock()
			return a.copies
		}
		Eventually(copies).Should(Equal([]event.DocumentCopy{{Revision: 9, Sections: held.Sections[1:]}}))
		Expect(posted[event.PeerReceived](b)()).To(BeEmpty())
		Consistently(func() []event.DocumentCopy { return b.copies }, "100ms").Should(BeEmpty())
	})

	// The list lags: a peer that connects before it is listed must be heard, and
	// one that is taken off the list must be let go.
	It("accepts unlisted peers and closes links to peers taken off the list", func() {
		a, b := listen("a", 1, nil), listen("b", 1, nil)
		a.links.SetPeers([]model.Instance{a.instance, b.instance})
		Eventually(b.linked, "2s").Should(Equal(int64(1)))
		b.links.SetPeers(nil)
		Consistently(b.linked, "100ms").Should(Equal(int64(1)))
		a.links.SetPeers([]model.Instance{a.instance})
		Eventually(b.linked).Should(BeZero())
		Consistently(b.linked, "300ms").Should(BeZero())
	})
})
