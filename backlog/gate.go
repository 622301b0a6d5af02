package backlog

import (
	"sync"
	"time"
)

const (
	// announcementLifetime is how long a leader's announcement counts. Leaders repeat it with
	// their confirmations, to remote instances once a second.
	announcementLifetime = 2 * time.Second
	// unheardDivisor is the part of the limit that an instance accepts without hearing from
	// the leader.
	unheardDivisor = 8
)

// Announcement is what the leader of a shard refuses.
type Announcement struct {
	Refusals []Refusal
	At       time.Time
}

// Gate decides at one instance which new jobs are refused. It keeps the announcements of the
// leaders, and bounds what it admits while a leader is not heard, which a leader that follows
// would have to load. It is safe for concurrent use.
type Gate struct {
	mu            sync.Mutex
	limit         int64
	announcements map[int]Announcement // by shard
	unheard       map[int]int64        // bytes admitted since the leader was heard, by shard
}

// NewGate returns a Gate. The limit is that of the meters; zero means no limit.
func NewGate(limit int64) *Gate {
	return &Gate{limit: limit, announcements: map[int]Announcement{}, unheard: map[int]int64{}}
}

// Announce replaces the announcement of a shard.
func (g *Gate) Announce(shard int, a Announcement) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.announcements[shard] = a
	delete(g.unheard, shard)
}

// Heard records that the leader of a shard lives. It would announce what it refuses.
func (g *Gate) Heard(shard int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.unheard, shard)
}

// Admit counts a new job of a queue. It reports whether the job is to be refused instead, and
// when its client may return.
func (g *Gate) Admit(now time.Time, shard int, queue string, bytes int64) (retryAfter time.Duration, refused bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if a := g.announcements[shard]; now.Sub(a.At) <= announcementLifetime {
		for _, r := range a.Refusals {
			if r.Queue == queue {
				return r.Wait, true
			}
		}
	}
	// A single job is admitted whatever its size is.
	if unheard := g.unheard[shard]; g.limit > 0 && unheard > 0 && unheard+bytes > g.limit/unheardDivisor {
		return minWait, true
	}
	g.unheard[shard] += bytes
	return 0, false
}
