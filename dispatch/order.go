package dispatch

import (
	"slices"
	"time"

	"fuchsiacross/job"
)

// maxLatenessFactor times its objective is the time until which a late job earns a fraction of
// its worth, according to the users' documentation. After that it earns nothing.
const maxLatenessFactor = 3

// stepsPerReplan is the number of completed steps of a queue after which its jobs are planned
// again.
const stepsPerReplan = 8

// grade tells whether a job can still meet its objective.
type grade int

const (
	gradeInTime  grade = iota
	gradeLate          // earns a fraction of its worth
	gradeTooLate       // earns nothing
)

// candidate is a waiting step with its sort keys for the service order.
type candidate struct {
	step     *stepState
	grade    grade
	deadline time.Time
	beyond   bool    // of a job beyond its tenant's share
	overdue  bool    // passed over for as long as it may be, and first in turn
	lateness float64 // time since the job was due, as a multiple of its objective
}

// plan computes the objective of a job and the remaining time from each of its steps. Both
// depend only on the policy and the forecast of its queue.
func (j *jobState) plan(q job.Queue) {
	j.queue = q
	j.planVersion = j.forecast.Version()
	steps := j.job.Definition.Steps
	longest := 0.0
	chain := make([]float64, len(steps))
	for i, s := range steps {
		for _, before := range s.After {
			chain[i] = max(chain[i], chain[before])
		}
		chain[i] += j.forecast.CorrectedMilliseconds(s.EstimateMilliseconds)
		longest = max(longest, chain[i])
	}
	j.objective = milliseconds(longest*max(1, q.Stretch) + float64(q.LatencyMilliseconds))
	remaining := make([]float64, len(steps))
	j.remainingTimes = make([]time.Duration, len(steps))
	for i := len(steps) - 1; i >= 0; i-- {
		remaining[i] += j.forecast.CorrectedMilliseconds(steps[i].EstimateMilliseconds)
		for _, before := range steps[i].After {
			remaining[before] = max(remaining[before], remaining[i])
		}
		j.remainingTimes[i] = milliseconds(remaining[i])
	}
}

// expectedLength returns how long a task of the step is expected to take.
func (s *stepState) expectedLength() time.Duration {
	if f := s.job.forecast; s.cachedLength == 0 || f.Version() >= s.lengthVersion+stepsPerReplan {
		s.cachedLength, s.lengthVersion = milliseconds(f.CorrectedMilliseconds(s.step.EstimateMilliseconds)), f.Version()
	}
	return s.cachedLength
}

func milliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// dueTime returns the time at which the objective of an occurrence starts to count.
func (s *stepState) dueTime() time.Time {
	d := &s.job.job.Definition
	if d.Occurrences == 0 {
		return s.job.job.AcceptedAt
	}
	return time.UnixMilli(d.FirstDueMilliseconds + s.id.Occurrence*d.IntervalMilliseconds)
}

// newCandidate computes the sort keys of a waiting step.
func (r *Reducer) newCandidate(s *stepState) candidate {
	if s.job.forecast.Version() >= s.job.planVersion+stepsPerReplan {
		s.job.plan(s.job.queue)
	}
	due := s.dueTime()
	c := candidate{step: s, beyond: s.job.beyondShare, deadline: due.Add(s.job.objective), lateness: float64(r.now.Sub(due)) / float64(max(1, s.job.objective))}
	expectedEnd := r.now.Add(s.job.remainingTimes[s.id.Step])
	switch {
	case expectedEnd.After(due.Add(maxLatenessFactor * s.job.objective)):
		c.grade = gradeTooLate
	case expectedEnd.After(c.deadline):
		c.grade = gradeLate
	}
	return c
}

// sortCandidates sorts the waiting steps: jobs within their tenant's share come first, then jobs
// that can be in time, then by priority and by deadline; beyond the shares, the use of the tenants
// goes before the deadline. Late jobs all earn the same fraction of their worth. Those that
// are late by the smallest part of their objective come first: under lasting overload the
// others would end too late. The order does not depend on the size of a job, since the largest
// would otherwise be served only when no other waits. Steps that have been passed over for too
// long go before all but urgent ones.
func (r *Reducer) sortCandidates() []candidate {
	list := r.advice.candidates[:0]
	for s := range r.waitingSteps {
		list = append(list, r.newCandidate(s))
	}
	slices.SortFunc(list, func(a, b candidate) int {
		if r.policy.FirstComeFirstServed {
			if n := a.step.dueTime().Compare(b.step.dueTime()); n != 0 {
				return n
			}
			return a.step.id.Compare(b.step.id)
		}
		if a.beyond != b.beyond {
			return compareBool(a.beyond, b.beyond)
		}
		if a.grade != b.grade {
			return compare(a.grade, b.grade)
		}
		if p, q := a.step.job.queue.Priority, b.step.job.queue.Priority; p != q {
			return compare(p, q)
		}
		if a.grade == gradeLate && a.lateness != b.lateness {
			return compare(a.lateness, b.lateness)
		}
		if n := a.deadline.Compare(b.deadline); n != 0 {
			return n
		}
		return a.step.id.Compare(b.step.id)
	})
	if !r.policy.FirstComeFirstServed {
		r.interleaveTenants(list)
		r.promoteOverdue(list)
	}
	return list
}
