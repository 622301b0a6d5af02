package event

import (
	"time"

	"fuchsiacross/document"
	"fuchsiacross/model"
	"fuchsiacross/requestjournal"
)

// Event is one of the types of this package with an isEvent method.
type Event interface{ isEvent() }

// Token matches a reply to the call that waits for it. Each adapter call draws
// its token from one counter of the process, so tokens are never reused.
type Token uint64

// Submit asks for a request to be run. The adapter has checked its form, has
// filled in what the workload's section of the document gives, and has stored
// the body of a journaled request when it is large.
type Submit struct {
	Token   Token
	Request *model.Request
	Wait    bool // reply with the final outcome rather than with acceptance
}

// Status asks for the state of a request. With Wait the reply is sent when the
// request is final.
type Status struct {
	Token   Token
	Request model.RequestID
	Wait    bool
}

// Cancel asks for a request to be cancelled.
type Cancel struct {
	Token   Token
	Request model.RequestID
}

// CallerGone says that nobody waits for a token any more.
type CallAbandoned struct {
	Token Token
}

// Query asks for a view of the reducer's state for operators.
type Query struct {
	Token   Token
	View    ViewKind
	Request model.RequestID // ViewExplain only
}

// DocumentChanged brings a document revision that was committed.
type DocumentChanged struct {
	Document *document.Document
}

// LeaseGranted says that a worker granted its scheduler lease to this instance,
// and what the worker holds. Both lists are the worker's whole truth.
type LeaseGranted struct {
	Worker      model.Worker
	Term        model.Term
	Incarnation model.Incarnation
	Capacity    model.Resources
	Tasks       []model.TaskReport // running, and finished but not acknowledged
	Revision    model.Revision     // highest document revision a holder has used
	Leaving     bool
}

// LeaseDenied says that another holder's lease has not expired.
type LeaseDenied struct {
	Worker model.WorkerID
	Holder model.InstanceID
	Until  time.Time // on this instance's clock
}

// LeaseLost says that the session with a worker ended or its lease lapsed.
// Starts without an answer are uncertain.
type LeaseLost struct {
	Worker model.WorkerID
	Term   model.Term
	Reason string
}

// TaskStarted says that the worker started an attempt.
type TaskStarted struct {
	Worker  model.WorkerID
	Attempt model.Attempt
}

// TaskFinished says that an attempt ended. Workers repeat it until it is
// acknowledged, so it may arrive more than once.
type TaskFinished struct {
	Worker  model.WorkerID
	Attempt model.Attempt
	Result  model.TaskResult
	Stopped bool // ended by a stop command
}

// StartRefused says that the worker did not start an attempt and never will.
type StartRefused struct {
	Worker  model.WorkerID
	Attempt model.Attempt
	Reason  string
}

// StartUncertain says that the answer to a start was lost. The attempt must be
// fenced before anything is said about it.
type StartUncertain struct {
	Worker  model.WorkerID
	Attempt model.Attempt
	Reason  string
}

// AttemptFenced answers FenceAttempt. After model.TaskNeverSeen the worker
// refuses the attempt for ever.
type AttemptFenced struct {
	Worker model.WorkerID
	Report model.TaskReport
}

// WorkerUsage brings a worker's lagging usage reports.
type WorkerUsage struct {
	Worker model.WorkerID
	Usage  []model.Usage
}

// WorkerLeaving says that the worker itself announced that it leaves.
type WorkerLeaving struct {
	Worker   model.WorkerID
	Deadline time.Time
}

// ListRead brings the platform's list of workers and instances, which lags.
type PlatformListRead struct {
	Workers   []model.Worker
	Instances []model.Instance
}

// ListFailed says that the platform's list could not be read.
type PlatformListFailed struct {
	Reason string
}

// JournalLoaded answers LoadJournal.
type JournalLoaded struct {
	Partition model.Partition
	Version   requestjournal.Version
	Records   []requestjournal.Record
}

// JournalLoadFailed says that a journal could not be read; the reducer asks
// again after a delay.
type JournalLoadFailed struct {
	Partition model.Partition
	Reason    string
}

// CommitResult says what became of a conditional append.
type CommitResult uint8

// The results of a conditional append.
const (
	// CommitApplied means that the batch is in the journal.
	CommitApplied CommitResult = iota + 1
	// CommitConflict means that another writer appended first and that the
	// batch is not in the journal.
	CommitConflict
	// CommitFailed means that the batch was not applied and never will be.
	CommitFailed
)

// CommitDone answers CommitJournal. The adapter has resolved a lost answer by
// reading the token back, so the result is certain.
type CommitDone struct {
	CommitID  CallID // of the append that is answered
	Partition model.Partition
	Version   requestjournal.Version // of the head when CommitApplied
	Result    CommitResult
}

// PeerUp says that a link to a peer is open.
type PeerUp struct {
	Peer model.InstanceID
}

// PeerDown says that a link to a peer has closed.
type PeerDown struct {
	Peer   model.InstanceID
	Reason string
}

// PeerReceived brings a message from a peer.
type PeerReceived struct {
	From    model.InstanceID
	Message Message
}

// Tick lets the reducer act on deadlines that have passed.
type Tick struct{}

// Shutdown asks the reducer to stop accepting work and to hand over.
type Shutdown struct{}

func (Submit) isEvent()             {}
func (Status) isEvent()             {}
func (Cancel) isEvent()             {}
func (CallAbandoned) isEvent()      {}
func (Query) isEvent()              {}
func (DocumentChanged) isEvent()    {}
func (LeaseGranted) isEvent()       {}
func (LeaseDenied) isEvent()        {}
func (LeaseLost) isEvent()          {}
func (TaskStarted) isEvent()        {}
func (TaskFinished) isEvent()       {}
func (StartRefused) isEvent()       {}
func (StartUncertain) isEvent()     {}
func (AttemptFenced) isEvent()      {}
func (WorkerUsage) isEvent()        {}
func (WorkerLeaving) isEvent()      {}
func (PlatformListRead) isEvent()   {}
func (PlatformListFailed) isEvent() {}
func (JournalLoaded) isEvent()      {}
func (JournalLoadFailed) isEvent()  {}
func (CommitDone) isEvent()         {}
func (PeerUp) isEvent()             {}
func (PeerDown) isEvent()           {}
func (PeerReceived) isEvent()       {}
func (Tick) isEvent()               {}
func (Shutdown) isEvent()           {}
