package measure

import (
	"fmt"
	"time"

	"fuchsiacross/event"
	"fuchsiacross/membership"
	"fuchsiacross/model"
	"fuchsiacross/scheduler"
)

// SingleOptions configure a Single.
type SingleOptions struct {
	Held        int // workers whose lease the instance holds
	Listed      int // workers of the platform's list, those held included
	Peers       int
	DataCentres int // default 1 for up to 7 instances, else 15
	Partitions  uint32
	Hold        bool // started tasks do not end
	Seed        uint64
}

// Single is one reducer of a cell whose other instances only send heartbeats.
// It serves to measure what one instance spends at a size that no test runs.
type Single struct {
	Reducer *scheduler.Reducer
	o       SingleOptions
	now     time.Time
	peers   []model.Instance
	near    []model.Instance // in the data centre
	far     []model.Instance
	token   event.Token
	queue   []event.Event
	Effects uint64
	Starts  uint64
	next    int // of far
	turn    int
}

var singleCapacity = model.Resources{MilliCPU: 32_000, MemoryBytes: 64 << 30, Slots: 8}

// NewSingle returns a reducer that holds its leases and hears all peers. Which
// workers it holds follows from the preference, so Listed workers are added
// until Held of them are its own.
func NewSingle(o SingleOptions) *Single {
	if o.DataCentres == 0 {
		o.DataCentres = 1
		if o.Peers >= 7 {
			o.DataCentres = 15
		}
	}
	if o.Partitions == 0 {
		o.Partitions = 8
	}
	s := &Single{o: o, now: Epoch}
	self := model.Instance{ID: "entry-000", DataCentre: centre(0, o.DataCentres), Weight: 1}
	s.Reducer = scheduler.New(s.now, scheduler.Options{
		Self:                 self,
		Incarnation:          1,
		Seed:                 o.Seed,
		Partitions:           o.Partitions,
		StoreWritesPerSecond: 200,
		MaxQueued:            1_000_000,
	})
	for i := range o.Peers {
		s.peers = append(s.peers, model.Instance{
			ID:         model.InstanceID(fmt.Sprintf("entry-%03d", i+1)),
			DataCentre: centre(i+1, o.DataCentres),
			Weight:     1,
		})
	}
	s.apply(event.PlatformListRead{Instances: append([]model.Instance{self}, s.peers...)})
	for _, p := range s.peers {
		s.beat(p)
		if p.DataCentre == self.DataCentre {
			s.near = append(s.near, p)
		} else {
			s.far = append(s.far, p)
		}
	}
	s.list(self)
	for range 500 {
		s.Turn()
	}
	return s
}

// list names the workers of the cell and grants those that the reducer wants.
func (s *Single) list(self model.Instance) {
	var workers []model.Worker
	for i := 0; len(workers) < s.o.Listed; i++ {
		workers = append(workers, model.Worker{
			ID:         model.WorkerID(fmt.Sprintf("worker-%05d", i)),
			DataCentre: centre(i, s.o.DataCentres),
			Rack:       model.Rack(fmt.Sprintf("rack-%d", i/6)),
		})
	}
	s.apply(event.PlatformListRead{Workers: workers, Instances: append([]model.Instance{self}, s.peers...)})
}

// beat brings a peer's heartbeat.
func (s *Single) beat(p model.Instance) {
	s.apply(event.PeerReceived{From: p.ID, Message: event.Heartbeat{
		Instance:    p.ID,
		Incarnation: 1,
		DataCentre:  p.DataCentre,
		Workers:     uint32(s.o.Held),
	}})
}

// Turn lets 10 ms pass: one tick, and the heartbeats that arrive in that time.
func (s *Single) Turn() {
	s.now = s.now.Add(tickInterval)
	s.apply(event.Tick{})
	const turns = 20 // of 10 ms in the 200 ms between two heartbeats
	s.turn++
	for i, p := range s.near {
		if (s.turn+i)%turns == 0 {
			s.beat(p)
		}
	}
	if len(s.far) == 0 {
		return
	}
	per := min(len(s.far), membership.RemotePeersPerHeartbeat)
	for range (s.turn+1)*per/turns - s.turn*per/turns {
		s.next++
		s.beat(s.far[s.next%len(s.far)])
	}
}

// Run submits a request and carries it to its end.
func (s *Single) Run(r *model.Request) {
	s.token++
	s.apply(event.Submit{Token: s.token, Request: r, Wait: true})
}

// Now returns the virtual time.
func (s *Single) Now() time.Time { return s.now }

// apply applies an event and all that follows from it at once.
func (s *Single) apply(e event.Event) {
	s.queue = append(s.queue[:0], e)
	for i := 0; i < len(s.queue); i++ {
		for _, effect := range s.Reducer.Apply(s.now, s.queue[i]) {
			s.Effects++
			s.answer(effect)
		}
	}
}

func (s *Single) answer(e event.Effect) {
	post := func(e event.Event) { s.queue = append(s.queue, e) }
	switch e := e.(type) {
	case event.AcquireLease:
		if s.Reducer.Metrics().Capacity.Slots >= int64(s.o.Held)*singleCapacity.Slots {
			return
		}
		post(event.LeaseGranted{Worker: e.Worker, Term: 1, Incarnation: 1, Capacity: singleCapacity})
	case event.LoadJournal:
		post(event.JournalLoaded{Partition: e.Partition})
	case event.CommitJournal:
		post(event.CommitDone{CommitID: e.CommitID, Partition: e.Partition, Version: e.Version + 1, Result: event.CommitApplied})
	case event.CompactJournal:
		post(event.CommitDone{CommitID: e.CommitID, Partition: e.Partition, Version: e.Version + 1, Result: event.CommitApplied})
	case event.StartTask:
		s.Starts++
		post(event.TaskStarted{Worker: e.Worker, Attempt: e.Attempt})
		if s.o.Hold {
			return
		}
		post(event.TaskFinished{Worker: e.Worker, Attempt: e.Attempt, Result: model.TaskResult{Succeeded: true}})
	}
}
