package main

import (
	"bufio"
	"fmt"
	"io"
	"sort"
	"strings"
	"sync"
	"time"
)

// taskRun is one run of a task, as its runner saw it.
type taskRun struct {
	task, runner string
	number       int64
	startedAt    time.Time
	endedAt      time.Time // zero while it runs
	end          string    // how it ended
	lapsed       bool      // the runner's lease lapsed after the end, before LastSeen reached it
	notedAt      time.Time // when LastSeen reached its end; zero before, and for good if lapsed
}

// record writes what was sent, answered and run to a file, and keeps all runs.
type record struct {
	mu    sync.Mutex
	out   *bufio.Writer
	began time.Time
	runs  map[string][]*taskRun // by task
}

func newRecord(out io.Writer) *record {
	return &record{out: bufio.NewWriter(out), began: time.Now(), runs: map[string][]*taskRun{}}
}

func (r *record) note(format string, values ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.write(time.Now(), format, values...)
}

// write writes a line. r.mu is held.
func (r *record) write(at time.Time, format string, values ...any) {
	_, _ = fmt.Fprintf(r.out, "%8.3f %s\n", at.Sub(r.began).Seconds(), fmt.Sprintf(format, values...))
	_ = r.out.Flush()
}

func (r *record) start(task, runner string, number int64) *taskRun {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := &taskRun{task: task, runner: runner, number: number, startedAt: time.Now()}
	r.runs[task] = append(r.runs[task], t)
	r.write(t.startedAt, "run: %s run %d starts on %s", task, number, runner)
	return t
}

func (r *record) finish(t *taskRun, how string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	t.endedAt, t.end = time.Now(), how
	r.write(t.endedAt, "run: %s run %d ends %s on %s", t.task, t.number, how, t.runner)
}

func (r *record) noted(t *taskRun) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !t.lapsed {
		t.notedAt = time.Now()
	}
}

// lapse records that the lease of an ended run's runner has lapsed. Its end no longer counts
// as taken note of.
func (r *record) lapse(t *taskRun) {
	r.mu.Lock()
	defer r.mu.Unlock()
	t.lapsed = true
}

// attempts returns how many runs a task has had.
func (r *record) attempts(task string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.runs[task])
}

// count returns the number of tasks with a run, and of those that have ended done.
func (r *record) count(prefix string) (started, done int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for task, runs := range r.runs {
		if !strings.HasPrefix(task, prefix) {
			continue
		}
		started++
		for _, run := range runs {
			if run.end == "done" {
				done++
				break
			}
		}
	}
	return started, done
}

// idleSince returns since when a task has had no run, and whether it has none now. Without
// any run it is idle from the given time.
func (r *record) idleSince(task string, from time.Time) (since time.Time, idle bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	since = from
	for _, run := range r.runs[task] {
		if run.endedAt.IsZero() {
			return time.Time{}, false
		}
		if run.endedAt.After(since) {
			since = run.endedAt
		}
	}
	return since, true
}

// twice returns the tasks whose names begin with prefix and that break TWICE: two runs at
// the same time, or a start after a run has ended done whose end was taken note of then or
// later. An end is not taken note of if the runner's lease lapsed before. It names the first such
// pair of runs of each task.
func (r *record) twice(prefix string) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	var broken []string
	for task, runs := range r.runs {
		if !strings.HasPrefix(task, prefix) {
			continue
		}
	pairs:
		for i, a := range runs {
			for _, b := range runs[i+1:] {
				endA := a.endedAt
				if endA.IsZero() {
					endA = now
				}
				switch {
				case b.startedAt.Before(endA):
					broken = append(broken, fmt.Sprintf("TWICE: %s runs on %s (run %d) and on %s (run %d) at the same time", task, a.runner, a.number, b.runner, b.number))
					break pairs
				case a.end == "done" && !a.notedAt.IsZero():
					broken = append(broken, fmt.Sprintf("TWICE: %s ended done on %s (run %d) and was started again %.2f s later on %s (run %d), as the first of %d later runs",
						task, a.runner, a.number, b.startedAt.Sub(a.endedAt).Seconds(), b.runner, b.number, len(runs)-i-1))
					break pairs
				}
			}
		}
	}
	sort.Strings(broken)
	return broken
}

// unnoted returns how many ends runners have listed for longer than wait, and how many of
// these have not been taken note of.
func (r *record) unnoted(wait time.Duration) (ends, unnoted int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, runs := range r.runs {
		for _, run := range runs {
			if run.endedAt.IsZero() || time.Since(run.endedAt) < wait {
				continue
			}
			ends++
			if run.notedAt.IsZero() {
				unnoted++
			}
		}
	}
	return ends, unnoted
}

// firstStart returns when the first run started.
func (r *record) firstStart() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	first := time.Now()
	for _, runs := range r.runs {
		if runs[0].startedAt.Before(first) {
			first = runs[0].startedAt
		}
	}
	return first
}

// isDone reports whether a run of a task has ended done.
func (r *record) isDone(task string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, run := range r.runs[task] {
		if run.end == "done" {
			return true
		}
	}
	return false
}

// failures returns the largest number of failed runs that a task of a job has had.
func (r *record) failures(id string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	most := 0
	for task, runs := range r.runs {
		failed := 0
		for _, run := range runs {
			if strings.HasPrefix(task, id+".") && run.end == "failed" {
				failed++
			}
		}
		most = max(most, failed)
	}
	return most
}
