package scheduler_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"fuchsiacross/event"
	"fuchsiacross/model"
	"fuchsiacross/scheduler"
)

// startTime is the virtual time at which every test begins.
var startTime = time.Date(2026, 12, 4, 9, 0, 0, 0, time.UTC)

const (
	tickInterval   = 20 * time.Millisecond
	leaseDuration  = 1500 * time.Millisecond
	partitionCount = 4
)

type timer struct {
	at  time.Time
	seq int
	run func()
}

type timerQueue []timer

func (t timerQueue) Len() int { return len(t) }
func (t timerQueue) Less(i, j int) bool {
	if t[i].at.Equal(t[j].at) {
		return t[i].seq < t[j].seq
	}
	return t[i].at.Before(t[j].at)
}
func (t timerQueue) Swap(i, j int) { t[i], t[j] = t[j], t[i] }
func (t *timerQueue) Push(x any)   { *t = append(*t, x.(timer)) }
func (t *timerQueue) Pop() any {
	last := (*t)[len(*t)-1]
	*t = (*t)[:len(*t)-1]
	return last
}

// direction is one direction of a link between an instance and another instance, a
// worker or the store. Its ends are identifiers.
type direction struct{ from, to string }

// testCell simulates a cell: it connects reducers with fakes of their environment.
// One queue orders all events in virtual time, and one seed determines delays and
// losses.
type testCell struct {
	now           time.Time
	queue         timerQueue
	seq           int
	random        *rand.Rand
	nodes         []*node
	workers       []*fakeWorker
	store         *store
	recorder      *recorder
	cutLinks      map[direction]bool
	lossPercent   int // of the messages between instances
	lastDelivery  map[direction]time.Time
	listedWorkers []model.Worker
	token         event.Token
}

func newTestCell(seed uint64, instances, workers int, capacity model.Resources) *testCell {
	c := &testCell{
		now:          startTime,
		random:       rand.New(rand.NewPCG(seed, 1)),
		cutLinks:     map[direction]bool{},
		lastDelivery: map[direction]time.Time{},
	}
	c.recorder = newRecorder(c)
	c.store = newStore(c)
	for i := range workers {
		id := model.WorkerID(fmt.Sprintf("w%d", i))
		dc := model.DataCentre(fmt.Sprintf("dc%d", i%2))
		c.listedWorkers = append(c.listedWorkers, model.Worker{ID: id, DataCentre: dc, Rack: model.Rack(fmt.Sprintf("r%d", i%4))})
		c.workers = append(c.workers, newFakeWorker(c, c.listedWorkers[i], capacity))
	}
	for i := range instances {
		self := model.Instance{
			ID:         model.InstanceID(fmt.Sprintf("i%d", i)),
			DataCentre: model.DataCentre(fmt.Sprintf("dc%d", i%2)),
			Weight:     1,
		}
		c.nodes = append(c.nodes, &node{cell: c, self: self})
	}
	for _, n := range c.nodes {
		n.boot()
	}
	return c
}

func (c *testCell) schedule(d time.Duration, run func()) {
	c.seq++
	heap.Push(&c.queue, timer{at: c.now.Add(d), seq: c.seq, run: run})
}

// run advances virtual time.
func (c *testCell) run(d time.Duration) {
	end := c.now.Add(d)
	for len(c.queue) > 0 && !c.queue[0].at.After(end) {
		t := heap.Pop(&c.queue).(timer)
		c.now = t.at
		t.run()
	}
	c.now = end
}

// runUntil runs until a condition holds or the limit has passed, and reports
// whether the condition holds.
func (c *testCell) runUntil(limit time.Duration, done func() bool) bool {
	for end := c.now.Add(limit); c.now.Before(end); c.run(tickInterval) {
		if done() {
			return true
		}
	}
	return done()
}

// deliver runs f after the delay of a link, in order of the calls. It returns false
// if the link is cut.
func (c *testCell) deliver(from, to string, f func()) bool {
	link := direction{from, to}
	if c.cutLinks[link] {
		return false
	}
	at := c.now.Add(time.Duration(1000+c.random.IntN(4000)) * time.Microsecond)
	if last := c.lastDelivery[link]; at.Before(last) {
		at = last
	}
	c.lastDelivery[link] = at
	c.schedule(at.Sub(c.now), f)
	return true
}

func (c *testCell) cutLink(from, to string) { c.cutLinks[direction{from, to}] = true }

func (c *testCell) cutLinkBothWays(a, b string) {
	c.cutLink(a, b)
	c.cutLink(b, a)
}

// endFaults ends all faults except those that are a state of a worker, and starts
// the instances that are not running or are shutting down.
func (c *testCell) endFaults() {
	clear(c.cutLinks)
	c.lossPercent = 0
	c.store.endOutage()
	for _, n := range c.nodes {
		if !n.alive || n.stopped || n.stopping {
			n.boot()
		}
	}
}

func (c *testCell) nodeByID(id model.InstanceID) *node {
	for _, n := range c.nodes {
		if n.self.ID == id {
			return n
		}
	}
	return nil
}

func (c *testCell) workerByID(id model.WorkerID) *fakeWorker {
	for _, w := range c.workers {
		if w.self.ID == id {
			return w
		}
	}
	return nil
}

// listedInstances returns the instances in the platform's list.
func (c *testCell) listedInstances() []model.Instance {
	var list []model.Instance
	for _, n := range c.nodes {
		if n.alive {
			list = append(list, n.self)
		}
	}
	return list
}

// node is one instance: a reducer and a fake of the adapters that execute its
// effects.
type node struct {
	cell           *testCell
	self           model.Instance
	incarnation    model.Incarnation
	reducer        *scheduler.Reducer
	alive          bool
	stopping       bool
	stopped        bool
	pausedUntil    time.Time // zero if the process was never paused
	backlog        []event.Event
	delayedEffects []event.Effect // computed before a pause and executed after it
	sessions       map[model.WorkerID]*session
	revision       model.Revision
	sentMessages   int // to peers
	storeWrites    int // journal writes
}

func (n *node) name() string { return string(n.self.ID) }

// boot starts the process in a new incarnation.
func (n *node) boot() {
	n.incarnation++
	n.alive, n.stopping, n.stopped, n.pausedUntil = true, false, false, time.Time{}
	n.backlog, n.delayedEffects, n.revision = nil, nil, 0
	n.sessions = map[model.WorkerID]*session{}
	n.reducer = scheduler.New(n.cell.now, scheduler.Options{
		Self:                 n.self,
		Incarnation:          n.incarnation,
		Seed:                 n.cell.random.Uint64(),
		Partitions:           partitionCount,
		StoreWritesPerSecond: 200,
		MaxQueued:            10_000,
		MaxRequestBytes:      maxRequestBytes,
	})
	incarnation := n.incarnation
	n.runEvery(incarnation, tickInterval, func() { n.receive(incarnation, event.Tick{}) })
	n.runEvery(incarnation, leaseDuration/3, n.renewLeases)
	n.runEvery(incarnation, 500*time.Millisecond, func() { n.readList(incarnation) })
	n.runEvery(incarnation, time.Second, func() {
		if n.reducer.PollsDocumentHead() {
			n.cell.store.fetchDocument(n, incarnation)
		}
	})
	n.cell.schedule(time.Millisecond, func() { n.readList(incarnation); n.cell.store.fetchDocument(n, incarnation) })
}

func (n *node) runEvery(incarnation model.Incarnation, d time.Duration, f func()) {
	n.cell.schedule(d, func() {
		if n.incarnation != incarnation || !n.alive {
			return
		}
		if !n.cell.now.Before(n.pausedUntil) {
			f()
		}
		n.runEvery(incarnation, d, f)
	})
}

func (n *node) readList(incarnation model.Incarnation) {
	if n.cell.cutLinks[direction{n.name(), "store"}] {
		n.receive(incarnation, event.PlatformListFailed{Reason: "cut"})
		return
	}
	n.receive(incarnation, event.PlatformListRead{Workers: slices.Clone(n.cell.listedWorkers), Instances: n.cell.listedInstances()})
}

// kill ends the process without a shutdown.
func (n *node) kill() {
	n.alive = false
	n.sessions = map[model.WorkerID]*session{}
	n.cell.recorder.closeCallsOf(n)
}

// pause suspends the process. With lateEffects, one more tick is applied before
// the pause, and its effects are executed after the pause.
func (n *node) pause(d time.Duration, lateEffects bool) {
	if !n.alive {
		return
	}
	if lateEffects && !n.cell.now.Before(n.pausedUntil) {
		n.delayedEffects = slices.Clone(n.reducer.Apply(n.cell.now, event.Tick{}))
	}
	n.pausedUntil = n.cell.now.Add(d)
	incarnation := n.incarnation
	n.cell.schedule(d, func() { n.resume(incarnation) })
}

func (n *node) resume(incarnation model.Incarnation) {
	if n.incarnation != incarnation || !n.alive || n.cell.now.Before(n.pausedUntil) {
		return
	}
	delayed, backlog := n.delayedEffects, n.backlog
	n.delayedEffects, n.backlog = nil, nil
	for _, e := range delayed {
		n.execute(e)
	}
	for _, e := range backlog {
		n.apply(e)
	}
}

// receive passes an event to the given incarnation of the process. Events during a
// pause go to the backlog.
func (n *node) receive(incarnation model.Incarnation, e event.Event) {
	switch {
	case n.incarnation != incarnation || !n.alive:
	case n.cell.now.Before(n.pausedUntil):
		n.backlog = append(n.backlog, e)
	default:
		n.apply(e)
	}
}

func (n *node) apply(e event.Event) {
	if _, ok := e.(event.Shutdown); ok {
		n.stopping = true
	}
	for _, effect := range slices.Clone(n.reducer.Apply(n.cell.now, e)) {
		n.execute(effect)
	}
	n.cell.recorder.checkRevision(n)
}

func (n *node) execute(e event.Effect) {
	switch e := e.(type) {
	case event.Reply:
		n.cell.recorder.recordReply(n, e)
	case event.Reject:
		n.cell.recorder.recordReject(n, e)
	case event.SendPeer:
		n.sentMessages++
		n.sendToPeer(e)
	case event.FetchDocument:
		if p := n.cell.nodeByID(e.Peer); p != nil && p.alive {
			n.cell.schedule(10*time.Millisecond, func() { n.receive(n.incarnation, event.DocumentChanged{Document: p.reducer.Document()}) })
			return
		}
		n.cell.store.fetchDocument(n, n.incarnation)
	case event.LoadJournal:
		n.cell.store.load(n, e.Partition)
	case event.CommitJournal:
		n.storeWrites++
		n.cell.store.commit(n, e.CommitID, e.Partition, e.Version, e.Records, false)
	case event.CompactJournal:
		n.storeWrites++
		n.cell.store.commit(n, e.CommitID, e.Partition, e.Version, e.Records, true)
	case event.Stopped:
		n.stopped = true
		n.cell.recorder.checkShutdown(n)
	case event.Trace:
		n.cell.recorder.recordTrace(n, e)
	default:
		n.sendToWorker(e)
	}
}

func (n *node) sendToPeer(e event.SendPeer) {
	c := n.cell
	to := c.nodeByID(e.To)
	if to == nil || c.random.IntN(100) < c.lossPercent {
		return
	}
	incarnation := to.incarnation
	c.deliver(n.name(), to.name(), func() {
		to.receive(incarnation, event.PeerReceived{From: n.self.ID, Message: e.Message})
	})
}

// submit submits a request to this instance and returns the token of the call.
func (n *node) submit(r *model.Request, wait bool) event.Token {
	t := n.cell.recorder.openCall(n, r, wait)
	n.receive(n.incarnation, event.Submit{Token: t, Request: r, Wait: wait})
	return t
}

func (n *node) cancel(id model.RequestID) event.Token {
	t := n.cell.recorder.openCall(n, &model.Request{ID: id}, true)
	n.cell.recorder.cancelled[id] = true
	n.receive(n.incarnation, event.Cancel{Token: t, Request: id})
	return t
}
