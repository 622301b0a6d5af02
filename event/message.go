package event

import (
	"time"

	"fuchsiacross/document"
	"fuchsiacross/model"
)

// Message is a message between instances: one of the types of this package
// with an isMessage method.
type Message interface{ isMessage() }

// CallID matches a reply to its query within one pair of instances and one
// incarnation of the sender.
type CallID uint64

// Capacity summarises what an instance's workers have free for one class.
type FreeCapacity struct {
	Free           model.Resources // sum over its workers
	Largest        model.Resources // largest free amount of each dimension on one worker
	QueuedRequests uint32          // queued requests of the class
}

// TeamUsage is what one team's tasks take on an instance's workers.
type TeamUsage struct {
	Team model.Team
	Used model.Resources
}

// Heartbeat says that an instance lives and summarises its state.
type Heartbeat struct {
	Instance        model.InstanceID
	Incarnation     model.Incarnation
	DataCentre      model.DataCentre
	Revision        model.Revision // document in force at the sender
	Draining        bool
	Workers         uint32 // leases held
	TotalCapacity   model.Resources
	LargestCapacity model.Resources                // largest capacity of each dimension on one worker
	FreeCapacity    [model.ClassCount]FreeCapacity // indexed by class less one
	Usage           []TeamUsage
	Partitions      []model.Partition  // journal partitions that the sender has claimed
	HeardPeers      []model.InstanceID // peers whose heartbeats the sender receives
}

// Forward hands a request to a peer.
type Forward struct {
	Call    CallID
	Request *model.Request
	Hops    uint8 // forwards so far, this one included
	ToHome  bool  // to the home of a journaled request rather than to free capacity
}

// ForwardReply answers Forward once the request is final or rejected. An
// Accepted reply precedes the final one for journaled requests.
type ForwardReply struct {
	Call     CallID
	Accepted bool // the request is accepted; the final reply follows
	Rejected bool // Code, Place and Reason are set
	Code     Code
	Place    string
	Reason   string
	Outcome  model.Outcome
}

// Reserve asks a peer to hold room for tasks of a request. Request has no body.
type Reserve struct {
	Call    CallID
	Request *model.Request
	Count   uint32
	Until   time.Time // the peer releases what is unconfirmed at this time
}

// Reserved answers Reserve. Workers has one entry for each task that fits.
type Reserved struct {
	Call               CallID
	Workers            []model.WorkerID
	WorkerIncarnations []model.Incarnation // of Workers, in the same order
}

// Confirm starts attempts on reserved room, in the order of Reserved.Workers.
// Room that no attempt names is released.
type Confirm struct {
	Call     CallID
	Request  *model.Request
	Attempts []AttemptPlacement
}

// AttemptAt is an attempt with its worker.
type AttemptPlacement struct {
	Attempt           model.Attempt
	Worker            model.WorkerID
	WorkerIncarnation model.Incarnation // of the worker when it was reserved
}

// ReleaseReservation gives back what Reserve holds.
type ReleaseReservation struct {
	Call CallID
}

// AttemptUpdate tells the home of a request what became of an attempt. The
// owner repeats a final update until AttemptAck.
type AttemptUpdate struct {
	Worker model.WorkerID
	State  AttemptState
	Report model.TaskReport
	Reason string
}

// AttemptState is what an owner knows of an attempt.
type AttemptState uint8

// The states of an attempt at an owner.
const (
	// AttemptStarted means that the worker runs it.
	AttemptStarted AttemptState = iota + 1
	// AttemptFinished means that Report holds the result.
	AttemptFinished
	// AttemptRefused means that the worker did not and will not start it.
	AttemptRefused
	// AttemptUncertain means that the owner lost the worker.
	AttemptUncertain
)

// AttemptAck says that the home has recorded an attempt's final update.
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

// CancelQuery asks the holder of a request to cancel it.
type CancelQuery struct {
	Call    CallID
	Request model.RequestID
}

// StatusQuery asks for the state of a request.
type StatusQuery struct {
	Call    CallID
	Request model.RequestID
	Wait    bool
}

// OutcomeReply answers CancelQuery and StatusQuery.
type OutcomeReply struct {
	Call        CallID
	Unavailable bool // the peer cannot tell now
	Outcome     model.Outcome
}

// FenceQuery asks the owner of a worker to fence an attempt. The owner answers
// model.TaskLost when the worker is no longer in the given life.
type FenceQuery struct {
	Worker            model.WorkerID
	WorkerIncarnation model.Incarnation
	Attempt           model.Attempt
}

// FenceReply answers FenceQuery.
type FenceReply struct {
	Worker    model.WorkerID
	Reachable bool // false when the peer does not hold the worker's lease
	Report    model.TaskReport
}

// RunningQuery asks an owner which attempts of a partition its workers hold.
type RunningQuery struct {
	Partition model.Partition
}

// RunningReply answers RunningQuery.
type RunningReply struct {
	Partition model.Partition
	Tasks     []AttemptUpdate
}

// DocumentFetch asks a peer for its document when it is newer than Have. The
// peer adapter answers it without the reducer.
type DocumentFetch struct {
	KnownRevision model.Revision
}

// DocumentCopy answers DocumentFetch with the sections committed after the
// revision that the asker has, so that an edit costs one section and not the
// whole document.
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
