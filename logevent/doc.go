// Package logevent defines the numbered log events of the daemon and of the instances.
//
// Every log line belongs to an event, so that operators can search and count by number,
// independently of the wording. A number is never reused for another event. Its hundreds
// digit identifies the component: 100 daemon with leases, journals and the document, 200
// worker, 300 platform, 400 peer, 500 caller, 600 operator, 700 scheduler, 800 an
// instance on the users' platform. The page docs/logs.md is the catalogue of events; a
// test compares it with CataloguePage.
//
// # Usage
//
//	logevent.PeerLinkOpened.Log(log, zap.String("peer", string(id)))
package logevent
