package rpcserver

import (
	"sync"

	"fuchsiacross/event"
)

// PendingCalls holds the calls that wait for an effect of the reducer, by token. It is
// safe for concurrent use.
type PendingCalls struct {
	mu    sync.Mutex
	calls map[event.Token]chan event.Effect
}

// NewPendingCalls returns an empty PendingCalls.
func NewPendingCalls() *PendingCalls {
	return &PendingCalls{calls: make(map[event.Token]chan event.Effect)}
}

// Add registers a token, which must be new, and returns the channel that receives its
// effect.
func (w *PendingCalls) Add(token event.Token) <-chan event.Effect {
	// The channel buffers the only effect, so that the control goroutine never blocks
	// on a call.
	c := make(chan event.Effect, 1)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.calls[token] = c
	return c
}

// Remove removes a token. It reports false if the token is not registered, because its
// effect was already delivered.
func (w *PendingCalls) Remove(token event.Token) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	_, ok := w.calls[token]
	delete(w.calls, token)
	return ok
}

// Deliver sends an effect to the call with the token and removes the token. It reports
// false if no call has it.
func (w *PendingCalls) Deliver(token event.Token, e event.Effect) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	c, ok := w.calls[token]
	if !ok {
		return false
	}
	delete(w.calls, token)
	c <- e
	return true
}

// Len returns the number of pending calls.
func (w *PendingCalls) Len() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.calls)
}
