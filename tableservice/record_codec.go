package tableservice

import (
	"github.com/go-faster/errors"

	"fuchsiacross/model"
	"fuchsiacross/requestjournal"
)

// maxInlineBytes is the length up to which a body or an answer is stored inside its
// record. Longer ones are stored in the object store.
const maxInlineBytes = 4096

// recordCodec converts records to and from their stored form.
type recordCodec struct {
	locate func(model.Digest) location    // for toWire: where bytes were stored before
	fetch  func(location) ([]byte, error) // for fromWire: reads stored bytes
}

func (c *recordCodec) toWire(r *requestjournal.Record) recordWire {
	w := recordWire{
		Kind:              uint8(r.Kind),
		At:                toUnixNano(r.At),
		ID:                string(r.ID),
		Holder:            string(r.Holder),
		HolderIncarnation: uint64(r.HolderIncarnation),
		Attempt:           attemptToWire(r.Attempt),
		Worker:            string(r.Worker),
		WorkerIncarnation: uint64(r.WorkerIncarnation),
	}
	if r.Request != nil {
		w.Request = requestToWire(r.Request)
		w.Request.Body = c.bytesToWire(r.Request.Body)
	}
	if r.Result != nil {
		w.Result = &resultWire{Succeeded: r.Result.Succeeded, Message: r.Result.Message, Digest: r.Result.Digest[:]}
		w.Result.Answer = c.bytesToWire(r.Result.Answer)
	}
	if r.Outcome != nil {
		w.Outcome = outcomeToWire(r.Outcome)
		w.Outcome.Answer = c.bytesToWire(r.Outcome.Answer)
	}
	w.omitRepeatedIDs()
	return w
}

// omitRepeatedIDs clears request identifiers that equal the identifier of the record.
// They made up a fifth of the bytes of a request's three records.
func (w *recordWire) omitRepeatedIDs() {
	if w.Request != nil && w.Request.ID == w.ID {
		w.Request.ID = ""
	}
	for _, a := range w.attempts() {
		if a.Request == w.ID {
			a.Request = ""
		}
	}
}

// restoreRepeatedIDs reverses omitRepeatedIDs.
func (w *recordWire) restoreRepeatedIDs() {
	if w.Request != nil && w.Request.ID == "" {
		w.Request.ID = w.ID
	}
	for _, a := range w.attempts() {
		if a.Request == "" {
			a.Request = w.ID
		}
	}
}

func (w *recordWire) attempts() []*attemptWire {
	var all []*attemptWire
	if w.Attempt != nil {
		all = append(all, w.Attempt)
	}
	if w.Outcome != nil && w.Outcome.Attempt != nil {
		all = append(all, w.Outcome.Attempt)
	}
	return all
}

func (c *recordCodec) fromWire(w *recordWire) (requestjournal.Record, error) {
	w.restoreRepeatedIDs()
	r := requestjournal.Record{
		Kind:              requestjournal.RecordKind(w.Kind),
		At:                fromUnixNano(w.At),
		ID:                model.RequestID(w.ID),
		Holder:            model.InstanceID(w.Holder),
		HolderIncarnation: model.Incarnation(w.HolderIncarnation),
		Attempt:           attemptFromWire(w.Attempt),
		Worker:            model.WorkerID(w.Worker),
		WorkerIncarnation: model.Incarnation(w.WorkerIncarnation),
	}
	var err error
	if w.Request != nil {
		r.Request = requestFromWire(w.Request)
		if r.Request.Body, err = c.bytesFromWire(w.Request.Body); err != nil {
			return r, err
		}
	}
	if w.Result != nil {
		r.Result = &model.TaskResult{Succeeded: w.Result.Succeeded, Message: w.Result.Message}
		copy(r.Result.Digest[:], w.Result.Digest)
		if r.Result.Answer, err = c.bytesFromWire(w.Result.Answer); err != nil {
			return r, err
		}
	}
	if w.Outcome != nil {
		r.Outcome = outcomeFromWire(w.Outcome)
		if r.Outcome.Answer, err = c.bytesFromWire(w.Outcome.Answer); err != nil {
			return r, err
		}
	}
	return r, nil
}

func (c *recordCodec) bytesToWire(data []byte) bytesWire {
	if len(data) <= maxInlineBytes {
		return bytesWire{Inline: data}
	}
	l := c.locate(model.DigestOf(data))
	return bytesWire{Stored: l.object[:], Offset: l.offset, Length: l.length}
}

func (c *recordCodec) bytesFromWire(w bytesWire) ([]byte, error) {
	if len(w.Stored) == 0 {
		return w.Inline, nil
	}
	l := location{offset: w.Offset, length: w.Length}
	copy(l.object[:], w.Stored)
	data, err := c.fetch(l)
	if err != nil {
		return nil, errors.Wrap(err, "fetch bytes from the object store")
	}
	return data, nil
}

func requestToWire(r *model.Request) *requestWire {
	return &requestWire{
		ID:          string(r.ID),
		Team:        string(r.Team),
		Workload:    string(r.Workload),
		Kind:        uint8(r.Kind),
		Class:       uint8(r.Class),
		Resources:   resourcesWire(r.Resources),
		Tasks:       r.Tasks,
		Gang:        r.Gang,
		Idempotent:  r.Idempotent,
		Preemptible: r.Preemptible,
		Deadline:    toUnixNano(r.Deadline),
		BodyLength:  r.BodyLength,
		BodyDigest:  r.BodyDigest[:],
		BodyStored:  r.BodyStored,
		SubmittedAt: toUnixNano(r.SubmittedAt),
	}
}

func requestFromWire(w *requestWire) *model.Request {
	r := &model.Request{
		ID:          model.RequestID(w.ID),
		Team:        model.Team(w.Team),
		Workload:    model.Workload(w.Workload),
		Kind:        model.Kind(w.Kind),
		Class:       model.Class(w.Class),
		Resources:   model.Resources(w.Resources),
		Tasks:       w.Tasks,
		Gang:        w.Gang,
		Idempotent:  w.Idempotent,
		Preemptible: w.Preemptible,
		Deadline:    fromUnixNano(w.Deadline),
		BodyLength:  w.BodyLength,
		BodyStored:  w.BodyStored,
		SubmittedAt: fromUnixNano(w.SubmittedAt),
	}
	copy(r.BodyDigest[:], w.BodyDigest)
	return r
}

func outcomeToWire(o *model.Outcome) *outcomeWire {
	return &outcomeWire{
		Status:  uint8(o.Status),
		Reason:  o.Reason,
		Proof:   uint8(o.Proof),
		Digest:  o.Digest[:],
		Worker:  string(o.Worker),
		Attempt: attemptToWire(o.Attempt),
	}
}

func outcomeFromWire(w *outcomeWire) *model.Outcome {
	o := &model.Outcome{
		Status:  model.Status(w.Status),
		Reason:  w.Reason,
		Proof:   model.Proof(w.Proof),
		Worker:  model.WorkerID(w.Worker),
		Attempt: attemptFromWire(w.Attempt),
	}
	copy(o.Digest[:], w.Digest)
	return o
}

func attemptToWire(a model.Attempt) *attemptWire {
	if a == (model.Attempt{}) {
		return nil
	}
	return &attemptWire{Request: string(a.Request), Task: a.Task, Number: a.Number}
}

func attemptFromWire(w *attemptWire) model.Attempt {
	if w == nil {
		return model.Attempt{}
	}
	return model.Attempt{Request: model.RequestID(w.Request), Task: w.Task, Number: w.Number}
}
