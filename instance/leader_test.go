package instance

import (
	"slices"

	"github.com/fxamacker/cbor/v2"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"fuchsiacross/link"
)

var _ = Describe("Successors", func() {
	// An instance gets its rank when it links and with each confirmation. If the two
	// differed, two instances would claim at once.
	It("have the same rank in the sorted order and when computed alone", func() {
		linked := &link.Conn{}
		l := &leadership{members: map[string]*member{
			"small": {capacity: 0.2, incarnation: 9, conn: linked},
			"old":   {capacity: 0.8, incarnation: 1, conn: linked},
			"new":   {capacity: 0.8, incarnation: 5, conn: linked},
			"twin":  {capacity: 0.8, incarnation: 5, conn: linked},
			"apart": {capacity: 0.9, incarnation: 7},
		}}
		want := map[string]int64{"new": 0, "twin": 0, "old": 2, "small": 3}
		order := l.successionOrder()
		for name, rank := range want {
			m := l.members[name]
			inOrder, _ := slices.BinarySearchFunc(order, m, compareSuccessors)
			Expect(l.successionRank(m)).To(Equal(rank), name)
			Expect(inOrder).To(BeEquivalentTo(rank), name)
		}
	})
})

var _ = Describe("The row of an instance", func() {
	// During an update, instances of two versions read each other's rows.
	It("counts the processor time if an earlier version wrote it", func() {
		capacity := 0.12
		for _, row := range []struct {
			wire wireMember
			want float64
		}{
			{wireMember{Address: "127.0.0.1:1", ProcessorShare: 0.48}, 0.48},
			{wireMember{Address: "127.0.0.1:1", ProcessorShare: 0.48, Capacity: &capacity}, 0.12},
		} {
			data, err := cbor.Marshal(row.wire)
			Expect(err).NotTo(HaveOccurred())
			var read wireMember
			Expect(cbor.Unmarshal(data, &read)).To(Succeed())
			Expect(read.leaderCapacity()).To(Equal(row.want))
		}
	})

	// A leader of 0.48 processors at a link of 10 Mbit/s could not send its starts.
	It("has the capacity that the instance's link allows", func() {
		slow, fast := Settings{ProcessorShare: 0.48, LinkMegabits: 10}, Settings{ProcessorShare: 0.4, LinkMegabits: 200}
		Expect(slow.leaderCapacity(1, 0)).To(BeNumerically("<", fast.leaderCapacity(1, 0)))
		Expect(fast.leaderCapacity(1, 0)).To(Equal(0.4))
	})
})

var _ = Describe("A leader", func() {
	// A leader that yields to an instance of nearly equal capacity would get the leadership
	// back at once.
	It("yields only to a linked instance that can lead much more", func() {
		linked := &link.Conn{}
		s := &shard{instance: &Instance{settings: Settings{ProcessorShare: 0.4}}, table: &shardTable{}}
		l := &leadership{shard: s, members: map[string]*member{
			"equal": {capacity: 0.5, conn: linked}, "apart": {capacity: 0.9},
		}}
		name, _ := l.largerMember()
		Expect(name).To(BeEmpty())
		l.members["large"], l.members["largest"] = &member{capacity: 0.6, conn: linked}, &member{capacity: 0.8, conn: linked}
		name, capacity := l.largerMember()
		Expect(name).To(Equal("largest"))
		Expect(capacity).To(Equal(0.8))
	})
})
