package daemon

import (
	"net/http"
	"slices"
	"time"

	"github.com/rcrowley/go-metrics"

	"fuchsiacross/model"
)

// healthHandler serves /healthz, /readyz and /metrics. The metrics are the
// registry as one JSON object.
func (d *Daemon) healthHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte("ok\n"))
	})
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		if !d.ready.Load() {
			http.Error(w, "not ready", http.StatusServiceUnavailable)
			return
		}
		_, _ = w.Write([]byte("ready\n"))
	})
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		metrics.WriteJSONOnce(d.metrics, w)
	})
	return mux
}

// measure copies the reducer's counters to the metrics.
func (d *Daemon) measure() {
	m := d.reducer.Metrics()
	d.connections.Store(max(1, int64(runnerConnections/m.Instances)))
	d.pollsHead.Store(d.reducer.PollsDocumentHead())
	d.ready.Store(d.reducer.IsReady())
	gauge := func(name string, v int64) { metrics.GetOrRegisterGauge(name, d.metrics).Update(v) }
	gauge("requests.submitted", int64(m.Submitted))
	gauge("requests.started", int64(m.Started))
	gauge("requests.retried", int64(m.Retries))
	gauge("journal.commits", int64(m.Commits))
	gauge("journal.records", int64(m.Records))
	gauge("document.revision", int64(d.document.Load().Revision))
	gauge("instances.live", int64(m.Instances))
	for s, n := range m.Settled {
		gauge("requests.settled."+s.String(), int64(n))
	}
	for i := range m.WaitingTime {
		name := "waiting_time." + model.Class(i+1).String()
		gauge(name+".p50_microseconds", quantile(m.WaitingTime[i], 0.5).Microseconds())
		gauge(name+".p99_microseconds", quantile(m.WaitingTime[i], 0.99).Microseconds())
	}
	share := func(part, whole int64) float64 {
		if whole == 0 {
			return 0
		}
		return float64(part) / float64(whole)
	}
	packing := func(name string, v float64) { metrics.GetOrRegisterGaugeFloat64(name, d.metrics).Update(v) }
	packing("packing.processors", share(m.Reserved.MilliCPU, m.Capacity.MilliCPU))
	packing("packing.memory", share(m.Reserved.MemoryBytes, m.Capacity.MemoryBytes))
	packing("packing.accelerators", share(m.Reserved.Accelerators, m.Capacity.Accelerators))
	packing("packing.slots", share(m.Reserved.Slots, m.Capacity.Slots))
}

// quantile returns a quantile of unordered samples, or zero without samples.
func quantile(samples []time.Duration, q float64) time.Duration {
	if len(samples) == 0 {
		return 0
	}
	slices.Sort(samples)
	return samples[min(len(samples)-1, int(q*float64(len(samples))))]
}
