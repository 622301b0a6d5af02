package tableservice

import (
	"context"
	"net"
	"time"

	"connectrpc.com/connect"
	"github.com/go-faster/errors"
	"google.golang.org/protobuf/proto"
)

// callOutcome says whether a call took effect, as far as the client knows.
type callOutcome uint8

const (
	outcomeAnswered   callOutcome = iota + 1 // the platform answered
	outcomeNotApplied                        // the call had no effect
	outcomeUnknown                           // the call failed and may have taken effect
)

// callKind distinguishes reads from writes, and resolves from other reads.
type callKind uint8

const (
	readCall callKind = iota + 1
	writeCall
	// resolveCall asks whether a transaction was applied. Its timeout is
	// resolveTimeoutFactor times that of other calls: its partition is blocked
	// until it is answered, so it must succeed even if the store is slower than
	// the timeout of other calls.
	resolveCall
)

// resolveTimeoutFactor yields a timeout of 30 s for resolves by default.
const resolveTimeoutFactor = 6

// classifyOutcome returns the outcome of a call with the given error. A failed
// call certainly had no effect only if it was not sent, because the circuit breaker
// rejected it or the connection could not be made, or if the platform itself
// answered with an error code that it uses for calls that it does not carry out.
func classifyOutcome(err error) callOutcome {
	if err == nil {
		return outcomeAnswered
	}
	if errors.Is(err, errPlatformFailing) {
		return outcomeNotApplied
	}
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return outcomeNotApplied
	}
	switch connect.CodeOf(err) {
	case connect.CodeResourceExhausted, connect.CodeInvalidArgument, connect.CodeAborted:
		if connect.IsWireError(err) {
			return outcomeNotApplied
		}
	}
	return outcomeUnknown
}

// isPlatformFailure reports whether an error means that the platform cannot serve
// calls, rather than that it rejected this one.
func isPlatformFailure(err error) bool {
	if err == nil {
		return false
	}
	switch connect.CodeOf(err) {
	case connect.CodeInvalidArgument, connect.CodeAborted, connect.CodeNotFound:
		return false
	}
	return true
}

// invoke makes one call if the circuit breaker permits it within maxWait, and
// records it in the metrics.
func invoke[Q, R proto.Message](
	ctx context.Context, c *Client, kind callKind, maxWait time.Duration,
	method func(context.Context, Q) (R, error), request Q,
) (R, error) {
	var zero R
	if err := c.breaker.waitForCall(ctx, maxWait, kind != writeCall); err != nil {
		c.metrics.rejected.Inc(1)
		return zero, err
	}
	timeout := time.Duration(c.options.CallTimeoutMilliseconds) * time.Millisecond
	if kind == resolveCall {
		timeout *= resolveTimeoutFactor
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	c.metrics.calls(kind).Inc(1)
	c.metrics.sentBytes.Inc(int64(proto.Size(request)))
	start := time.Now()
	response, err := method(ctx, request)
	c.metrics.callTime.Update(microsecondsSince(start))
	if connect.CodeOf(err) != connect.CodeCanceled {
		c.breaker.recordCall(!isPlatformFailure(err))
	}
	if err != nil {
		c.metrics.failures.Inc(1)
		return zero, err
	}
	c.metrics.receivedBytes.Inc(int64(proto.Size(response)))
	return response, nil
}
