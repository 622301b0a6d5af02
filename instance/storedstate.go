package instance

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"fuchsiacross/job"
	"fuchsiacross/link"
	"fuchsiacross/platform/store"
)

// refusalCheckTimeout limits how long a submission that is to be refused waits until it is known
// whether the job is stored.
const refusalCheckTimeout = time.Second

// findState asks the leader for the state of a job, and the store if the leader does not
// know it.
func (i *Instance) findState(deadline time.Time, tenant string, id job.ID) job.Response {
	s := i.shardOf(id)
	a, err := s.callLeader(earlierTime(time.Now().Add(leaderTimeout), deadline), link.Message{Kind: link.KindStatusRequest, Job: id, Tenant: tenant})
	if err == nil && a.Outcome == job.OutcomeNoJob {
		return job.Response{Outcome: job.OutcomeNoJob}
	}
	if err == nil && a.Known {
		return job.Response{Outcome: job.OutcomeDone, State: a.State}
	}
	// The leader may not know the job yet.
	ctx, cancel := context.WithDeadline(i.ctx, deadline)
	defer cancel()
	state, err := s.findStoredState(ctx, deadline, tenant, id)
	switch {
	case err != nil:
		return job.Response{Outcome: job.OutcomeRefused, Reason: "neither the leader nor the store tells the job's state", RetryAfter: storeRetryAfter}
	case state == "":
		return job.Response{Outcome: job.OutcomeNoJob}
	}
	return job.Response{Outcome: job.OutcomeDone, State: state}
}

// findStoredState reads the state of a job from the store. If the store refuses this instance, or does
// not answer it, the leader is asked to read: the store may serve that one.
func (s *shard) findStoredState(ctx context.Context, deadline time.Time, tenant string, id job.ID) (job.State, error) {
	i := s.instance
	canAskLeader := s.leaderReachesStore(time.Now())
	if !canAskLeader || !i.isStoreUnavailable() {
		state, err := s.readStoredState(ctx, tenant, id)
		// The leader's calls count against the same rates.
		if err == nil || !canAskLeader || errors.Is(err, store.ErrThrottled) {
			return state, err
		}
	}
	i.counter("state.relayed").Inc(1)
	return s.askStoredState(deadline, tenant, id)
}

// readStoredState reads the state of a job from the store.
func (s *shard) readStoredState(ctx context.Context, tenant string, id job.ID) (state job.State, err error) {
	if s.instance.keysRequired() {
		state, err = s.jobs.ReadTenantState(ctx, id, tenant)
	} else {
		state, err = s.jobs.ReadState(ctx, id)
	}
	s.instance.recordStoreCall(err)
	return state, err
}

var errStateUnknown = errors.New("the leader cannot read the job's state from the store")

// askStoredState asks the leader to read the state of a job from the store.
func (s *shard) askStoredState(deadline time.Time, tenant string, id job.ID) (job.State, error) {
	a, err := s.callLeader(deadline, link.Message{Kind: link.KindStoredStateRequest, Job: id, Tenant: tenant})
	switch {
	case err != nil:
		return "", err
	case !a.Known:
		return "", errStateUnknown
	}
	return a.State, nil
}

// readStateForMember reads the state of a job from the store for an instance that cannot reach it.
func (l *leadership) readStateForMember(m link.Message, answer func(link.Message)) {
	ctx, cancel := context.WithTimeout(l.ctx, storeTimeout)
	defer cancel()
	state, err := l.shard.readStoredState(ctx, m.Tenant, m.Job)
	answer(link.Message{Kind: link.KindStatusResponse, Number: m.Number, Job: m.Job, State: state, Known: err == nil})
}

// refuseUnlessStored returns a refusal unless the job may be stored already. A client that repeats
// a submission may have had no answer to the first, and a refusal means that the job never runs. If
// nobody tells whether the job is stored, the outcome is unknown: the job must not be accepted, since
// there is a reason to refuse it.
func (s *shard) refuseUnlessStored(deadline time.Time, j *job.Job, refusal job.Response, cause string) (job.Response, bool) {
	i := s.instance
	deadline = earlierTime(deadline, time.Now().Add(refusalCheckTimeout))
	switch i.findState(deadline, j.Tenant, j.ID).Outcome {
	case job.OutcomeDone:
		return job.Response{}, false
	case job.OutcomeNoJob:
		i.counter("submit.refused." + cause).Inc(1)
		return refusal, true
	}
	i.counter("submit.unknown." + cause).Inc(1)
	return unknownRefusal(refusal), true
}

// unknownRefusal returns the response to a job that is to be refused if it is not stored, while that
// is not known.
func unknownRefusal(refusal job.Response) job.Response {
	return job.Response{
		Outcome: job.OutcomeUnknown, RetryAfter: max(refusal.RetryAfter, storeRetryAfter),
		Reason: refusal.Reason + ", and it is not known whether this job is stored",
	}
}
