package model

import (
	"crypto/sha256"
	"fmt"
	"time"

	"fuchsiacross/finding"
)

// Kind is the way in which the tasks of a request run.
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

// Class is the priority class of a request, by how long its start may be delayed.
type Class uint8

// The classes, most urgent first.
const (
	// ClassUrgent is for work that a person waits for.
	ClassUrgent Class = iota + 1
	// ClassStandard is for work that is needed soon.
	ClassStandard
	// ClassBackground is for work that may be delayed and preempted.
	ClassBackground
)

// ClassCount is the number of classes.
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

// Durability selects which records of a request are journaled. It is derived
// from the request by Request.Durability.
type Durability uint8

// The levels of durability.
const (
	// Ephemeral requests are not journaled, and their bodies are not stored.
	Ephemeral Durability = iota + 1
	// Durable requests journal their acceptance and their outcome.
	Durable
	// AtMostOnce requests also journal an intent before each start, so that no
	// task runs twice.
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

// Request is a request as an instance accepted it from a caller.
type Request struct {
	ID          RequestID
	Team        Team
	Workload    Workload
	Kind        Kind
	Class       Class
	Resources   Resources // of each task
	Tasks       uint32    // number of tasks, at least 1
	Gang        bool      // all tasks start together or none does
	Idempotent  bool
	Preemptible bool // set from the document, not by the caller
	Deadline    time.Time
	Body        []byte // nil if BodyStored is set
	BodyLength  int64
	BodyDigest  Digest
	BodyStored  bool // whether the body is in the object store, under BodyDigest
	SubmittedAt time.Time
}

// Durability returns which records of the request are journaled.
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

// IsSameSubmission reports whether s repeats the submission r: it has the same
// identifier and equals r in everything that the caller chose.
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

// Limits bounds the values that a request may have.
type Limits struct {
	MaxIDBytes     int
	MaxBodyBytes   int64
	MaxTasks       uint32
	MaxResources   Resources
	LatestDeadline time.Time // zero for no limit
}

// DefaultLimits returns the limits that apply where the settings give none.
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

// Validate returns all findings that make the request invalid. Their places are
// the field names of the caller's protocol.
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
	fs.Append("resources.", r.Resources.validate(limits.MaxResources))
	if r.BodyLength > limits.MaxBodyBytes {
		fs.Add("body", fmt.Sprintf("%d bytes is above the limit of %d bytes", r.BodyLength, limits.MaxBodyBytes))
	}
	if !r.Deadline.After(now) {
		fs.Add("deadline", fmt.Sprintf("%s has passed", r.Deadline.UTC().Format(time.RFC3339Nano)))
	}
	if !limits.LatestDeadline.IsZero() && r.Deadline.After(limits.LatestDeadline) {
		fs.Add("deadline", fmt.Sprintf("is later than %s", limits.LatestDeadline.UTC().Format(time.RFC3339Nano)))
	}
	return fs
}
