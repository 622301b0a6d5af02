package jobstore

import (
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"

	"fuchsiacross/dispatch"
	"fuchsiacross/job"
	"fuchsiacross/model"
)

type wireJob struct {
	Queue                string     `cbor:"1,keyasint"`
	Pool                 string     `cbor:"2,keyasint"`
	AcceptedAt           int64      `cbor:"3,keyasint"` // Unix milliseconds
	Spec                 string     `cbor:"4,keyasint"`
	Steps                []wireStep `cbor:"5,keyasint"`
	Occurrences          int64      `cbor:"6,keyasint,omitempty"`
	FirstDueMilliseconds int64      `cbor:"7,keyasint,omitempty"`
	IntervalMilliseconds int64      `cbor:"8,keyasint,omitempty"`
	ID                   string     `cbor:"9,keyasint"`

	Policy *wirePolicy `cbor:"10,keyasint,omitempty"`
	Tenant string      `cbor:"11,keyasint,omitempty"`
}

// wireCancellation is the cancellation of a job by a tenant. A cancellation without a tenant
// is encoded as cancellationWithoutTenant.
type wireCancellation struct {
	Tenant string `cbor:"1,keyasint"`
}

// cancellationWithoutTenant is the form in which all cancellations were stored before there
// were tenants.
var cancellationWithoutTenant = []byte{1}

func encodeCancellation(tenant string) ([]byte, error) {
	if tenant == "" {
		return cancellationWithoutTenant, nil
	}
	return encode(wireCancellation{Tenant: tenant}, "encode cancellation")
}

// decodeCancellation returns the tenant of a cancellation. One that cannot be decoded counts
// as one without a tenant.
func decodeCancellation(data []byte) (tenant string) {
	var w wireCancellation
	if err := cbor.Unmarshal(data, &w); err != nil {
		return ""
	}
	return w.Tenant
}

// ownerOf returns the tenant of an encoded job. A job that cannot be decoded, and thus never
// runs, has none.
func ownerOf(data []byte) string {
	var w struct {
		Tenant string `cbor:"11,keyasint"`
	}
	if err := cbor.Unmarshal(data, &w); err != nil {
		return ""
	}
	return w.Tenant
}

// wirePolicy is the policy of a job's queue. Host and prefix of the queue only concern its
// requests.
type wirePolicy struct {
	Priority                 int64   `cbor:"1,keyasint,omitempty"`
	MaxAttempts              int64   `cbor:"2,keyasint"`
	Stretch                  float64 `cbor:"3,keyasint,omitempty"`
	LatencyMilliseconds      int64   `cbor:"4,keyasint,omitempty"`
	RequiresAdvice           bool    `cbor:"5,keyasint,omitempty"`
	AdviceCallMilliseconds   float64 `cbor:"6,keyasint,omitempty"`
	AdviceWorkerMilliseconds float64 `cbor:"7,keyasint,omitempty"`
	TicketMilliseconds       float64 `cbor:"8,keyasint,omitempty"`
}

func encodePolicy(q *job.Queue) *wirePolicy {
	if q == nil {
		return nil
	}
	return &wirePolicy{
		Priority: q.Priority, MaxAttempts: q.MaxAttempts, Stretch: q.Stretch, LatencyMilliseconds: q.LatencyMilliseconds,
		RequiresAdvice: q.RequiresAdvice, AdviceCallMilliseconds: q.AdviceCallMilliseconds,
		AdviceWorkerMilliseconds: q.AdviceWorkerMilliseconds, TicketMilliseconds: q.TicketMilliseconds,
	}
}

func decodePolicy(w *wirePolicy, j *job.Job) *job.Queue {
	if w == nil {
		return nil
	}
	return &job.Queue{
		Name: j.Queue, Pool: j.Pool, Priority: w.Priority, MaxAttempts: w.MaxAttempts, Stretch: w.Stretch, LatencyMilliseconds: w.LatencyMilliseconds,
		RequiresAdvice: w.RequiresAdvice, AdviceCallMilliseconds: w.AdviceCallMilliseconds,
		AdviceWorkerMilliseconds: w.AdviceWorkerMilliseconds, TicketMilliseconds: w.TicketMilliseconds,
	}
}

type wireStep struct {
	Tasks                int     `cbor:"1,keyasint"`
	MilliCPU             int64   `cbor:"2,keyasint"`
	MemoryBytes          int64   `cbor:"3,keyasint"`
	Accelerators         int64   `cbor:"4,keyasint,omitempty"`
	EstimateMilliseconds float64 `cbor:"5,keyasint"`
	After                []int   `cbor:"6,keyasint,omitempty"`
	Flags                int     `cbor:"7,keyasint,omitempty"`
	RequiredLabel        string  `cbor:"8,keyasint,omitempty"`
	DataRack             string  `cbor:"9,keyasint,omitempty"`
	MaxPerWorker         int     `cbor:"10,keyasint,omitempty"`
	TargetMilliseconds   float64 `cbor:"11,keyasint,omitempty"`
}

// Bits of wireStep.Flags.
const (
	flagCheckpoints = 1 << iota
	flagGang
	flagSameRack
	flagSpeculative
	flagLongRunning
	flagFills
)

// flagFields pairs each flag bit with a pointer to the field of s that it encodes.
func flagFields(s *job.Step) []struct {
	bit   int
	value *bool
} {
	return []struct {
		bit   int
		value *bool
	}{
		{flagCheckpoints, &s.Checkpoints},
		{flagGang, &s.Gang},
		{flagSameRack, &s.SameRack},
		{flagSpeculative, &s.Speculative},
		{flagLongRunning, &s.LongRunning},
		{flagFills, &s.Fills},
	}
}

// EncodeJob returns the CBOR encoding of a job, as it is stored.
func EncodeJob(j job.Job) ([]byte, error) {
	d := &j.Definition
	w := wireJob{
		ID: string(j.ID), Queue: j.Queue, Pool: j.Pool, AcceptedAt: j.AcceptedAt.UnixMilli(), Spec: d.Spec,
		Occurrences: d.Occurrences, FirstDueMilliseconds: d.FirstDueMilliseconds, IntervalMilliseconds: d.IntervalMilliseconds,
		Policy: encodePolicy(j.Policy), Tenant: j.Tenant,
	}
	for i := range d.Steps {
		s := &d.Steps[i]
		ws := wireStep{
			Tasks: s.Tasks, MilliCPU: s.Demand.MilliCPU, MemoryBytes: s.Demand.MemoryBytes,
			Accelerators: s.Demand.Accelerators, EstimateMilliseconds: s.EstimateMilliseconds, After: s.After,
			RequiredLabel: s.RequiredLabel, DataRack: s.DataRack, MaxPerWorker: s.MaxPerWorker, TargetMilliseconds: s.TargetMilliseconds,
		}
		for _, f := range flagFields(s) {
			if *f.value {
				ws.Flags |= f.bit
			}
		}
		w.Steps = append(w.Steps, ws)
	}
	return encode(w, "encode job")
}

// DecodeJob decodes and validates the output of EncodeJob. It leaves Version unset.
func DecodeJob(data []byte) (job.Job, error) {
	var w wireJob
	if err := cbor.Unmarshal(data, &w); err != nil {
		return job.Job{}, errors.Wrap(err, "decode job")
	}
	j := job.Job{
		ID: job.ID(w.ID), Queue: w.Queue, Pool: w.Pool, AcceptedAt: time.UnixMilli(w.AcceptedAt), Tenant: w.Tenant,
		Definition: job.Definition{
			Spec: w.Spec, Occurrences: w.Occurrences,
			FirstDueMilliseconds: w.FirstDueMilliseconds, IntervalMilliseconds: w.IntervalMilliseconds,
		},
	}
	j.Policy = decodePolicy(w.Policy, &j)
	for _, ws := range w.Steps {
		s := job.Step{
			Tasks: ws.Tasks, EstimateMilliseconds: ws.EstimateMilliseconds, After: ws.After,
			Demand: model.Resources{
				MilliCPU: ws.MilliCPU, MemoryBytes: ws.MemoryBytes, Accelerators: ws.Accelerators,
			},
			RequiredLabel: ws.RequiredLabel, DataRack: ws.DataRack, MaxPerWorker: ws.MaxPerWorker, TargetMilliseconds: ws.TargetMilliseconds,
		}
		for _, f := range flagFields(&s) {
			*f.value = ws.Flags&f.bit != 0
		}
		j.Definition.Steps = append(j.Definition.Steps, s)
	}
	if err := j.Definition.Validate(); err != nil {
		return job.Job{}, errors.Wrap(err, "decode job")
	}
	return j, nil
}

type wireProgress struct {
	State     string             `cbor:"1,keyasint,omitempty"`
	Started   bool               `cbor:"2,keyasint,omitempty"`
	Steps     []wireStepProgress `cbor:"3,keyasint,omitempty"`
	Completed []int64            `cbor:"4,keyasint,omitempty"` // first and last occurrence of each range
}

type wireStepProgress struct {
	Occurrence     int64           `cbor:"1,keyasint,omitempty"`
	Step           int             `cbor:"2,keyasint,omitempty"`
	Done           []byte          `cbor:"3,keyasint,omitempty"`
	Failures       map[int][]int64 `cbor:"4,keyasint,omitempty"`
	AllowedWorkers []string        `cbor:"5,keyasint,omitempty"`
	DeniedWorkers  []string        `cbor:"6,keyasint,omitempty"`
	Starts         []wireStart     `cbor:"7,keyasint,omitempty"`
}

type wireStart struct {
	_      struct{} `cbor:",toarray"`
	Index  int
	Run    int64
	Worker string
}

// EncodeProgress returns the CBOR encoding of a part of a job's progress, as it is stored.
func EncodeProgress(p dispatch.Progress) ([]byte, error) {
	w := wireProgress{State: string(p.State), Started: p.Started}
	for _, r := range p.CompletedOccurrences {
		w.Completed = append(w.Completed, r.First, r.Last)
	}
	for _, s := range p.Steps {
		ws := wireStepProgress{Occurrence: s.Occurrence, Step: s.Step, Done: s.Done, AllowedWorkers: workerIDStrings(s.AllowedWorkers), DeniedWorkers: workerIDStrings(s.DeniedWorkers)}
		for _, f := range s.Failures {
			if ws.Failures == nil {
				ws.Failures = map[int][]int64{}
			}
			ws.Failures[f.Index] = f.Runs
		}
		for _, start := range s.Starts {
			ws.Starts = append(ws.Starts, wireStart{Index: start.Index, Run: start.Run, Worker: string(start.Worker)})
		}
		w.Steps = append(w.Steps, ws)
	}
	return encode(w, "encode progress")
}

// DecodeProgress decodes a part of the progress of a job.
func DecodeProgress(part dispatch.ProgressPart, data []byte) (dispatch.Progress, error) {
	var w wireProgress
	if err := cbor.Unmarshal(data, &w); err != nil {
		return dispatch.Progress{}, errors.Wrap(err, "decode progress")
	}
	p := dispatch.Progress{ID: part.ID, Part: part.Part, State: job.State(w.State), Started: w.Started}
	if len(w.Completed)%2 != 0 {
		return dispatch.Progress{}, errors.New("decode progress: a range of occurrences has no end")
	}
	for bounds := range slices.Chunk(w.Completed, 2) {
		p.CompletedOccurrences = append(p.CompletedOccurrences, dispatch.OccurrenceRange{First: bounds[0], Last: bounds[1]})
	}
	for _, ws := range w.Steps {
		s := dispatch.StepProgress{Occurrence: ws.Occurrence, Step: ws.Step, Done: ws.Done, AllowedWorkers: workerIDs(ws.AllowedWorkers), DeniedWorkers: workerIDs(ws.DeniedWorkers)}
		for index, runs := range ws.Failures {
			s.Failures = append(s.Failures, dispatch.TaskFailures{Index: index, Runs: runs})
		}
		for _, start := range ws.Starts {
			s.Starts = append(s.Starts, dispatch.StartRecord{Index: start.Index, Run: start.Run, Worker: job.WorkerID(start.Worker)})
		}
		p.Steps = append(p.Steps, s)
	}
	return p, nil
}

// partSeparator separates the job's id from the number of a part in the keys of all parts of
// its progress but the first.
const partSeparator = "/"

// progressKey returns the key of the row of a part of a job's progress.
func progressKey(p dispatch.ProgressPart) string {
	if p.Part == 0 {
		return string(p.ID)
	}
	return string(p.ID) + partSeparator + strconv.Itoa(p.Part)
}

func parseProgressKey(key string) (dispatch.ProgressPart, error) {
	id, number, found := strings.Cut(key, partSeparator)
	part := dispatch.ProgressPart{ID: job.ID(id)}
	if !found {
		return part, nil
	}
	n, err := strconv.Atoi(number)
	if err != nil || n < 1 {
		return part, errors.Errorf("key of progress %q has no number of a part", key)
	}
	part.Part = n
	return part, nil
}

func workerIDStrings(ids []job.WorkerID) []string {
	var list []string
	for _, id := range ids {
		list = append(list, string(id))
	}
	return list
}

func workerIDs(list []string) []job.WorkerID {
	var ids []job.WorkerID
	for _, text := range list {
		ids = append(ids, job.WorkerID(text))
	}
	return ids
}

// wireWorker holds what a new leader needs to query a worker whose registration is
// missing.
type wireWorker struct {
	Pool       string `cbor:"1,keyasint"`
	Address    string `cbor:"2,keyasint"`
	StartTime  int64  `cbor:"3,keyasint,omitempty"`
	StrayLease bool   `cbor:"4,keyasint,omitempty"`
}

func encodeEnrolment(e dispatch.Enrolment) ([]byte, error) {
	return encode(wireWorker{Pool: e.Worker.Pool, Address: e.Worker.Address.String(), StartTime: e.Worker.StartTime, StrayLease: e.StrayLease}, "encode worker")
}

func decodeEnrolment(id string, data []byte) (dispatch.Enrolment, error) {
	var w wireWorker
	if err := cbor.Unmarshal(data, &w); err != nil {
		return dispatch.Enrolment{}, errors.Wrap(err, "decode worker")
	}
	address, err := netip.ParseAddrPort(w.Address)
	if err != nil {
		return dispatch.Enrolment{}, errors.Wrap(err, "parse worker address")
	}
	return dispatch.Enrolment{
		Worker:     job.Worker{ID: job.WorkerID(id), Pool: w.Pool, Address: address, StartTime: w.StartTime},
		StrayLease: w.StrayLease,
	}, nil
}

type wireLeader struct {
	Name              string `cbor:"1,keyasint"`
	Incarnation       int64  `cbor:"2,keyasint"`
	Token             int64  `cbor:"3,keyasint"`
	Sequence          int64  `cbor:"4,keyasint"`
	Released          bool   `cbor:"5,keyasint,omitempty"`
	ClockMilliseconds int64  `cbor:"6,keyasint,omitempty"` // store's clock at the time of writing, in milliseconds
}

// LeaderRow names the leader of a shard. Its version changes with each save, so that
// a claim fails while the leader is alive, and a save fails after another instance's
// claim.
type LeaderRow struct {
	Name        string
	Incarnation int64     // distinguishes successive processes with the same name
	Token       int64     // increases with each claim
	Sequence    int64     // number of the leader's last write of this row
	Released    bool      // the leader has released the leadership
	WrittenAt   time.Time // in this machine's clock; set when the row is read, zero if unknown
}

// encodeLeader encodes the row together with the current reading of the store's clock.
func encodeLeader(l LeaderRow, clock time.Duration) ([]byte, error) {
	return encode(wireLeader{
		Name: l.Name, Incarnation: l.Incarnation, Token: l.Token, Sequence: l.Sequence, Released: l.Released, ClockMilliseconds: clock.Milliseconds(),
	}, "encode leader")
}

func decodeLeader(data []byte) (LeaderRow, time.Duration, error) {
	var w wireLeader
	if err := cbor.Unmarshal(data, &w); err != nil {
		return LeaderRow{}, 0, errors.Wrap(err, "decode leader")
	}
	l := LeaderRow{Name: w.Name, Incarnation: w.Incarnation, Token: w.Token, Sequence: w.Sequence, Released: w.Released}
	return l, time.Duration(w.ClockMilliseconds) * time.Millisecond, nil
}

func encode(w any, action string) ([]byte, error) {
	data, err := cbor.Marshal(w)
	if err != nil {
		return nil, errors.Wrap(err, action)
	}
	return data, nil
}
