package dispatch

import (
	"cmp"
	"maps"
	"slices"

	"fuchsiacross/job"
)

// progress returns the durable part of a job's state.
func (j *jobState) progress() Progress {
	p := Progress{ID: j.job.ID, State: j.state, Started: j.started}
	if j.closed() {
		return p
	}
	if j.isScheduled() {
		p.CompletedOccurrences = slices.Clone(j.completedOccurrences.ranges)
	}
	for _, k := range slices.Sorted(maps.Keys(j.occurrences)) {
		for i, s := range j.occurrences[k].steps {
			sp := StepProgress{Occurrence: k, Step: i}
			if s.tasksLeft < len(s.tasks) {
				sp.Done = make([]byte, (len(s.tasks)+7)/8)
			}
			for n := range s.tasks {
				if s.tasks[n].done {
					sp.Done[n/8] |= 1 << (n % 8)
				} else if len(s.tasks[n].failures) > 0 {
					sp.Failures = append(sp.Failures, TaskFailures{Index: n, Runs: s.tasks[n].failures})
				}
			}
			if !s.complete() && j.queue.RequiresAdvice && s.advice.stored {
				known := s.advice.knownWorkers()
				sp.AllowedWorkers, sp.DeniedWorkers = known.allowed, known.denied
			}
			if !sp.empty() {
				p.Steps = append(p.Steps, sp)
			}
		}
	}
	return p
}

// restore sets the state of a job from a part of its saved progress.
func (j *jobState) restore(p Progress) {
	j.storedParts = max(j.storedParts, p.Part+1)
	if p.Part == 0 {
		j.state, j.savedState, j.started = p.State, p.State, p.Started
	}
	if j.closed() {
		j.job.Definition = job.Definition{Occurrences: j.job.Definition.Occurrences, Steps: j.job.Definition.Steps}
		return
	}
	for _, r := range p.CompletedOccurrences {
		j.completedOccurrences.add(OccurrenceRange{max(r.First, 0), min(r.Last, j.job.Definition.Occurrences-1)})
	}
	for _, sp := range p.Steps {
		if sp.Step < 0 || sp.Step >= len(j.job.Definition.Steps) {
			continue
		}
		o := j.occurrence(sp.Occurrence)
		s := o.steps[sp.Step]
		for n := range s.tasks {
			if n/8 < len(sp.Done) && sp.Done[n/8]&(1<<(n%8)) != 0 && !s.tasks[n].done {
				s.tasks[n].done = true
				s.tasksLeft--
				if s.complete() {
					o.stepsLeft--
				}
			}
		}
		for _, f := range sp.Failures {
			if f.Index >= 0 && f.Index < len(s.tasks) {
				s.tasks[f.Index].failures = append(s.tasks[f.Index].failures, f.Runs...)
			}
		}
		if o.stepsLeft == 0 {
			j.completeOccurrence(sp.Occurrence)
		}
	}
}

// completeOccurrence records that all steps of an occurrence are complete. The state of those
// of a scheduled job is dropped, since there is no limit to their number.
func (j *jobState) completeOccurrence(k int64) {
	j.completedOccurrences.add(OccurrenceRange{k, k})
	if j.isScheduled() {
		delete(j.occurrences, k)
	}
}

// Upper bounds of the encoded size of progress, in bytes.
const (
	partBytes     = 64 // of a part without its steps and ranges
	rangeBytes    = 18
	stepBytes     = 32 // of a step without its lists
	failuresBytes = 10 // of the failures of one task without the run numbers
	runBytes      = 9
	workerBytes   = 3 // in addition to the ID
)

func (p *StepProgress) empty() bool {
	return p.Done == nil && p.Failures == nil && p.AllowedWorkers == nil && p.DeniedWorkers == nil
}

func (p *StepProgress) adviceBytes() int {
	n := 0
	for _, id := range p.AllowedWorkers {
		n += workerBytes + len(id)
	}
	for _, id := range p.DeniedWorkers {
		n += workerBytes + len(id)
	}
	return n
}

// split divides the progress of a job into parts whose encoding has at most limit bytes each,
// and returns them with the sum of their sizes. Advice that does not fit into one part is left
// out: the next leader requests it again.
func (p Progress) split(limit int) (parts []Progress, total int) {
	part, size := Progress{ID: p.ID, State: p.State, Started: p.Started}, partBytes
	reserve := func(bytes int) {
		if size+bytes > limit && size > partBytes {
			parts, total = append(parts, part), total+size
			part, size = Progress{ID: p.ID, Part: len(parts)}, partBytes
		}
		size += bytes
	}
	for _, r := range p.CompletedOccurrences {
		reserve(rangeBytes)
		part.CompletedOccurrences = append(part.CompletedOccurrences, r)
	}
	for _, sp := range p.Steps {
		failures := sp.Failures
		sp.Failures = nil
		if sp.adviceBytes() > limit-partBytes-stepBytes-len(sp.Done) {
			sp.AllowedWorkers, sp.DeniedWorkers = nil, nil
		}
		if !sp.empty() || len(failures) > 0 {
			reserve(stepBytes + len(sp.Done) + sp.adviceBytes())
			part.Steps = append(part.Steps, sp)
		}
		for _, f := range failures {
			bytes := failuresBytes + runBytes*len(f.Runs)
			if size+bytes > limit {
				reserve(stepBytes + bytes)
				part.Steps = append(part.Steps, StepProgress{Occurrence: sp.Occurrence, Step: sp.Step})
			} else {
				size += bytes
			}
			last := &part.Steps[len(part.Steps)-1]
			last.Failures = append(last.Failures, f)
		}
	}
	return append(parts, part), total + size
}

// sortProgress orders the parts of the progress of all jobs, so that the first part of a job
// comes first.
func sortProgress(parts []Progress) {
	slices.SortFunc(parts, func(a, b Progress) int {
		return cmp.Or(cmp.Compare(a.ID, b.ID), cmp.Compare(a.Part, b.Part))
	})
}
