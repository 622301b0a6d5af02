package instance

import (
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"fuchsiacross/job"
	"fuchsiacross/logevent"
	"fuchsiacross/tenant"
)

const keyLogInterval = time.Second

// keyState is what an instance keeps about the keys of requests beside the configuration.
type keyState struct {
	calls       *tenant.Calls
	unconfirmed atomic.Bool // requests are refused because the configuration is not confirmed

	mu               sync.Mutex
	refusalsLoggedAt time.Time
	refusals         int64 // since then
}

func newKeyState() *keyState { return &keyState{calls: tenant.NewCalls()} }

// countRefusal counts a refused key. It returns the number of refusals since the last one
// that was logged, or zero if the last one was logged less than keyLogInterval ago.
func (k *keyState) countRefusal(now time.Time) int64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.refusals++
	if now.Sub(k.refusalsLoggedAt) < keyLogInterval {
		return 0
	}
	n := k.refusals
	k.refusals, k.refusalsLoggedAt = 0, now
	return n
}

// freshness tells how current the configuration is by the store's answers alone, or by those
// of other instances too.
func (i *Instance) freshness(withOthers bool) tenant.Freshness {
	f := tenant.Freshness{
		Strict: i.settings.StrictRevocation, Limit: time.Duration(i.settings.RevocationMilliseconds) * time.Millisecond,
		ConfirmedAt: i.feed.StoreConfirmedAt(),
	}
	if withOthers {
		f.ConfirmedAt = i.feed.ConfirmedAt()
	}
	return f
}

// keysRequired reports whether requests to routes that are not public need keys.
func (i *Instance) keysRequired() bool {
	if c := i.configuration.Load(); c != nil {
		return c.requirement.KeysRequired()
	}
	return i.settings.HasFeature(FeatureTenants)
}

// authenticate returns the tenant of a request to a queue of a configuration, or the response
// if the request is not served.
func (i *Instance) authenticate(c *configurationInForce, q *job.Queue, authorization []string) (string, *job.Response) {
	now := time.Now()
	name, verdict, reason := tenant.Decide(c.directory, c.requirement, i.freshness(true), q.Public, authorization, now)
	switch verdict {
	case tenant.Unconfirmed:
		i.counter("keys.unconfirmed").Inc(1)
		if !i.keys.unconfirmed.Swap(true) {
			logevent.KeysUnconfirmed.Log(i.log, zap.Int64("configuration", c.Version))
		}
		return "", &job.Response{
			Outcome: job.OutcomeRefused, Reason: "this instance cannot learn whether the key is still valid",
			RetryAfter: storeRetryAfter, RetryElsewhere: true,
		}
	case tenant.Rejected:
		i.counter("keys.refused." + reason.Cause()).Inc(1)
		if n := i.keys.countRefusal(now); n > 0 {
			logevent.KeyRefused.Log(i.log, zap.String("cause", reason.Cause()), zap.String("queue", q.Name), zap.Int64("requests", n), zap.Int64("configuration", c.Version))
		}
		return "", &job.Response{Outcome: job.OutcomeUnauthorized, Reason: reason.Error()}
	}
	if name != "" {
		i.keys.calls.Record(name)
	}
	if i.keys.unconfirmed.Load() && i.freshness(true).IsConfirmed(now) && i.keys.unconfirmed.Swap(false) {
		logevent.KeysConfirmed.Log(i.log, zap.Int64("configuration", c.Version))
	}
	return name, nil
}

const (
	tenantCallsPrefix = "tenant_calls."
	otherTenants      = "other" // the tenants whose calls are not reported by name
)

// updateTenantMetrics sets the gauges of the tenants with the most calls, and removes those of
// others.
func (i *Instance) updateTenantMetrics() {
	named, others := i.keys.calls.Summary()
	if len(named) == 0 {
		return
	}
	values := map[string]int64{otherTenants: others}
	for _, n := range named {
		values[n.Name] += n.Calls
	}
	i.metrics.Each(func(name string, _ any) {
		if tenantName, ok := strings.CutPrefix(name, tenantCallsPrefix); ok {
			if _, current := values[tenantName]; !current {
				i.metrics.Unregister(name)
			}
		}
	})
	for name, n := range values {
		metrics.GetOrRegisterGauge(tenantCallsPrefix+name, i.metrics).Update(n)
	}
}
