//go:build crowd

package crowd

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"fuchsiacross/platform/standin"
)

const (
	// memoryMegabytes is the memory of the machine that the settings describe. A process that
	// is idle has some 30 MB.
	memoryMegabytes = 96
	// maxDescriptors is the number of descriptors that the process may have open at any time.
	// The smallest machines have 3,075.
	maxDescriptors = 1000
	maxBodyBytes   = 262_144

	startTimeout     = 30 * time.Second // of the process, and of an ordinary request with its repetitions
	requestTimeout   = 5 * time.Second
	repetitionDelay  = 200 * time.Millisecond
	samplingInterval = 20 * time.Millisecond
)

var instanceBinary string // path of the instance program, built before the tests

func TestMain(m *testing.M) { os.Exit(buildAndRun(m)) }

func buildAndRun(m *testing.M) int {
	directory, err := os.MkdirTemp("", "crowd")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(directory) }()
	instanceBinary = filepath.Join(directory, "fuchsiacross-instance")
	if output, err := exec.Command("go", "build", "-o", instanceBinary, "fuchsiacross/cmd/fuchsiacross-instance").CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "%v\n%s", err, output)
		return 1
	}
	return m.Run()
}

// instanceProcess is a process of an instance, the only one of its deployment.
type instanceProcess struct {
	pid                               int
	exited                            chan struct{}
	caller, readiness, peer, counters netip.AddrPort
	peakDescriptors                   atomic.Int64
	lastID                            int
}

// startInstance starts a process and waits until it answers an ordinary request.
func startInstance(t *testing.T) *instanceProcess {
	t.Helper()
	store := standin.NewStore()
	t.Cleanup(store.Close)
	store.Put("op", "config", map[string]any{
		"Version": 1,
		"Routes": []map[string]any{{
			"Name": "r", "Host": "h.example", "PathPrefix": "/p/", "Service": "pool", "MaxAttempts": 2, "Stretch": 2, "TargetLatencyMs": 500,
		}},
		"Limits": map[string]int{"MaxBodyBytes": maxBodyBytes},
	})
	p := &instanceProcess{exited: make(chan struct{}), caller: freeAddress(t), readiness: freeAddress(t), peer: freeAddress(t), counters: freeAddress(t)}
	text, err := json.Marshal(map[string]any{
		"instance": "i0", "data_centre": "z", "caller_address": p.caller.String(), "readiness_address": p.readiness.String(),
		"peer_address": p.peer.String(), "metrics_address": p.counters.String(), "store_address": store.Address().String(),
		"processor_share": 0.4, "memory_megabytes": memoryMegabytes, "grace_seconds": 4,
		"max_hold_milliseconds": 10_000, "stop_timeout_milliseconds": 400, "retention_seconds": 120,
	})
	if err != nil {
		t.Fatal(err)
	}
	directory := t.TempDir()
	settingsPath, logPath := filepath.Join(directory, "settings.json"), filepath.Join(directory, "log")
	if err := os.WriteFile(settingsPath, text, 0o600); err != nil {
		t.Fatal(err)
	}
	log, err := os.Create(logPath)
	if err != nil {
		t.Fatal(err)
	}
	command := exec.Command(instanceBinary, "--settings", settingsPath)
	command.Dir, command.Stdout, command.Stderr = directory, log, log
	// The kernel kills the instance when the test process dies, so that no process is left
	// behind.
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		t.Fatal(err)
	}
	p.pid = command.Process.Pid
	go func() {
		_ = command.Wait()
		close(p.exited)
	}()
	t.Cleanup(func() {
		_ = command.Process.Kill()
		<-p.exited
		_ = log.Close()
		if t.Failed() {
			text, _ := os.ReadFile(logPath)
			t.Logf("end of the log:\n%s", text[max(0, len(text)-4000):])
		}
	})
	go p.sampleDescriptors()
	p.requireOrdinaryAnswer(t)
	return p
}

func freeAddress(t *testing.T) netip.AddrPort {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	return l.Addr().(*net.TCPAddr).AddrPort()
}

// requireOrdinaryAnswer submits a small job and checks that it is accepted. Refusals are
// repeated, as ordinary clients do.
func (p *instanceProcess) requireOrdinaryAnswer(t *testing.T) {
	t.Helper()
	p.lastID++
	client := http.Client{Timeout: requestTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	var last string
	for end := time.Now().Add(startTimeout); time.Now().Before(end); time.Sleep(repetitionDelay) {
		url := fmt.Sprintf("http://%s/p/%016x", p.caller, p.lastID)
		request, err := http.NewRequest(http.MethodPost, url, strings.NewReader(`{"Steps":[{"Count":1,"Cpu":1000,"MemMb":64,"EstimateMs":50}]}`))
		if err != nil {
			t.Fatal(err)
		}
		request.Host = "h.example"
		response, err := client.Do(request)
		if err != nil {
			last = err.Error()
			continue
		}
		body, _ := io.ReadAll(response.Body)
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return
		}
		last = fmt.Sprintf("%s %s", response.Status, body)
	}
	t.Errorf("an ordinary request is not accepted; the last attempt: %s", last)
}

// sampleDescriptors records the largest number of open descriptors until the process exits.
func (p *instanceProcess) sampleDescriptors() {
	ticker := time.NewTicker(samplingInterval)
	defer ticker.Stop()
	for {
		select {
		case <-p.exited:
			return
		case <-ticker.C:
		}
		directory, err := os.Open(fmt.Sprintf("/proc/%d/fd", p.pid))
		if err != nil {
			continue
		}
		names, err := directory.Readdirnames(-1)
		_ = directory.Close()
		if err == nil {
			p.peakDescriptors.Store(max(p.peakDescriptors.Load(), int64(len(names))))
		}
	}
}

// peakMegabytes returns the peak of the resident memory.
func (p *instanceProcess) peakMegabytes(t *testing.T) int {
	t.Helper()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.pid))
	if err != nil {
		t.Fatalf("the process has ended: %v", err)
	}
	for line := range strings.Lines(string(text)) {
		var kilobytes int
		if _, err := fmt.Sscanf(line, "VmHWM: %d kB", &kilobytes); err == nil {
			return kilobytes >> 10
		}
	}
	t.Fatal("the process has ended: no VmHWM in its status")
	return 0
}

// requireWithinBounds checks that the process lives, and the peaks of its memory and of its
// descriptors since its start.
func (p *instanceProcess) requireWithinBounds(t *testing.T) {
	t.Helper()
	select {
	case <-p.exited:
		t.Fatal("the process has ended")
	default:
	}
	megabytes, descriptors := p.peakMegabytes(t), p.peakDescriptors.Load()
	t.Logf("peaks: %d MB, %d descriptors", megabytes, descriptors)
	if megabytes > memoryMegabytes {
		t.Errorf("resident memory reached %d MB, the machine has %d MB", megabytes, memoryMegabytes)
	}
	if descriptors > maxDescriptors {
		t.Errorf("%d descriptors were open, at most %d are allowed", descriptors, maxDescriptors)
	}
}
