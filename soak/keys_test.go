package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"
)

const (
	tenantCount         = 4
	limitedTenants      = 2      // the first ones; their clients submit more than their limit for a while
	tenantLimitMilliCPU = 16_000 // of 128,000
	keyCharacters       = "abcdefghijklmnopqrstuvwxyz0123456789"
	keyLength           = 20
	minKeyChangePause   = 800 * time.Millisecond
	maxKeyChangePause   = 2500 * time.Millisecond
	probePause          = 25 * time.Millisecond
	wrongTenantOneIn    = 10                     // a status request is also made by another tenant with this probability
	configurationTime   = 3 * time.Second        // after which a connected instance knows a configuration
	disconnectedKeyTime = 9 * time.Second        // the same for an instance that only its leader can tell
	probeLatencyMargin  = 100 * time.Millisecond // for the request to reach the instance
)

// tenantKey is a key of a tenant. Its last change in a configuration was written at changedAt.
type tenantKey struct {
	text      string
	tenant    int
	changedAt time.Time
	revoked   bool
}

// interval is a time during which a fault kept an instance from learning of configurations.
type interval struct {
	from, until time.Time // until is zero while the fault lasts
	blocked     sources
}

// sources are the ways in which an instance learns of configurations.
type sources int

const (
	storeBlocked sources = 1 << iota
	leaderBlocked
	allBlocked = storeBlocked | leaderBlocked
)

// keyRing knows the keys of all configurations, and when which instance could learn of them.
type keyRing struct {
	mu           sync.Mutex
	random       *rand.Rand
	keys         []*tenantKey
	disturbances map[*process][]*interval
}

func newKeyRing(seed int64) *keyRing {
	k := &keyRing{random: rand.New(rand.NewPCG(uint64(seed), 300)), disturbances: map[*process][]*interval{}}
	for tenant := range tenantCount {
		for range 2 {
			k.keys = append(k.keys, &tenantKey{text: k.newText(), tenant: tenant})
		}
	}
	return k
}

func (k *keyRing) newText() string {
	text := make([]byte, keyLength)
	for n := range text {
		text[n] = keyCharacters[k.random.IntN(len(keyCharacters))]
	}
	return string(text)
}

// wireTenants returns the tenants of the next configuration.
func (k *keyRing) wireTenants() (tenants []map[string]any) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for tenant := range tenantCount {
		var texts []string
		for _, key := range k.keys {
			if key.tenant == tenant && !key.revoked {
				texts = append(texts, key.text)
			}
		}
		wire := map[string]any{"Name": tenantName(tenant), "ApiKeys": texts, "Weight": 1 + tenant}
		if tenant < limitedTenants {
			wire["MaxCount"] = map[string]int{"Cpu": tenantLimitMilliCPU}
		}
		tenants = append(tenants, wire)
	}
	return tenants
}

// rotate revokes the older key of a tenant and adds a new one. write stores the configuration.
func (k *keyRing) rotate(write func()) (tenant int) {
	k.mu.Lock()
	tenant = k.random.IntN(tenantCount)
	oldest := k.keys[slices.IndexFunc(k.keys, func(key *tenantKey) bool { return key.tenant == tenant && !key.revoked })]
	added := &tenantKey{text: k.newText(), tenant: tenant}
	oldest.revoked, oldest.changedAt = true, time.Time{}
	k.keys = append(k.keys, added)
	k.mu.Unlock()
	write()
	k.mu.Lock()
	defer k.mu.Unlock()
	oldest.changedAt, added.changedAt = time.Now(), time.Now()
	return tenant
}

// current returns the key that a tenant has had for longer.
func (k *keyRing) current(tenant int) tenantKey {
	k.mu.Lock()
	defer k.mu.Unlock()
	return *k.keys[slices.IndexFunc(k.keys, func(key *tenantKey) bool { return key.tenant == tenant && !key.revoked })]
}

// pick returns a random key of any configuration.
func (k *keyRing) pick(r *rand.Rand) tenantKey {
	k.mu.Lock()
	defer k.mu.Unlock()
	return *k.keys[r.IntN(len(k.keys))]
}

// isRevoked reports whether a key is revoked by now, or is being revoked.
func (k *keyRing) isRevoked(text string) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return slices.ContainsFunc(k.keys, func(key *tenantKey) bool { return key.text == text && key.revoked })
}

// disturb records that instances may not learn of configurations until the returned function
// is called.
func (k *keyRing) disturb(blocked sources, processes ...*process) func() {
	k.mu.Lock()
	defer k.mu.Unlock()
	var started []*interval
	for _, p := range processes {
		i := &interval{from: time.Now(), blocked: blocked}
		k.disturbances[p] = append(k.disturbances[p], i)
		started = append(started, i)
	}
	return func() {
		k.mu.Lock()
		defer k.mu.Unlock()
		for _, i := range started {
			i.until = time.Now()
		}
	}
}

// mustKnow reports whether an instance must know a configuration at a time: it was written, and
// then the instance was undisturbed for configurationTime, or could at least ask its leader for
// disconnectedKeyTime.
func (k *keyRing) mustKnow(p *process, writtenAt, at time.Time) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if writtenAt.IsZero() {
		return false
	}
	return k.quietTime(p, writtenAt, at, storeBlocked) > configurationTime ||
		k.quietTime(p, writtenAt, at, leaderBlocked) > disconnectedKeyTime
}

// quietTime returns the longest time between two disturbances of a source. The caller holds
// the mutex.
func (k *keyRing) quietTime(p *process, from, until time.Time, source sources) time.Duration {
	longest := time.Duration(0)
	// The intervals are ordered by their starts.
	for _, i := range k.disturbances[p] {
		if i.blocked&source == 0 || !i.until.IsZero() && i.until.Before(from) {
			continue
		}
		if i.from.After(until) {
			break
		}
		longest = max(longest, i.from.Sub(from))
		if i.until.IsZero() || i.until.After(until) {
			return longest
		}
		from = i.until
	}
	return max(longest, until.Sub(from))
}

// disturbing records a fault of instances until its restore function has been called.
func (c *cluster) disturbing(restore func(), blocked sources, processes ...*process) func() {
	end := c.keys.disturb(blocked, processes...)
	return func() {
		restore()
		end()
	}
}

// changeKeys revokes and adds keys from time to time.
func (c *clients) changeKeys() {
	random := rand.New(rand.NewPCG(uint64(c.cluster.seed), 301))
	for {
		select {
		case <-c.quit:
			return
		case <-time.After(minKeyChangePause + time.Duration(random.Int64N(int64(maxKeyChangePause-minKeyChangePause)))):
		}
		tenant := c.cluster.keys.rotate(c.cluster.writeConfiguration)
		c.cluster.recordEvent("a key of tenant %d replaced", tenant)
	}
}

// probeKeys makes calls with current, revoked and invented keys.
func (c *clients) probeKeys(client *http.Client, random *rand.Rand) {
	for {
		select {
		case <-c.quit:
			return
		case <-time.After(probePause):
		}
		key := c.cluster.keys.pick(random)
		if random.IntN(4) == 0 {
			key = tenantKey{text: fmt.Sprintf("%020d", random.Int64()), tenant: -1}
		}
		p := c.cluster.processes[random.IntN(len(c.cluster.processes))]
		sentAt := time.Now()
		status, _ := c.call(client, p, key.text, http.MethodGet, "/u/", nil)
		c.judge(p, key, sentAt, status)
	}
}

func tenantName(tenant int) string { return fmt.Sprintf("t%d", tenant) }

func otherTenant(tenant int) int { return (tenant + 1) % tenantCount }

// probeTenant asks now and then for the state of a job with a key of another tenant, and
// reports whether it was told.
func (c *clients) probeTenant(client *http.Client, j *submission, at time.Time) bool {
	// Drawing no random number leaves the clients' sequence as it is without tenants.
	if at.UnixMicro()%wrongTenantOneIn != 0 {
		return false
	}
	p := c.cluster.processes[int(at.UnixNano()/1000/wrongTenantOneIn)%len(c.cluster.processes)]
	status, _ := c.call(client, p, c.cluster.keys.current(otherTenant(j.tenant)).text, http.MethodGet, j.path, nil)
	return status == http.StatusOK
}

// judge reports a violation if a key was accepted or refused that an instance must have known
// to be revoked or current when the request was sent.
func (c *clients) judge(p *process, key tenantKey, sentAt time.Time, status int) {
	success := status/100 == 2
	switch {
	case key.tenant < 0:
		if success {
			c.reportViolation("%s accepted a key that no configuration held", p.name)
		}
	case key.revoked && success && c.cluster.keys.mustKnow(p, key.changedAt, sentAt):
		c.reportViolation("%s accepted a key of tenant %d, %v after it was revoked", p.name, key.tenant, sentAt.Sub(key.changedAt))
	case !key.revoked && status == http.StatusUnauthorized && !c.cluster.keys.isRevoked(key.text) && c.cluster.keys.mustKnow(p, key.changedAt, sentAt.Add(-probeLatencyMargin)):
		c.reportViolation("%s refused a current key of tenant %d, %v after it was added", p.name, key.tenant, sentAt.Sub(key.changedAt))
	}
}
