package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"time"

	"fuchsiacross/platform/standin"
)

const (
	poolName          = "pool"
	heartbeatInterval = 1500 * time.Millisecond
	// registrationTimeout is three heartbeat intervals, after which the platform removes the
	// entry of a silent runner.
	registrationTimeout = 3 * heartbeatInterval
	maxHold             = 10 * time.Second
	startupTime         = 500 * time.Millisecond // of a task that lasts, until it is at work
	tickInterval        = 20 * time.Millisecond
	clockOffset         = 480_000 // milliseconds; the runner's clock does not start at zero
	maxListedEnds       = 500
	runnerMilliCPU      = 16_000
	runnerMemoryMB      = 65_536
)

// activeRun is a run on a runner.
type activeRun struct {
	number    int64
	startedAt time.Time
	endsAt    time.Time // zero for a task that lasts and does not fail
	how       string    // how it ends at endsAt
	length    time.Duration
}

// endedRun is an end that the leader has not acknowledged.
type endedRun struct {
	number int64
	task   string
	run    int64
	how    string
	lapsed bool // the lease has lapsed since the end
}

// runner is a stand-in of a runner. It follows the section "Running tasks" of the users'
// protocol: leases, fencing tokens, lists of runs and ends, and the heartbeats of its entry.
type runner struct {
	id       string
	kind     string
	rack     string
	platform *platform
	store    *standin.Store
	address  netip.AddrPort

	mu            sync.Mutex
	up            bool
	born          time.Time
	token         int64
	leaseEnd      time.Time
	running       map[string]*activeRun
	stoppedRuns   map[string]int64 // of each task; this and older runs do not start any more
	ended         []endedRun
	lastEndNumber int64
	listener      net.Listener
	server        *http.Server
	lastHeartbeat time.Time
	registered    bool
	lateShare     float64 // of the orders that get no answer and are carried out late
	slowFactor    float64 // how many times as long the tasks that start now take
}

// newRunner starts a runner on a free loopback port.
func newRunner(p *platform, s *standin.Store, id, kind, rack string) (*runner, error) {
	r := &runner{id: id, kind: kind, rack: rack, platform: p, store: s, slowFactor: 1}
	if err := r.start("127.0.0.1:0"); err != nil {
		return nil, err
	}
	go r.tick()
	return r, nil
}

// start begins a life of the runner.
func (r *runner) start(address string) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /run-start", r.perhapsLate(r.handleStart))
	mux.HandleFunc("POST /run-stop", r.perhapsLate(r.handleStop))
	mux.HandleFunc("POST /pace", r.handlePace)
	mux.HandleFunc("POST /hold", r.handleHold)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.address = listener.Addr().(*net.TCPAddr).AddrPort()
	r.up, r.born, r.token, r.leaseEnd = true, time.Now(), 0, time.Time{}
	r.running, r.stoppedRuns, r.ended, r.lastEndNumber = map[string]*activeRun{}, map[string]int64{}, nil, 0
	r.listener, r.server = listener, &http.Server{Handler: mux}
	go func(s *http.Server) { _ = s.Serve(listener) }(r.server)
	r.register()
	return nil
}

// register writes the entry of the runner. r.mu is held.
func (r *runner) register() {
	r.lastHeartbeat = time.Now()
	if r.registered {
		return // only Seq changes, which the store does not show as a change
	}
	r.registered = true
	r.store.Put("servers", r.id, map[string]any{
		"Service": poolName, "Address": r.address.String(), "Zone": "z", "Version": "1", "Slots": 8, "State": "ready",
		"ColdRemainingMs": 0, "Seq": 1, "born": r.born.UnixMilli(),
		"Capacity": map[string]int64{"Cpu": runnerMilliCPU, "MemMb": runnerMemoryMB, "Gpu": 0}, "Labels": []string{r.kind, r.rack},
	})
}

// crash ends the life of the runner: all runs are lost, and its connections are reset.
func (r *runner) crash() {
	r.mu.Lock()
	r.up = false
	for task, run := range r.running {
		r.platform.recordEnd(r, task, run.number, "lost")
	}
	r.running = map[string]*activeRun{}
	server := r.server
	r.mu.Unlock()
	_ = server.Close()
	r.platform.log("runner %s crashes", r.id)
}

// restart begins a new life under the same id and at the same address.
func (r *runner) restart() error {
	r.mu.Lock()
	// A new life writes a new entry, with a new start time.
	r.registered = false
	address := r.address.String()
	r.mu.Unlock()
	r.platform.log("runner %s starts again", r.id)
	return r.start(address)
}

// setSlowFactor makes the tasks that run or start now take longer, until it is set to 1 again.
func (r *runner) setSlowFactor(f float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	for _, run := range r.running {
		if left := run.endsAt.Sub(now); !run.endsAt.IsZero() && left > 0 {
			run.endsAt = now.Add(time.Duration(float64(left) * f / r.slowFactor))
			run.length = run.endsAt.Sub(run.startedAt)
		}
	}
	r.slowFactor = f
	r.platform.log("runner %s takes %.1f times as long", r.id, f)
}

// setLateShare sets which share of the orders gets no answer and is carried out late.
func (r *runner) setLateShare(share float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lateShare = share
}

// perhapsLate delays a share of the orders on their way: they get no answer, and reach the runner
// in the life that it has by then.
func (r *runner) perhapsLate(handle http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, request *http.Request) {
		r.mu.Lock()
		share := r.lateShare
		r.mu.Unlock()
		late, delay := r.platform.drawLate(share)
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		copied := httptest.NewRequest(request.Method, request.URL.String(), bytes.NewReader(body))
		copied.Header = request.Header.Clone()
		if !late {
			handle(w, copied)
			return
		}
		time.AfterFunc(delay, func() {
			r.mu.Lock()
			up := r.up
			r.mu.Unlock()
			if up {
				r.platform.log("an order to runner %s arrives %.1f s late: %s", r.id, delay.Seconds(), body)
				handle(httptest.NewRecorder(), copied)
			}
		})
		<-request.Context().Done()
	}
}

// tick ends runs, lets the lease expire, sends heartbeats and drops the entry of a silent
// runner, as the platform does.
func (r *runner) tick() {
	for range time.Tick(tickInterval) {
		r.mu.Lock()
		now := time.Now()
		switch {
		case r.up && now.Sub(r.lastHeartbeat) >= heartbeatInterval:
			r.register()
		case !r.up && r.registered && now.Sub(r.lastHeartbeat) >= registrationTimeout:
			r.registered = false
			r.store.Delete("servers", r.id)
			r.platform.log("the entry of runner %s is removed", r.id)
		}
		if r.up {
			for n := range r.ended {
				r.ended[n].lapsed = r.ended[n].lapsed || now.After(r.leaseEnd)
			}
			for task, run := range r.running {
				switch {
				case now.After(r.leaseEnd):
					r.end(task, run, "lapsed")
				case !run.endsAt.IsZero() && now.After(run.endsAt):
					r.end(task, run, run.how)
				}
			}
		}
		r.mu.Unlock()
	}
}

// end ends a run. r.mu is held.
func (r *runner) end(task string, run *activeRun, how string) {
	delete(r.running, task)
	r.stoppedRuns[task] = max(r.stoppedRuns[task], run.number)
	r.lastEndNumber++
	r.ended = append(r.ended, endedRun{number: r.lastEndNumber, task: task, run: run.number, how: how})
	r.platform.recordEnd(r, task, run.number, how)
}

type wireOrder struct {
	Task       string `json:"Task"`
	Run        int64  `json:"RunId"`
	Spec       string `json:"TaskSpec"`
	DeadlineMs int64  `json:"DeadlineMs"`
	Token      int64  `json:"FenceToken"`
	Ticket     string `json:"Ticket"`
	LastSeen   int64  `json:"LastSeen"`
	WaitMs     int64  `json:"WaitMs"`
}

// clock returns the runner's clock in milliseconds. r.mu is held.
func (r *runner) clock() int64 { return time.Since(r.born).Milliseconds() + clockOffset }

func (r *runner) write(w http.ResponseWriter, status int, fields map[string]any) {
	fields["ClockMs"], fields["born"] = r.clock(), r.born.UnixMilli()
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(fields)
}

func (r *runner) reject(w http.ResponseWriter, reason string) {
	r.write(w, http.StatusConflict, map[string]any{"Reason": reason})
}

// decode reads an order and checks its target and its token. r.mu is held.
func (r *runner) decode(w http.ResponseWriter, request *http.Request) (wireOrder, bool) {
	var o wireOrder
	switch {
	case json.NewDecoder(request.Body).Decode(&o) != nil:
		w.WriteHeader(http.StatusBadRequest)
	case request.Header.Get("X-Expected-Instance") != r.id:
		w.WriteHeader(http.StatusMisdirectedRequest)
	case o.Token < r.token:
		r.reject(w, "fence")
	default:
		r.token = o.Token
		return o, true
	}
	return o, false
}

// extendLease takes the deadline of an order. r.mu is held.
func (r *runner) extendLease(deadline int64) {
	end := r.born.Add(time.Duration(deadline-clockOffset) * time.Millisecond)
	if latest := time.Now().Add(maxHold); end.After(latest) {
		end = latest
	}
	if deadline != 0 && end.After(r.leaseEnd) {
		r.leaseEnd = end
	}
}

func (r *runner) handleStart(w http.ResponseWriter, request *http.Request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	o, ok := r.decode(w, request)
	if !ok {
		return
	}
	current := r.running[o.Task]
	if current != nil && current.number == o.Run {
		r.extendLease(o.DeadlineMs)
		r.write(w, http.StatusOK, map[string]any{})
		return
	}
	switch {
	case o.DeadlineMs < r.clock():
		r.reject(w, "late")
		return
	case o.Run <= r.stoppedRuns[o.Task] || current != nil:
		r.extendLease(o.DeadlineMs)
		r.reject(w, "old")
		return
	case !r.platform.ticketValid(r, o.Task, o.Ticket):
		r.reject(w, "ticket")
		return
	}
	if now := time.Now(); r.leaseEnd.Before(now) {
		r.leaseEnd = now
	}
	r.extendLease(o.DeadlineMs)
	run := &activeRun{number: o.Run, startedAt: time.Now()}
	var lasts bool
	run.length, run.how, lasts = r.platform.recordStart(r, o.Task, o.Run)
	if !lasts {
		run.length = time.Duration(float64(run.length) * r.slowFactor)
	}
	if run.length > 0 {
		run.endsAt = run.startedAt.Add(run.length)
	}
	if lasts {
		run.length = startupTime
	}
	r.running[o.Task] = run
	r.write(w, http.StatusOK, map[string]any{})
}

func (r *runner) handleStop(w http.ResponseWriter, request *http.Request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	o, ok := r.decode(w, request)
	if !ok {
		return
	}
	r.stoppedRuns[o.Task] = max(r.stoppedRuns[o.Task], o.Run)
	if run := r.running[o.Task]; run != nil && run.number == o.Run {
		r.end(o.Task, run, "stopped")
	}
	r.write(w, http.StatusOK, map[string]any{})
}

func (r *runner) handlePace(w http.ResponseWriter, request *http.Request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, ok := r.decode(w, request); ok {
		r.write(w, http.StatusOK, map[string]any{})
	}
}

func (r *runner) handleHold(w http.ResponseWriter, request *http.Request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	o, ok := r.decode(w, request)
	if !ok {
		return
	}
	r.extendLease(o.DeadlineMs)
	for len(r.ended) > 0 && r.ended[0].number <= o.LastSeen {
		r.platform.recordSeen(r, r.ended[0])
		r.ended = r.ended[1:]
	}
	born := r.born
	for until := time.Now().Add(time.Duration(o.WaitMs) * time.Millisecond); len(r.ended) == 0 && time.Now().Before(until) && r.up && r.born.Equal(born); {
		r.mu.Unlock()
		time.Sleep(tickInterval / 2)
		r.mu.Lock()
	}
	running, ended := [][]any{}, [][]any{}
	for task, run := range r.running {
		percent := min(100, 100*float64(time.Since(run.startedAt))/float64(max(time.Millisecond, run.length)))
		running = append(running, []any{task, run.number, "", int(percent), 0})
	}
	for _, e := range r.ended[:min(len(r.ended), maxListedEnds)] {
		ended = append(ended, []any{e.number, e.task, e.run, e.how, ""})
	}
	r.write(w, http.StatusOK, map[string]any{"Running": running, "Ended": ended})
}

// taskOf returns the job and the step of a task's name.
func taskOf(task string) (id string, step int) {
	parts := strings.Split(task, ".")
	if len(parts) == 4 {
		_, _ = fmt.Sscan(parts[2], &step)
	}
	return parts[0], step
}
