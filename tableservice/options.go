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

// Options configures a Client. Zero values of optional fields select their
// defaults.
type Options struct {
	Address     netip.AddrPort // of the platform
	Self        model.InstanceID
	Incarnation model.Incarnation
	Post        func(event.Event) // must not block for long
	Log         *zap.Logger       // nil to log nothing
	Metrics     metrics.Registry  // nil for a new registry

	ListIntervalMilliseconds int64       // between polls of the list of instances; default 500
	HeadIntervalMilliseconds int64       // between polls of the document's head; default 1000
	CallTimeoutMilliseconds  int64       // timeout of a call; default 5000
	ObjectWritesPerSecond    int64       // limit of object writes; default 8
	ObjectReadsPerSecond     int64       // limit of object reads; default 100
	ShouldPollHead           func() bool // true if this instance polls the head for its data centre; nil to poll always

	Dial func(ctx context.Context, network, address string) (net.Conn, error) // nil for the standard dialer
}

// withDefaults returns o with zero values replaced by the defaults.
func (o Options) withDefaults() Options {
	setDefault := func(v *int64, defaultValue int64) {
		if *v <= 0 {
			*v = defaultValue
		}
	}
	setDefault(&o.ListIntervalMilliseconds, 500)
	setDefault(&o.HeadIntervalMilliseconds, 1000)
	setDefault(&o.CallTimeoutMilliseconds, 5000)
	setDefault(&o.ObjectWritesPerSecond, 8)
	setDefault(&o.ObjectReadsPerSecond, 100)
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
