package dispatch

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("Set of occurrences", func() {
	It("joins ranges that overlap or touch", func() {
		var set occurrenceSet
		for _, r := range []OccurrenceRange{{5, 5}, {7, 9}, {6, 6}, {0, 1}, {3, 3}, {2, 8}, {20, 19}, {12, 14}} {
			set.add(r)
		}
		Expect(set.ranges).To(Equal([]OccurrenceRange{{0, 9}, {12, 14}}))
		Expect(set.count).To(BeEquivalentTo(13))
		for _, test := range []struct {
			occurrence, next int64
			contained        bool
		}{{0, 10, true}, {9, 10, true}, {10, 10, false}, {11, 11, false}, {13, 15, true}, {15, 15, false}} {
			Expect(set.contains(test.occurrence)).To(Equal(test.contained))
			Expect(set.endOfRange(test.occurrence)).To(Equal(test.next))
		}
	})
})
