package workerstandin

import (
	"fmt"
	"time"

	"fuchsiacross/model"
	"fuchsiacross/workerv1"
)

// startViolation is one rule that a start breaks.
type startViolation struct {
	rule   Rule
	detail string
}

// findStartViolations returns every rule that a start breaks. The caller holds
// the lock.
func (w *Worker) findStartViolations(start *workerv1.Start, a model.Attempt, resources model.Resources) []startViolation {
	var violations []startViolation
	add := func(rule Rule, format string, args ...any) {
		violations = append(violations, startViolation{rule, fmt.Sprintf(format, args...)})
	}
	if term := model.Term(start.GetTerm()); !w.leaseGranted || term != w.term {
		add(RuleStaleTerm, "term %d is not the current term %d", term, w.term)
	}
	if reason, blocked := w.tombstones[a]; blocked {
		add(RuleFencedAttempt, "the attempt never starts: %s", reason)
	}
	grace := time.Duration(leaveGraceMilliseconds) * time.Millisecond
	if !w.leaveAnnouncedAt.IsZero() && time.Since(w.leaveAnnouncedAt) > grace {
		add(RuleStartWhenLeaving, "the worker announced %d ms ago that it leaves", time.Since(w.leaveAnnouncedAt).Milliseconds())
	}
	if free := w.options.Capacity.Sub(w.reserved); !resources.Fits(free) {
		add(RuleOvercommitted, "not enough %s is free", resources.FirstExceeded(free))
	}
	return violations
}
