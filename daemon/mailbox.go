package daemon

import (
	"sync"

	"fuchsiacross/event"
)

// mailbox is the queue of events for the control goroutine. It is unbounded, because
// the control goroutine calls adapters that may post to it, which would deadlock on a
// full queue. The adapters limit what they have in flight.
type mailbox struct {
	mu     sync.Mutex
	events []event.Event
	notify chan struct{} // signals the control goroutine that events are queued
}

func newMailbox() *mailbox {
	return &mailbox{notify: make(chan struct{}, 1)}
}

func (m *mailbox) post(e event.Event) {
	m.mu.Lock()
	m.events = append(m.events, e)
	m.mu.Unlock()
	select {
	case m.notify <- struct{}{}:
	default:
	}
}

// takeAll returns all queued events and reuses the capacity of spare, which must be
// empty, for the next ones.
func (m *mailbox) takeAll(spare []event.Event) []event.Event {
	m.mu.Lock()
	defer m.mu.Unlock()
	events := m.events
	m.events = spare
	return events
}
