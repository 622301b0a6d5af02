package event

import (
	"time"

	"fuchsiacross/document"
	"fuchsiacross/model"
	"fuchsiacross/requestjournal"
)

// Event is implemented by every event type of this package.
type Event interface{ isEvent() }

// Token identifies the call that a Reply, Reject or AnswerQuery belongs to. All
// adapters draw tokens from one counter of the process, so none is reused.
type Token uint64

// Submit submits a request. The adapter has validated the request, filled in
// the defaults from the workload's section of the document, and stored the body
// of a journaled request if it is large.
type Submit struct {
	Token   Token
	Request *model.Request
	Wait    bool // reply with the final outcome rather than on acceptance
}

// Status requests the state of a request. With Wait set, the reply is sent when
// the state is final.
type Status struct {
	Token   Token
	Request model.RequestID
	Wait    bool
}

// Cancel requests the cancellation of a request.
type Cancel struct {
	Token   Token
	Request model.RequestID
}

// CallAbandoned reports that no caller waits for the reply to a token any more.
type CallAbandoned struct {
	Token Token
}

// Query requests a view of the reducer's state. AnswerQuery answers it.
type Query struct {
	Token   Token
	View    ViewKind
	Request model.RequestID // set for ViewExplain only
}

// DocumentChanged delivers a committed document revision.
type DocumentChanged struct {
	Document *document.Document
}

// LeaseGranted reports that a worker granted its scheduler lease to this
// instance. Tasks is the complete list of the attempts that the worker knows.
type LeaseGranted struct {
	Worker      model.Worker
	Term        model.Term
	Incarnation model.Incarnation
	Capacity    model.Resources
	Tasks       []model.TaskReport // running, or finished and not yet acknowledged
	Revision    model.Revision     // highest document revision that a lease holder has used
	Leaving     bool
}

// LeaseDenied reports that a worker refused the lease because that of another
// holder has not expired.
type LeaseDenied struct {
	Worker model.WorkerID
	Holder model.InstanceID
	Until  time.Time // expiry of that lease, on this instance's clock
}

// LeaseLost reports that the session with a worker ended or the lease expired.
// The result of every unanswered start is then unknown.
type LeaseLost struct {
	Worker model.WorkerID
	Term   model.Term
	Reason string
}

// TaskStarted reports that the worker started an attempt.
type TaskStarted struct {
	Worker  model.WorkerID
	Attempt model.Attempt
}

// TaskFinished reports that an attempt ended. Workers repeat the report until
// it is acknowledged, so it may arrive more than once.
type TaskFinished struct {
	Worker  model.WorkerID
	Attempt model.Attempt
	Result  model.TaskResult
	Stopped bool // whether a stop command ended it
}

// StartRefused reports that the worker did not start an attempt and never will.
type StartRefused struct {
	Worker  model.WorkerID
	Attempt model.Attempt
	Reason  string
}

// StartUncertain reports that the answer to a start was lost. The attempt must
// be fenced before its outcome can be decided.
type StartUncertain struct {
	Worker  model.WorkerID
	Attempt model.Attempt
	Reason  string
}

// AttemptFenced answers FenceAttempt. If the reported state is
// model.TaskNeverSeen, the worker refuses the attempt from then on.
type AttemptFenced struct {
	Worker model.WorkerID
	Report model.TaskReport
}

// WorkerUsage delivers a worker's usage reports, which lag behind actual use.
type WorkerUsage struct {
	Worker model.WorkerID
	Usage  []model.Usage
}

// WorkerLeaving reports that the worker announced its own departure.
type WorkerLeaving struct {
	Worker   model.WorkerID
	Deadline time.Time
}

// PlatformListRead delivers the platform's list of workers and instances. The
// list lags behind the actual state.
type PlatformListRead struct {
	Workers   []model.Worker
	Instances []model.Instance
}

// PlatformListFailed reports that the platform's list could not be read.
type PlatformListFailed struct {
	Reason string
}

// JournalLoaded answers LoadJournal.
type JournalLoaded struct {
	Partition model.Partition
	Version   requestjournal.Version
	Records   []requestjournal.Record
}

// JournalLoadFailed reports that a journal could not be read. The reducer
// retries after a delay.
type JournalLoadFailed struct {
	Partition model.Partition
	Reason    string
}

// CommitResult is the result of a conditional append to a journal.
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

// CommitDone answers CommitJournal and CompactJournal. If the store's answer was
// lost, the adapter has read the transaction token back, so the result is
// definite.
type CommitDone struct {
	CommitID  CallID // copied from the effect
	Partition model.Partition
	Version   requestjournal.Version // of the journal's head after CommitApplied
	Result    CommitResult
}

// PeerUp reports that a link to a peer is open.
type PeerUp struct {
	Peer model.InstanceID
}

// PeerDown reports that a link to a peer has closed.
type PeerDown struct {
	Peer   model.InstanceID
	Reason string
}

// PeerReceived delivers a message from a peer.
type PeerReceived struct {
	From    model.InstanceID
	Message Message
}

// Tick makes the reducer process timeouts and deadlines that have passed.
type Tick struct{}

// Shutdown makes the reducer refuse new work and hand its workers and partitions
// over to other instances. Stopped reports the end of the shutdown.
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
