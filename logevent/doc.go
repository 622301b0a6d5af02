// Package logevent lists the numbered log events of the daemon.
//
// Every line that the daemon logs belongs to an event, so that operators can
// search and count by number while the wording stays free to change. A number
// is never reused for another event. The hundreds name the package: 100 daemon
// with lease, journal and document, 200 worker, 300 platform, 400 peer,
// 500 caller, 600 operator, 700 scheduler, 800 an
// instance on the users' platform. The page docs/logs.md is the
// catalogue; a test compares it with Page.
//
// # Usage
//
//	logevent.PeerUp.Log(log, zap.String("peer", string(id)))
package logevent
