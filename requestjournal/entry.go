package requestjournal

import (
	"time"

	"fuchsiacross/model"
)

// Entry is the state of one request according to the durable journal. It is read-only
// outside this package. In a tombstone only IsTombstone and TombstoneAt are set.
type Entry struct {
	Request     *model.Request // without its body after the request is settled
	AcceptedAt  time.Time
	Attempts    []AttemptEntry // in the order of their first records
	Outcome     *model.Outcome
	SettledAt   time.Time
	IsTombstone bool
	TombstoneAt time.Time
}

// AttemptEntry is one attempt at a task. Worker and At are zero if the result was not
// preceded by an intent, as in requests that may run more than once.
type AttemptEntry struct {
	Attempt           model.Attempt
	Worker            model.WorkerID
	WorkerIncarnation model.Incarnation // of Worker when the intent was recorded
	At                time.Time
	Result            *model.TaskResult // nil until it is known
	NotRun            bool              // the attempt is known not to have run
}

// addIntent applies the intent of an attempt. Later intents of the attempt have no
// effect.
func (e *Entry) addIntent(r Record) {
	for i := range e.Attempts {
		if e.Attempts[i].Attempt != r.Attempt {
			continue
		}
		if e.Attempts[i].Worker == "" {
			e.Attempts[i].Worker, e.Attempts[i].WorkerIncarnation, e.Attempts[i].At = r.Worker, r.WorkerIncarnation, r.At
		}
		return
	}
	e.Attempts = append(e.Attempts, AttemptEntry{Attempt: r.Attempt, Worker: r.Worker, WorkerIncarnation: r.WorkerIncarnation, At: r.At})
}

// setResult applies the result of an attempt; nil means that the attempt is known not
// to have run. Later results of the attempt have no effect.
func (e *Entry) setResult(attempt model.Attempt, result *model.TaskResult) {
	for i := range e.Attempts {
		if e.Attempts[i].Attempt != attempt {
			continue
		}
		if e.Attempts[i].Result == nil && !e.Attempts[i].NotRun {
			e.Attempts[i].Result = result
			e.Attempts[i].NotRun = result == nil
		}
		return
	}
	e.Attempts = append(e.Attempts, AttemptEntry{Attempt: attempt, Result: result, NotRun: result == nil})
}

// setOutcome applies an outcome and reports whether it took effect. The first outcome
// is final, unless it is unknown: a worker that comes back may replace it. The body is
// dropped, because a settled request never runs again and duplicates are compared by
// digest.
func (e *Entry) setOutcome(at time.Time, outcome *model.Outcome) bool {
	if e.Outcome != nil && e.Outcome.Status != model.StatusUnknown {
		return false
	}
	e.Outcome = outcome
	e.SettledAt = at
	if e.Request != nil && e.Request.Body != nil {
		request := *e.Request
		request.Body = nil
		e.Request = &request
	}
	return true
}

// appendRecords appends the fewest records that replay to the entry.
func (e *Entry) appendRecords(id model.RequestID, records []Record) []Record {
	if e.IsTombstone {
		return append(records, Record{Kind: RecordTombstone, At: e.TombstoneAt, ID: id})
	}
	if e.Request != nil {
		records = append(records, Record{Kind: RecordAccepted, At: e.AcceptedAt, ID: id, Request: e.Request})
	}
	for _, a := range e.Attempts {
		if a.Worker != "" {
			records = append(records, Record{Kind: RecordIntent, At: a.At, ID: id, Attempt: a.Attempt, Worker: a.Worker, WorkerIncarnation: a.WorkerIncarnation})
		}
		if a.Result != nil || a.NotRun {
			records = append(records, Record{Kind: RecordTaskResult, At: a.At, ID: id, Attempt: a.Attempt, Result: a.Result})
		}
	}
	if e.Outcome != nil {
		records = append(records, Record{Kind: RecordOutcome, At: e.SettledAt, ID: id, Outcome: e.Outcome})
	}
	return records
}
