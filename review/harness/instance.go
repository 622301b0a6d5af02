package main

import (
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	memoryLimitMB   = 284
	graceTime       = 6 * time.Second
	restartDelay    = 300 * time.Millisecond // from the end of a process to its next start
	memoryInterval  = 50 * time.Millisecond
	deployFile      = "deploy/system.toml"
	settingsVar     = "FUCHSIACROSS_CONFIG"
	firstInstanceIP = 10
)

// instance is one process of the system. The platform starts it again whenever it ends.
type instance struct {
	platform  *platform
	name      string
	front     string
	readiness string
	settings  string // path
	words     []string

	mu      sync.Mutex
	command *exec.Cmd
	exited  chan struct{}
	ended   bool // it is not started again
}

var (
	runLine      = regexp.MustCompile(`(?m)^run = "([^"]*)"`)
	templateLine = regexp.MustCompile(`(?m)^template = "([^"]*)"`)
	placeholder  = regexp.MustCompile(`\{\{([A-Za-z_.0-9]+)(\|json)?\}\}`)
)

// newInstance renders the settings of an instance from the template of the deploy file.
func newInstance(p *platform, n int) (*instance, error) {
	deploy, err := os.ReadFile(deployFile)
	if err != nil {
		return nil, err
	}
	command, template := runLine.FindSubmatch(deploy), templateLine.FindSubmatch(deploy)
	if command == nil || template == nil {
		return nil, fmt.Errorf("%s has no run line or no template", deployFile)
	}
	text, err := os.ReadFile(string(template[1]))
	if err != nil {
		return nil, err
	}
	i := &instance{platform: p, name: fmt.Sprintf("edge-coban-centro-%d", n+1), words: strings.Fields(string(command[1]))}
	host := firstInstanceIP + n
	var addresses []string
	for range 4 {
		a, err := p.freeAddress(host)
		if err != nil {
			return nil, err
		}
		addresses = append(addresses, a)
	}
	i.front, i.readiness = addresses[0], addresses[1]
	port := func(address string) string { return address[strings.LastIndexByte(address, ':')+1:] }
	fields := map[string]string{
		"NodeName": i.name, "Zone": zoneName, "Ip": fmt.Sprintf("%s.%d", p.network, host),
		"ListenAddrs.Front": i.front, "ListenAddrs.Readiness": i.readiness,
		"InternalPorts.0": port(addresses[2]), "InternalPorts.1": port(addresses[3]),
		"platform.Address": p.store.address(), "Advice": p.adviceAt,
		"Limits.CpuShare": "0.4", "Limits.MemoryMb": strconv.Itoa(memoryLimitMB),
		"Bounds.GraceS": "6", "Bounds.MaxHoldMs": "10000", "Bounds.StopTimeoutMs": "400", "Bounds.status_s": "120",
	}
	missing := ""
	rendered := placeholder.ReplaceAllStringFunc(string(text), func(found string) string {
		parts := placeholder.FindStringSubmatch(found)
		value, known := fields[parts[1]]
		if !known {
			missing = parts[1]
		}
		if parts[2] != "" {
			return strconv.Quote(value)
		}
		return value
	})
	if missing != "" {
		return nil, fmt.Errorf("the stand-in has no value for %s of the template", missing)
	}
	i.settings = filepath.Join(p.directory, i.name+".json")
	return i, os.WriteFile(i.settings, []byte(rendered), 0o600)
}

// start starts the process. It starts again whenever it ends, until end is called.
func (i *instance) start() error {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.ended {
		return nil
	}
	log, err := os.OpenFile(filepath.Join(i.platform.directory, i.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	command := exec.Command(i.words[0], i.words[1:]...)
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=" + os.Getenv("LANG"), settingsVar + "=" + i.settings}
	command.Stdout, command.Stderr = log, log
	// The kernel ends the process if the harness is killed.
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	i.command, i.exited = command, exited
	go i.watchMemory(command, exited)
	go func() {
		_ = command.Wait()
		close(exited)
		time.Sleep(restartDelay)
		i.mu.Lock()
		again := !i.ended
		i.mu.Unlock()
		if again {
			i.platform.record.note("platform: %s is started again", i.name)
			if err := i.start(); err != nil {
				i.platform.record.note("platform: %s cannot be started: %v", i.name, err)
			}
		}
	}()
	return nil
}

// watchMemory kills the process when it exceeds its memory, as the platform does.
func (i *instance) watchMemory(command *exec.Cmd, exited chan struct{}) {
	for {
		select {
		case <-exited:
			return
		case <-time.After(memoryInterval):
		}
		text, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", command.Process.Pid))
		fields := strings.Fields(string(text))
		if err != nil || len(fields) < 2 {
			continue
		}
		pages, err := strconv.Atoi(fields[1])
		if used := pages * os.Getpagesize() >> 20; err == nil && used > memoryLimitMB {
			i.platform.record.note("platform: %s uses %d MB, more than MemoryMb %d, and is killed", i.name, used, memoryLimitMB)
			_ = command.Process.Kill()
			return
		}
	}
}

// signal sends a signal to the process and waits until it has ended. It is killed after the
// grace period.
func (i *instance) signal(s syscall.Signal) {
	i.mu.Lock()
	command, exited := i.command, i.exited
	i.mu.Unlock()
	i.platform.record.note("platform: %s gets signal %q", i.name, s)
	_ = command.Process.Signal(s)
	select {
	case <-exited:
	case <-time.After(graceTime):
		_ = command.Process.Kill()
		<-exited
	}
	i.platform.record.note("platform: %s has ended", i.name)
}

// freeze stops the process and lets it go on after a time.
func (i *instance) freeze(duration time.Duration) {
	i.mu.Lock()
	command := i.command
	i.mu.Unlock()
	i.platform.record.note("platform: the machine of %s freezes", i.name)
	_ = command.Process.Signal(syscall.SIGSTOP)
	time.Sleep(duration)
	_ = command.Process.Signal(syscall.SIGCONT)
	i.platform.record.note("platform: the machine of %s wakes again", i.name)
}

// end kills the process for good. A later start does nothing.
func (i *instance) end() {
	i.mu.Lock()
	i.ended = true
	command, exited := i.command, i.exited
	i.mu.Unlock()
	if command != nil {
		_ = command.Process.Kill()
		<-exited
	}
}

func (i *instance) isReady() bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + i.readiness + "/ready")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// leader returns the instance that the leader's row in the store names, or nil.
func (p *platform) leader() *instance {
	text := p.store.leaderRow()
	for _, i := range p.instances {
		if strings.Contains(text, i.name) {
			return i
		}
	}
	return nil
}
