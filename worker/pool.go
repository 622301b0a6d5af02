package worker

import (
	"sync"

	"fuchsiacross/model"
)

// callsPerConnectionThreshold is the number of Run calls in flight on each
// connection at which the pool opens another one. A runner has 8 slots in both
// deployments, so one connection is enough; further ones only reduce head-of-line
// blocking of small answers behind a large one.
const callsPerConnectionThreshold = 16

// connectionPool holds the connections to one worker. The first connection
// carries the session stream.
type connectionPool struct {
	options  Options
	counters *counters
	worker   model.Worker

	mu          sync.Mutex
	connections []*connection
	closed      bool
}

func newConnectionPool(o Options, counters *counters, worker model.Worker) *connectionPool {
	return &connectionPool{options: o, counters: counters, worker: worker}
}

// replaceAll replaces all connections by a new one, which it returns, because
// the old ones may belong to a broken network path. A call in flight keeps its
// connection until it ends.
func (p *connectionPool) replaceAll() *connection {
	p.mu.Lock()
	old := p.connections
	fresh := newConnection(p.options, p.counters, p.worker)
	p.connections = []*connection{fresh}
	unused := idleConnections(old)
	p.mu.Unlock()
	closeConnections(unused)
	return fresh
}

// checkOut returns the connection with the fewest calls for a new Run call. It
// opens another connection if all are loaded and the limit allows it.
func (p *connectionPool) checkOut() *connection {
	p.mu.Lock()
	defer p.mu.Unlock()
	best := p.connections[0]
	for _, candidate := range p.connections[1:] {
		if candidate.activeCalls < best.activeCalls {
			best = candidate
		}
	}
	if best.activeCalls >= callsPerConnectionThreshold && len(p.connections) < p.options.MaxConnections() {
		best = newConnection(p.options, p.counters, p.worker)
		p.connections = append(p.connections, best)
	}
	best.activeCalls++
	return best
}

// checkIn returns a connection after a Run call. A connection that was replaced
// or whose pool was closed meanwhile is closed after its last call.
func (p *connectionPool) checkIn(used *connection) {
	p.mu.Lock()
	used.activeCalls--
	retired := used.activeCalls == 0 && (p.closed || !p.contains(used))
	p.mu.Unlock()
	if retired {
		used.close()
	}
}

// close closes the connections without calls; checkIn closes the others after
// their last call.
func (p *connectionPool) close() {
	p.mu.Lock()
	p.closed = true
	unused := idleConnections(p.connections)
	p.mu.Unlock()
	closeConnections(unused)
}

func (p *connectionPool) contains(wanted *connection) bool {
	for _, candidate := range p.connections {
		if candidate == wanted {
			return true
		}
	}
	return false
}

func idleConnections(connections []*connection) []*connection {
	var unused []*connection
	for _, candidate := range connections {
		if candidate.activeCalls == 0 {
			unused = append(unused, candidate)
		}
	}
	return unused
}

func closeConnections(connections []*connection) {
	for _, c := range connections {
		c.close()
	}
}
