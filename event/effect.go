package event

import (
	"time"

	"fuchsiacross/model"
	"fuchsiacross/requestjournal"
)

// Effect is implemented by every effect type of this package.
type Effect interface{ isEffect() }

// Reply answers Submit, Status or Cancel with the status of a request.
type Reply struct {
	Token   Token
	Outcome model.Outcome
}

// Code is the reason category of a rejected call.
type Code uint8

// The rejection codes. Adapters map them to the codes of their protocol.
const (
	// CodeInvalid means that the call is invalid and that a retry cannot succeed.
	CodeInvalid Code = iota + 1
	// CodeConflict means that another request already uses the identifier.
	CodeConflict
	// CodeUnavailable means that the instance cannot answer now; the caller may
	// retry.
	CodeUnavailable
	// CodeExhausted means that a queue or a quota is full.
	CodeExhausted
)

// Reject answers a call with an error. For Submit it means that this call did
// not accept the request; an earlier call may have.
type Reject struct {
	Token  Token
	Code   Code
	Place  string // path of the invalid field; empty if the reason concerns no field
	Reason string
}

// AnswerQuery answers Query with one of the view types of this package.
type AnswerQuery struct {
	Token Token
	View  any
}

// AcquireLease requests the scheduler lease of a worker. The adapter renews a
// granted lease until ReleaseLease and reports its loss once, by LeaseLost.
type AcquireLease struct {
	Worker   model.Worker
	Revision model.Revision
}

// ReleaseLease releases a worker's lease and closes the session.
type ReleaseLease struct {
	Worker model.WorkerID
	Term   model.Term
}

// StartTask starts an attempt. The adapter answers with TaskStarted,
// StartRefused or StartUncertain, and later with TaskFinished.
type StartTask struct {
	Worker    model.WorkerID
	Term      model.Term
	Attempt   model.Attempt
	Request   *model.Request
	Reserved  model.Resources // resources that the scheduler reserved for the attempt
	AnswerBy  time.Time       // deadline for the worker's answer
	Placement string          // why the worker was chosen; for the timeline
}

// StopTask stops an attempt. With Checkpoint set, the worker saves the task's
// state first.
type StopTask struct {
	Worker     model.WorkerID
	Term       model.Term
	Attempt    model.Attempt
	Checkpoint bool
}

// ThrottleTask limits the processor use of a running attempt.
type ThrottleTask struct {
	Worker  model.WorkerID
	Term    model.Term
	Attempt model.Attempt
	Limit   model.Resources
}

// FenceAttempt requests the state of an attempt from a worker. A worker that
// never saw the attempt refuses it from then on.
type FenceAttempt struct {
	Worker  model.WorkerID
	Attempt model.Attempt
}

// AcknowledgeTask allows a worker to discard its record of a finished attempt.
type AcknowledgeTask struct {
	Worker  model.WorkerID
	Attempt model.Attempt
}

// LoadJournal reads a partition's journal. JournalLoaded or JournalLoadFailed
// answers it.
type LoadJournal struct {
	Partition model.Partition
}

// CommitJournal appends a batch to a partition's journal if the journal's head
// still has the given version. At most one append per partition is outstanding.
type CommitJournal struct {
	CommitID  CallID // returned in CommitDone
	Partition model.Partition
	Version   requestjournal.Version
	Records   []requestjournal.Record
}

// CompactJournal replaces all batches of a partition up to the given version
// by one batch with the given records, under the same condition as
// CommitJournal. CommitDone answers it.
type CompactJournal struct {
	CommitID  CallID // returned in CommitDone
	Partition model.Partition
	Version   requestjournal.Version
	Records   []requestjournal.Record
}

// SendPeer sends a message to a peer. Delivery is not guaranteed.
type SendPeer struct {
	To      model.InstanceID
	Message Message
}

// FetchDocument requests a document with at least the given revision from a
// peer, or from the platform if Peer is empty.
type FetchDocument struct {
	Peer     model.InstanceID
	Revision model.Revision
}

// Trace adds a record to the timeline.
type Trace struct {
	Kind    TraceKind
	Request model.RequestID
	Attempt model.Attempt
	Worker  model.WorkerID
	Peer    model.InstanceID
	Detail  string
}

// Stopped reports that a shutdown is complete: no work is left.
type Stopped struct{}

func (Reply) isEffect()           {}
func (Reject) isEffect()          {}
func (AnswerQuery) isEffect()     {}
func (AcquireLease) isEffect()    {}
func (ReleaseLease) isEffect()    {}
func (StartTask) isEffect()       {}
func (StopTask) isEffect()        {}
func (ThrottleTask) isEffect()    {}
func (FenceAttempt) isEffect()    {}
func (AcknowledgeTask) isEffect() {}
func (LoadJournal) isEffect()     {}
func (CommitJournal) isEffect()   {}
func (CompactJournal) isEffect()  {}
func (SendPeer) isEffect()        {}
func (FetchDocument) isEffect()   {}
func (Trace) isEffect()           {}
func (Stopped) isEffect()         {}
