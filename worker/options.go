package worker

import (
	"context"
	"net"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"fuchsiacross/event"
	"fuchsiacross/model"
)

// Options configures a Client.
type Options struct {
	Self             model.InstanceID
	Incarnation      model.Incarnation
	Post             func(event.Event)     // delivers events to the control goroutine; must not block for long
	DocumentRevision func() model.Revision // document revision in force, sent with renewals
	MaxConnections   func() int            // this instance's share of a runner's connections, at least 1
	// LeaseMilliseconds is the lease time to ask for. Leases are renewed at a
	// third of the granted time.
	LeaseMilliseconds int64
	// Dial opens a connection to a worker; nil for the default dialer.
	Dial    func(ctx context.Context, network, address string) (net.Conn, error)
	Log     *zap.Logger
	Metrics metrics.Registry
}

// defaultLeaseMilliseconds is used where the options name no lease time. It
// leaves room for two lost renewals within the takeover target of 2.4 s.
const defaultLeaseMilliseconds = 1500

// filled returns the options with defaults for what is not set.
func (o Options) filled() Options {
	if o.DocumentRevision == nil {
		o.DocumentRevision = func() model.Revision { return 0 }
	}
	if o.MaxConnections == nil {
		o.MaxConnections = func() int { return 1 }
	}
	if o.LeaseMilliseconds <= 0 {
		o.LeaseMilliseconds = defaultLeaseMilliseconds
	}
	if o.Dial == nil {
		o.Dial = new(net.Dialer).DialContext
	}
	if o.Log == nil {
		o.Log = zap.NewNop()
	}
	if o.Metrics == nil {
		o.Metrics = metrics.NewRegistry()
	}
	return o
}
