package dispatch

import (
	"fmt"
	"time"
)

const (
	// explainInterval is between two log lines that say why a step waits.
	explainInterval = 2 * time.Second
	// explainMost bounds these lines for one pass.
	explainMost = 10
)

// explain notes why a step still waits: on-call engineers see from it whether
// room, advice or other jobs were in the way.
func (p *pass) explain(c candidate, missing, chosen int) {
	s := c.step
	if s.explainAt.IsZero() {
		s.explainAt = s.openedAt.Add(explainInterval)
	}
	if p.now.Before(s.explainAt) || p.explained == explainMost {
		return
	}
	p.explained++
	s.explainAt = p.now.Add(explainInterval)
	may, fitting, reserved := 0, 0, 0
	p.each(s, func(w *worker, _ *ticket) {
		may++
		if !s.step.Allocation().Fits(w.roomLeft) {
			return
		}
		if w.reservedFor != nil && w.reservedFor != s {
			reserved++
			return
		}
		fitting += fits(s.step.Allocation(), w.roomLeft)
	})
	p.note(Note{
		Kind: NoteStepWaits, Job: s.id.Job, Age: p.now.Sub(s.openedAt),
		Detail: fmt.Sprintf(
			"step %d lacks %d tasks: %d workers may run it, %d reserved for others, room for %d tasks, %d chosen, %d tickets to renew, %s",
			s.id.Step, missing, may, reserved, fitting, chosen, len(s.advice.renew), c.grade,
		),
	})
}

// String names a grade in log lines.
func (g grade) String() string {
	switch g {
	case gradeInTime:
		return "in time"
	case gradeLate:
		return "late"
	}
	return "of no more worth"
}
