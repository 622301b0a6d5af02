package measure

import (
	"encoding/json"
	"net/http"

	"github.com/go-faster/errors"

	"fuchsiacross/localcell"
)

// Costs are the totals of all instances of a running cell since its start.
type Costs struct {
	WorkerBytes    float64 // to and from workers, all headers of HTTP/2 included
	WorkerMessages float64
	PeerBytes      float64 // sent, so that each is counted once
	PeerMessages   float64 // sent, heartbeats included
	PlatformBytes  float64 // bodies of calls of the platform, both directions
	PlatformReads  float64
	PlatformWrites float64
	Starts         float64
	Commits        float64
	Records        float64
}

// ReadCosts sums the metrics of all running instances of a cell.
func ReadCosts(c *localcell.Cell) (Costs, error) {
	var sum Costs
	for _, e := range c.Instances() {
		if e.Daemon == nil {
			continue
		}
		m, err := readMetrics("http://" + e.Settings.MetricsAddress.String() + "/metrics")
		if err != nil {
			return Costs{}, errors.Wrapf(err, "metrics of %s", e.Info.ID)
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

// Since returns what was spent after an earlier reading.
func (c Costs) Since(before Costs) Costs {
	return Costs{
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

// Bytes returns the bytes of all control traffic.
func (c Costs) Bytes() float64 { return c.WorkerBytes + c.PeerBytes + c.PlatformBytes }

// Messages returns the messages to and from workers and between instances, and
// two for each call of the platform.
func (c Costs) Messages() float64 {
	return c.WorkerMessages + c.PeerMessages + 2*(c.PlatformReads+c.PlatformWrites)
}

// registry is the JSON object of a metrics registry: fields by metric.
type registry map[string]map[string]any

// value returns a counter or a gauge, or zero when it does not exist.
func (r registry) value(name string) float64 {
	for _, field := range []string{"count", "value"} {
		if v, ok := r[name][field].(float64); ok {
			return v
		}
	}
	return 0
}

func readMetrics(url string) (registry, error) {
	r, err := http.Get(url)
	if err != nil {
		return nil, errors.Wrap(err, "get")
	}
	defer func() { _ = r.Body.Close() }()
	var m registry
	if err := json.NewDecoder(r.Body).Decode(&m); err != nil {
		return nil, errors.Wrap(err, "decode")
	}
	return m, nil
}
