package main

import (
	"net/http"
	"sync"
	"time"
)

const (
	// silence is how long the store is silent; the site files have up to 4.3 s.
	silence        = 3 * time.Second
	withdrawnJobs  = 60
	withdrawnPause = 10 * time.Millisecond
	withdrawnRun   = 14 * time.Second
	deleteRetry    = 300 * time.Millisecond
	// cancelTime and stopTimeout are cancel_ms and StopTimeoutMs of the site file.
	cancelTime  = 3 * time.Second
	stopTimeout = 400 * time.Millisecond
	// contactTime is ContactMs: so long after its disruption the store counts as stable.
	contactTime = 3 * time.Second
	checkMargin = 200 * time.Millisecond
	// calmAfter is how long after the beginning of the silence the last transaction has been
	// carried out late and the store has been stable for contactTime.
	calmAfter = silence + maxLate + contactTime
)

// runWithdrawn hands jobs in while the store is silent for some seconds. A client that hears 504
// cancels its job, again and again until it gets an answer.
func runWithdrawn(c *cell, trouble bool) (bool, error) {
	p := c.platform
	time.Sleep(2 * time.Second)
	if trouble {
		c.fronted.setSilent(true)
		p.log("the store falls silent")
		time.AfterFunc(silence, func() {
			c.fronted.setSilent(false)
			p.log("the store answers again")
		})
	}
	began := time.Now()
	var clients sync.WaitGroup
	var jobs []*jobSpec
	for n := range withdrawnJobs {
		j := newJob(1+n, "/b/", 1, 500, withdrawnRun, false)
		jobs = append(jobs, j)
		p.mu.Lock()
		p.jobs[j.id] = j
		p.mu.Unlock()
		clients.Go(func() { c.submitOrWithdraw(n, j) })
		time.Sleep(withdrawnPause)
	}
	clients.Wait()
	time.Sleep(time.Until(began.Add(calmAfter + withdrawnRun/2)))
	broken := false
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, j := range jobs {
		for _, i := range p.runs {
			if id, _ := taskOf(i.task); id != j.id {
				continue
			}
			// No disruption is near the time at which the task has to be gone.
			judged := j.cancelled.Add(cancelTime + stopTimeout + checkMargin)
			if calm := began.Add(calmAfter); calm.After(judged) {
				judged = calm
			}
			switch {
			case j.refused:
				broken = true
				p.log("REFUSED: task %s started %.1f s after the beginning, all attempts to hand its job in were rejected", i.task, i.from.Sub(began).Seconds())
			case j.cancelled.IsZero():
			case i.to.IsZero() || i.to.After(judged):
				broken = true
				p.log("UNASKED: task %s started %.1f s after its job's cancelling was acknowledged, and still ran %.1f s after it", i.task, i.from.Sub(j.cancelled).Seconds(), judged.Sub(j.cancelled).Seconds())
			}
		}
	}
	return broken, nil
}

// submitOrWithdraw hands a job in once. If its outcome is unknown, the client cancels it.
func (c *cell) submitOrWithdraw(n int, j *jobSpec) {
	switch status, _ := c.call(n, http.MethodPost, j.path, j.body); status {
	case http.StatusOK:
		j.accepted = time.Now()
		return
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		j.refused = true
		return
	}
	for attempt := range 20 {
		status, _ := c.call(n+attempt, http.MethodDelete, j.path, nil)
		if status == http.StatusOK || status == http.StatusGone {
			j.cancelled = time.Now()
			return
		}
		time.Sleep(deleteRetry)
	}
}
