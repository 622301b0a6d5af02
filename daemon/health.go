package daemon

import (
	"net/http"
	"slices"
	"time"

	"github.com/rcrowley/go-metrics"

	"fuchsiacross/model"
)

// healthHandler serves /healthz, /readyz and /metrics. The metrics are written as one
// JSON object.
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

// updateMetrics copies the reducer's counters to the metrics registry, and its state to
// the fields that other goroutines read.
func (d *Daemon) updateMetrics() {
	m := d.reducer.Metrics()
	d.maxWorkerConnections.Store(max(1, int64(maxRunnerConnections/m.Instances)))
	d.shouldPollHead.Store(d.reducer.PollsDocumentHead())
	d.ready.Store(d.reducer.IsReady())
	setGauge := func(name string, v int64) { metrics.GetOrRegisterGauge(name, d.metrics).Update(v) }
	setGauge("requests.submitted", int64(m.Submitted))
	setGauge("requests.started", int64(m.Started))
	setGauge("requests.retried", int64(m.Retries))
	setGauge("journal.commits", int64(m.Commits))
	setGauge("journal.records", int64(m.Records))
	setGauge("document.revision", int64(d.document.Load().Revision))
	setGauge("instances.live", int64(m.Instances))
	for s, n := range m.Settled {
		setGauge("requests.settled."+s.String(), int64(n))
	}
	for i := range m.WaitingTime {
		name := "waiting_time." + model.Class(i+1).String()
		setGauge(name+".p50_microseconds", computeQuantile(m.WaitingTime[i], 0.5).Microseconds())
		setGauge(name+".p99_microseconds", computeQuantile(m.WaitingTime[i], 0.99).Microseconds())
	}
	ratio := func(part, whole int64) float64 {
		if whole == 0 {
			return 0
		}
		return float64(part) / float64(whole)
	}
	setPackingGauge := func(name string, v float64) { metrics.GetOrRegisterGaugeFloat64(name, d.metrics).Update(v) }
	setPackingGauge("packing.processors", ratio(m.Reserved.MilliCPU, m.Capacity.MilliCPU))
	setPackingGauge("packing.memory", ratio(m.Reserved.MemoryBytes, m.Capacity.MemoryBytes))
	setPackingGauge("packing.accelerators", ratio(m.Reserved.Accelerators, m.Capacity.Accelerators))
	setPackingGauge("packing.slots", ratio(m.Reserved.Slots, m.Capacity.Slots))
}

// computeQuantile sorts samples and returns their quantile q, or zero without samples.
func computeQuantile(samples []time.Duration, q float64) time.Duration {
	if len(samples) == 0 {
		return 0
	}
	slices.Sort(samples)
	return samples[min(len(samples)-1, int(q*float64(len(samples))))]
}
