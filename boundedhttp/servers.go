package boundedhttp

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"fuchsiacross/intake"
	"fuchsiacross/logevent"
)

const (
	// CallerSocketBytes is the buffer size of a client's socket, which the kernel doubles. It
	// holds many ordinary bodies, and the round trip of a larger one remains short.
	CallerSocketBytes = 32 << 10
	// PeerSocketBytes lets a link carry 200 Mbit/s over a round trip of 2.5 ms.
	PeerSocketBytes = 64 << 10
	// MaxHeaderBytes limits the header of a request.
	MaxHeaderBytes = 16 << 10
	// reportInterval is the shortest time between two log lines of one kind.
	reportInterval = time.Second
)

// Options configure Servers.
type Options struct {
	Bounds  intake.Bounds
	Log     *zap.Logger
	Metrics metrics.Registry
}

// Servers are the HTTP servers of a process. They share a budget for bodies.
type Servers struct {
	options   Options
	budget    *intake.Budget
	listeners []namedListener
	limited   atomic.Int64 // refusals and evictions since the last report
	errors    errorLog
}

type namedListener struct {
	name string
	*intake.Listener
}

// New returns Servers without addresses.
func New(o Options) *Servers {
	s := &Servers{options: o, budget: intake.NewBudget(o.Bounds.BodyBytes, o.Bounds.BodyTimeout)}
	s.budget.OnRefused = func(c intake.Cause) { s.count("refused.body." + string(c)) }
	return s
}

// Bounds returns the bounds that are in force.
func (s *Servers) Bounds() intake.Bounds { return s.options.Bounds }

// Budget returns the budget for the bodies of all servers.
func (s *Servers) Budget() *intake.Budget { return s.budget }

// Listen opens an address. Its refusals and evictions are counted under the name. It must not be
// called any more once Report has been.
func (s *Servers) Listen(name string, address netip.AddrPort, o intake.Options) (*intake.Listener, error) {
	o.OnRefused = func() { s.count("refused.connection." + name) }
	o.OnEvicted = func() { s.count("evicted.connection." + name) }
	l, err := intake.Listen(address, o)
	if err == nil {
		s.listeners = append(s.listeners, namedListener{name, l})
	}
	return l, err
}

func (s *Servers) count(what string) {
	s.limited.Add(1)
	metrics.GetOrRegisterCounter("intake."+what, s.options.Metrics).Inc(1)
}

// ServerOptions configure one server.
type ServerOptions struct {
	Handler     http.Handler
	IdleTimeout time.Duration
	HTTP2       bool // with TLS and without
	// ConnState, which may be nil, is notified of the states of connections.
	ConnState func(net.Conn, http.ConnState)
}

// NewServer returns a server for a listener of Listen.
func (s *Servers) NewServer(o ServerOptions) *http.Server {
	protocols := &http.Protocols{}
	protocols.SetHTTP1(true)
	protocols.SetHTTP2(o.HTTP2)
	protocols.SetUnencryptedHTTP2(o.HTTP2)
	return &http.Server{
		Handler: intake.Handler(o.Handler), ReadHeaderTimeout: s.options.Bounds.HeaderTimeout, IdleTimeout: o.IdleTimeout,
		MaxHeaderBytes: MaxHeaderBytes, ErrorLog: s.errors.logger(), Protocols: protocols, HTTP2: boundedHTTP2(),
		ConnContext: intake.ConnContext, ConnState: func(c net.Conn, state http.ConnState) {
			intake.RecordState(c, state)
			if o.ConnState != nil {
				o.ConnState(c, state)
			}
		},
	}
}

// boundedHTTP2 bounds what a connection holds besides its open requests: a frame that is
// incomplete, and data that no handler has read.
func boundedHTTP2() *http.HTTP2Config {
	const (
		maxStreams  = 100 // RFC 9113, section 6.5.2, recommends no smaller limit
		frameBytes  = 16 << 10
		windowBytes = 64 << 10
	)
	return &http.HTTP2Config{
		MaxConcurrentStreams: maxStreams, MaxReadFrameSize: frameBytes,
		MaxReceiveBufferPerConnection: windowBytes, MaxReceiveBufferPerStream: windowBytes,
	}
}

// Report updates the metrics and logs refusals, evictions and failed connections, each at most
// once in an interval, until the context ends.
func (s *Servers) Report(ctx context.Context) {
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		s.updateGauges()
		if n := s.limited.Swap(0); n > 0 {
			logevent.IntakeLimited.Log(s.options.Log, zap.Int64("count", n), zap.Int64("body_bytes", s.budget.Held()),
				zap.Int("caller_connections", s.listeners[0].Open()))
		}
		if n, last := s.errors.take(); n > 0 {
			logevent.ConnectionsFailed.Log(s.options.Log, zap.Int64("count", n), zap.String("last", last))
		}
	}
}

// updateGauges records the open connections of each address and the bytes held for bodies.
func (s *Servers) updateGauges() {
	for _, l := range s.listeners {
		metrics.GetOrRegisterGauge("intake.connections."+l.name, s.options.Metrics).Update(int64(l.Open()))
	}
	metrics.GetOrRegisterGauge("intake.body_bytes", s.options.Metrics).Update(s.budget.Held())
}
