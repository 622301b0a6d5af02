package tenant

import (
	"cmp"
	"slices"
	"sync"
)

const (
	// MaxNamed is the number of tenants whose calls are reported by name.
	MaxNamed = 32
	// maxCounted bounds the memory for tenants that come and go with the configurations.
	maxCounted = 4096
)

// Calls counts the calls of tenants. Its methods are safe for concurrent use.
type Calls struct {
	mu      sync.Mutex
	byName  map[string]int64
	further int64 // calls of tenants beyond maxCounted
}

// NewCalls returns counters without any call.
func NewCalls() *Calls { return &Calls{byName: map[string]int64{}} }

// Record counts a call of a tenant.
func (c *Calls) Record(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, known := c.byName[name]; !known && len(c.byName) >= maxCounted {
		c.further++
		return
	}
	c.byName[name]++
}

// NamedCalls is the number of calls of a tenant.
type NamedCalls struct {
	Name  string
	Calls int64
}

// Summary returns the MaxNamed tenants with the most calls, and the calls of all others.
func (c *Calls) Summary() (named []NamedCalls, others int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for name, n := range c.byName {
		named = append(named, NamedCalls{name, n})
	}
	slices.SortFunc(named, func(a, b NamedCalls) int {
		return cmp.Or(cmp.Compare(b.Calls, a.Calls), cmp.Compare(a.Name, b.Name))
	})
	others = c.further
	if len(named) > MaxNamed {
		for _, n := range named[MaxNamed:] {
			others += n.Calls
		}
		named = named[:MaxNamed]
	}
	return named, others
}
