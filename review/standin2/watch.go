package main

import (
	"net/http"
	"time"
)

const (
	finishTime     = 14 * time.Second // finish_s of the site files
	visibleTime    = 3 * time.Second  // the time that a job has to be without a run
	lastingWait    = 6 * time.Second  // after the last run of a task that lasts
	calmBefore     = 4 * time.Second
	checkInterval  = 100 * time.Millisecond
	batchJobs      = 4
	batchLength    = time.Second
	batchMilliCPU  = 1000
	lastingRunners = 6
)

// watch checks for a time whether jobs are without any run although there is capacity for them
// twice over and under half of the service's capacity is in use. Of jobs that last it checks
// each task, whatever the use of the service. It returns the number of such jobs and tasks.
func (c *cell) watch(jobs []*jobSpec, duration time.Duration) (broken int) {
	p := c.platform
	since := map[string]time.Time{} // from when on a job or a task has been without a run
	found := map[string]bool{}
	for end := time.Now().Add(duration); time.Now().Before(end); time.Sleep(checkInterval) {
		now := time.Now()
		for _, j := range jobs {
			capacity, inUse := p.capacityFor(j)
			idle := 0
			for n := range j.tasks {
				task := j.task(n)
				last := p.lastRunning(task, now)
				if last.Equal(now) {
					delete(since, task)
					continue
				}
				idle++
				if !j.lasts {
					continue
				}
				// The wait counts from the last run.
				if _, known := since[task]; !known && now.Sub(last) >= lastingWait && capacity >= 2 {
					since[task] = now
				}
				if at, known := since[task]; known && now.Sub(at) >= visibleTime && !found[task] {
					found[task] = true
					p.log("LOST: task %s has had no run for %.1f s, with capacity for %d of its kind, %.0f %% of the service in use", task, now.Sub(last).Seconds(), capacity, 100*inUse)
				}
			}
			if j.lasts {
				continue
			}
			waits := idle == j.tasks && !c.isDone(j) && capacity >= int64(2*j.tasks) && inUse < 0.5
			if !waits {
				delete(since, j.id)
				continue
			}
			if _, known := since[j.id]; !known {
				since[j.id] = now
			}
			if now.Sub(since[j.id]) >= visibleTime && !found[j.id] {
				found[j.id] = true
				p.log("LOST: job %s, accepted %.1f s ago, has nothing running, with capacity for %d of its tasks, %.0f %% of the service in use", j.id, now.Sub(j.accepted).Seconds(), capacity, 100*inUse)
			}
		}
	}
	return len(found)
}

// isDone reports whether all tasks of a job have ended done.
func (c *cell) isDone(j *jobSpec) bool {
	p := c.platform
	p.mu.Lock()
	defer p.mu.Unlock()
	done := map[string]bool{}
	for _, i := range p.runs {
		if i.how == "done" {
			done[i.task] = true
		}
	}
	for n := range j.tasks {
		if !done[j.task(n)] {
			return false
		}
	}
	return true
}

// askStates asks each instance for the state of each job, for the record.
func (c *cell) askStates(jobs []*jobSpec) {
	for n, j := range jobs {
		c.call(n, http.MethodGet, j.path, nil)
	}
}
