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

	startTimeout    = 30 * time.Second // of the process, and of an ordinary request with its repetitions
	requestTimeout  = 5 * time.Second
	repetitionDelay = 200 * time.Millisecond
)

var instanceBinary, daemonBinary string // paths of the programs, built before the tests

func TestMain(m *testing.M) { os.Exit(buildAndRun(m)) }

func buildAndRun(m *testing.M) int {
	directory, err := os.MkdirTemp("", "crowd")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(directory) }()
	instanceBinary, daemonBinary = filepath.Join(directory, "fuchsiacross-instance"), filepath.Join(directory, "fuchsiacrossd")
	if output, err := exec.Command("go", "build", "-o", directory, "fuchsiacross/cmd/fuchsiacross-instance", "fuchsiacross/cmd/fuchsiacrossd").CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "%v\n%s", err, output)
		return 1
	}
	return m.Run()
}

// instanceProcess is a process of an instance, the only one of its deployment.
type instanceProcess struct {
	*process
	caller, readiness, peer, counters netip.AddrPort
	lastID                            int
}

// startInstance starts a process and waits until it answers an ordinary request.
func startInstance(t *testing.T) *instanceProcess {
	t.Helper()
	p := launchInstance(t, startStore(t), "i0")
	p.requireOrdinaryAnswer(t)
	return p
}

// startStore starts a stand-in of the store with a configuration of two queues.
func startStore(t *testing.T) *standin.Store {
	t.Helper()
	store := standin.NewStore()
	t.Cleanup(store.Close)
	var routes []map[string]any
	for _, name := range []string{"p", "o"} {
		routes = append(routes, map[string]any{
			"Name": name, "Host": "h.example", "PathPrefix": "/" + name + "/", "Service": "pool", "MaxAttempts": 2, "Stretch": 2, "TargetLatencyMs": 500,
		})
	}
	store.Put("op", "config", map[string]any{"Version": 1, "Routes": routes, "Limits": map[string]int{"MaxBodyBytes": maxBodyBytes}})
	return store
}

// launchInstance starts a process without waiting for it.
func launchInstance(t *testing.T, store *standin.Store, name string) *instanceProcess {
	t.Helper()
	p := &instanceProcess{caller: freeAddress(t), readiness: freeAddress(t), peer: freeAddress(t), counters: freeAddress(t)}
	text, err := json.Marshal(map[string]any{
		"instance": name, "data_centre": "z", "caller_address": p.caller.String(), "readiness_address": p.readiness.String(),
		"peer_address": p.peer.String(), "metrics_address": p.counters.String(), "store_address": store.Address().String(),
		"processor_share": 0.4, "memory_megabytes": memoryMegabytes, "grace_seconds": 4,
		"max_hold_milliseconds": 10_000, "stop_timeout_milliseconds": 400, "retention_seconds": 120,
	})
	if err != nil {
		t.Fatal(err)
	}
	p.process = startProcess(t, instanceBinary, text, memoryMegabytes, maxDescriptors)
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

// requireOrdinaryAnswer submits a small job to the queue of the crowds and checks that it is
// accepted. Refusals are repeated, as ordinary clients do.
func (p *instanceProcess) requireOrdinaryAnswer(t *testing.T) {
	t.Helper()
	p.requireAccepted(t, "p")
}

// requireAccepted submits a small job to a queue and checks that it is accepted.
func (p *instanceProcess) requireAccepted(t *testing.T, queue string) {
	t.Helper()
	p.lastID++
	client := http.Client{Timeout: requestTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	var last string
	for end := time.Now().Add(startTimeout); time.Now().Before(end); time.Sleep(repetitionDelay) {
		url := fmt.Sprintf("http://%s/%s/%016x", p.caller, queue, p.lastID)
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
