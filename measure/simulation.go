package measure

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"fuchsiacross/document"
	"fuchsiacross/event"
	"fuchsiacross/model"
	"fuchsiacross/requestjournal"
	"fuchsiacross/scheduler"
)

const (
	// daemonTickInterval is the interval between ticks of the daemon.
	daemonTickInterval = 10 * time.Millisecond
	// documentHeadPollInterval is the daemon's default interval between reads of
	// the document's head in the store.
	documentHeadPollInterval = time.Second
	// minRetransmissionTimeout is the time after which TCP retransmits a lost
	// packet. It doubles with each further loss.
	minRetransmissionTimeout = 200 * time.Millisecond
	// delayWithinDataCentre is the one-way delay within a data centre.
	delayWithinDataCentre = 100 * time.Microsecond
)

// SimulationOptions configure a Simulation. Zero values select the defaults.
type SimulationOptions struct {
	Instances             int
	Workers               int
	DataCentres           int             // default 4
	Capacity              model.Resources // of each worker; default 32 processors, 64 GiB, 8 slots
	LinkDelayMilliseconds int64           // one way between data centres
	PacketLossFraction    float64         // fraction of packets between instances that are lost and retransmitted
	StoreCallMilliseconds int64           // duration of one store call; default 5
	LeaseMilliseconds     int64           // default 1200
	Partitions            uint32          // default 8
	Seed                  uint64
	InitialDocument       *document.Document                 // in force at the start; nil for the default
	TaskDuration          func(*model.Request) time.Duration // how long a task runs; nil for 5 ms
}

func (o SimulationOptions) withDefaults() SimulationOptions {
	if o.DataCentres == 0 {
		o.DataCentres = 4
	}
	if o.Capacity.IsZero() {
		o.Capacity = model.Resources{MilliCPU: 32_000, MemoryBytes: 64 << 30, Slots: 8}
	}
	if o.StoreCallMilliseconds == 0 {
		o.StoreCallMilliseconds = 5
	}
	if o.LeaseMilliseconds == 0 {
		o.LeaseMilliseconds = 1200
	}
	if o.Partitions == 0 {
		o.Partitions = 8
	}
	if o.TaskDuration == nil {
		o.TaskDuration = func(*model.Request) time.Duration { return 5 * time.Millisecond }
	}
	return o
}

// Simulation runs the reducers of a cell in virtual time, with simulated workers,
// links and store. It is not safe for concurrent use.
type Simulation struct {
	options           SimulationOptions
	random            *rand.Rand
	now               time.Time
	callbacks         callbackQueue
	lastSequence      uint64
	instances         []*instance
	instancesByID     map[model.InstanceID]*instance
	workersByID       map[model.WorkerID]*simulatedWorker
	workers           []*simulatedWorker
	journalPartitions []journalPartition
	committedDocument *document.Document
	startTimes        map[model.RequestID]time.Time
	lastToken         event.Token
	Counts            Counts
}

// Counts are event counts of a Simulation.
type Counts struct {
	Starts                     uint64 // of tasks
	Heartbeats                 uint64
	PeerMessages               uint64 // between instances, without heartbeats
	Commits                    uint64 // journal writes to the store
	Records                    uint64 // journal records in Commits
	Replies                    map[model.Status]uint64
	Rejects                    uint64
	LateStartsOnLeavingWorkers uint64 // more than 2 s after the list marked the worker as leaving
}

type instance struct {
	model.Instance
	reducer          *scheduler.Reducer
	dead             bool
	storeUnreachable bool
	lastArrivals     map[model.InstanceID]time.Time // latest arrival at each peer, so that messages stay in order
}

// journalPartition is the stored state of one partition of the journal.
type journalPartition struct {
	version requestjournal.Version
	records []requestjournal.Record
}

// callback is a function that is due at a virtual time.
type callback struct {
	dueAt    time.Time
	sequence uint64
	run      func()
}

// callbackQueue is a heap of callbacks by due time, then by sequence number.
type callbackQueue []callback

func (d callbackQueue) Len() int { return len(d) }

func (d callbackQueue) Less(i, j int) bool {
	if d[i].dueAt.Equal(d[j].dueAt) {
		return d[i].sequence < d[j].sequence
	}
	return d[i].dueAt.Before(d[j].dueAt)
}
func (d callbackQueue) Swap(i, j int) { d[i], d[j] = d[j], d[i] }

// Push adds a callback. It implements heap.Interface.
func (d *callbackQueue) Push(x any) { *d = append(*d, x.(callback)) }

// Pop removes the last callback. It implements heap.Interface.
func (d *callbackQueue) Pop() any {
	last := len(*d) - 1
	x := (*d)[last]
	(*d)[last] = callback{}
	*d = (*d)[:last]
	return x
}

// Epoch is the virtual time at which every Simulation and SingleInstance starts.
var Epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// NewSimulation returns a simulation whose instances have just started.
func NewSimulation(o SimulationOptions) *Simulation {
	c := &Simulation{
		options:           o.withDefaults(),
		random:            rand.New(rand.NewPCG(o.Seed, 7)),
		now:               Epoch,
		instancesByID:     map[model.InstanceID]*instance{},
		workersByID:       map[model.WorkerID]*simulatedWorker{},
		committedDocument: o.InitialDocument,
		startTimes:        map[model.RequestID]time.Time{},
	}
	c.Counts.Replies = map[model.Status]uint64{}
	c.journalPartitions = make([]journalPartition, c.options.Partitions)
	for i := range c.options.Workers {
		c.addWorker(i)
	}
	for i := range c.options.Instances {
		c.addInstance(i)
	}
	read := c.platformList()
	for _, x := range c.instances {
		c.scheduleEvent(0, x, read)
	}
	return c
}

func dataCentre(i, count int) model.DataCentre {
	return model.DataCentre(fmt.Sprintf("centre-%d", i%count))
}

func (c *Simulation) addInstance(i int) {
	x := &instance{
		Instance: model.Instance{
			ID:         model.InstanceID(fmt.Sprintf("entry-%03d", i)),
			DataCentre: dataCentre(i, c.options.DataCentres),
			Weight:     1,
		},
		lastArrivals: map[model.InstanceID]time.Time{},
	}
	x.reducer = scheduler.New(c.now, scheduler.Options{
		Self:                 x.Instance,
		Incarnation:          1,
		Seed:                 c.options.Seed + uint64(i),
		Partitions:           c.options.Partitions,
		StoreWritesPerSecond: 200,
		MaxQueued:            100_000,
	})
	c.instances = append(c.instances, x)
	c.instancesByID[x.ID] = x
	if c.committedDocument != nil {
		c.scheduleEvent(0, x, event.DocumentChanged{Document: c.committedDocument})
	}
	// The ticks of the instances are not synchronized.
	phase := time.Duration(c.random.Int64N(int64(daemonTickInterval)))
	c.scheduleRepeatedly(phase, daemonTickInterval, func() { c.applyEvent(x, event.Tick{}) })
	c.scheduleRepeatedly(phase+time.Duration(c.random.Int64N(int64(documentHeadPollInterval))), documentHeadPollInterval, func() { c.pollDocumentHead(x) })
}

// scheduleRepeatedly runs work after the delay first and then once per interval.
func (c *Simulation) scheduleRepeatedly(first, interval time.Duration, work func()) {
	c.schedule(first, func() {
		work()
		c.scheduleRepeatedly(interval, interval, work)
	})
}

// schedule runs work after the delay d in virtual time.
func (c *Simulation) schedule(d time.Duration, work func()) {
	c.lastSequence++
	heap.Push(&c.callbacks, callback{dueAt: c.now.Add(d), sequence: c.lastSequence, run: work})
}

// Advance advances virtual time by d and runs everything that is due.
func (c *Simulation) Advance(d time.Duration) {
	end := c.now.Add(d)
	for len(c.callbacks) > 0 && !c.callbacks[0].dueAt.After(end) {
		x := heap.Pop(&c.callbacks).(callback)
		c.now = x.dueAt
		x.run()
	}
	c.now = end
}

// Now returns the virtual time.
func (c *Simulation) Now() time.Time { return c.now }

// Reducer returns the reducer of the instance with index i.
func (c *Simulation) Reducer(i int) *scheduler.Reducer { return c.instances[i].reducer }

// StartTime returns when a task of a request first started, or the zero time.
func (c *Simulation) StartTime(id model.RequestID) time.Time { return c.startTimes[id] }

// Submit submits a request to the instance with index i.
func (c *Simulation) Submit(i int, r *model.Request) {
	c.lastToken++
	if r.SubmittedAt.IsZero() {
		r.SubmittedAt = c.now
	}
	c.scheduleEvent(0, c.instances[i], event.Submit{Token: c.lastToken, Request: r, Wait: true})
}

// KillInstance stops an instance without a shutdown or a notice to its peers. Its
// leases expire one lease duration later.
func (c *Simulation) KillInstance(i int) {
	x := c.instances[i]
	x.dead = true
	for _, t := range c.workers {
		if t.holder == x {
			t.leaseExpiry = c.now.Add(c.leaseDuration())
		}
	}
}

// DisconnectStore makes the store unreachable for an instance.
func (c *Simulation) DisconnectStore(i int) { c.instances[i].storeUnreachable = true }

// CommitDocument commits a document. The instance with index i applies it at
// once, as the committer of an edit does. With a negative index every instance
// receives it only from the store or from a peer.
func (c *Simulation) CommitDocument(i int, d *document.Document) {
	c.committedDocument = d
	if i >= 0 {
		c.scheduleEvent(0, c.instances[i], event.DocumentChanged{Document: d})
	}
}

func (c *Simulation) pollDocumentHead(x *instance) {
	if x.dead || x.storeUnreachable || c.committedDocument == nil || !x.reducer.PollsDocumentHead() {
		return
	}
	if c.committedDocument.Revision > x.reducer.Document().Revision {
		c.scheduleEvent(c.storeCallDuration(), x, event.DocumentChanged{Document: c.committedDocument})
	}
}

func (c *Simulation) storeCallDuration() time.Duration {
	return time.Duration(c.options.StoreCallMilliseconds) * time.Millisecond
}

func (c *Simulation) leaseDuration() time.Duration {
	return time.Duration(c.options.LeaseMilliseconds) * time.Millisecond
}

func (c *Simulation) platformList() event.PlatformListRead {
	var read event.PlatformListRead
	for _, t := range c.workers {
		read.Workers = append(read.Workers, t.Worker)
	}
	for _, x := range c.instances {
		read.Instances = append(read.Instances, x.Instance)
	}
	return read
}

// scheduleEvent applies an event to an instance after a delay.
func (c *Simulation) scheduleEvent(d time.Duration, x *instance, e event.Event) {
	c.schedule(d, func() { c.applyEvent(x, e) })
}

func (c *Simulation) applyEvent(x *instance, e event.Event) {
	if x.dead {
		return
	}
	for _, effect := range x.reducer.Apply(c.now, e) {
		c.executeEffect(x, effect)
	}
}
