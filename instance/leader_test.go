package instance

import (
	"slices"

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
			"small": {processorShare: 0.2, incarnation: 9, conn: linked},
			"old":   {processorShare: 0.8, incarnation: 1, conn: linked},
			"new":   {processorShare: 0.8, incarnation: 5, conn: linked},
			"twin":  {processorShare: 0.8, incarnation: 5, conn: linked},
			"apart": {processorShare: 0.9, incarnation: 7},
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
