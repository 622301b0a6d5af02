package linkstandin

import (
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/go-faster/errors"
)

const (
	pieceBytes = 32 << 10
	// piecesInFlight bounds the data of one direction that is on its way, as a
	// window does.
	piecesInFlight = 1024
	dialTimeout    = 2 * time.Second
)

// Link is one relay.
type Link struct {
	listener net.Listener
	target   netip.AddrPort

	mu     sync.Mutex
	faults Faults
	change chan struct{} // closed when the faults change
	conns  map[net.Conn]struct{}
	done   chan struct{}
	closed bool
}

// New starts a relay from an address to a target.
func New(address, target netip.AddrPort) (*Link, error) {
	listener, err := net.Listen("tcp", address.String())
	if err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	l := &Link{
		listener: listener,
		target:   target,
		change:   make(chan struct{}),
		conns:    map[net.Conn]struct{}{},
		done:     make(chan struct{}),
	}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go l.serve(conn)
		}
	}()
	return l, nil
}

// Address returns the address that the relay listens on.
func (l *Link) Address() netip.AddrPort { return l.listener.Addr().(*net.TCPAddr).AddrPort() }

// SetFaults replaces the faults, for open connections too.
func (l *Link) SetFaults(f Faults) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = f
	close(l.change)
	l.change = make(chan struct{})
}

// Reset resets all open connections; new ones work.
func (l *Link) ResetConnections() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for conn := range l.conns {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = conn.Close()
	}
}

// Close stops the relay and its connections.
func (l *Link) Close() error {
	l.mu.Lock()
	if !l.closed {
		l.closed = true
		close(l.done)
	}
	for conn := range l.conns {
		_ = conn.Close()
	}
	l.mu.Unlock()
	return l.listener.Close()
}

func (l *Link) get() (Faults, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.faults, l.change
}

// track registers a connection for Close. It returns false after Close.
func (l *Link) track(conn net.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return false
	}
	l.conns[conn] = struct{}{}
	return true
}

func (l *Link) drop(conn net.Conn) {
	_ = conn.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, conn)
}

func forward(f Faults) Direction  { return f.Forward }
func backward(f Faults) Direction { return f.Backward }

// serve relays one connection. A handshake needs both directions, so a new
// connection waits while either is cut.
func (l *Link) serve(from net.Conn) {
	defer l.drop(from)
	f, _ := l.get()
	if f.Refuse || !l.track(from) || !l.open(forward) || !l.open(backward) {
		return
	}
	to, err := net.DialTimeout("tcp", l.target.String(), dialTimeout)
	if err != nil {
		return
	}
	defer l.drop(to)
	if !l.track(to) {
		return
	}
	var both sync.WaitGroup
	both.Go(func() { l.relay(to, from, forward) })
	both.Go(func() { l.relay(from, to, backward) })
	both.Wait()
}

// open waits until a direction is not cut. It returns false after Close.
func (l *Link) open(way func(Faults) Direction) bool {
	for {
		f, change := l.get()
		if !way(f).Cut {
			return true
		}
		select {
		case <-change:
		case <-l.done:
			return false
		}
	}
}

// piece is data with the time at which it arrives.
type piece struct {
	data []byte
	due  time.Time
}

// relay copies one direction of a connection until it ends.
func (l *Link) relay(to, from net.Conn, way func(Faults) Direction) {
	pieces := make(chan piece, piecesInFlight)
	go func() {
		defer close(pieces)
		var last time.Time
		for {
			buffer := make([]byte, pieceBytes)
			n, err := from.Read(buffer)
			if n > 0 {
				f, _ := l.get()
				due := time.Now().Add(way(f).wait())
				if due.Before(last) {
					due = last // A stream keeps its order.
				}
				last = due
				pieces <- piece{buffer[:n], due}
			}
			if err != nil {
				return
			}
		}
	}()
	broken := false
	for p := range pieces {
		if broken {
			continue // The reader must not block.
		}
		time.Sleep(time.Until(p.due))
		if !l.open(way) {
			broken = true
			continue
		}
		if _, err := to.Write(p.data); err != nil {
			broken = true
			_ = from.Close()
		}
	}
	if l.open(way) { // The end of the stream does not cross a cut either.
		_ = to.Close()
	}
}
