// Package client is a client of the services for callers and for operators.
//
// A client has several addresses and tries them in order: if the connection to one
// fails, it sends the same request with the same identifier to the next, so that the
// system can detect the retry. Answers are verified against their length and digest.
//
// The kind of an error tells what is known about the effect of the call. In particular,
// KindUnknown means that a request may have been accepted.
//
// # Usage
//
//	c := client.New(client.Options{Entries: []netip.AddrPort{a, b}})
//	outcome, err := c.Submit(ctx, &callerv1.SubmitRequest{
//		RequestId: client.NewID(),
//		Team:      "gates",
//		Workload:  "moisture_check",
//		Body:      body,
//	})
//	switch client.KindOf(err) {
//	case client.KindUnknown:
//		// ask for the status of the request later
//	}
package client
