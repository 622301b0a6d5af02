package event

import (
	"time"

	"fuchsiacross/model"
	"fuchsiacross/requestjournal"
)

// Effect is one of the types of this package with an isEffect method.
type Effect interface{ isEffect() }

// Reply answers Submit, Status or Cancel with the truth about a request.
type Reply struct {
	Token   Token
	Outcome model.Outcome
}

// Code says why a call was rejected.
type Code uint8

// The codes; adapters map them to those of their protocol.
const (
	// CodeInvalid means that the call is wrong and repeating it is useless.
	CodeInvalid Code = iota + 1
	// CodeConflict means that the identifier is in use with another content.
	CodeConflict
	// CodeUnavailable means that the answer is not known now; ask again.
	CodeUnavailable
	// CodeExhausted means that a queue or a quota is full.
	CodeExhausted
)

// Reject refuses a call. For Submit it means that the request was not accepted
// by this call.
type Reject struct {
	Token  Token
	Code   Code
	Place  string // field at fault; empty when none is
	Reason string
}

// AnswerQuery answers Query with one of the view types of this package.
type AnswerQuery struct {
	Token Token
	View  any
}

// AcquireLease asks a worker for its scheduler lease. The adapter renews a
// granted lease by itself until ReleaseLease, and reports LeaseLost once.
type AcquireLease struct {
	Worker   model.Worker
	Revision model.Revision
}

// ReleaseLease gives a worker's lease back and closes the session.
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
	Reserved  model.Resources // what the scheduler reserved for the attempt
	AnswerBy  time.Time       // the answer is of no use after this time
	Placement string          // why this worker, for the timeline
}

// StopTask stops an attempt; with Checkpoint the worker saves its state first.
type StopTask struct {
	Worker     model.WorkerID
	Term       model.Term
	Attempt    model.Attempt
	Checkpoint bool
}

// ThrottleTask limits a running attempt to the given processors.
type ThrottleTask struct {
	Worker  model.WorkerID
	Term    model.Term
	Attempt model.Attempt
	Limit   model.Resources
}

// FenceAttempt asks a worker for the state of an attempt and makes it refuse
// the attempt from then on if it never saw it.
type FenceAttempt struct {
	Worker  model.WorkerID
	Attempt model.Attempt
}

// AcknowledgeTask lets a worker forget a finished attempt.
type AcknowledgeTask struct {
	Worker  model.WorkerID
	Attempt model.Attempt
}

// LoadJournal reads a partition's journal.
type LoadJournal struct {
	Partition model.Partition
}

// CommitJournal appends a batch to a partition's journal when its head has the
// given version. At most one append for each partition is outstanding.
type CommitJournal struct {
	CommitID  CallID // repeated by CommitDone
	Partition model.Partition
	Version   requestjournal.Version
	Records   []requestjournal.Record
}

// CompactJournal replaces all batches of a partition up to the given version by
// one batch with the given records. It is conditional like CommitJournal and
// answered by CommitDone.
type CompactJournal struct {
	CommitID  CallID // repeated by CommitDone
	Partition model.Partition
	Version   requestjournal.Version
	Records   []requestjournal.Record
}

// SendPeer sends a message to a peer. Delivery is not certain.
type SendPeer struct {
	To      model.InstanceID
	Message Message
}

// FetchDocument asks for a document revision of at least the given number from
// a peer, or from the platform when Peer is empty.
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

// Stopped says that the reducer has nothing left to do after Shutdown.
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
