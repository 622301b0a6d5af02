// Package caller implements the connect service for callers, with the methods Submit,
// Status and Cancel.
//
// Submit validates a request, completes it with the defaults of its workload in the
// document, and stores the body of a journaled request if it is large. Every method then
// posts an event with a new token and waits for the reducer's Reply or Reject with that
// token. A request is not accepted before its event is posted, and an answer that does
// not match its digest is never sent.
//
// # Usage
//
//	s := caller.New(caller.Options{
//		Post:      control.Post,
//		NextToken: tokens.Next,
//		Now:       time.Now,
//		Document:  control.Document,
//		StoreBody: objects.Put,
//		Limits:    model.DefaultLimits(),
//		MaxCalls:  10_000,
//		Log:       log,
//		Metrics:   registry,
//	})
//	mux.Handle(s.Handler())
//	// In the goroutine that carries out effects:
//	s.Apply(effect)
package caller
