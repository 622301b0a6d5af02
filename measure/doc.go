// Package measure measures the scheduler against the performance targets of the
// design and computes the capacity page from measured slopes (costs per unit of
// load or state).
//
// A Simulation runs the real reducers, which hold the daemons' control logic, in
// virtual time with simulated workers, links and store. Waiting times and counts
// therefore do not depend on the speed of the machine. A SingleInstance measures
// one reducer at a size that no test runs as a whole cell. RunLoad loads a
// localcell, whose traffic passes through all adapters, and reads its metrics.
// CapacityPage computes the figures at the design size from the slopes.
//
// # Usage
//
//	c := measure.NewSimulation(measure.SimulationOptions{Instances: 7, Workers: 50, Seed: 1})
//	c.Advance(2 * time.Second)
//	c.Submit(0, request)
//	c.Advance(time.Second)
//	fmt.Println(c.StartTime(request.ID))
package measure
