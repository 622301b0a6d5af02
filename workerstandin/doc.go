// Package workerstandin implements a worker with its runner for tests. It serves
// the protocol of package workerv1 and is never linked into the daemon.
//
// A scheduler instance acquires the lease of a worker and becomes its holder.
// Each grant has a new, higher term, and commands carry the term under which
// they were sent. A fence command blocks an attempt, one try at running a task,
// unless it has already started. A worker that restarts begins a new incarnation.
//
// The stand-in enforces the protocol as a correct worker does. It grants one lease
// at a time and starts each attempt at most once. It refuses starts of older terms,
// starts of fenced attempts, starts that exceed its free capacity, and starts after
// the grace period of a leaving worker. With Options.Permissive it carries out the
// last two and records each as a Violation; Options.IgnoreFencing does the same for
// the first two. Several workers may share one Recorder, which then detects a task
// that runs at two workers at once although it is not idempotent.
//
// The body of a request describes in JSON how its task behaves; see Behaviour.
// With an empty body, or one that is not a JSON object, a request or batch task
// ends after a short time with the request identifier as its answer, and a
// service runs until it is stopped.
//
// # Usage
//
//	recorder := workerstandin.NewRecorder()
//	w, err := workerstandin.New(workerstandin.Options{
//		ID:       "worker-1",
//		Address:  netip.MustParseAddrPort("127.0.0.1:0"),
//		Capacity: model.Resources{MilliCPU: 32_000, MemoryBytes: 64 << 30, Slots: 8},
//		Recorder: recorder,
//		Permissive: true,
//	})
//	defer w.Close()
//	w.SetFaults(workerstandin.Faults{FailAll: true})
//	// run a scheduler against w.Address()
//	violations := recorder.Violations()
//
// A stand-in in another process is controlled over the same address: GET
// /standin/record returns the entries and violations, PUT /standin/faults
// replaces the faults, POST /standin/leave calls Worker.Leave, and POST
// /standin/crash calls Worker.Crash.
package workerstandin
