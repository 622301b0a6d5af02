package rpcserver

import (
	"sync"

	"fuchsiacross/event"
)

// Waiting holds the calls that wait for an effect. It is safe for concurrent
// use.
type PendingCalls struct {
	mu    sync.Mutex
	calls map[event.Token]chan event.Effect
}

// NewWaiting returns a Waiting without calls.
func NewPendingCalls() *PendingCalls {
	return &PendingCalls{calls: make(map[event.Token]chan event.Effect)}
}

// Add registers a token, which must be new, and returns the channel on which
// its effect arrives.
func (w *PendingCalls) Add(token event.Token) <-chan event.Effect {
	// The channel has room for the one effect, so that the control goroutine
	// never waits for a caller.
	c := make(chan event.Effect, 1)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.calls[token] = c
	return c
}

// Remove forgets a token. It reports false when the token's effect has been
// delivered.
func (w *PendingCalls) Remove(token event.Token) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	_, ok := w.calls[token]
	delete(w.calls, token)
	return ok
}

// Deliver hands an effect to the call that waits for the token. It reports
// false when none does.
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

// Len returns the number of calls that wait.
func (w *PendingCalls) Len() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.calls)
}
