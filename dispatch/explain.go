package dispatch

import (
	"fmt"
	"time"
)

const (
	// explainInterval is the time between two log lines that explain why a step waits.
	explainInterval = 2 * time.Second
	// maxExplanations limits these lines in one pass.
	maxExplanations = 10
)

// explainWaiting logs why a step still waits, so that on-call engineers see whether capacity,
// advice or other jobs are the cause.
func (p *pass) explainWaiting(c candidate, missing, chosen int) {
	s := c.step
	if s.explainAt.IsZero() {
		s.explainAt = s.openedAt.Add(explainInterval)
	}
	if p.now.Before(s.explainAt) || p.explained == maxExplanations {
		return
	}
	p.explained++
	s.explainAt = p.now.Add(explainInterval)
	eligible, fitting, reserved := 0, 0, 0
	p.eachEligible(s, func(w *worker, _ *ticket) {
		eligible++
		if !s.step.Allocation().Fits(w.uncommitted) {
			return
		}
		if w.reservedFor != nil && w.reservedFor != s {
			reserved++
			return
		}
		fitting += fitCount(s.step.Allocation(), w.uncommitted)
	})
	avoided := 0
	if s.job.queue.MaxAttempts <= fewAttempts && !s.acceptsSuspects {
		_, avoided = p.countSuspects(s)
	}
	notAsked := 0
	if s.job.queue.RequiresAdvice {
		notAsked = p.countNotAsked(s)
	}
	passedOver := time.Duration(0)
	if !s.passedOverSince.IsZero() {
		passedOver = p.now.Sub(s.passedOverSince).Round(time.Millisecond)
	}
	p.addNote(Note{
		Kind: NoteStepWaiting, Job: s.id.Job, Age: p.now.Sub(s.openedAt),
		Detail: fmt.Sprintf(
			"step %d lacks %d tasks: %d workers may run it, %d avoided as failing, %d not asked about, %d reserved for others, room for %d tasks, %d chosen, %d tickets to renew, passed over for %s, %s",
			s.id.Step, missing, eligible, avoided, notAsked, reserved, fitting, chosen, len(s.advice.renew), passedOver, c.grade,
		),
	})
}

// countNotAsked returns how many workers could run a step, of which the advice service was not asked.
func (p *pass) countNotAsked(s *stepState) int {
	n := 0
	for _, w := range p.sortedWorkers {
		if _, asked := s.advice.asked[w]; !asked && w.acceptsRuns && s.isEligible(w) {
			n++
		}
	}
	return n
}

// String returns the text of a grade for log lines.
func (g grade) String() string {
	switch g {
	case gradeInTime:
		return "in time"
	case gradeLate:
		return "late"
	}
	return "too late"
}
