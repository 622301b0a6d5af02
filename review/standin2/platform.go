package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// Late orders are carried out after minOrderLate to maxOrderLate.
	minOrderLate = 2 * time.Second
	maxOrderLate = 12 * time.Second

	decisionTime   = 5 * time.Millisecond // of a call for advice
	ticketValidity = 2500 * time.Millisecond
)

// jobSpec describes how the tasks of a job behave.
type jobSpec struct {
	id        string
	path      string
	body      map[string]any
	milliCPU  int64
	tasks     int
	lasts     bool
	length    time.Duration // of a task that does not last
	requires  string        // the label that its runners must have; empty for none
	allowed   []string      // the runners that the queue's policy allows; nil if it needs no advice
	accepted  time.Time
	cancelled time.Time // when its cancelling was acknowledged
	refused   bool      // all attempts to hand it in were rejected
}

// interval is one run of a task.
type interval struct {
	task     string
	run      int64
	runner   string
	from, to time.Time // to is zero while it runs
	how      string
	born     time.Time // the life of the runner
	seen     bool      // the leader has taken note of its end
}

// platform is what the stand-ins share: the behaviour of the jobs and the record of the runs.
type platform struct {
	began  time.Time
	record *os.File

	mu      sync.Mutex
	jobs    map[string]*jobSpec
	runs    []*interval
	runners map[string]*runner
	random  *rand.Rand
}

func newPlatform(record *os.File) *platform {
	return &platform{
		began: time.Now(), record: record, jobs: map[string]*jobSpec{}, runners: map[string]*runner{},
		random: rand.New(rand.NewPCG(uint64(time.Now().UnixNano()), 7)),
	}
}

// log writes a line to the record.
func (p *platform) log(format string, values ...any) {
	line := fmt.Sprintf("%8.3f  ", time.Since(p.began).Seconds()) + fmt.Sprintf(format, values...)
	_, _ = fmt.Fprintln(p.record, line)
}

// drawLate decides whether an order is late, and by how much.
func (p *platform) drawLate(share float64) (late bool, delay time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.random.Float64() < share, minOrderLate + time.Duration(p.random.Int64N(int64(maxOrderLate-minOrderLate)))
}

// recordStart records a start and returns how the run behaves.
func (p *platform) recordStart(r *runner, task string, run int64) (length time.Duration, how string, lasts bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.log("runner %s starts %s, run %d", r.id, task, run)
	p.runs = append(p.runs, &interval{task: task, run: run, runner: r.id, born: r.born, from: time.Now()})
	id, _ := taskOf(task)
	j := p.jobs[id]
	switch {
	case j == nil:
		p.log("nobody has sent job %s", id)
		return time.Second, "done", false
	case !j.lasts:
		return j.length, "done", false
	}
	return 0, "", true
}

func (p *platform) recordEnd(r *runner, task string, run int64, how string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.log("runner %s: %s, run %d ended: %s", r.id, task, run, how)
	for _, i := range p.runs {
		if i.task == task && i.run == run && i.runner == r.id && i.to.IsZero() {
			i.to, i.how = time.Now(), how
		}
	}
}

func (p *platform) recordSeen(r *runner, e endedRun) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, i := range p.runs {
		if i.task == e.task && i.run == e.run && i.runner == r.id && i.born.Equal(r.born) {
			i.seen = !e.lapsed
		}
	}
}

// lastRunning returns when a task ran last; the zero time if it never did, and the time given
// if it runs.
func (p *platform) lastRunning(task string, now time.Time) time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	last := time.Time{}
	for _, i := range p.runs {
		if i.task != task {
			continue
		}
		if i.to.IsZero() {
			return now
		}
		if i.to.After(last) {
			last = i.to
		}
	}
	return last
}

// usedMilliCPU returns what the runs on each runner use.
func (p *platform) usedMilliCPU() map[string]int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	used := map[string]int64{}
	for _, i := range p.runs {
		if !i.to.IsZero() {
			continue
		}
		id, _ := taskOf(i.task)
		if j := p.jobs[id]; j != nil {
			used[i.runner] += j.milliCPU
		}
	}
	return used
}

// capacityFor returns for how many tasks of a job there is capacity on the runners that may run
// it and are up, and the share of the service's capacity that is in use.
func (p *platform) capacityFor(j *jobSpec) (tasks int64, inUse float64) {
	used := p.usedMilliCPU()
	total, all := int64(0), int64(0)
	for id, r := range p.runners {
		r.mu.Lock()
		up := r.up
		r.mu.Unlock()
		if !up {
			continue
		}
		total += used[id]
		all += runnerMilliCPU
		if (j.allowed == nil || slices.Contains(j.allowed, id)) && (j.requires == "" || j.requires == r.kind || j.requires == r.rack) {
			tasks += (runnerMilliCPU - used[id]) / j.milliCPU
		}
	}
	return tasks, float64(total) / float64(max(1, all))
}

// ticketValid reports whether a start of a task carries a ticket of this life of the runner.
func (p *platform) ticketValid(r *runner, task, ticket string) bool {
	id, _ := taskOf(task)
	step := task[:strings.LastIndex(task, ".")]
	p.mu.Lock()
	j := p.jobs[id]
	p.mu.Unlock()
	if j == nil || j.allowed == nil {
		return true
	}
	parts := strings.Split(ticket, "/")
	if len(parts) != 4 || parts[0] != step || parts[1] != r.id || parts[2] != strconv.FormatInt(r.born.UnixMilli(), 10) {
		return false
	}
	issued, err := strconv.ParseInt(parts[3], 10, 64)
	return err == nil && time.Since(time.UnixMilli(issued)) <= ticketValidity
}

// newAdviceService starts the service that knows which runners may run a step. Its answer for a
// step does not change.
func (p *platform) newAdviceService() *httptest.Server {
	return httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		var call struct {
			Step    string   `json:"Step"`
			Workers []string `json:"Workers"`
		}
		if json.NewDecoder(request.Body).Decode(&call) != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		time.Sleep(decisionTime)
		id, _, _ := strings.Cut(call.Step, ".")
		p.mu.Lock()
		j := p.jobs[id]
		p.mu.Unlock()
		good := [][2]string{}
		for _, name := range call.Workers {
			r := p.runners[name]
			if r == nil || j == nil || !slices.Contains(j.allowed, name) {
				continue
			}
			r.mu.Lock()
			born := r.born.UnixMilli()
			r.mu.Unlock()
			good = append(good, [2]string{name, fmt.Sprintf("%s/%s/%d/%d", call.Step, name, born, time.Now().UnixMilli())})
		}
		p.log("advice on %s for %v: %d of them are good", call.Step, call.Workers, len(good))
		_ = json.NewEncoder(w).Encode(map[string]any{"Good": good})
	}))
}
