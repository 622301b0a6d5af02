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
	"fuchsiacross/logevent"
	"fuchsiacross/model"
)

const (
	// maxMessageOverhead covers the array header, the kind and the length of a
	// message in a frame; maxFrameOverhead those of a frame with one message.
	maxMessageOverhead = 8
	maxFrameOverhead   = 32
)

var (
	errClosed       = errors.New("the link is closed")
	errSimultaneous = errors.New("a connection that the lower identifier opened at the same time is kept")
)

// Links holds the links to all peers. Its methods are safe for concurrent use.
type Links struct {
	options    Options
	counters   *counters
	ctx        context.Context
	cancel     context.CancelFunc
	running    sync.WaitGroup
	handshakes chan struct{} // has an element for each incoming handshake
	peers      atomic.Int64  // number of listed peers

	mu     sync.Mutex
	closed bool
	links  map[model.InstanceID]*link
}

// New returns links to no peers yet.
func New(o Options) *Links {
	ctx, cancel := context.WithCancel(context.Background())
	l := &Links{
		options:    o.withDefaults(),
		ctx:        ctx,
		cancel:     cancel,
		handshakes: make(chan struct{}, maxHandshakes),
		links:      map[model.InstanceID]*link{},
	}
	l.counters = newCounters(l.options.Metrics)
	return l
}

// SetPeers opens links to new peers and closes those to peers that are no
// longer listed. A link that an unlisted peer opened stays open, because the
// list lags.
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
		known, ok := l.links[peer.ID]
		if !ok {
			l.links[peer.ID] = newLink(l.ctx, l, peer, true)
			continue
		}
		if !known.wasListed() || known.address() != peer {
			known.list(peer)
		}
	}
	l.peers.Store(int64(len(wanted)))
	for id, known := range l.links {
		if !wanted[id] && known.wasListed() {
			delete(l.links, id)
			known.close("no longer listed")
		}
	}
}

// Apply carries out SendPeer and FetchDocument with a Peer. It returns false
// for every other effect. It never blocks.
func (l *Links) Apply(e event.Effect) bool {
	switch e := e.(type) {
	case event.SendPeer:
		l.send(e.To, e.Message)
		return true
	case event.FetchDocument:
		if e.Peer == "" {
			return false
		}
		var have model.Revision
		if d := l.options.CurrentDocument(); d != nil {
			have = d.Revision
		}
		l.send(e.Peer, event.DocumentFetch{KnownRevision: have})
		return true
	}
	return false
}

func (l *Links) send(to model.InstanceID, m event.Message) {
	l.mu.Lock()
	known, ok := l.links[to]
	l.mu.Unlock()
	if !ok {
		l.counters.messagesDropped.Inc(1)
		return
	}
	known.send(m)
}

// Close sends what waits, closes all links and returns when their goroutines
// have ended, or with an error when the context ends first.
func (l *Links) Close(ctx context.Context) error {
	l.mu.Lock()
	l.closed = true
	links := make([]*link, 0, len(l.links))
	for _, known := range l.links {
		links = append(links, known)
	}
	l.mu.Unlock()
	var leaving sync.WaitGroup
	for _, known := range links {
		leaving.Go(func() { known.leave(ctx) })
	}
	leaving.Wait()
	l.cancel()
	done := make(chan struct{})
	go func() {
		l.running.Wait()
		close(done)
	}()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "close links")
	}
}

// large reports whether heartbeats are sent with bands and bounds.
func (l *Links) large() bool { return l.peers.Load() > smallCell }

// idle returns the time in which this side promises to write something.
func (l *Links) idle() time.Duration {
	if l.large() {
		return idleLarge
	}
	return idleSmall
}

// linkTo returns the link to a peer that said hello and creates it when the
// peer is not listed.
func (l *Links) linkTo(peer model.Instance) (*link, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return nil, errClosed
	}
	known, ok := l.links[peer.ID]
	if !ok {
		known = newLink(l.ctx, l, peer, false)
		l.links[peer.ID] = known
	}
	return known, nil
}

// remove forgets the link of an unlisted peer.
func (l *Links) remove(gone *link) {
	l.mu.Lock()
	if l.links[gone.id] == gone && !gone.wasListed() {
		delete(l.links, gone.id)
		l.mu.Unlock()
		gone.close("unlisted peer left")
		return
	}
	l.mu.Unlock()
}

// dial opens a connection to a listed peer.
func (l *Links) dial(ctx context.Context, known *link) {
	err := l.connect(ctx, known)
	if err != nil && !errors.Is(err, errSimultaneous) && ctx.Err() == nil {
		logevent.PeerDialFailed.Log(l.options.Log, zap.String("peer", string(known.id)), zap.Error(err))
	}
}

func (l *Links) connect(ctx context.Context, known *link) error {
	peer := known.address()
	handshake, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	conn, raw, err := l.upgrade(handshake, peer.Address.String())
	if err != nil {
		return err
	}
	s, err := l.greetAsDialer(handshake, conn, peer.ID)
	if err == nil {
		s.link, s.raw = known, raw
		err = known.install(l.ctx, s)
	}
	if err != nil {
		_ = conn.CloseNow()
	}
	return err
}

// upgrade opens a WebSocket connection and returns it with the connection
// below. The transport serves this one connection only.
func (l *Links) upgrade(ctx context.Context, address string) (*websocket.Conn, net.Conn, error) {
	var raw net.Conn
	transport := &http.Transport{DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := l.options.Dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		raw = &countedConn{Conn: conn, counters: l.counters}
		return raw, nil
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
	return conn, raw, nil
}

// Handler accepts the links that peers open.
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
			return // Accept has answered
		}
		if err := l.accept(conn, counted.conn); err != nil {
			_ = conn.CloseNow()
			if !errors.Is(err, errSimultaneous) && !errors.Is(err, errClosed) {
				logevent.PeerHelloRefused.Log(l.options.Log, zap.String("remote", r.RemoteAddr), zap.Error(err))
			}
		}
	})
}

func (l *Links) accept(conn *websocket.Conn, raw net.Conn) error {
	ctx, cancel := context.WithTimeout(l.ctx, handshakeTimeout)
	defer cancel()
	s, err := l.greetAsAcceptor(ctx, conn)
	if err != nil {
		return err
	}
	known, err := l.linkTo(s.remote.instance)
	if err != nil {
		return err
	}
	s.link, s.raw = known, raw
	return known.install(l.ctx, s)
}
