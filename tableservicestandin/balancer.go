package tableservicestandin

import (
	"io"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/go-faster/errors"
)

// balancerDialTimeout limits the delay of a connection by each entry that does not
// answer.
const balancerDialTimeout = time.Second

// Balancer distributes TCP connections over entries, the caller addresses of
// instances, round robin. It skips entries that refuse a connection or do not
// answer.
type Balancer struct {
	listener net.Listener

	mu      sync.Mutex
	entries []netip.AddrPort
	next    int
	conns   map[net.Conn]struct{}
	closed  bool
}

// NewBalancer starts a balancer that listens on an address; port 0 picks a free
// one. It returns an error if it cannot listen there.
func NewBalancer(address netip.AddrPort, entries []netip.AddrPort) (*Balancer, error) {
	listener, err := net.Listen("tcp", address.String())
	if err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	b := &Balancer{listener: listener, entries: entries, conns: make(map[net.Conn]struct{})}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go b.serveConnection(conn)
		}
	}()
	return b, nil
}

// Address returns the address that the balancer listens on.
func (b *Balancer) Address() netip.AddrPort { return b.listener.Addr().(*net.TCPAddr).AddrPort() }

// SetEntries replaces the entries for new connections.
func (b *Balancer) SetEntries(entries []netip.AddrPort) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.entries = entries
}

// Close stops the balancer and closes its connections.
func (b *Balancer) Close() error {
	b.mu.Lock()
	b.closed = true
	for conn := range b.conns {
		_ = conn.Close()
	}
	b.mu.Unlock()
	return b.listener.Close()
}

// rotatedEntries returns the entries in the order in which to try them. Each call
// begins one entry later than the previous one.
func (b *Balancer) rotatedEntries() []netip.AddrPort {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.entries) == 0 {
		return nil
	}
	first := b.next % len(b.entries)
	b.next++
	return append(append([]netip.AddrPort{}, b.entries[first:]...), b.entries[:first]...)
}

// track registers a connection so that Close closes it. It returns false if the
// balancer is closed.
func (b *Balancer) track(conn net.Conn) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed {
		return false
	}
	b.conns[conn] = struct{}{}
	return true
}

// closeConnection closes a connection and unregisters it.
func (b *Balancer) closeConnection(conn net.Conn) {
	_ = conn.Close()
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.conns, conn)
}

// serveConnection relays a caller's connection to the first entry that accepts it.
func (b *Balancer) serveConnection(caller net.Conn) {
	defer b.closeConnection(caller)
	if !b.track(caller) {
		return
	}
	for _, address := range b.rotatedEntries() {
		entry, err := net.DialTimeout("tcp", address.String(), balancerDialTimeout)
		if err != nil {
			continue
		}
		defer b.closeConnection(entry)
		if !b.track(entry) {
			return
		}
		relay(caller, entry)
		return
	}
}

// relay copies data in both directions until both have ended or one has failed. The
// end of one direction is passed on as a half-close.
func relay(a, b net.Conn) {
	var wait sync.WaitGroup
	for _, pair := range [][2]net.Conn{{a, b}, {b, a}} {
		wait.Go(func() {
			if _, err := io.Copy(pair[1], pair[0]); err != nil {
				_ = a.Close()
				_ = b.Close()
				return
			}
			if tcp, ok := pair[1].(*net.TCPConn); ok {
				_ = tcp.CloseWrite()
			}
		})
	}
	wait.Wait()
}
