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
			sp.Starts = s.startRecords()
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
	j.parts.addLoaded(p.Part)
	if p.Part == 0 {
		j.state, j.savedState = p.State, p.State
	}
	j.started = j.started || p.Started
	if j.closed() {
		j.job.Definition = job.Definition{Occurrences: j.job.Definition.Occurrences, Steps: j.job.Definition.Steps}
		return
	}
	for _, r := range p.CompletedOccurrences {
		j.completedOccurrences.add(OccurrenceRange{max(r.First, 0), min(r.Last, j.job.Definition.Occurrences-1)})
	}
	if len(p.CompletedOccurrences) > 0 {
		// An outdated part may have told that they were open.
		maps.DeleteFunc(j.occurrences, func(k int64, _ *occurrence) bool { return j.completedOccurrences.contains(k) })
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
				t := &s.tasks[f.Index]
				for _, run := range f.Runs {
					if !slices.Contains(t.failures, run) {
						t.failures = append(t.failures, run)
					}
				}
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
	workerBytes   = 3  // in addition to the ID
	startBytes    = 20 // in addition to the ID of the worker
)

func (p *StepProgress) empty() bool {
	return p.Done == nil && p.Failures == nil && p.Starts == nil && p.AllowedWorkers == nil && p.DeniedWorkers == nil
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

// maxAdviceBytes limits the advice in the progress of a job. It saves the next leader calls, but
// grows with the number of workers for each open step, unlike the rest.
const maxAdviceBytes = maxSaveBytes / 4

// progressPart is a part of a job's progress with an upper bound of its encoded size.
type progressPart struct {
	Progress
	bytes int
}

// progressSplitter divides progress into parts of at most limit bytes.
type progressSplitter struct {
	limit int
	parts []progressPart
}

// last returns the part that is being filled.
func (p *progressSplitter) last() *progressPart { return &p.parts[len(p.parts)-1] }

// reserve makes room in the last part, or begins another one.
func (p *progressSplitter) reserve(bytes int) {
	if p.last().bytes+bytes > p.limit && p.last().bytes > partBytes {
		p.parts = append(p.parts, progressPart{Progress{ID: p.parts[0].ID, Part: len(p.parts), Started: p.parts[0].Started}, partBytes})
	}
	p.last().bytes += bytes
}

// stepFor returns the step of the last part to which to add an element of a list of a step. It
// begins another part if the element does not fit.
func (p *progressSplitter) stepFor(sp *StepProgress, bytes int) *StepProgress {
	steps := p.last().Steps
	continues := len(steps) > 0 && steps[len(steps)-1].Occurrence == sp.Occurrence && steps[len(steps)-1].Step == sp.Step
	if continues && p.last().bytes+bytes <= p.limit {
		p.last().bytes += bytes
	} else {
		p.reserve(stepBytes + bytes)
		p.last().Steps = append(p.last().Steps, StepProgress{Occurrence: sp.Occurrence, Step: sp.Step})
	}
	return &p.last().Steps[len(p.last().Steps)-1]
}

// addFailures adds the failures of a task, which may take several parts.
func (p *progressSplitter) addFailures(sp *StepProgress, f TaskFailures) {
	perPart := max(1, (p.limit-partBytes-stepBytes-failuresBytes)/runBytes)
	for runs := range slices.Chunk(f.Runs, perPart) {
		step := p.stepFor(sp, failuresBytes+runBytes*len(runs))
		step.Failures = append(step.Failures, TaskFailures{f.Index, runs})
	}
}

// split divides the progress of a job into parts whose encoding has at most limit bytes each,
// and returns them with the sum of their sizes. Advice that exceeds maxAdviceBytes, or for which
// a save has no room besides the rest, is left out: the next leader requests it again.
func (p Progress) split(limit int) (parts []progressPart, total int) {
	s := progressSplitter{limit, []progressPart{{Progress{ID: p.ID, State: p.State, Started: p.Started}, partBytes}}}
	for _, r := range p.CompletedOccurrences {
		s.reserve(rangeBytes)
		s.last().CompletedOccurrences = append(s.last().CompletedOccurrences, r)
	}
	for i := range p.Steps {
		sp := &p.Steps[i]
		if sp.Done != nil {
			s.reserve(stepBytes + len(sp.Done))
			s.last().Steps = append(s.last().Steps, StepProgress{Occurrence: sp.Occurrence, Step: sp.Step, Done: sp.Done})
		}
		for _, f := range sp.Failures {
			s.addFailures(sp, f)
		}
		for _, start := range sp.Starts {
			step := s.stepFor(sp, startBytes+len(start.Worker))
			step.Starts = append(step.Starts, start)
		}
	}
	total = totalBytes(s.parts)
	advice := 0
	for i := range p.Steps {
		sp := &p.Steps[i]
		bytes := stepBytes + sp.adviceBytes()
		if bytes == stepBytes || partBytes+bytes > limit {
			continue
		}
		if advice+bytes > maxAdviceBytes || total+partBytes+bytes > maxSaveBytes || len(s.parts) == maxSaveEntries {
			break
		}
		s.reserve(bytes)
		s.last().Steps = append(s.last().Steps, StepProgress{Occurrence: sp.Occurrence, Step: sp.Step, AllowedWorkers: sp.AllowedWorkers, DeniedWorkers: sp.DeniedWorkers})
		advice, total = advice+bytes, totalBytes(s.parts)
	}
	return s.parts, total
}

func totalBytes(parts []progressPart) int {
	n := 0
	for i := range parts {
		n += parts[i].bytes
	}
	return n
}

// sortProgress orders the parts of the progress of all jobs, so that the first part of a job
// comes first.
func sortProgress(parts []Progress) {
	slices.SortFunc(parts, func(a, b Progress) int {
		return cmp.Or(cmp.Compare(a.ID, b.ID), cmp.Compare(a.Part, b.Part))
	})
}
