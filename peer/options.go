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

// Path is the HTTP path at which Links.Handler is served.
const Path = "/peer"

// Options configures Links.
type Options struct {
	Self              model.Instance
	Incarnation       model.Incarnation
	Post              func(event.Event)                                                    // delivers an event to the reducer; may block
	CurrentDocument   func() *document.Document                                            // returns the document for DocumentFetch, or nil if none is known
	HandleDocument    func(from model.InstanceID, copied event.DocumentCopy)               // receives documents from peers
	MaxFrameBytes     int64                                                                // largest frame accepted and sent; at least 64 KiB
	MaxQueuedMessages int                                                                  // limit of queued messages for one link
	Secret            func() []byte                                                        // returns the shared key; empty for none
	Dial              func(ctx context.Context, network, address string) (net.Conn, error) // nil for the default dialer
	Log               *zap.Logger
	Metrics           metrics.Registry
}

// The defaults of Options.
const (
	DefaultMaxFrameBytes     = 8 << 20 // twice the largest body of a request
	DefaultMaxQueuedMessages = 1024
)

const (
	// handshakeTimeout covers the dial, the upgrade, the hellos and the proofs.
	// It is longer than the first retransmission of a lost SYN, which comes after
	// 1 s.
	handshakeTimeout = 2500 * time.Millisecond
	writeTimeout     = 5 * time.Second
	// maxIncomingHandshakes limits the incoming links whose handshake is not yet
	// complete.
	maxIncomingHandshakes = 64
	maxHelloBytes         = 4 << 10
	// closeHandshakeTimeout limits the closing handshake of WebSocket, which a
	// dead peer never answers.
	closeHandshakeTimeout = 300 * time.Millisecond

	minBackoff = 50 * time.Millisecond
	maxBackoff = 700 * time.Millisecond // multiplied by a random factor from 0.6 to 1.4
	// backoffResetThreshold is the age at which a session counts as stable, so
	// that the backoff of the next dial starts again at its minimum.
	backoffResetThreshold = 2 * time.Second

	// maxSmallCellPeers is the number of peers up to which heartbeats have no
	// deadbands and the keepalive interval is short.
	maxSmallCellPeers = 16
	// Each side sends a frame at least once in its keepalive interval. The other
	// side closes the link if it receives nothing for keepaliveTimeoutFactor times
	// this interval.
	smallCellKeepaliveInterval = 400 * time.Millisecond
	largeCellKeepaliveInterval = 2500 * time.Millisecond
	keepaliveTimeoutFactor     = 4

	// maxCoalescedBytes limits the size of a frame with several messages. It is
	// half of the frame size that every instance accepts.
	maxCoalescedBytes = minFrameBytes / 2
)

// withDefaults returns the options with every optional field set.
func (o Options) withDefaults() Options {
	if o.MaxFrameBytes <= 0 {
		o.MaxFrameBytes = DefaultMaxFrameBytes
	}
	o.MaxFrameBytes = max(o.MaxFrameBytes, minFrameBytes)
	if o.MaxQueuedMessages <= 0 {
		o.MaxQueuedMessages = DefaultMaxQueuedMessages
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
