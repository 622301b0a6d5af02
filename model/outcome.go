package model

// Status is the current or final state of a request as reported to its caller.
type Status uint8

// The statuses. StatusDone and those after it are final.
const (
	// StatusNotFound means that no record of the request exists.
	StatusNotFound Status = iota + 1
	// StatusWaiting means that the request is accepted and has not started.
	StatusWaiting
	// StatusRunning means that at least one task runs.
	StatusRunning
	// StatusDone means that the request ran and that its complete answer is known.
	StatusDone
	// StatusFailed means that the request ran and reported an error.
	StatusFailed
	// StatusNotRun means that no task of the request was run or will be run.
	StatusNotRun
	// StatusUnknown means that a task may have run and that its result is not known.
	StatusUnknown
	// StatusCancelled means that the request was cancelled.
	StatusCancelled
	// StatusExpired means that the record was dropped after the retention time.
	StatusExpired
)

// IsFinal reports whether the status is final. StatusUnknown counts as final, but
// may still change to the actual result if the worker becomes reachable again.
func (s Status) IsFinal() bool { return s >= StatusDone }

// String returns the name used in logs and on the command line.
func (s Status) String() string {
	switch s {
	case StatusNotFound:
		return "not_found"
	case StatusWaiting:
		return "waiting"
	case StatusRunning:
		return "running"
	case StatusDone:
		return "done"
	case StatusFailed:
		return "failed"
	case StatusNotRun:
		return "not_run"
	case StatusUnknown:
		return "unknown"
	case StatusCancelled:
		return "cancelled"
	case StatusExpired:
		return "expired"
	}
	return "invalid"
}

// Proof is the evidence that a request with StatusNotRun was not run.
type Proof uint8

// The proofs.
const (
	// ProofNone accompanies every status other than StatusNotRun.
	ProofNone Proof = iota
	// ProofNeverSent means that the instance sent no start.
	ProofNeverSent
	// ProofTargetRefused means that the target refused each start.
	ProofTargetRefused
	// ProofTargetFenced means that the target never saw the attempt and now
	// refuses it.
	ProofTargetFenced
)

// String returns the name used in logs and on the command line.
func (p Proof) String() string {
	switch p {
	case ProofNone:
		return "none"
	case ProofNeverSent:
		return "never_sent"
	case ProofTargetRefused:
		return "target_refused"
	case ProofTargetFenced:
		return "target_fenced"
	}
	return "invalid"
}

// Outcome is the status of a request and its result, as reported to the caller.
type Outcome struct {
	Status  Status
	Reason  string // one sentence; empty for StatusDone
	Proof   Proof
	Answer  []byte
	Digest  Digest // of Answer, computed by the worker
	Worker  WorkerID
	Attempt Attempt
}

// HasIntactAnswer reports whether the answer matches the digest that the worker
// computed. It is true for every status other than StatusDone.
func (o *Outcome) HasIntactAnswer() bool {
	return o.Status != StatusDone || DigestOf(o.Answer) == o.Digest
}
