package soak

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"fuchsiacross/linkstandin"
)

const (
	meanFaultInterval   = 900 * time.Millisecond // mean time between the starts of two faults
	minFaultDuration    = 200 * time.Millisecond
	maxFaultDuration    = 4 * time.Second
	storeDelay          = 250 * time.Millisecond // of each response of a slow store
	storePartitionCount = 64
	unresponsiveStride  = 3 // every third partition of the store is unresponsive
	maxDroppedResponses = 6
	startupDelay        = 1500 * time.Millisecond // delay before the first fault, in which the instances start
	restartDelay        = 300 * time.Millisecond  // delay after restarting instances that have exited
)

// fault is one kind of fault that the test can inject.
type fault struct {
	name string
	// exclusionGroup is shared by faults that must not overlap. A fault with an
	// empty group may overlap with every fault except itself.
	exclusionGroup string
	// inject starts the fault and returns the function that ends it. The generator r
	// is seeded even if the fault is then skipped, so that a seed always gives the
	// same schedule.
	inject func(c *cluster, r *rand.Rand) func()
}

var (
	cutDirection      = linkstandin.Direction{Cut: true}
	cutBothDirections = linkstandin.Faults{Forward: cutDirection, Backward: cutDirection}
)

func pickRandom[T any](r *rand.Rand, list []T) T { return list[r.IntN(len(list))] }

// randomCut returns a cut of a link: one direction, both directions, or both with
// new connections refused.
func randomCut(r *rand.Rand) linkstandin.Faults {
	return pickRandom(r, []linkstandin.Faults{cutBothDirections, {Forward: cutDirection}, {Backward: cutDirection}, {Forward: cutDirection, Backward: cutDirection, Refuse: true}})
}

// randomSlowdown returns a delay of 20 to 219 ms, with jitter and loss, in both
// directions of a link.
func randomSlowdown(r *rand.Rand) linkstandin.Faults {
	d := linkstandin.Direction{DelayMilliseconds: 20 + r.Int64N(200), JitterMilliseconds: 50, LossFraction: 0.02}
	return linkstandin.Faults{Forward: d, Backward: d}
}

// applyFaults sets the faults of a link and returns the function that clears them.
func applyFaults(link *linkstandin.Link, f linkstandin.Faults) func() {
	link.SetFaults(f)
	return func() { link.SetFaults(linkstandin.Faults{}) }
}

var faults = []fault{
	{"instance killed", processFaults, func(c *cluster, r *rand.Rand) func() {
		p := pickRandom(r, c.processes)
		p.kill()
		return p.start
	}},
	{"instance stopped", processFaults, func(c *cluster, r *rand.Rand) func() {
		p := pickRandom(r, c.processes)
		p.signal(syscall.SIGTERM)
		return func() {
			if !p.exitsWithin(graceSeconds * time.Second) {
				c.recordEvent("%s did not exit within the grace period", p.name)
				p.kill()
			}
			p.start()
		}
	}},
	{"instance paused", processFaults, func(c *cluster, r *rand.Rand) func() {
		p := pickRandom(r, c.processes)
		p.signal(syscall.SIGSTOP)
		return func() { p.signal(syscall.SIGCONT) }
	}},
	{"settings reloaded", "", func(c *cluster, r *rand.Rand) func() {
		pickRandom(r, c.processes).signal(syscall.SIGHUP)
		return func() {}
	}},
	{"all instances killed", processFaults, func(c *cluster, _ *rand.Rand) func() {
		for _, p := range c.processes {
			p.kill()
		}
		return func() {
			for _, p := range c.processes {
				p.start()
			}
		}
	}},
	{"store down", "", func(c *cluster, _ *rand.Rand) func() {
		c.store.SetDown(true)
		return func() { c.store.SetDown(false) }
	}},
	{"store unresponsive", "", func(c *cluster, _ *rand.Rand) func() {
		for _, p := range c.processes {
			p.storeLink.SetFaults(cutBothDirections)
		}
		return func() {
			for _, p := range c.processes {
				p.storeLink.SetFaults(linkstandin.Faults{})
			}
		}
	}},
	{"store partitions unresponsive", "", func(c *cluster, r *rand.Rand) func() {
		first := r.IntN(unresponsiveStride)
		var partitions []string
		for n := first; n < storePartitionCount; n += unresponsiveStride {
			partitions = append(partitions, fmt.Sprintf("p%d", n))
		}
		c.store.SetUnresponsive(partitions...)
		return func() { c.store.SetUnresponsive() }
	}},
	{"store slow", "", func(c *cluster, _ *rand.Rand) func() {
		c.store.SetDelay(storeDelay)
		return func() { c.store.SetDelay(0) }
	}},
	{"store drops responses", "", func(c *cluster, r *rand.Rand) func() {
		c.store.DropResponses(1 + r.IntN(maxDroppedResponses))
		return func() {}
	}},
	{"store drops its history", "", func(c *cluster, _ *rand.Rand) func() {
		c.store.DropHistory()
		return func() {}
	}},
	{"configuration changes", "", func(c *cluster, _ *rand.Rand) func() {
		c.writeConfiguration()
		return func() {}
	}},
	{"instance cut off from the store", "", func(c *cluster, r *rand.Rand) func() {
		return applyFaults(pickRandom(r, c.processes).storeLink, randomCut(r))
	}},
	{"link from an instance to the store slow", "", func(c *cluster, r *rand.Rand) func() {
		return applyFaults(pickRandom(r, c.processes).storeLink, randomSlowdown(r))
	}},
	{"instance cut off from its peers", "", func(c *cluster, r *rand.Rand) func() {
		return applyFaults(pickRandom(r, c.processes).peerLink, randomCut(r))
	}},
	{"link from peers to an instance slow", "", func(c *cluster, r *rand.Rand) func() {
		return applyFaults(pickRandom(r, c.processes).peerLink, randomSlowdown(r))
	}},
	{"runner cut off", "", func(c *cluster, r *rand.Rand) func() { return applyFaults(pickRandom(r, c.runners).link, randomCut(r)) }},
	{"link to a runner slow", "", func(c *cluster, r *rand.Rand) func() {
		return applyFaults(pickRandom(r, c.runners).link, randomSlowdown(r))
	}},
	{"runner crashed", "", func(c *cluster, r *rand.Rand) func() {
		target := pickRandom(r, c.runners)
		target.link.SetFaults(cutBothDirections)
		target.runner.Restart()
		return func() {
			target.link.ResetConnections()
			target.link.SetFaults(linkstandin.Faults{})
			target.runner.Register(c.store, poolName, target.link.Address(), runnerMilliCPU, "ready")
		}
	}},
	{"runner draining", "", func(c *cluster, r *rand.Rand) func() {
		target := pickRandom(r, c.runners)
		target.runner.Register(c.store, poolName, target.link.Address(), runnerMilliCPU, "draining")
		return func() { target.runner.Register(c.store, poolName, target.link.Address(), runnerMilliCPU, "ready") }
	}},
	{"registration missing", "", func(c *cluster, r *rand.Rand) func() {
		target := pickRandom(r, c.runners)
		c.store.Delete("servers", target.runner.ID)
		return func() { target.runner.Register(c.store, poolName, target.link.Address(), runnerMilliCPU, "ready") }
	}},
	{"connections reset", "", func(c *cluster, r *rand.Rand) func() {
		p := pickRandom(r, c.processes)
		p.storeLink.ResetConnections()
		p.peerLink.ResetConnections()
		pickRandom(r, c.runners).link.ResetConnections()
		return func() {}
	}},
}

// processFaults is the exclusion group of the faults that start, stop or pause
// instances.
const processFaults = "process faults"

// injectFaults injects random faults for a duration. Faults of different exclusion
// groups may overlap.
func (c *cluster) injectFaults(duration time.Duration) {
	time.Sleep(startupDelay)
	var active sync.WaitGroup
	locks := map[string]*sync.Mutex{}
	for _, f := range faults {
		locks[cmp.Or(f.exclusionGroup, f.name)] = &sync.Mutex{}
	}
	for deadline := time.Now().Add(duration); time.Now().Before(deadline); {
		f := pickRandom(c.scheduleRandom, faults)
		faultRandom := rand.New(rand.NewPCG(c.scheduleRandom.Uint64(), 2))
		faultDuration := minFaultDuration + time.Duration(c.scheduleRandom.Int64N(int64(maxFaultDuration-minFaultDuration)))
		interval := time.Duration(c.scheduleRandom.ExpFloat64() * float64(meanFaultInterval))
		if lock := locks[cmp.Or(f.exclusionGroup, f.name)]; lock.TryLock() {
			active.Go(func() {
				defer lock.Unlock()
				c.recordEvent("%s for %v", f.name, faultDuration.Round(time.Millisecond))
				restore := f.inject(c, faultRandom)
				time.Sleep(faultDuration)
				restore()
				c.recordEvent("%s ended", f.name)
			})
		}
		time.Sleep(interval)
	}
	active.Wait()
}

// restartExited resumes paused instances and restarts those that have exited. It
// returns the exits as violations: every fault restarts the instances that it stops, so
// an instance that is down has exited on its own.
func (c *cluster) restartExited() (exited []string) {
	for _, p := range c.processes {
		p.signal(syscall.SIGCONT)
		if !p.isRunning() {
			exited = append(exited, p.name+" exited unexpectedly")
			p.start()
		}
	}
	time.Sleep(restartDelay)
	return exited
}
