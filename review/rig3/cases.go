package main

import (
	"errors"
	"fmt"
	"strings"
	"time"
)

const (
	finish     = 14 * time.Second // finish_s
	idleLimit  = 3 * time.Second
	finishTime = 24 * time.Second // how long jobs are watched after finish
)

// watchIdle watches a job from finish_s after the end of the traffic on. It reports whether LOST
// was broken: for 3 s the job had nothing running while a task's turn had come, there was capacity
// for it twice over, and under half of the service's capacity was in use.
func (c *cell) watchIdle(j *jobSpec, trafficEnd time.Time, allow func(*runner) bool) bool {
	time.Sleep(time.Until(trafficEnd.Add(finish)))
	var idleSince time.Time
	for until := trafficEnd.Add(finish + finishTime); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		c.w.mu.Lock()
		need := 2 * j.Steps[0].Count
		room, share, running := c.w.room(&j.Steps[0], allow), c.w.usedShare(), c.w.running(j.ID)
		done := c.w.stepDone(j, 0, 0)
		idle := !done && running == 0 && room >= need && share < 0.5
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

// playRack: a step whose tasks belong in one rack waits while no rack has enough room.
func playRack(record string, trouble bool) (bool, error) {
	const id = "5c0e7a21d94b36f8"
	queues := []queue{{name: "condolence-batch", prefix: "/lohu930/", priority: 2, attempts: 3, stretch: 4, latencyMS: 3000}}
	c, err := startCell(record, queues, 1, 1, func(_, _ string) bool { return true })
	if err != nil {
		return false, err
	}
	defer c.stop()
	var runners []*runner
	for n := range 48 {
		runners = append(runners, startRunner(c.w, c.store, fmt.Sprintf("w%02d", n), pool, "a", fmt.Sprintf("r1-%d", n/8), 16000, 65536))
	}
	if err := c.startInstances(3, "/lohu930/"); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	if trouble {
		for n := 0; n < 48; n += 8 {
			runners[n].crash(true)
		}
		time.Sleep(4500 * time.Millisecond)
		for n := 0; n < 48; n += 8 {
			runners[n].unregister()
		}
	}
	j := &jobSpec{ID: id, path: "/lohu930/", TaskSpec: "batch", attempts: 3, Steps: []step{{Count: 32, CPU: 4000, MemMB: 8000, EstimateMS: 20000, work: 20 * time.Second, SameRack: true}}}
	if !c.submit(j) {
		return false, errors.New("the job was not accepted")
	}
	return c.watchIdle(j, time.Now(), func(*runner) bool { return true }), nil
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
		c.w.note("30 s later, %d tasks of %s run", c.runningTasks(id), id)
	}
	c.w.note("state of %s: %s", id, c.state(j))
	return broken, nil
}

func (c *cell) runningTasks(id string) int {
	c.w.mu.Lock()
	defer c.w.mu.Unlock()
	return c.w.running(id)
}
