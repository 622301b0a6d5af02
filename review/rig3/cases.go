package main

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/netip"
	"strings"
	"time"

	"fuchsiacross/jobstore"
	"fuchsiacross/platform/store"
)

const (
	finish     = 14 * time.Second // finish_s
	idleLimit  = 3 * time.Second
	finishTime = 24 * time.Second // how long jobs are watched after finish
)

// watchIdle watches a job from finish_s after the end of the traffic on. It reports whether LOST
// was broken: for 3 s the job had nothing running while a task's turn had come, there was capacity
// for it twice over, and under half of the service's capacity was in use, and of the quota of the only
// tenant if there is one.
func (c *cell) watchIdle(j *jobSpec, trafficEnd time.Time, allow func(*runner) bool) bool {
	time.Sleep(time.Until(trafficEnd.Add(finish)))
	var idleSince time.Time
	for until := trafficEnd.Add(finish + finishTime); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		c.w.mu.Lock()
		need := 2 * j.Steps[0].Count
		room, share, running := c.w.room(&j.Steps[0], allow), c.w.usedShare(), c.w.running(j.ID)
		done := c.w.stepDone(j, 0, 0)
		idle := !done && running == 0 && room >= need && share < 0.5 && (c.tenantLimit == 0 || 2*c.w.usedCPU() < c.tenantLimit)
		switch {
		case !idle:
			idleSince = time.Time{}
		case idleSince.IsZero():
			idleSince = time.Now()
		}
		if idle && time.Since(idleSince) > idleLimit {
			c.w.breach("LOST", "%s has had nothing running for %.1f s, %.1f s after the end of the traffic; %d of its tasks fit, it has %d; %.0f %% of the service are in use",
				j.ID, time.Since(idleSince).Seconds(), time.Since(trafficEnd).Seconds(), room, j.Steps[0].Count, 100*share)
			c.w.mu.Unlock()
			return true
		}
		c.w.mu.Unlock()
		if done {
			c.w.note("%s has run", j.ID)
			return false
		}
	}
	return false
}

// playAdvice: a job of a queue with advice waits, since the runners that may run it are taken by
// tasks that last. Then empty runners are added that may run it. Without the disruption, these are
// there from the beginning.
func playAdvice(record string, trouble bool) (bool, error) {
	const id, lasting = "5c0e7a21d94b36f8", "77aa31c09be4d210"
	queues := []queue{
		{name: "reconciliacion-temporada", prefix: "/lohu930/", priority: 1, attempts: 2, stretch: 2.2, latencyMS: 1000, adviceMS: 450, adviceW: 6.5},
		{name: "servicio", prefix: "/serv12/", priority: 2, attempts: 2, stretch: 2, latencyMS: 3000},
	}
	mayRun := func(worker string) bool { return strings.HasPrefix(worker, "b") || strings.HasPrefix(worker, "n") }
	c, err := startCell(record, queues, 450, 6.5, func(_, worker string) bool { return mayRun(worker) })
	if err != nil {
		return false, err
	}
	defer c.stop()
	for n := range 48 {
		kind, prefix := "a", "a"
		if n < 14 {
			kind, prefix = "b", "b"
		}
		startRunner(c.w, c.store, fmt.Sprintf("%s%02d", prefix, n), pool, kind, fmt.Sprintf("r1-%d", n/6), 32000, 65536)
	}
	addRunners := func() {
		for n := range 10 {
			startRunner(c.w, c.store, fmt.Sprintf("n%02d", n), pool, "a", fmt.Sprintf("r2-%d", n/6), 32000, 65536)
		}
	}
	if !trouble {
		addRunners()
	}
	if err := c.startInstances(3, "/lohu930/"); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	service := &jobSpec{ID: lasting, path: "/serv12/", TaskSpec: "service", attempts: 2, Steps: []step{{Count: 14, CPU: 32000, MemMB: 20000, Requires: "b", LongRunning: true, EstimateMS: 60000}}}
	if !c.submit(service) {
		return false, errors.New("the lasting job was not accepted")
	}
	for until := time.Now().Add(10 * time.Second); ; time.Sleep(50 * time.Millisecond) {
		c.w.mu.Lock()
		n := c.w.running(lasting)
		c.w.mu.Unlock()
		if n == 14 {
			break
		}
		if time.Now().After(until) {
			return false, errors.New("the lasting job does not run")
		}
	}
	j := &jobSpec{ID: id, path: "/lohu930/", TaskSpec: "season", attempts: 2, advice: true, Steps: []step{{Count: 4, CPU: 9000, MemMB: 13000, EstimateMS: 5000, work: 5 * time.Second}}}
	if !c.submit(j) {
		return false, errors.New("the job was not accepted")
	}
	trafficEnd := time.Now().Add(6 * time.Second)
	time.Sleep(4 * time.Second)
	if trouble {
		c.w.note("scale_out: 10 empty runners are added to 48")
		addRunners()
	}
	broken := c.watchIdle(j, trafficEnd, func(r *runner) bool { return mayRun(r.id) })
	c.w.note("state of %s: %s", id, c.state(j))
	return broken, nil
}

// playCrashing: services are handed in, one in twenty of which can never be done. A job of a queue with
// two attempts then waits. Without the disruption, all services work.
func playCrashing(record string, trouble bool) (bool, error) {
	const (
		id       = "5c0e7a21d94b36f8"
		services = 80
		every    = 20
	)
	queues := []queue{
		{name: "reconciliacion-temporada", prefix: "/lohu930/", priority: 1, attempts: 2, stretch: 2.2, latencyMS: 1000},
		{name: "servicio", prefix: "/serv12/", priority: 2, attempts: 3, stretch: 2, latencyMS: 3000},
	}
	c, err := startCell(record, queues, 1, 1, func(_, _ string) bool { return true })
	if err != nil {
		return false, err
	}
	defer c.stop()
	c.w.quiet = true
	for n := range 48 {
		startRunner(c.w, c.store, fmt.Sprintf("w%02d", n), pool, "a", fmt.Sprintf("r1-%d", n/6), 32000, 65536)
	}
	if err := c.startInstances(3, "/lohu930/"); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	for n := range services {
		service := &jobSpec{ID: fmt.Sprintf("77aa31c09be4d2%02x", n), path: "/serv12/", TaskSpec: "service", attempts: 3, Steps: []step{{Count: 12, CPU: 100, MemMB: 100, LongRunning: true, AntiAffinity: 1, EstimateMS: 60000}}}
		if trouble && n%every == every-1 {
			service.Steps[0].crash = 600 * time.Millisecond
		}
		if !c.submit(service) {
			return false, errors.New("a service was not accepted")
		}
		time.Sleep(30 * time.Millisecond)
	}
	time.Sleep(6 * time.Second)
	j := &jobSpec{ID: id, path: "/lohu930/", TaskSpec: "season", attempts: 2, Steps: []step{{Count: 4, CPU: 9000, MemMB: 13000, EstimateMS: 5000, work: 5 * time.Second}}}
	if !c.submit(j) {
		return false, errors.New("the job was not accepted")
	}
	broken := c.watchIdle(j, time.Now(), func(*runner) bool { return true })
	if broken {
		time.Sleep(30 * time.Second)
		c.w.mu.Lock()
		c.w.noteLocked("30 s later, %d tasks of %s run; %d runs of all jobs have started, %d have failed", c.w.running(id), id, c.w.startedRuns, c.w.failedRuns)
		c.w.mu.Unlock()
	}
	c.w.note("state of %s: %s", id, c.state(j))
	return broken, nil
}

// playTimed: an occurrence of a timed job is due every 0.5 s. The few runners that may run it are lost
// for good, and others come later.
func playTimed(record string, trouble bool) (bool, error) {
	const (
		id      = "5c0e7a21d94b36f8"
		allowed = 10
	)
	queues := []queue{{name: "reconciliacion-temporada", prefix: "/lohu930/", priority: 1, attempts: 2, stretch: 2.2, latencyMS: 1000, adviceMS: 200, adviceW: 1}}
	mayRun := func(worker string) bool { return strings.HasSuffix(worker, "b") }
	c, err := startCell(record, queues, 200, 1, func(_, worker string) bool { return mayRun(worker) })
	if err != nil {
		return false, err
	}
	defer c.stop()
	c.w.quiet = true
	add := func(n int, last string) *runner {
		return startRunner(c.w, c.store, fmt.Sprintf("%08x-4c1e-4f6b-9d2a-7be05a3c%03x%s", 0x3f9ad120+n*7919, n, last), pool, "a", fmt.Sprintf("r1-%02d", n/20), 32000, 65536)
	}
	var lost []*runner
	for n := range 350 {
		if n < allowed {
			lost = append(lost, add(n, "b"))
			continue
		}
		add(n, "a")
	}
	if err := c.startInstances(5, "/lohu930/"); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	j := &jobSpec{
		ID: id, path: "/lohu930/", TaskSpec: "season", attempts: 2, advice: true, Repeat: 150, StartAtMS: time.Now().UnixMilli(), IntervalMS: 500,
		Steps: []step{{Count: 2, CPU: 2000, MemMB: 1000, EstimateMS: 400, work: 400 * time.Millisecond}},
	}
	if !c.submit(j) {
		return false, errors.New("the job was not accepted")
	}
	time.Sleep(3 * time.Second)
	if trouble {
		for _, r := range lost {
			r.crash(true)
		}
		time.Sleep(4500 * time.Millisecond)
		for _, r := range lost {
			r.unregister()
		}
	}
	broken := false
	watch := func(length time.Duration) {
		for until := time.Now().Add(length); time.Now().Before(until) && !broken; time.Sleep(500 * time.Millisecond) {
			if c.state(j) != "failed" {
				continue
			}
			c.w.mu.Lock()
			if c.w.usedUpAttempts(j) {
				c.w.noteLocked("%s is shown as failed, with cause", id)
				c.w.mu.Unlock()
				return
			}
			broken = true
			c.w.breach("LOST", "%s is shown as failed; %d of its runs have ended failed, %d tasks have ended done", id, c.w.failedRuns, c.w.doneTasks())
			c.w.mu.Unlock()
		}
	}
	watch(40 * time.Second)
	if trouble {
		c.w.note("%d other runners join that may run the job", allowed)
		for n := range allowed {
			add(400+n, "b")
		}
	}
	time.Sleep(15 * time.Second)
	watch(time.Second)
	c.w.mu.Lock()
	c.w.noteLocked("%d tasks have ended done, %.0f s after the first time of the job", c.w.doneTasks(), time.Since(time.UnixMilli(j.StartAtMS)).Seconds())
	c.w.mu.Unlock()
	c.w.note("state of %s: %s", id, c.state(j))
	return broken, nil
}

// usedUpAttempts reports whether a task of a job has failed as often as its queue allows. The caller
// holds the mutex.
func (w *world) usedUpAttempts(j *jobSpec) bool {
	for name, t := range w.tasks {
		if firstPart(name) == j.ID && len(t.failed) >= j.attempts {
			return true
		}
	}
	return false
}

// doneTasks returns how many tasks have ended done. The caller holds the mutex.
func (w *world) doneTasks() int {
	n := 0
	for _, t := range w.tasks {
		if t.doneEnded {
			n++
		}
	}
	return n
}

// leader returns the instance that the store names as the leader.
func (c *cell) leader() *instance {
	address := netip.MustParseAddrPort(c.store.Address().String())
	row, _, err := jobstore.New(store.New(address), 0).ReadLeader(context.Background())
	if err != nil {
		return nil
	}
	for _, i := range c.instances {
		if i.name == row.Name {
			return i
		}
	}
	return nil
}

// playFormer: half of the orders are late, then the leader is killed, then runners crash and start again
// under their ids, two at a time.
func playFormer(record string, trouble bool) (bool, error) {
	const (
		fleet    = 14
		jobs     = 12
		lateTime = 5500 * time.Millisecond
		downTime = 400 * time.Millisecond
		rounds   = 1
		restart  = 1500 * time.Millisecond
	)
	queues := []queue{{name: "resumen-patio", prefix: "/lohu930/", priority: 2, attempts: 3, stretch: 4, latencyMS: 3000}}
	c, err := startCell(record, queues, 1, 1, func(_, _ string) bool { return true })
	if err != nil {
		return false, err
	}
	defer c.stop()
	var runners []*runner
	for n := range fleet {
		runners = append(runners, startRunner(c.w, c.store, fmt.Sprintf("w%02d", n), pool, "a", fmt.Sprintf("r1-%d", n/2), 32000, 65536))
	}
	if err := c.startInstances(4, "/lohu930/"); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	setLate := func(share float64) {
		c.w.mu.Lock()
		defer c.w.mu.Unlock()
		for _, r := range runners {
			r.lateShare = share
		}
		c.w.noteLocked("applied_late: %.1f of the orders", share)
	}
	began := time.Now()
	if trouble {
		setLate(0.5)
	}
	for n := range jobs {
		j := &jobSpec{ID: fmt.Sprintf("5c0e7a21d94b36%02x", n), path: "/lohu930/", TaskSpec: "summary", attempts: 3, Steps: []step{{Count: 60, CPU: 100, MemMB: 100, EstimateMS: 6000, work: 6 * time.Second}}}
		if !c.submit(j) {
			return false, errors.New("a job was not accepted")
		}
		time.Sleep(300 * time.Millisecond)
	}
	time.Sleep(time.Until(began.Add(lateTime)))
	if trouble {
		setLate(0)
		former := c.leader()
		if former == nil {
			return false, errors.New("the store names no leader")
		}
		c.w.note("node_kill: SIGKILL for the leader, %s", former.name)
		former.kill()
		time.Sleep(restart)
		if err := former.start(); err != nil {
			return false, err
		}
	}
	for n := 0; trouble && n < rounds*fleet; n += 2 {
		pair := []*runner{runners[n%fleet], runners[n%fleet+1]}
		for _, r := range pair {
			r.crash(false)
		}
		time.Sleep(downTime)
		for _, r := range pair {
			r.restart()
		}
		time.Sleep(200 * time.Millisecond)
	}
	time.Sleep(8 * time.Second)
	c.w.mu.Lock()
	defer c.w.mu.Unlock()
	breaches := c.w.countBreaches("TWICE")
	c.w.noteLocked("%d runs have started, TWICE was broken %d times", c.w.startedRuns, breaches)
	return breaches > 0, nil
}

// playQuota: the store turns one of four machines away. Jobs are handed in there whose gang is somewhat
// larger than its tenant may run.
func playQuota(record string, trouble bool) (bool, error) {
	const (
		key      = "k-3f9ad1207be05a3c"
		limit    = 8000
		lateJobs = 6
		downTime = 9 * time.Second
	)
	c, err := startCell(record, nil, 1, 1, func(_, _ string) bool { return true })
	if err != nil {
		return false, err
	}
	defer c.stop()
	c.store.Put("op", "config", map[string]any{
		"Version": 2, "Services": []map[string]any{{"Name": pool, "AdmissionCheck": false}}, "Limits": map[string]int{"MaxBodyBytes": 262144},
		"Routes":  []map[string]any{{"Name": "label-transcribe", "Host": host, "PathPrefix": "/lohu930/", "Service": pool, "MaxAttempts": 3, "Stretch": 4, "TargetLatencyMs": 3000, "Priority": 2}},
		"Tenants": []map[string]any{{"Name": "t1", "ApiKeys": []string{key}, "Weight": 10, "MaxCount": map[string]int{"Cpu": limit, "MemMb": 0, "Gpu": 0}}},
	})
	c.key, c.tenantLimit = key, limit
	for n := range 14 {
		startRunner(c.w, c.store, fmt.Sprintf("w%02d", n), pool, "a", fmt.Sprintf("r1-%d", n/2), 32000, 65536)
	}
	if err := c.startInstances(4, "/lohu930/"); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	leader := c.leader()
	var away *instance
	for _, i := range c.instances {
		if i != leader {
			away = i
		}
	}
	if trouble {
		c.w.note("platform_down (nodes busy): the store answers %s with 503", away.name)
		away.turnedAway.Store(true)
	}
	began := time.Now()
	var accepted []*jobSpec
	for n := range lateJobs {
		time.Sleep(time.Second)
		j := &jobSpec{ID: fmt.Sprintf("5c0e7a21d94b36%02x", n), path: "/lohu930/", TaskSpec: "batch", attempts: 3, Steps: []step{{Count: 15, CPU: 551, MemMB: 100, EstimateMS: 500, work: 500 * time.Millisecond, Gang: true}}}
		c.w.mu.Lock()
		j.sent = true
		c.w.jobs[j.ID] = j
		c.w.mu.Unlock()
		body := mustJSON(j)
		status, _ := c.call(away, http.MethodPost, j.path+j.ID, body)
		c.w.note("POST %s at %s: %d %s", j.ID, away.name, status, body)
		if status/100 == 2 {
			accepted = append(accepted, j)
		}
	}
	trafficEnd := time.Now()
	time.Sleep(time.Until(began.Add(downTime)))
	away.turnedAway.Store(false)
	c.w.note("the store serves all machines; %d of %d jobs were accepted", len(accepted), lateJobs)
	if len(accepted) == 0 {
		return false, nil
	}
	broken := c.watchIdle(accepted[0], trafficEnd, func(*runner) bool { return true })
	for _, j := range accepted {
		c.w.note("state of %s: %s", j.ID, c.state(j))
	}
	return broken, nil
}
