package rpcserver

import (
	"connectrpc.com/connect"
	"github.com/go-faster/errors"
)

// CallLimiter limits the number of concurrent calls.
type CallLimiter struct {
	acquired chan struct{}
}

// NewCallLimiter returns a limiter that admits n concurrent calls, at least one.
func NewCallLimiter(n int) *CallLimiter {
	return &CallLimiter{acquired: make(chan struct{}, max(n, 1))}
}

// Acquire admits a call, or returns a resource_exhausted error immediately if the limit
// is reached. The caller must call release at the end of the call.
func (l *CallLimiter) Acquire() (release func(), err error) {
	select {
	case l.acquired <- struct{}{}:
		return func() { <-l.acquired }, nil
	default:
		return nil, connect.NewError(connect.CodeResourceExhausted, errors.Errorf("all %d concurrent calls are in use", cap(l.acquired)))
	}
}
