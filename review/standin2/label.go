package main

import "time"

const (
	// A fleet of 480 runners is divided between two leaders.
	labelRunners  = 480
	labelRackSize = 8
	rareKind      = "b"
	rareJobs      = 12
	rareLength    = 500 * time.Millisecond
	// settleTime is longer than the lease of a runner that is lost.
	settleTime = 7 * time.Second
)

// rareRacks are the racks of the rare kind of runner, one in each half of the fleet.
var rareRacks = []string{"r1-00", "r1-01"}

// submitRare hands in jobs that only runners of the rare kind may run.
func (c *cell) submitRare(first int) ([]*jobSpec, error) {
	var jobs []*jobSpec
	for n := range rareJobs {
		j := newJob(first+n, "/b/", 1, batchMilliCPU, rareLength, false)
		j.requires = rareKind
		j.stepOf()["Requires"] = rareKind
		if err := c.submit(j); err != nil {
			return nil, err
		}
		jobs = append(jobs, j)
	}
	return jobs, nil
}

// runLabel has two racks of a rare kind of runner in a fleet of 480, and jobs that require this
// kind. One of the racks is lost for good.
func runLabel(c *cell, trouble bool) (bool, error) {
	p := c.platform
	jobs, err := c.submitRare(1)
	if err != nil {
		return false, err
	}
	time.Sleep(5 * time.Second)
	if trouble {
		for _, r := range c.runners {
			if r.rack == rareRacks[0] {
				r.crash()
			}
		}
		p.log("the runners of rack %s are lost for good", rareRacks[0])
	}
	time.Sleep(settleTime)
	later, err := c.submitRare(100)
	if err != nil {
		return false, err
	}
	jobs = append(jobs, later...)
	p.log("end of the traffic")
	time.Sleep(finishTime)
	c.askStates(jobs)
	return c.watch(jobs, calmBefore+visibleTime) > 0, nil
}
