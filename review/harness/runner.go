package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Properties of the runners, as the users' pages give them for a small deployment.
const (
	runnerMilliCPU    = 32000
	runnerMemoryMB    = 65536
	rackSize          = 6
	maxHold           = 10 * time.Second
	stopTime          = 100 * time.Millisecond // below StopTimeoutMs
	heartbeatInterval = 1500 * time.Millisecond
	maxListedEnds     = 500 // "returned again (500 at a time)"
	leaseCheck        = 20 * time.Millisecond
)

// outcome is how a run behaves: it ends after a time, or never if that is zero.
type outcome struct {
	after time.Duration
	end   string
}

type runnerEnd struct {
	number int64
	run    *taskRun
}

type activeRun struct {
	*taskRun
	stopping bool
}

// runner is the stand-in of a runner that starts whatever it is instructed to start.
type runner struct {
	platform *platform
	id, rack string
	kind     string
	address  string
	born     time.Time
	server   *http.Server

	mu       sync.Mutex
	fence    int64
	leaseEnd time.Time
	running  map[string]*activeRun // by task and run number
	barred   map[string]int64      // highest run of a task that was stopped or has ended
	ended    []runnerEnd           // not taken note of yet
	lastEnd  int64
	lost     bool
	changed  chan struct{} // closed when a run ends
}

func newRunner(p *platform, n int, l net.Listener) *runner {
	r := &runner{
		platform: p, id: fmt.Sprintf("i-%08x", 0x7f3a9100+n), rack: fmt.Sprintf("r1-%d", n/rackSize), kind: p.kind(n), address: l.Addr().String(),
		born: time.Now(), running: map[string]*activeRun{}, barred: map[string]int64{}, changed: make(chan struct{}),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /run-start", r.handleStart)
	mux.HandleFunc("POST /run-stop", r.handleStop)
	mux.HandleFunc("POST /hold", r.handleHold)
	r.server = &http.Server{Handler: mux}
	go func() { _ = r.server.Serve(l) }()
	go r.heartbeat()
	go r.checkLease()
	return r
}

func (r *runner) heartbeat() {
	for seq := 1; r.platform.ctx.Err() == nil && !r.isLost(); seq++ {
		r.platform.store.put("servers", r.id, map[string]any{
			"Service": serviceName, "Address": r.address, "Zone": zoneName, "Version": "1", "Slots": 8, "State": "ready",
			"ColdRemainingMs": 0, "Seq": seq, "born": r.born.UnixMilli(),
			"Capacity": map[string]int{"Cpu": runnerMilliCPU, "MemMb": runnerMemoryMB}, "Labels": []string{r.kind, r.rack},
		})
		time.Sleep(heartbeatInterval)
	}
}

// lose ends the runner for good, with all that it runs. Its entry is removed after three
// heartbeat intervals.
func (r *runner) lose() {
	r.mu.Lock()
	r.lost = true
	for _, run := range r.running {
		r.finish(run, "crashed")
	}
	r.mu.Unlock()
	_ = r.server.Close()
	r.platform.record.note("platform: %s in rack %s is lost for good", r.id, r.rack)
	time.AfterFunc(3*heartbeatInterval, func() { r.platform.store.remove("servers", r.id) })
}

func (r *runner) isLost() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lost
}

func (r *runner) checkLease() {
	for r.platform.ctx.Err() == nil {
		time.Sleep(leaseCheck)
		r.mu.Lock()
		r.expireLease()
		r.mu.Unlock()
	}
}

// expireLease ends all runs if the lease has lapsed. The ends that have not been taken note of
// no longer count as such. r.mu is held.
func (r *runner) expireLease() {
	if !time.Now().After(r.leaseEnd) {
		return
	}
	for _, run := range r.running {
		r.finish(run, "lapsed")
	}
	for _, e := range r.ended {
		r.platform.record.lapse(e.run)
	}
}

// clock returns the time of the runner's own clock in milliseconds.
func (r *runner) clock() int64 { return time.Since(r.born).Milliseconds() + 1 }

type order struct {
	Task     string `json:"Task"`
	Run      int64  `json:"RunId"`
	Fence    int64  `json:"FenceToken"`
	LastSeen int64  `json:"LastSeen"`
	Wait     int64  `json:"WaitMs"`
	Deadline int64  `json:"DeadlineMs"`
	Ticket   string `json:"Ticket"`
}

// decode decodes an order and checks its addressee and its fence token. If it returns
// false, it has answered the order. r.mu is held.
func (r *runner) decode(w http.ResponseWriter, q *http.Request) (order, bool) {
	var o order
	switch {
	case json.NewDecoder(q.Body).Decode(&o) != nil:
		w.WriteHeader(http.StatusBadRequest)
	case q.Header.Get("X-Expected-Instance") != r.id:
		w.WriteHeader(http.StatusMisdirectedRequest)
	case o.Fence < r.fence:
		r.reject(w, "fence")
	default:
		r.fence = o.Fence
		return o, true
	}
	return o, false
}

func (r *runner) answer(w http.ResponseWriter, status int, fields map[string]any) {
	fields["ClockMs"], fields["born"] = r.clock(), r.born.UnixMilli()
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(fields)
}

func (r *runner) reject(w http.ResponseWriter, reason string) {
	r.answer(w, http.StatusConflict, map[string]any{"Reason": reason})
}

// extendLease extends the lease of all runs. It never shortens it.
func (r *runner) extendLease(deadline int64) {
	if deadline == 0 {
		return
	}
	end := r.born.Add(time.Duration(deadline-1) * time.Millisecond)
	if latest := time.Now().Add(maxHold); end.After(latest) {
		end = latest
	}
	if end.After(r.leaseEnd) {
		r.leaseEnd = end
	}
}

func runName(task string, number int64) string { return fmt.Sprintf("%s/%d", task, number) }

func (r *runner) handleStart(w http.ResponseWriter, q *http.Request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	o, ok := r.decode(w, q)
	if !ok {
		return
	}
	r.expireLease()
	step := o.Task[:max(0, strings.LastIndexByte(o.Task, '.'))]
	switch {
	case o.Deadline <= r.clock():
		r.reject(w, "late")
		return
	case r.running[runName(o.Task, o.Run)] != nil:
		r.extendLease(o.Deadline)
		r.answer(w, http.StatusOK, map[string]any{})
		return
	case o.Run <= r.barred[o.Task]:
		r.extendLease(o.Deadline)
		r.reject(w, "old")
		return
	case !r.platform.tickets.valid(step, r.id, o.Ticket):
		r.platform.countRejected(o.Task)
		r.reject(w, "ticket")
		return
	}
	r.extendLease(o.Deadline)
	behaviour := r.platform.behaviour(o.Task, r.platform.record.attempts(o.Task))
	run := &activeRun{taskRun: r.platform.record.start(o.Task, r.id, o.Run)}
	r.running[runName(o.Task, o.Run)] = run
	if behaviour.after > 0 {
		time.AfterFunc(behaviour.after, func() {
			r.mu.Lock()
			defer r.mu.Unlock()
			r.finish(run, behaviour.end)
		})
	}
	r.answer(w, http.StatusOK, map[string]any{})
}

// finish ends a run that is still active. r.mu is held.
func (r *runner) finish(run *activeRun, how string) {
	name := runName(run.task, run.number)
	if r.running[name] != run {
		return
	}
	delete(r.running, name)
	r.barred[run.task] = max(r.barred[run.task], run.number)
	r.platform.record.finish(run.taskRun, how)
	r.lastEnd++
	r.ended = append(r.ended, runnerEnd{r.lastEnd, run.taskRun})
	close(r.changed)
	r.changed = make(chan struct{})
}

func (r *runner) handleStop(w http.ResponseWriter, q *http.Request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	o, ok := r.decode(w, q)
	if !ok {
		return
	}
	r.barred[o.Task] = max(r.barred[o.Task], o.Run)
	if run := r.running[runName(o.Task, o.Run)]; run != nil && !run.stopping {
		run.stopping = true
		time.AfterFunc(stopTime, func() {
			r.mu.Lock()
			defer r.mu.Unlock()
			r.finish(run, "stopped")
		})
	}
	r.answer(w, http.StatusOK, map[string]any{})
}

func (r *runner) handleHold(w http.ResponseWriter, q *http.Request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	o, ok := r.decode(w, q)
	if !ok {
		return
	}
	r.expireLease()
	r.extendLease(o.Deadline)
	for len(r.ended) > 0 && r.ended[0].number <= o.LastSeen {
		r.platform.record.noted(r.ended[0].run)
		r.ended = r.ended[1:]
	}
	timer := time.NewTimer(time.Duration(o.Wait) * time.Millisecond)
	defer timer.Stop()
	for waiting := o.Wait > 0; waiting && len(r.ended) == 0; {
		changed := r.changed
		r.mu.Unlock()
		select {
		case <-changed:
		case <-timer.C:
			waiting = false
		case <-q.Context().Done():
			waiting = false
		}
		r.mu.Lock()
	}
	running, ended := [][]any{}, [][]any{}
	for _, run := range r.running {
		running = append(running, []any{run.task, run.number, "", r.platform.percent(run.taskRun), 0})
	}
	for _, e := range r.ended[:min(len(r.ended), maxListedEnds)] {
		ended = append(ended, []any{e.number, e.run.task, e.run.number, e.run.end, ""})
	}
	r.answer(w, http.StatusOK, map[string]any{"Running": running, "Ended": ended})
}
