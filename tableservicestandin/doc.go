// Package tableservicestandin is an in-memory stand-in for the platform in tests.
// It serves the table service, the object store and the list of workers and
// instances of platformv1 on one address, and simulates faults that a test or a
// script sets.
//
// It shares no code with package tableservice, the client that is tested against
// it, and the daemon never links it. Besides platformv1 it serves a control
// interface in JSON:
//
//	PUT  /standin/faults          replaces the faults
//	PUT  /standin/list            replaces the list of workers and instances
//	PUT  /standin/views           replaces the views; see Views
//	GET  /standin/counters        returns the counters
//	POST /standin/counters/reset  resets the counters
//	GET  /standin/rows?prefix=P   returns the rows whose keys begin with P
//
// The faults do not affect the control interface.
//
// Balancer is a stand-in for the platform's load balancer. It distributes callers'
// connections over entries, the caller addresses of instances.
//
// # Usage
//
//	p, err := tableservicestandin.New(tableservicestandin.Options{Address: netip.MustParseAddrPort("127.0.0.1:0")})
//	if err != nil {
//		return err
//	}
//	defer p.Close()
//	p.SetList(workers, instances)
//	p.SetFaults(tableservicestandin.Faults{Down: true})
package tableservicestandin
