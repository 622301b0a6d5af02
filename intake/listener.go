package intake

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/go-faster/errors"
)

const (
	// lastReadTime is how long an idle connection is read once more before it is closed, for
	// a request that has arrived in the meantime.
	lastReadTime = 5 * time.Millisecond
	// unreadBodyTimeout limits the reading of bodies that the handler does not ask for.
	unreadBodyTimeout = 3 * time.Second
	// backlog bounds the connections that wait to be accepted: they too hold bytes in their
	// sockets.
	backlog = 512
	refusal = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
)

// past is a read deadline that ends all reads.
var past = time.Unix(1, 0)

// Options are the options of a listener.
type Options struct {
	MaxConnections int // connections and streams of HTTP/2 together
	// ReceiveBytes and SendBytes are the buffer sizes of each socket as setsockopt takes
	// them; the kernel doubles them. Zero leaves the size to the kernel.
	ReceiveBytes, SendBytes int
	OnRefused, OnEvicted    func() // may be nil
}

// Listener accepts a bounded number of connections.
type Listener struct {
	net.Listener
	options Options

	mu     sync.Mutex
	table  *Table
	owners map[*Entry]*request

	openRefusals atomic.Int64 // streams that are being refused
}

// Listen opens an address.
func Listen(address netip.AddrPort, o Options) (*Listener, error) {
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		return setBuffers(raw, o)
	}}
	l, err := config.Listen(context.Background(), "tcp", address.String())
	if err != nil {
		return nil, err
	}
	if err := setBacklog(l); err != nil {
		_ = l.Close()
		return nil, err
	}
	return &Listener{Listener: l, options: o, table: NewTable(o.MaxConnections), owners: map[*Entry]*request{}}, nil
}

// setBuffers sets the buffer sizes, which the accepted sockets inherit.
func setBuffers(raw syscall.RawConn, o Options) error {
	options := []struct {
		option int
		bytes  int
	}{
		{syscall.SO_RCVBUF, o.ReceiveBytes},
		{syscall.SO_SNDBUF, o.SendBytes},
	}
	for _, option := range options {
		if option.bytes == 0 {
			continue
		}
		var failure error
		err := raw.Control(func(fd uintptr) {
			failure = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, option.option, option.bytes)
		})
		if err = errors.Join(err, failure); err != nil {
			return errors.Wrap(err, "set the buffers of the socket")
		}
	}
	return nil
}

// setBacklog replaces the backlog of the net package, which is the largest that the kernel
// allows.
func setBacklog(l net.Listener) error {
	tcp, ok := l.(*net.TCPListener)
	if !ok {
		return nil
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return errors.Wrap(err, "access the socket")
	}
	var failure error
	err = raw.Control(func(fd uintptr) { failure = syscall.Listen(int(fd), backlog) })
	if err = errors.Join(err, failure); err != nil {
		return errors.Wrap(err, "set the backlog")
	}
	return nil
}

// Accept returns the next connection that the bound admits. The others are closed at once
// instead of waiting in the kernel, where they would hold bytes.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		accepted, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.admit(accepted); c != nil {
			return c, nil
		}
		_ = accepted.SetWriteDeadline(time.Now().Add(time.Millisecond))
		_, _ = io.WriteString(accepted, refusal)
		_ = accepted.Close()
		notify(l.options.OnRefused)
	}
}

func notify(f func()) {
	if f != nil {
		f()
	}
}

// request is an entry of the table with what its eviction has to interrupt. The requests of an
// HTTP/1 connection share that of the connection; a stream of HTTP/2 has its own.
type request struct {
	listener      *Listener
	entry         *Entry // its phase is guarded by Listener.mu
	interrupt     func() // ends reads, and shortens writes
	isInterrupted func() bool
}

// begin moves the request to a phase.
func (r *request) begin(phase Phase) {
	r.listener.mu.Lock()
	defer r.listener.mu.Unlock()
	if r.entry.Phase() != PhaseEvicted {
		r.listener.table.Move(r.entry, phase)
	}
}

// move moves the request from one phase to another, and does nothing in other phases.
func (r *request) move(from, to Phase) {
	r.listener.mu.Lock()
	defer r.listener.mu.Unlock()
	if r.entry.Phase() == from {
		r.listener.table.Move(r.entry, to)
	}
}

// open adds a request to the table, with a new entry. It reports whether the bound admits it.
func (l *Listener) open(r *request) bool {
	l.mu.Lock()
	entry, evicted := l.table.Open()
	victim := l.owners[evicted]
	if entry != nil {
		r.listener, r.entry = l, entry
		l.owners[entry] = r
	}
	l.mu.Unlock()
	if victim != nil {
		victim.interrupt()
		notify(l.options.OnEvicted)
	}
	return entry != nil
}

// remove removes a request from the table.
func (l *Listener) remove(r *request) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.table.Remove(r.entry)
	delete(l.owners, r.entry)
}

// admit returns nil if the connection has to be refused.
func (l *Listener) admit(accepted net.Conn) *Conn {
	c := &Conn{Conn: accepted, listener: l}
	c.sending.setDeadline = accepted.SetWriteDeadline
	c.request = request{interrupt: c.Interrupt, isInterrupted: c.isInterrupted}
	if !l.open(&c.request) {
		return nil
	}
	return c
}

// EvictIncomplete evicts all connections and streams whose request is incomplete or whose client
// does not read the response. A server that stops calls it, since it serves no further requests.
func (l *Listener) EvictIncomplete() {
	l.mu.Lock()
	var victims []*request
	for entry, owner := range l.owners {
		if phase := entry.Phase(); phase == PhaseReceiving || phase == PhaseSending {
			l.table.Move(entry, PhaseEvicted)
			victims = append(victims, owner)
		}
	}
	l.mu.Unlock()
	for _, victim := range victims {
		victim.interrupt()
		notify(l.options.OnEvicted)
	}
}

// Open returns the number of open connections and streams.
func (l *Listener) Open() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.table.Len()
}

// Conn is a connection of a Listener.
type Conn struct {
	net.Conn
	listener *Listener
	request  request // of HTTP/1, one after the other
	streams  streams // of HTTP/2
	sending  sending

	mu           sync.Mutex
	interrupted  bool // reads end at once
	readDeadline time.Time
}

// Interrupt ends all reads, so that the goroutine that serves the connection closes it. A
// request that has been read whole is still answered, if its client reads the response.
func (c *Conn) Interrupt() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.interrupted = true
	_ = c.Conn.SetReadDeadline(past)
	c.sending.evict()
}

func (c *Conn) isInterrupted() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.interrupted
}

// SetDeadline sets the deadlines of reads and writes.
func (c *Conn) SetDeadline(t time.Time) error {
	return errors.Join(c.SetReadDeadline(t), c.SetWriteDeadline(t))
}

// SetReadDeadline sets the deadline of reads unless they have been interrupted.
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readDeadline = t
	if c.interrupted {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// Read reads from the connection.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) && c.prepareLastRead() {
		n, err = c.Conn.Read(p)
	}
	if n > 0 {
		c.listener.mu.Lock()
		if c.request.entry.Phase() == PhaseIdle && !c.streams.seen {
			c.listener.table.Move(c.request.entry, PhaseReceiving)
		}
		c.listener.mu.Unlock()
	}
	return n, err
}

// prepareLastRead reports whether an interrupted read is repeated once.
func (c *Conn) prepareLastRead() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.interrupted || c.readDeadline.Equal(past) {
		return false
	}
	c.readDeadline = past
	_ = c.Conn.SetReadDeadline(time.Now().Add(lastReadTime))
	return true
}

// Write writes to the connection. Each piece of writePieceBytes has writeTimeout.
func (c *Conn) Write(p []byte) (int, error) { return c.sending.write(c.Conn, &c.request, p) }

// Close closes the connection.
func (c *Conn) Close() error {
	c.listener.remove(&c.request)
	return c.Conn.Close()
}

// find returns the Conn that a connection is or wraps, or nil.
func find(c net.Conn) *Conn {
	for {
		if found, ok := c.(*Conn); ok {
			return found
		}
		wrapper, ok := c.(interface{ NetConn() net.Conn })
		if !ok {
			return nil
		}
		c = wrapper.NetConn()
	}
}

// RecordState is the ConnState function of servers.
func RecordState(c net.Conn, state http.ConnState) {
	if found := find(c); found != nil && state == http.StateIdle {
		found.recordIdle()
	}
}

type connKey struct{}

// ConnContext is the ConnContext function of servers.
func ConnContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, find(c))
}

// connOf returns the connection of a request, or nil if its server has no Listener.
func connOf(r *http.Request) *Conn {
	c, _ := r.Context().Value(connKey{}).(*Conn)
	return c
}

// requestOf returns the entry of a request, or nil if its server has no Listener.
func requestOf(r *http.Request) *request {
	if r.ProtoMajor >= http2Major {
		s, _ := r.Context().Value(streamKey{}).(*stream)
		if s == nil {
			return nil
		}
		return &s.request
	}
	if c := connOf(r); c != nil {
		return &c.request
	}
	return nil
}

// Establish records that the connection of an upgraded request is in use, so that it is no
// longer evicted. The context is that of the request.
func Establish(ctx context.Context) {
	if c, _ := ctx.Value(connKey{}).(*Conn); c != nil {
		c.request.begin(PhaseLinked)
	}
}

// Handler calls next and records when a request is whole; for upgrades, Establish does so. A
// body that next does not read has unreadBodyTimeout.
func Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := connOf(r)
		if c != nil && r.ProtoMajor >= http2Major {
			c.serveStream(next, w, r)
			return
		}
		if r.ContentLength == 0 {
			if c != nil && r.Header.Get("Upgrade") == "" {
				c.request.begin(PhaseServing)
			}
		} else {
			_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(unreadBodyTimeout))
		}
		next.ServeHTTP(w, r)
	})
}
