package tenant_test

import (
	"crypto/sha256"
	"fmt"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"fuchsiacross/job"
	"fuchsiacross/tenant"
)

func TestTenant(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "tenant")
}

const (
	currentKey = "abcdefghij0123456789"
	otherKey   = "zyxwvutsrq9876543210"
)

var directory = tenant.NewDirectory([]job.Tenant{
	{Name: "a", KeyDigests: [][sha256.Size]byte{tenant.Digest(currentKey), tenant.Digest(strings.Repeat("k", tenant.MaxKeyBytes))}},
	{Name: "b", KeyDigests: [][sha256.Size]byte{tenant.Digest(otherKey)}},
})

var _ = Describe("Authenticate", func() {
	// A key accepted in another form than the configured one, or a part of a key in the
	// reason, would let a caller in or help it to guess.
	It("accepts exactly one known key and names the reason otherwise", func() {
		tests := []struct {
			header []string
			name   string
			err    error
		}{
			{[]string{"Bearer " + currentKey}, "a", nil},
			{[]string{"bEARER   " + otherKey}, "b", nil},
			{[]string{"Bearer " + strings.Repeat("k", 256)}, "a", nil},
			{nil, "", tenant.ErrMissing},
			{[]string{"Bearer " + currentKey, "Bearer " + currentKey}, "", tenant.ErrRepeated},
			{[]string{""}, "", tenant.ErrMalformed},
			{[]string{"Bearer"}, "", tenant.ErrMalformed},
			{[]string{"Bearer "}, "", tenant.ErrMalformed},
			{[]string{"Basic " + currentKey}, "", tenant.ErrMalformed},
			{[]string{currentKey}, "", tenant.ErrMalformed},
			{[]string{"Bearer " + currentKey + " " + otherKey}, "", tenant.ErrMalformed},
			{[]string{"Bearer " + strings.Repeat("k", 257)}, "", tenant.ErrOversized},
			{[]string{"Bearer " + currentKey[:19]}, "", tenant.ErrUnknown},
			{[]string{"Bearer " + strings.ToUpper(currentKey)}, "", tenant.ErrUnknown},
			{[]string{"Bearer " + currentKey + "x"}, "", tenant.ErrUnknown},
		}
		for _, test := range tests {
			name, err := directory.Authenticate(test.header)
			Expect(name).To(Equal(test.name))
			if test.err == nil {
				Expect(err).NotTo(HaveOccurred())
				continue
			}
			Expect(err).To(Equal(test.err))
			Expect(err.Error()).NotTo(ContainSubstring(currentKey[:6]))
		}
	})
})

var _ = Describe("Decide", func() {
	now := time.Unix(1_700_000_000, 0)
	valid, invalid := []string{"Bearer " + currentKey}, []string{"Bearer nothing"}
	required := tenant.Requirement{FeatureSet: true}
	confirmed := tenant.Freshness{Strict: true, Limit: 5 * time.Second, ConfirmedAt: now.Add(-5 * time.Second)}
	stale := tenant.Freshness{Strict: true, Limit: 5 * time.Second, ConfirmedAt: now.Add(-5*time.Second - 1)}

	// Guards against a deployment without tenants that suddenly needs keys, and against one
	// with tenants that opens its routes.
	It("requires keys by feature and by any earlier configuration with tenants", func() {
		tests := []struct {
			title       string
			requirement tenant.Requirement
			freshness   tenant.Freshness
			public      bool
			header      []string
			name        string
			verdict     tenant.Verdict
		}{
			{"earlier deployment", tenant.Requirement{}, tenant.Freshness{}, false, nil, "", tenant.Accepted},
			{"earlier deployment, header present", tenant.Requirement{}, stale, false, invalid, "", tenant.Accepted},
			{"feature", required, tenant.Freshness{}, false, nil, "", tenant.Rejected},
			{"earlier tenants", tenant.Requirement{HadTenants: true}, tenant.Freshness{}, false, invalid, "", tenant.Rejected},
			{"valid key", required, tenant.Freshness{}, false, valid, "a", tenant.Accepted},
			{"public without key", required, tenant.Freshness{}, true, nil, "", tenant.Accepted},
			{"public with key", required, tenant.Freshness{}, true, valid, "a", tenant.Accepted},
			{"public with invalid key", required, tenant.Freshness{}, true, invalid, "", tenant.Accepted},
			{"strict, just confirmed", required, confirmed, false, valid, "a", tenant.Accepted},
			{"strict, stale", required, stale, false, valid, "", tenant.Unconfirmed},
			{"strict, stale, key added meanwhile", required, stale, false, invalid, "", tenant.Unconfirmed},
			{"strict, stale, public without key", required, stale, true, nil, "", tenant.Accepted},
			{"strict, stale, public with key", required, stale, true, valid, "", tenant.Unconfirmed},
			{"strict, never confirmed", required, tenant.Freshness{Strict: true, Limit: time.Hour}, false, valid, "", tenant.Unconfirmed},
			{"not strict, stale", required, tenant.Freshness{ConfirmedAt: now.Add(-time.Hour)}, false, valid, "a", tenant.Accepted},
		}
		for _, test := range tests {
			name, verdict, reason := tenant.Decide(directory, test.requirement, test.freshness, test.public, test.header, now)
			Expect(verdict).To(Equal(test.verdict), test.title)
			Expect(name).To(Equal(test.name), test.title)
			Expect(reason != "").To(Equal(verdict == tenant.Rejected), test.title)
		}
	})

	It("uses 1.5 s where the settings give no limit", func() {
		Expect(tenant.Freshness{ConfirmedAt: now}.IsConfirmed(now.Add(1500 * time.Millisecond))).To(BeTrue())
		Expect(tenant.Freshness{ConfirmedAt: now}.IsConfirmed(now.Add(1501 * time.Millisecond))).To(BeFalse())
	})
})

var _ = Describe("Calls", func() {
	// Metrics by name would grow with every tenant that was ever configured.
	It("reports 32 tenants by name and the rest together", func() {
		c := tenant.NewCalls()
		for n := range 40 {
			for range n + 1 {
				c.Record(fmt.Sprintf("t%d", n))
			}
		}
		named, others := c.Summary()
		Expect(named).To(HaveLen(tenant.MaxNamed))
		Expect(named[0]).To(Equal(tenant.NamedCalls{Name: "t39", Calls: 40}))
		Expect(others).To(BeEquivalentTo(8 * 9 / 2))
	})
})
