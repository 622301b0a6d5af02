package worker

import (
	"sync"

	"fuchsiacross/event"
)

// outbox is an unbounded queue that posts events in order from its own
// goroutine. Apply may run on the goroutine that consumes the posted events, so
// posting directly from Apply could deadlock.
type outbox struct {
	mu     sync.Mutex
	events []event.Event
	closed bool
	wake   chan struct{}
	done   chan struct{}
}

func newOutbox(post func(event.Event)) *outbox {
	o := &outbox{wake: make(chan struct{}, 1), done: make(chan struct{})}
	go func() {
		defer close(o.done)
		for range o.wake {
			events, closed := o.takeEvents()
			for _, e := range events {
				post(e)
			}
			if closed {
				return
			}
		}
	}()
	return o
}

// post queues an event and never blocks.
func (o *outbox) post(e event.Event) {
	o.mu.Lock()
	o.events = append(o.events, e)
	o.mu.Unlock()
	o.signal()
}

// close waits until all queued events have been posted and stops the goroutine.
func (o *outbox) close() {
	o.mu.Lock()
	o.closed = true
	o.mu.Unlock()
	o.signal()
	<-o.done
}

func (o *outbox) signal() {
	select {
	case o.wake <- struct{}{}:
	default:
	}
}

func (o *outbox) takeEvents() ([]event.Event, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	events := o.events
	o.events = nil
	return events, o.closed
}
