package dispatch

import "time"

const (
	// startAnswerWindow limits how long a start counts as pending, so that workers that do not
	// answer delay starts on other workers only briefly.
	startAnswerWindow = 100 * time.Millisecond
	// defaultMaxPendingStarts applies if the options give no number.
	defaultMaxPendingStarts = 64
)

// startWindow limits the start orders without an answer. If a leader sends more orders at once
// than its processor and network can handle, all of them time out.
type startWindow struct {
	limit   int
	pending int
	sent    []*run // in order of sending; not all of them are still pending
}

func newStartWindow(limit int) startWindow {
	if limit <= 0 {
		limit = defaultMaxPendingStarts
	}
	return startWindow{limit: limit}
}

// hasCapacity reports whether another start may be sent.
func (w *startWindow) hasCapacity(now time.Time) bool {
	for len(w.sent) > 0 && (!w.sent[0].awaitsAnswer || now.Sub(w.sent[0].orderedAt) >= startAnswerWindow) {
		w.release(w.sent[0])
		w.sent[0] = nil
		w.sent = w.sent[1:]
	}
	return w.pending < w.limit
}

// add counts a start as pending.
func (w *startWindow) add(r *run) {
	r.awaitsAnswer = true
	w.sent = append(w.sent, r)
	w.pending++
}

// release counts a start as no longer pending.
func (w *startWindow) release(r *run) {
	if r.awaitsAnswer {
		r.awaitsAnswer = false
		w.pending--
	}
}
