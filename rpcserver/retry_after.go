package rpcserver

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"connectrpc.com/connect"
	"github.com/go-faster/errors"
)

const (
	retryAfterHeader = "Retry-After"
	// refusalRetryAfter is when callers may repeat a call that got unavailable or
	// resource_exhausted.
	refusalRetryAfter = time.Second
)

// SetRetryAfter tells a caller when a refused call may be repeated.
func SetRetryAfter(h http.Header) {
	h.Set(retryAfterHeader, strconv.Itoa(int(refusalRetryAfter.Seconds())))
}

// addRetryAfter adds Retry-After to the errors of calls that may be repeated: to the header of a
// Connect response, and to the trailer of gRPC.
func addRetryAfter(next connect.UnaryFunc) connect.UnaryFunc {
	return func(ctx context.Context, request connect.AnyRequest) (connect.AnyResponse, error) {
		response, err := next(ctx, request)
		var failure *connect.Error
		if errors.As(err, &failure) {
			switch failure.Code() {
			case connect.CodeUnavailable, connect.CodeResourceExhausted:
				SetRetryAfter(failure.Meta())
			default:
			}
		}
		return response, err
	}
}
