package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	leaseClockStart  = 480_000 // first reading of a runner's clock, in milliseconds
	maxHold          = 10 * time.Second
	stopTimeout      = 400 * time.Millisecond
	gangTimeout      = 3 * time.Second
	checkpointPeriod = 500 * time.Millisecond
	restoreTime      = 100 * time.Millisecond
	lastingStartup   = 300 * time.Millisecond
	remoteFactor     = 2
	leaseCheck       = 50 * time.Millisecond
)

// step is a step of a job as a client submits it, with what its tasks do.
type step struct {
	Count         int     `json:"Count"`
	CPU           int64   `json:"Cpu,omitempty"`
	MemMB         int64   `json:"MemMb,omitempty"`
	GPU           int64   `json:"Gpu,omitempty"`
	EstimateMS    float64 `json:"EstimateMs,omitempty"`
	After         []int   `json:"After,omitempty"`
	Checkpointing bool    `json:"Checkpointing,omitempty"`
	Gang          bool    `json:"Gang,omitempty"`
	SameRack      bool    `json:"SameRack,omitempty"`
	Requires      string  `json:"Requires,omitempty"`
	Affinity      string  `json:"Affinity,omitempty"`
	AntiAffinity  int     `json:"AntiAffinity,omitempty"`
	LongRunning   bool    `json:"LongRunning,omitempty"`
	MayMiss       int     `json:"MayMiss,omitempty"`

	work  time.Duration // of one task on a sound runner near its data
	fails int           // so many runs of each task fail
	crash time.Duration // a task that lasts fails so long after each start; zero means that it does not
}

// jobSpec is a submitted job.
type jobSpec struct {
	ID         string `json:"-"`
	path       string
	TaskSpec   string `json:"TaskSpec"`
	Steps      []step `json:"Steps"`
	Repeat     int64  `json:"RepeatCount,omitempty"`
	StartAtMS  int64  `json:"StartAtMs,omitempty"`
	IntervalMS int64  `json:"IntervalMs,omitempty"`

	attempts    int // MaxAttempts of its queue
	advice      bool
	sent        bool
	cancelSent  bool
	cancelledAt time.Time // when the cancellation was acknowledged
}

// taskLog is what runners have seen of one task.
type taskLog struct {
	active      map[*runner]*run
	starts      int
	failed      map[string]time.Time // runs that ended failed, by runner, incarnation and number
	noted       int                  // ends failed that were taken note of
	doneNoted   bool
	doneEnded   bool
	checkpoints map[string]bool
}

// run is one execution of a task on a runner.
type run struct {
	task     string
	id       int64
	job      *jobSpec
	step     *step
	began    time.Time // zero for a member of a gang that waits
	startAt  time.Time
	skipped  time.Duration // work that the checkpoint saved
	length   time.Duration
	stopping bool
	over     bool
	initial  string
}

func (r *run) worked(now time.Time) time.Duration {
	if r.began.IsZero() {
		return r.skipped
	}
	return min(r.length, r.skipped+max(0, now.Sub(r.began)))
}

func (r *run) percent(now time.Time) int {
	if r.step.LongRunning {
		if now.Sub(r.startAt) >= lastingStartup {
			return 100
		}
		return 0
	}
	if r.length <= 0 {
		return 100
	}
	return int(100 * r.worked(now) / r.length)
}

func (r *run) checkpoint(now time.Time) string {
	if !r.step.Checkpointing {
		return ""
	}
	n := int64(r.worked(now) / checkpointPeriod)
	if n == 0 {
		return r.initial
	}
	return fmt.Sprintf("%s~%d", stepOrTask(r), n)
}

// stepOrTask is what the checkpoint of a run belongs to: its task, or its gang.
func stepOrTask(r *run) string {
	if r.step.Gang {
		return r.task[:strings.LastIndexByte(r.task, '.')]
	}
	return r.task
}

// world is everything that the stand-ins know. One mutex guards all of it.
type world struct {
	mu          sync.Mutex
	jobs        map[string]*jobSpec
	tasks       map[string]*taskLog
	runners     []*runner
	violations  []string
	record      *os.File
	began       time.Time
	quiet       bool // runs of tasks that last are not recorded one by one
	failedRuns  int
	startedRuns int
}

func newWorld(recordPath string) (*world, error) {
	f, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	return &world{jobs: map[string]*jobSpec{}, tasks: map[string]*taskLog{}, record: f, began: time.Now()}, nil
}

// note writes a line to the record.
func (w *world) note(format string, values ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.noteLocked(format, values...)
}

func (w *world) noteLocked(format string, values ...any) {
	fmt.Fprintf(w.record, "%8.3f  %s\n", time.Since(w.began).Seconds(), fmt.Sprintf(format, values...))
}

// countBreaches returns how often a rule was broken. The caller holds the mutex.
func (w *world) countBreaches(rule string) int {
	n := 0
	for _, text := range w.violations {
		if strings.HasPrefix(text, rule+":") {
			n++
		}
	}
	return n
}

// breach records that a rule was broken. The caller holds the mutex.
func (w *world) breach(rule, format string, values ...any) {
	text := rule + ": " + fmt.Sprintf(format, values...)
	w.violations = append(w.violations, text)
	w.noteLocked("BROKEN %s", text)
}

func (w *world) task(name string) *taskLog {
	t := w.tasks[name]
	if t == nil {
		t = &taskLog{active: map[*runner]*run{}, failed: map[string]time.Time{}, checkpoints: map[string]bool{}}
		w.tasks[name] = t
	}
	return t
}

// parseTask returns the parts of a task's name.
func parseTask(name string) (job string, occurrence int64, stepNo, index int) {
	parts := strings.Split(name, ".")
	if len(parts) != 4 {
		return "", 0, 0, 0
	}
	occurrence, _ = strconv.ParseInt(parts[1], 10, 64)
	stepNo, _ = strconv.Atoi(parts[2])
	index, _ = strconv.Atoi(parts[3])
	return parts[0], occurrence, stepNo, index
}

func taskName(job string, occurrence int64, stepNo, index int) string {
	return fmt.Sprintf("%s.%d.%d.%d", job, occurrence, stepNo, index)
}

// stepDone reports whether all tasks of a step have ended done.
func (w *world) stepDone(j *jobSpec, occurrence int64, n int) bool {
	for i := range j.Steps[n].Count {
		if t := w.tasks[taskName(j.ID, occurrence, n, i)]; t == nil || !t.doneEnded {
			return false
		}
	}
	return true
}

// checkStart applies the rules to a start. The caller holds the mutex.
func (w *world) checkStart(r *runner, o *order, j *jobSpec, s *step, occurrence int64) {
	for _, other := range w.runners {
		other.lapse() // a run whose lease has ended is no run any more
	}
	t := w.task(o.Task)
	for other, active := range t.active {
		w.breach("TWICE", "%s runs on %s as %d and is started on %s as %d", o.Task, other.id, active.id, r.id, o.RunID)
	}
	if t.doneNoted {
		w.breach("TWICE", "%s is started on %s after an end done that was taken note of", o.Task, r.id)
	}
	for _, before := range s.After {
		if !w.stepDone(j, occurrence, before) {
			w.breach("ORDER", "%s is started before step %d is done", o.Task, before)
		}
	}
	if j.Repeat > 0 && time.Now().UnixMilli() < j.StartAtMS+occurrence*j.IntervalMS-250 {
		w.breach("ORDER", "%s is started before its time", o.Task)
	}
	if o.TaskSpec != j.TaskSpec {
		w.breach("UNASKED", "%s is started with another TaskSpec", o.Task)
	}
	if o.Checkpoint != "" && !w.knownCheckpoint(o, s) {
		w.breach("UNASKED", "%s is started with checkpoint %s, which isn't its own", o.Task, o.Checkpoint)
	}
	if !j.cancelledAt.IsZero() && time.Since(j.cancelledAt) > 3*time.Second {
		w.breach("UNASKED", "%s is started %s after its cancelling was acknowledged", o.Task, time.Since(j.cancelledAt))
	}
	if s.Requires != "" && s.Requires != r.kind && s.Requires != r.rack {
		w.breach("ROUTE", "%s is started on %s without label %s", o.Task, r.id, s.Requires)
	}
	same := 0
	var used, usedMem, usedGPU int64
	for _, a := range r.runs {
		used, usedMem, usedGPU = used+a.step.CPU, usedMem+a.step.MemMB, usedGPU+a.step.GPU
		if a.job == j && a.step == s && strings.HasPrefix(a.task, fmt.Sprintf("%s.%d.", j.ID, occurrence)) {
			same++
		}
	}
	if s.AntiAffinity > 0 && same+1 > s.AntiAffinity {
		w.breach("ROUTE", "%s is task %d of its step on %s, AntiAffinity is %d", o.Task, same+1, r.id, s.AntiAffinity)
	}
	if used+s.CPU > r.cpu || usedMem+s.MemMB > r.mem || usedGPU+s.GPU > r.gpu {
		w.breach("LIMIT", "%s brings %s to %d of %d cpu, %d of %d MB", o.Task, r.id, used+s.CPU, r.cpu, usedMem+s.MemMB, r.mem)
	}
	if !s.LongRunning && t.noted >= j.attempts {
		w.breach("BUDGET", "%s is started after %d failed runs", o.Task, t.noted)
	}
	t.starts++
	w.startedRuns++
}

func (w *world) knownCheckpoint(o *order, s *step) bool {
	if !s.Gang {
		return w.task(o.Task).checkpoints[o.Checkpoint]
	}
	j, occurrence, n, _ := parseTask(o.Task)
	for i := range s.Count {
		if w.task(taskName(j, occurrence, n, i)).checkpoints[o.Checkpoint] {
			return true
		}
	}
	return false
}

// running returns how many tasks of a job run. The caller holds the mutex.
func (w *world) running(id string) int {
	n := 0
	for _, r := range w.runners {
		for _, a := range r.runs {
			if a.job.ID == id {
				n++
			}
		}
	}
	return n
}

// usedCPU returns what all tasks have, in thousandths of a core. The caller holds the mutex.
func (w *world) usedCPU() int64 {
	used := int64(0)
	for _, r := range w.runners {
		for _, a := range r.runs {
			used += a.step.CPU
		}
	}
	return used
}

// usedShare returns the share of the processors of all runners that tasks have.
func (w *world) usedShare() float64 {
	var used, all int64
	for _, r := range w.runners {
		if r.gone {
			continue
		}
		all += r.cpu
		for _, a := range r.runs {
			used += a.step.CPU
		}
	}
	return float64(used) / float64(max(1, all))
}

// room returns how many tasks of a step fit the free capacity of the runners that allow selects.
func (w *world) room(s *step, allow func(*runner) bool) int {
	n := int64(0)
	for _, r := range w.runners {
		if r.gone || r.down || r.cut || !allow(r) {
			continue
		}
		cpu, mem := r.cpu, r.mem
		for _, a := range r.runs {
			cpu, mem = cpu-a.step.CPU, mem-a.step.MemMB
		}
		fit := int64(1 << 20)
		if s.CPU > 0 {
			fit = min(fit, cpu/s.CPU)
		}
		if s.MemMB > 0 {
			fit = min(fit, mem/s.MemMB)
		}
		n += max(0, fit)
	}
	return int(n)
}

func randomBelow(d time.Duration) time.Duration { return rand.N(max(1, d)) }
