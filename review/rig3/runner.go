package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"time"

	"fuchsiacross/platform/standin"
)

// order has the fields of all orders to a runner.
type order struct {
	Task       string `json:"Task"`
	RunID      int64  `json:"RunId"`
	TaskSpec   string `json:"TaskSpec"`
	DeadlineMS int64  `json:"DeadlineMs"`
	Token      int64  `json:"FenceToken"`
	Checkpoint string `json:"Checkpoint"`
	Ticket     string `json:"Ticket"`
	LastSeen   int64  `json:"LastSeen"`
	WaitMS     int64  `json:"WaitMs"`
}

// ended is a run in a runner's list of ends.
type ended struct {
	number     int64
	task, how  string
	run        int64
	checkpoint string
	lapsed     bool // the lease has lapsed since
	key        string
}

// runner is a stand-in of a runner.
type runner struct {
	w              *world
	store          *standin.Store
	id, kind, rack string
	pool           string
	cpu, mem, gpu  int64
	server         *httptest.Server

	// Guarded by the world's mutex.
	born      time.Time
	token     int64
	leaseEnd  time.Time
	runs      map[string]*run
	highest   map[string]int64 // stopped or ended run of each task
	ends      []ended
	lastEnd   int64
	down      bool // crashed
	gone      bool // for good
	cut       bool // neither the instances nor the store reach it
	state     string
	changed   chan struct{} // closed and replaced when a run ends or the runner crashes
	lateShare float64       // of the orders that get no answer and are carried out 2 to 12 s later
}

// startRunner starts a runner and registers it.
func startRunner(w *world, s *standin.Store, id, pool, kind, rack string, cpu, mem int64) *runner {
	r := &runner{w: w, store: s, id: id, pool: pool, kind: kind, rack: rack, cpu: cpu, mem: mem, state: "ready", changed: make(chan struct{})}
	r.reset()
	mux := http.NewServeMux()
	mux.HandleFunc("POST /run-start", r.handle(r.start))
	mux.HandleFunc("POST /run-stop", r.handle(r.stop))
	mux.HandleFunc("POST /pace", r.handle(func(*order) (int, map[string]any) { return http.StatusOK, map[string]any{} }))
	mux.HandleFunc("POST /hold", r.hold)
	r.server = httptest.NewServer(mux)
	w.mu.Lock()
	w.runners = append(w.runners, r)
	w.mu.Unlock()
	r.register()
	go func() {
		for range time.Tick(leaseCheck) {
			w.mu.Lock()
			r.lapse()
			w.mu.Unlock()
		}
	}()
	return r
}

// wake ends the waiting readings. The caller holds the mutex.
func (r *runner) wake() {
	close(r.changed)
	r.changed = make(chan struct{})
}

func (r *runner) reset() {
	r.born, r.token, r.leaseEnd, r.lastEnd, r.ends = time.Now(), 0, time.Time{}, 0, nil
	r.runs, r.highest = map[string]*run{}, map[string]int64{}
}

func (r *runner) address() string { return r.server.Listener.Addr().(*net.TCPAddr).String() }

func (r *runner) register() {
	entry := map[string]any{
		"Service": r.pool, "Address": r.address(), "Zone": "z", "Version": "1", "Slots": 8, "State": r.state, "born": r.born.UnixMilli(),
		"ColdRemainingMs": 0, "Seq": 1, "Capacity": map[string]int64{"Cpu": r.cpu, "MemMb": r.mem, "Gpu": r.gpu}, "Labels": []string{r.kind, r.rack},
	}
	if r.state == "draining" {
		entry["RemainingMs"] = 2000
	}
	r.store.Put("servers", r.id, entry)
}

func (r *runner) unregister() { r.store.Delete("servers", r.id) }

// crash ends the runner's life. It does not answer any more.
func (r *runner) crash(forGood bool) {
	r.w.mu.Lock()
	defer r.w.mu.Unlock()
	lost := r.runs
	r.runs = map[string]*run{}
	r.down, r.gone = true, forGood
	r.wake()
	for _, a := range lost {
		a.over = true
		delete(r.w.task(a.task).active, r)
		r.w.noteLocked("%s is lost with %s", a.task, r.id)
	}
	for _, a := range lost {
		if a.step.Gang {
			for _, m := range r.w.members(a) {
				m.r.end(m.a, "broken")
			}
		}
	}
	r.w.noteLocked("runner %s crashes", r.id)
	go r.server.CloseClientConnections()
}

// restart begins a new life under the same id.
func (r *runner) restart() {
	r.w.mu.Lock()
	r.reset()
	r.down = false
	r.w.noteLocked("runner %s is back", r.id)
	r.w.mu.Unlock()
	r.register()
}

func (r *runner) clock() int64 { return time.Since(r.born).Milliseconds() + leaseClockStart }

// lapse ends all runs whose lease has ended. The caller holds the mutex.
func (r *runner) lapse() {
	if r.down || time.Now().Before(r.leaseEnd) {
		return
	}
	for i := range r.ends {
		r.ends[i].lapsed = true
	}
	for _, a := range r.runs {
		r.end(a, "lapsed")
	}
}

func (r *runner) extend(deadline int64) {
	r.lapse()
	if deadline == 0 {
		return
	}
	end := r.born.Add(time.Duration(deadline-leaseClockStart) * time.Millisecond)
	if latest := time.Now().Add(maxHold); end.After(latest) {
		end = latest
	}
	if end.After(r.leaseEnd) {
		r.leaseEnd = end
	}
}

// end ends a run. The caller holds the mutex.
func (r *runner) end(a *run, how string) {
	if a.over {
		return
	}
	a.over = true
	now := time.Now()
	delete(r.runs, a.task)
	r.highest[a.task] = max(r.highest[a.task], a.id)
	r.lastEnd++
	t := r.w.task(a.task)
	delete(t.active, r)
	key := fmt.Sprintf("%s/%d/%d", r.id, r.born.UnixNano(), a.id)
	checkpoint := ""
	if how != "done" {
		checkpoint = a.checkpoint(now)
		if checkpoint != "" {
			t.checkpoints[checkpoint] = true
		}
	}
	switch how {
	case "done":
		t.doneEnded = true
	case "failed":
		r.w.failedRuns++
		t.failed[key] = now
	}
	r.wake()
	r.ends = append(r.ends, ended{number: r.lastEnd, task: a.task, how: how, run: a.id, checkpoint: checkpoint, key: key})
	if !r.w.quiet || !a.step.LongRunning {
		r.w.noteLocked("%s run %d ends %s on %s", a.task, a.id, how, r.id)
	}
	if a.step.Gang && how != "done" {
		for _, other := range r.w.members(a) {
			other.r.end(other.a, "broken")
		}
	}
}

type member struct {
	r *runner
	a *run
}

// members returns the other members of a gang's run. The caller holds the mutex.
func (w *world) members(a *run) (list []member) {
	for _, r := range w.runners {
		for _, other := range r.runs {
			if other != a && other.id == a.id && stepOrTask(other) == stepOrTask(a) {
				list = append(list, member{r, other})
			}
		}
	}
	return list
}

// handle answers an order. The function is called with the mutex held.
func (r *runner) handle(f func(*order) (int, map[string]any)) http.HandlerFunc {
	return func(w http.ResponseWriter, request *http.Request) {
		var o order
		err := json.NewDecoder(request.Body).Decode(&o)
		r.w.mu.Lock()
		if r.down || r.cut {
			r.w.mu.Unlock()
			<-request.Context().Done()
			return
		}
		if r.lateShare > 0 && rand.Float64() < r.lateShare {
			expected := request.Header.Get("X-Expected-Instance")
			r.w.noteLocked("%s of %s %d at %s will be carried out late", request.URL.Path, o.Task, o.RunID, r.id)
			time.AfterFunc(2*time.Second+randomBelow(10*time.Second), func() {
				r.w.mu.Lock()
				defer r.w.mu.Unlock()
				if r.down || r.cut || err != nil || expected != r.id || o.Token < r.token {
					return
				}
				r.token = o.Token
				status, _ := f(&o)
				r.w.noteLocked("%s of %s %d at %s is carried out late: %d", request.URL.Path, o.Task, o.RunID, r.id, status)
			})
			r.w.mu.Unlock()
			<-request.Context().Done()
			return
		}
		status, body := http.StatusBadRequest, map[string]any{}
		switch {
		case err != nil:
		case request.Header.Get("X-Expected-Instance") != r.id:
			status = http.StatusMisdirectedRequest
		case o.Token < r.token:
			status, body = http.StatusConflict, map[string]any{"Reason": "fence"}
		default:
			r.token = o.Token
			status, body = f(&o)
		}
		body["ClockMs"], body["born"] = r.clock(), r.born.UnixMilli()
		r.w.mu.Unlock()
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(status)
		_ = json.NewEncoder(w).Encode(body)
	}
}

func (r *runner) start(o *order) (int, map[string]any) {
	reject := func(reason string) (int, map[string]any) {
		return http.StatusConflict, map[string]any{"Reason": reason}
	}
	if o.DeadlineMS <= r.clock() {
		return reject("late")
	}
	if a := r.runs[o.Task]; a != nil && a.id == o.RunID {
		r.extend(o.DeadlineMS)
		return http.StatusOK, map[string]any{}
	}
	if o.RunID <= r.highest[o.Task] {
		r.extend(o.DeadlineMS)
		return reject("old")
	}
	id, occurrence, n, index := parseTask(o.Task)
	j := r.w.jobs[id]
	if j == nil || !j.sent || n >= len(j.Steps) || index >= j.Steps[n].Count {
		r.w.breach("UNASKED", "%s is started on %s, but nobody sent it", o.Task, r.id)
		return http.StatusBadRequest, map[string]any{}
	}
	s := &j.Steps[n]
	if j.advice && !validTicket(r, o) {
		return reject("ticket")
	}
	r.extend(o.DeadlineMS)
	r.w.checkStart(r, o, j, s, occurrence)
	a := &run{task: o.Task, id: o.RunID, job: j, step: s, startAt: time.Now(), length: s.work, initial: o.Checkpoint}
	if s.Affinity != "" && s.Affinity != r.rack {
		a.length *= remoteFactor
	}
	if o.Checkpoint != "" {
		var number int64
		_, _ = fmt.Sscanf(o.Checkpoint[lastTilde(o.Checkpoint)+1:], "%d", &number)
		a.skipped = min(a.length, time.Duration(number)*checkpointPeriod)
	}
	r.runs[o.Task] = a
	r.w.task(o.Task).active[r] = a
	if !r.w.quiet || !s.LongRunning {
		r.w.noteLocked("%s run %d starts on %s", o.Task, o.RunID, r.id)
	}
	switch {
	case s.Gang:
		others := r.w.members(a)
		if len(others)+1 < s.Count {
			time.AfterFunc(gangTimeout, func() {
				r.w.mu.Lock()
				defer r.w.mu.Unlock()
				if a.began.IsZero() && !a.over {
					r.end(a, "alone")
				}
			})
			break
		}
		for _, m := range append(others, member{r, a}) {
			m.r.begin(m.a)
		}
	default:
		r.begin(a)
	}
	return http.StatusOK, map[string]any{}
}

func lastTilde(text string) int {
	for i := len(text) - 1; i >= 0; i-- {
		if text[i] == '~' {
			return i
		}
	}
	return -1
}

// begin starts the work of a run. The caller holds the mutex.
func (r *runner) begin(a *run) {
	a.began = time.Now()
	if a.skipped > 0 {
		a.began = a.began.Add(restoreTime)
	}
	if a.step.LongRunning {
		if a.step.crash > 0 {
			time.AfterFunc(a.step.crash, func() {
				r.w.mu.Lock()
				defer r.w.mu.Unlock()
				if r.runs[a.task] == a {
					r.end(a, "failed")
				}
			})
		}
		return
	}
	how := "done"
	if t := r.w.task(a.task); len(t.failed) < a.step.fails {
		how = "failed"
	}
	time.AfterFunc(time.Until(a.began)+a.length-a.skipped, func() {
		r.w.mu.Lock()
		defer r.w.mu.Unlock()
		if !a.over && r.runs[a.task] == a {
			if a.step.Gang && how == "done" {
				for _, m := range r.w.members(a) {
					m.r.end(m.a, "done")
				}
			}
			r.end(a, how)
		}
	})
}

func (r *runner) stop(o *order) (int, map[string]any) {
	r.lapse()
	r.highest[o.Task] = max(r.highest[o.Task], o.RunID)
	if a := r.runs[o.Task]; a != nil && a.id == o.RunID && !a.stopping {
		a.stopping = true
		time.AfterFunc(randomBelow(stopTimeout), func() {
			r.w.mu.Lock()
			defer r.w.mu.Unlock()
			if r.runs[a.task] == a {
				r.end(a, "stopped")
			}
		})
	}
	return http.StatusOK, map[string]any{}
}

// acknowledge forgets ends. The caller holds the mutex.
func (r *runner) acknowledge(lastSeen int64) {
	for len(r.ends) > 0 && r.ends[0].number <= lastSeen {
		e := r.ends[0]
		r.ends = r.ends[1:]
		if e.lapsed {
			continue
		}
		t := r.w.task(e.task)
		j := r.w.jobs[firstPart(e.task)]
		if j == nil {
			continue
		}
		_, _, n, _ := parseTask(e.task)
		switch {
		case e.how == "done" && !j.Steps[n].LongRunning:
			t.doneNoted = true
		case e.how == "failed" && !j.Steps[n].LongRunning:
			t.noted++
		}
	}
}

func firstPart(task string) string {
	id, _, _, _ := parseTask(task)
	return id
}

func (r *runner) hold(w http.ResponseWriter, request *http.Request) {
	var o order
	err := json.NewDecoder(request.Body).Decode(&o)
	r.w.mu.Lock()
	defer r.w.mu.Unlock()
	if r.down || r.cut {
		r.w.mu.Unlock()
		<-request.Context().Done()
		r.w.mu.Lock()
		return
	}
	answer := func(status int, body map[string]any) {
		body["ClockMs"], body["born"] = r.clock(), r.born.UnixMilli()
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(status)
		_ = json.NewEncoder(w).Encode(body)
	}
	switch {
	case err != nil:
		answer(http.StatusBadRequest, map[string]any{})
		return
	case request.Header.Get("X-Expected-Instance") != r.id:
		answer(http.StatusMisdirectedRequest, map[string]any{})
		return
	case o.Token < r.token:
		answer(http.StatusConflict, map[string]any{"Reason": "fence"})
		return
	}
	r.token = o.Token
	r.extend(o.DeadlineMS)
	r.acknowledge(o.LastSeen)
	born := r.born
	if len(r.ends) == 0 && o.WaitMS > 0 {
		changed := r.changed
		r.w.mu.Unlock()
		timer := time.NewTimer(time.Duration(min(o.WaitMS, 2000)) * time.Millisecond)
		select {
		case <-changed:
		case <-timer.C:
		case <-request.Context().Done():
		}
		timer.Stop()
		r.w.mu.Lock()
	}
	if r.down || r.cut || !r.born.Equal(born) {
		r.w.mu.Unlock()
		<-request.Context().Done()
		r.w.mu.Lock()
		return
	}
	now := time.Now()
	running, list := [][]any{}, [][]any{}
	for _, a := range r.runs {
		checkpoint := a.checkpoint(now)
		if checkpoint != "" {
			r.w.task(a.task).checkpoints[checkpoint] = true
		}
		running = append(running, []any{a.task, a.id, checkpoint, a.percent(now), a.step.CPU})
	}
	slices.SortFunc(running, func(x, y []any) int {
		if x[0].(string) < y[0].(string) {
			return -1
		}
		return 1
	})
	for _, e := range r.ends[:min(500, len(r.ends))] {
		list = append(list, []any{e.number, e.task, e.run, e.how, e.checkpoint})
	}
	answer(http.StatusOK, map[string]any{"Running": running, "Ended": list})
}
