package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"syscall"
	"time"
)

var scenarios = map[string]scenario{
	"many-ends":     playManyEnds,
	"removed-route": playRemovedRoute,
	"long-schedule": playLongSchedule,
	"lasting-tasks": playLastingTasks,
	"lost-rack":     playLostRack,
}

// waitFor waits until a condition holds and reports whether it did within the limit.
func waitFor(limit time.Duration, condition func() bool) bool {
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		if condition() {
			return true
		}
	}
	return condition()
}

// playManyEnds runs 780 small tasks on one runner and freezes the leader's machine just
// before they end. The successor finds more ends than a runner lists at a time.
func playManyEnds(p *platform, trouble bool) ([]string, error) {
	const (
		jobCount, width = 78, 10
		length          = 4 * time.Second // from the first start to the end of all tasks
		freezeTime      = 4 * time.Second
		settleTime      = 15 * time.Second
	)
	p.configure(route("patio", 2, 3))
	p.setOutcomes(length, func(string, int) outcome {
		return outcome{max(time.Second, time.Until(p.record.firstStart().Add(length))), "done"}
	})
	if err := p.startFleet(); err != nil {
		return nil, err
	}
	c := newClients(p)
	var jobs []*submission
	for range jobCount {
		jobs = append(jobs, c.newJob("patio", step{Count: width, CPU: 40, MemMB: 40, EstimateMS: int(length.Milliseconds())}))
	}
	began := time.Now()
	if n := c.submitAll(jobs); n != jobCount {
		return nil, fmt.Errorf("%d of %d jobs were accepted", n, jobCount)
	}
	started := func() int { n, _ := p.record.count(""); return n }
	if !waitFor(length/2, func() bool { return started() == jobCount*width }) {
		return nil, fmt.Errorf("%d of %d tasks have started", started(), jobCount*width)
	}
	p.record.note("all tasks run, %.2f s after the first was handed in", time.Since(began).Seconds())
	time.Sleep(time.Until(p.record.firstStart().Add(length - 100*time.Millisecond)))
	if trouble {
		p.leader().freeze(freezeTime)
	}
	time.Sleep(settleTime)
	return p.record.twice(""), nil
}

const (
	lostTime   = 3 * time.Second  // LOST: "for 3 s, a job has nothing running"
	finishTime = 14 * time.Second // finish_s
	ackTime    = 4 * time.Second  // AckMs
	taskCPU    = 1000             // of each task, in thousandths of a core
)

// lost returns the breaks of LOST now: jobs that have had nothing running for lostTime
// although the turn of a task has come and over half of the capacity is free.
func lost(p *platform, jobs []*submission, demand int) []string {
	if 2*p.usedMilliCPU(demand) >= p.capacity() {
		return nil
	}
	var broken []string
	for _, j := range jobs {
		if since, waiting := waitingSince(p, j); waiting && time.Since(since) > lostTime {
			broken = append(broken, fmt.Sprintf("LOST: job %s of route %s has had nothing running for %.1f s, though it is not done and %d of %d cores are free",
				j.ID, j.Route, time.Since(since).Seconds(), (p.capacity()-p.usedMilliCPU(demand))/1000, p.capacity()/1000))
		}
	}
	return broken
}

// waitingSince returns since when a job that is not done has had no run, and whether it has
// none now. A step's turn comes when the earlier steps are done.
func waitingSince(p *platform, j *submission) (since time.Time, waiting bool) {
	since, open := j.acceptedAt, false
	for n, s := range j.Steps {
		for index := range s.Count {
			task := fmt.Sprintf("%s.0.%d.%d", j.ID, n, index)
			last, idle := p.record.idleSince(task, j.acceptedAt)
			if !idle {
				return time.Time{}, false
			}
			if last.After(since) {
				since = last
			}
			open = open || !p.record.isDone(task)
		}
	}
	return since, open
}

// playRemovedRoute removes two routes with accepted jobs from the configuration and then
// restarts the leader. The jobs' queues are unknown to the next leader.
func playRemovedRoute(p *platform, trouble bool) ([]string, error) {
	const (
		jobCount, width, attempts = 5, 4, 4
		adviceStep                = 3 * time.Second
		failingStep               = 6 * time.Second
	)
	advised, plain, kept := route("temporada", 1, attempts), route("patio", 2, attempts), route("humedad", 0, attempts)
	advised["Advice"] = p.tickets.advice()
	p.configure(advised, plain, kept)
	if err := p.startFleet(); err != nil {
		return nil, err
	}
	c := newClients(p)
	lengths, failing := map[string]time.Duration{}, map[string]bool{}
	var jobs []*submission
	for range jobCount {
		j := c.newJob("temporada", step{Count: width, CPU: taskCPU, MemMB: 500, EstimateMS: 3000}, step{Count: width, CPU: taskCPU, MemMB: 500, EstimateMS: 3000, After: []int{0}})
		p.tickets.require(j.ID)
		lengths[j.ID] = adviceStep
		f := c.newJob("patio", step{Count: width, CPU: taskCPU, MemMB: 500, EstimateMS: 6000})
		lengths[f.ID], failing[f.ID] = failingStep, true
		jobs = append(jobs, j, f)
	}
	p.setOutcomes(adviceStep, func(task string, earlier int) outcome {
		id, _, _ := strings.Cut(task, ".")
		if failing[id] && strings.HasSuffix(task, ".0") && earlier == 0 {
			return outcome{lengths[id], "failed"}
		}
		return outcome{lengths[id], "done"}
	})
	if n := c.submitAll(jobs); n != len(jobs) {
		return nil, fmt.Errorf("%d of %d jobs were accepted", n, len(jobs))
	}
	trafficEnd := time.Now()
	time.Sleep(time.Second)
	p.configure(kept)
	time.Sleep(1500 * time.Millisecond)
	if trouble {
		p.leader().signal(syscall.SIGTERM)
	}
	time.Sleep(time.Until(trafficEnd.Add(finishTime + lostTime + 3*time.Second)))
	broken := lost(p, jobs, taskCPU)
	p.record.note("%d starts were rejected for want of a valid ticket", p.rejectedStarts())
	p.configure(advised, plain, kept)
	time.Sleep(3 * time.Second)
	for _, j := range jobs {
		if status, state := c.state(j); status == http.StatusOK && state == "failed" && p.record.failures(j.ID) < attempts {
			broken = append(broken, fmt.Sprintf("LOST: job %s of route %s is shown as failed, though no task has failed more than %d of %d times", j.ID, j.Route, p.record.failures(j.ID), attempts))
		} else if status == http.StatusGone {
			broken = append(broken, fmt.Sprintf("LOST: job %s of route %s is answered with 410", j.ID, j.Route))
		}
	}
	return broken, nil
}

// playLongSchedule hands in a scheduled job with many small tasks beside ordinary jobs. Its
// stored progress grows with each occurrence, past the size of a row of the store. In the
// end its client cancels it, so that the leader can save again and takes note of the ends.
func playLongSchedule(p *platform, trouble bool) ([]string, error) {
	const (
		stepCount, occurrences = 32, 340
		interval               = 160 * time.Millisecond
		smallCPU               = 50
		length                 = 100 * time.Millisecond
		trafficTime            = 48 * time.Second
		settleTime             = 12 * time.Second
	)
	p.configure(route("patio", 2, 3), route("humedad", 0, 4))
	p.setOutcomes(length, func(string, int) outcome { return outcome{length, "done"} })
	if err := p.startFleet(); err != nil {
		return nil, err
	}
	c := newClients(p)
	trafficEnd := time.Now().Add(trafficTime)
	var schedule *submission
	if trouble {
		var steps []step
		for range stepCount {
			steps = append(steps, step{Count: 1, CPU: smallCPU, MemMB: 20, EstimateMS: 100})
		}
		j := c.newJob("patio", steps...)
		j.RepeatCount, j.IntervalMS, j.StartAtMS = occurrences, interval.Milliseconds(), time.Now().Add(time.Second).UnixMilli()
		if !c.submit(j) {
			return nil, fmt.Errorf("the scheduled job was not accepted")
		}
		schedule = j
	}
	var ordinary []*submission
	for time.Now().Before(trafficEnd) {
		j := c.newJob("humedad", step{Count: 2, CPU: taskCPU, MemMB: 500, EstimateMS: 100})
		if c.submit(j) {
			ordinary = append(ordinary, j)
		}
		time.Sleep(500 * time.Millisecond)
	}
	time.Sleep(finishTime)
	ends, unnoted := p.record.unnoted(ackTime)
	p.record.note("runners have listed %d ends for over %s, %d of them are not taken note of", ends, ackTime, unnoted)
	open := 0
	for _, j := range ordinary {
		if _, state := c.state(j); state != "completed" {
			open++
		}
	}
	p.record.note("%d of %d ordinary jobs are not shown as completed %s after the end of the traffic", open, len(ordinary), finishTime)
	if schedule != nil {
		c.cancel(schedule)
	}
	time.Sleep(settleTime)
	tasks := 0
	for _, j := range ordinary {
		tasks += len(p.record.twice(j.ID))
	}
	p.record.note("%d tasks of ordinary jobs break TWICE", tasks)
	return p.record.twice(""), nil
}

// playLastingTasks runs tasks that last, which fail now and then. The leader starts fewer and
// fewer of them again.
func playLastingTasks(p *platform, trouble bool) ([]string, error) {
	const (
		jobCount, width = 24, 5
		meanLife        = 15 * time.Second
		playTime        = 95 * time.Second
		// LOST holds for each task that lasts from 6 s after its last run.
		graceTime = 6 * time.Second
	)
	p.configure(route("mirador", 1, 4))
	p.setOutcomes(500*time.Millisecond, func(string, int) outcome {
		if !trouble {
			return outcome{}
		}
		return outcome{time.Second + time.Duration(rand.ExpFloat64()*float64(meanLife)), "failed"}
	})
	if err := p.startFleet(); err != nil {
		return nil, err
	}
	c := newClients(p)
	var jobs []*submission
	for range jobCount {
		jobs = append(jobs, c.newJob("mirador", step{Count: width, CPU: taskCPU, MemMB: 1000, EstimateMS: 500, LongRunning: true}))
	}
	if n := c.submitAll(jobs); n != jobCount {
		return nil, fmt.Errorf("%d of %d jobs were accepted", n, jobCount)
	}
	end := time.Now().Add(playTime)
	found := map[string]string{}
	for ; time.Now().Before(end); time.Sleep(500 * time.Millisecond) {
		if 2*p.usedMilliCPU(taskCPU) >= p.capacity() {
			continue
		}
		for _, j := range jobs {
			for index := range width {
				task := fmt.Sprintf("%s.0.0.%d", j.ID, index)
				if since, idle := p.record.idleSince(task, j.acceptedAt); idle && time.Since(since) > graceTime+lostTime && found[task] == "" {
					found[task] = fmt.Sprintf("LOST: task %s, which lasts, has had no run for %.1f s though %d of %d cores are free",
						task, time.Since(since).Seconds(), (p.capacity()-p.usedMilliCPU(taskCPU))/1000, p.capacity()/1000)
					p.record.note("%s", found[task])
				}
			}
		}
	}
	used := p.usedMilliCPU(taskCPU) / taskCPU
	p.record.note("at the end, %d of %d tasks that last are running", used, jobCount*width)
	var broken []string
	for _, text := range found {
		broken = append(broken, text)
	}
	return broken, nil
}

// playLostRack loses one of the two racks that have runners of a rare kind, in a fleet that is
// large enough for two shards, and then hands in jobs that require this kind.
func playLostRack(p *platform, trouble bool) ([]string, error) {
	const (
		rareKind   = "b"
		rareRacks  = 2
		jobCount   = 20
		length     = time.Second
		settleTime = 8 * time.Second // until the entries of the lost runners are gone
	)
	p.fleet = 480
	p.kind = func(n int) string {
		if n < rareRacks*rackSize {
			return rareKind
		}
		return "a"
	}
	p.configure(route("patio", 2, 3))
	p.setOutcomes(length, func(string, int) outcome { return outcome{length, "done"} })
	if err := p.startFleet(); err != nil {
		return nil, err
	}
	if trouble {
		for _, r := range p.runners[rackSize : rareRacks*rackSize] {
			r.lose()
		}
	}
	time.Sleep(settleTime)
	c := newClients(p)
	var jobs []*submission
	for range jobCount {
		jobs = append(jobs, c.newJob("patio", step{Count: 2, CPU: taskCPU, MemMB: 500, EstimateMS: int(length.Milliseconds()), Requires: rareKind}))
	}
	if n := c.submitAll(jobs); n != jobCount {
		return nil, fmt.Errorf("%d of %d jobs were accepted", n, jobCount)
	}
	time.Sleep(finishTime + lostTime)
	for _, j := range jobs {
		c.state(j)
	}
	return lost(p, jobs, taskCPU), nil
}
