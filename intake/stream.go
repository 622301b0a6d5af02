package intake

import (
	"context"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	http2Major = 2
	// minOpenRefusals is the least number of streams that may be refused at the same time, and
	// otherwise an eighth of the bound. A stream holds its header until its client has read the
	// refusal.
	minOpenRefusals = 64
)

// streams counts the streams of an HTTP/2 connection. Listener.mu guards it.
type streams struct {
	seen bool // the connection speaks HTTP/2
	open int
}

// stream is a request on an HTTP/2 connection.
type stream struct {
	request
	control *http.ResponseController

	sending sending

	mu          sync.Mutex
	interrupted bool
	ended       bool // the handler has returned; control must not be used any more
}

type streamKey struct{}

// serveStream calls next for a stream that the bound admits, and refuses others.
func (c *Conn) serveStream(next http.Handler, w http.ResponseWriter, r *http.Request) {
	s := &stream{control: http.NewResponseController(w)}
	s.sending.setDeadline = s.control.SetWriteDeadline
	s.request = request{interrupt: s.evict, isInterrupted: s.isInterrupted}
	c.beginStream()
	defer c.endStream()
	defer s.clearDeadlines()
	if !c.listener.open(&s.request) {
		c.refuseStream(w)
		return
	}
	defer c.listener.remove(&s.request)
	defer s.end()
	if r.ContentLength == 0 {
		s.begin(PhaseServing)
	} else {
		s.begin(PhaseReceiving)
	}
	next.ServeHTTP(&streamWriter{w, s}, r.WithContext(context.WithValue(r.Context(), streamKey{}, s)))
	// What remains is sent before the stream stops counting.
	_ = s.flush()
}

// beginStream records that the connection itself is no longer evicted.
func (c *Conn) beginStream() {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	c.streams.seen = true
	c.streams.open++
	if c.request.entry.Phase() != PhaseEvicted {
		c.listener.table.Move(c.request.entry, PhaseMultiplexed)
	}
}

func (c *Conn) endStream() {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	c.streams.open--
	if c.streams.open == 0 && c.request.entry.Phase() == PhaseMultiplexed {
		c.listener.table.Move(c.request.entry, PhaseIdle)
	}
}

// recordIdle records that an HTTP/1 connection waits for a request. Whether an HTTP/2 connection
// does, endStream knows.
func (c *Conn) recordIdle() {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	if !c.streams.seen && c.request.entry.Phase() != PhaseEvicted {
		c.listener.table.Move(c.request.entry, PhaseIdle)
	}
}

// refuseStream answers a stream that the bound does not admit. If too many refusals have not
// been read, the connection is closed instead.
func (c *Conn) refuseStream(w http.ResponseWriter) {
	notify(c.listener.options.OnRefused)
	open := c.listener.openRefusals.Add(1)
	defer c.listener.openRefusals.Add(-1)
	if open > max(minOpenRefusals, int64(c.listener.options.MaxConnections/overshootDivisor)) {
		_ = c.Conn.Close()
		return
	}
	control := http.NewResponseController(w)
	_ = control.SetWriteDeadline(time.Now().Add(writeTimeout))
	w.Header().Set("Retry-After", strconv.Itoa(int(refusalRetryAfter.Seconds())))
	w.WriteHeader(http.StatusServiceUnavailable)
	_ = control.Flush()
}

// evict ends the reading of the body and shortens writes.
func (s *stream) evict() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.interrupted = true
	if !s.ended {
		_ = s.control.SetReadDeadline(past)
	}
	s.sending.evict()
}

func (s *stream) isInterrupted() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.interrupted
}

func (s *stream) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ended = true
	s.sending.finish()
}

// clearDeadlines stops the timers of the deadlines. One that was set after the client had reset the
// stream keeps the stream in memory until the deadline passes.
func (s *stream) clearDeadlines() {
	_ = s.control.SetReadDeadline(time.Time{})
	_ = s.control.SetWriteDeadline(time.Time{})
}

// flush sends what has been written of the response.
func (s *stream) flush() error {
	s.move(PhaseServing, PhaseSending)
	defer s.move(PhaseSending, PhaseServing)
	s.sending.beginWrite()
	defer s.sending.endWrite()
	return s.control.Flush()
}

// streamWriter limits the time of each piece of a response. Flow control lets a client hold a
// response back while its connection stays writable.
type streamWriter struct {
	http.ResponseWriter
	stream *stream
}

// Unwrap returns the writer that this one wraps, for http.ResponseController.
func (w *streamWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// Flush sends what has been written.
func (w *streamWriter) Flush() { _ = w.stream.flush() }

// Write writes a part of the response. Each piece of writePieceBytes has writeTimeout.
func (w *streamWriter) Write(p []byte) (int, error) {
	return w.stream.sending.write(w.ResponseWriter, &w.stream.request, p)
}
