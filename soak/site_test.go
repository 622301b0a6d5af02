package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"fuchsiacross/jobstore"
	"fuchsiacross/linkstandin"
	"fuchsiacross/platform/standin"
	"fuchsiacross/platform/store"
	"fuchsiacross/shardmap"
)

const (
	instanceCount = 5
	runnerCount   = 8
	rackCount     = 2
	milliCPU      = 16_000
	maxAttempts   = 3
	graceSeconds  = 4
	pool          = "pool"
)

// host is a runner behind its relay.
type host struct {
	runner *standin.Runner
	relay  *linkstandin.Link
}

// site is a deployment under test.
type site struct {
	seed      int64
	random    *rand.Rand // of the schedule of faults
	directory string
	store     *standin.Store
	recorder  *standin.Recorder
	hosts     []host
	processes []*process

	mu      sync.Mutex
	history []string // faults with their times
	version int
}

func newSite(seed int64) *site {
	GinkgoHelper()
	s := &site{
		seed: seed, random: rand.New(rand.NewPCG(uint64(seed), 1)), directory: GinkgoT().TempDir(),
		store: standin.NewStore(), recorder: standin.NewRecorder(nil),
	}
	DeferCleanup(s.store.Close)
	advice := standin.NewAdviceServer()
	DeferCleanup(advice.Close)
	s.configure()
	s.divide()
	for n := range runnerCount {
		r := standin.NewRunner(s.store, fmt.Sprintf("w%d", n), pool, milliCPU, s.recorder)
		DeferCleanup(r.Close)
		r.Rack = rackName(n % rackCount)
		h := host{r, relay(r.Address())}
		r.Register(s.store, pool, h.relay.Address(), milliCPU, "ready")
		s.hosts = append(s.hosts, h)
	}
	for n := range instanceCount {
		peer := freeAddress()
		p := &process{name: fmt.Sprintf("i%d", n), caller: freeAddress(), store: relay(s.store.Address()), peer: relay(peer)}
		p.settings = filepath.Join(s.directory, p.name+".json")
		p.log = filepath.Join(s.directory, p.name+".log")
		text, err := json.Marshal(map[string]any{
			"instance": p.name, "data_centre": "z", "caller_address": p.caller.String(),
			"readiness_address": freeAddress().String(), "peer_address": peer.String(),
			"advertised_peer_address": p.peer.Address().String(), "store_address": p.store.Address().String(),
			"advice_address":  advice.Listener.Addr().(*net.TCPAddr).AddrPort().String(),
			"processor_share": 0.4, "memory_megabytes": 284, "grace_seconds": graceSeconds,
			"max_hold_milliseconds": 10_000, "stop_timeout_milliseconds": 400, "retention_seconds": 120,
		})
		Expect(err).NotTo(HaveOccurred())
		Expect(os.WriteFile(p.settings, text, 0o600)).To(Succeed())
		p.start()
		DeferCleanup(func() { p.end() })
		s.processes = append(s.processes, p)
	}
	return s
}

// divide stores a map of two shards for even seeds, of one for the others.
func (s *site) divide() {
	GinkgoHelper()
	m := shardmap.Single()
	if s.seed%2 == 0 {
		m = &shardmap.Map{Shards: rackCount, Racks: map[string]int{}}
		for n := range rackCount {
			m.Racks[rackName(n)] = n
		}
	}
	Expect(jobstore.StoreShardMap(context.Background(), store.New(s.store.Address()), m)).To(Succeed())
}

func rackName(n int) string { return fmt.Sprintf("r1-%d", n) }

// configure writes the next version of the configuration.
func (s *site) configure() {
	s.mu.Lock()
	s.version++
	version := s.version
	s.mu.Unlock()
	queue := func(name, prefix string, priority int, call float64) map[string]any {
		return map[string]any{
			"Name": name, "Host": "h.example", "PathPrefix": prefix, "Service": pool, "MaxAttempts": maxAttempts,
			"Stretch": 2, "TargetLatencyMs": 500, "Priority": priority,
			"Advice": map[string]float64{"DecisionMs": call, "PeriodMs": 0.1, "ValidityMs": 2500},
		}
	}
	s.store.Put("op", "config", map[string]any{
		"Version": version,
		"Routes":  []map[string]any{queue("urgent", "/u/", 0, 1), queue("batch", "/b/", 1, 300)},
		"Limits":  map[string]int{"MaxBodyBytes": 65536},
	})
}

func (s *site) note(format string, values ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history = append(s.history, time.Now().Format("15:04:05.000 ")+fmt.Sprintf(format, values...))
}

// describe tells what is needed to trace a failure, and keeps the logs if
// SOAK_LOGS names a folder.
func (s *site) describe() string {
	if folder := os.Getenv("SOAK_LOGS"); folder != "" {
		for _, p := range s.processes {
			text, err := os.ReadFile(p.log)
			if err == nil {
				err = os.WriteFile(filepath.Join(folder, fmt.Sprintf("%d-%s.log", s.seed, p.name)), text, 0o600)
			}
			if err != nil {
				s.note("log of %s: %v", p.name, err)
			}
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return fmt.Sprintf("seed %d, faults:\n%s", s.seed, strings.Join(s.history, "\n"))
}
