package peer

import "github.com/fxamacker/cbor/v2"

// messageKind identifies the type of a message on the wire. Numbers are never
// reused.
type messageKind uint8

const (
	kindHeartbeat messageKind = iota + 1
	kindForward
	kindForwardReply
	kindReserve
	kindReserved
	kindConfirm
	kindReleaseReservation
	kindAttemptUpdate
	kindAttemptAck
	kindStopAttempt
	kindCancelQuery
	kindStatusQuery
	kindOutcomeReply
	kindFenceQuery
	kindFenceReply
	kindRunningQuery
	kindRunningReply
	kindDocumentFetch
	kindDocumentCopy
)

// wireFrame is one WebSocket message. A frame without messages serves as a
// keepalive.
type wireFrame struct {
	_           struct{} `cbor:",toarray"`
	FirstNumber uint64   // number of the first message
	Messages    []wireMessage
}

type wireMessage struct {
	_    struct{} `cbor:",toarray"`
	Kind messageKind
	Body cbor.RawMessage
}

type wireResources struct {
	_            struct{} `cbor:",toarray"`
	MilliCPU     int64
	MemoryBytes  int64
	Accelerators int64
	Slots        int64
}

type wireAttempt struct {
	_       struct{} `cbor:",toarray"`
	Request string
	Task    uint32
	Number  uint32
}

// wireRequest is the wire form of a request. Times are nanoseconds since 1970 in
// UTC, and 0 for the zero time, here and in all other messages.
type wireRequest struct {
	ID          string        `cbor:"1,keyasint"`
	Team        string        `cbor:"2,keyasint"`
	Workload    string        `cbor:"3,keyasint"`
	Kind        uint8         `cbor:"4,keyasint"`
	Class       uint8         `cbor:"5,keyasint"`
	Resources   wireResources `cbor:"6,keyasint"`
	Tasks       uint32        `cbor:"7,keyasint"`
	Gang        bool          `cbor:"8,keyasint,omitempty"`
	Idempotent  bool          `cbor:"9,keyasint,omitempty"`
	Preemptible bool          `cbor:"10,keyasint,omitempty"`
	Deadline    int64         `cbor:"11,keyasint,omitempty"`
	Body        []byte        `cbor:"12,keyasint,omitempty"`
	BodyLength  int64         `cbor:"13,keyasint,omitempty"`
	BodyDigest  []byte        `cbor:"14,keyasint,omitempty"`
	BodyStored  bool          `cbor:"15,keyasint,omitempty"`
	SubmittedAt int64         `cbor:"16,keyasint,omitempty"`
}

type wireOutcome struct {
	Status  uint8       `cbor:"1,keyasint,omitempty"`
	Reason  string      `cbor:"2,keyasint,omitempty"`
	Proof   uint8       `cbor:"3,keyasint,omitempty"`
	Answer  []byte      `cbor:"4,keyasint,omitempty"`
	Digest  []byte      `cbor:"5,keyasint,omitempty"`
	Worker  string      `cbor:"6,keyasint,omitempty"`
	Attempt wireAttempt `cbor:"7,keyasint,omitzero"`
}

type wireTaskReport struct {
	Attempt   wireAttempt   `cbor:"1,keyasint,omitzero"`
	State     uint8         `cbor:"2,keyasint,omitempty"`
	Resources wireResources `cbor:"3,keyasint,omitzero"`
	Class     uint8         `cbor:"4,keyasint,omitempty"`
	Team      string        `cbor:"5,keyasint,omitempty"`
	Workload  string        `cbor:"6,keyasint,omitempty"`
	Kind      uint8         `cbor:"7,keyasint,omitempty"`
	StartedAt int64         `cbor:"8,keyasint,omitempty"`
	Succeeded bool          `cbor:"9,keyasint,omitempty"`
	Message   string        `cbor:"10,keyasint,omitempty"`
	Answer    []byte        `cbor:"11,keyasint,omitempty"`
	Digest    []byte        `cbor:"12,keyasint,omitempty"`
}

type wireForward struct {
	Call    uint64      `cbor:"1,keyasint"`
	Request wireRequest `cbor:"2,keyasint"`
	Hops    uint8       `cbor:"3,keyasint,omitempty"`
	ToHome  bool        `cbor:"4,keyasint,omitempty"`
}

type wireForwardReply struct {
	Call     uint64      `cbor:"1,keyasint"`
	Accepted bool        `cbor:"2,keyasint,omitempty"`
	Rejected bool        `cbor:"3,keyasint,omitempty"`
	Code     uint8       `cbor:"4,keyasint,omitempty"`
	Place    string      `cbor:"5,keyasint,omitempty"`
	Reason   string      `cbor:"6,keyasint,omitempty"`
	Outcome  wireOutcome `cbor:"7,keyasint,omitzero"`
}

type wireReserve struct {
	Call    uint64      `cbor:"1,keyasint"`
	Request wireRequest `cbor:"2,keyasint"`
	Count   uint32      `cbor:"3,keyasint"`
	Until   int64       `cbor:"4,keyasint"`
}

type wireReserved struct {
	Call               uint64   `cbor:"1,keyasint"`
	Workers            []string `cbor:"2,keyasint,omitempty"`
	WorkerIncarnations []uint64 `cbor:"3,keyasint,omitempty"`
}

type wireConfirm struct {
	Call     uint64                 `cbor:"1,keyasint"`
	Request  *wireRequest           `cbor:"2,keyasint,omitempty"`
	Attempts []wireAttemptPlacement `cbor:"3,keyasint,omitempty"`
}

// wireAttemptPlacement names an attempt and its worker. WorkerIncarnation is 0 in
// acknowledgements, which do not need it.
type wireAttemptPlacement struct {
	_                 struct{} `cbor:",toarray"`
	Attempt           wireAttempt
	Worker            string
	WorkerIncarnation uint64
}

type wireReleaseReservation struct {
	_    struct{} `cbor:",toarray"`
	Call uint64
}

type wireAttemptUpdate struct {
	Worker string         `cbor:"1,keyasint"`
	State  uint8          `cbor:"2,keyasint"`
	Report wireTaskReport `cbor:"3,keyasint"`
	Reason string         `cbor:"4,keyasint,omitempty"`
}

type wireStopAttempt struct {
	_          struct{} `cbor:",toarray"`
	Worker     string
	Attempt    wireAttempt
	Checkpoint bool
}

type wireRequestQuery struct {
	_       struct{} `cbor:",toarray"`
	Call    uint64
	Request string
	Wait    bool
}

type wireOutcomeReply struct {
	Call        uint64      `cbor:"1,keyasint"`
	Unavailable bool        `cbor:"2,keyasint,omitempty"`
	Outcome     wireOutcome `cbor:"3,keyasint,omitzero"`
}

type wireFenceReply struct {
	Worker    string         `cbor:"1,keyasint"`
	Reachable bool           `cbor:"2,keyasint,omitempty"`
	Report    wireTaskReport `cbor:"3,keyasint"`
}

type wireRunningQuery struct {
	_         struct{} `cbor:",toarray"`
	Partition uint32
}

type wireRunningReply struct {
	Partition uint32              `cbor:"1,keyasint"`
	Tasks     []wireAttemptUpdate `cbor:"2,keyasint,omitempty"`
}

type wireDocumentFetch struct {
	_             struct{} `cbor:",toarray"`
	KnownRevision uint64
}

type wireDocumentCopy struct {
	Revision uint64        `cbor:"1,keyasint"`
	Sections []wireSection `cbor:"2,keyasint,omitempty"`
}

type wireSection struct {
	Name             string   `cbor:"1,keyasint"`
	Owners           []string `cbor:"2,keyasint,omitempty"`
	Revision         uint64   `cbor:"3,keyasint"`
	DocumentRevision uint64   `cbor:"4,keyasint"`
	EditID           string   `cbor:"5,keyasint,omitempty"`
	Body             []byte   `cbor:"6,keyasint"`
}
