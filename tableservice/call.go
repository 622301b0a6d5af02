package tableservice

import (
	"context"
	"net"
	"time"

	"connectrpc.com/connect"
	"github.com/go-faster/errors"
	"google.golang.org/protobuf/proto"
)

// certainty says whether a call that failed may have taken effect.
type certainty uint8

const (
	answered   certainty = iota + 1 // the platform answered
	notApplied                      // the call certainly took no effect
	uncertain                       // the call may have taken effect
)

// callKind says whether a call changes anything at the platform.
type callKind uint8

const (
	readCall callKind = iota + 1
	writeCall
	// resolveCall is a read whose time limit is resolveStretch times longer.
	// Until it is answered a partition stands still, so a store that is slower
	// than the limit of other calls must still be able to answer it.
	resolveCall
)

// resolveStretch makes the default limit of a resolve 30 s.
const resolveStretch = 6

// certaintyOf classifies the error of a call. Only errors that the platform
// itself gives for a call that it did not carry out, and connections that were
// never made, are certain.
func certaintyOf(err error) certainty {
	if err == nil {
		return answered
	}
	if errors.Is(err, errGated) {
		return notApplied
	}
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return notApplied
	}
	switch connect.CodeOf(err) {
	case connect.CodeResourceExhausted, connect.CodeInvalidArgument, connect.CodeAborted:
		if connect.IsWireError(err) {
			return notApplied
		}
	}
	return uncertain
}

// platformFails reports whether an error says that the platform is unable to
// answer, rather than that the call is wrong.
func platformFails(err error) bool {
	if err == nil {
		return false
	}
	switch connect.CodeOf(err) {
	case connect.CodeInvalidArgument, connect.CodeAborted, connect.CodeNotFound:
		return false
	}
	return true
}

// invoke makes one call through the gate and counts it. Patience bounds the
// wait at the gate.
func invoke[Q, R proto.Message](
	ctx context.Context, c *Client, kind callKind, patience time.Duration,
	method func(context.Context, Q) (R, error), request Q,
) (R, error) {
	var none R
	if err := c.gate.enter(ctx, patience, kind != writeCall); err != nil {
		c.meter.gated.Inc(1)
		return none, err
	}
	limit := time.Duration(c.options.CallTimeoutMilliseconds) * time.Millisecond
	if kind == resolveCall {
		limit *= resolveStretch
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	c.meter.calls(kind).Inc(1)
	c.meter.sent.Inc(int64(proto.Size(request)))
	start := time.Now()
	response, err := method(ctx, request)
	c.meter.callTime.Update(microseconds(start))
	if connect.CodeOf(err) != connect.CodeCanceled {
		c.gate.report(!platformFails(err))
	}
	if err != nil {
		c.meter.failures.Inc(1)
		return none, err
	}
	c.meter.received.Inc(int64(proto.Size(response)))
	return response, nil
}
