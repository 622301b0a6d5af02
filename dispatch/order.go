package dispatch

import (
	"slices"
	"time"

	"fuchsiacross/job"
)

// lateFactor: a job is worth a fraction until three times its objective and
// nothing after, by the users' pages.
const lateFactor = 3

const milliPerCore = 1000

// planInterval is after how many complete steps of a queue its jobs are planned
// anew.
const planInterval = 8

// grade tells whether a job can still meet its objective.
type grade int

const (
	gradeInTime grade = iota
	gradeLate
	gradeWorthless
)

// candidate is a waiting step in the order of service.
type candidate struct {
	step     *stepState
	grade    grade
	deadline time.Time
	left     float64 // expected core-seconds until the occurrence is complete
}

// plan computes what the order of service needs of a job and does not change
// while its queue's policy stays the same.
func (j *jobState) plan(q job.Queue) {
	j.queue = q
	j.planned = j.forecast.version
	steps := j.job.Definition.Steps
	longest := 0.0
	chain := make([]float64, len(steps))
	for i, s := range steps {
		for _, before := range s.After {
			chain[i] = max(chain[i], chain[before])
		}
		chain[i] += j.forecast.milliseconds(s.EstimateMilliseconds)
		longest = max(longest, chain[i])
	}
	j.objective = milliseconds(longest*max(1, q.Stretch) + float64(q.LatencyMilliseconds))
	rest := make([]float64, len(steps))
	j.rest = make([]time.Duration, len(steps))
	for i := len(steps) - 1; i >= 0; i-- {
		rest[i] += j.forecast.milliseconds(steps[i].EstimateMilliseconds)
		for _, before := range steps[i].After {
			rest[before] = max(rest[before], rest[i])
		}
		j.rest[i] = milliseconds(rest[i])
	}
}

// expected is how long a task of the step is expected to take.
func (s *stepState) expected() time.Duration {
	if f := s.job.forecast; s.length == 0 || f.version >= s.forecast+planInterval {
		s.length, s.forecast = milliseconds(f.milliseconds(s.step.EstimateMilliseconds)), f.version
	}
	return s.length
}

func milliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// due is the time from which an occurrence's objective counts.
func (s *stepState) due() time.Time {
	d := &s.job.job.Definition
	if d.Occurrences == 0 {
		return s.job.job.AcceptedAt
	}
	return time.UnixMilli(d.FirstDueMilliseconds + s.id.Occurrence*d.IntervalMilliseconds)
}

func (r *Reducer) candidate(s *stepState) candidate {
	if s.job.forecast.version >= s.job.planned+planInterval {
		s.job.plan(s.job.queue)
	}
	due := s.due()
	c := candidate{step: s, deadline: due.Add(s.job.objective)}
	done := r.now.Add(s.job.rest[s.id.Step])
	switch {
	case done.After(due.Add(lateFactor * s.job.objective)):
		c.grade = gradeWorthless
	case done.After(c.deadline):
		c.grade = gradeLate
	}
	if c.grade != gradeInTime {
		for _, o := range s.occurrence.steps {
			c.left += float64(o.left) * float64(o.step.Demand.MilliCPU) * o.expected().Seconds() / milliPerCore
		}
	}
	return c
}

// order sorts the waiting steps: jobs that can be in time before the others,
// then by priority, then by deadline. Jobs that are late all earn the same part
// of their worth, so those that need the least come first.
func (r *Reducer) order() []candidate {
	list := r.advice.order[:0]
	for s := range r.waiting {
		list = append(list, r.candidate(s))
	}
	slices.SortFunc(list, func(a, b candidate) int {
		if r.policy.FirstCome {
			if n := a.step.due().Compare(b.step.due()); n != 0 {
				return n
			}
			return a.step.id.Compare(b.step.id)
		}
		if a.grade != b.grade {
			return compare(a.grade, b.grade)
		}
		if p, q := a.step.job.queue.Priority, b.step.job.queue.Priority; p != q {
			return compare(p, q)
		}
		if a.grade != gradeInTime && a.left != b.left {
			return compare(a.left, b.left)
		}
		if n := a.deadline.Compare(b.deadline); n != 0 {
			return n
		}
		return a.step.id.Compare(b.step.id)
	})
	return list
}
