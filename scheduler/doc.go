// Package scheduler implements the reducer, the state machine of an instance. It
// applies events to the control state and returns the effects to execute.
//
// A Reducer combines the parts of the core. Package membership tracks which
// instances are live, package lease manages the leases of workers, package home
// schedules the requests that this instance decides about, and package entry
// forwards calls to the homes of other requests. The reducer itself dispatches events to
// these packages, sends heartbeats and fetches new document revisions. It never
// blocks, reads no clock and draws random numbers only from a generator with a
// given seed, so a recorded sequence of events reproduces the same effects.
//
// # Usage
//
//	r := scheduler.New(scheduler.Options{Self: self, Incarnation: incarnation, Seed: seed, Partitions: 8, StoreWritesPerSecond: 50})
//	effects := r.Apply(now, event.Tick{})
//
// The returned slice is valid until the next call of Apply.
package scheduler
