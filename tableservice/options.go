package tableservice

import (
	"context"
	"net"
	"net/netip"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"fuchsiacross/event"
	"fuchsiacross/model"
)

// Options configures a Client. Zero amounts mean the defaults.
type Options struct {
	Address     netip.AddrPort // of the platform
	Self        model.InstanceID
	Incarnation model.Incarnation
	Post        func(event.Event) // must not block for long
	Log         *zap.Logger       // nil for none
	Metrics     metrics.Registry  // nil for a registry of the client's own

	ListIntervalMilliseconds int64       // between polls of the list; default 500
	HeadIntervalMilliseconds int64       // between polls of the document's head; default 1000
	CallTimeoutMilliseconds  int64       // time limit of one call; default 5000
	ObjectWritesPerSecond    int64       // object puts of this instance; default 8
	ObjectReadsPerSecond     int64       // object gets of this instance; default 100
	ShouldPollHead           func() bool // true at the instance that polls the head for its data centre; nil for always

	Dial func(ctx context.Context, network, address string) (net.Conn, error) // nil for the default
}

// withDefaults returns o with defaults in place of zero values.
func (o Options) withDefaults() Options {
	amount := func(v *int64, value int64) {
		if *v <= 0 {
			*v = value
		}
	}
	amount(&o.ListIntervalMilliseconds, 500)
	amount(&o.HeadIntervalMilliseconds, 1000)
	amount(&o.CallTimeoutMilliseconds, 5000)
	amount(&o.ObjectWritesPerSecond, 8)
	amount(&o.ObjectReadsPerSecond, 100)
	if o.Post == nil {
		o.Post = func(event.Event) {}
	}
	if o.Log == nil {
		o.Log = zap.NewNop()
	}
	if o.Metrics == nil {
		o.Metrics = metrics.NewRegistry()
	}
	if o.ShouldPollHead == nil {
		o.ShouldPollHead = func() bool { return true }
	}
	return o
}
