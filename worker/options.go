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
	Post             func(event.Event)     // delivers an event to the control goroutine; must not block for long
	DocumentRevision func() model.Revision // document revision in force, sent to the workers; nil for 0
	MaxConnections   func() int            // connections to one runner, at least 1; nil for 1
	// LeaseMilliseconds is the lease time to ask for; 0 for 1500. A lease is
	// renewed each time a third of the granted time has passed.
	LeaseMilliseconds int64
	// Dial opens a connection to a worker; nil for the default dialer.
	Dial    func(ctx context.Context, network, address string) (net.Conn, error)
	Log     *zap.Logger
	Metrics metrics.Registry
}

// defaultLeaseMilliseconds allows two lost renewals within the takeover target
// of 2.4 s.
const defaultLeaseMilliseconds = 1500

// withDefaults returns the options with every optional field set.
func (o Options) withDefaults() Options {
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
