package event

import (
	"time"

	"fuchsiacross/document"
	"fuchsiacross/model"
)

// Message is implemented by every message type that instances exchange.
type Message interface{ isMessage() }

// CallID correlates a reply with its query. It is unique within one pair of
// instances and one incarnation of the sender.
type CallID uint64

// FreeCapacity summarises the free resources of an instance's workers for one
// class.
type FreeCapacity struct {
	Free           model.Resources // sum over the workers
	Largest        model.Resources // per dimension, the largest free amount on any one worker
	QueuedRequests uint32          // queued requests of the class
}

// TeamUsage is the amount that one team's tasks reserve on an instance's workers.
type TeamUsage struct {
	Team model.Team
	Used model.Resources
}

// Heartbeat announces that an instance is live and summarises its state.
type Heartbeat struct {
	Instance        model.InstanceID
	Incarnation     model.Incarnation
	DataCentre      model.DataCentre
	Revision        model.Revision // document in force at the sender
	Draining        bool
	Workers         uint32 // number of worker leases held
	TotalCapacity   model.Resources
	LargestCapacity model.Resources                // per dimension, the largest capacity of any one worker
	FreeCapacity    [model.ClassCount]FreeCapacity // by class; the index is the class minus one
	Usage           []TeamUsage
	Partitions      []model.Partition  // journal partitions that the sender has claimed
	HeardPeers      []model.InstanceID // peers whose heartbeats the sender receives
}

// Forward forwards a request to a peer.
type Forward struct {
	Call    CallID
	Request *model.Request
	Hops    uint8 // number of forwards so far, including this one
	ToHome  bool  // whether it goes to the home of a journaled request rather than to free capacity
}

// ForwardReply answers Forward when the request is final or rejected. For a
// journaled request, a reply with Accepted set precedes the final one.
type ForwardReply struct {
	Call     CallID
	Accepted bool // the request is accepted; the final reply follows
	Rejected bool // Code, Place and Reason are set
	Code     Code
	Place    string
	Reason   string
	Outcome  model.Outcome
}

// Reserve asks a peer to reserve resources for Count tasks of a request. The
// request is sent without its body.
type Reserve struct {
	Call    CallID
	Request *model.Request
	Count   uint32
	Until   time.Time // the peer releases unconfirmed reservations at this time
}

// Reserved answers Reserve. Workers has one entry per reserved task.
type Reserved struct {
	Call               CallID
	Workers            []model.WorkerID
	WorkerIncarnations []model.Incarnation // by index of Workers
}

// Confirm starts attempts on reserved resources, in the order of
// Reserved.Workers. Reservations that no attempt uses are released.
type Confirm struct {
	Call     CallID
	Request  *model.Request
	Attempts []AttemptPlacement
}

// AttemptPlacement is an attempt and the worker that it is placed on.
type AttemptPlacement struct {
	Attempt           model.Attempt
	Worker            model.WorkerID
	WorkerIncarnation model.Incarnation // incarnation of the worker at the time of the reservation
}

// ReleaseReservation releases the resources that a Reserve has reserved.
type ReleaseReservation struct {
	Call CallID
}

// AttemptUpdate reports the state of an attempt to the home of its request. The
// owner repeats a final update until it receives AttemptAck.
type AttemptUpdate struct {
	Worker model.WorkerID
	State  AttemptState
	Report model.TaskReport
	Reason string
}

// AttemptState is the state of an attempt as its worker's owner knows it.
type AttemptState uint8

// The states of an attempt at an owner.
const (
	// AttemptStarted means that the worker runs the attempt.
	AttemptStarted AttemptState = iota + 1
	// AttemptFinished means that Report holds the result.
	AttemptFinished
	// AttemptRefused means that the worker did not start the attempt and never
	// will.
	AttemptRefused
	// AttemptUncertain means that the owner lost the worker's lease and does not
	// know the attempt's state.
	AttemptUncertain
)

// AttemptAck acknowledges that the home recorded an attempt's final update.
type AttemptAck struct {
	Worker  model.WorkerID
	Attempt model.Attempt
}

// StopAttempt asks an owner to stop an attempt.
type StopAttempt struct {
	Worker     model.WorkerID
	Attempt    model.Attempt
	Checkpoint bool
}

// CancelQuery asks the home of a request to cancel it.
type CancelQuery struct {
	Call    CallID
	Request model.RequestID
}

// StatusQuery requests the state of a request from its home.
type StatusQuery struct {
	Call    CallID
	Request model.RequestID
	Wait    bool
}

// OutcomeReply answers CancelQuery and StatusQuery.
type OutcomeReply struct {
	Call        CallID
	Unavailable bool // the peer cannot answer now; the query may be retried
	Outcome     model.Outcome
}

// FenceQuery asks the owner of a worker to fence an attempt. The owner reports
// model.TaskLost if the worker is no longer in the given incarnation.
type FenceQuery struct {
	Worker            model.WorkerID
	WorkerIncarnation model.Incarnation
	Attempt           model.Attempt
}

// FenceReply answers FenceQuery.
type FenceReply struct {
	Worker    model.WorkerID
	Reachable bool // false if the peer does not hold the worker's lease
	Report    model.TaskReport
}

// RunningQuery asks an instance for the attempts on its workers that belong to
// requests of a partition.
type RunningQuery struct {
	Partition model.Partition
}

// RunningReply answers RunningQuery.
type RunningReply struct {
	Partition model.Partition
	Tasks     []AttemptUpdate
}

// DocumentFetch asks a peer for its document if that is newer than
// KnownRevision. The peer adapter answers it without involving the reducer.
type DocumentFetch struct {
	KnownRevision model.Revision
}

// DocumentCopy answers DocumentFetch with the sections that were committed after
// KnownRevision. An edit thus transfers one section, not the whole document.
type DocumentCopy struct {
	Revision model.Revision
	Sections []document.Section
}

func (Heartbeat) isMessage()          {}
func (Forward) isMessage()            {}
func (ForwardReply) isMessage()       {}
func (Reserve) isMessage()            {}
func (Reserved) isMessage()           {}
func (Confirm) isMessage()            {}
func (ReleaseReservation) isMessage() {}
func (AttemptUpdate) isMessage()      {}
func (AttemptAck) isMessage()         {}
func (StopAttempt) isMessage()        {}
func (CancelQuery) isMessage()        {}
func (StatusQuery) isMessage()        {}
func (OutcomeReply) isMessage()       {}
func (FenceQuery) isMessage()         {}
func (FenceReply) isMessage()         {}
func (RunningQuery) isMessage()       {}
func (RunningReply) isMessage()       {}
func (DocumentFetch) isMessage()      {}
func (DocumentCopy) isMessage()       {}
