package tableservicestandin

import (
	"sync"
	"time"
)

// Counters counts what the platform was asked for. Reads and writes include
// calls that a condition or a fault made fail later, and not throttled ones.
type Counters struct {
	Calls       int64 // of any kind, those refused by a fault included
	Reads       int64 // table reads and lists, resolves, object gets, instance lists
	Writes      int64 // table transactions, object puts and deletes
	Commits     int64 // table transactions
	RowsWritten int64
	Refused     int64
	Throttled   int64
	LostAnswers int64
	PeakCalls   int64 // most in one second, seconds counted from the reset
	PeakReads   int64
	PeakWrites  int64
	Seconds     float64 // since the reset
}

// window counts within the present second.
type window struct {
	calls, reads, writes int64
	second               int64
}

type counter struct {
	mu     sync.Mutex
	since  time.Time
	counts Counters
	window window
}

func newCounter() *counter { return &counter{since: time.Now()} }

func (c *counter) reset() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.since, c.counts, c.window = time.Now(), Counters{}, window{}
}

func (c *counter) read() Counters {
	c.mu.Lock()
	defer c.mu.Unlock()
	counts := c.counts
	counts.Seconds = time.Since(c.since).Seconds()
	return counts
}

// update runs f with the window of the present second and updates the peaks.
func (c *counter) update(f func(*window)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if second := int64(time.Since(c.since).Seconds()); second != c.window.second {
		c.window = window{second: second}
	}
	f(&c.window)
	c.counts.PeakCalls = max(c.counts.PeakCalls, c.window.calls)
	c.counts.PeakReads = max(c.counts.PeakReads, c.window.reads)
	c.counts.PeakWrites = max(c.counts.PeakWrites, c.window.writes)
}

func (c *counter) call() {
	c.update(func(w *window) {
		w.calls++
		c.counts.Calls++
	})
}

func (c *counter) refused() { c.update(func(*window) { c.counts.Refused++ }) }

func (c *counter) lost() { c.update(func(*window) { c.counts.LostAnswers++ }) }

// read1 counts one read unless it is above the limit.
func (c *counter) read1(limit int) (ok bool) {
	c.update(func(w *window) {
		if limit > 0 && w.reads >= int64(limit) {
			c.counts.Throttled++
			return
		}
		ok = true
		w.reads++
		c.counts.Reads++
	})
	return ok
}

// write counts one write unless it is above the limit. Rows is 0 for objects.
func (c *counter) write(rows, limit int) (ok bool) {
	c.update(func(w *window) {
		if limit > 0 && w.writes >= int64(limit) {
			c.counts.Throttled++
			return
		}
		ok = true
		w.writes++
		c.counts.Writes++
		c.counts.RowsWritten += int64(rows)
		if rows > 0 {
			c.counts.Commits++
		}
	})
	return ok
}
