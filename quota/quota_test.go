package quota_test

import (
	"math"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"fuchsiacross/job"
	"fuchsiacross/model"
	"fuchsiacross/quota"
)

func milliCPU(n int64) model.Resources { return model.Resources{MilliCPU: n} }

func newLedger(limit model.Resources) *quota.Ledger {
	l := quota.NewLedger()
	l.Configure([]job.Tenant{{Name: "a", Limit: limit}, {Name: "free"}}, 0, 1)
	return l
}

// Guards against starts above the limit, and against limits on tenants that have none.
func TestRoomIsTheLimitLessTheUse(t *testing.T) {
	g := NewWithT(t)
	l := newLedger(milliCPU(10_000))
	l.Charge("a", model.Resources{MilliCPU: 4000, MemoryBytes: 1 << 40})
	g.Expect(l.Room("a", milliCPU(2000))).To(Equal(3))
	g.Expect(l.Room("a", milliCPU(6001))).To(Equal(0))
	g.Expect(l.Room("a", model.Resources{MemoryBytes: 1 << 40})).To(Equal(math.MaxInt), "memory has no limit")
	for _, tenant := range []string{"", "free", "unknown"} {
		l.Charge(tenant, milliCPU(1<<40))
		g.Expect(l.Room(tenant, milliCPU(1))).To(Equal(math.MaxInt), tenant)
	}
	l.Release("a", milliCPU(4000))
	g.Expect(l.Room("a", milliCPU(2000))).To(Equal(5))
}

// Guards against a new leader that starts tasks beside runs that it has not read.
func TestCapacityOfUnreadWorkersCountsAsUsed(t *testing.T) {
	g := NewWithT(t)
	l := newLedger(milliCPU(10_000))
	l.Charge("a", milliCPU(1000))
	l.Hide(milliCPU(8000), milliCPU(3000))
	l.Hide(milliCPU(1000), milliCPU(2000)) // its registration has shrunk
	g.Expect(l.Room("a", milliCPU(1000))).To(Equal(4))
	g.Expect(l.Room("free", milliCPU(1000))).To(Equal(math.MaxInt))
	l.Hide(milliCPU(64_000), milliCPU(0))
	g.Expect(l.Room("a", milliCPU(1000))).To(Equal(0))
	l.ClearHidden()
	g.Expect(l.Room("a", milliCPU(1000))).To(Equal(9))
}

// Guards against a limit that ends with the tenant's configuration, and against a lower limit that
// gives negative room.
func TestLimitsOfLaterConfigurations(t *testing.T) {
	g := NewWithT(t)
	l := newLedger(milliCPU(10_000))
	l.Charge("a", milliCPU(8000))
	l.Configure([]job.Tenant{{Name: "a", Limit: milliCPU(5000)}}, 0, 1)
	g.Expect(l.Room("a", milliCPU(1))).To(Equal(0))
	l.Configure(nil, 0, 1)
	g.Expect(l.Limited()).To(BeTrue())
	g.Expect(l.Room("a", milliCPU(1))).To(Equal(0), "a removed tenant keeps its limit")
	l.Configure([]job.Tenant{{Name: "a"}}, 0, 1)
	g.Expect(l.Limited()).To(BeFalse())
}

// Guards against leaders of several shards that together exceed the limit.
func TestPartsOfShardsAddUpToTheLimit(t *testing.T) {
	g := NewWithT(t)
	limit := model.Resources{MilliCPU: 10_001, MemoryBytes: 7, Accelerators: 1}
	for shards := 1; shards <= 9; shards++ {
		sum := model.Resources{}
		for shard := range shards {
			part := quota.Part(limit, shard, shards)
			part.Slots = 0
			sum = sum.Add(part)
		}
		g.Expect(sum).To(Equal(limit))
	}
	g.Expect(quota.Part(limit, 1, 2).Accelerators).To(Equal(int64(0)), "no accelerator, not unlimited ones")
	l := quota.NewLedger()
	l.Configure([]job.Tenant{{Name: "a", Limit: limit}}, 1, 2)
	g.Expect(l.Room("a", model.Resources{Accelerators: 1})).To(Equal(0))
}

// Guards against accepted jobs that can never start, and against refused ones that can.
func TestRefusalOfWhatNeverFits(t *testing.T) {
	limit := model.Resources{MilliCPU: 10_000, MemoryBytes: 1000}
	cases := []struct {
		name   string
		step   job.Step
		limit  model.Resources
		reason string
	}{
		{"fits exactly", job.Step{Tasks: 5, Gang: true, Demand: milliCPU(2000)}, limit, ""},
		{"many tasks, no gang", job.Step{Tasks: 5000, Demand: milliCPU(10_000)}, limit, ""},
		{"wide gang", job.Step{Tasks: 6, Gang: true, Demand: milliCPU(2000)}, limit, "step 0: a gang needs 12000 of processors (thousandths); the tenant's quota allows 10000"},
		{"large task", job.Step{Tasks: 1, Demand: model.Resources{MemoryBytes: 1001}}, limit, "step 0: a task needs 1001 of memory (bytes); the tenant's quota allows 1000"},
		{"accelerators", job.Step{Tasks: 2, Gang: true, Demand: model.Resources{Accelerators: 1}}, model.Resources{Accelerators: 1}, "step 0: a gang needs 2 of accelerators; the tenant's quota allows 1"},
		{"overflow", job.Step{Tasks: 5000, Gang: true, Demand: milliCPU(math.MaxInt64 / 2)}, limit, "step 0: a gang needs 9223372036854775807 of processors (thousandths); the tenant's quota allows 10000"},
		{"no limit", job.Step{Tasks: 5000, Gang: true, Demand: milliCPU(1 << 40)}, model.Resources{}, ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			d := job.Definition{Steps: []job.Step{c.step}}
			NewWithT(t).Expect(quota.Check(&d, c.limit, 0, 1)).To(Equal(c.reason))
		})
	}
}

// Guards against a log line for each skipped step.
func TestReachedQuotaIsReportedOnceInTwoSeconds(t *testing.T) {
	g := NewWithT(t)
	l, now := newLedger(milliCPU(1)), time.UnixMilli(1_700_000_000_000)
	g.Expect(l.Skip("a", now)).To(BeTrue())
	g.Expect(l.Skip("a", now.Add(1999*time.Millisecond))).To(BeFalse())
	g.Expect(l.Skip("a", now.Add(2*time.Second))).To(BeTrue())
	report := l.Report()
	g.Expect(report).To(HaveLen(2))
	g.Expect(report[0].Tenant).To(Equal("a"))
	g.Expect(report[0].Skipped).To(Equal(int64(3)))
	g.Expect(l.Report()[0].Skipped).To(Equal(int64(0)))
}

// Guards against metrics that grow with the number of tenants.
func TestReportIsBounded(t *testing.T) {
	g := NewWithT(t)
	l := quota.NewLedger()
	for n, tenant := range []string{"a", "b", "c", "d"} {
		l.Charge(tenant, milliCPU(int64(n)))
		l.CountWaiting(tenant, n%2 == 0)
	}
	l.CountWaiting("", true)
	bound := quota.Bound(l.Report(), 2)
	g.Expect(bound).To(HaveLen(3))
	g.Expect(bound[0].Tenant).To(Equal("d"))
	g.Expect(bound[1].Tenant).To(Equal("c"))
	g.Expect(bound[2]).To(Equal(quota.Account{
		Tenant: quota.OtherTenants, Used: milliCPU(1), Limit: quota.Part(model.Resources{}, 0, 1), WaitingSteps: 2, BeyondShare: 1,
	}))
	g.Expect(l.Report()[0].WaitingSteps).To(Equal(int64(0)))
}

// Guards against two steps that give way to each other, and against work beyond the share that holds
// up work within it.
func TestOneStepOfATenantHasTheTurn(t *testing.T) {
	g := NewWithT(t)
	l, now := newLedger(milliCPU(1)), time.UnixMilli(1_700_000_000_000)
	step := func(n int) job.StepID { return job.StepID{Job: "a", Step: n} }
	l.OfferTurn("a", quota.Turn{Step: step(1), Since: now, BeyondShare: true})
	g.Expect(l.GivesWay("a", step(2), false)).To(BeFalse())
	g.Expect(l.GivesWay("a", step(2), true)).To(BeTrue())
	l.OfferTurn("a", quota.Turn{Step: step(3), Since: now.Add(2)})
	l.OfferTurn("a", quota.Turn{Step: step(4), Since: now.Add(1)})
	g.Expect(l.GivesWay("a", step(4), false)).To(BeFalse())
	for _, n := range []int{1, 2, 3} {
		g.Expect(l.GivesWay("a", step(n), false)).To(BeTrue(), "step %d", n)
	}
	g.Expect(l.GivesWay("free", step(1), true)).To(BeFalse())
	l.ClearTurns()
	g.Expect(l.GivesWay("a", step(1), true)).To(BeFalse())
	l = newLedger(milliCPU(10))
	l.Charge("a", milliCPU(3))
	l.OfferTurn("a", quota.Turn{Step: step(1), Since: now, Need: milliCPU(4)})
	g.Expect(l.RoomBesideTurn("a", milliCPU(1))).To(Equal(3))
	g.Expect(l.Room("a", milliCPU(1))).To(Equal(7))
}
