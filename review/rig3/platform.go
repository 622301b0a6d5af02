package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"fuchsiacross/platform/standin"
)

const (
	pool     = "bitacora-secado"
	host     = "nony24.example"
	ticketMS = 2500
	// maxNamedWorkers is the number of workers up to which the record names those of a call for advice.
	maxNamedWorkers = 20
	deadline        = 3 * time.Second
)

// queue is a route of the configuration.
type queue struct {
	name, prefix      string
	priority          int
	attempts          int
	stretch           float64
	latencyMS         int
	adviceMS, adviceW float64 // zero for a queue without advice
}

// adviceServer answers calls for advice, one after another for each caller.
type adviceServer struct {
	w       *world
	server  *httptest.Server
	allowed func(step, worker string) bool
	ms, msW float64
	mu      sync.Mutex
}

func startAdvice(w *world, ms, msW float64, allowed func(step, worker string) bool) *adviceServer {
	a := &adviceServer{w: w, ms: ms, msW: msW, allowed: allowed}
	a.server = httptest.NewServer(http.HandlerFunc(a.serve))
	return a
}

func (a *adviceServer) serve(w http.ResponseWriter, request *http.Request) {
	var question struct {
		Step    string   `json:"Step"`
		Workers []string `json:"Workers"`
	}
	if err := json.NewDecoder(request.Body).Decode(&question); err != nil || len(question.Workers) > 100 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	time.Sleep(time.Duration((a.ms + a.msW*float64(len(question.Workers))) * float64(time.Millisecond)))
	good := [][2]string{}
	for _, id := range question.Workers {
		if !a.allowed(question.Step, id) {
			continue
		}
		a.w.mu.Lock()
		for _, r := range a.w.runners {
			if r.id == id && !r.down {
				good = append(good, [2]string{id, fmt.Sprintf("%s %d %d", question.Step, r.born.UnixNano(), time.Now().Add(ticketMS*time.Millisecond).UnixNano())})
			}
		}
		a.w.mu.Unlock()
	}
	names := ""
	if len(question.Workers) <= maxNamedWorkers {
		names = ": " + strings.Join(question.Workers, " ")
	}
	a.w.note("advice on %s: %d asked, %d good%s", question.Step, len(question.Workers), len(good), names)
	_ = json.NewEncoder(w).Encode(map[string]any{"Good": good})
}

// validTicket reports whether a start carries a valid ticket. The caller holds the mutex.
func validTicket(r *runner, o *order) bool {
	var stepName string
	var born, expires int64
	_, err := fmt.Sscan(o.Ticket, &stepName, &born, &expires)
	return err == nil && strings.HasPrefix(o.Task, stepName+".") && born == r.born.UnixNano() && time.Now().UnixNano() < expires
}

// putConfiguration writes a version of the configuration as the operator does.
func putConfiguration(s *standin.Store, version int, queues []queue) {
	var routes []map[string]any
	for _, q := range queues {
		route := map[string]any{
			"Name": q.name, "Host": host, "PathPrefix": q.prefix, "Service": pool, "MaxAttempts": q.attempts,
			"Stretch": q.stretch, "TargetLatencyMs": q.latencyMS, "Priority": q.priority,
		}
		if q.adviceMS > 0 {
			route["Advice"] = map[string]float64{"DecisionMs": q.adviceMS, "PeriodMs": q.adviceW, "ValidityMs": ticketMS}
		}
		routes = append(routes, route)
	}
	s.Put("op", "config", map[string]any{
		"Version": version, "Routes": routes, "Services": []map[string]any{{"Name": pool, "AdmissionCheck": false}},
		"Limits": map[string]int{"MaxBodyBytes": 262144},
	})
}

// instance is a process of the system.
type instance struct {
	name, front, directory string
	command                *exec.Cmd
	done                   chan struct{}
	storeView              *httptest.Server
	turnedAway             atomic.Bool // the store answers this instance with 503
	advice                 string
	env                    []string
}

func freeAddress() string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

// newInstance writes the settings of an instance, with the fields of deploy/settings.json.tmpl.
func newInstance(name, directory string, store http.Handler, advice string) (*instance, error) {
	i := &instance{name: name, directory: directory, advice: advice}
	i.storeView = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if i.turnedAway.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		store.ServeHTTP(w, r)
	}))
	return i, i.configure()
}

// configure writes the settings, with free ports.
func (i *instance) configure() error {
	i.front = freeAddress()
	text, err := json.Marshal(map[string]any{
		"instance": i.name, "data_centre": "z", "caller_address": i.front, "readiness_address": freeAddress(), "peer_address": freeAddress(),
		"metrics_address": freeAddress(), "store_address": i.storeView.Listener.Addr().String(), "advice_address": i.advice, "processor_share": 0.4, "memory_megabytes": 284,
		"grace_seconds": 6, "max_hold_milliseconds": maxHold.Milliseconds(), "stop_timeout_milliseconds": stopTimeout.Milliseconds(), "retention_seconds": 120,
	})
	if err != nil {
		return err
	}
	settings := filepath.Join(i.directory, i.name+".json")
	i.env = []string{
		"FUCHSIACROSS_CONFIG=" + settings, "FUCHSIACROSS_ROW_BYTES=65536", "FUCHSIACROSS_LINK_MEGABITS=1000",
		"FUCHSIACROSS_MAX_DESCRIPTORS=4100", "FUCHSIACROSS_FEATURES=base,drain,config,cost,recover,sched,platform,advice,upkeep,sharing",
		"PATH=" + os.Getenv("PATH"),
	}
	return os.WriteFile(settings, text, 0o600)
}

func (i *instance) start() error {
	log, err := os.OpenFile(filepath.Join(i.directory, i.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	command, done := exec.Command("target/fuchsiacross-instance"), make(chan struct{})
	command.Env, command.Stdout, command.Stderr = i.env, log, log
	// The kernel kills the process when this one ends, also by SIGKILL.
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := processes.start(command, done); err != nil {
		return err
	}
	i.command, i.done = command, done
	return nil
}

// processTable holds the processes that were started and have not ended.
type processTable struct {
	mu     sync.Mutex
	closed bool
	live   map[*exec.Cmd]chan struct{}
}

// folder is the temporary folder of the case.
var folder atomic.Pointer[string]

var processes = processTable{live: map[*exec.Cmd]chan struct{}{}}

// start starts a process, and closes done when it has ended.
func (t *processTable) start(command *exec.Cmd, done chan struct{}) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed {
		return errors.New("the case ends")
	}
	if err := command.Start(); err != nil {
		return err
	}
	t.live[command] = done
	go func() {
		_ = command.Wait()
		t.mu.Lock()
		delete(t.live, command)
		t.mu.Unlock()
		close(done)
	}()
	return nil
}

// killAll ends all processes and waits until they are gone. None starts any more.
func (t *processTable) killAll() {
	t.mu.Lock()
	t.closed = true
	var ending []chan struct{}
	for command, done := range t.live {
		_ = command.Process.Kill()
		ending = append(ending, done)
	}
	t.mu.Unlock()
	for _, done := range ending {
		<-done
	}
}

func (i *instance) signal(s syscall.Signal) {
	select {
	case <-i.done:
	default:
		_ = i.command.Process.Signal(s)
	}
}

func (i *instance) kill() {
	i.signal(syscall.SIGKILL)
	<-i.done
}

var httpClient = &http.Client{Timeout: deadline + 500*time.Millisecond, Transport: &http.Transport{DialContext: (&net.Dialer{Timeout: time.Second}).DialContext, MaxIdleConnsPerHost: 64}}

// call sends a request of a client. The status is zero without a complete answer.
func (c *cell) call(i *instance, method, path string, body []byte) (int, map[string]any) {
	request, err := http.NewRequest(method, "http://"+i.front+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	request.Host = host
	if c.key != "" {
		request.Header.Set("Authorization", "Bearer "+c.key)
	}
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("X-Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	response, err := httpClient.Do(request)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, nil
	}
	answer := map[string]any{}
	_ = json.Unmarshal(text, &answer)
	return response.StatusCode, answer
}

// submit hands a job in, at one instance after another, until it is accepted.
func (c *cell) submit(j *jobSpec) bool {
	body, err := json.Marshal(j)
	if err != nil {
		return false
	}
	c.w.mu.Lock()
	j.sent = true
	c.w.jobs[j.ID] = j
	c.w.mu.Unlock()
	for attempt := range 12 {
		i := c.instances[attempt%len(c.instances)]
		status, _ := c.call(i, http.MethodPost, j.path+j.ID, body)
		c.w.note("POST %s%s at %s: %d  %s", j.path, j.ID, i.name, status, body)
		if status/100 == 2 {
			return true
		}
		time.Sleep(350 * time.Millisecond)
	}
	return false
}

// state asks for the state of a job.
func (c *cell) state(j *jobSpec) string {
	for _, i := range c.instances {
		if status, answer := c.call(i, http.MethodGet, j.path+j.ID, nil); status == http.StatusOK {
			state, _ := answer["State"].(string)
			return state
		} else if status == http.StatusGone {
			return "410"
		}
	}
	return ""
}

// cell is a small deployment.
type cell struct {
	w         *world
	store     *standin.Store
	advice    *adviceServer
	instances []*instance
	directory string
	key       string // of the tenant; empty without tenants
	// tenantLimit is the tenant's MaxCount of Cpu; zero without tenants.
	tenantLimit int64
}

// startCell starts the store and the advice service; runners are added before the instances.
func startCell(recordPath string, queues []queue, ms, msW float64, allowed func(step, worker string) bool) (*cell, error) {
	w, err := newWorld(recordPath)
	if err != nil {
		return nil, err
	}
	directory, err := os.MkdirTemp("", "rig3-")
	if err != nil {
		return nil, err
	}
	folder.Store(&directory)
	c := &cell{w: w, store: standin.NewStore(), directory: directory}
	c.advice = startAdvice(w, ms, msW, allowed)
	putConfiguration(c.store, 1, queues)
	return c, nil
}

// startInstances starts the processes and waits until each serves requests.
func (c *cell) startInstances(n int, probePath string) error {
	for k := range n {
		i, err := newInstance(fmt.Sprintf("edge-%d", k+1), c.directory, c.store, c.advice.server.Listener.Addr().String())
		if err != nil {
			return err
		}
		c.instances = append(c.instances, i)
		if err := i.start(); err != nil {
			return err
		}
	}
	for until := time.Now().Add(20 * time.Second); ; time.Sleep(100 * time.Millisecond) {
		ready := 0
		for _, i := range c.instances {
			select {
			case <-i.done:
				// Another process has taken one of its ports meanwhile.
				if err := i.configure(); err != nil {
					return err
				}
				if err := i.start(); err != nil {
					return err
				}
			default:
			}
			if status, _ := c.call(i, http.MethodGet, probePath, nil); status == http.StatusOK {
				ready++
			}
		}
		if ready == n {
			return nil
		}
		if time.Now().After(until) {
			return fmt.Errorf("%d of %d instances serve requests", ready, n)
		}
	}
}

// stop ends all processes and removes the temporary folder.
func (c *cell) stop() {
	processes.killAll()
	_ = os.RemoveAll(c.directory)
}

func mustJSON(v any) []byte {
	text, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return text
}
