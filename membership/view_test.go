package membership_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"fuchsiacross/event"
	"fuchsiacross/membership"
	"fuchsiacross/model"
)

var startTime = time.Date(2026, 12, 4, 9, 0, 0, 0, time.UTC)

func timeAt(milliseconds int) time.Time {
	return startTime.Add(time.Duration(milliseconds) * time.Millisecond)
}

func instance(id string, centre model.DataCentre) model.Instance {
	return model.Instance{ID: model.InstanceID(id), DataCentre: centre, Weight: 1}
}

// viewOfThree returns the view of instance a, which has b and c in its list and
// has received their heartbeats.
func viewOfThree() *membership.View {
	v := membership.New(instance("a", "north"), 1, 1)
	v.UpdateList(startTime, []model.Instance{instance("a", "north"), instance("b", "north"), instance("c", "south")})
	v.ReceiveHeartbeat(startTime, event.Heartbeat{Instance: "b", Incarnation: 1, DataCentre: "north"})
	v.ReceiveHeartbeat(startTime, event.Heartbeat{Instance: "c", Incarnation: 1, DataCentre: "south"})
	v.UpdateLiveness(startTime)
	return v
}

func joinIDs(instances []model.Instance) string {
	var s string
	for _, i := range instances {
		s += string(i.ID)
	}
	return s
}

var _ = Describe("View", func() {
	// If a dead instance counts as live, its workers have no scheduler. If a live
	// instance counts as dead, its workers are handed over needlessly.
	It("tracks which instances are live and which are serving", func() {
		tests := []struct {
			name        string
			act         func(*membership.View)
			wantServing string
			wantLive    string
		}{
			{"all heard from", func(*membership.View) {}, "abc", "abc"},
			{"listed, never heard from", func(v *membership.View) {
				v.UpdateList(startTime, []model.Instance{instance("b", "north"), instance("c", "south"), instance("d", "north")})
			}, "abc", "abc"},
			{"heard from, missing from the list", func(v *membership.View) {
				v.UpdateList(startTime, nil)
			}, "abc", "abc"},
			{"heard from, never listed", func(v *membership.View) {
				v.ReceiveHeartbeat(startTime, event.Heartbeat{Instance: "d", Incarnation: 1, DataCentre: "south"})
			}, "abcd", "abcd"},
			{"leaving according to the list", func(v *membership.View) {
				leaving := instance("b", "north")
				leaving.Leaving = true
				v.UpdateList(startTime, []model.Instance{leaving, instance("c", "south")})
			}, "ac", "abc"},
			{"leaving according to its heartbeat", func(v *membership.View) {
				v.ReceiveHeartbeat(startTime, event.Heartbeat{Instance: "b", Incarnation: 1, DataCentre: "north", Draining: true})
			}, "ac", "abc"},
			{"this instance leaves", func(v *membership.View) { v.Drain() }, "bc", "abc"},
			{"one not heard from", func(v *membership.View) {
				v.ReceiveHeartbeat(timeAt(800), event.Heartbeat{Instance: "b", Incarnation: 1, DataCentre: "north"})
				v.UpdateLiveness(timeAt(800))
			}, "ab", "ab"},
			{"one not heard from directly, but by a peer", func(v *membership.View) {
				v.ReceiveHeartbeat(timeAt(800), event.Heartbeat{
					Instance: "b", Incarnation: 1, DataCentre: "north", HeardPeers: []model.InstanceID{"a", "c"},
				})
				v.UpdateLiveness(timeAt(800))
			}, "abc", "abc"},
			{"the peer that heard it not heard from either", func(v *membership.View) {
				v.ReceiveHeartbeat(timeAt(100), event.Heartbeat{
					Instance: "b", Incarnation: 1, DataCentre: "north", HeardPeers: []model.InstanceID{"a", "c"},
				})
				v.UpdateLiveness(timeAt(900))
			}, "a", "a"},
			{"a link closed", func(v *membership.View) { v.MarkLinkDown(timeAt(700), "b"); v.UpdateLiveness(timeAt(700)) }, "abc", "abc"},
		}
		for _, test := range tests {
			v := viewOfThree()
			test.act(v)
			Expect(joinIDs(v.ServingInstances())).To(Equal(test.wantServing), test.name)
			live := ""
			for _, id := range []model.InstanceID{"a", "b", "c", "d"} {
				if v.IsLive(id) {
					live += string(id)
				}
			}
			Expect(live).To(Equal(test.wantLive), test.name)
		}
	})

	// The reducer hands work over when a change is reported: a missing report leaves
	// work undone, and a repeated one hands it over twice.
	It("reports each change once", func() {
		v := viewOfThree()
		v.ReceiveHeartbeat(timeAt(700), event.Heartbeat{Instance: "c", Incarnation: 1, DataCentre: "south"})
		suspected, returned := v.UpdateLiveness(timeAt(800))
		Expect(suspected).To(Equal([]model.InstanceID{"b"}))
		Expect(returned).To(BeEmpty())
		suspected, returned = v.UpdateLiveness(timeAt(900))
		Expect(append(suspected, returned...)).To(BeEmpty())
		v.ReceiveHeartbeat(timeAt(1000), event.Heartbeat{Instance: "b", Incarnation: 1, DataCentre: "north"})
		suspected, returned = v.UpdateLiveness(timeAt(1001))
		Expect(suspected).To(BeEmpty())
		Expect(returned).To(Equal([]model.InstanceID{"b"}))
	})

	// A late heartbeat of an earlier incarnation must not restore that incarnation's
	// usage, claims or revision.
	It("ignores an earlier incarnation", func() {
		v := viewOfThree()
		v.ReceiveHeartbeat(timeAt(10), event.Heartbeat{Instance: "b", Incarnation: 3, DataCentre: "north", Revision: 4})
		v.ReceiveHeartbeat(timeAt(20), event.Heartbeat{Instance: "b", Incarnation: 2, DataCentre: "north", Revision: 9, Partitions: []model.Partition{1}})
		revision, from := v.NewestRevision()
		Expect(revision).To(Equal(model.Revision(4)))
		Expect(from).To(Equal(model.InstanceID("b")))
		_, held := v.PartitionHolder(1)
		Expect(held).To(BeFalse())
	})

	// Quotas are enforced with this sum: usage of dead instances would block a team
	// for ever, and usage counted twice would halve its quota.
	It("sums team usage over live peers", func() {
		v := viewOfThree()
		receive := func(ms int, id model.InstanceID, used int64) {
			v.ReceiveHeartbeat(timeAt(ms), event.Heartbeat{
				Instance: id, Incarnation: 1, DataCentre: "north",
				Usage: []event.TeamUsage{{Team: "gates", Used: model.Resources{MilliCPU: used}}},
			})
		}
		receive(0, "b", 100)
		receive(0, "c", 10)
		receive(200, "b", 300)
		Expect(v.PeerTeamUsage("gates").MilliCPU).To(Equal(int64(310)))
		v.UpdateLiveness(timeAt(900))
		Expect(v.PeerTeamUsage("gates").MilliCPU).To(Equal(int64(300)))
		v.UpdateLiveness(timeAt(1100))
		Expect(v.PeerTeamUsage("gates")).To(Equal(model.Resources{}))
		receive(1200, "c", 20)
		Expect(v.PeerTeamUsage("gates").MilliCPU).To(Equal(int64(20)))
	})

	// A request that is forwarded to a peer without room costs a hop and is
	// returned.
	It("samples a peer with room, first in its own data centre", func() {
		tests := []struct {
			name    string
			b, c    int64 // free processors
			need    int64
			exclude []model.InstanceID
			want    model.InstanceID
		}{
			{"both fit", 1000, 4000, 500, nil, "b"},
			{"only the remote one fits", 1000, 4000, 2000, nil, "c"},
			{"the local one excluded", 1000, 4000, 500, []model.InstanceID{"b"}, "c"},
			{"none fits", 1000, 4000, 5000, nil, ""},
		}
		for _, test := range tests {
			v := viewOfThree()
			receive := func(id model.InstanceID, centre model.DataCentre, free int64) {
				h := event.Heartbeat{Instance: id, Incarnation: 1, DataCentre: centre, TotalCapacity: model.Resources{MilliCPU: 8000}}
				room := model.Resources{MilliCPU: free}
				h.FreeCapacity[model.ClassUrgent-1] = event.FreeCapacity{Free: room, Largest: room}
				v.ReceiveHeartbeat(timeAt(1), h)
			}
			receive("b", "north", test.b)
			receive("c", "south", test.c)
			got, ok := v.SamplePeer(model.Resources{MilliCPU: test.need}, model.ClassUrgent, test.exclude...)
			Expect(got).To(Equal(test.want), test.name)
			Expect(ok).To(Equal(test.want != ""), test.name)
			if test.want != "b" {
				continue
			}
			// Room that a forwarded request uses must not be offered again before
			// the next heartbeat, and a peer whose link is down must not be sampled.
			v.SamplePeer(model.Resources{MilliCPU: test.need}, model.ClassUrgent)
			got, _ = v.SamplePeer(model.Resources{MilliCPU: test.need}, model.ClassUrgent)
			Expect(got).To(Equal(model.InstanceID("c")), test.name)
			v.MarkLinkDown(timeAt(2), "c")
			_, ok = v.SamplePeer(model.Resources{MilliCPU: test.need}, model.ClassUrgent)
			Expect(ok).To(BeFalse(), test.name)
		}
	})
})

// cellOf returns n instances spread over up to 15 data centres.
func cellOf(n int) []model.Instance {
	all := make([]model.Instance, n)
	for i := range all {
		all[i] = instance(fmt.Sprintf("entry-%02d", i), model.DataCentre(fmt.Sprintf("centre-%02d", i%15)))
	}
	return all
}

// viewOf returns the view of one instance that has received a heartbeat from all
// others.
func viewOf(all []model.Instance, self int) *membership.View {
	v := membership.New(all[self], 1, uint64(self))
	v.UpdateList(startTime, all)
	for _, i := range all {
		v.ReceiveHeartbeat(startTime, event.Heartbeat{Instance: i.ID, Incarnation: 1, DataCentre: i.DataCentre})
	}
	v.UpdateLiveness(startTime)
	return v
}
