package intake

import "container/list"

// Phase is what a connection is doing.
type Phase int

// The phases of a connection.
const (
	PhaseIdle        Phase = iota // no byte of the next request has been read
	PhaseReceiving                // the header or the body of a request is incomplete
	PhaseServing                  // a whole request is processed
	PhaseSending                  // a part of a response is being written
	PhaseLinked                   // it is a link to another instance
	PhaseMultiplexed              // HTTP/2 with open streams, which are entries of their own
	PhaseEvicted                  // it is about to be closed
	phaseCount
)

// Entry is a connection of a Table, or a stream of HTTP/2, which counts like a connection.
type Entry struct {
	phase   Phase
	element *list.Element
}

// Phase returns the phase of the connection.
func (e *Entry) Phase() Phase { return e.phase }

// Table decides which connections stay open. It addresses clients that open many connections
// and send nothing, half a header or one request after the other. Connections with an
// incomplete request are evicted first, then those that are sending, since a client that does
// not read its responses stays in that phase, and then idle ones, in each case the oldest first.
// If there are none, the connection that began a whole request last is evicted: most likely it
// is one that sends many. It closes after the response. Links are not evicted.
type Table struct {
	limit  int
	phases [phaseCount]list.List // of *Entry, in the order in which the phase began
}

// NewTable returns a table without connections.
func NewTable(limit int) *Table { return &Table{limit: limit} }

// overshootDivisor allows an eighth more connections than the limit while evicted ones close.
const overshootDivisor = 8

// Open adds a new connection. It returns a nil entry if the connection has to be refused, and
// the connection that is evicted for it, if any.
func (t *Table) Open() (entry, evicted *Entry) {
	if t.Len() >= t.limit+t.limit/overshootDivisor {
		return nil, nil
	}
	if t.Len()-t.phases[PhaseEvicted].Len() >= t.limit {
		victim := t.phases[PhaseReceiving].Front()
		if victim == nil {
			victim = t.phases[PhaseSending].Front()
		}
		if victim == nil {
			victim = t.phases[PhaseIdle].Front()
		}
		if victim == nil {
			victim = t.phases[PhaseServing].Back()
		}
		if victim == nil {
			return nil, nil
		}
		evicted = victim.Value.(*Entry)
		t.Move(evicted, PhaseEvicted)
	}
	entry = &Entry{}
	entry.element = t.phases[PhaseIdle].PushBack(entry)
	return entry, evicted
}

// Len returns the number of connections.
func (t *Table) Len() int {
	total := 0
	for n := range t.phases {
		total += t.phases[n].Len()
	}
	return total
}

// Move begins a phase of a connection. It does nothing if the connection is in it already, so
// that the age counts from its begin, or if the connection has been removed.
func (t *Table) Move(e *Entry, phase Phase) {
	if e.element == nil || e.phase == phase {
		return
	}
	t.phases[e.phase].Remove(e.element)
	e.phase, e.element = phase, t.phases[phase].PushBack(e)
}

// Remove removes a connection that has been closed.
func (t *Table) Remove(e *Entry) {
	if e.element != nil {
		t.phases[e.phase].Remove(e.element)
		e.element = nil
	}
}
