package model

import (
	"crypto/sha256"
	"fmt"
	"time"

	"fuchsiacross/finding"
)

// Kind says how the tasks of a request run.
type Kind uint8

// The kinds of work.
const (
	// KindRequest runs on a slot of a worker's runner and returns an answer.
	KindRequest Kind = iota + 1
	// KindBatch runs tasks to their end.
	KindBatch
	// KindService keeps its tasks running until it is cancelled.
	KindService
)

// String returns the name used in logs, the document and the command line.
func (k Kind) String() string {
	switch k {
	case KindRequest:
		return "request"
	case KindBatch:
		return "batch"
	case KindService:
		return "service"
	}
	return "invalid"
}

// Class orders requests by how long somebody may wait for their start.
type Class uint8

// The classes, most urgent first.
const (
	// ClassUrgent is for work with a person waiting.
	ClassUrgent Class = iota + 1
	// ClassStandard is for work that is wanted soon.
	ClassStandard
	// ClassBackground is for work that may wait and may be preempted.
	ClassBackground
)

// Classes is the number of classes.
const ClassCount = 3

// String returns the name used in logs, the document and the command line.
func (c Class) String() string {
	switch c {
	case ClassUrgent:
		return "urgent"
	case ClassStandard:
		return "standard"
	case ClassBackground:
		return "background"
	}
	return "invalid"
}

// Durability says what of a request is journaled. It follows from the request.
type Durability uint8

// The levels of durability.
const (
	// Ephemeral requests are neither journaled nor stored.
	Ephemeral Durability = iota + 1
	// Durable requests journal their acceptance and their outcome.
	Durable
	// AtMostOnce requests also journal each intent to start before the start.
	AtMostOnce
)

// String returns the name used in logs and explanations.
func (d Durability) String() string {
	switch d {
	case Ephemeral:
		return "ephemeral"
	case Durable:
		return "durable"
	case AtMostOnce:
		return "at_most_once"
	}
	return "invalid"
}

// Digest is the SHA-256 digest of a body or an answer.
type Digest [sha256.Size]byte

// DigestOf returns the digest of data.
func DigestOf(data []byte) Digest { return sha256.Sum256(data) }

// Request is a caller's request as an entry accepted it.
type Request struct {
	ID          RequestID
	Team        Team
	Workload    Workload
	Kind        Kind
	Class       Class
	Resources   Resources // of each task
	Tasks       uint32    // number of tasks, at least 1
	Gang        bool      // all tasks must start together or none
	Idempotent  bool
	Preemptible bool // set from the document, never by the caller
	Deadline    time.Time
	Body        []byte // nil when BodyStored
	BodyLength  int64
	BodyDigest  Digest
	BodyStored  bool // the body is in the object store under BodyDigest
	SubmittedAt time.Time
}

// Durability returns what of the request is journaled.
func (r *Request) Durability() Durability {
	switch {
	case !r.Idempotent:
		return AtMostOnce
	case r.Class == ClassUrgent && r.Kind == KindRequest:
		return Ephemeral
	default:
		return Durable
	}
}

// SameAs reports whether s is the same submission as r: a repeated submission
// has the same identifier and must match in everything that the caller chose.
func (r *Request) IsSameSubmission(s *Request) bool {
	return r.ID == s.ID &&
		r.Team == s.Team &&
		r.Workload == s.Workload &&
		r.Kind == s.Kind &&
		r.Resources == s.Resources &&
		r.Tasks == s.Tasks &&
		r.Gang == s.Gang &&
		r.Idempotent == s.Idempotent &&
		r.BodyDigest == s.BodyDigest
}

// Limits bounds what a request may ask for.
type Limits struct {
	MaxIDBytes   int   // bytes
	MaxBodyBytes int64 // bytes
	MaxTasks     uint32
	MaxResources Resources
	MaxHorizon   time.Time // latest deadline; zero for no limit
}

// DefaultLimits returns the limits used where the settings name none.
func DefaultLimits() Limits {
	return Limits{
		MaxIDBytes:   128,
		MaxBodyBytes: 4 << 20,
		MaxTasks:     10_000,
		MaxResources: Resources{
			MilliCPU:     1_000_000,
			MemoryBytes:  16 << 40,
			Accelerators: 64,
			Slots:        64,
		},
	}
}

// Check returns every reason why the request is malformed. The places are the
// field names of the caller's protocol.
func (r *Request) Validate(now time.Time, limits Limits) finding.List {
	var fs finding.List
	if n := len(r.ID); n == 0 || n > limits.MaxIDBytes {
		fs.Add("request_id", fmt.Sprintf("length %d is outside 1 to %d bytes", n, limits.MaxIDBytes))
	}
	if r.Team == "" {
		fs.Add("team", "is missing")
	}
	if r.Workload == "" {
		fs.Add("workload", "is missing")
	}
	if r.Kind < KindRequest || r.Kind > KindService {
		fs.Add("kind", "is missing or unknown")
	}
	if r.Class < ClassUrgent || r.Class > ClassBackground {
		fs.Add("class", "is missing or unknown")
	}
	if r.Tasks < 1 || r.Tasks > limits.MaxTasks {
		fs.Add("tasks", fmt.Sprintf("%d is outside 1 to %d", r.Tasks, limits.MaxTasks))
	}
	if r.Kind == KindRequest && r.Tasks > 1 {
		fs.Add("tasks", "a request to a runner has exactly one task")
	}
	fs.Append("resources.", r.Resources.check(limits.MaxResources))
	if r.BodyLength > limits.MaxBodyBytes {
		fs.Add("body", fmt.Sprintf("%d bytes is above the limit of %d bytes", r.BodyLength, limits.MaxBodyBytes))
	}
	if !r.Deadline.After(now) {
		fs.Add("deadline", fmt.Sprintf("%s has passed", r.Deadline.UTC().Format(time.RFC3339Nano)))
	}
	if !limits.MaxHorizon.IsZero() && r.Deadline.After(limits.MaxHorizon) {
		fs.Add("deadline", fmt.Sprintf("is later than %s", limits.MaxHorizon.UTC().Format(time.RFC3339Nano)))
	}
	return fs
}
