package workerstandin

import (
	"fmt"
	"time"

	"fuchsiacross/model"
	"fuchsiacross/workerv1"
)

// admission is one reason against a start.
type admission struct {
	rule   Rule
	detail string
}

// startFaults returns every reason against a start.
func (w *Worker) startFaults(start *workerv1.Start, a model.Attempt, resources model.Resources) []admission {
	var faults []admission
	add := func(rule Rule, format string, args ...any) {
		faults = append(faults, admission{rule, fmt.Sprintf(format, args...)})
	}
	if term := model.Term(start.GetTerm()); !w.granted || term != w.term {
		add(RuleOlderTerm, "term %d is not the current term %d", term, w.term)
	}
	if reason, dead := w.tombstones[a]; dead {
		add(RuleFencedAttempt, "the attempt never starts: %s", reason)
	}
	grace := time.Duration(leaveGraceMilliseconds) * time.Millisecond
	if !w.leavingAt.IsZero() && time.Since(w.leavingAt) > grace {
		add(RuleStartWhenLeaving, "the worker announced %d ms ago that it leaves", time.Since(w.leavingAt).Milliseconds())
	}
	if free := w.options.Capacity.Sub(w.used); !resources.Fits(free) {
		add(RuleOvercommitted, "not enough %s is free", resources.FirstExceeded(free))
	}
	return faults
}
