package main

import "time"

const (
	// The site files slow 0.17 of the runners by 6.5 for 7 s; here it is one of six at a time.
	slowFactor   = 6.5
	slowTime     = 7 * time.Second
	trafficPause = 400 * time.Millisecond
)

// runSlow has a service on each runner and a stream of short jobs. The runners turn slow one
// after another, each for some seconds. Then all is calm, and further jobs are handed in.
func runSlow(c *cell, trouble bool) (bool, error) {
	p := c.platform
	steady := newJob(1, "/b/", lastingRunners, 3000, 0, true)
	steady.stepOf()["AntiAffinity"] = 1
	if err := c.submit(steady); err != nil {
		return false, err
	}
	quit := make(chan struct{})
	stopped := make(chan error)
	var sent []*jobSpec
	go func() {
		for n := 0; ; n++ {
			select {
			case <-quit:
				stopped <- nil
				return
			case <-time.After(trafficPause):
			}
			j := newJob(100+n, "/b/", lastingRunners, 500, batchLength, false)
			j.stepOf()["AntiAffinity"] = 1
			if err := c.submit(j); err != nil {
				stopped <- err
				return
			}
			sent = append(sent, j)
		}
	}()
	time.Sleep(3 * time.Second)
	for _, r := range c.runners {
		if trouble {
			r.setSlowFactor(slowFactor)
		}
		time.Sleep(slowTime)
		if trouble {
			r.setSlowFactor(1)
		}
	}
	time.Sleep(calmBefore)
	p.log("calm")
	close(quit)
	if err := <-stopped; err != nil {
		return false, err
	}
	jobs := append([]*jobSpec{steady}, sent...)
	for n := range batchJobs {
		j := newJob(10+n, "/u/", 2, batchMilliCPU, batchLength, false)
		if err := c.submit(j); err != nil {
			return false, err
		}
		jobs = append(jobs, j)
	}
	p.log("end of the traffic")
	time.Sleep(finishTime)
	c.askStates(jobs[len(jobs)-batchJobs:])
	return c.watch(jobs[len(jobs)-batchJobs:], calmBefore+visibleTime) > 0, nil
}
