package peer

import (
	"time"

	"github.com/go-faster/errors"

	"fuchsiacross/model"
)

// maxResourceAmount limits each resource on the wire, so that sums over all
// instances do not overflow: 2^53 bytes are 8 PiB.
const maxResourceAmount = 1 << 53

// fieldChecker converts the fields of a message from their wire form and records
// the first error.
type fieldChecker struct {
	err error
}

func (c *fieldChecker) fail(format string, args ...any) {
	if c.err == nil {
		c.err = errors.Errorf(format, args...)
	}
}

// checkEnum checks that an enumeration value is between low and high.
func (c *fieldChecker) checkEnum(field string, value, low, high uint8) {
	if value < low || value > high {
		c.fail("%s %d is outside %d to %d", field, value, low, high)
	}
}

// checkIdentifier checks that an identifier has 1 to maxIDBytes bytes.
func (c *fieldChecker) checkIdentifier(field, value string) {
	if value == "" || len(value) > maxIDBytes {
		c.fail("%s has %d bytes, limit 1 to %d", field, len(value), maxIDBytes)
	}
}

// checkAmount checks that an amount is between 0 and maxResourceAmount, and
// returns it.
func (c *fieldChecker) checkAmount(field string, value int64) int64 {
	if value < 0 || value > maxResourceAmount {
		c.fail("%s %d is outside 0 to %d", field, value, int64(maxResourceAmount))
	}
	return value
}

func (c *fieldChecker) resourcesFromWire(w wireResources) model.Resources {
	return model.Resources{
		MilliCPU:     c.checkAmount("processors", w.MilliCPU),
		MemoryBytes:  c.checkAmount("memory", w.MemoryBytes),
		Accelerators: c.checkAmount("accelerators", w.Accelerators),
		Slots:        c.checkAmount("slots", w.Slots),
	}
}

func resourcesToWire(r model.Resources) wireResources {
	return wireResources{
		MilliCPU:     r.MilliCPU,
		MemoryBytes:  r.MemoryBytes,
		Accelerators: r.Accelerators,
		Slots:        r.Slots,
	}
}

// digestFromWire converts a digest. An empty one stands for the zero digest.
func (c *fieldChecker) digestFromWire(field string, data []byte) model.Digest {
	var d model.Digest
	if len(data) == 0 {
		return d
	}
	if len(data) != len(d) {
		c.fail("%s has %d bytes, want %d", field, len(data), len(d))
		return d
	}
	copy(d[:], data)
	return d
}

func digestToWire(d model.Digest) []byte {
	if d == (model.Digest{}) {
		return nil
	}
	return d[:]
}

func timeToWire(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return t.UnixNano()
}

func timeFromWire(nanoseconds int64) time.Time {
	if nanoseconds == 0 {
		return time.Time{}
	}
	return time.Unix(0, nanoseconds).UTC()
}

func (c *fieldChecker) checkedAttemptFromWire(w wireAttempt) model.Attempt {
	c.checkIdentifier("attempt's request", w.Request)
	return attemptFromWire(w)
}

func attemptFromWire(w wireAttempt) model.Attempt {
	return model.Attempt{Request: model.RequestID(w.Request), Task: w.Task, Number: w.Number}
}

func attemptToWire(a model.Attempt) wireAttempt {
	return wireAttempt{Request: string(a.Request), Task: a.Task, Number: a.Number}
}

// mapSlice applies f to each element. It returns nil for an empty slice.
func mapSlice[A, B any](in []A, f func(A) B) []B {
	if len(in) == 0 {
		return nil
	}
	out := make([]B, len(in))
	for i := range in {
		out[i] = f(in[i])
	}
	return out
}

// identifiersToWire converts identifiers to strings.
func identifiersToWire[S ~string](in []S) []string {
	return mapSlice(in, func(s S) string { return string(s) })
}

// identifiersFromWire converts strings to identifiers and checks each one.
func identifiersFromWire[S ~string](c *fieldChecker, field string, in []string) []S {
	return mapSlice(in, func(s string) S {
		c.checkIdentifier(field, s)
		return S(s)
	})
}

func (c *fieldChecker) requestFromWire(w *wireRequest) *model.Request {
	c.checkIdentifier("request", w.ID)
	c.checkIdentifier("team", w.Team)
	c.checkIdentifier("workload", w.Workload)
	c.checkEnum("kind", w.Kind, uint8(model.KindRequest), uint8(model.KindService))
	c.checkEnum("class", w.Class, uint8(model.ClassUrgent), uint8(model.ClassBackground))
	c.checkAmount("body length", w.BodyLength)
	if w.Tasks == 0 {
		c.fail("tasks is zero")
	}
	return &model.Request{
		ID:          model.RequestID(w.ID),
		Team:        model.Team(w.Team),
		Workload:    model.Workload(w.Workload),
		Kind:        model.Kind(w.Kind),
		Class:       model.Class(w.Class),
		Resources:   c.resourcesFromWire(w.Resources),
		Tasks:       w.Tasks,
		Gang:        w.Gang,
		Idempotent:  w.Idempotent,
		Preemptible: w.Preemptible,
		Deadline:    timeFromWire(w.Deadline),
		Body:        w.Body,
		BodyLength:  w.BodyLength,
		BodyDigest:  c.digestFromWire("body digest", w.BodyDigest),
		BodyStored:  w.BodyStored,
		SubmittedAt: timeFromWire(w.SubmittedAt),
	}
}

func requestToWire(r *model.Request) wireRequest {
	return wireRequest{
		ID:          string(r.ID),
		Team:        string(r.Team),
		Workload:    string(r.Workload),
		Kind:        uint8(r.Kind),
		Class:       uint8(r.Class),
		Resources:   resourcesToWire(r.Resources),
		Tasks:       r.Tasks,
		Gang:        r.Gang,
		Idempotent:  r.Idempotent,
		Preemptible: r.Preemptible,
		Deadline:    timeToWire(r.Deadline),
		Body:        r.Body,
		BodyLength:  r.BodyLength,
		BodyDigest:  digestToWire(r.BodyDigest),
		BodyStored:  r.BodyStored,
		SubmittedAt: timeToWire(r.SubmittedAt),
	}
}

func (c *fieldChecker) outcomeFromWire(w *wireOutcome) model.Outcome {
	c.checkEnum("status", w.Status, 0, uint8(model.StatusExpired))
	c.checkEnum("proof", w.Proof, 0, uint8(model.ProofTargetFenced))
	return model.Outcome{
		Status:  model.Status(w.Status),
		Reason:  w.Reason,
		Proof:   model.Proof(w.Proof),
		Answer:  w.Answer,
		Digest:  c.digestFromWire("digest", w.Digest),
		Worker:  model.WorkerID(w.Worker),
		Attempt: attemptFromWire(w.Attempt),
	}
}

func outcomeToWire(o *model.Outcome) wireOutcome {
	return wireOutcome{
		Status:  uint8(o.Status),
		Reason:  o.Reason,
		Proof:   uint8(o.Proof),
		Answer:  o.Answer,
		Digest:  digestToWire(o.Digest),
		Worker:  string(o.Worker),
		Attempt: attemptToWire(o.Attempt),
	}
}

func (c *fieldChecker) taskReportFromWire(w *wireTaskReport) model.TaskReport {
	c.checkEnum("task state", w.State, 0, uint8(model.TaskLost))
	c.checkEnum("class", w.Class, 0, uint8(model.ClassBackground))
	c.checkEnum("kind", w.Kind, 0, uint8(model.KindService))
	return model.TaskReport{
		Attempt:   c.checkedAttemptFromWire(w.Attempt),
		State:     model.TaskState(w.State),
		Resources: c.resourcesFromWire(w.Resources),
		Class:     model.Class(w.Class),
		Team:      model.Team(w.Team),
		Workload:  model.Workload(w.Workload),
		Kind:      model.Kind(w.Kind),
		StartedAt: timeFromWire(w.StartedAt),
		Result: model.TaskResult{
			Succeeded: w.Succeeded,
			Message:   w.Message,
			Answer:    w.Answer,
			Digest:    c.digestFromWire("digest", w.Digest),
		},
	}
}

func taskReportToWire(r *model.TaskReport) wireTaskReport {
	return wireTaskReport{
		Attempt:   attemptToWire(r.Attempt),
		State:     uint8(r.State),
		Resources: resourcesToWire(r.Resources),
		Class:     uint8(r.Class),
		Team:      string(r.Team),
		Workload:  string(r.Workload),
		Kind:      uint8(r.Kind),
		StartedAt: timeToWire(r.StartedAt),
		Succeeded: r.Result.Succeeded,
		Message:   r.Result.Message,
		Answer:    r.Result.Answer,
		Digest:    digestToWire(r.Result.Digest),
	}
}
