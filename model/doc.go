// Package model holds the domain types that every part of fuchsiacross shares:
// identifiers, resources, requests, attempts and outcomes.
//
// The types are plain values without struct tags. Adapters convert them to and
// from wire formats explicitly, so that a change of a wire format does not affect
// the core. A value and the slices in it are immutable once the function that
// built it has returned.
//
// # Terms
//
// A caller submits a request, which consists of tasks. An attempt is one try at
// running one task on a worker. A worker is a machine that runs tasks; its
// runner offers slots for requests of KindRequest. An instance is one process of the
// scheduler, and the instances of all data centres form the cell. The document
// is the versioned configuration of the cell; each team owns a section of it.
//
// # Usage
//
//	r := model.Request{
//		ID:         "check-17",
//		Team:       "gates",
//		Workload:   "moisture_check",
//		Kind:       model.KindRequest,
//		Class:      model.ClassUrgent,
//		Tasks:      1,
//		Idempotent: true,
//		Deadline:   now.Add(2 * time.Second),
//	}
//	if findings := r.Check(now, model.DefaultLimits()); findings.Any() {
//		return findings.Err()
//	}
//	switch r.Durability() {
//	case model.Ephemeral: // not journaled
//	}
package model
