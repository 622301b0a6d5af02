package event

import (
	"time"

	"fuchsiacross/model"
)

// View names a view of the reducer's state.
type ViewKind uint8

// The views that Query asks for.
const (
	ViewWorkers ViewKind = iota + 1
	ViewInstances
	ViewQueue
	ViewExplain
	ViewMeasures
)

// WorkerView is one worker as the instance sees it.
type WorkerView struct {
	Worker      model.Worker
	Term        model.Term
	Holder      model.InstanceID
	Capacity    model.Resources
	Reserved    model.Resources
	Tasks       int
	Draining    bool
	Quarantined bool
}

// InstanceView is one instance as another sees it.
type InstanceView struct {
	Instance        model.Instance
	Self            bool
	Live            bool
	Draining        bool
	Revision        model.Revision
	Workers         int
	LastHeartbeatAt time.Time
}

// QueueView is one waiting request.
type QueueView struct {
	Request  model.RequestID
	Team     model.Team
	Workload model.Workload
	Class    model.Class
	QueuedAt time.Time
	Deadline time.Time
	Reason   string // why it waits
}

// ExplainView says what the instance knows of one request.
type ExplainView struct {
	Request    model.RequestID
	Status     model.Status
	Durability model.Durability
	Home       model.InstanceID // empty for requests that are not journaled
	Reason     string           // why it waits or how it ended
	Attempts   []AttemptView
}

// AttemptView is one attempt of an explained request.
type AttemptView struct {
	Attempt model.Attempt
	Worker  model.WorkerID
	State   string
	At      time.Time
	Reason  string // why this worker was chosen, or why the attempt ended
}

// MeasuresView holds the reducer's counters since its start.
type MetricsView struct {
	Submitted   uint64
	Started     uint64
	Settled     map[model.Status]uint64
	Retries     uint64
	Messages    uint64 // sent to peers and workers for starts
	Commits     uint64
	Records     uint64                            // journal records committed
	Instances   int                               // live, this one included
	WaitingTime [model.ClassCount][]time.Duration // latest samples from request to start
	Capacity    model.Resources
	Reserved    model.Resources
}
