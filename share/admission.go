package share

import (
	"slices"
	"strings"
	"sync"
	"time"

	"fuchsiacross/job"
)

const (
	// refusalDelay is how long work beyond a share waits before further jobs beyond it are refused.
	refusalDelay = time.Second
	// announcementLifetime is how long a leader's announcement counts. Leaders repeat it with their
	// confirmations, to remote instances once a second.
	announcementLifetime = 2 * time.Second
	// minWait and maxWait bound the announced waits. A longer wait is no better founded, since the
	// load of the others may have changed by then.
	minWait = time.Second
	maxWait = 30 * time.Second
)

// Waiting is a tenant's work beyond its share that waits at a leader.
type Waiting struct {
	Tenant string
	Weight float64
	Since  time.Time // when the oldest of it could first have started
	Work   float64   // processor-seconds
}

// Refusal names a tenant whose further jobs beyond its share are to be refused.
type Refusal struct {
	Tenant string
	Wait   time.Duration // until what waits now is expected to have started
}

// Refusals returns the tenants with work beyond their share that has waited for longer than
// refusalDelay, sorted by name. The wait is that work divided by the tenant's part of the processors
// that work within the shares leaves.
func Refusals(now time.Time, waiting []Waiting, processors float64) []Refusal {
	weights := 0.0
	for i := range waiting {
		weights += EffectiveWeight(waiting[i].Weight)
	}
	var list []Refusal
	for _, w := range waiting {
		if now.Sub(w.Since) <= refusalDelay {
			continue
		}
		wait := maxWait
		if part := processors * EffectiveWeight(w.Weight) / weights; part > 0 && w.Work < part*maxWait.Seconds() {
			wait = time.Duration(w.Work / part * float64(time.Second))
		}
		list = append(list, Refusal{Tenant: w.Tenant, Wait: max(minWait, wait)})
	}
	slices.SortFunc(list, func(a, b Refusal) int { return strings.Compare(a.Tenant, b.Tenant) })
	return list
}

// Announcement is what the leader of a shard last told an instance.
type Announcement struct {
	Refusals []Refusal
	At       time.Time
}

// Gate decides at an instance which jobs are refused early. It is safe for concurrent use.
type Gate struct {
	mu            sync.Mutex
	meter         *Meter
	configuration *job.Configuration // that the meter has
	announcements map[int]Announcement
}

// NewGate returns a gate that knows no leader.
func NewGate() *Gate { return &Gate{meter: NewMeter(1), announcements: map[int]Announcement{}} }

// Announce records what the leader of a shard has told.
func (g *Gate) Announce(shard int, a Announcement) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.announcements[shard] = a
}

// Refuse counts a job of a tenant for a shard, and returns whether it is to be refused and after
// what time the client may try again. An instance sees only a part of each tenant's jobs. It
// refuses those beyond the whole share in its part, which are beyond the share in any case: with
// the weight divided by the number of instances, an eighth of the jobs within the shares were
// refused, since the connections of clients are spread unevenly.
func (g *Gate) Refuse(now time.Time, c *job.Configuration, tenant string, shard int) (retryAfter time.Duration, refused bool) {
	if tenant == "" || c == nil || len(c.Tenants) == 0 {
		return 0, false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.configuration != c {
		g.configuration = c
		g.meter.Configure(c.Tenants)
	}
	if g.meter.Within(tenant, now) {
		return 0, false
	}
	a := g.announcements[shard]
	if now.Sub(a.At) > announcementLifetime {
		return 0, false
	}
	for _, r := range a.Refusals {
		if r.Tenant == tenant {
			return max(minWait, r.Wait), true
		}
	}
	return 0, false
}
