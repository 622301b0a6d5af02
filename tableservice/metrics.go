package tableservice

import (
	"time"

	"github.com/rcrowley/go-metrics"
)

// sampleSize and sampleAlpha configure the histograms: about a thousand samples,
// weighted towards the last five minutes. They are the defaults of the metrics
// library.
const (
	sampleSize  = 1028
	sampleAlpha = 0.015
)

// clientMetrics holds the metrics of a client.
type clientMetrics struct {
	reads         metrics.Counter   // table reads and lists, resolves, object gets, instance lists
	writes        metrics.Counter   // table transactions and object puts
	failures      metrics.Counter   // calls without an answer
	rejected      metrics.Counter   // calls that the circuit breaker rejected
	resolved      metrics.Counter   // commits that were resolved after their answer was lost
	conflicts     metrics.Counter   // transactions rejected because a version did not match
	sentBytes     metrics.Counter   // size of requests
	receivedBytes metrics.Counter   // size of answers
	commitTime    metrics.Histogram // microseconds from a journal effect to its result
	callTime      metrics.Histogram // microseconds of each call
}

func newClientMetrics(r metrics.Registry) *clientMetrics {
	counter := func(name string) metrics.Counter {
		return metrics.GetOrRegisterCounter("platform."+name, r)
	}
	histogram := func(name string) metrics.Histogram {
		sample := metrics.NewExpDecaySample(sampleSize, sampleAlpha)
		return metrics.GetOrRegisterHistogram("platform."+name, r, sample)
	}
	return &clientMetrics{
		reads:         counter("reads"),
		writes:        counter("writes"),
		failures:      counter("failures"),
		rejected:      counter("gated"),
		resolved:      counter("resolved"),
		conflicts:     counter("conflicts"),
		sentBytes:     counter("sent_bytes"),
		receivedBytes: counter("received_bytes"),
		commitTime:    histogram("commit_time"),
		callTime:      histogram("call_time"),
	}
}

// calls returns the counter for calls of a kind.
func (m *clientMetrics) calls(kind callKind) metrics.Counter {
	if kind == writeCall {
		return m.writes
	}
	return m.reads
}

func microsecondsSince(start time.Time) int64 { return time.Since(start).Microseconds() }
