package tableservice

import "sync"

// queue is an unbounded queue of tasks, so that Apply never blocks. The reducer
// bounds it: a partition has at most one effect outstanding.
type queue struct {
	mu     sync.Mutex
	filled *sync.Cond
	tasks  []func()
	closed bool
}

func newQueue() *queue {
	q := &queue{}
	q.filled = sync.NewCond(&q.mu)
	return q
}

// put adds a task. Tasks added after close are dropped.
func (q *queue) put(task func()) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.closed {
		return
	}
	q.tasks = append(q.tasks, task)
	q.filled.Signal()
}

// take waits for a task. It returns false once the queue is closed and empty.
func (q *queue) take() (func(), bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for len(q.tasks) == 0 && !q.closed {
		q.filled.Wait()
	}
	if len(q.tasks) == 0 {
		return nil, false
	}
	task := q.tasks[0]
	q.tasks = q.tasks[1:]
	return task, true
}

func (q *queue) close() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.closed = true
	q.filled.Broadcast()
}
