package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/go-faster/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"fuchsiacross/jobstore"
	"fuchsiacross/linkstandin"
	"fuchsiacross/platform/standin"
	"fuchsiacross/platform/store"
	"fuchsiacross/shardmap"
)

const (
	instanceCount   = 5
	runnerCount     = 8
	rackCount       = 2
	runnerMilliCPU  = 16_000
	maxTaskAttempts = 3
	graceSeconds    = 4
	poolName        = "pool"
	storeTimeout    = 2 * time.Second // of a call of the test to the store
)

// linkedRunner is a runner and the links to it, one from each instance.
type linkedRunner struct {
	runner *standin.Runner
	links
}

// cluster is the deployment under test: stand-ins for the store and the runners,
// and instances that run as separate processes.
type cluster struct {
	seed           int64
	scheduleRandom *rand.Rand // for the fault schedule
	directory      string
	store          *standin.Store
	recorder       *standin.Recorder
	keys           *keyRing
	routes         *routeLog
	runners        []linkedRunner
	processes      []*process

	mu         sync.Mutex
	history    []string                   // timestamped faults and errors
	splitLinks map[*linkstandin.Link]bool // links that a split cuts

	configurationMutex   sync.Mutex // held while a configuration is written
	configurationVersion int
}

func startCluster(seed int64) *cluster {
	GinkgoHelper()
	c := &cluster{
		seed: seed, scheduleRandom: rand.New(rand.NewPCG(uint64(seed), 1)), directory: GinkgoT().TempDir(),
		store: standin.NewStore(), recorder: standin.NewRecorder(nil), keys: newKeyRing(seed), routes: newRouteLog(), splitLinks: map[*linkstandin.Link]bool{},
	}
	DeferCleanup(c.store.Close)
	for tenant := range limitedTenants {
		c.recorder.LimitTenant(tenantName(tenant), tenantLimitMilliCPU)
	}
	advice := standin.NewAdviceServer(c.recorder, c.allowsStep)
	DeferCleanup(advice.Close)
	c.writeConfiguration()
	c.storeShardMap()
	for n := range runnerCount {
		r := standin.NewRunner(c.store, fmt.Sprintf("w%d", n), poolName, runnerMilliCPU, c.recorder)
		DeferCleanup(r.Close)
		r.Rack = rackName(n % rackCount)
		linked := linkedRunner{r, newLinks(n, r.Address())}
		linked.register(c.store, "ready")
		c.runners = append(c.runners, linked)
	}
	for n := range instanceCount {
		peer := freeAddress()
		p := &process{name: fmt.Sprintf("i%d", n), callerAddress: freeAddress(), storeLink: newLink(c.store.AddView(addressesOf(n))), peerLinks: newLinks(runnerCount+n, peer)}
		p.settingsPath = filepath.Join(c.directory, p.name+".json")
		p.logPath = filepath.Join(c.directory, p.name+".log")
		text, err := json.Marshal(map[string]any{
			"instance": p.name, "data_centre": "z", "caller_address": p.callerAddress.String(),
			"readiness_address": freeAddress().String(), "peer_address": peer.String(),
			"advertised_peer_address": p.peerLinks.registeredAddress.String(), "store_address": p.storeLink.Address().String(),
			"advice_address":  advice.Listener.Addr().(*net.TCPAddr).AddrPort().String(),
			"processor_share": 0.4, "memory_megabytes": 284, "grace_seconds": graceSeconds,
			"max_hold_milliseconds": 10_000, "stop_timeout_milliseconds": 400, "retention_seconds": 120, "features": "tenants",
		})
		Expect(err).NotTo(HaveOccurred())
		Expect(os.WriteFile(p.settingsPath, text, 0o600)).To(Succeed())
		p.start()
		DeferCleanup(func() { p.kill() })
		c.processes = append(c.processes, p)
	}
	return c
}

// allowedTogether is the number of runners among which those are that may run a step whose
// policy is limited: one in each shard. They are in different racks.
const allowedTogether = rackCount

// isLimited reports whether only a few runners may run the steps of a job. The last digits of
// a job's id are its number.
func isLimited(id string) (limited bool, number int) {
	n, err := strconv.ParseUint(id[len(id)-2:], 16, 8)
	return err == nil && n%4 == 0, int(n / 4)
}

// allowsStep is the policy of the advice service.
func (c *cluster) allowsStep(step, runner string) bool {
	id, _, _ := strings.Cut(step, ".")
	limited, number := isLimited(id)
	n, err := strconv.Atoi(strings.TrimPrefix(runner, "w"))
	if err != nil || !limited {
		return err == nil
	}
	return n/allowedTogether == number%(runnerCount/allowedTogether) && (c.shardCount() > 1 || n%allowedTogether == 0)
}

// register writes the registration of the runner in a state to the store.
func (r linkedRunner) register(s *standin.Store, state string) {
	r.runner.Register(s, poolName, r.registeredAddress, runnerMilliCPU, state)
}

// shardCount is two for even seeds and one for odd ones.
func (c *cluster) shardCount() int { return rackCount - int(c.seed%rackCount) }

// storeShardMap stores the map of the shards. With two shards, each has one of the racks.
func (c *cluster) storeShardMap() {
	GinkgoHelper()
	m := shardmap.Single()
	if c.shardCount() > 1 {
		m = &shardmap.Map{Shards: rackCount, Racks: map[string]int{}}
		for n := range rackCount {
			m.Racks[rackName(n)] = n
		}
	}
	Expect(jobstore.StoreShardMap(context.Background(), store.New(c.store.Address()), m)).To(Succeed())
}

// findLeader returns the number of the instance that the store names as the leader of a
// shard.
func (c *cluster) findLeader(shard int) (int, error) {
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	leader, _, err := jobstore.New(store.New(c.store.Address()), shard).ReadLeader(ctx)
	if err != nil {
		return 0, errors.Wrap(err, "read leader")
	}
	number := slices.IndexFunc(c.processes, func(p *process) bool { return p.name == leader.Name })
	if number < 0 {
		return 0, errors.Errorf("shard %d has no leader", shard)
	}
	return number, nil
}

func rackName(n int) string { return fmt.Sprintf("r1-%d", n) }

// writeConfiguration writes the next version of the configuration to the store.
func (c *cluster) writeConfiguration() {
	c.configurationMutex.Lock()
	defer c.configurationMutex.Unlock()
	c.configurationVersion++
	version := c.configurationVersion
	queue := func(name, prefix string, priority int, decisionMilliseconds float64) map[string]any {
		return map[string]any{
			"Name": name, "Host": "h.example", "PathPrefix": prefix, "Service": poolName, "MaxAttempts": maxTaskAttempts,
			"Stretch": 2, "TargetLatencyMs": 500, "Priority": priority,
			"Advice": map[string]float64{"DecisionMs": decisionMilliseconds, "PeriodMs": 0.1, "ValidityMs": 2500},
		}
	}
	direct := queue("direct", "/d/", 0, 0)
	delete(direct, "Advice")
	routes := []map[string]any{queue("urgent", "/u/", 0, 1), queue("batch", "/b/", 1, 300), direct}
	for added := max(1, version-routesKept+1); added <= version; added++ {
		route := queue(fmt.Sprintf("v%d", added), prefix(added), 2, 1)
		route["Public"] = true
		routes = append(routes, route)
	}
	c.routes.begin(version)
	c.store.Put("op", "config", map[string]any{
		"Version": version, "Tenants": c.keys.wireTenants(), "Routes": routes, "Limits": map[string]int{"MaxBodyBytes": 65536},
	})
	c.routes.record(time.Now())
}

func (c *cluster) recordEvent(format string, values ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.history = append(c.history, time.Now().Format("15:04:05.000 ")+fmt.Sprintf(format, values...))
}

// collectDiagnostics returns the seed and the injected faults. If SOAK_LOGS names a
// directory, it also copies the logs of the instances there.
func (c *cluster) collectDiagnostics() string {
	if folder := os.Getenv("SOAK_LOGS"); folder != "" {
		for _, p := range c.processes {
			text, err := os.ReadFile(p.logPath)
			if err == nil {
				err = os.WriteFile(filepath.Join(folder, fmt.Sprintf("%d-%s.log", c.seed, p.name)), text, 0o600)
			}
			if err != nil {
				c.recordEvent("cannot copy the log of %s: %v", p.name, err)
			}
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return fmt.Sprintf("seed %d, faults:\n%s", c.seed, strings.Join(c.history, "\n"))
}
