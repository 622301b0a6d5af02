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
	// tickInterval is that of the daemon.
	tickInterval = 10 * time.Millisecond
	// headInterval is the default time between readings of the document's head.
	headInterval = time.Second
	// retransmission is the least time after which TCP repeats a lost packet;
	// it doubles with each further loss.
	retransmission = 200 * time.Millisecond
	// localDelay is the one-way delay within a data centre.
	localDelay = 100 * time.Microsecond
)

// CellOptions configure a Cell. Zero amounts mean the defaults.
type CellOptions struct {
	Instances         int
	Workers           int
	DataCentres       int             // default 4
	Capacity          model.Resources // of each worker; default 32 processors, 64 GiB, 8 slots
	LinkMilliseconds  int64           // one way between data centres
	Loss              float64         // share of packets between instances that TCP repeats
	StoreMilliseconds int64           // of one call; default 5
	LeaseMilliseconds int64           // default 1200
	Partitions        uint32          // default 8
	Seed              uint64
	Document          *document.Document                 // in force at the start; nil for the default
	Run               func(*model.Request) time.Duration // how long a task runs; nil for 5 ms
}

func (o CellOptions) withDefaults() CellOptions {
	if o.DataCentres == 0 {
		o.DataCentres = 4
	}
	if o.Capacity.IsZero() {
		o.Capacity = model.Resources{MilliCPU: 32_000, MemoryBytes: 64 << 30, Slots: 8}
	}
	if o.StoreMilliseconds == 0 {
		o.StoreMilliseconds = 5
	}
	if o.LeaseMilliseconds == 0 {
		o.LeaseMilliseconds = 1200
	}
	if o.Partitions == 0 {
		o.Partitions = 8
	}
	if o.Run == nil {
		o.Run = func(*model.Request) time.Duration { return 5 * time.Millisecond }
	}
	return o
}

// Cell is a cell of reducers in virtual time. It is used by one goroutine.
type Cell struct {
	o         CellOptions
	random    *rand.Rand
	now       time.Time
	queue     due
	sequence  uint64
	instances []*instance
	byID      map[model.InstanceID]*instance
	workers   map[model.WorkerID]*target
	order     []*target
	store     []stored
	head      *document.Document
	starts    map[model.RequestID]time.Time
	token     event.Token
	Counts    Counts
}

// Counts are what a Cell has seen.
type Counts struct {
	Starts     uint64
	Heartbeats uint64
	Messages   uint64 // between instances, without heartbeats
	Commits    uint64 // writes to the store
	Records    uint64
	Replies    map[model.Status]uint64
	Rejects    uint64
	LateStarts uint64 // on a worker later than 2 s after the list named it leaving
}

type instance struct {
	model.Instance
	reducer *scheduler.Reducer
	dead    bool
	cutOff  bool // from the store
	inOrder map[model.InstanceID]time.Time
}

type stored struct {
	version requestjournal.Version
	records []requestjournal.Record
}

type task struct {
	at   time.Time
	seq  uint64
	work func()
}

type due []task

func (d due) Len() int { return len(d) }

func (d due) Less(i, j int) bool {
	if d[i].at.Equal(d[j].at) {
		return d[i].seq < d[j].seq
	}
	return d[i].at.Before(d[j].at)
}
func (d due) Swap(i, j int) { d[i], d[j] = d[j], d[i] }

// Push adds a task.
func (d *due) Push(x any) { *d = append(*d, x.(task)) }

// Pop removes the last task.
func (d *due) Pop() any {
	last := len(*d) - 1
	x := (*d)[last]
	(*d)[last] = task{}
	*d = (*d)[:last]
	return x
}

// Epoch is the time at which every Cell starts.
var Epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// NewCell returns a cell whose instances have just started.
func NewCell(o CellOptions) *Cell {
	c := &Cell{
		o:       o.withDefaults(),
		random:  rand.New(rand.NewPCG(o.Seed, 7)),
		now:     Epoch,
		byID:    map[model.InstanceID]*instance{},
		workers: map[model.WorkerID]*target{},
		head:    o.Document,
		starts:  map[model.RequestID]time.Time{},
	}
	c.Counts.Replies = map[model.Status]uint64{}
	c.store = make([]stored, c.o.Partitions)
	for i := range c.o.Workers {
		c.addWorker(i)
	}
	for i := range c.o.Instances {
		c.addInstance(i)
	}
	read := c.list()
	for _, x := range c.instances {
		c.deliver(0, x, read)
	}
	return c
}

func centre(i, of int) model.DataCentre { return model.DataCentre(fmt.Sprintf("centre-%d", i%of)) }

func (c *Cell) addInstance(i int) {
	x := &instance{
		Instance: model.Instance{
			ID:         model.InstanceID(fmt.Sprintf("entry-%03d", i)),
			DataCentre: centre(i, c.o.DataCentres),
			Weight:     1,
		},
		inOrder: map[model.InstanceID]time.Time{},
	}
	x.reducer = scheduler.New(c.now, scheduler.Options{
		Self:                 x.Instance,
		Incarnation:          1,
		Seed:                 c.o.Seed + uint64(i),
		Partitions:           c.o.Partitions,
		StoreWritesPerSecond: 200,
		MaxQueued:            100_000,
	})
	c.instances = append(c.instances, x)
	c.byID[x.ID] = x
	if c.head != nil {
		c.deliver(0, x, event.DocumentChanged{Document: c.head})
	}
	// The instances' clocks are not in step.
	phase := time.Duration(c.random.Int64N(int64(tickInterval)))
	c.every(phase, tickInterval, func() { c.apply(x, event.Tick{}) })
	c.every(phase+time.Duration(c.random.Int64N(int64(headInterval))), headInterval, func() { c.pollHead(x) })
}

// every repeats work until the cell is dropped.
func (c *Cell) every(first, interval time.Duration, work func()) {
	c.after(first, func() {
		work()
		c.every(interval, interval, work)
	})
}

// after schedules work.
func (c *Cell) after(d time.Duration, work func()) {
	c.sequence++
	heap.Push(&c.queue, task{at: c.now.Add(d), seq: c.sequence, work: work})
}

// Run lets virtual time pass.
func (c *Cell) Run(d time.Duration) {
	end := c.now.Add(d)
	for len(c.queue) > 0 && !c.queue[0].at.After(end) {
		x := heap.Pop(&c.queue).(task)
		c.now = x.at
		x.work()
	}
	c.now = end
}

// Now returns the virtual time.
func (c *Cell) Now() time.Time { return c.now }

// Reducer returns the reducer of an instance.
func (c *Cell) Reducer(i int) *scheduler.Reducer { return c.instances[i].reducer }

// Started returns when a request first started, or the zero time.
func (c *Cell) Started(id model.RequestID) time.Time { return c.starts[id] }

// Submit hands a request to an instance.
func (c *Cell) Submit(i int, r *model.Request) {
	c.token++
	if r.SubmittedAt.IsZero() {
		r.SubmittedAt = c.now
	}
	c.deliver(0, c.instances[i], event.Submit{Token: c.token, Request: r, Wait: true})
}

// Kill ends an instance without notice. Its peers see their links close.
func (c *Cell) Kill(i int) {
	x := c.instances[i]
	x.dead = true
	for _, t := range c.order {
		if t.holder == x {
			t.expiry = c.now.Add(c.lease())
		}
	}
}

// CutStore keeps an instance from the store.
func (c *Cell) CutStore(i int) { c.instances[i].cutOff = true }

// Edit commits a document. The instance that committed it puts it in force at
// once; with a negative index no instance learns of the commit by itself.
func (c *Cell) Edit(i int, d *document.Document) {
	c.head = d
	if i >= 0 {
		c.deliver(0, c.instances[i], event.DocumentChanged{Document: d})
	}
}

func (c *Cell) pollHead(x *instance) {
	if x.dead || x.cutOff || c.head == nil || !x.reducer.PollsDocumentHead() {
		return
	}
	if c.head.Revision > x.reducer.Document().Revision {
		c.deliver(c.storeDelay(), x, event.DocumentChanged{Document: c.head})
	}
}

func (c *Cell) storeDelay() time.Duration {
	return time.Duration(c.o.StoreMilliseconds) * time.Millisecond
}

func (c *Cell) lease() time.Duration { return time.Duration(c.o.LeaseMilliseconds) * time.Millisecond }

func (c *Cell) list() event.PlatformListRead {
	var read event.PlatformListRead
	for _, t := range c.order {
		read.Workers = append(read.Workers, t.Worker)
	}
	for _, x := range c.instances {
		read.Instances = append(read.Instances, x.Instance)
	}
	return read
}

// deliver applies an event after a delay.
func (c *Cell) deliver(d time.Duration, x *instance, e event.Event) {
	c.after(d, func() { c.apply(x, e) })
}

func (c *Cell) apply(x *instance, e event.Event) {
	if x.dead {
		return
	}
	for _, effect := range x.reducer.Apply(c.now, e) {
		c.carryOut(x, effect)
	}
}
