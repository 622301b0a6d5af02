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
	meanPause    = 900 * time.Millisecond // between the beginnings of two faults
	shortest     = 200 * time.Millisecond // of a fault that lasts
	longest      = 4 * time.Second
	slowAnswer   = 250 * time.Millisecond
	storeParts   = 64
	silentShare  = 3 // one in so many of the store's partitions is silent
	lostAnswers  = 6
	startupSpan  = 1500 * time.Millisecond // before the first fault
	restartPause = 300 * time.Millisecond
)

// fault begins a fault and returns what ends it. Random numbers are drawn before
// it begins, so that a seed gives the same schedule.
type fault struct {
	name string
	// group is shared by faults that must not overlap; empty for the fault alone.
	group string
	begin func(s *site, r *rand.Rand) func()
}

var (
	silent = linkstandin.Direction{Cut: true}
	both   = linkstandin.Faults{Forward: silent, Backward: silent}
)

func pick[T any](r *rand.Rand, list []T) T { return list[r.IntN(len(list))] }

// cut returns a fault of one relay: one way, both ways or refusing.
func cut(r *rand.Rand) linkstandin.Faults {
	return pick(r, []linkstandin.Faults{both, {Forward: silent}, {Backward: silent}, {Forward: silent, Backward: silent, Refuse: true}})
}

func slow(r *rand.Rand) linkstandin.Faults {
	d := linkstandin.Direction{DelayMilliseconds: 20 + r.Int64N(200), JitterMilliseconds: 50, LossFraction: 0.02}
	return linkstandin.Faults{Forward: d, Backward: d}
}

// on applies faults to a relay until the end.
func on(l *linkstandin.Link, f linkstandin.Faults) func() {
	l.SetFaults(f)
	return func() { l.SetFaults(linkstandin.Faults{}) }
}

var faults = []fault{
	{"instance killed", lives, func(s *site, r *rand.Rand) func() {
		p := pick(r, s.processes)
		p.end()
		return p.start
	}},
	{"instance stopped", lives, func(s *site, r *rand.Rand) func() {
		p := pick(r, s.processes)
		p.signal(syscall.SIGTERM)
		return func() {
			if !p.endWithin(graceSeconds * time.Second) {
				s.note("%s has not ended in time", p.name)
				p.end()
			}
			p.start()
		}
	}},
	{"instance paused", lives, func(s *site, r *rand.Rand) func() {
		p := pick(r, s.processes)
		p.signal(syscall.SIGSTOP)
		return func() { p.signal(syscall.SIGCONT) }
	}},
	{"settings reloaded", "", func(s *site, r *rand.Rand) func() {
		pick(r, s.processes).signal(syscall.SIGHUP)
		return func() {}
	}},
	{"all instances killed", lives, func(s *site, _ *rand.Rand) func() {
		for _, p := range s.processes {
			p.end()
		}
		return func() {
			for _, p := range s.processes {
				p.start()
			}
		}
	}},
	{"store down", "", func(s *site, _ *rand.Rand) func() {
		s.store.SetDown(true)
		return func() { s.store.SetDown(false) }
	}},
	{"store silent", "", func(s *site, _ *rand.Rand) func() {
		for _, p := range s.processes {
			p.store.SetFaults(both)
		}
		return func() {
			for _, p := range s.processes {
				p.store.SetFaults(linkstandin.Faults{})
			}
		}
	}},
	{"store silent in part", "", func(s *site, r *rand.Rand) func() {
		first := r.IntN(silentShare)
		var parts []string
		for n := first; n < storeParts; n += silentShare {
			parts = append(parts, fmt.Sprintf("p%d", n))
		}
		s.store.SetUnresponsive(parts...)
		return func() { s.store.SetUnresponsive() }
	}},
	{"store slow", "", func(s *site, _ *rand.Rand) func() {
		s.store.SetDelay(slowAnswer)
		return func() { s.store.SetDelay(0) }
	}},
	{"store loses answers", "", func(s *site, r *rand.Rand) func() {
		s.store.DropResponses(1 + r.IntN(lostAnswers))
		return func() {}
	}},
	{"store forgets its history", "", func(s *site, _ *rand.Rand) func() {
		s.store.DropHistory()
		return func() {}
	}},
	{"configuration changes", "", func(s *site, _ *rand.Rand) func() {
		s.configure()
		return func() {}
	}},
	{"instance cut off from the store", "", func(s *site, r *rand.Rand) func() { return on(pick(r, s.processes).store, cut(r)) }},
	{"instance far from the store", "", func(s *site, r *rand.Rand) func() { return on(pick(r, s.processes).store, slow(r)) }},
	{"instance cut off from others", "", func(s *site, r *rand.Rand) func() { return on(pick(r, s.processes).peer, cut(r)) }},
	{"links between instances slow", "", func(s *site, r *rand.Rand) func() { return on(pick(r, s.processes).peer, slow(r)) }},
	{"runner cut off", "", func(s *site, r *rand.Rand) func() { return on(pick(r, s.hosts).relay, cut(r)) }},
	{"runner far away", "", func(s *site, r *rand.Rand) func() { return on(pick(r, s.hosts).relay, slow(r)) }},
	{"runner crashed", "", func(s *site, r *rand.Rand) func() {
		h := pick(r, s.hosts)
		h.relay.SetFaults(both)
		h.runner.Restart()
		return func() {
			h.relay.ResetConnections()
			h.relay.SetFaults(linkstandin.Faults{})
			h.runner.Register(s.store, pool, h.relay.Address(), milliCPU, "ready")
		}
	}},
	{"runner draining", "", func(s *site, r *rand.Rand) func() {
		h := pick(r, s.hosts)
		h.runner.Register(s.store, pool, h.relay.Address(), milliCPU, "draining")
		return func() { h.runner.Register(s.store, pool, h.relay.Address(), milliCPU, "ready") }
	}},
	{"registration missing", "", func(s *site, r *rand.Rand) func() {
		h := pick(r, s.hosts)
		s.store.Delete("servers", h.runner.ID)
		return func() { h.runner.Register(s.store, pool, h.relay.Address(), milliCPU, "ready") }
	}},
	{"connections reset", "", func(s *site, r *rand.Rand) func() {
		p := pick(r, s.processes)
		p.store.ResetConnections()
		p.peer.ResetConnections()
		pick(r, s.hosts).relay.ResetConnections()
		return func() {}
	}},
}

// lives is the group of the faults that start and end instances.
const lives = "lives"

// playFaults plays random faults, some over one another, for a span.
func (s *site) playFaults(span time.Duration) {
	time.Sleep(startupSpan)
	var open sync.WaitGroup
	busy := map[string]*sync.Mutex{}
	for _, f := range faults {
		busy[cmp.Or(f.group, f.name)] = &sync.Mutex{}
	}
	for end := time.Now().Add(span); time.Now().Before(end); {
		f := pick(s.random, faults)
		draw := rand.New(rand.NewPCG(s.random.Uint64(), 2))
		length := shortest + time.Duration(s.random.Int64N(int64(longest-shortest)))
		pause := time.Duration(s.random.ExpFloat64() * float64(meanPause))
		if group := busy[cmp.Or(f.group, f.name)]; group.TryLock() {
			open.Go(func() {
				defer group.Unlock()
				s.note("%s, for %v", f.name, length.Round(time.Millisecond))
				undo := f.begin(s, draw)
				time.Sleep(length)
				undo()
				s.note("%s, over", f.name)
			})
		}
		time.Sleep(pause)
	}
	open.Wait()
}

// mend ends what faults have left behind, and returns the instances that have
// ended by themselves.
func (s *site) mend() (ended []string) {
	for _, p := range s.processes {
		p.signal(syscall.SIGCONT)
		if !p.runs() {
			ended = append(ended, p.name+" ended by itself")
			p.start()
		}
	}
	time.Sleep(restartPause)
	return ended
}
