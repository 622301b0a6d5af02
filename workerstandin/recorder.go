package workerstandin

import (
	"fmt"
	"sync"
	"time"

	"fuchsiacross/model"
)

// EntryKind is the kind of an event that a Worker recorded.
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

// Entry is one event that a Worker recorded. Attempt and the fields after it are
// zero where they do not apply.
type Entry struct {
	At         time.Time
	Kind       EntryKind
	Worker     model.WorkerID
	Term       model.Term // of the start, or the worker's last grant
	Holder     model.InstanceID
	Attempt    model.Attempt
	TaskKind   model.Kind
	Idempotent bool
	Resources  model.Resources
	Detail     string
}

// Violation is an action of a scheduler that breaks a Rule.
type Violation struct {
	At      time.Time
	Rule    Rule
	Worker  model.WorkerID
	Attempt model.Attempt
	Detail  string
}

// Rule is a rule of the protocol that a correct scheduler keeps.
type Rule string

// The rules, each with the event that breaks it.
const (
	RuleOvercommitted     Rule = "overcommitted"      // a start that exceeds the free capacity of the worker
	RuleConcurrentRuns    Rule = "two_places"         // a task that is not idempotent ran more than once at the same time
	RuleStartedTwice      Rule = "started_twice"      // a task that is not idempotent and not a service started again
	RuleAttemptReused     Rule = "attempt_reused"     // a start of an attempt that the worker already has
	RuleStartWhenLeaving  Rule = "start_when_leaving" // a start after the grace period of a leaving worker
	RuleStaleTerm         Rule = "older_term"         // a start whose term is not that of the current lease
	RuleFencedAttempt     Rule = "fenced_attempt"     // a start of an attempt that is blocked: fenced, refused or acknowledged
	RuleRevisionDecreased Rule = "revision_down"      // a holder sent a lower document revision than before
)

// taskKey identifies a task of a request across all its attempts.
type taskKey struct {
	request model.RequestID
	task    uint32
}

// Recorder collects the entries and violations of one or more workers. It is safe
// for concurrent use.
type Recorder struct {
	mu            sync.Mutex
	entries       []Entry
	violations    []Violation
	startCounts   map[taskKey]int // total starts of tasks that are not idempotent
	runningCounts map[taskKey]int // running attempts of tasks that are not idempotent
	maxRevisions  map[holderKey]model.Revision
}

// holderKey identifies one incarnation of a lease holder at one worker. A holder's
// sessions are not ordered relative to each other, so revisions are compared only
// within one key.
type holderKey struct {
	worker      model.WorkerID
	holder      model.InstanceID
	incarnation model.Incarnation
}

// NewRecorder returns an empty recorder.
func NewRecorder() *Recorder {
	return &Recorder{
		startCounts:   map[taskKey]int{},
		runningCounts: map[taskKey]int{},
		maxRevisions:  map[holderKey]model.Revision{},
	}
}

// Entries returns all entries in the order in which they were recorded.
func (r *Recorder) Entries() []Entry {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Entry(nil), r.entries...)
}

// Violations returns all violations in the order in which they were recorded.
func (r *Recorder) Violations() []Violation {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Violation(nil), r.violations...)
}

// StartsOf returns the starts of a request's tasks at all workers.
func (r *Recorder) StartsOf(id model.RequestID) []Entry {
	return r.filterEntries(EntryStarted, id)
}

// EntriesOfKind returns the entries of one kind in the order in which they were
// recorded.
func (r *Recorder) EntriesOfKind(kind EntryKind) []Entry {
	return r.filterEntries(kind, "")
}

// filterEntries returns the entries of a kind that belong to a request, or to any
// request if id is empty.
func (r *Recorder) filterEntries(kind EntryKind, id model.RequestID) []Entry {
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

func (r *Recorder) addEntry(e Entry) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.entries = append(r.entries, e)
}

func (r *Recorder) addViolation(v Violation) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.violations = append(r.violations, v)
}

// recordStart records a start and checks the rules that span workers. A service
// whose worker was lost may start again; any other task that is not idempotent
// may start only once.
func (r *Recorder) recordStart(e Entry) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.entries = append(r.entries, e)
	if e.Idempotent {
		return
	}
	key := taskKey{e.Attempt.Request, e.Attempt.Task}
	r.startCounts[key]++
	r.runningCounts[key]++
	if n := r.runningCounts[key]; n > 1 {
		r.violations = append(r.violations, Violation{
			At: e.At, Rule: RuleConcurrentRuns, Worker: e.Worker, Attempt: e.Attempt,
			Detail: fmt.Sprintf("runs %d times at once", n),
		})
	}
	if n := r.startCounts[key]; n > 1 && e.TaskKind != model.KindService {
		r.violations = append(r.violations, Violation{
			At: e.At, Rule: RuleStartedTwice, Worker: e.Worker, Attempt: e.Attempt,
			Detail: fmt.Sprintf("started %d times", n),
		})
	}
}

// recordEnd records the end of a started attempt.
func (r *Recorder) recordEnd(e Entry) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.entries = append(r.entries, e)
	if !e.Idempotent {
		r.runningCounts[taskKey{e.Attempt.Request, e.Attempt.Task}]--
	}
}

// checkRevision checks that the document revision that one incarnation of a
// holder sends does not decrease. Another holder may send a lower revision: it
// has an older document until it has fetched the revision named in the grant.
func (r *Recorder) checkRevision(w model.WorkerID, holder model.InstanceID, incarnation model.Incarnation, revision model.Revision) {
	r.mu.Lock()
	defer r.mu.Unlock()
	key := holderKey{w, holder, incarnation}
	if previous := r.maxRevisions[key]; revision < previous {
		r.violations = append(r.violations, Violation{
			At: time.Now(), Rule: RuleRevisionDecreased, Worker: w,
			Detail: fmt.Sprintf("%s went from revision %d to %d", holder, previous, revision),
		})
	}
	r.maxRevisions[key] = max(r.maxRevisions[key], revision)
}
