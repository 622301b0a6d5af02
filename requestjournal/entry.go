package requestjournal

import (
	"time"

	"fuchsiacross/model"
)

// Entry is everything that the durable journal says about one request. It is
// read-only outside this package. After RecordForget only Forgotten and
// ForgottenAt are set.
type Entry struct {
	Request     *model.Request // without its body once the request is settled
	AcceptedAt  time.Time
	Attempts    []AttemptEntry // in the order of their intents
	Outcome     *model.Outcome
	SettledAt   time.Time
	IsTombstone bool
	ForgottenAt time.Time
}

// AttemptEntry is one attempt at a task. Worker and At are zero for a result
// that no intent preceded, as for requests that may run more than once.
type AttemptEntry struct {
	Attempt           model.Attempt
	Worker            model.WorkerID
	WorkerIncarnation model.Incarnation // of the worker at the intent
	At                time.Time
	Result            *model.TaskResult // nil until it is known
	NotRun            bool              // the attempt is known not to have run
}

// addIntent records the first intent of an attempt.
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

// setResult records the first result of an attempt. A nil result says that the
// attempt is known not to have run.
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

// settle records an outcome. The first outcome stands, except that a worker
// which returns may settle an unknown one. The body is dropped, because a
// settled request never runs again and duplicates are compared by digest.
func (e *Entry) settle(at time.Time, outcome *model.Outcome) bool {
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

// records returns the fewest records that replay to the entry.
func (e *Entry) records(id model.RequestID, to []Record) []Record {
	if e.IsTombstone {
		return append(to, Record{Kind: RecordTombstone, At: e.ForgottenAt, ID: id})
	}
	if e.Request != nil {
		to = append(to, Record{Kind: RecordAccepted, At: e.AcceptedAt, ID: id, Request: e.Request})
	}
	for _, a := range e.Attempts {
		if a.Worker != "" {
			to = append(to, Record{Kind: RecordIntent, At: a.At, ID: id, Attempt: a.Attempt, Worker: a.Worker, WorkerIncarnation: a.WorkerIncarnation})
		}
		if a.Result != nil || a.NotRun {
			to = append(to, Record{Kind: RecordTaskResult, At: a.At, ID: id, Attempt: a.Attempt, Result: a.Result})
		}
	}
	if e.Outcome != nil {
		to = append(to, Record{Kind: RecordOutcome, At: e.SettledAt, ID: id, Outcome: e.Outcome})
	}
	return to
}
