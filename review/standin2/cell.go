package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"syscall"
	"time"

	"fuchsiacross/loopback"
	"fuchsiacross/platform/standin"
)

const (
	instanceCount  = 3
	requestTimeout = 3 * time.Second
	queueHost      = "h.example"
	startupLimit   = 15 * time.Second
)

// instanceProcess is a process of the program under review.
type instanceProcess struct {
	name      string
	front     string
	readiness string
	command   *exec.Cmd
	exited    <-chan struct{} // closed when the process has ended
	settings  string
}

// cell is a small deployment: the store, the advice service, runners and instances.
type cell struct {
	platform  *platform
	store     *standin.Store
	fronted   *frontedStore // where the instances reach the store
	advice    *httptest.Server
	folder    string // for settings and logs
	program   string
	instances []*instanceProcess
	runners   []*runner
	client    *http.Client
	network   *loopback.Network // of the instances
}

// newCell starts a cell with the given racks of the runners and waits until it is ready.
func newCell(p *platform, program string, racks []string, withAdvice bool) (*cell, error) {
	folder, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, err
	}
	children.addFolder(folder)
	c := &cell{platform: p, store: standin.NewStore(), advice: p.newAdviceService(), folder: folder, program: program, client: &http.Client{Timeout: requestTimeout}, network: loopback.New()}
	c.fronted = newFrontedStore(c.store)
	c.writeConfiguration(withAdvice)
	for n, rack := range racks {
		r, err := newRunner(p, c.store, fmt.Sprintf("w%02d", n), kindOf(rack), rack)
		if err != nil {
			return c, err
		}
		p.mu.Lock()
		p.runners[r.id] = r
		p.mu.Unlock()
		c.runners = append(c.runners, r)
	}
	for n := range instanceCount {
		if err := c.startInstance(n); err != nil {
			return c, err
		}
	}
	for deadline := time.Now().Add(startupLimit); ; time.Sleep(100 * time.Millisecond) {
		ready := 0
		for _, i := range c.instances {
			if response, err := c.client.Get("http://" + i.readiness + "/ready"); err == nil {
				_ = response.Body.Close()
				if response.StatusCode == http.StatusOK {
					ready++
				}
			}
		}
		if ready == instanceCount {
			p.log("all instances are ready")
			return c, nil
		}
		if time.Now().After(deadline) {
			return c, fmt.Errorf("only %d instances are ready after %s", ready, startupLimit)
		}
	}
}

// writeConfiguration writes the operator's configuration with two queues.
func (c *cell) writeConfiguration(withAdvice bool) {
	queue := func(name, prefix string, priority int) map[string]any {
		q := map[string]any{
			"Name": name, "Host": queueHost, "PathPrefix": prefix, "Service": poolName, "MaxAttempts": 3,
			"Stretch": 2, "TargetLatencyMs": 500, "Priority": priority,
		}
		if withAdvice {
			q["Advice"] = map[string]float64{"DecisionMs": 5, "PeriodMs": 0.1, "ValidityMs": 2500}
		}
		return q
	}
	c.store.Put("op", "config", map[string]any{
		"Version":  1,
		"Routes":   []map[string]any{queue("urgent", "/u/", 0), queue("batch", "/b/", 1)},
		"Services": []map[string]any{{"Name": poolName, "AdmissionCheck": false}},
		"Limits":   map[string]int{"MaxBodyBytes": 65536},
	})
}

var placeholder = regexp.MustCompile(`\{\{\s*([A-Za-z.0-9_]+)(\|json)?\s*\}\}`)

// startInstance renders the template of the deploy file and starts the program with it.
func (c *cell) startInstance(n int) error {
	var addresses [4]string
	for i := range addresses {
		a, err := c.network.FreeAddress(n)
		if err != nil {
			return err
		}
		addresses[i] = a.String()
	}
	port := func(a string) string { return a[strings.LastIndex(a, ":")+1:] }
	fields := map[string]any{
		"NodeName": fmt.Sprintf("edge-%d", n+1), "Zone": "z", "ListenAddrs.Front": addresses[0], "ListenAddrs.Readiness": addresses[1],
		"Ip": c.network.Host(n).String(), "InternalPorts.0": port(addresses[2]), "InternalPorts.1": port(addresses[3]),
		"platform.Address": c.fronted.server.Listener.Addr().String(), "Advice": c.advice.Listener.Addr().String(),
		"Limits.CpuShare": 0.4, "Limits.MemoryMb": 284, "Bounds.GraceS": 6, "Bounds.MaxHoldMs": 10_000,
		"Bounds.StopTimeoutMs": 400, "Bounds.status_s": 120,
	}
	template, err := os.ReadFile(filepath.Join("deploy", "settings.json.tmpl"))
	if err != nil {
		return err
	}
	missing := ""
	text := placeholder.ReplaceAllStringFunc(string(template), func(found string) string {
		m := placeholder.FindStringSubmatch(found)
		value, known := fields[m[1]]
		if !known {
			missing = m[1]
		}
		if m[2] == "" {
			return fmt.Sprint(value)
		}
		encoded, _ := json.Marshal(value)
		return string(encoded)
	})
	if missing != "" {
		return fmt.Errorf("the template of the settings names %s, which is not known here", missing)
	}
	i := &instanceProcess{name: fields["NodeName"].(string), front: addresses[0], readiness: addresses[1]}
	i.settings = filepath.Join(c.folder, i.name+".json")
	if err := os.WriteFile(i.settings, []byte(text), 0o600); err != nil {
		return err
	}
	c.instances = append(c.instances, i)
	return c.run(i)
}

// run starts the process of an instance.
func (c *cell) run(i *instanceProcess) error {
	logFile, err := os.OpenFile(filepath.Join(c.folder, i.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = logFile.Close() }()
	i.command = exec.Command(c.program)
	i.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "FUCHSIACROSS_CONFIG=" + i.settings, "FUCHSIACROSS_ROW_BYTES=65536"}
	i.command.Stdout, i.command.Stderr = logFile, logFile
	i.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	exited, err := children.start(i.command)
	i.exited = exited
	return err
}

// isRunning reports whether the process of an instance has not ended.
func (i *instanceProcess) isRunning() bool {
	select {
	case <-i.exited:
		return false
	default:
		return true
	}
}

// call sends a client's request to an instance. The status is zero without an answer.
func (c *cell) call(instance int, method, path string, body map[string]any) (status int, answer map[string]any) {
	var text []byte
	if body != nil {
		text, _ = json.Marshal(body)
	}
	i := c.instances[instance%len(c.instances)]
	request, err := http.NewRequest(method, "http://"+i.front+path, bytes.NewReader(text))
	if err != nil {
		return 0, nil
	}
	request.Host = queueHost
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("X-Deadline-Ms", "3000")
	response, err := c.client.Do(request)
	if err != nil {
		c.platform.log("client: %s %s at %s: %v", method, path, i.name, err)
		return 0, nil
	}
	defer func() { _ = response.Body.Close() }()
	received, _ := io.ReadAll(response.Body)
	_ = json.Unmarshal(received, &answer)
	c.platform.log("client: %s %s at %s %s: %d %s", method, path, i.name, text, response.StatusCode, received)
	return response.StatusCode, answer
}

// submit hands a job in until it is accepted.
func (c *cell) submit(j *jobSpec) error {
	c.platform.mu.Lock()
	c.platform.jobs[j.id] = j
	c.platform.mu.Unlock()
	for attempt := range 6 {
		if status, _ := c.call(attempt, http.MethodPost, j.path, j.body); status == http.StatusOK {
			j.accepted = time.Now()
			return nil
		}
		time.Sleep(500 * time.Millisecond)
	}
	return fmt.Errorf("job %s is not accepted", j.id)
}

// newJob describes a job with one step.
func newJob(number int, prefix string, tasks int, milliCPU int64, length time.Duration, lasts bool) *jobSpec {
	id := fmt.Sprintf("%016x", 0xa1b2c3d400000000+uint64(number))
	step := map[string]any{"Count": tasks, "Cpu": milliCPU, "MemMb": 256}
	if lasts {
		step["LongRunning"] = true
	} else {
		step["EstimateMs"] = length.Milliseconds()
	}
	return &jobSpec{
		id: id, path: prefix + id, tasks: tasks, milliCPU: milliCPU, length: length, lasts: lasts,
		body: map[string]any{"TaskSpec": "spec " + id, "Steps": []map[string]any{step}},
	}
}

// stepOf returns the first step of a job's body.
func (j *jobSpec) stepOf() map[string]any { return j.body["Steps"].([]map[string]any)[0] }

func (j *jobSpec) task(index int) string { return fmt.Sprintf("%s.0.0.%d", j.id, index) }
