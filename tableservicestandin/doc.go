// Package tableservicestandin stands in for the platform in tests: the table
// service, the object store and the list of instances of platformv1 on one
// address, in memory, with faults that a test or a script sets.
//
// It shares no code with the adapter that it is met by, and the daemon never
// links it. Besides platformv1 it serves a control handler in JSON:
//
//	PUT  /standin/faults          replaces the faults
//	PUT  /standin/list            replaces the list of workers and instances
//	PUT  /standin/views           replaces the views; see Views
//	GET  /standin/counters        reads the counters
//	POST /standin/counters/reset  sets the counters to zero
//	GET  /standin/rows?prefix=P   reads the rows whose keys begin with P
//
// The control handler has no faults.
//
// Balancer spreads connections over entry addresses as the platform's load
// balancer does.
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
