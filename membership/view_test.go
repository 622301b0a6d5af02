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

var start = time.Date(2026, 12, 4, 9, 0, 0, 0, time.UTC)

func at(milliseconds int) time.Time {
	return start.Add(time.Duration(milliseconds) * time.Millisecond)
}

func instance(id string, centre model.DataCentre) model.Instance {
	return model.Instance{ID: model.InstanceID(id), DataCentre: centre, Weight: 1}
}

// three returns the view of a, which lists and hears b and c.
func three() *membership.View {
	v := membership.New(instance("a", "north"), 1, 1)
	v.UpdateList(start, []model.Instance{instance("a", "north"), instance("b", "north"), instance("c", "south")})
	v.ReceiveHeartbeat(start, event.Heartbeat{Instance: "b", Incarnation: 1, DataCentre: "north"})
	v.ReceiveHeartbeat(start, event.Heartbeat{Instance: "c", Incarnation: 1, DataCentre: "south"})
	v.Check(start)
	return v
}

func ids(instances []model.Instance) string {
	var s string
	for _, i := range instances {
		s += string(i.ID)
	}
	return s
}

var _ = Describe("View", func() {
	// Ownership given to an instance that is not there leaves its workers without
	// a scheduler; ownership taken from one that is there causes a handover.
	It("keeps who is live", func() {
		tests := []struct {
			name string
			do   func(*membership.View)
			live string
			is   string
		}{
			{"all heard", func(*membership.View) {}, "abc", "abc"},
			{"listed, never heard", func(v *membership.View) {
				v.UpdateList(start, []model.Instance{instance("b", "north"), instance("c", "south"), instance("d", "north")})
			}, "abc", "abc"},
			{"heard, missing from the list", func(v *membership.View) {
				v.UpdateList(start, nil)
			}, "abc", "abc"},
			{"heard, never listed", func(v *membership.View) {
				v.ReceiveHeartbeat(start, event.Heartbeat{Instance: "d", Incarnation: 1, DataCentre: "south"})
			}, "abcd", "abcd"},
			{"leaving by the list", func(v *membership.View) {
				leaving := instance("b", "north")
				leaving.Leaving = true
				v.UpdateList(start, []model.Instance{leaving, instance("c", "south")})
			}, "ac", "abc"},
			{"leaving by its own word", func(v *membership.View) {
				v.ReceiveHeartbeat(start, event.Heartbeat{Instance: "b", Incarnation: 1, DataCentre: "north", Draining: true})
			}, "ac", "abc"},
			{"this instance leaves", func(v *membership.View) { v.Drain() }, "bc", "abc"},
			{"one silent", func(v *membership.View) {
				v.ReceiveHeartbeat(at(800), event.Heartbeat{Instance: "b", Incarnation: 1, DataCentre: "north"})
				v.Check(at(800))
			}, "ab", "ab"},
			{"one silent to this instance only", func(v *membership.View) {
				v.ReceiveHeartbeat(at(800), event.Heartbeat{
					Instance: "b", Incarnation: 1, DataCentre: "north", HeardPeers: []model.InstanceID{"a", "c"},
				})
				v.Check(at(800))
			}, "abc", "abc"},
			{"the witness silent too", func(v *membership.View) {
				v.ReceiveHeartbeat(at(100), event.Heartbeat{
					Instance: "b", Incarnation: 1, DataCentre: "north", HeardPeers: []model.InstanceID{"a", "c"},
				})
				v.Check(at(900))
			}, "a", "a"},
			{"a link closed", func(v *membership.View) { v.LinkDown(at(700), "b"); v.Check(at(700)) }, "abc", "abc"},
		}
		for _, test := range tests {
			v := three()
			test.do(v)
			Expect(ids(v.ServingInstances())).To(Equal(test.live), test.name)
			is := ""
			for _, id := range []model.InstanceID{"a", "b", "c", "d"} {
				if v.IsLive(id) {
					is += string(id)
				}
			}
			Expect(is).To(Equal(test.is), test.name)
		}
	})

	// The reducer hands work over by these reports: a missing one leaves work
	// undone, a repeated one hands it over twice.
	It("reports each change once", func() {
		v := three()
		v.ReceiveHeartbeat(at(700), event.Heartbeat{Instance: "c", Incarnation: 1, DataCentre: "south"})
		suspected, returned := v.Check(at(800))
		Expect(suspected).To(Equal([]model.InstanceID{"b"}))
		Expect(returned).To(BeEmpty())
		suspected, returned = v.Check(at(900))
		Expect(append(suspected, returned...)).To(BeEmpty())
		v.ReceiveHeartbeat(at(1000), event.Heartbeat{Instance: "b", Incarnation: 1, DataCentre: "north"})
		suspected, returned = v.Check(at(1001))
		Expect(suspected).To(BeEmpty())
		Expect(returned).To(Equal([]model.InstanceID{"b"}))
	})

	// A late heartbeat of an earlier life must not bring back its usage, claims
	// or revision.
	It("ignores an earlier incarnation", func() {
		v := three()
		v.ReceiveHeartbeat(at(10), event.Heartbeat{Instance: "b", Incarnation: 3, DataCentre: "north", Revision: 4})
		v.ReceiveHeartbeat(at(20), event.Heartbeat{Instance: "b", Incarnation: 2, DataCentre: "north", Revision: 9, Partitions: []model.Partition{1}})
		revision, from := v.Newest()
		Expect(revision).To(Equal(model.Revision(4)))
		Expect(from).To(Equal(model.InstanceID("b")))
		_, held := v.PartitionHolder(1)
		Expect(held).To(BeFalse())
	})

	// A quota is enforced by this sum: usage of dead instances would block a team
	// for ever, and usage counted twice would halve its quota.
	It("sums team usage over live peers", func() {
		v := three()
		beat := func(ms int, id model.InstanceID, used int64) {
			v.ReceiveHeartbeat(at(ms), event.Heartbeat{
				Instance: id, Incarnation: 1, DataCentre: "north",
				Usage: []event.TeamUsage{{Team: "gates", Used: model.Resources{MilliCPU: used}}},
			})
		}
		beat(0, "b", 100)
		beat(0, "c", 10)
		beat(200, "b", 300)
		Expect(v.PeerTeamUsage("gates").MilliCPU).To(Equal(int64(310)))
		v.Check(at(900))
		Expect(v.PeerTeamUsage("gates").MilliCPU).To(Equal(int64(300)))
		v.Check(at(1100))
		Expect(v.PeerTeamUsage("gates")).To(Equal(model.Resources{}))
		beat(1200, "c", 20)
		Expect(v.PeerTeamUsage("gates").MilliCPU).To(Equal(int64(20)))
	})

	// A request forwarded to a peer without room costs a hop and comes back.
	It("samples a peer with room, near ones first", func() {
		tests := []struct {
			name    string
			b, c    int64 // free processors
			need    int64
			exclude []model.InstanceID
			want    model.InstanceID
		}{
			{"both fit", 1000, 4000, 500, nil, "b"},
			{"only the remote one fits", 1000, 4000, 2000, nil, "c"},
			{"the near one excluded", 1000, 4000, 500, []model.InstanceID{"b"}, "c"},
			{"none fits", 1000, 4000, 5000, nil, ""},
		}
		for _, test := range tests {
			v := three()
			beat := func(id model.InstanceID, centre model.DataCentre, free int64) {
				h := event.Heartbeat{Instance: id, Incarnation: 1, DataCentre: centre, TotalCapacity: model.Resources{MilliCPU: 8000}}
				room := model.Resources{MilliCPU: free}
				h.FreeCapacity[model.ClassUrgent-1] = event.FreeCapacity{Free: room, Largest: room}
				v.ReceiveHeartbeat(at(1), h)
			}
			beat("b", "north", test.b)
			beat("c", "south", test.c)
			got, ok := v.SamplePeer(model.Resources{MilliCPU: test.need}, model.ClassUrgent, test.exclude...)
			Expect(got).To(Equal(test.want), test.name)
			Expect(ok).To(Equal(test.want != ""), test.name)
			if test.want != "b" {
				continue
			}
			// The room that was forwarded to is not offered twice before the
			// next heartbeat, nor is a peer whose link is down.
			v.SamplePeer(model.Resources{MilliCPU: test.need}, model.ClassUrgent)
			got, _ = v.SamplePeer(model.Resources{MilliCPU: test.need}, model.ClassUrgent)
			Expect(got).To(Equal(model.InstanceID("c")), test.name)
			v.LinkDown(at(2), "c")
			_, ok = v.SamplePeer(model.Resources{MilliCPU: test.need}, model.ClassUrgent)
			Expect(ok).To(BeFalse(), test.name)
		}
	})
})

// cellOf returns instances spread over up to 15 data centres.
func cellOf(n int) []model.Instance {
	all := make([]model.Instance, n)
	for i := range all {
		all[i] = instance(fmt.Sprintf("entry-%02d", i), model.DataCentre(fmt.Sprintf("centre-%02d", i%15)))
	}
	return all
}

// viewOf returns the view of one instance that has heard all others.
func viewOf(all []model.Instance, self int) *membership.View {
	v := membership.New(all[self], 1, uint64(self))
	v.UpdateList(start, all)
	for _, i := range all {
		v.ReceiveHeartbeat(start, event.Heartbeat{Instance: i.ID, Incarnation: 1, DataCentre: i.DataCentre})
	}
	v.Check(start)
	return v
}
