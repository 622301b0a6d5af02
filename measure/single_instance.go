package measure

import (
	"fmt"
	"time"

	"fuchsiacross/event"
	"fuchsiacross/membership"
	"fuchsiacross/model"
	"fuchsiacross/scheduler"
)

// SingleInstanceOptions configure a SingleInstance.
type SingleInstanceOptions struct {
	HeldWorkers      int // workers whose lease the instance holds
	ListedWorkers    int // workers on the platform's list, including the held ones
	Peers            int
	DataCentres      int // default 1 for up to 7 instances, else 15
	Partitions       uint32
	KeepTasksRunning bool // started tasks never finish
	Seed             uint64
}

// SingleInstance is the reducer of one instance in a cell whose other instances
// only send heartbeats. It measures the cost of one instance at sizes that no
// test runs as a whole cell.
type SingleInstance struct {
	Reducer              *scheduler.Reducer
	options              SingleInstanceOptions
	now                  time.Time
	peers                []model.Instance
	localPeers           []model.Instance // in the instance's data centre
	remotePeers          []model.Instance
	lastToken            event.Token
	pendingEvents        []event.Event
	EffectCount          uint64
	StartCount           uint64
	remoteHeartbeatCount int // heartbeats of remote peers so far; modulo len(remotePeers), the index of the latest sender
	tickCount            int
}

var workerCapacity = model.Resources{MilliCPU: 32_000, MemoryBytes: 64 << 30, Slots: 8}

// NewSingleInstance returns an instance that has received heartbeats of all peers
// and has run for 5 s. The leases that its reducer requests are granted until it
// holds HeldWorkers of them.
func NewSingleInstance(o SingleInstanceOptions) *SingleInstance {
	if o.DataCentres == 0 {
		o.DataCentres = 1
		if o.Peers >= 7 {
			o.DataCentres = 15
		}
	}
	if o.Partitions == 0 {
		o.Partitions = 8
	}
	s := &SingleInstance{options: o, now: Epoch}
	self := model.Instance{ID: "entry-000", DataCentre: dataCentre(0, o.DataCentres), Weight: 1}
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
			DataCentre: dataCentre(i+1, o.DataCentres),
			Weight:     1,
		})
	}
	s.applyEvent(event.PlatformListRead{Instances: append([]model.Instance{self}, s.peers...)})
	for _, p := range s.peers {
		s.applyHeartbeat(p)
		if p.DataCentre == self.DataCentre {
			s.localPeers = append(s.localPeers, p)
		} else {
			s.remotePeers = append(s.remotePeers, p)
		}
	}
	s.publishWorkers(self)
	for range 500 {
		s.AdvanceTick()
	}
	return s
}

// publishWorkers applies a platform list with all workers and instances.
func (s *SingleInstance) publishWorkers(self model.Instance) {
	var workers []model.Worker
	for i := 0; len(workers) < s.options.ListedWorkers; i++ {
		workers = append(workers, model.Worker{
			ID:         model.WorkerID(fmt.Sprintf("worker-%05d", i)),
			DataCentre: dataCentre(i, s.options.DataCentres),
			Rack:       model.Rack(fmt.Sprintf("rack-%d", i/6)),
		})
	}
	s.applyEvent(event.PlatformListRead{Workers: workers, Instances: append([]model.Instance{self}, s.peers...)})
}

// applyHeartbeat applies a heartbeat of a peer.
func (s *SingleInstance) applyHeartbeat(p model.Instance) {
	s.applyEvent(event.PeerReceived{From: p.ID, Message: event.Heartbeat{
		Instance:    p.ID,
		Incarnation: 1,
		DataCentre:  p.DataCentre,
		Workers:     uint32(s.options.HeldWorkers),
	}})
}

// AdvanceTick advances virtual time by 10 ms and applies one tick and the
// heartbeats that arrive in that time.
func (s *SingleInstance) AdvanceTick() {
	s.now = s.now.Add(daemonTickInterval)
	s.applyEvent(event.Tick{})
	const ticksPerHeartbeat = 20 // ticks of 10 ms in the heartbeat interval of 200 ms
	s.tickCount++
	for i, p := range s.localPeers {
		if (s.tickCount+i)%ticksPerHeartbeat == 0 {
			s.applyHeartbeat(p)
		}
	}
	if len(s.remotePeers) == 0 {
		return
	}
	peersPerHeartbeat := min(len(s.remotePeers), membership.RemotePeersPerHeartbeat)
	for range (s.tickCount+1)*peersPerHeartbeat/ticksPerHeartbeat - s.tickCount*peersPerHeartbeat/ticksPerHeartbeat {
		s.remoteHeartbeatCount++
		s.applyHeartbeat(s.remotePeers[s.remoteHeartbeatCount%len(s.remotePeers)])
	}
}

// RunRequest submits a request and applies all events that follow from it.
func (s *SingleInstance) RunRequest(r *model.Request) {
	s.lastToken++
	s.applyEvent(event.Submit{Token: s.lastToken, Request: r, Wait: true})
}

// Now returns the virtual time.
func (s *SingleInstance) Now() time.Time { return s.now }

// applyEvent applies an event and, at the same virtual time, all events that
// answer its effects.
func (s *SingleInstance) applyEvent(e event.Event) {
	s.pendingEvents = append(s.pendingEvents[:0], e)
	for i := 0; i < len(s.pendingEvents); i++ {
		for _, effect := range s.Reducer.Apply(s.now, s.pendingEvents[i]) {
			s.EffectCount++
			s.answerEffect(effect)
		}
	}
}

// answerEffect queues the event that answers an effect of the reducer.
func (s *SingleInstance) answerEffect(e event.Effect) {
	post := func(e event.Event) { s.pendingEvents = append(s.pendingEvents, e) }
	switch e := e.(type) {
	case event.AcquireLease:
		if s.Reducer.Metrics().Capacity.Slots >= int64(s.options.HeldWorkers)*workerCapacity.Slots {
			return
		}
		post(event.LeaseGranted{Worker: e.Worker, Term: 1, Incarnation: 1, Capacity: workerCapacity})
	case event.LoadJournal:
		post(event.JournalLoaded{Partition: e.Partition})
	case event.CommitJournal:
		post(event.CommitDone{CommitID: e.CommitID, Partition: e.Partition, Version: e.Version + 1, Result: event.CommitApplied})
	case event.CompactJournal:
		post(event.CommitDone{CommitID: e.CommitID, Partition: e.Partition, Version: e.Version + 1, Result: event.CommitApplied})
	case event.StartTask:
		s.StartCount++
		post(event.TaskStarted{Worker: e.Worker, Attempt: e.Attempt})
		if s.options.KeepTasksRunning {
			return
		}
		post(event.TaskFinished{Worker: e.Worker, Attempt: e.Attempt, Result: model.TaskResult{Succeeded: true}})
	}
}
