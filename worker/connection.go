package worker

import (
	"context"
	"encoding/binary"
	"io"
	"net"
	"net/http"
	"sync"

	"connectrpc.com/connect"
	"github.com/go-faster/errors"

	"fuchsiacross/model"
	"fuchsiacross/workerv1/workerv1connect"
)

var errConnectionClosed = errors.New("the connection was closed while it was being dialled")

// connection is one HTTP/2 connection to a worker. Its transport dials again
// when it finds the connection closed.
type connection struct {
	client      workerv1connect.WorkerServiceClient
	transport   *http.Transport
	activeCalls int // Run calls in flight; guarded by the pool

	mu     sync.Mutex
	conns  map[net.Conn]struct{}
	closed bool
}

// newConnection returns a connection that is dialled on first use.
func newConnection(o Options, counters *counters, worker model.Worker) *connection {
	c := &connection{conns: map[net.Conn]struct{}{}}
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		inner, err := o.Dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		conn := &countedConn{Conn: inner, counters: counters}
		conn.onClose = func() { c.removeConn(conn) }
		if !c.addConn(conn) {
			_ = inner.Close()
			return nil, errConnectionClosed
		}
		return conn, nil
	}
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	lease := milliseconds(o.LeaseMilliseconds)
	c.transport = &http.Transport{
		DialContext:        dial,
		Protocols:          protocols,
		DisableCompression: true,
		HTTP2: &http.HTTP2Config{
			// Only the pool opens further connections.
			StrictMaxConcurrentRequests: true,
			// Lease renewals keep a connection that carries a session active, so
			// pings only probe connections that carry nothing but Run calls.
			SendPingTimeout:  lease,
			PingTimeout:      lease / renewalsPerLease,
			WriteByteTimeout: lease,
		},
	}
	c.client = workerv1connect.NewWorkerServiceClient(
		&frameCoalescer{client: &http.Client{Transport: c.transport}},
		"http://"+worker.Address.String(),
		// No compression: answers are passed on unchanged, and compression
		// makes small messages larger.
		connect.WithAcceptCompression("gzip", nil, nil),
	)
	return c
}

// addConn registers a network connection that has just been dialled. It returns
// false if c was closed meanwhile.
func (c *connection) addConn(conn net.Conn) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return false
	}
	c.conns[conn] = struct{}{}
	return true
}

// removeConn unregisters a network connection that has been closed.
func (c *connection) removeConn(conn net.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.conns, conn)
}

// close closes the network connections, including those that are not idle: a
// connection over a broken network path may never become idle.
func (c *connection) close() {
	c.transport.CloseIdleConnections()
	c.mu.Lock()
	c.closed = true
	conns := make([]net.Conn, 0, len(c.conns))
	for conn := range c.conns {
		conns = append(conns, conn)
	}
	c.mu.Unlock()
	for _, conn := range conns {
		_ = conn.Close()
	}
}

// frameCoalescer is an HTTP client that sends each message of a stream in one
// DATA frame. The connect library writes the prefix and the message separately,
// which costs a second frame and a second system call.
type frameCoalescer struct {
	client *http.Client
}

// Do sends a request and coalesces the frames of a streamed body.
func (f *frameCoalescer) Do(r *http.Request) (*http.Response, error) {
	if r.ContentLength < 0 && r.Body != nil {
		r.Body = &coalescedBody{body: r.Body}
	}
	return f.client.Do(r)
}

// envelopePrefixBytes is the length of the prefix of each message in a connect
// stream: one byte of flags and four bytes of message length.
const envelopePrefixBytes = 5

// coalescedBody returns the prefix of a message together with the message.
type coalescedBody struct {
	body   io.ReadCloser
	unread int // bytes of the current message that are not yet read
}

// Read returns at most one message, and all of it if p is large enough. It
// returns io.ErrShortBuffer if p cannot hold the prefix.
func (b *coalescedBody) Read(p []byte) (int, error) {
	if b.unread > 0 {
		n, err := b.body.Read(p[:min(len(p), b.unread)])
		b.unread -= n
		return n, err
	}
	if len(p) < envelopePrefixBytes {
		return 0, io.ErrShortBuffer
	}
	n, err := io.ReadFull(b.body, p[:envelopePrefixBytes])
	if err == io.ErrUnexpectedEOF {
		err = io.EOF
	}
	if err != nil {
		return n, err
	}
	b.unread = int(binary.BigEndian.Uint32(p[1:envelopePrefixBytes]))
	m, err := io.ReadFull(b.body, p[n:min(len(p), n+b.unread)])
	b.unread -= m
	return n + m, err
}

// Close closes the underlying body.
func (b *coalescedBody) Close() error { return b.body.Close() }
