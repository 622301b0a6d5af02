package worker

import (
	"fmt"
	"time"

	"google.golang.org/protobuf/types/known/timestamppb"

	"fuchsiacross/event"
	"fuchsiacross/model"
	"fuchsiacross/workerv1"
)

func attemptToWire(a model.Attempt) *workerv1.Attempt {
	return &workerv1.Attempt{RequestId: string(a.Request), Task: a.Task, Number: a.Number}
}

func attemptFromWire(a *workerv1.Attempt) model.Attempt {
	return model.Attempt{Request: model.RequestID(a.GetRequestId()), Task: a.GetTask(), Number: a.GetNumber()}
}

func resourcesToWire(r model.Resources) *workerv1.Resources {
	return &workerv1.Resources{
		MilliCpu: r.MilliCPU, MemoryBytes: r.MemoryBytes,
		Accelerators: r.Accelerators, Slots: r.Slots,
	}
}

func resourcesFromWire(r *workerv1.Resources) model.Resources {
	return model.Resources{
		MilliCPU: r.GetMilliCpu(), MemoryBytes: r.GetMemoryBytes(),
		Accelerators: r.GetAccelerators(), Slots: r.GetSlots(),
	}
}

// startToWire converts a start. It sets the digest of the body only for a stored
// body, since the worker needs the digest only to fetch it.
func startToWire(e event.StartTask) *workerv1.Start {
	r := e.Request
	start := &workerv1.Start{
		Term:       uint64(e.Term),
		Attempt:    attemptToWire(e.Attempt),
		Resources:  resourcesToWire(e.Reserved),
		Team:       string(r.Team),
		Workload:   string(r.Workload),
		Kind:       r.Kind.String(),
		Class:      r.Class.String(),
		Body:       r.Body,
		BodyStored: r.BodyStored,
		Idempotent: r.Idempotent,
	}
	if r.BodyStored {
		start.BodyDigest = r.BodyDigest[:]
	}
	if !r.Deadline.IsZero() {
		start.Deadline = timestamppb.New(ceilToSecond(r.Deadline))
	}
	return start
}

// ceilToSecond rounds a deadline up to a whole second, which saves 6 bytes per
// start. The instance enforces the exact deadline; the worker's copy only limits
// wasted work.
func ceilToSecond(t time.Time) time.Time {
	rounded := t.Truncate(time.Second)
	if rounded.Before(t) {
		rounded = rounded.Add(time.Second)
	}
	return rounded
}

// resultFromWire returns a result and an empty string, or the reason why the
// answer must not be passed on.
func resultFromWire(r *workerv1.Result) (model.TaskResult, string) {
	result := model.TaskResult{
		Succeeded: r.GetSucceeded(),
		Message:   r.GetMessage(),
		Answer:    r.GetAnswer(),
		Digest:    model.DigestOf(r.GetAnswer()),
	}
	sentDigest := r.GetAnswerDigest()
	if len(sentDigest) == 0 && len(result.Answer) == 0 && !result.Succeeded {
		return result, ""
	}
	if len(sentDigest) != len(result.Digest) || model.Digest(sentDigest) != result.Digest {
		return model.TaskResult{}, fmt.Sprintf("answer of %d bytes does not match the worker's digest", len(result.Answer))
	}
	return result, ""
}

func kindFromWire(s string) model.Kind {
	for _, k := range []model.Kind{model.KindRequest, model.KindBatch, model.KindService} {
		if k.String() == s {
			return k
		}
	}
	return 0
}

func classFromWire(s string) model.Class {
	for _, c := range []model.Class{model.ClassUrgent, model.ClassStandard, model.ClassBackground} {
		if c.String() == s {
			return c
		}
	}
	return 0
}

func stateFromWire(s workerv1.TaskState) model.TaskState {
	switch s {
	case workerv1.TaskState_TASK_STATE_NEVER_SEEN:
		return model.TaskNeverSeen
	case workerv1.TaskState_TASK_STATE_RUNNING:
		return model.TaskRunning
	case workerv1.TaskState_TASK_STATE_FINISHED:
		return model.TaskFinished
	case workerv1.TaskState_TASK_STATE_STOPPED:
		return model.TaskStopped
	}
	return 0
}

// reportFromWire returns a report and an empty string, or a report without its
// result and the reason why the result must not be passed on.
func reportFromWire(r *workerv1.TaskReport) (model.TaskReport, string) {
	report := model.TaskReport{
		Attempt:   attemptFromWire(r.GetAttempt()),
		State:     stateFromWire(r.GetState()),
		Resources: resourcesFromWire(r.GetResources()),
		Class:     classFromWire(r.GetClass()),
		Team:      model.Team(r.GetTeam()),
		Workload:  model.Workload(r.GetWorkload()),
		Kind:      kindFromWire(r.GetKind()),
	}
	if r.GetStartedAt() != nil {
		report.StartedAt = r.GetStartedAt().AsTime()
	}
	if report.State != model.TaskFinished {
		return report, ""
	}
	var damage string
	report.Result, damage = resultFromWire(r.GetResult())
	return report, damage
}

func milliseconds[T ~uint32 | ~int64](n T) time.Duration {
	return time.Duration(n) * time.Millisecond
}

func stopToWire(e event.StopTask) *workerv1.Command {
	stop := &workerv1.Stop{Term: uint64(e.Term), Attempt: attemptToWire(e.Attempt), Checkpoint: e.Checkpoint}
	return &workerv1.Command{Command: &workerv1.Command_Stop{Stop: stop}}
}

func throttleToWire(e event.ThrottleTask) *workerv1.Command {
	throttle := &workerv1.Throttle{
		Term: uint64(e.Term), Attempt: attemptToWire(e.Attempt), Limit: resourcesToWire(e.Limit),
	}
	return &workerv1.Command{Command: &workerv1.Command_Throttle{Throttle: throttle}}
}

func fenceToWire(term model.Term, a model.Attempt) *workerv1.Command {
	fence := &workerv1.Fence{Term: uint64(term), Attempt: attemptToWire(a)}
	return &workerv1.Command{Command: &workerv1.Command_Fence{Fence: fence}}
}

func acquireToWire(s *session) *workerv1.Command {
	o := s.client.options
	acquire := &workerv1.Acquire{
		Holder:            string(o.Self),
		HolderIncarnation: uint64(o.Incarnation),
		DocumentRevision:  uint64(s.client.updateHighestRevision()),
		LeaseMilliseconds: uint32(o.LeaseMilliseconds),
	}
	return &workerv1.Command{Command: &workerv1.Command_Acquire{Acquire: acquire}}
}

func renewToWire(term model.Term, revision model.Revision) *workerv1.Command {
	renew := &workerv1.Renew{Term: uint64(term), DocumentRevision: uint64(revision)}
	return &workerv1.Command{Command: &workerv1.Command_Renew{Renew: renew}}
}

func releaseToWire(term model.Term) *workerv1.Command {
	release := &workerv1.Release{Term: uint64(term)}
	return &workerv1.Command{Command: &workerv1.Command_Release{Release: release}}
}

// finishedResultFromWire is like resultFromWire, but accepts that a stopped
// attempt has no result.
func finishedResultFromWire(f *workerv1.Finished) (model.TaskResult, string) {
	if f.GetStopped() && f.GetResult() == nil {
		return model.TaskResult{}, ""
	}
	return resultFromWire(f.GetResult())
}
