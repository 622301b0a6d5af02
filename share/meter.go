// Package share decides which jobs of a tenant are within its share of full workers, in which order
// the tenants are served, and which tenants' further jobs are refused early.
//
// Load pattern: tenants of very uneven size under full load, one of which at times submits several
// times its usual work for some seconds. The others must be served as if it did not.
//
// # Usage
//
//	m := share.NewMeter(1)
//	m.Configure(tenants)
//	within := m.Within("acme", acceptedAt)
package share

import (
	"time"

	"fuchsiacross/job"
)

// Meter decides for each job whether it is within its tenant's share: a token bucket with Weight
// jobs a second and one second's tokens. It is deterministic, so that leaders that see the same
// jobs in the order of acceptance agree. It is not safe for concurrent use.
type Meter struct {
	parts   float64 // among which each tenant's weight is divided
	buckets map[string]*bucket
}

// bucket is the state of one tenant.
type bucket struct {
	weight float64
	tokens float64
	at     time.Time // when the tokens were counted; zero before the first job
}

// NewMeter returns a meter that sees one of several equal parts of each tenant's jobs.
func NewMeter(parts int) *Meter {
	return &Meter{parts: float64(max(1, parts)), buckets: map[string]*bucket{}}
}

// Configure sets the weights of the tenants. A tenant that is no longer configured has no share
// of its own: its jobs are within, as those of no tenant.
func (m *Meter) Configure(tenants []job.Tenant) {
	before := m.buckets
	m.buckets = make(map[string]*bucket, len(tenants))
	for i := range tenants {
		b := before[tenants[i].Name]
		if b == nil {
			b = &bucket{}
		}
		b.weight = EffectiveWeight(tenants[i].Weight)
		m.buckets[tenants[i].Name] = b
	}
}

// EffectiveWeight returns the weight to use for a configured one. A missing weight counts as 1.
func EffectiveWeight(weight float64) float64 {
	if !(weight > 0) {
		return 1
	}
	return weight
}

// Within counts a job of a tenant that was accepted at a time, and returns whether it is within
// the tenant's share. Jobs without a tenant are within. A job that was accepted before an earlier
// one counts as accepted with it.
func (m *Meter) Within(tenant string, acceptedAt time.Time) bool {
	b := m.buckets[tenant]
	if b == nil {
		return true
	}
	// With less than one token a second, a bucket of one second would never hold a whole one.
	rate := b.weight / m.parts
	capacity := max(1, rate)
	switch {
	case b.at.IsZero():
		b.tokens, b.at = capacity, acceptedAt
	case acceptedAt.After(b.at):
		b.tokens = min(capacity, b.tokens+rate*acceptedAt.Sub(b.at).Seconds())
		b.at = acceptedAt
	}
	// Sums of fractions may fall short of a whole token by a rounding error.
	const roundingMargin = 1e-9
	if b.tokens < 1-roundingMargin {
		return false
	}
	b.tokens--
	return true
}

// Active reports whether any tenant is configured.
func (m *Meter) Active() bool { return len(m.buckets) > 0 }

// Weight returns the weight of a tenant; 1 if it is not configured.
func (m *Meter) Weight(tenant string) float64 {
	if b := m.buckets[tenant]; b != nil {
		return b.weight
	}
	return 1
}

// WaitForToken returns how long after a time the next job of a tenant is within its share.
func (m *Meter) WaitForToken(tenant string, now time.Time) time.Duration {
	b := m.buckets[tenant]
	if b == nil || b.at.IsZero() {
		return 0
	}
	missing := 1 - b.tokens
	wait := time.Duration(missing/(b.weight/m.parts)*float64(time.Second)) - now.Sub(b.at)
	return max(0, wait)
}
