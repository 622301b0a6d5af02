package tableservicestandin

import (
	"io"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/go-faster/errors"
)

// balancerDialTimeout bounds how long an entry that does not answer delays a
// connection.
const balancerDialTimeout = time.Second

// Balancer spreads TCP connections over entry addresses, round robin, and skips
// those that refuse.
type Balancer struct {
	listener net.Listener

	mu      sync.Mutex
	entries []netip.AddrPort
	next    int
	conns   map[net.Conn]struct{}
	closed  bool
}

// NewBalancer starts a balancer.
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
			go b.serve(conn)
		}
	}()
	return b, nil
}

// Address returns the address that the balancer listens on.
func (b *Balancer) Address() netip.AddrPort { return b.listener.Addr().(*net.TCPAddr).AddrPort() }

// SetEntries replaces the entry addresses for new connections.
func (b *Balancer) SetEntries(entries []netip.AddrPort) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.entries = entries
}

// Close stops the balancer and its connections.
func (b *Balancer) Close() error {
	b.mu.Lock()
	b.closed = true
	for conn := range b.conns {
		_ = conn.Close()
	}
	b.mu.Unlock()
	return b.listener.Close()
}

// order returns the entries with the next one first.
func (b *Balancer) order() []netip.AddrPort {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.entries) == 0 {
		return nil
	}
	first := b.next % len(b.entries)
	b.next++
	return append(append([]netip.AddrPort{}, b.entries[first:]...), b.entries[:first]...)
}

// track registers a connection for Close. It returns false after Close.
func (b *Balancer) track(conn net.Conn) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed {
		return false
	}
	b.conns[conn] = struct{}{}
	return true
}

func (b *Balancer) drop(conn net.Conn) {
	_ = conn.Close()
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.conns, conn)
}

// serve connects one caller to the first entry that accepts.
func (b *Balancer) serve(caller net.Conn) {
	defer b.drop(caller)
	if !b.track(caller) {
		return
	}
	for _, address := range b.order() {
		entry, err := net.DialTimeout("tcp", address.String(), balancerDialTimeout)
		if err != nil {
			continue
		}
		defer b.drop(entry)
		if !b.track(entry) {
			return
		}
		relay(caller, entry)
		return
	}
}

// relay copies in both directions until both have ended, or one has failed.
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
