package instance

import (
	"fmt"
	"net/http"
	"net/netip"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"fuchsiacross/finding"
	"fuchsiacross/intake"
	"fuchsiacross/logevent"
)

const (
	// callerSocketBytes is the buffer size of a client's socket, which the kernel doubles. It
	// holds many ordinary bodies, and the round trip of a larger one remains short.
	callerSocketBytes = 32 << 10
	// peerSocketBytes lets a link carry 200 Mbit/s over a round trip of 2.5 ms.
	peerSocketBytes = 64 << 10
	// intakeReportInterval is the shortest time between two log lines on refusals.
	intakeReportInterval = time.Second
	// maxBodyMemoryDivisor keeps body_megabytes below a quarter of memory_megabytes, since
	// the heap limit is about half of it.
	maxBodyMemoryDivisor = 4
)

// http1Only excludes HTTP/2, whose streams would not count as connections.
var http1Only = func() (p http.Protocols) {
	p.SetHTTP1(true)
	return p
}()

// checkIntakeSettings adds findings on the bounds of untrusted clients. Zero stands for the
// default.
func checkIntakeSettings(name string, s *Settings, findings *finding.List) {
	ranges := []struct {
		field         string
		value         int64
		least, utmost int64
	}{
		{"max_connections", s.MaxConnections, 16, 65_536},
		{"body_megabytes", s.BodyMegabytes, 1, max(1, s.MemoryMegabytes/maxBodyMemoryDivisor)},
		{"header_timeout_milliseconds", s.HeaderTimeoutMilliseconds, 100, 60_000},
		{"body_timeout_milliseconds", s.BodyTimeoutMilliseconds, 100, 60_000},
	}
	for _, r := range ranges {
		if r.value != 0 && (r.value < r.least || r.value > r.utmost) {
			findings.Add(name+": "+r.field, fmt.Sprintf("must be between %d and %d", r.least, r.utmost))
		}
	}
}

// intakeBounds are the bounds of the listening addresses and what has been refused there.
type intakeBounds struct {
	bounds    intake.Bounds
	budget    *intake.Budget
	listeners []namedListener
	instance  *Instance
	limited   atomic.Int64 // refusals and evictions
}

type namedListener struct {
	name string
	*intake.Listener
}

func (i *Instance) newIntake() *intakeBounds {
	s := &i.settings
	bounds := intake.DefaultBounds(s.MemoryMegabytes, availableDescriptors(s.MaxDescriptors))
	if s.MaxConnections > 0 {
		bounds.CallerConnections = int(s.MaxConnections)
	}
	if s.BodyMegabytes > 0 {
		bounds.BodyBytes = s.BodyMegabytes << 20
	}
	if s.HeaderTimeoutMilliseconds > 0 {
		bounds.HeaderTimeout = time.Duration(s.HeaderTimeoutMilliseconds) * time.Millisecond
	}
	if s.BodyTimeoutMilliseconds > 0 {
		bounds.BodyTimeout = time.Duration(s.BodyTimeoutMilliseconds) * time.Millisecond
	}
	b := &intakeBounds{bounds: bounds, budget: intake.NewBudget(bounds.BodyBytes, bounds.BodyTimeout), instance: i}
	b.budget.OnRefused = func(c intake.Cause) { b.count("refused.body." + string(c)) }
	return b
}

// availableDescriptors returns the smaller one of the setting and the limit of the process,
// or zero if neither is known.
func availableDescriptors(setting int64) int64 {
	var limit syscall.Rlimit
	if syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit) != nil || limit.Cur > 1<<31 {
		return setting
	}
	if setting > 0 {
		return min(setting, int64(limit.Cur))
	}
	return int64(limit.Cur)
}

func (b *intakeBounds) callers() intake.Options {
	return intake.Options{MaxConnections: b.bounds.CallerConnections, ReceiveBytes: callerSocketBytes, SendBytes: callerSocketBytes}
}

func (b *intakeBounds) peers() intake.Options {
	return intake.Options{MaxConnections: b.bounds.PeerConnections, ReceiveBytes: peerSocketBytes}
}

func (b *intakeBounds) probes() intake.Options {
	return intake.Options{MaxConnections: b.bounds.ProbeConnections, ReceiveBytes: callerSocketBytes}
}

// listen opens an address. Its refusals and evictions are counted under the name.
func (b *intakeBounds) listen(name string, address netip.AddrPort, o intake.Options) (*intake.Listener, error) {
	o.OnRefused = func() { b.count("refused.connection." + name) }
	o.OnEvicted = func() { b.count("evicted.connection." + name) }
	l, err := intake.Listen(address, o)
	if err == nil {
		b.listeners = append(b.listeners, namedListener{name, l})
	}
	return l, err
}

func (b *intakeBounds) count(what string) {
	b.limited.Add(1)
	b.instance.counter("intake." + what).Inc(1)
}

// updateGauges records the open connections of each address and the bytes held for bodies.
func (b *intakeBounds) updateGauges() {
	for _, l := range b.listeners {
		metrics.GetOrRegisterGauge("intake.connections."+l.name, b.instance.metrics).Update(int64(l.Open()))
	}
	metrics.GetOrRegisterGauge("intake.body_bytes", b.instance.metrics).Update(b.budget.Held())
}

// reportIntake logs refusals and evictions, at most once in each interval.
func (i *Instance) reportIntake() {
	for sleep(i.ctx, intakeReportInterval) {
		i.intake.updateGauges()
		if n := i.intake.limited.Swap(0); n > 0 {
			logevent.IntakeLimited.Log(i.log, zap.Int64("count", n), zap.Int64("body_bytes", i.intake.budget.Held()),
				zap.Int("caller_connections", i.intake.listeners[0].Open()))
		}
	}
}
