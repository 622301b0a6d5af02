package tableservice

import "sync"

// effectQueue is an unbounded FIFO queue of effects to carry out, so that Apply
// never blocks. The reducer bounds its length, because it has at most one effect
// outstanding for each partition.
type effectQueue struct {
	mu       sync.Mutex
	notEmpty *sync.Cond
	pending  []func()
	closed   bool
}

func newEffectQueue() *effectQueue {
	q := &effectQueue{}
	q.notEmpty = sync.NewCond(&q.mu)
	return q
}

// put appends an effect. After close it drops the effect.
func (q *effectQueue) put(apply func()) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.closed {
		return
	}
	q.pending = append(q.pending, apply)
	q.notEmpty.Signal()
}

// take waits for the next effect and removes it. It returns false if the queue is
// closed and empty.
func (q *effectQueue) take() (func(), bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for len(q.pending) == 0 && !q.closed {
		q.notEmpty.Wait()
	}
	if len(q.pending) == 0 {
		return nil, false
	}
	apply := q.pending[0]
	q.pending = q.pending[1:]
	return apply, true
}

// close makes take return false after the remaining effects are taken.
func (q *effectQueue) close() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.closed = true
	q.notEmpty.Broadcast()
}
