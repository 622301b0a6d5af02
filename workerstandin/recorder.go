package workerstandin

import (
	"fmt"
	"sync"
	"time"

	"fuchsiacross/model"
)

// EntryKind names what a Worker observed.
type EntryKind string

// The kinds of entries.
const (
	EntryGranted    EntryKind = "granted"
	EntryDenied     EntryKind = "denied"
	EntryReleased   EntryKind = "released"
	EntryStarted    EntryKind = "started"
	EntryRefused    EntryKind = "refused"
	EntryFinished   EntryKind = "finished"
	EntryFailed     EntryKind = "failed"
	EntryStopped    EntryKind = "stopped"
	EntryCheckpoint EntryKind = "checkpoint"
	EntryThrottled  EntryKind = "throttled"
	EntryFenced     EntryKind = "fenced"
	EntryLeaving    EntryKind = "leaving"
	EntryCrashed    EntryKind = "crashed"
)

// Entry is one observation of a Worker. Attempt and what follows are empty
// where they do not apply.
type Entry struct {
	At         time.Time
	Kind       EntryKind
	Worker     model.WorkerID
	Term       model.Term // of the command, or granted
	Holder     model.InstanceID
	Attempt    model.Attempt
	TaskKind   model.Kind
	Idempotent bool
	Resources  model.Resources
	Detail     string
}

// Violation is something that a correct scheduler never does.
type Violation struct {
	At      time.Time
	Rule    Rule
	Worker  model.WorkerID
	Attempt model.Attempt
	Detail  string
}

// Rule names the rule that a Violation breaks.
type Rule string

// The rules.
const (
	RuleOvercommitted    Rule = "overcommitted"      // more reserved than the worker has
	RuleTwoPlaces        Rule = "two_places"         // a task that is not idempotent ran twice at once
	RuleStartedTwice     Rule = "started_twice"      // a task that is not idempotent started again
	RuleAttemptReused    Rule = "attempt_reused"     // an attempt was started again
	RuleStartWhenLeaving Rule = "start_when_leaving" // a start after the grace of a leaving worker
	RuleOlderTerm        Rule = "older_term"         // a start that the current lease does not cover
	RuleFencedAttempt    Rule = "fenced_attempt"     // a start of an attempt that was fenced
	RuleRevisionDown     Rule = "revision_down"      // a holder's document revision went down
)

// taskKey identifies a task of a request over all its attempts.
type taskKey struct {
	request model.RequestID
	task    uint32
}

// Recorder collects what workers observe. It may be shared by many.
type Recorder struct {
	mu         sync.Mutex
	entries    []Entry
	violations []Violation
	started    map[taskKey]int // starts of tasks that are not idempotent
	running    map[taskKey]int // of these, those that run now
	revisions  map[holderKey]model.Revision
}

// holderKey identifies one life of a lease holder at one worker. The sessions
// of a holder are not ordered among each other, so revisions are only compared
// within one.
type holderKey struct {
	worker model.WorkerID
	holder model.InstanceID
	life   model.Incarnation
}

// NewRecorder returns an empty recorder.
func NewRecorder() *Recorder {
	return &Recorder{
		started:   map[taskKey]int{},
		running:   map[taskKey]int{},
		revisions: map[holderKey]model.Revision{},
	}
}

// Entries returns every entry in order.
func (r *Recorder) Entries() []Entry {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Entry(nil), r.entries...)
}

// Violations returns every violation in order.
func (r *Recorder) Violations() []Violation {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Violation(nil), r.violations...)
}

// Starts returns the starts of a request's tasks at all workers.
func (r *Recorder) StartsOf(id model.RequestID) []Entry {
	return r.of(EntryStarted, id)
}

// Of returns the entries of a kind.
func (r *Recorder) EntriesOfKind(kind EntryKind) []Entry {
	return r.of(kind, "")
}

func (r *Recorder) of(kind EntryKind, id model.RequestID) []Entry {
	r.mu.Lock()
	defer r.mu.Unlock()
	var found []Entry
	for _, e := range r.entries {
		if e.Kind == kind && (id == "" || e.Attempt.Request == id) {
			found = append(found, e)
		}
	}
	return found
}

func (r *Recorder) add(e Entry) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.entries = append(r.entries, e)
}

func (r *Recorder) violation(v Violation) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.violations = append(r.violations, v)
}

// start records a start and checks the rules that span workers. A service that
// lost its worker may start again; every other task that is not idempotent
// starts once.
func (r *Recorder) start(e Entry) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.entries = append(r.entries, e)
	if e.Idempotent {
		return
	}
	key := taskKey{e.Attempt.Request, e.Attempt.Task}
	r.started[key]++
	r.running[key]++
	if n := r.running[key]; n > 1 {
		r.violations = append(r.violations, Violation{
			At: e.At, Rule: RuleTwoPlaces, Worker: e.Worker, Attempt: e.Attempt,
			Detail: fmt.Sprintf("runs %d times at once", n),
		})
	}
	if n := r.started[key]; n > 1 && e.TaskKind != model.KindService {
		r.violations = append(r.violations, Violation{
			At: e.At, Rule: RuleStartedTwice, Worker: e.Worker, Attempt: e.Attempt,
			Detail: fmt.Sprintf("started %d times", n),
		})
	}
}

// end records how a started attempt ended.
func (r *Recorder) end(e Entry) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.entries = append(r.entries, e)
	if !e.Idempotent {
		r.running[taskKey{e.Attempt.Request, e.Attempt.Task}]--
	}
}

// revision checks that the document revision of a holder's life does not go
// down. Another holder may know an older document until it has fetched the one
// that the grant names.
func (r *Recorder) revision(w model.WorkerID, holder model.InstanceID, life model.Incarnation, revision model.Revision) {
	r.mu.Lock()
	defer r.mu.Unlock()
	key := holderKey{w, holder, life}
	if before := r.revisions[key]; revision < before {
		r.violations = append(r.violations, Violation{
			At: time.Now(), Rule: RuleRevisionDown, Worker: w,
			Detail: fmt.Sprintf("%s went from revision %d to %d", holder, before, revision),
		})
	}
	r.revisions[key] = max(r.revisions[key], revision)
}
