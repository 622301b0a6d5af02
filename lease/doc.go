// Package lease holds the scheduler leases of workers and tracks the attempts
// that run under them.
//
// An instance may start tasks on a worker only while it holds the worker's
// lease; it is then the owner of the worker. The incarnation of a worker is
// one run of its process, and changes when the worker restarts.
//
// A Holder implements the owner's side: it acquires leases, hands them over
// when another instance is preferred, reserves capacity for tasks, sends
// starts, and reports the state of attempts to the home of each request. A home
// on the same instance calls the Holder directly; a home on a peer uses
// messages. The home is looked up again for every update, so that after a
// takeover updates reach the new home.
//
// The package does no input or output and reads no clock. It is used only by
// the goroutine that runs the reducer.
//
// # Usage
//
//	h := lease.New(lease.Options{
//		Self:              "a1",
//		Index:             index,
//		Quota:             quota,
//		PreferredOwner:    members.PreferredOwner,
//		HomeOf:            homeOf,
//		DocumentRevision:  revision,
//		Emit:              emit,
//		DeliverUpdate:     func(home model.InstanceID, u event.AttemptUpdate) { /* deliver */ },
//		DeliverFenceReply: func(requester model.InstanceID, r event.FenceReply) { /* deliver */ },
//	})
//	h.SetWorkerList(now, workers)
//	h.Step(now)
package lease
