package dispatch

import "slices"

// storedParts tells which parts of a job's progress are in the store.
//
// A leader that loads them combines all parts, and what is done or has failed stays so: an
// outdated part beside newer ones does no harm. Progress that is too large for one save is
// therefore divided among several. Its parts get numbers that are not in use; the first part,
// which has the state, comes last, and then the earlier parts are removed.
type storedParts struct {
	numbers  []int          // that the store may hold, sorted
	complete []int          // that hold the latest progress that is saved completely, sorted
	pending  []progressPart // of a division that is under way, without those in a save already
}

// addLoaded records a part that was loaded.
func (p *storedParts) addLoaded(number int) {
	p.numbers = addNumber(p.numbers, number)
	p.complete = addNumber(p.complete, number)
}

// setComplete records that the parts with the given numbers, which are sorted, are stored and hold
// the job's progress.
func (p *storedParts) setComplete(numbers []int) {
	p.complete = numbers
	for _, n := range numbers {
		p.numbers = addNumber(p.numbers, n)
	}
}

// obsolete returns the numbers of parts that may be removed.
func (p *storedParts) obsolete() []int {
	var list []int
	for _, n := range p.numbers {
		if _, found := slices.BinarySearch(p.complete, n); !found {
			list = append(list, n)
		}
	}
	return list
}

// remove records that a part was removed.
func (p *storedParts) remove(number int) {
	if at, found := slices.BinarySearch(p.numbers, number); found {
		p.numbers = slices.Delete(p.numbers, at, at+1)
	}
}

func addNumber(list []int, number int) []int {
	at, found := slices.BinarySearch(list, number)
	if found {
		return list
	}
	return slices.Insert(list, at, number)
}

// divide begins to write progress with several saves.
func (p *storedParts) divide(parts []progressPart) {
	first := 1
	if len(p.numbers) > 0 && slices.ContainsFunc(p.numbers, func(n int) bool { return n >= 1 && n <= len(parts) }) {
		first = p.numbers[len(p.numbers)-1] + 1
	}
	head := progressPart{Progress{ID: parts[0].ID, Started: parts[0].Started}, partBytes}
	for i := range parts {
		parts[i].Part = first + i
	}
	p.pending = append(parts, head)
}

// addPendingParts adds parts of the divided progress to a save, as far as there is room.
func (r *Reducer) addPendingParts(save *Save, room *saveRoom) {
	j := r.dividedJob
	if j == nil || len(j.parts.pending) == 0 || len(r.savingJobs) == r.maxSavedJobs {
		return
	}
	n := 0
	for n < len(j.parts.pending) && room.has(1, j.parts.pending[n].bytes) {
		part := j.parts.pending[n]
		room.take(1, part.bytes)
		save.Progress = append(save.Progress, part.Progress)
		r.dividedNumbers = addNumber(r.dividedNumbers, part.Part)
		j.parts.numbers = addNumber(j.parts.numbers, part.Part)
		n++
	}
	j.parts.pending = j.parts.pending[n:]
	saved := savedJob{job: j}
	if len(j.parts.pending) == 0 {
		saved.numbers, saved.starts, r.dividedStarts = r.dividedNumbers, r.dividedStarts, nil
	}
	r.savingJobs = append(r.savingJobs, saved)
}

// abandonDivision gives up the divided progress, which is saved anew: it has been replaced, or the
// store refuses a save. The ends that it covers are not acknowledged.
func (r *Reducer) abandonDivision() {
	if r.dividedJob != nil {
		r.unsavedJobs[r.dividedJob] = struct{}{}
		r.dividedJob.parts.pending = nil
		r.returnUnrecordedStarts(r.dividedJob, r.dividedStarts)
		r.dividedStarts = nil
	}
	r.dividedJob, r.dividedNumbers, r.deferredMarks = nil, nil, nil
}

// addPartRemovals adds the removal of parts that newer ones have replaced to a save.
func (r *Reducer) addPartRemovals(save *Save, room *saveRoom) {
	for j := range r.obsoleteParts {
		if slices.ContainsFunc(r.savingJobs, func(s savedJob) bool { return s.job == j }) || j == r.dividedJob {
			continue
		}
		for _, n := range j.parts.obsolete() {
			if !room.has(1, 0) {
				return
			}
			room.take(1, 0)
			save.RemovedParts = append(save.RemovedParts, ProgressPart{j.job.ID, n})
		}
	}
}

// recordParts records the parts that a save has stored and removed.
func (r *Reducer) recordParts(saved *Save) {
	for _, s := range r.savingJobs {
		if s.numbers == nil {
			continue // a division that is under way
		}
		if s.job == r.dividedJob && len(s.job.parts.pending) == 0 {
			r.dividedJob, r.dividedNumbers = nil, nil
		}
		s.job.savedState, s.job.rejectedVersion = s.state, 0
		s.job.parts.setComplete(s.numbers)
		r.noteObsoleteParts(s.job)
	}
	for _, removed := range saved.RemovedParts {
		if j := r.jobs[removed.ID]; j != nil {
			j.parts.remove(removed.Part)
			r.noteObsoleteParts(j)
		}
	}
}

func (r *Reducer) noteObsoleteParts(j *jobState) {
	if len(j.parts.numbers) > len(j.parts.complete) {
		r.obsoleteParts[j] = struct{}{}
	} else {
		delete(r.obsoleteParts, j)
	}
}

// hasUnsavedProgress reports whether the progress of any job has changed since the last save.
func (r *Reducer) hasUnsavedProgress() bool { return len(r.unsavedJobs) > 0 || r.dividedJob != nil }

// saveRoom is what a save has room for.
type saveRoom struct{ entries, bytes int }

func (s *saveRoom) has(entries, bytes int) bool { return entries <= s.entries && bytes <= s.bytes }

func (s *saveRoom) take(entries, bytes int) { s.entries, s.bytes = s.entries-entries, s.bytes-bytes }
