// Package boundedhttp serves HTTP to clients that the operator does not control.
//
// Servers are the HTTP servers of one process, one for each listening address. Each address
// has a bound on its open connections and streams of HTTP/2, and all addresses share a budget
// for the bodies of requests. Package intake takes the decisions; this package joins it to
// net/http, counts what is refused and reports it.
//
// HTTP/2 is optional for each address. Its connections have small windows and frames, since a
// client fills these without any request being complete.
//
// # Usage
//
//	servers := boundedhttp.New(boundedhttp.Options{Bounds: bounds, Log: log, Metrics: registry})
//	listener, err := servers.Listen("callers", address, intake.Options{MaxConnections: bounds.CallerConnections})
//	server := servers.NewServer(boundedhttp.ServerOptions{Handler: handler, HTTP2: true})
//	go server.Serve(listener)
//	go servers.Report(ctx)
//
// A handler reads a body through the budget, so that an incomplete one can be evicted:
//
//	body, release, err := servers.Budget().ReadBody(w, r, limit, deadline)
//	defer release()
package boundedhttp
