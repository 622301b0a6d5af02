package rpcserver

import (
	"connectrpc.com/connect"
	"github.com/go-faster/errors"
)

// Slots bounds the number of concurrent calls.
type CallLimiter struct {
	free chan struct{}
}

// NewSlots returns room for n calls.
func NewCallLimiter(n int) *CallLimiter { return &CallLimiter{free: make(chan struct{}, max(n, 1))} }

// Take takes a slot, or returns a resource_exhausted error at once. The caller
// releases the slot with the returned function.
func (s *CallLimiter) Acquire() (release func(), err error) {
	select {
	case s.free <- struct{}{}:
		return func() { <-s.free }, nil
	default:
		return nil, connect.NewError(connect.CodeResourceExhausted, errors.Errorf("all %d concurrent calls are in use", cap(s.free)))
	}
}
