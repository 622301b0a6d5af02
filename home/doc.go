// Package home decides about requests: whether they are accepted, when and
// where their tasks start, which tasks are retried, and what their callers are
// answered.
//
// The home of a request is the one instance that decides about it. The home of
// a journaled request is the instance that holds the request's journal
// partition. The home of an ephemeral request, which is not journaled, is the
// instance that received it from a caller or from a peer. A Table keeps the
// requests of one instance. It places tasks on workers whose leases the instance
// holds, and reserves capacity at peers when those workers are full.
//
// A request has one or more tasks, and each start of a task is an attempt with
// its own number. A request is settled once its outcome is decided. The owner of
// a worker is the instance that holds its lease.
//
// Three rules keep the guarantees to callers:
//
//   - The acceptance or the outcome of a journaled request is sent to a caller
//     only after its record is committed.
//   - A start that must happen at most once is sent only after its intent is
//     committed, and a new attempt is made only after the earlier one is proved
//     not to have run.
//   - A request is reported as not run only with such a proof for every attempt.
//
// The package does no input or output and reads no clock. It is used only by
// the goroutine that runs the reducer.
//
// # Usage
//
//	t := home.New(home.Options{Self: "a1", Index: index, Leases: leases, Members: members, Emit: emit})
//	t.Submit(now, home.Waiter{Token: 7}, request, 0)
//	t.Step(now)
package home
