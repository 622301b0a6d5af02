// Package startwindow limits the start orders of a leader that wait for their answers.
//
// If a leader sends more orders at once than its processor and network can handle, all of
// them time out. The limit is halved while more than a tenth of the recent starts are
// overdue. It is not reduced further: with half of the orders unanswered by workers that
// fail, a window that closed made half of the jobs fail in a trial.
//
// # Usage
//
//	w := startwindow.New(32)
//	if w.HasCapacity(now) {
//		s := w.Add(now)
//	}
//	w.Answer(s, now)
package startwindow

import "time"

const (
	// pendingDuration limits how long a start counts as pending, so that workers that do not
	// answer delay starts on other workers only briefly.
	pendingDuration = 100 * time.Millisecond
	// overdueAfter is the time after which a start without an answer is overdue. It is below
	// the time-out of orders, 300 ms.
	overdueAfter = 250 * time.Millisecond
	// maxOverdueFraction of the starts of the last measureDuration may be overdue. Of fewer
	// than minJudgedStarts, some are overdue by chance.
	maxOverdueFraction = 0.1
	minJudgedStarts    = 20
	measureDuration    = 2 * time.Second
	// defaultLimit applies if no limit is given.
	defaultLimit = 64
)

// Start is a start order.
type Start struct {
	sentAt   time.Time
	pending  bool
	answered bool
}

// judgment tells whether a start that was sent at a time was answered too late or not at all.
type judgment struct {
	sentAt  time.Time
	overdue bool
}

// Window is the state of a leader's starts. It is not safe for concurrent use.
type Window struct {
	limit     int
	pending   int
	sent      []*Start // in order of sending, while they may be pending
	unjudged  []*Start // in order of sending, while they may become overdue
	judgments []judgment
	overdue   int // among judgments
}

// New returns a window for a limit of pending starts.
func New(limit int) Window {
	if limit <= 0 {
		limit = defaultLimit
	}
	return Window{limit: limit}
}

// HasCapacity reports whether another start may be sent.
func (w *Window) HasCapacity(now time.Time) bool {
	for len(w.sent) > 0 && (!w.sent[0].pending || now.Sub(w.sent[0].sentAt) >= pendingDuration) {
		w.release(w.sent[0])
		w.sent[0] = nil
		w.sent = w.sent[1:]
	}
	return w.pending < w.Limit(now)
}

// Limit returns the limit of pending starts now.
func (w *Window) Limit(now time.Time) int {
	for len(w.unjudged) > 0 && (w.unjudged[0].answered || now.Sub(w.unjudged[0].sentAt) >= overdueAfter) {
		w.judgments = append(w.judgments, judgment{w.unjudged[0].sentAt, !w.unjudged[0].answered})
		if !w.unjudged[0].answered {
			w.overdue++
		}
		w.unjudged[0] = nil
		w.unjudged = w.unjudged[1:]
	}
	for len(w.judgments) > 0 && now.Sub(w.judgments[0].sentAt) >= measureDuration {
		if w.judgments[0].overdue {
			w.overdue--
		}
		w.judgments = w.judgments[1:]
	}
	if len(w.judgments) >= minJudgedStarts && float64(w.overdue) > maxOverdueFraction*float64(len(w.judgments)) {
		return max(1, w.limit/2)
	}
	return w.limit
}

// Add counts a start as pending.
func (w *Window) Add(now time.Time) *Start {
	s := &Start{sentAt: now, pending: true}
	w.sent = append(w.sent, s)
	w.unjudged = append(w.unjudged, s)
	w.pending++
	return s
}

// Answer records the outcome of a start: an answer, or the end of its time-out. It is overdue
// if that comes too late. A nil start, of a run that another leader started, is ignored.
func (w *Window) Answer(s *Start, now time.Time) {
	if s == nil {
		return
	}
	s.answered = now.Sub(s.sentAt) < overdueAfter
	w.release(s)
}

// release counts a start as no longer pending.
func (w *Window) release(s *Start) {
	if s.pending {
		s.pending = false
		w.pending--
	}
}
