package timeline

import (
	"slices"
	"sync"
	"time"

	"fuchsiacross/model"
)

// Ring keeps the latest records of a process. It is safe for concurrent use.
type Ring struct {
	mu       sync.Mutex
	records  []Record
	next     int // index that the next record overwrites once the ring is full
	capacity int
	sequence uint64
}

// NewRing returns an empty ring for capacity records, at least 1.
func NewRing(capacity int) *Ring {
	return &Ring{capacity: max(capacity, 1)}
}

// Add adds a record. If the ring is full, it overwrites the oldest one. A record with
// sequence 0 gets the next sequence number.
func (g *Ring) Add(r Record) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if r.Sequence == 0 {
		r.Sequence = g.sequence + 1
	}
	g.sequence = max(g.sequence, r.Sequence)
	if len(g.records) < g.capacity {
		g.records = append(g.records, r)
		return
	}
	g.records[g.next] = r
	g.next = (g.next + 1) % g.capacity
}

// Select returns the latest records after a time in the order in which they were added.
// If request is not empty, it returns only records of that request; if limit is not
// zero, it returns at most that many.
func (g *Ring) Select(after time.Time, request model.RequestID, limit int) []Record {
	g.mu.Lock()
	defer g.mu.Unlock()
	var found []Record
	for i := len(g.records) - 1; i >= 0; i-- {
		r := &g.records[(g.next+i)%len(g.records)]
		if !r.At.After(after) || (request != "" && r.Request != request) {
			continue
		}
		found = append(found, *r)
		if len(found) == limit {
			break
		}
	}
	slices.Reverse(found)
	return found
}
