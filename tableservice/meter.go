package tableservice

import (
	"time"

	"github.com/rcrowley/go-metrics"
)

// sampleSize and sampleAlpha configure the histograms: about a thousand samples
// weighted to the last five minutes, the defaults of the metrics library.
const (
	sampleSize  = 1028
	sampleAlpha = 0.015
)

// meter holds the client's metrics.
type meter struct {
	reads      metrics.Counter   // table reads and lists, resolves, object gets, instance lists
	writes     metrics.Counter   // table transactions and object puts
	failures   metrics.Counter   // calls without an answer
	gated      metrics.Counter   // calls not made because the platform fails
	resolved   metrics.Counter   // commits whose lost answer was resolved
	conflicts  metrics.Counter   // transactions refused by a condition
	sent       metrics.Counter   // bytes of requests
	received   metrics.Counter   // bytes of answers
	commitTime metrics.Histogram // microseconds from a journal effect to its result
	callTime   metrics.Histogram // microseconds of each call
}

func newMeter(r metrics.Registry) *meter {
	counter := func(name string) metrics.Counter {
		return metrics.GetOrRegisterCounter("platform."+name, r)
	}
	histogram := func(name string) metrics.Histogram {
		sample := metrics.NewExpDecaySample(sampleSize, sampleAlpha)
		return metrics.GetOrRegisterHistogram("platform."+name, r, sample)
	}
	return &meter{
		reads:      counter("reads"),
		writes:     counter("writes"),
		failures:   counter("failures"),
		gated:      counter("gated"),
		resolved:   counter("resolved"),
		conflicts:  counter("conflicts"),
		sent:       counter("sent_bytes"),
		received:   counter("received_bytes"),
		commitTime: histogram("commit_time"),
		callTime:   histogram("call_time"),
	}
}

// calls returns the counter of a kind of calls.
func (m *meter) calls(kind callKind) metrics.Counter {
	if kind == writeCall {
		return m.writes
	}
	return m.reads
}

func microseconds(since time.Time) int64 { return time.Since(since).Microseconds() }
