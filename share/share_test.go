package share_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"fuchsiacross/job"
	"fuchsiacross/share"
)

var start = time.UnixMilli(1_700_000_000_000)

// admit returns how many of the jobs at an even rate are within, and when the last one was.
func admit(m *share.Meter, tenant string, from time.Time, perSecond int, duration time.Duration) int {
	n := 0
	for at := time.Duration(0); at < duration; at += time.Second / time.Duration(perSecond) {
		if m.Within(tenant, from.Add(at)) {
			n++
		}
	}
	return n
}

// Guards against a burst that counts as within the share, and against a share that the usual load
// of a tenant does not fit.
func TestBurstOfOneTenant(t *testing.T) {
	g := NewWithT(t)
	m := share.NewMeter(1)
	m.Configure([]job.Tenant{{Name: "large", Weight: 82}, {Name: "small", Weight: 2}})
	g.Expect(admit(m, "large", start, 40, 10*time.Second)).To(Equal(400), "usual load")
	g.Expect(admit(m, "large", start.Add(10*time.Second), 300, 6*time.Second)).To(BeNumerically("~", 82+6*82, 2), "7.5 times the usual load")
	g.Expect(admit(m, "small", start, 2, 16*time.Second)).To(Equal(32), "each tenant has its own bucket")
	g.Expect(admit(m, "", start, 500, time.Second)).To(Equal(500), "no tenant")
}

// Guards against leaders that disagree about the same jobs, and against time that runs backwards.
func TestMeterIsDeterministic(t *testing.T) {
	g := NewWithT(t)
	newMeter := func() *share.Meter {
		m := share.NewMeter(2)
		m.Configure([]job.Tenant{{Name: "a", Weight: 3}})
		return m
	}
	first, second := newMeter(), newMeter()
	for n := range 200 {
		at := start.Add(time.Duration(n*n%997) * 10 * time.Millisecond)
		g.Expect(first.Within("a", at)).To(Equal(second.Within("a", at)))
	}
}

// Guards against a small weight, or a part of one, that never admits a job.
func TestWeightBelowOneJobASecond(t *testing.T) {
	g := NewWithT(t)
	m := share.NewMeter(4)
	m.Configure([]job.Tenant{{Name: "a", Weight: 1}, {Name: "unset"}})
	g.Expect(m.Within("a", start)).To(BeTrue())
	g.Expect(m.Within("a", start.Add(3*time.Second))).To(BeFalse())
	g.Expect(m.WaitForToken("a", start.Add(3*time.Second))).To(BeNumerically("~", time.Second, time.Microsecond))
	g.Expect(m.Within("a", start.Add(4*time.Second))).To(BeTrue())
	g.Expect(m.Within("unset", start)).To(BeTrue(), "a missing weight counts as 1")
}

// Guards against a configuration that refills the buckets.
func TestConfigurationKeepsTheTokens(t *testing.T) {
	g := NewWithT(t)
	m := share.NewMeter(1)
	for range 3 {
		m.Configure([]job.Tenant{{Name: "a", Weight: 2}})
		m.Within("a", start)
	}
	g.Expect(m.Within("a", start)).To(BeFalse())
}

// Guards against a tenant that gets all capacity that becomes free at once, and against one that
// is not served because others submit more.
func TestInterleavingFollowsTheWeights(t *testing.T) {
	g := NewWithT(t)
	var entries []share.Entry
	for range 40 {
		entries = append(entries, share.Entry{Tenant: "flood", Cost: 0.01})
	}
	for range 10 {
		entries = append(entries, share.Entry{Tenant: "small", Cost: 0.01})
	}
	usage := map[string]share.Usage{"flood": {Share: 0, Weight: 3}, "small": {Share: 0, Weight: 1}}
	order := share.Interleave(entries, usage)
	small := 0
	for _, at := range order[:20] {
		if entries[at].Tenant == "small" {
			small++
		}
	}
	g.Expect(small).To(Equal(5))
	g.Expect(order).To(HaveLen(50))

	usage["flood"] = share.Usage{Share: 0.3, Weight: 3}
	g.Expect(entries[share.Interleave(entries, usage)[0]].Tenant).To(Equal("small"), "the smaller ratio goes first")
}

// Guards against a changed order within a tenant.
func TestInterleavingKeepsTheOrderOfEachTenant(t *testing.T) {
	g := NewWithT(t)
	entries := []share.Entry{{"a", 0.5}, {"b", 0.1}, {"a", 0.1}, {"", 0}, {"b", 0.1}}
	last := map[string]int{}
	order := share.Interleave(entries, nil)
	g.Expect(order).To(ConsistOf(0, 1, 2, 3, 4))
	for _, at := range order {
		g.Expect(at).To(BeNumerically(">=", last[entries[at].Tenant]))
		last[entries[at].Tenant] = at
	}
}
