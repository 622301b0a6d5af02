package dispatch

import (
	"time"

	"fuchsiacross/job"
	"fuchsiacross/quota"
)

// capacityReportInterval is the time between two reports on the capacity of a shard.
const capacityReportInterval = 2 * time.Second

// CapacityReport tells where the capacity of a shard is after a pass over all waiting steps, in
// thousandths of a processor of the workers that accept tasks.
type CapacityReport struct {
	TotalMilliCPU int64
	FreeMilliCPU  int64 // not used by runs
	// ReservedMilliCPU is free, but on workers that are reserved for blocked steps.
	ReservedMilliCPU int64
	// AwaitingTicketsMilliCPU is free, but set aside for tasks whose tickets are requested.
	AwaitingTicketsMilliCPU int64
	WaitingSteps            int
	Reservations            []Reservation
	// PassedOver is the step that others have been started before for the longest time, since
	// PassedOverSince. PassedOverSince is zero if there is none.
	PassedOver      job.StepID
	PassedOverSince time.Time
	// Tenants has the tenants of the configuration and those with jobs; nil without tenants.
	Tenants []quota.Account
}

// Reservation is the capacity that is reserved for a blocked step.
type Reservation struct {
	Step         job.StepID
	Workers      int
	FreeMilliCPU int64
	Since        time.Time // from when on the step has had a reservation without a gap
	Until        time.Time // when the step is expected to have capacity for all its tasks
}

// reservationSpan is the time for which a step has had a reservation without a gap.
type reservationSpan struct {
	since time.Time
	round int64 // the last search for reservations that reserved workers for the step
}

// extendReservation records that the current search reserved workers for a step.
func (r *Reducer) extendReservation(s *stepState) {
	if s.reservation.round < r.reservationRound-1 || s.reservation.since.IsZero() {
		s.reservation.since = r.now
	}
	s.reservation.round = r.reservationRound
}

// reportCapacity reports the capacity after a complete pass, at most once per
// capacityReportInterval.
func (r *Reducer) reportCapacity() {
	if r.now.Sub(r.lastCapacityReportAt) < capacityReportInterval {
		return
	}
	r.lastCapacityReportAt = r.now
	report := &CapacityReport{WaitingSteps: len(r.waitingSteps)}
	index := map[*stepState]int{}
	for _, w := range r.sortedWorkers {
		if !w.acceptsRuns {
			continue
		}
		free, left := w.free().MilliCPU, w.uncommitted.MilliCPU
		report.TotalMilliCPU += w.registration.Capacity.MilliCPU
		report.FreeMilliCPU += free
		report.AwaitingTicketsMilliCPU += free - left
		s := w.reservedFor
		if s == nil {
			continue
		}
		report.ReservedMilliCPU += left
		at, found := index[s]
		if !found {
			at = len(report.Reservations)
			index[s] = at
			report.Reservations = append(report.Reservations, Reservation{Step: s.id, Since: s.reservation.since, Until: w.reservedUntil})
		}
		report.Reservations[at].Workers++
		report.Reservations[at].FreeMilliCPU += left
	}
	for s := range r.waitingSteps {
		since := s.passedOverSince
		if !since.IsZero() && (report.PassedOverSince.IsZero() || since.Before(report.PassedOverSince)) {
			report.PassedOver, report.PassedOverSince = s.id, since
		}
	}
	report.Tenants = r.reportTenants()
	r.effects.Capacity = report
}
