package instance

import (
	"time"

	"fuchsiacross/job"
	"fuchsiacross/quota"
)

// refuseForTenant returns the refusal of a new job that its tenant's quota never lets run. It
// writes nothing.
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
			return s.refuseUnlessStored(deadline, j.ID, job.Response{Outcome: job.OutcomeOverload, Reason: reason}, "quota")
		}
	}
	return job.Response{}, false
}

// refuseUnlessStored returns a refusal unless the job may be stored already. A client that repeats
// a submission may have had no answer to the first, and a refusal means that the job never runs.
func (s *shard) refuseUnlessStored(deadline time.Time, id job.ID, refusal job.Response, cause string) (job.Response, bool) {
	if s.instance.findState(deadline, id).Outcome != job.OutcomeNoJob {
		return job.Response{}, false
	}
	s.instance.counter("submit.refused." + cause).Inc(1)
	return refusal, true
}
