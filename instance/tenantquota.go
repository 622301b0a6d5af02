package instance

import (
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
	c := s.instance.configuration.Load()
	if j.Tenant == "" || c == nil {
		return job.Response{}, false
	}
	for i := range c.Tenants {
		if c.Tenants[i].Name != j.Tenant {
			continue
		}
		if reason := quota.Check(&j.Definition, c.Tenants[i].Limit, s.number, s.table.shardMap.Shards); reason != "" {
			return s.refuseUnlessStored(deadline, j, job.Response{Outcome: job.OutcomeOverload, Reason: reason}, "quota")
		}
	}
	if wait, refused := s.instance.gate.Refuse(time.Now(), c.Configuration, j.Tenant, s.number); refused {
		return s.refuseUnlessStored(deadline, j, job.Response{
			Outcome: job.OutcomeOverload, Reason: "the tenant is beyond its share and has work waiting", RetryAfter: wait,
		}, "share")
	}
	return job.Response{}, false
}

// refuseUnlessStored returns a refusal unless the job may be stored already. A client that repeats
// a submission may have had no answer to the first, and a refusal means that the job never runs.
func (s *shard) refuseUnlessStored(deadline time.Time, j *job.Job, refusal job.Response, cause string) (job.Response, bool) {
	if s.instance.findState(deadline, j.Tenant, j.ID).Outcome != job.OutcomeNoJob {
		return job.Response{}, false
	}
	s.instance.counter("submit.refused." + cause).Inc(1)
	return refusal, true
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
