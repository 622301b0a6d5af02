// Package event defines the events that the reducer of package scheduler
// accepts, the effects that it returns and the messages that instances exchange.
//
// The reducer is the state machine of one instance. Adapters decode input into
// events and execute the returned effects in order. Events and effects are
// plain values and are not modified after they have been sent.
//
// # Terms
//
// An attempt is one try at running one task of a request on a worker. The
// owner of a worker is the instance that holds its scheduler lease. The home of
// a request is the instance that holds its journal partition and decides about
// its attempts; for a request that is not journaled, the instance that schedules
// it decides. To fence an attempt is to make the worker report the attempt's
// state and, if it never saw the attempt, refuse it from then on.
//
// # Usage
//
//	effects := reducer.Apply(time.Now(), event.Submit{Token: 7, Request: r, Wait: true})
//	for _, e := range effects {
//		switch e := e.(type) {
//		case event.StartTask:
//			workers.Start(e)
//		case event.Reply:
//			callers.Reply(e)
//		}
//	}
package event
