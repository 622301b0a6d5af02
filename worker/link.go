package worker

import (
	"sync"

	"fuchsiacross/model"
)

// callsPerLine is the number of Run calls in flight on every connection above
// which another one is opened. A runner has 8 slots in both deployments, so one
// connection serves it; more only help against a large answer that holds up
// small ones.
const callsPerLine = 16

// link is the pool of connections to one worker. The first connection carries
// the session.
type link struct {
	options Options
	meter   *meter
	worker  model.Worker

	mu     sync.Mutex
	lines  []*line
	closed bool
}

func newLink(o Options, m *meter, worker model.Worker) *link {
	return &link{options: o, meter: m, worker: worker}
}

// renew replaces every connection, because the old ones may belong to a cut
// link. Calls in flight keep theirs until they end.
func (l *link) renew() *line {
	l.mu.Lock()
	old := l.lines
	first := newLine(l.options, l.meter, l.worker)
	l.lines = []*line{first}
	unused := idle(old)
	l.mu.Unlock()
	closeAll(unused)
	return first
}

// take returns the connection for one Run call.
func (l *link) take() *line {
	l.mu.Lock()
	defer l.mu.Unlock()
	best := l.lines[0]
	for _, candidate := range l.lines[1:] {
		if candidate.calls < best.calls {
			best = candidate
		}
	}
	if best.calls >= callsPerLine && len(l.lines) < l.options.MaxConnections() {
		best = newLine(l.options, l.meter, l.worker)
		l.lines = append(l.lines, best)
	}
	best.calls++
	return best
}

// give returns a connection after its call. A connection that was replaced
// meanwhile closes with its last call.
func (l *link) give(used *line) {
	l.mu.Lock()
	used.calls--
	retired := used.calls == 0 && (l.closed || !l.has(used))
	l.mu.Unlock()
	if retired {
		used.close()
	}
}

// close closes the connections without calls now and the others after their
// last call.
func (l *link) close() {
	l.mu.Lock()
	l.closed = true
	unused := idle(l.lines)
	l.mu.Unlock()
	closeAll(unused)
}

func (l *link) has(wanted *line) bool {
	for _, candidate := range l.lines {
		if candidate == wanted {
			return true
		}
	}
	return false
}

func idle(lines []*line) []*line {
	var unused []*line
	for _, candidate := range lines {
		if candidate.calls == 0 {
			unused = append(unused, candidate)
		}
	}
	return unused
}

func closeAll(lines []*line) {
	for _, unused := range lines {
		unused.close()
	}
}
