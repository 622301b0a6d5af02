package linkstandin

import (
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/go-faster/errors"
)

const (
	maxChunkBytes = 32 << 10
	// maxChunksInFlight limits the data in transit in one direction, like a TCP
	// window.
	maxChunksInFlight = 1024
	dialTimeout       = 2 * time.Second
)

// Link relays TCP connections from a listening address to a target, with configurable
// faults.
type Link struct {
	listener net.Listener
	target   netip.AddrPort

	mu            sync.Mutex
	faults        Faults
	faultsChanged chan struct{} // closed and replaced when the faults change
	conns         map[net.Conn]struct{}
	forwardQueue  queue
	backwardQueue queue
	done          chan struct{}
	closed        bool
}

// New starts a relay that listens on an address and connects to a target.
func New(address, target netip.AddrPort) (*Link, error) {
	listener, err := net.Listen("tcp", address.String())
	if err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	l := &Link{
		listener:      listener,
		target:        target,
		faultsChanged: make(chan struct{}),
		conns:         map[net.Conn]struct{}{},
		done:          make(chan struct{}),
	}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go l.relayConn(conn)
		}
	}()
	return l, nil
}

// queue is the queue of one direction of a link with a limited bandwidth.
type queue struct {
	mu      sync.Mutex
	emptyAt time.Time
}

// enter adds a number of bytes to the queue and returns when they have passed.
func (q *queue) enter(now time.Time, n int, bytesPerSecond int64) time.Time {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.emptyAt.Before(now) {
		q.emptyAt = now
	}
	q.emptyAt = q.emptyAt.Add(time.Duration(n) * time.Second / time.Duration(bytesPerSecond))
	return q.emptyAt
}

// Address returns the address that the relay listens on.
func (l *Link) Address() netip.AddrPort { return l.listener.Addr().(*net.TCPAddr).AddrPort() }

// SetFaults replaces the faults, also those of open connections.
func (l *Link) SetFaults(f Faults) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = f
	close(l.faultsChanged)
	l.faultsChanged = make(chan struct{})
}

// ResetConnections closes all open connections with a TCP reset. New connections are
// accepted.
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

// Close stops the relay and closes its connections.
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

func (l *Link) currentFaults() (Faults, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.faults, l.faultsChanged
}

// trackConn registers an open connection. It returns false after Close.
func (l *Link) trackConn(conn net.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return false
	}
	l.conns[conn] = struct{}{}
	return true
}

func (l *Link) closeConn(conn net.Conn) {
	_ = conn.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, conn)
}

func forwardDirection(f Faults) Direction  { return f.Forward }
func backwardDirection(f Faults) Direction { return f.Backward }

// relayConn relays one connection. A TCP handshake needs both directions, so a new
// connection waits while either of them is cut.
func (l *Link) relayConn(from net.Conn) {
	defer l.closeConn(from)
	f, _ := l.currentFaults()
	if f.Refuse || !l.trackConn(from) || !l.waitUntilUncut(forwardDirection) || !l.waitUntilUncut(backwardDirection) {
		return
	}
	to, err := net.DialTimeout("tcp", l.target.String(), dialTimeout)
	if err != nil {
		return
	}
	defer l.closeConn(to)
	if !l.trackConn(to) {
		return
	}
	var relays sync.WaitGroup
	relays.Go(func() { l.relayDirection(to, from, forwardDirection, &l.forwardQueue) })
	relays.Go(func() { l.relayDirection(from, to, backwardDirection, &l.backwardQueue) })
	relays.Wait()
}

// waitUntilUncut blocks while a direction is cut. It returns false after Close.
func (l *Link) waitUntilUncut(direction func(Faults) Direction) bool {
	for {
		f, changed := l.currentFaults()
		if !direction(f).Cut {
			return true
		}
		select {
		case <-changed:
		case <-l.done:
			return false
		}
	}
}

// chunk is data in transit with the time at which it arrives.
type chunk struct {
	data      []byte
	arrivesAt time.Time
}

// relayDirection copies one direction of a connection until the stream ends or Close
// is called.
func (l *Link) relayDirection(to, from net.Conn, direction func(Faults) Direction, q *queue) {
	chunks := make(chan chunk, maxChunksInFlight)
	go func() {
		defer close(chunks)
		var lastArrival time.Time
		for {
			buffer := make([]byte, maxChunkBytes)
			n, err := from.Read(buffer)
			if n > 0 {
				f, _ := l.currentFaults()
				d, passedAt := direction(f), time.Now()
				if d.BytesPerSecond > 0 {
					passedAt = q.enter(passedAt, n, d.BytesPerSecond)
				}
				arrivesAt := passedAt.Add(d.sampleTransitTime())
				if arrivesAt.Before(lastArrival) {
					arrivesAt = lastArrival // TCP delivers in order.
				}
				lastArrival = arrivesAt
				chunks <- chunk{buffer[:n], arrivesAt}
				time.Sleep(time.Until(passedAt))
			}
			if err != nil {
				return
			}
		}
	}()
	stopped := false
	for c := range chunks {
		if stopped {
			continue // Drain the channel so that the reader does not block.
		}
		time.Sleep(time.Until(c.arrivesAt))
		if !l.waitUntilUncut(direction) {
			stopped = true
			continue
		}
		if _, err := to.Write(c.data); err != nil {
			stopped = true
			_ = from.Close()
		}
	}
	if l.waitUntilUncut(direction) { // A cut holds the end of the stream as well.
		_ = to.Close()
	}
}
