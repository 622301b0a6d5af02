package measure

import (
	"encoding/json"
	"net/http"

	"github.com/go-faster/errors"

	"fuchsiacross/localcell"
)

// Counters are sums of metrics over all running instances of a cell. Each
// instance counts from its start.
type Counters struct {
	WorkerBytes    float64 // to and from workers, including HTTP/2 headers
	WorkerMessages float64 // to and from workers
	PeerBytes      float64 // sent only, so that each byte is counted once
	PeerMessages   float64 // sent only, including heartbeats
	PlatformBytes  float64 // bodies of calls to the platform, both directions
	PlatformReads  float64
	PlatformWrites float64
	Starts         float64
	Commits        float64
	Records        float64
}

// ReadCounters reads and sums the metrics of all running instances of a cell.
func ReadCounters(c *localcell.Cell) (Counters, error) {
	var sum Counters
	for _, i := range c.Instances() {
		if i.Daemon == nil {
			continue
		}
		m, err := readMetrics("http://" + i.Settings.MetricsAddress.String() + "/metrics")
		if err != nil {
			return Counters{}, errors.Wrapf(err, "instance %s", i.Info.ID)
		}
		sum.WorkerBytes += m.value("worker.bytes_sent") + m.value("worker.bytes_received")
		sum.WorkerMessages += m.value("worker.messages_sent") + m.value("worker.messages_received")
		sum.PeerBytes += m.value("peer.bytes_sent")
		sum.PeerMessages += m.value("peer.messages_sent")
		sum.PlatformBytes += m.value("platform.sent_bytes") + m.value("platform.received_bytes")
		sum.PlatformReads += m.value("platform.reads")
		sum.PlatformWrites += m.value("platform.writes")
		sum.Starts += m.value("requests.started")
		sum.Commits += m.value("journal.commits")
		sum.Records += m.value("journal.records")
	}
	return sum, nil
}

// Sub returns the difference between c and an earlier reading.
func (c Counters) Sub(before Counters) Counters {
	return Counters{
		WorkerBytes:    c.WorkerBytes - before.WorkerBytes,
		WorkerMessages: c.WorkerMessages - before.WorkerMessages,
		PeerBytes:      c.PeerBytes - before.PeerBytes,
		PeerMessages:   c.PeerMessages - before.PeerMessages,
		PlatformBytes:  c.PlatformBytes - before.PlatformBytes,
		PlatformReads:  c.PlatformReads - before.PlatformReads,
		PlatformWrites: c.PlatformWrites - before.PlatformWrites,
		Starts:         c.Starts - before.Starts,
		Commits:        c.Commits - before.Commits,
		Records:        c.Records - before.Records,
	}
}

// ControlBytes returns the bytes of all control traffic.
func (c Counters) ControlBytes() float64 { return c.WorkerBytes + c.PeerBytes + c.PlatformBytes }

// ControlMessages returns the messages to and from workers and between
// instances, plus two for each call to the platform.
func (c Counters) ControlMessages() float64 {
	return c.WorkerMessages + c.PeerMessages + 2*(c.PlatformReads+c.PlatformWrites)
}

// metricsRegistry is the JSON form of a metrics registry: the fields of each
// metric by name.
type metricsRegistry map[string]map[string]any

// value returns the value of a counter or gauge, or zero if it does not exist.
func (r metricsRegistry) value(name string) float64 {
	for _, field := range []string{"count", "value"} {
		if v, ok := r[name][field].(float64); ok {
			return v
		}
	}
	return 0
}

func readMetrics(url string) (metricsRegistry, error) {
	r, err := http.Get(url)
	if err != nil {
		return nil, errors.Wrap(err, "get")
	}
	defer func() { _ = r.Body.Close() }()
	var m metricsRegistry
	if err := json.NewDecoder(r.Body).Decode(&m); err != nil {
		return nil, errors.Wrap(err, "decode")
	}
	return m, nil
}
