package advicelane_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"fuchsiacross/advicelane"
)

func TestAdviceLane(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "advicelane")
}

var start = time.UnixMilli(1_700_000_000_000)

// callCosts holds the cost of a call of each class.
var callCosts = map[advicelane.Class]time.Duration{
	advicelane.Cheap: 20 * time.Millisecond, advicelane.Medium: 200 * time.Millisecond, advicelane.Expensive: 600 * time.Millisecond,
}

func newLanes(count int) *advicelane.Lanes {
	l := &advicelane.Lanes{}
	names := make([]string, 0, count)
	for n := range count {
		names = append(names, fmt.Sprintf("i%02d", n))
	}
	l.SetNames(names)
	return l
}

// fillLanes sends calls of the class until no lane takes another one, and returns their
// number.
func fillLanes(l *advicelane.Lanes, class advicelane.Class, now time.Time) int {
	for n := 0; ; n++ {
		lane := l.SelectLane(class, now)
		if lane == nil {
			return n
		}
		lane.RecordCall(class, callCosts[class], now)
	}
}

var _ = Describe("Lanes", func() {
	tests := []struct {
		name  string
		count int
		first advicelane.Class // class that fills its lanes first
		calls []int            // number of calls sent of the first and of the second class
	}{
		// After a change of leader, medium calls occupied five of seven lanes and expensive
		// calls the other two; cheap calls waited for 1.1 s.
		{"medium calls leave lanes to the other classes", 38, advicelane.Medium, []int{21, 6}},
		{"expensive calls leave a lane to medium ones", 38, advicelane.Expensive, []int{26, 1}},
		{"seven lanes", 7, advicelane.Medium, []int{4, 1}},
		{"seven lanes, expensive calls first", 7, advicelane.Expensive, []int{4, 1}},
		{"two lanes", 2, advicelane.Medium, []int{1, 0}},
		{"one lane", 1, advicelane.Expensive, []int{1, 0}},
	}
	for _, test := range tests {
		It(test.name, func() {
			l := newLanes(test.count)
			second := advicelane.Medium + advicelane.Expensive - test.first
			Expect(fillLanes(l, test.first, start)).To(Equal(test.calls[0]))
			Expect(fillLanes(l, second, start)).To(Equal(test.calls[1]))
			if test.count > 1 {
				Expect(l.SelectLane(advicelane.Cheap, start)).NotTo(BeNil(), "a lane for cheap calls")
			}
		})
	}

	// Cheap calls were sent to the lane of an expensive call because it was the first in
	// the list.
	It("sends a call to the lane that answers it first", func() {
		l := newLanes(3)
		l.SelectLane(advicelane.Expensive, start).RecordCall(advicelane.Expensive, callCosts[advicelane.Expensive], start)
		names := map[string]int{}
		for range 4 {
			lane := l.SelectLane(advicelane.Cheap, start)
			lane.RecordCall(advicelane.Cheap, callCosts[advicelane.Cheap], start)
			names[lane.Name]++
		}
		Expect(names).To(Equal(map[string]int{"i01": 2, "i02": 2}))
	})

	// An instance that had stopped answering was sent one call after another.
	It("sends nothing to a lane whose answers are overdue", func() {
		l := newLanes(1)
		lane := l.SelectLane(advicelane.Cheap, start)
		due := lane.RecordCall(advicelane.Cheap, callCosts[advicelane.Cheap], start)
		Expect(l.SelectLane(advicelane.Cheap, due.Add(100*time.Millisecond))).NotTo(BeNil())
		late := due.Add(time.Second)
		Expect(l.SelectLane(advicelane.Cheap, late)).To(BeNil())
		lane.RecordAnswer(advicelane.Cheap, late)
		Expect(l.SelectLane(advicelane.Cheap, late)).To(Equal(lane))
	})

	It("keeps the open calls of lanes whose names stay", func() {
		l := newLanes(2)
		lane := l.SelectLane(advicelane.Expensive, start)
		lane.RecordCall(advicelane.Expensive, callCosts[advicelane.Expensive], start)
		l.SetNames([]string{"i00", "i05"})
		Expect(lane.Name).To(Equal("i00"))
		Expect(lane.Removed()).To(BeFalse())
		Expect(l.SelectLane(advicelane.Expensive, start)).To(BeNil())
		l.SetNames([]string{"i05"})
		Expect(lane.Removed()).To(BeTrue())
		Expect(l.SelectLane(advicelane.Expensive, start).Name).To(Equal("i05"))
	})

	// With 97 instances, half of the leader's processor time went into the choice of lanes: for
	// each lane all lanes were counted.
	It("examines each lane at most once for a call", func() {
		for _, count := range []int{7, 38, 97, 400} {
			l := newLanes(count)
			calls := fillLanes(l, advicelane.Medium, start)
			calls += fillLanes(l, advicelane.Expensive, start)
			selections := int64(calls + 2) // one of each class finds no lane
			Expect(l.ExaminedLanes()).To(BeNumerically("<=", selections*int64(count)), "%d lanes", count)
		}
	})

	classTests := []struct {
		cost  time.Duration
		class advicelane.Class
	}{
		{0, advicelane.Cheap},
		{40 * time.Millisecond, advicelane.Cheap},
		{41 * time.Millisecond, advicelane.Medium},
		{250 * time.Millisecond, advicelane.Medium},
		{time.Second, advicelane.Expensive},
	}
	It("classifies calls by their cost", func() {
		for _, test := range classTests {
			Expect(advicelane.ClassOf(test.cost)).To(Equal(test.class), "%s", test.cost)
		}
	})
})
