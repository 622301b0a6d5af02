package workerstandin

import (
	"net"
	"sync"
)

// listener limits the number of open connections and can close them.
type listener struct {
	net.Listener
	maxConnections int

	mu       sync.Mutex
	refusing bool                // new connections are closed immediately
	conns    map[string]net.Conn // by remote address
}

func newListener(inner net.Listener, limit int) *listener {
	return &listener{Listener: inner, maxConnections: limit, conns: map[string]net.Conn{}}
}

// Accept returns the next connection. Connections above the limit, and those that
// arrive while the listener refuses them, are closed and skipped.
func (l *listener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		tracked := &trackedConn{Conn: conn, listener: l}
		if l.add(tracked) {
			return tracked, nil
		}
		_ = conn.Close()
	}
}

// add registers a connection. It returns false if the connection is to be closed.
func (l *listener) add(conn net.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.refusing || len(l.conns) >= l.maxConnections {
		return false
	}
	l.conns[conn.RemoteAddr().String()] = conn
	return true
}

func (l *listener) remove(conn net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, conn.RemoteAddr().String())
}

func (l *listener) setRefusing(refusing bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refusing = refusing
}

// closeConnection closes the connection from a remote address, if there is one.
func (l *listener) closeConnection(remote string) {
	l.mu.Lock()
	conn := l.conns[remote]
	l.mu.Unlock()
	if conn != nil {
		_ = conn.Close()
	}
}

func (l *listener) closeAllConnections() {
	l.mu.Lock()
	conns := make([]net.Conn, 0, len(l.conns))
	for _, conn := range l.conns {
		conns = append(conns, conn)
	}
	l.mu.Unlock()
	for _, conn := range conns {
		_ = conn.Close()
	}
}

// trackedConn is removed from its listener's connections when it is closed.
type trackedConn struct {
	net.Conn
	listener *listener
}

// Close closes the connection and frees its place under the limit.
func (c *trackedConn) Close() error {
	c.listener.remove(c)
	return c.Conn.Close()
}
