package scenario

import (
	"fmt"
	"time"

	"fuchsiacross/callerv1"
)

// brokenInvariant is a violation of an invariant and the request that it concerns.
type brokenInvariant struct {
	request string
	message string
}

// taskKey identifies a task of a request across all its attempts.
type taskKey struct {
	request string
	task    uint32
}

// checkInvariants checks the invariants against the records of all workers
// and the answers of all loads.
func (c *cell) checkInvariants() ([]brokenInvariant, error) {
	var answered []request
	var kindOf []workKind
	for _, l := range c.loads {
		for _, r := range l.finishedRequests() {
			answered, kindOf = append(answered, r), append(kindOf, l.kind)
		}
	}
	all, err := c.readRecord() // after the answers, so that it includes their starts
	if err != nil {
		return nil, err
	}
	broken := all.findBrokenInvariants()
	started := map[taskKey]time.Time{}
	for _, e := range all.startsOf("*") { // in chronological order, so that the latest start remains
		started[taskKey{e.RequestID, e.Task}] = e.At
	}
	for i, r := range answered {
		if text := r.checkOutcome(kindOf[i], started); text != "" {
			broken = append(broken, brokenInvariant{r.id, text})
		}
	}
	return broken, nil
}

// findBrokenInvariants returns the violations that the workers' records show
// without the answers. Each worker checks only its own starts, so starts of
// different workers are compared here.
func (r workerRecord) findBrokenInvariants() []brokenInvariant {
	var broken []brokenInvariant
	for _, v := range r.violations {
		broken = append(broken, brokenInvariant{v.RequestID, fmt.Sprintf("%s on %s: %s", v.Rule, v.Worker, v.Detail)})
	}
	started := map[taskKey]recordEntry{}
	running := map[taskKey]recordEntry{}
	for _, e := range r.entries {
		key := taskKey{e.RequestID, e.Task}
		switch e.Kind {
		case "started":
			if e.Idempotent {
				continue
			}
			if previous, ok := running[key]; ok {
				broken = append(broken, brokenInvariant{e.RequestID, fmt.Sprintf("task %d runs on %s and %s at once", e.Task, previous.Worker, e.Worker)})
			}
			if previous, ok := started[key]; ok && e.TaskKind != "service" {
				broken = append(broken, brokenInvariant{e.RequestID, fmt.Sprintf("task %d started on %s and again on %s", e.Task, previous.Worker, e.Worker)})
			}
			started[key], running[key] = e, e
		case "finished", "failed", "stopped":
			if running[key].Worker == e.Worker {
				delete(running, key)
			}
		case "crashed":
			for k, runningEntry := range running {
				if runningEntry.Worker == e.Worker {
					delete(running, k)
				}
			}
		}
	}
	return broken
}

// checkOutcome returns what is wrong with the answers that a caller received, or
// "". started holds the latest start of each task.
func (r request) checkOutcome(k workKind, started map[taskKey]time.Time) string {
	starts := 0
	var latest time.Time
	for task := range k.tasks {
		at, ok := started[taskKey{r.id, task}]
		if ok {
			starts++
		}
		if at.After(latest) {
			latest = at
		}
	}
	switch {
	case r.outcome == nil && r.lastErr != nil:
		return "" // The caller received only errors.
	case r.outcome.GetStatus() == callerv1.Status_STATUS_NOT_FOUND && r.accepted:
		return "was accepted but is not found"
	case r.outcome.GetStatus() == callerv1.Status_STATUS_NOT_FOUND && k.isJournaled() && starts > 0:
		return "was never accepted but started"
	case r.outcome.GetStatus() == callerv1.Status_STATUS_NOT_FOUND:
		return ""
	case !r.final:
		return fmt.Sprintf("has no final outcome: %s, %v", r.outcome.GetStatus(), r.lastErr)
	case r.outcome.GetStatus() == callerv1.Status_STATUS_DONE && !k.isCompleteAnswer(r.id, r.outcome):
		return fmt.Sprintf("got an answer that is not the complete answer to it: %q", r.outcome.GetAnswer())
	case r.outcome.GetStatus() == callerv1.Status_STATUS_DONE && starts != int(k.tasks):
		return fmt.Sprintf("is done, but %d of %d tasks started", starts, k.tasks)
	case r.outcome.GetStatus() == callerv1.Status_STATUS_NOT_RUN && starts > 0:
		return "was reported as not run but started: " + r.outcome.GetReason()
	case r.outcome.GetStatus() == callerv1.Status_STATUS_CANCELLED && latest.After(r.outcomeAt):
		return "started after its caller received the outcome cancelled"
	case r.cancelStatus != "" && r.cancelStatus != statusName(r.outcome):
		return fmt.Sprintf("is %s in the answer to the cancellation and %s in the answer to the submission", r.cancelStatus, statusName(r.outcome))
	}
	return ""
}
