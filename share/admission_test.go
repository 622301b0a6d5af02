package share_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"fuchsiacross/job"
	"fuchsiacross/share"
)

// Guards against refusals for work that has only just arrived, and against waits that do not fit
// the capacity that is left.
func TestRefusalsNameTenantsWithOldWork(t *testing.T) {
	g := NewWithT(t)
	waiting := []share.Waiting{
		{Tenant: "flood", Weight: 3, Since: start.Add(-1500 * time.Millisecond), Work: 300},
		{Tenant: "new", Weight: 1, Since: start.Add(-time.Second), Work: 1000},
		{Tenant: "brief", Weight: 1, Since: start.Add(-5 * time.Second), Work: 1},
	}
	g.Expect(share.Refusals(start, waiting, 100)).To(Equal([]share.Refusal{
		{Tenant: "brief", Wait: time.Second}, {Tenant: "flood", Wait: 5 * time.Second},
	}))
	g.Expect(share.Refusals(start, waiting, 0)[1].Wait).To(Equal(30*time.Second), "no capacity is left")
	g.Expect(share.Refusals(start, nil, 100)).To(BeEmpty())
}

func newGate(at time.Time) (*share.Gate, *job.Configuration) {
	gate := share.NewGate()
	gate.Announce(0, share.Announcement{Refusals: []share.Refusal{{Tenant: "flood", Wait: 4 * time.Second}}, At: at})
	return gate, &job.Configuration{Tenants: []job.Tenant{{Name: "flood", Weight: 4}, {Name: "calm", Weight: 1}}}
}

// Guards against refusals of jobs within the share, of other tenants and by other shards.
func TestGateRefusesOnlyBeyondTheShare(t *testing.T) {
	g := NewWithT(t)
	gate, c := newGate(start)
	refused := 0
	for range 10 {
		if wait, no := gate.Refuse(start, c, "flood", 0); no {
			g.Expect(wait).To(Equal(4 * time.Second))
			refused++
		}
	}
	g.Expect(refused).To(Equal(6), "an instance alone admits the whole weight")
	for range 10 {
		for _, tenant := range []string{"calm", "", "unknown"} {
			_, no := gate.Refuse(start, c, tenant, 0)
			g.Expect(no).To(BeFalse(), tenant)
		}
		_, no := gate.Refuse(start, c, "flood", 1)
		g.Expect(no).To(BeFalse(), "another shard")
	}
	_, no := gate.Refuse(start, &job.Configuration{}, "flood", 0)
	g.Expect(no).To(BeFalse(), "no tenants")
}

// Guards against refusals on the word of a leader that is gone.
func TestGateForgetsASilentLeader(t *testing.T) {
	g := NewWithT(t)
	gate, c := newGate(start)
	now := start.Add(2001 * time.Millisecond)
	for range 20 {
		_, no := gate.Refuse(now, c, "flood", 0)
		g.Expect(no).To(BeFalse())
	}
}
