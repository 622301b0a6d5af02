package peer

import (
	"context"
	"net"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"fuchsiacross/document"
	"fuchsiacross/event"
	"fuchsiacross/model"
)

// Path is where a peer's Handler is served.
const Path = "/peer"

// Options configures Links.
type Options struct {
	Self              model.Instance
	Incarnation       model.Incarnation
	Post              func(event.Event)                                                    // takes an event to the reducer; may block
	CurrentDocument   func() *document.Document                                            // answers DocumentFetch; nil when none is known
	HandleDocument    func(from model.InstanceID, copied event.DocumentCopy)               // takes received documents
	MaxFrameBytes     int64                                                                // largest frame accepted and sent
	MaxQueuedMessages int                                                                  // messages that wait for one link
	Secret            func() []byte                                                        // shared key; nil for none
	Dial              func(ctx context.Context, network, address string) (net.Conn, error) // nil for the default
	Log               *zap.Logger
	Metrics           metrics.Registry
}

// The defaults of Options.
const (
	DefaultMaxFrameBytes = 8 << 20 // twice the largest body of a request
	DefaultMaxQueued     = 1024
)

const (
	// handshakeTimeout covers the dial, the upgrade and the hellos. It is longer
	// than the first retransmission of a lost SYN, which comes after 1 s.
	handshakeTimeout = 2500 * time.Millisecond
	writeTimeout     = 5 * time.Second
	// maxHandshakes bounds the incoming links that have not proved their
	// identity.
	maxHandshakes = 64
	maxHelloBytes = 4 << 10
	// farewellTimeout bounds the closing handshake with a peer that is dead.
	farewellTimeout = 300 * time.Millisecond

	backoffFirst = 50 * time.Millisecond
	backoffLast  = 700 * time.Millisecond // before jitter of up to 1.4 times
	// settledAfter is the age at which a link counts as working, so that the
	// next dial starts again with the first backoff.
	settledAfter = 2 * time.Second

	// smallCell is the number of peers up to which heartbeats are exact and a
	// link is never silent for long.
	smallCell = 16
	// A side writes something at least once in this time. The other side closes
	// the link after idleFactor times the promise.
	idleSmall  = 400 * time.Millisecond
	idleLarge  = 2500 * time.Millisecond
	idleFactor = 4

	// coalesceBytes ends a frame to which more messages could be added. It is
	// half of what every instance accepts.
	coalesceBytes = minFrameBytes / 2
)

// withDefaults returns the options with every optional field set.
func (o Options) withDefaults() Options {
	if o.MaxFrameBytes <= 0 {
		o.MaxFrameBytes = DefaultMaxFrameBytes
	}
	o.MaxFrameBytes = max(o.MaxFrameBytes, minFrameBytes)
	if o.MaxQueuedMessages <= 0 {
		o.MaxQueuedMessages = DefaultMaxQueued
	}
	if o.Dial == nil {
		o.Dial = (&net.Dialer{}).DialContext
	}
	if o.Log == nil {
		o.Log = zap.NewNop()
	}
	if o.Metrics == nil {
		o.Metrics = metrics.NewRegistry()
	}
	if o.Secret == nil {
		o.Secret = func() []byte { return nil }
	}
	if o.Post == nil {
		o.Post = func(event.Event) {}
	}
	if o.CurrentDocument == nil {
		o.CurrentDocument = func() *document.Document { return nil }
	}
	if o.HandleDocument == nil {
		o.HandleDocument = func(model.InstanceID, event.DocumentCopy) {}
	}
	return o
}
