package event

import (
	"time"

	"fuchsiacross/model"
)

// ViewKind selects a view of the reducer's state.
type ViewKind uint8

// The views that Query can request.
const (
	ViewWorkers ViewKind = iota + 1
	ViewInstances
	ViewQueue
	ViewExplain
	ViewMetrics
)

// WorkerView is the state of one worker as the instance knows it.
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

// InstanceView is the state of one instance as the answering instance knows it.
type InstanceView struct {
	Instance        model.Instance
	Self            bool
	Live            bool
	Draining        bool
	Revision        model.Revision
	Workers         int
	LastHeartbeatAt time.Time
}

// QueueView is one queued request.
type QueueView struct {
	Request  model.RequestID
	Team     model.Team
	Workload model.Workload
	Class    model.Class
	QueuedAt time.Time
	Deadline time.Time
	Reason   string // why it waits
}

// ExplainView is the state and history of one request as the instance knows
// them.
type ExplainView struct {
	Request    model.RequestID
	Status     model.Status
	Durability model.Durability
	Home       model.InstanceID // empty if the request is not journaled
	Reason     string           // why the request waits, or how it ended
	Attempts   []AttemptView
}

// AttemptView is one state change of an attempt of an explained request.
type AttemptView struct {
	Attempt model.Attempt
	Worker  model.WorkerID
	State   string
	At      time.Time
	Reason  string // why this worker was chosen, or why the attempt ended
}

// MetricsView holds the reducer's counters since its start and its current
// capacity.
type MetricsView struct {
	Submitted   uint64
	Started     uint64
	Settled     map[model.Status]uint64
	Retries     uint64
	Messages    uint64 // not filled in; meant for messages sent to peers and workers for starts
	Commits     uint64
	Records     uint64                            // journal records committed
	Instances   int                               // instances that serve, including this one
	WaitingTime [model.ClassCount][]time.Duration // latest samples of the time from submission to start, by class minus one
	Capacity    model.Resources
	Reserved    model.Resources
}
