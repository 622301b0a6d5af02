package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"slices"
	"sync"
	"time"
)

const (
	instanceCount = 7
	// The runners share some hosts of the loopback network.
	firstRunnerHost, runnerHosts = 100, 100
	smallFleet                   = 12 // runners, unless a case needs more
	serviceName                  = "bitacora-secado"
	zoneName                     = "coban-centro"
	hostName                     = "nony24.example"
	// leadTime is the time from the start of the machines to the start of the traffic.
	leadTime = 10 * time.Second
)

// platform is the stand-in of the users' platform, with the instances that run on it.
type platform struct {
	record    *record
	ctx       context.Context
	cancel    context.CancelFunc
	directory string // of settings and logs
	network   string // first three bytes of the loopback addresses
	store     *store
	tickets   *tickets
	advice    *http.Server
	adviceAt  string
	runners   []*runner
	instances []*instance

	mu sync.Mutex
	// outcomes returns how the next run of a task behaves, after a number of earlier runs.
	outcomes func(task string, earlier int) outcome
	estimate time.Duration // of a task, for its progress in percent
	rejected map[string]int
	version  int
	fleet    int                // number of runners
	kind     func(n int) string // label of the nth runner
}

func newPlatform(r *record) (*platform, error) {
	directory, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	if logs := os.Getenv("REVIEW_LOGS"); logs != "" {
		directory = logs
	}
	p := &platform{
		record: r, directory: directory, network: fmt.Sprintf("127.%d.%d", 20+os.Getpid()%200, os.Getpid()/200%250), tickets: newTickets(),
		rejected: map[string]int{}, outcomes: func(string, int) outcome { return outcome{time.Second, "done"} }, estimate: time.Second,
		fleet: smallFleet, kind: func(int) string { return "a" },
	}
	p.ctx, p.cancel = context.WithCancel(context.Background())
	l, err := p.listen(1)
	if err != nil {
		return nil, err
	}
	p.store = newStore(l, r)
	if l, err = p.listen(2); err != nil {
		return nil, err
	}
	p.adviceAt = l.Addr().String()
	p.advice = &http.Server{Handler: p.tickets}
	go func() { _ = p.advice.Serve(l) }()
	return p, nil
}

// listen opens a free port on a host of the loopback network.
func (p *platform) listen(host int) (net.Listener, error) {
	return net.Listen("tcp", fmt.Sprintf("%s.%d:0", p.network, host))
}

// freeAddress returns an address with a free port on a host of the loopback network.
func (p *platform) freeAddress(host int) (string, error) {
	l, err := p.listen(host)
	if err != nil {
		return "", err
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String(), nil
}

// configure writes the next version of the configuration, with the given routes.
func (p *platform) configure(routes ...map[string]any) {
	p.mu.Lock()
	p.version += 3
	version := p.version
	p.mu.Unlock()
	names := []any{}
	for _, r := range routes {
		names = append(names, r["PathPrefix"])
	}
	p.store.put("op", "config", map[string]any{
		"Version": version, "Routes": routes, "Limits": map[string]int{"MaxBodyBytes": 262144},
		"Services": []map[string]any{{"Name": serviceName, "HealthPath": "/health", "AdmissionCheck": false}},
	})
	p.record.note("operator: configuration %d with the routes %v is acknowledged", version, names)
}

// route returns a queue of the configuration.
func route(name string, priority, attempts int) map[string]any {
	return map[string]any{
		"Name": name, "Host": hostName, "PathPrefix": "/" + name + "/", "Service": serviceName, "TargetLatencyMs": 1000,
		"MaxAttempts": attempts, "Priority": priority, "Stretch": 2.2, "TimeoutMs": 3000,
	}
}

// startFleet starts the runners and the instances and waits for the start of the traffic.
func (p *platform) startFleet() error {
	for n := range p.fleet {
		l, err := p.listen(firstRunnerHost + n%runnerHosts)
		if err != nil {
			return err
		}
		p.runners = append(p.runners, newRunner(p, n, l))
	}
	began := time.Now()
	for n := range instanceCount {
		i, err := newInstance(p, n)
		if err != nil {
			return err
		}
		p.mu.Lock()
		p.instances = append(p.instances, i)
		p.mu.Unlock()
		if err := i.start(); err != nil {
			return err
		}
		time.Sleep(20 * time.Millisecond)
	}
	time.Sleep(leadTime - time.Since(began))
	for _, i := range p.instances {
		if !i.isReady() {
			return fmt.Errorf("%s is not ready %s after its start", i.name, leadTime)
		}
	}
	if p.leader() == nil {
		return fmt.Errorf("the row of the first shard's leader names no instance")
	}
	return nil
}

// close ends all processes and servers. It may be called twice.
func (p *platform) close() {
	p.cancel()
	p.mu.Lock()
	instances := slices.Clone(p.instances)
	p.mu.Unlock()
	for _, i := range instances {
		i.end()
	}
	for _, r := range p.runners {
		_ = r.server.Close()
	}
	_ = p.store.server.Close()
	_ = p.advice.Close()
	if os.Getenv("REVIEW_LOGS") == "" {
		_ = os.RemoveAll(p.directory)
	}
}

// setOutcomes sets how runs behave and the usual length of a task.
func (p *platform) setOutcomes(estimate time.Duration, f func(task string, earlier int) outcome) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.estimate, p.outcomes = estimate, f
}

func (p *platform) behaviour(task string, earlier int) outcome {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.outcomes(task, earlier)
}

func (p *platform) percent(run *taskRun) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return min(100, int(100*time.Since(run.startedAt)/p.estimate))
}

// countRejected counts a start that a runner rejected for want of a valid ticket.
func (p *platform) countRejected(task string) {
	p.mu.Lock()
	p.rejected[task]++
	first := p.rejected[task] == 1
	p.mu.Unlock()
	if first {
		p.record.note("run: a start of %s without a valid ticket is rejected (409, ticket)", task)
	}
}

func (p *platform) rejectedStarts() (total int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, n := range p.rejected {
		total += n
	}
	return total
}

// capacity returns the processors of all runners in thousandths of a core.
func (p *platform) capacity() int { return p.fleet * runnerMilliCPU }

// usedMilliCPU returns what runs take of the service's capacity, if each takes demand.
func (p *platform) usedMilliCPU(demand int) int {
	used := 0
	for _, r := range p.runners {
		r.mu.Lock()
		used += demand * len(r.running)
		r.mu.Unlock()
	}
	return used
}
