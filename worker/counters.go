package worker

import (
	"net"
	"sync"

	"github.com/rcrowley/go-metrics"
)

// counters are the metrics of the traffic with all workers.
type counters struct {
	bytesSent        metrics.Counter
	bytesReceived    metrics.Counter
	messagesSent     metrics.Counter
	messagesReceived metrics.Counter
	damagedAnswers   metrics.Counter
}

func newCounters(r metrics.Registry) *counters {
	return &counters{
		bytesSent:        metrics.GetOrRegisterCounter("worker.bytes_sent", r),
		bytesReceived:    metrics.GetOrRegisterCounter("worker.bytes_received", r),
		messagesSent:     metrics.GetOrRegisterCounter("worker.messages_sent", r),
		messagesReceived: metrics.GetOrRegisterCounter("worker.messages_received", r),
		damagedAnswers:   metrics.GetOrRegisterCounter("worker.damaged_answers", r),
	}
}

// countedConn counts the bytes of a network connection, headers included.
type countedConn struct {
	net.Conn
	counters  *counters
	closeOnce sync.Once
	onClose   func()
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

// Close closes the connection. Only the first call runs onClose.
func (c *countedConn) Close() error {
	c.closeOnce.Do(c.onClose)
	return c.Conn.Close()
}
