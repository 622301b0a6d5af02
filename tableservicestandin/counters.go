package tableservicestandin

import (
	"sync"
	"time"
)

// Counters are the numbers of calls since the last reset. Reads and Writes include
// calls that failed later, because of a condition or a fault, but not throttled
// calls.
type Counters struct {
	Calls       int64 // all calls, including those refused by a fault
	Reads       int64 // table reads, lists and resolves, object gets, instance lists
	Writes      int64 // table transactions, object puts and deletes
	Commits     int64 // table transactions
	RowsWritten int64 // rows of the table transactions
	Refused     int64 // calls refused by the faults Down, StoreDown and RefuseFraction
	Throttled   int64 // reads and writes above the limits
	LostAnswers int64 // commits whose answer was lost after they were carried out
	PeakCalls   int64 // highest number in one second; the seconds begin at the reset
	PeakReads   int64
	PeakWrites  int64
	Seconds     float64 // time since the reset
}

// window holds the counts of one second since the reset.
type window struct {
	calls, reads, writes int64
	second               int64
}

// counter counts calls and enforces the limits of reads and writes per second.
type counter struct {
	mu      sync.Mutex
	resetAt time.Time
	totals  Counters
	window  window
}

func newCounter() *counter { return &counter{resetAt: time.Now()} }

func (c *counter) reset() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.resetAt, c.totals, c.window = time.Now(), Counters{}, window{}
}

func (c *counter) snapshot() Counters {
	c.mu.Lock()
	defer c.mu.Unlock()
	counts := c.totals
	counts.Seconds = time.Since(c.resetAt).Seconds()
	return counts
}

// update runs f with the window of the current second and updates the peaks.
func (c *counter) update(f func(*window)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if second := int64(time.Since(c.resetAt).Seconds()); second != c.window.second {
		c.window = window{second: second}
	}
	f(&c.window)
	c.totals.PeakCalls = max(c.totals.PeakCalls, c.window.calls)
	c.totals.PeakReads = max(c.totals.PeakReads, c.window.reads)
	c.totals.PeakWrites = max(c.totals.PeakWrites, c.window.writes)
}

func (c *counter) countCall() {
	c.update(func(w *window) {
		w.calls++
		c.totals.Calls++
	})
}

func (c *counter) countRefused() { c.update(func(*window) { c.totals.Refused++ }) }

func (c *counter) countLostAnswer() { c.update(func(*window) { c.totals.LostAnswers++ }) }

// countRead counts one read and returns true, or counts a throttled call and returns
// false if the read is above the limit. A limit of 0 or less means none.
func (c *counter) countRead(limit int) (ok bool) {
	c.update(func(w *window) {
		if limit > 0 && w.reads >= int64(limit) {
			c.totals.Throttled++
			return
		}
		ok = true
		w.reads++
		c.totals.Reads++
	})
	return ok
}

// countWrite counts one write like countRead. It is a table transaction if rows is
// greater than 0, and a write to the object store otherwise.
func (c *counter) countWrite(rows, limit int) (ok bool) {
	c.update(func(w *window) {
		if limit > 0 && w.writes >= int64(limit) {
			c.totals.Throttled++
			return
		}
		ok = true
		w.writes++
		c.totals.Writes++
		c.totals.RowsWritten += int64(rows)
		if rows > 0 {
			c.totals.Commits++
		}
	})
	return ok
}
