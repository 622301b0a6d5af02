package instance

import (
	"slices"
	"time"

	"fuchsiacross/dispatch"
	"fuchsiacross/job"
	"fuchsiacross/link"
	"fuchsiacross/quota"
	"fuchsiacross/share"
)

// refuseForTenant returns the refusal of a new job that its tenant's quota never lets run, or that
// is beyond its tenant's share while such work has been waiting. It writes nothing.
func (s *shard) refuseForTenant(deadline time.Time, j *job.Job) (job.Response, bool) {
	if response, refused := s.refuseForQuota(deadline, j); refused {
		return response, true
	}
	c := s.instance.configuration.Load()
	if j.Tenant == "" || c == nil {
		return job.Response{}, false
	}
	if wait, refused := s.instance.gate.Refuse(time.Now(), c.Configuration, j.Tenant, s.number); refused {
		return s.refuseUnlessStored(deadline, j, job.Response{
			Outcome: job.OutcomeOverload, Reason: "the tenant is beyond its share and has work waiting", RetryAfter: wait,
		}, "share")
	}
	return job.Response{}, false
}

// refuseForQuota returns the refusal of a new job that its tenant's quota never lets run. It writes
// nothing.
func (s *shard) refuseForQuota(deadline time.Time, j *job.Job) (job.Response, bool) {
	c := s.instance.configuration.Load()
	if j.Tenant == "" || c == nil {
		return job.Response{}, false
	}
	at := slices.IndexFunc(c.Tenants, func(t job.Tenant) bool { return t.Name == j.Tenant })
	if at < 0 {
		return job.Response{}, false
	}
	reason := quota.Check(&j.Definition, c.Tenants[at].Limit, s.number, s.table.shardMap.Shards)
	if reason == "" {
		return job.Response{}, false
	}
	return s.refuseUnlessStored(deadline, j, job.Response{Outcome: job.OutcomeOverload, Reason: reason}, "quota")
}

// announceAdmission keeps what instances are to refuse, and applies it at this one.
func (l *leadership) announceAdmission(a *dispatch.Admission) {
	l.mu.Lock()
	l.admission = a
	l.mu.Unlock()
	l.instance.gate.Announce(l.shard.number, share.Announcement{Refusals: a.Refusals, At: time.Now()})
}

// sendAdmission sends what a linked instance is to refuse. The caller holds the mutex.
func (l *leadership) sendAdmission(c *link.Conn) {
	if l.admission != nil {
		c.Send(link.Message{
			Kind: link.KindAdmission, Shard: l.shard.number, Token: l.token, Refusals: l.admission.Refusals,
		})
	}
}
