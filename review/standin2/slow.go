package main

import "time"

const (
	// The site files slow 0.17 of the runners by 6.5 for 7 s; here it is one of six, once.
	slowFactor   = 6.5
	slowTime     = 7 * time.Second
	trafficPause = 400 * time.Millisecond
	// rareRack is the rack of the only runner of the rare kind.
	rareRack = "r1-49"
	rareKind = "b"
)

// slowRacks are the racks of the runners: one runner of the rare kind, five of the usual one.
var slowRacks = []string{rareRack, "r1-50", "r1-50", "r1-51", "r1-51", "r1-52"}

// submitUntil hands in a stream of short jobs with one task for each runner.
func (c *cell) submitUntil(first int, end time.Time) ([]*jobSpec, error) {
	var jobs []*jobSpec
	for n := 0; time.Now().Before(end); n++ {
		j := newJob(first+n, "/b/", lastingRunners, 500, batchLength, false)
		j.stepOf()["AntiAffinity"] = 1
		if err := c.submit(j); err != nil {
			return nil, err
		}
		jobs = append(jobs, j)
		time.Sleep(trafficPause)
	}
	return jobs, nil
}

// runSlow has a service on each runner and a stream of short jobs. The only runner of a rare
// kind turns slow for some seconds. Then all is calm, and jobs that require its kind are handed
// in.
func runSlow(c *cell, trouble bool) (bool, error) {
	p := c.platform
	steady := newJob(1, "/b/", lastingRunners, 3000, 0, true)
	steady.stepOf()["AntiAffinity"] = 1
	if err := c.submit(steady); err != nil {
		return false, err
	}
	time.Sleep(time.Second)
	jobs, err := c.submitUntil(100, time.Now().Add(5*time.Second))
	if err != nil {
		return false, err
	}
	if trouble {
		c.runners[0].setSlowFactor(slowFactor)
	}
	more, err := c.submitUntil(200, time.Now().Add(slowTime))
	if err != nil {
		return false, err
	}
	if trouble {
		c.runners[0].setSlowFactor(1)
	}
	jobs = append(jobs, more...)
	time.Sleep(calmBefore + visibleTime)
	p.log("calm")
	for n := range batchJobs {
		j := newJob(10+n, "/u/", 2, batchMilliCPU, batchLength, false)
		j.requires = rareKind
		j.stepOf()["Requires"] = rareKind
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
