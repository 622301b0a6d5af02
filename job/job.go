// Package job defines jobs with their steps and tasks, the queues that jobs are submitted to,
// and what workers report about runs.
//
// A job consists of steps and a step of tasks. A run is one execution of a task on a worker;
// the runs of a task have rising numbers. A job with occurrences repeats its steps at fixed
// times.
//
// # Usage
//
//	id, err := job.ParseTaskID("5c0e7a21d94b36f8.0.1.17")
//	step := id.StepID
package job

import (
	"cmp"
	"crypto/sha256"
	"fmt"
	"net"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"fuchsiacross/model"
)

// ID identifies a job. The client chooses it: 16 hexadecimal digits.
type ID string

const idDigits = 16

// ParseID checks the form of a job ID.
func ParseID(text string) (ID, error) {
	if len(text) != idDigits || strings.Trim(text, "0123456789abcdefABCDEF") != "" {
		return "", errors.Errorf("a job's id has %d hexadecimal digits", idDigits)
	}
	return ID(text), nil
}

// WorkerID identifies a worker. Incarnations with the same ID differ in Worker.StartTime.
type WorkerID string

// StepID identifies a step in one occurrence of a job.
type StepID struct {
	Job        ID
	Occurrence int64
	Step       int
}

func (s StepID) String() string {
	return string(s.Job) + "." + strconv.FormatInt(s.Occurrence, 10) + "." + strconv.Itoa(s.Step)
}

// Compare orders steps by job, occurrence and number.
func (s StepID) Compare(other StepID) int {
	return cmp.Or(
		cmp.Compare(s.Job, other.Job), cmp.Compare(s.Occurrence, other.Occurrence), cmp.Compare(s.Step, other.Step),
	)
}

// TaskID identifies a task of a step.
type TaskID struct {
	StepID
	Index int
}

func (t TaskID) String() string { return t.StepID.String() + "." + strconv.Itoa(t.Index) }

// ParseTaskID parses the text form of a TaskID.
func ParseTaskID(text string) (TaskID, error) {
	parts := strings.Split(text, ".")
	if len(parts) != 4 {
		return TaskID{}, errors.Errorf("task name %q has %d parts, want 4", text, len(parts))
	}
	occurrence, err := strconv.ParseInt(parts[1], 10, 64)
	if err != nil {
		return TaskID{}, errors.Wrap(err, "occurrence")
	}
	step, err := strconv.Atoi(parts[2])
	if err != nil {
		return TaskID{}, errors.Wrap(err, "step")
	}
	index, err := strconv.Atoi(parts[3])
	if err != nil {
		return TaskID{}, errors.Wrap(err, "index")
	}
	return TaskID{StepID{ID(parts[0]), occurrence, step}, index}, nil
}

// Definition is the part of a job that the client submits.
type Definition struct {
	Spec                 string
	Steps                []Step
	Occurrences          int64 // zero for a job that runs once
	FirstDueMilliseconds int64 // due time of the first occurrence, since 1970
	IntervalMilliseconds int64 // between two occurrences
}

// String summarises the steps for logs: tasks, demand, estimate and placement constraints.
func (d *Definition) String() string {
	var b strings.Builder
	for i := range d.Steps {
		if i > 0 {
			b.WriteString("; ")
		}
		s := &d.Steps[i]
		fmt.Fprintf(&b, "%d x %dm %dMB %.0fms", s.Tasks, s.Demand.MilliCPU, s.Demand.MemoryBytes>>20, s.EstimateMilliseconds)
		properties := []struct {
			set  bool
			name string
		}{
			{s.Gang, "gang"},
			{s.SameRack, "same-rack"},
			{s.Checkpoints, "checkpoints"},
			{s.Speculative, "speculative"},
			{s.LongRunning, "long-running"},
			{s.Fills, "fills"},
			{s.RequiredLabel != "", "label=" + s.RequiredLabel},
			{s.DataRack != "", "data=" + s.DataRack},
			{s.MaxPerWorker > 0, "spread=" + strconv.Itoa(s.MaxPerWorker)},
		}
		if s.TargetMilliseconds > 0 {
			fmt.Fprintf(&b, " target=%.0fms", s.TargetMilliseconds)
		}
		for _, p := range properties {
			if p.set {
				b.WriteString(" " + p.name)
			}
		}
	}
	return b.String()
}

// Step is a set of tasks with equal demands.
type Step struct {
	Tasks                int
	Demand               model.Resources
	EstimateMilliseconds float64
	After                []int // indexes of the steps that must be complete first
	Checkpoints          bool
	Gang                 bool // the tasks run together or not at all
	SameRack             bool
	RequiredLabel        string
	DataRack             string
	MaxPerWorker         int // zero means no limit
	Speculative          bool
	LongRunning          bool // runs until cancelled; restarted however it ends
	Fills                bool // a filler: uses processors that other tasks leave idle
	// TargetMilliseconds limits the tail of the response times of a service, a long-running
	// task with users of its own; zero means no limit.
	TargetMilliseconds float64
}

// Allocation returns the resources that a task of the step takes from a worker's capacity. A
// filler takes no processors.
func (s *Step) Allocation() model.Resources {
	r := s.Demand
	if s.Fills {
		r.MilliCPU = 0
	}
	return r
}

// Job is a job that was submitted to a queue.
type Job struct {
	ID         ID
	Queue      string
	Pool       string
	AcceptedAt time.Time
	Version    int64 // of its row in the store; zero if it is not known to be stored
	Definition Definition
	// Tenant is the name of the tenant that submitted the job; empty if it has none.
	Tenant string
	// Policy is the queue at the time of acceptance. It applies once the queue is no longer
	// configured. Jobs that were stored by earlier versions have none.
	Policy *Queue
}

// IsVisible reports whether requests of a tenant may see and change the jobs of an owner. A job
// without an owner is visible to every request, and a request without a tenant sees only such
// jobs.
func IsVisible(owner, tenant string) bool { return owner == "" || owner == tenant }

// Queue is the operator's policy for the jobs of one route, a host and a path prefix.
type Queue struct {
	Name                     string
	Host                     string
	Prefix                   string
	Pool                     string
	Priority                 int64 // zero is the highest
	MaxAttempts              int64
	Stretch                  float64 // factor on the estimated time in the objective of a job
	LatencyMilliseconds      int64   // added to the objective of a job
	RequiresAdvice           bool    // tasks need a ticket from the advice service
	AdviceCallMilliseconds   float64 // expected time of a call for advice
	AdviceWorkerMilliseconds float64 // added for each worker named in a call
	TicketMilliseconds       float64 // validity of a ticket
	Public                   bool    // requests need no key of a tenant
}

// Tenant is a customer that shares the workers with others.
type Tenant struct {
	Name       string
	KeyDigests [][sha256.Size]byte // of the keys that its requests carry
	Weight     float64             // its share of full workers relative to that of others; also the jobs a second that it is entitled to
	Limit      model.Resources     // what may run at once on all workers; zero fields mean no limit
}

// Configuration is one version of the operator's configuration.
type Configuration struct {
	Version      int64
	MaxBodyBytes int64
	Queues       []Queue
	Tenants      []Tenant
}

// Route returns the queue of a request's host with the longest prefix that matches a path. The
// case of hosts does not matter, and the port only for a queue whose host has one.
func (c *Configuration) Route(host, path string) (Queue, bool) {
	name := host
	if withoutPort, _, err := net.SplitHostPort(host); err == nil {
		name = withoutPort
	}
	best := -1
	for i := range c.Queues {
		q := &c.Queues[i]
		if (strings.EqualFold(q.Host, name) || strings.EqualFold(q.Host, host)) && strings.HasPrefix(path, q.Prefix) &&
			(best < 0 || len(q.Prefix) > len(c.Queues[best].Prefix)) {
			best = i
		}
	}
	if best < 0 {
		return Queue{}, false
	}
	return c.Queues[best], true
}

// Worker is a worker's registration.
type Worker struct {
	ID         WorkerID
	Pool       string
	Address    netip.AddrPort
	DataCentre model.DataCentre
	Rack       string
	Labels     []string
	Capacity   model.Resources
	Leaving    bool
	LeavesAt   time.Time // earliest departure of a leaving worker; zero if unknown
	StartTime  int64     // distinguishes incarnations with the same ID
}

// String summarises for logs the properties that determine the worker's use.
func (w *Worker) String() string {
	return fmt.Sprintf("%s in %s at %s, start time %d: %dm %dMB, labels %s", w.Pool, w.DataCentre, w.Address, w.StartTime,
		w.Capacity.MilliCPU, w.Capacity.MemoryBytes>>20, strings.Join(w.Labels, ","))
}

// Ticket is the advice service's permission to run a step on a worker.
type Ticket struct {
	Worker WorkerID
	Value  string
}

// Rejection is the reason why a worker did not execute an order.
type Rejection string

// Reasons for a rejection, as they appear in the log.
const (
	RejectedStaleToken    Rejection = "higher token seen"
	RejectedStaleRun      Rejection = "run too old"
	RejectedDeadline      Rejection = "deadline passed"
	RejectedNoCapacity    Rejection = "no room"
	RejectedInvalidTicket Rejection = "ticket not valid"
)

// EndKind is how a run ended.
type EndKind string

// Kinds of ends, as workers report them.
const (
	EndDone           EndKind = "done"
	EndFailed         EndKind = "failed"
	EndStopped        EndKind = "stopped"
	EndLapsed         EndKind = "lapsed"
	EndGangBroken     EndKind = "broken" // another member of the gang ended
	EndGangIncomplete EndKind = "alone"  // the other members of the gang did not start in time
)

// ActiveRun is a run that a worker lists as running.
type ActiveRun struct {
	Task                       TaskID
	Run                        int64
	Checkpoint                 string
	Percent                    float64
	TailMillisecondsOrMilliCPU float64 // tail latency of a service, processor use of other runs
}

// EndedRun is a run that a worker lists as ended.
type EndedRun struct {
	Number     int64 // rises with each end on an incarnation of the worker
	Task       TaskID
	Run        int64
	Kind       EndKind
	Checkpoint string
}

// WorkerSnapshot is what a worker reports about its runs at one moment.
type WorkerSnapshot struct {
	Clock     int64 // reading of the worker's clock, in milliseconds
	StartTime int64 // of the worker's incarnation
	Running   []ActiveRun
	Ended     []EndedRun
	MoreEnds  bool      // Ended lists only the oldest ends
	Rejection Rejection // empty unless the token was refused
}

// State is the state of a job that clients see.
type State string

// States of a job.
const (
	StateQueued    State = "queued"
	StateRunning   State = "running"
	StateCompleted State = "completed"
	StateFailed    State = "failed"
	StateCancelled State = "cancelled"
)

// Final reports whether the state can no longer change.
func (s State) Final() bool {
	return s == StateCompleted || s == StateFailed || s == StateCancelled
}

// Outcome classifies the answer to a client's request.
type Outcome string

// Outcomes of requests.
const (
	OutcomeDone      Outcome = "done"
	OutcomeRefused   Outcome = "refused"  // not accepted; never runs
	OutcomeOverload  Outcome = "overload" // refused for lack of capacity
	OutcomeUnknown   Outcome = "unknown"
	OutcomeNoJob     Outcome = "no_job"
	OutcomeNoQueue   Outcome = "no_queue"
	OutcomeMalformed Outcome = "malformed"
	// OutcomeUnauthorized is a request that lacks a valid key of a tenant.
	OutcomeUnauthorized Outcome = "unauthorized"
	// OutcomeConflict is a job that was not accepted, because another tenant's job has its ID.
	OutcomeConflict Outcome = "conflict"
)

// Response is the answer to a client's request.
type Response struct {
	Outcome        Outcome
	Reason         string
	RetryAfter     time.Duration
	State          State
	RetryElsewhere bool // another instance may be able to serve the request
	HasPending     bool // Pending is set
	Pending        int64
}
