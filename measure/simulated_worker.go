package measure

import (
	"fmt"
	"time"

	"fuchsiacross/event"
	"fuchsiacross/model"
)

// workerLinkDelay is the one-way delay between an instance and a worker.
const workerLinkDelay = 100 * time.Microsecond

// leavingWorkerStartWindow is how long starts on a worker are allowed after the
// list has marked it as leaving.
const leavingWorkerStartWindow = 2 * time.Second

// simulatedWorker is one worker of a Simulation.
type simulatedWorker struct {
	model.Worker
	holder       *instance
	term         model.Term
	leaseExpiry  time.Time // set when the holder dies; zero while the holder renews
	runningTasks map[model.Attempt]model.TaskReport
	endedTasks   map[model.Attempt]model.TaskReport // not yet acknowledged
	leavingSince time.Time                          // when the list marked it as leaving
}

func (c *Simulation) addWorker(i int) {
	dc := dataCentre(i, c.options.DataCentres)
	t := &simulatedWorker{
		Worker: model.Worker{
			ID:         model.WorkerID(fmt.Sprintf("worker-%05d", i)),
			DataCentre: dc,
			Rack:       model.Rack(fmt.Sprintf("%s-rack-%d", dc, i/c.options.DataCentres/6)),
		},
		runningTasks: map[model.Attempt]model.TaskReport{},
		endedTasks:   map[model.Attempt]model.TaskReport{},
	}
	c.workersByID[t.ID] = t
	c.workers = append(c.workers, t)
}

// platformListPollInterval is the daemon's default interval between reads of the
// platform's list.
const platformListPollInterval = 500 * time.Millisecond

// MarkWorkerLeaving marks a worker as leaving on the platform's list. Each
// instance reads the list at a random time within the poll interval.
func (c *Simulation) MarkWorkerLeaving(i int) {
	c.workers[i].Leaving = true
	c.workers[i].leavingSince = c.now
	read := c.platformList()
	for _, x := range c.instances {
		c.scheduleEvent(time.Duration(c.random.Int64N(int64(platformListPollInterval))), x, read)
	}
}

// WorkersHeldBy returns the workers whose lease an instance holds.
func (c *Simulation) WorkersHeldBy(i int) []model.WorkerID {
	var held []model.WorkerID
	for _, t := range c.workers {
		if t.holder == c.instances[i] {
			held = append(held, t.ID)
		}
	}
	return held
}

// executeWorkerEffect simulates the calls of an instance to its workers.
func (c *Simulation) executeWorkerEffect(x *instance, e event.Effect) {
	switch e := e.(type) {
	case event.AcquireLease:
		c.schedule(workerLinkDelay, func() { c.acquireLease(x, c.workersByID[e.Worker.ID]) })
	case event.ReleaseLease:
		c.schedule(workerLinkDelay, func() {
			if t := c.workersByID[e.Worker]; t.holder == x && t.term == e.Term {
				t.holder, t.leaseExpiry = nil, time.Time{}
			}
		})
	case event.StartTask:
		c.schedule(workerLinkDelay, func() { c.startTask(x, c.workersByID[e.Worker], e) })
	case event.AcknowledgeTask:
		delete(c.workersByID[e.Worker].endedTasks, e.Attempt)
	case event.StopTask:
		c.schedule(workerLinkDelay, func() { c.finishTask(c.workersByID[e.Worker], e.Attempt, true) })
	case event.FenceAttempt:
		c.schedule(workerLinkDelay, func() { c.fenceAttempt(x, c.workersByID[e.Worker], e.Attempt) })
	}
}

func (c *Simulation) acquireLease(x *instance, t *simulatedWorker) {
	if t.holder != nil && t.holder != x {
		leaseExpired := t.holder.dead && !c.now.Before(t.leaseExpiry)
		if !leaseExpired {
			leaseEnd := t.leaseExpiry
			if leaseEnd.IsZero() {
				leaseEnd = c.now.Add(c.leaseDuration())
			}
			c.scheduleEvent(workerLinkDelay, x, event.LeaseDenied{Worker: t.ID, Holder: t.holder.ID, Until: leaseEnd})
			return
		}
	}
	t.holder, t.leaseExpiry = x, time.Time{}
	t.term++
	g := event.LeaseGranted{Worker: t.Worker, Term: t.term, Incarnation: 1, Capacity: c.options.Capacity}
	for _, r := range t.runningTasks {
		g.Tasks = append(g.Tasks, r)
	}
	for _, r := range t.endedTasks {
		g.Tasks = append(g.Tasks, r)
	}
	c.scheduleEvent(workerLinkDelay, x, g)
}

func (c *Simulation) startTask(x *instance, t *simulatedWorker, e event.StartTask) {
	if t.holder != x || t.term != e.Term {
		c.scheduleEvent(workerLinkDelay, x, event.StartRefused{Worker: t.ID, Attempt: e.Attempt, Reason: "term"})
		return
	}
	if !t.leavingSince.IsZero() && c.now.Sub(t.leavingSince) > leavingWorkerStartWindow {
		c.Counts.LateStartsOnLeavingWorkers++
	}
	c.recordStart(e.Request.ID, c.now)
	t.runningTasks[e.Attempt] = model.TaskReport{
		Attempt:   e.Attempt,
		State:     model.TaskRunning,
		Resources: e.Reserved,
		Class:     e.Request.Class,
		Team:      e.Request.Team,
		Workload:  e.Request.Workload,
		Kind:      e.Request.Kind,
		StartedAt: c.now,
	}
	c.scheduleEvent(workerLinkDelay, x, event.TaskStarted{Worker: t.ID, Attempt: e.Attempt})
	c.schedule(c.options.TaskDuration(e.Request), func() { c.finishTask(t, e.Attempt, false) })
}

func (c *Simulation) finishTask(t *simulatedWorker, a model.Attempt, stopped bool) {
	r, ok := t.runningTasks[a]
	if !ok {
		return
	}
	delete(t.runningTasks, a)
	r.State = model.TaskFinished
	r.Result = model.TaskResult{Succeeded: !stopped, Digest: model.DigestOf(nil)}
	t.endedTasks[a] = r
	if t.holder != nil {
		c.scheduleEvent(workerLinkDelay, t.holder, event.TaskFinished{Worker: t.ID, Attempt: a, Result: r.Result, Stopped: stopped})
	}
}

func (c *Simulation) fenceAttempt(x *instance, t *simulatedWorker, a model.Attempt) {
	report := model.TaskReport{Attempt: a, State: model.TaskNeverSeen}
	if r, ok := t.runningTasks[a]; ok {
		report = r
	}
	if r, ok := t.endedTasks[a]; ok {
		report = r
	}
	c.scheduleEvent(workerLinkDelay, x, event.AttemptFenced{Worker: t.ID, Report: report})
}
