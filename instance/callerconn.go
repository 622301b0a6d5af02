package instance

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/go-faster/errors"
)

const (
	// newConnectionTime is how long a new connection may take to send its first request
	// before a shutdown regards it as idle.
	newConnectionTime = time.Second
	// lastReadTime is how long a connection that is about to be closed is read once more, for
	// a request that has arrived in the meantime.
	lastReadTime = 5 * time.Millisecond
	// drainInterval is the time between two searches for idle connections.
	drainInterval = 20 * time.Millisecond
)

// callerListener accepts the connections of clients and closes them in a shutdown.
//
// http.Server.Shutdown closes a connection as idle until the server has parsed the head of
// the next request, even if all of the request has been read. Here, only the goroutine that
// reads a connection closes it as idle, so that no request is dropped between the two.
type callerListener struct {
	net.Listener

	mu   sync.Mutex
	open map[*callerConn]struct{}
}

func newCallerListener(l net.Listener) *callerListener {
	return &callerListener{Listener: l, open: map[*callerConn]struct{}{}}
}

// Accept returns the next connection.
func (l *callerListener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &callerConn{Conn: accepted, listener: l, openedAt: time.Now(), idle: true}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open[c] = struct{}{}
	return c, nil
}

// recordState is the server's function for changes of state.
func (l *callerListener) recordState(c net.Conn, state http.ConnState) {
	if known, ok := c.(*callerConn); ok && state == http.StateIdle {
		known.mu.Lock()
		defer known.mu.Unlock()
		known.idle = true
	}
}

// drain closes the listener and the idle connections, and waits until the others have ended.
// The responses to open requests have to close their connections.
func (l *callerListener) drain(ctx context.Context) error {
	_ = l.Close()
	ticker := time.NewTicker(drainInterval)
	defer ticker.Stop()
	for {
		l.mu.Lock()
		for c := range l.open {
			c.interruptIfIdle(time.Now())
		}
		remaining := len(l.open)
		l.mu.Unlock()
		if remaining == 0 {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.Wrapf(ctx.Err(), "%d connections are open", remaining)
		case <-ticker.C:
		}
	}
}

// callerConn is the connection of a client. It is idle until a byte of a request has been
// read from it.
type callerConn struct {
	net.Conn
	listener *callerListener
	openedAt time.Time

	mu           sync.Mutex
	idle         bool
	interrupted  bool      // a shutdown has set the read deadline, which Read has not noticed yet
	lastRead     bool      // the read that precedes the end of an idle connection
	readDeadline time.Time // of the server; zero for none
}

// interruptIfIdle makes the goroutine that waits for a request close the connection.
func (c *callerConn) interruptIfIdle(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.idle || c.interrupted || c.lastRead || now.Sub(c.openedAt) < newConnectionTime {
		return
	}
	c.interrupted = true
	_ = c.Conn.SetReadDeadline(now)
}

// Read reads from the connection. In a shutdown it fails instead of waiting for a request.
func (c *callerConn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if n > 0 || !c.resumeAfterInterrupt() {
			if n > 0 {
				c.recordRead()
			}
			return n, err
		}
	}
}

func (c *callerConn) recordRead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle, c.lastRead = false, false
	if c.interrupted {
		c.interrupted = false
		_ = c.Conn.SetReadDeadline(c.readDeadline)
	}
}

// resumeAfterInterrupt reports whether a read without data is repeated: once more on an idle
// connection that a shutdown closes, and with the server's deadline on any other.
func (c *callerConn) resumeAfterInterrupt() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.interrupted {
		return false
	}
	c.interrupted = false
	if c.idle {
		c.lastRead = true
		_ = c.Conn.SetReadDeadline(time.Now().Add(lastReadTime))
	} else {
		_ = c.Conn.SetReadDeadline(c.readDeadline)
	}
	return true
}

// SetReadDeadline sets the deadline of reads.
func (c *callerConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readDeadline = t
	if c.interrupted {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// NetConn returns the connection that this one wraps.
func (c *callerConn) NetConn() net.Conn { return c.Conn }

// Close closes the connection.
func (c *callerConn) Close() error {
	c.listener.mu.Lock()
	delete(c.listener.open, c)
	c.listener.mu.Unlock()
	return c.Conn.Close()
}
