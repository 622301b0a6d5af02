package main

import (
	"slices"
	"time"
)

const (
	rebirthRunners = 14
	// lateShare of the orders is late for lateTime; kinds has a share of .5 by default, the
	// site file 5.5 s.
	lateShare   = 0.5
	lateTime    = 5500 * time.Millisecond
	crashes     = 14 // of one rack after another, each of seven twice
	crashTime   = 400 * time.Millisecond
	crashPause  = 400 * time.Millisecond
	rebirthJobs = 600
	rebirthTask = 500 * time.Millisecond
	jobPause    = 20 * time.Millisecond
)

// runRebirth has a stream of short jobs. For some seconds orders are late. From then on one rack
// after another crashes and starts again under its ids.
func runRebirth(c *cell, trouble bool) (bool, error) {
	p := c.platform
	finished := make(chan error, 1)
	go func() {
		for n := range rebirthJobs {
			if err := c.submit(newJob(1+n, "/b/", 4, 500, rebirthTask, false)); err != nil {
				finished <- err
				return
			}
			time.Sleep(jobPause)
		}
		finished <- nil
	}()
	time.Sleep(3 * time.Second)
	setLate := func(share float64) {
		for _, r := range c.runners {
			r.setLateShare(share)
		}
	}
	if trouble {
		p.log("orders are late")
		setLate(lateShare)
		time.Sleep(lateTime)
		setLate(0)
		p.log("no further order is late")
		for n := range crashes {
			first := 2 * n % rebirthRunners
			rack := c.runners[first : first+2]
			for _, r := range rack {
				r.crash()
			}
			time.Sleep(crashTime)
			for _, r := range rack {
				if err := r.restart(); err != nil {
					return false, err
				}
			}
			time.Sleep(crashPause)
		}
	}
	if err := <-finished; err != nil {
		return false, err
	}
	time.Sleep(finishTime)
	return p.findTwice(), nil
}

// findTwice logs each task with two runs at the same time on runners that are up, or with a start
// after a run has ended done and the end was taken note of.
func (p *platform) findTwice() (found bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	byTask := map[string][]*interval{}
	for _, i := range p.runs {
		byTask[i.task] = append(byTask[i.task], i)
	}
	for task, runs := range byTask {
		slices.SortFunc(runs, func(a, b *interval) int { return a.from.Compare(b.from) })
		for n, later := range runs {
			for _, earlier := range runs[:n] {
				switch {
				case earlier.to.IsZero() || earlier.to.After(later.from):
					found = true
					p.log("TWICE: %s, run %d on %s from %.3f while run %d on %s", task, later.run, later.runner, later.from.Sub(p.began).Seconds(), earlier.run, earlier.runner)
				case earlier.how == "done" && earlier.seen:
					found = true
					p.log("TWICE: %s, run %d on %s from %.3f, %.2f s after run %d on %s had ended done", task, later.run, later.runner, later.from.Sub(p.began).Seconds(), later.from.Sub(earlier.to).Seconds(), earlier.run, earlier.runner)
				}
			}
		}
	}
	return found
}
