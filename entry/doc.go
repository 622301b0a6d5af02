// Package entry routes calls to the home of a request and returns the answers.
//
// Any instance accepts any call. A call about a journaled request is sent to
// the instance that is preferred as its home. If that instance does not answer,
// or answers that it is not the home, the call is retried towards the instance
// that is preferred by then, until the call expires. Retries are idempotent,
// because the home identifies the request by its identifier.
//
// The package does no input or output and reads no clock.
//
// # Usage
//
//	t := entry.New(entry.Options{
//		Self:        "a1",
//		Members:     members,
//		HomeOf:      homes.HomeOf,
//		HandleLocal: handleLocal,
//		NextCall:    next,
//		Random:      random,
//		Emit:        emit,
//	})
//	t.Route(now, entry.Call{Kind: entry.SubmitCall, Waiter: waiter, RequestID: request.ID, Request: request})
//	t.HandleForwardReply(now, from, forwardReply)
//	t.Step(now)
package entry
