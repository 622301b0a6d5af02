// Package worker is the client of the worker protocol: it holds leases on
// workers, starts tasks on them and reports the results.
//
// A lease gives one instance, the holder, the exclusive right to command a
// worker for a limited time. Each grant has a higher term than the previous
// one, and commands carry the term of the grant that they rely on. An attempt
// is one try at running one task. Fencing an attempt returns its state and makes
// the worker refuse any later start of it. A worker's runner is the part that
// runs requests on its slots.
//
// A Client carries out the effects of the reducer, the state machine of an
// instance, and posts events back to it. It opens one session stream for each
// worker whose lease the instance holds or asks for. The session carries the
// lease, the starts of batch tasks and services, and every other command.
// Requests of kind request run through unary calls to the worker's runner over
// the same HTTP/2 connection. The client opens further connections only under
// load, and at most this instance's share of the runner's connections.
//
// Each start gets exactly one answer: TaskStarted, StartRefused or
// StartUncertain. StartRefused is posted only if the worker refused the attempt
// or if no part of the start can have been sent. A result that does not match
// the digest computed by the worker is never passed on: the attempt is reported
// as uncertain, even after TaskStarted, and fencing it fetches the result again.
//
// When a session stream breaks, the client opens a new one at once for the same
// holder and incarnation (one run of the instance's process). Starts that were
// sent on the broken stream and not answered are uncertain. LeaseGranted then
// reports the new term and the tasks that the worker holds. LeaseLost ends a
// session; its term is 0 if no lease was granted.
//
// # Usage
//
//	workers := worker.New(worker.Options{
//		Self: "entry-1", Incarnation: 3, Post: post, DocumentRevision: revision,
//		MaxConnections: connectionLimit, LeaseMilliseconds: 1500, Log: log, Metrics: registry,
//	})
//	workers.Apply(event.AcquireLease{Worker: w, Revision: 12})
//	// Post receives event.LeaseGranted with the term for later commands.
//	workers.Apply(event.StartTask{Worker: w.ID, Term: 7, Attempt: a, Request: r})
//	defer workers.Close(ctx)
package worker
