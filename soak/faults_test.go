package soak

import (
	"cmp"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"syscall"
	"time"

	"fuchsiacross/linkstandin"
)

const (
	meanFaultInterval   = 900 * time.Millisecond // mean time between the starts of two faults
	minFaultDuration    = 200 * time.Millisecond
	maxFaultDuration    = 4 * time.Second
	minSplitDuration    = 6 * time.Second // exceeds the leases and the confirmation of a former leader
	maxSplitDuration    = 9 * time.Second
	maxRunnersBeside    = 2                      // of a leader that is split off
	minRestartDuration  = 4 * time.Second        // of a runner that is cut off after its restart
	maxRestartDuration  = 10 * time.Second       // exceeds the leases that leaders grant
	crashDuration       = 600 * time.Millisecond // of a runner that is cut off after its restart
	minContactTime      = time.Second            // between its restart and the cut
	maxContactTime      = 3 * time.Second
	minLossDuration     = 4800 * time.Millisecond
	maxLossDuration     = 6 * time.Second
	registrationTimeout = 4500 * time.Millisecond // of a lost runner
	lateOrderShare      = 0.3
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
	// minDuration and maxDuration are minFaultDuration and maxFaultDuration if zero.
	minDuration, maxDuration time.Duration
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

var faults = []fault{
	{name: "instance killed", exclusionGroup: processFaults, inject: func(c *cluster, r *rand.Rand) func() {
		p := pickRandom(r, c.processes)
		p.kill()
		return c.disturbing(p.start, allBlocked, p)
	}},
	{name: "instance stopped", exclusionGroup: processFaults, inject: func(c *cluster, r *rand.Rand) func() {
		p := pickRandom(r, c.processes)
		p.signal(syscall.SIGTERM)
		return c.disturbing(func() {
			if !p.exitsWithin(graceSeconds * time.Second) {
				c.recordEvent("%s did not exit within the grace period", p.name)
				p.kill()
			}
			p.start()
		}, allBlocked, p)
	}},
	{name: "instance paused", exclusionGroup: processFaults, inject: func(c *cluster, r *rand.Rand) func() {
		p := pickRandom(r, c.processes)
		p.signal(syscall.SIGSTOP)
		return c.disturbing(func() { p.signal(syscall.SIGCONT) }, allBlocked, p)
	}},
	{name: "settings reloaded", inject: func(c *cluster, r *rand.Rand) func() {
		pickRandom(r, c.processes).signal(syscall.SIGHUP)
		return func() {}
	}},
	{name: "all instances killed", exclusionGroup: processFaults, inject: func(c *cluster, _ *rand.Rand) func() {
		for _, p := range c.processes {
			p.kill()
		}
		return c.disturbing(func() {
			for _, p := range c.processes {
				p.start()
			}
		}, allBlocked, c.processes...)
	}},
	{name: "store down", inject: func(c *cluster, _ *rand.Rand) func() {
		c.store.SetDown(true)
		return c.disturbing(func() { c.store.SetDown(false) }, allBlocked, c.processes...)
	}},
	{name: "store unresponsive", inject: func(c *cluster, _ *rand.Rand) func() {
		var all []*linkstandin.Link
		for _, p := range c.processes {
			all = append(all, p.storeLink)
		}
		return c.disturbing(c.applyFaults(cutBothDirections, all...), allBlocked, c.processes...)
	}},
	{name: "store silent", inject: func(c *cluster, _ *rand.Rand) func() {
		c.store.SetSilent(true)
		return c.disturbing(func() { c.store.SetSilent(false) }, allBlocked, c.processes...)
	}},
	{name: "store partitions unresponsive", inject: func(c *cluster, r *rand.Rand) func() {
		first := r.IntN(unresponsiveStride)
		var partitions []string
		for n := first; n < storePartitionCount; n += unresponsiveStride {
			partitions = append(partitions, fmt.Sprintf("p%d", n))
		}
		c.store.SetUnresponsive(partitions...)
		return func() { c.store.SetUnresponsive() }
	}},
	{name: "store slow", inject: func(c *cluster, _ *rand.Rand) func() {
		c.store.SetDelay(storeDelay)
		return func() { c.store.SetDelay(0) }
	}},
	{name: "store drops responses", inject: func(c *cluster, r *rand.Rand) func() {
		c.store.DropResponses(1 + r.IntN(maxDroppedResponses))
		return func() {}
	}},
	{name: "store drops its history", inject: func(c *cluster, _ *rand.Rand) func() {
		c.store.DropHistory()
		return func() {}
	}},
	{name: "configuration changes", inject: func(c *cluster, _ *rand.Rand) func() {
		c.writeConfiguration()
		return func() {}
	}},
	{name: "instance cut off from the store", inject: func(c *cluster, r *rand.Rand) func() {
		target := pickRandom(r, c.processes)
		return c.disturbing(c.applyFaults(randomCut(r), target.storeLink), storeBlocked, target)
	}},
	{name: "link from an instance to the store slow", inject: func(c *cluster, r *rand.Rand) func() {
		target := pickRandom(r, c.processes)
		return c.disturbing(c.applyFaults(randomSlowdown(r), target.storeLink), storeBlocked, target)
	}},
	{name: "instance cut off from its peers", inject: func(c *cluster, r *rand.Rand) func() {
		target := pickRandom(r, c.processes)
		return c.disturbing(c.applyFaults(randomCut(r), target.peerLinks.byCaller...), leaderBlocked, c.processes...)
	}},
	{name: "link from peers to an instance slow", inject: func(c *cluster, r *rand.Rand) func() {
		target := pickRandom(r, c.processes)
		return c.applyFaults(randomSlowdown(r), target.peerLinks.byCaller...)
	}},
	{name: "runner cut off", inject: func(c *cluster, r *rand.Rand) func() {
		target := pickRandom(r, c.runners)
		return c.applyFaults(randomCut(r), target.byCaller...)
	}},
	{name: "link to a runner slow", inject: func(c *cluster, r *rand.Rand) func() {
		target := pickRandom(r, c.runners)
		return c.applyFaults(randomSlowdown(r), target.byCaller...)
	}},
	{name: "runner crashed", inject: func(c *cluster, r *rand.Rand) func() {
		target := pickRandom(r, c.runners)
		restore := c.applyFaults(cutBothDirections, target.byCaller...)
		target.runner.Restart()
		return func() {
			resetConnections(target.byCaller...)
			restore()
			target.register(c.store, "ready")
		}
	}},
	// Orders that are meant for the former incarnation reach the one that is cut off.
	{name: "runner restarted and cut off", minDuration: minRestartDuration, maxDuration: maxRestartDuration, inject: func(c *cluster, r *rand.Rand) func() {
		target := pickRandom(r, c.runners)
		target.runner.Crash()
		time.Sleep(crashDuration)
		target.runner.Restart()
		target.register(c.store, "ready")
		time.Sleep(minContactTime + time.Duration(r.Int64N(int64(maxContactTime-minContactTime))))
		return c.applyFaults(cutBothDirections, target.byCaller...)
	}},
	// The registrations are removed, and a step that only these runners may run has to wait.
	{name: "two runners lost for a while", minDuration: minLossDuration, maxDuration: maxLossDuration, inject: func(c *cluster, r *rand.Rand) func() {
		first := allowedTogether * r.IntN(runnerCount/allowedTogether)
		lost := c.runners[first:][:allowedTogether]
		var restores []func()
		for _, target := range lost {
			restores = append(restores, c.applyFaults(cutBothDirections, target.byCaller...))
			target.runner.Restart()
		}
		removal := time.AfterFunc(registrationTimeout, func() {
			for _, target := range lost {
				c.store.Delete("servers", target.runner.ID)
			}
		})
		return func() {
			removal.Stop()
			for n, target := range lost {
				resetConnections(target.byCaller...)
				restores[n]()
				target.register(c.store, "ready")
			}
		}
	}},
	{name: "orders late", inject: func(c *cluster, r *rand.Rand) func() {
		for _, target := range c.runners {
			target.runner.SetLateShare(lateOrderShare * float64(r.IntN(2)))
		}
		return func() {
			for _, target := range c.runners {
				target.runner.SetLateShare(0)
			}
		}
	}},
	{name: "runner draining", inject: func(c *cluster, r *rand.Rand) func() {
		target := pickRandom(r, c.runners)
		target.register(c.store, "draining")
		return func() { target.register(c.store, "ready") }
	}},
	{name: "registration missing", inject: func(c *cluster, r *rand.Rand) func() {
		target := pickRandom(r, c.runners)
		c.store.Delete("servers", target.runner.ID)
		return func() { target.register(c.store, "ready") }
	}},
	{name: "connections reset", inject: func(c *cluster, r *rand.Rand) func() {
		p := pickRandom(r, c.processes)
		resetConnections(p.storeLink)
		resetConnections(p.peerLinks.byCaller...)
		resetConnections(pickRandom(r, c.runners).byCaller...)
		return c.disturbing(func() {}, storeBlocked, p)
	}},
	// The leases that the leader has granted to the runners that it does not reach expire
	// while it still holds the leadership for confirmed.
	{name: "leader split off", minDuration: minSplitDuration, maxDuration: maxSplitDuration, inject: func(c *cluster, r *rand.Rand) func() {
		shard := r.IntN(c.shardCount())
		beside := map[int]bool{}
		for range 1 + r.IntN(maxRunnersBeside) {
			// The runners of a shard are those of one rack, if there are two shards.
			beside[shard+c.shardCount()*r.IntN(runnerCount/c.shardCount())] = true
		}
		leader, err := c.findLeader(shard)
		if err != nil {
			c.recordEvent("no leader to split off: %v", err)
			return func() {}
		}
		c.recordEvent("splitting %s, leader of shard %d, with runners %v", c.processes[leader].name, shard, slices.Sorted(maps.Keys(beside)))
		restore := c.disturbing(c.split(leader, beside), storeBlocked, c.processes[leader])
		return c.disturbing(restore, leaderBlocked, c.processes...)
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
		shortest, longest := cmp.Or(f.minDuration, minFaultDuration), cmp.Or(f.maxDuration, maxFaultDuration)
		faultDuration := shortest + time.Duration(c.scheduleRandom.Int64N(int64(longest-shortest)))
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
