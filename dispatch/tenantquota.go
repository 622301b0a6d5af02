package dispatch

import (
	"fmt"
	"time"

	"fuchsiacross/model"
	"fuchsiacross/quota"
)

// hideUnreadRuns counts the capacity of a worker as used by every tenant with a limit while it may
// have runs that are not charged.
func (r *Reducer) hideUnreadRuns(w *worker) {
	if r.quota.Limited() && (len(w.orphans) > 0 || r.mayHavePredecessorRuns(w)) {
		r.quota.Hide(w.registration.Capacity, w.used)
	}
}

// giveTurns chooses, for each tenant at its quota, the step for which the others of the tenant leave
// room until it starts: one that the quota has held back for as long as a step may be passed over.
func (r *Reducer) giveTurns(list []candidate) {
	if !r.quota.Limited() {
		return
	}
	r.quota.ClearTurns()
	for _, c := range list {
		s, tenant := c.step, c.step.job.job.Tenant
		if !s.quotaHeldSince.IsZero() && r.now.Sub(s.quotaHeldSince) >= s.job.objective && r.quota.Exceeded(tenant, s.step) == "" {
			need := s.step.Demand
			if s.step.Gang {
				need = need.Multiply(int64(s.idleTasks()))
			}
			r.quota.OfferTurn(tenant, quota.Turn{Step: s.id, Since: s.quotaHeldSince, Need: need, BeyondShare: c.beyond})
		}
	}
}

// admitByQuota returns how many of the missing tasks of a step its tenant's quota allows to start.
// A step that it holds back is not passed over by others, and requests no advice.
func (p *pass) admitByQuota(c candidate, missing int) int {
	s := c.step
	tenant := s.job.job.Tenant
	room := p.quota.Room(tenant, s.step.Demand)
	if !c.isUrgentInTime() && p.quota.GivesWay(tenant, s.id, c.beyond) {
		room = p.quota.RoomBesideTurn(tenant, s.step.Demand)
	}
	admitted := min(missing, room)
	s.atQuota = admitted < missing && (admitted == 0 || s.step.Gang)
	if !s.atQuota {
		return admitted
	}
	if s.quotaHeldSince.IsZero() {
		s.quotaHeldSince = p.now
	}
	s.passedOverSince, s.promoted = time.Time{}, false
	if p.quota.Skip(tenant, p.now) {
		used, limit := p.quota.Use(tenant)
		p.addNote(Note{Kind: NoteTenantAtQuota, Job: s.id.Job, Detail: fmt.Sprintf(
			"%s uses %s of %s; runs on unread workers may use %s", tenant, describe(used), describe(limit), describe(p.quota.Hidden()))})
	}
	if reason := p.quota.Exceeded(tenant, s.step); reason != "" && !s.aboveQuota {
		s.aboveQuota = true
		p.addNote(Note{Kind: NoteStepAboveQuota, Job: s.id.Job, Detail: fmt.Sprintf("step %d of %s: %s", s.id.Step, tenant, reason)})
	}
	return 0
}

// describe returns a text of resources for log lines. Dimensions without a limit are very large.
func describe(r model.Resources) string {
	return fmt.Sprintf("%dm %dMB %d accelerators", r.MilliCPU, r.MemoryBytes>>20, r.Accelerators)
}

// waitsForQuota reports whether a step needs no advice before its tenant's use has fallen. The time
// until the workers are read is too short for a call to wait for it.
func (r *Reducer) waitsForQuota(s *stepState) bool { return s.atQuota && r.quota.Hidden().IsZero() }

// reportTenants returns what each tenant uses and has waiting.
func (r *Reducer) reportTenants() []quota.Account {
	if !r.shares.Active() {
		return nil
	}
	for s := range r.waitingSteps {
		r.quota.CountWaiting(s.job.job.Tenant, s.job.beyondShare)
	}
	return r.quota.Report()
}
