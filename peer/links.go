package peer

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/coder/websocket"
	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"fuchsiacross/event"
	"fuchsiacross/intake"
	"fuchsiacross/logevent"
	"fuchsiacross/model"
)

const (
	// maxMessageOverheadBytes covers the array header, the kind and the length of
	// a message in a frame. maxFrameOverheadBytes covers the overhead of a frame
	// with one message.
	maxMessageOverheadBytes = 8
	maxFrameOverheadBytes   = 32
)

var (
	errClosed       = errors.New("the link is closed")
	errSimultaneous = errors.New("the connection that the instance with the lower identifier opened at the same time is kept")
)

// Links manages the links to all peers. Its methods are safe for concurrent use.
type Links struct {
	options     Options
	counters    *counters
	ctx         context.Context
	cancel      context.CancelFunc
	goroutines  sync.WaitGroup
	handshakes  chan struct{} // has one element per incoming handshake
	listedPeers atomic.Int64  // number of listed peers, not counting this instance
	// strangersLargeFrame has an element while a large frame of a stranger is received.
	strangersLargeFrame chan struct{}
	strangersDecoding   sync.Mutex // held while a frame of a stranger is decoded

	mu     sync.Mutex
	closed bool
	links  map[model.InstanceID]*link
}

// New returns Links without peers.
func New(o Options) *Links {
	ctx, cancel := context.WithCancel(context.Background())
	l := &Links{
		options:    o.withDefaults(),
		ctx:        ctx,
		cancel:     cancel,
		handshakes: make(chan struct{}, maxIncomingHandshakes),
		links:      map[model.InstanceID]*link{},

		strangersLargeFrame: make(chan struct{}, 1),
	}
	l.counters = newCounters(l.options.Metrics)
	return l
}

// SetPeers sets the list of instances. It opens links to new peers and closes
// those to peers that are no longer listed. A link that was opened by a peer not
// yet listed stays open, because the list lags behind.
func (l *Links) SetPeers(peers []model.Instance) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return
	}
	wanted := make(map[model.InstanceID]bool, len(peers))
	for _, peer := range peers {
		if peer.ID == l.options.Self.ID {
			continue
		}
		wanted[peer.ID] = true
		peerLink, ok := l.links[peer.ID]
		if !ok {
			l.links[peer.ID] = newLink(l.ctx, l, peer, true)
			continue
		}
		if !peerLink.isListed() || peerLink.listedInstance() != peer {
			peerLink.updateListing(peer)
		}
	}
	l.listedPeers.Store(int64(len(wanted)))
	for id, peerLink := range l.links {
		if !wanted[id] && peerLink.isListed() {
			delete(l.links, id)
			peerLink.close("no longer listed")
		}
	}
}

// Apply carries out the effects SendPeer and, if it names a peer, FetchDocument.
// It returns false for every other effect. It never blocks.
func (l *Links) Apply(e event.Effect) bool {
	switch e := e.(type) {
	case event.SendPeer:
		l.send(e.To, e.Message)
		return true
	case event.FetchDocument:
		if e.Peer == "" {
			return false
		}
		var knownRevision model.Revision
		if d := l.options.CurrentDocument(); d != nil {
			knownRevision = d.Revision
		}
		l.send(e.Peer, event.DocumentFetch{KnownRevision: knownRevision})
		return true
	}
	return false
}

func (l *Links) send(to model.InstanceID, m event.Message) {
	l.mu.Lock()
	peerLink, ok := l.links[to]
	l.mu.Unlock()
	if !ok {
		l.counters.messagesDropped.Inc(1)
		return
	}
	peerLink.enqueue(m)
}

// Close sends the queued messages, closes all links and waits until their
// goroutines have ended. It returns an error if ctx ends first.
func (l *Links) Close(ctx context.Context) error {
	l.mu.Lock()
	l.closed = true
	links := make([]*link, 0, len(l.links))
	for _, peerLink := range l.links {
		links = append(links, peerLink)
	}
	l.mu.Unlock()
	var closing sync.WaitGroup
	for _, peerLink := range links {
		closing.Go(func() { peerLink.closeGracefully(ctx) })
	}
	closing.Wait()
	l.cancel()
	done := make(chan struct{})
	go func() {
		l.goroutines.Wait()
		close(done)
	}()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "close links")
	}
}

// isLargeCell reports whether the cell has more peers than a small cell, so that
// heartbeats use deadbands and stricter limits.
func (l *Links) isLargeCell() bool { return l.listedPeers.Load() > maxSmallCellPeers }

// keepaliveInterval returns the interval that this side announces in its hello.
func (l *Links) keepaliveInterval() time.Duration {
	if l.isLargeCell() {
		return largeCellKeepaliveInterval
	}
	return smallCellKeepaliveInterval
}

// linkFor returns the link to a peer that sent a hello. It creates the link if
// the peer is not listed yet.
func (l *Links) linkFor(peer model.Instance) (*link, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return nil, errClosed
	}
	peerLink, ok := l.links[peer.ID]
	if !ok {
		peerLink = newLink(l.ctx, l, peer, false)
		l.links[peer.ID] = peerLink
	}
	return peerLink, nil
}

// removeUnlisted removes and closes the link of a peer that is not listed.
func (l *Links) removeUnlisted(peerLink *link) {
	l.mu.Lock()
	if l.links[peerLink.id] == peerLink && !peerLink.isListed() {
		delete(l.links, peerLink.id)
		l.mu.Unlock()
		peerLink.close("unlisted peer left")
		return
	}
	l.mu.Unlock()
}

// dial opens a connection to a listed peer and logs failures.
func (l *Links) dial(ctx context.Context, peerLink *link) {
	err := l.connect(ctx, peerLink)
	if err != nil && !errors.Is(err, errSimultaneous) && ctx.Err() == nil {
		logevent.PeerDialFailed.Log(l.options.Log, zap.String("peer", string(peerLink.id)), zap.Error(err))
	}
}

func (l *Links) connect(ctx context.Context, peerLink *link) error {
	peer := peerLink.listedInstance()
	handshakeCtx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	conn, netConn, err := l.dialWebSocket(handshakeCtx, peer.Address.String())
	if err != nil {
		return err
	}
	s, err := l.handshakeAsDialer(handshakeCtx, conn, peer.ID)
	if err == nil {
		s.link, s.netConn = peerLink, netConn
		err = peerLink.installSession(l.ctx, s)
	}
	if err != nil {
		_ = conn.CloseNow()
	}
	return err
}

// dialWebSocket opens a WebSocket connection and returns it with its underlying
// network connection. The HTTP transport is used for this connection only.
func (l *Links) dialWebSocket(ctx context.Context, address string) (*websocket.Conn, net.Conn, error) {
	var netConn net.Conn
	transport := &http.Transport{DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := l.options.Dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		netConn = &countedConn{Conn: conn, counters: l.counters}
		return netConn, nil
	}}
	defer transport.CloseIdleConnections()
	conn, response, err := websocket.Dial(ctx, "ws://"+address+Path, &websocket.DialOptions{
		HTTPClient:      &http.Client{Transport: transport},
		CompressionMode: websocket.CompressionDisabled,
	})
	if response != nil && response.Body != nil {
		_ = response.Body.Close()
	}
	if err != nil {
		return nil, nil, err
	}
	return conn, netConn, nil
}

// Handler returns the HTTP handler that accepts links from peers at Path.
func (l *Links) Handler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		select {
		case l.handshakes <- struct{}{}:
			defer func() { <-l.handshakes }()
		default:
			http.Error(w, "too many links are opening", http.StatusServiceUnavailable)
			return
		}
		counted := &countedWriter{ResponseWriter: w, counters: l.counters}
		conn, err := websocket.Accept(counted, r, &websocket.AcceptOptions{CompressionMode: websocket.CompressionDisabled})
		if err != nil {
			return // Accept has written the response
		}
		if err := l.accept(conn, counted.conn); err == nil {
			intake.Establish(r.Context())
		} else {
			_ = conn.CloseNow()
			if !errors.Is(err, errSimultaneous) && !errors.Is(err, errClosed) {
				logevent.PeerHelloRefused.Log(l.options.Log, zap.String("remote", r.RemoteAddr), zap.Error(err))
			}
		}
	})
}

func (l *Links) accept(conn *websocket.Conn, netConn net.Conn) error {
	ctx, cancel := context.WithTimeout(l.ctx, handshakeTimeout)
	defer cancel()
	s, err := l.handshakeAsAcceptor(ctx, conn)
	if err != nil {
		return err
	}
	peerLink, err := l.linkFor(s.remote.instance)
	if err != nil {
		return err
	}
	s.link, s.netConn = peerLink, netConn
	return peerLink.installSession(l.ctx, s)
}
