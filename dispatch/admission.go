package dispatch

import (
	"fmt"
	"time"

	"fuchsiacross/share"
)

// admissionInterval is the time between two reports of which tenants' jobs to refuse; that of the
// leader's confirmations, which carry them.
const admissionInterval = 200 * time.Millisecond

// Admission tells which tenants have had work beyond their share waiting for too long.
type Admission struct{ Refusals []share.Refusal }

// reportAdmission reports which tenants' jobs beyond their share are to be refused.
func (r *Reducer) reportAdmission() {
	if !r.shares.Active() || r.now.Sub(r.lastAdmissionAt) < admissionInterval {
		return
	}
	r.lastAdmissionAt = r.now
	byTenant := map[string]*share.Waiting{}
	for s := range r.waitingSteps {
		if !s.job.beyondShare {
			continue
		}
		tenant := s.job.job.Tenant
		w := byTenant[tenant]
		if w == nil {
			w = &share.Waiting{Tenant: tenant, Weight: r.shares.Weight(tenant), Since: s.openedAt}
			byTenant[tenant] = w
		}
		if s.openedAt.Before(w.Since) {
			w.Since = s.openedAt
		}
		w.Work += float64(s.idleTasks()) * float64(s.step.Demand.MilliCPU) / milliCPU * s.expectedLength().Seconds()
	}
	waiting := make([]share.Waiting, 0, len(byTenant))
	for _, w := range byTenant {
		waiting = append(waiting, *w)
	}
	r.effects.Admission = &Admission{Refusals: share.Refusals(r.now, waiting, r.processorsBeyondShares())}
	refused := make(map[string]bool, len(r.effects.Admission.Refusals))
	for _, refusal := range r.effects.Admission.Refusals {
		refused[refusal.Tenant] = true
		if !r.refusedTenants[refusal.Tenant] {
			r.addNote(Note{Kind: NoteShareExceeded, Detail: fmt.Sprintf("%s: %.0f processor-seconds wait", refusal.Tenant, byTenant[refusal.Tenant].Work), Age: refusal.Wait})
		}
	}
	r.refusedTenants = refused
}

const milliCPU = 1000 // thousandths of a processor in one

// processorsBeyondShares returns the processors that work within the shares leaves.
func (r *Reducer) processorsBeyondShares() float64 {
	left := int64(0)
	for _, w := range r.sortedWorkers {
		if !w.acceptsRuns {
			continue
		}
		left += w.free().MilliCPU
		for _, run := range w.runs {
			if run.step.job.beyondShare {
				left += run.step.step.Allocation().MilliCPU
			}
		}
	}
	return float64(left) / milliCPU
}
