package election

import "time"

const (
	// A leader that has yielded may yield again only after minHandoverDelay, doubled with
	// each further time up to maxHandoverDelay, so that the leadership does not oscillate
	// between two instances whose capacities change in turn.
	minHandoverDelay = 10 * time.Second
	maxHandoverDelay = 80 * time.Second
	// forgetHandoversAfter is the time without yielding after which the delay starts anew.
	forgetHandoversAfter = 2 * maxHandoverDelay
)

// Handovers decides when an instance that has yielded a leadership may yield it again. The
// zero value allows it at once.
type Handovers struct {
	count  int
	lastAt time.Time
}

// Record records that the instance yields.
func (h *Handovers) Record(now time.Time) {
	if now.Sub(h.lastAt) >= forgetHandoversAfter {
		h.count = 0
	}
	h.count++
	h.lastAt = now
}

// Allows reports whether the instance may yield.
func (h *Handovers) Allows(now time.Time) bool {
	if h.count == 0 {
		return true
	}
	delay := minHandoverDelay
	for range h.count - 1 {
		delay = min(2*delay, maxHandoverDelay)
	}
	return now.Sub(h.lastAt) >= delay
}
