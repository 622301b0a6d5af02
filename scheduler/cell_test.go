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

// start is the virtual time at which every test begins.
var start = time.Date(2026, 12, 4, 9, 0, 0, 0, time.UTC)

const (
	tick       = 20 * time.Millisecond
	leaseTime  = 1500 * time.Millisecond
	partitions = 4
)

type timer struct {
	at  time.Time
	seq int
	run func()
}

type timers []timer

func (t timers) Len() int { return len(t) }
func (t timers) Less(i, j int) bool {
	if t[i].at.Equal(t[j].at) {
		return t[i].seq < t[j].seq
	}
	return t[i].at.Before(t[j].at)
}
func (t timers) Swap(i, j int) { t[i], t[j] = t[j], t[i] }
func (t *timers) Push(x any)   { *t = append(*t, x.(timer)) }
func (t *timers) Pop() any {
	last := (*t)[len(*t)-1]
	*t = (*t)[:len(*t)-1]
	return last
}

// way is a link in one direction; its ends are named by identifier.
type way struct{ from, to string }

// cell joins reducers with fakes of everything around them. One queue orders
// all events in virtual time, and one seed decides delays and losses.
type cell struct {
	now     time.Time
	queue   timers
	seq     int
	random  *rand.Rand
	nodes   []*node
	workers []*fakeWorker
	store   *store
	rec     *recorder
	cuts    map[way]bool
	losses  int // percent of messages between instances
	latest  map[way]time.Time
	listed  []model.Worker
	token   event.Token
}

func newCell(seed uint64, instances, workers int, capacity model.Resources) *cell {
	c := &cell{
		now:    start,
		random: rand.New(rand.NewPCG(seed, 1)),
		cuts:   map[way]bool{},
		latest: map[way]time.Time{},
	}
	c.rec = newRecorder(c)
	c.store = newStore(c)
	for i := range workers {
		id := model.WorkerID(fmt.Sprintf("w%d", i))
		dc := model.DataCentre(fmt.Sprintf("dc%d", i%2))
		c.listed = append(c.listed, model.Worker{ID: id, DataCentre: dc, Rack: model.Rack(fmt.Sprintf("r%d", i%4))})
		c.workers = append(c.workers, newFakeWorker(c, c.listed[i], capacity))
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

func (c *cell) after(d time.Duration, run func()) {
	c.seq++
	heap.Push(&c.queue, timer{at: c.now.Add(d), seq: c.seq, run: run})
}

// run lets virtual time pass.
func (c *cell) run(d time.Duration) {
	end := c.now.Add(d)
	for len(c.queue) > 0 && !c.queue[0].at.After(end) {
		t := heap.Pop(&c.queue).(timer)
		c.now = t.at
		t.run()
	}
	c.now = end
}

// until runs until a condition holds, and reports whether it did in time.
func (c *cell) until(limit time.Duration, done func() bool) bool {
	for end := c.now.Add(limit); c.now.Before(end); c.run(tick) {
		if done() {
			return true
		}
	}
	return done()
}

// deliver runs f after the delay of a link, in order, and reports whether the
// link carries it.
func (c *cell) deliver(from, to string, f func()) bool {
	w := way{from, to}
	if c.cuts[w] {
		return false
	}
	at := c.now.Add(time.Duration(1000+c.random.IntN(4000)) * time.Microsecond)
	if last := c.latest[w]; at.Before(last) {
		at = last
	}
	c.latest[w] = at
	c.after(at.Sub(c.now), f)
	return true
}

func (c *cell) cut(from, to string) { c.cuts[way{from, to}] = true }

func (c *cell) cutBoth(a, b string) {
	c.cut(a, b)
	c.cut(b, a)
}

// heal ends all faults but those that are states of a worker.
func (c *cell) heal() {
	clear(c.cuts)
	c.losses = 0
	c.store.repair()
	for _, n := range c.nodes {
		if !n.alive || n.stopped || n.stopping {
			n.boot()
		}
	}
}

func (c *cell) node(id model.InstanceID) *node {
	for _, n := range c.nodes {
		if n.self.ID == id {
			return n
		}
	}
	return nil
}

func (c *cell) worker(id model.WorkerID) *fakeWorker {
	for _, w := range c.workers {
		if w.self.ID == id {
			return w
		}
	}
	return nil
}

// list is what the platform's list says of instances.
func (c *cell) list() []model.Instance {
	var list []model.Instance
	for _, n := range c.nodes {
		if n.alive {
			list = append(list, n.self)
		}
	}
	return list
}

// node is one instance: a reducer with the parts of its adapters that the
// effects need.
type node struct {
	cell     *cell
	self     model.Instance
	life     model.Incarnation
	r        *scheduler.Reducer
	alive    bool
	stopping bool
	stopped  bool
	paused   time.Time // until
	backlog  []event.Event
	late     []event.Effect // of the last event before a pause
	sessions map[model.WorkerID]*session
	revision model.Revision
	messages int // sent to peers
	writes   int // sent to the store
}

func (n *node) name() string { return string(n.self.ID) }

// boot starts the process with a new incarnation.
func (n *node) boot() {
	n.life++
	n.alive, n.stopping, n.stopped, n.paused = true, false, false, time.Time{}
	n.backlog, n.late, n.revision = nil, nil, 0
	n.sessions = map[model.WorkerID]*session{}
	n.r = scheduler.New(n.cell.now, scheduler.Options{
		Self:                 n.self,
		Incarnation:          n.life,
		Seed:                 n.cell.random.Uint64(),
		Partitions:           partitions,
		StoreWritesPerSecond: 200,
		MaxQueued:            10_000,
	})
	life := n.life
	n.every(life, tick, func() { n.take(life, event.Tick{}) })
	n.every(life, leaseTime/3, n.renew)
	n.every(life, 500*time.Millisecond, func() { n.readList(life) })
	n.every(life, time.Second, func() {
		if n.r.PollsDocumentHead() {
			n.cell.store.fetchDocument(n, life)
		}
	})
	n.cell.after(time.Millisecond, func() { n.readList(life); n.cell.store.fetchDocument(n, life) })
}

func (n *node) every(life model.Incarnation, d time.Duration, f func()) {
	n.cell.after(d, func() {
		if n.life != life || !n.alive {
			return
		}
		if !n.cell.now.Before(n.paused) {
			f()
		}
		n.every(life, d, f)
	})
}

func (n *node) readList(life model.Incarnation) {
	if n.cell.cuts[way{n.name(), "store"}] {
		n.take(life, event.PlatformListFailed{Reason: "cut"})
		return
	}
	n.take(life, event.PlatformListRead{Workers: slices.Clone(n.cell.listed), Instances: n.cell.list()})
}

// kill ends the process without a word.
func (n *node) kill() {
	n.alive = false
	n.sessions = map[model.WorkerID]*session{}
	n.cell.rec.killed(n)
}

// pause stops the process. With lateEffects the effects of the next event are
// decided before the pause and carried out after it.
func (n *node) pause(d time.Duration, lateEffects bool) {
	if !n.alive {
		return
	}
	if lateEffects && !n.cell.now.Before(n.paused) {
		n.late = slices.Clone(n.r.Apply(n.cell.now, event.Tick{}))
	}
	n.paused = n.cell.now.Add(d)
	life := n.life
	n.cell.after(d, func() { n.resume(life) })
}

func (n *node) resume(life model.Incarnation) {
	if n.life != life || !n.alive || n.cell.now.Before(n.paused) {
		return
	}
	late, backlog := n.late, n.backlog
	n.late, n.backlog = nil, nil
	for _, e := range late {
		n.carryOut(e)
	}
	for _, e := range backlog {
		n.apply(e)
	}
}

// take brings an event to a life of the process.
func (n *node) take(life model.Incarnation, e event.Event) {
	switch {
	case n.life != life || !n.alive:
	case n.cell.now.Before(n.paused):
		n.backlog = append(n.backlog, e)
	default:
		n.apply(e)
	}
}

func (n *node) apply(e event.Event) {
	if _, ok := e.(event.Shutdown); ok {
		n.stopping = true
	}
	for _, effect := range slices.Clone(n.r.Apply(n.cell.now, e)) {
		n.carryOut(effect)
	}
	n.cell.rec.revisionAt(n)
}

func (n *node) carryOut(e event.Effect) {
	switch e := e.(type) {
	case event.Reply:
		n.cell.rec.replied(n, e)
	case event.Reject:
		n.cell.rec.rejected(n, e)
	case event.SendPeer:
		n.messages++
		n.send(e)
	case event.FetchDocument:
		if p := n.cell.node(e.Peer); p != nil && p.alive {
			n.cell.after(10*time.Millisecond, func() { n.take(n.life, event.DocumentChanged{Document: p.r.Document()}) })
			return
		}
		n.cell.store.fetchDocument(n, n.life)
	case event.LoadJournal:
		n.cell.store.load(n, e.Partition)
	case event.CommitJournal:
		n.writes++
		n.cell.store.commit(n, e.CommitID, e.Partition, e.Version, e.Records, false)
	case event.CompactJournal:
		n.writes++
		n.cell.store.commit(n, e.CommitID, e.Partition, e.Version, e.Records, true)
	case event.Stopped:
		n.stopped = true
		n.cell.rec.stoppedAt(n)
	case event.Trace:
		n.cell.rec.traced(n, e)
	default:
		n.toWorker(e)
	}
}

func (n *node) send(e event.SendPeer) {
	c := n.cell
	to := c.node(e.To)
	if to == nil || c.random.IntN(100) < c.losses {
		return
	}
	life := to.life
	c.deliver(n.name(), to.name(), func() {
		to.take(life, event.PeerReceived{From: n.self.ID, Message: e.Message})
	})
}

// submit makes a call to this instance and returns its token.
func (n *node) submit(r *model.Request, wait bool) event.Token {
	t := n.cell.rec.call(n, r, wait)
	n.take(n.life, event.Submit{Token: t, Request: r, Wait: wait})
	return t
}

func (n *node) cancel(id model.RequestID) event.Token {
	t := n.cell.rec.call(n, &model.Request{ID: id}, true)
	n.take(n.life, event.Cancel{Token: t, Request: id})
	return t
}
