package peer

import (
	"bufio"
	"net"
	"net/http"

	"github.com/go-faster/errors"
	"github.com/rcrowley/go-metrics"
)

// counters are the metrics of all links of an instance.
type counters struct {
	bytesSent          metrics.Counter
	bytesReceived      metrics.Counter
	messagesSent       metrics.Counter
	messagesReceived   metrics.Counter
	messagesDropped    metrics.Counter
	heartbeatsReplaced metrics.Counter
	framesSent         metrics.Counter
	malformedFrames    metrics.Counter
	linksOpen          metrics.Counter
}

func newCounters(r metrics.Registry) *counters {
	get := func(name string) metrics.Counter { return metrics.GetOrRegisterCounter(name, r) }
	return &counters{
		bytesSent:          get("peer.bytes_sent"),
		bytesReceived:      get("peer.bytes_received"),
		messagesSent:       get("peer.messages_sent"),
		messagesReceived:   get("peer.messages_received"),
		messagesDropped:    get("peer.messages_dropped"),
		heartbeatsReplaced: get("peer.heartbeats_replaced"),
		framesSent:         get("peer.frames_sent"),
		malformedFrames:    get("peer.frames_bad"),
		linksOpen:          get("peer.links_open"),
	}
}

// countedConn counts the bytes of a connection, including the upgrade to
// WebSocket and all frame headers.
type countedConn struct {
	net.Conn
	counters *counters
}

// Read reads from the connection and counts the bytes.
func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.counters.bytesReceived.Inc(int64(n))
	return n, err
}

// Write writes to the connection and counts the bytes.
func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.counters.bytesSent.Inc(int64(n))
	return n, err
}

// countedWriter is a response writer whose hijacked connection is counted.
type countedWriter struct {
	http.ResponseWriter
	counters *counters
	conn     net.Conn // set by Hijack
}

// Hijack takes over the connection from the server and counts its bytes from
// then on. The upgrade request is not counted, since the server has read it
// before.
func (w *countedWriter) Hijack() (net.Conn, *bufio.ReadWriter, error) {
	conn, buffered, err := http.NewResponseController(w.ResponseWriter).Hijack()
	if err != nil {
		return nil, nil, errors.Wrap(err, "hijack")
	}
	w.conn = &countedConn{Conn: conn, counters: w.counters}
	// The WebSocket library resets the reader to the returned connection. The
	// old writer would bypass the counter and is replaced.
	return w.conn, bufio.NewReadWriter(buffered.Reader, bufio.NewWriter(w.conn)), nil
}
