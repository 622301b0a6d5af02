package dispatch

import (
	"slices"
	"time"
)

// overdueFraction of the capacity goes to overdue steps. A step that needs more is served alone.
const overdueFraction = 0.05

// notePassedOver records that steps which opened later were started while a step was blocked.
// Urgent steps do not count: they go before all others.
func (r *Reducer) notePassedOver(s *stepState) {
	if !s.job.beyondShare && s.passedOverSince.IsZero() && r.latestStartedOpening.After(s.openedAt) {
		s.passedOverSince = r.now
	}
}

// recordStart records that tasks of a step were started, for notePassedOver and giveTurns.
func (r *Reducer) recordStart(s *stepState) {
	s.quotaHeldSince = time.Time{}
	if s.job.queue.Priority > urgentPriority && s.openedAt.After(r.latestStartedOpening) {
		r.latestStartedOpening = s.openedAt
	}
}

// isOverdue reports whether a blocked step has been passed over for as long as it may be, which is
// the objective of its job. From then on it goes before all steps but urgent ones in time.
func (r *Reducer) isOverdue(s *stepState) bool {
	return !s.passedOverSince.IsZero() && r.now.Sub(s.passedOverSince) >= s.job.objective
}

// promoteOverdue moves overdue steps behind the urgent ones in time, those that have been passed
// over for the longest time first, as far as overdueFraction allows.
func (r *Reducer) promoteOverdue(list []candidate) {
	var overdue []*candidate
	for i := range list {
		if c := &list[i]; !c.isUrgentInTime() && !c.beyond && r.isOverdue(c.step) {
			overdue = append(overdue, c)
		}
	}
	if len(overdue) == 0 {
		return
	}
	slices.SortFunc(overdue, func(a, b *candidate) int {
		if a.step.promoted != b.step.promoted {
			if a.step.promoted {
				return -1
			}
			return 1
		}
		if n := a.step.passedOverSince.Compare(b.step.passedOverSince); n != 0 {
			return n
		}
		return a.step.id.Compare(b.step.id)
	})
	limit, taken := r.promotedMilliCPU()
	for _, c := range overdue {
		need := int64(c.step.idleTasks()) * c.step.step.Demand.MilliCPU
		if taken > 0 && taken+need > limit {
			break
		}
		taken += need
		c.overdue = true
		if !c.step.promoted {
			c.step.promoted = true
			r.addNote(Note{Kind: NoteStepOverdue, Job: c.step.id.Job, Age: r.now.Sub(c.step.passedOverSince)})
		}
	}
	slices.SortStableFunc(list, func(a, b candidate) int { return compare(a.rank(), b.rank()) })
}

// promotedMilliCPU returns how much capacity overdue steps may take, and how much the runs of
// promoted steps use that have no waiting tasks.
func (r *Reducer) promotedMilliCPU() (limit, used int64) {
	capacity := int64(0)
	for _, w := range r.sortedWorkers {
		if !w.acceptsRuns {
			continue
		}
		capacity += w.registration.Capacity.MilliCPU
		for _, run := range w.runs {
			if run.step.promoted && run.step.idleTasks() == 0 {
				used += run.step.step.Demand.MilliCPU
			}
		}
	}
	return int64(overdueFraction * float64(capacity)), used
}

// rank returns 0 for urgent steps in time, 1 for promoted steps and 2 for all others.
func (c *candidate) rank() int {
	switch {
	case c.isUrgentInTime():
		return 0
	case c.overdue:
		return 1
	}
	return 2
}
