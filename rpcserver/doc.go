// Package rpcserver holds the code that the connect servers for callers and for
// operators share: calls that wait for an effect of the reducer, a limit on concurrent
// calls, and strict decoding of requests.
//
// A call registers a new token with PendingCalls, posts an event with this token and
// waits on the returned channel. The server's Apply method delivers the effect that has
// the same token. At most one effect is delivered for a token.
//
// # Usage
//
//	reply := s.pendingCalls.Add(token)
//	defer s.pendingCalls.Remove(token)
//	s.post(event.Status{Token: token, Request: id})
//	select {
//	case e := <-reply:
//		return respond(e)
//	case <-ctx.Done():
//		s.post(event.CallAbandoned{Token: token})
//		return nil, ctx.Err()
//	}
package rpcserver
