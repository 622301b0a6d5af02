package dispatch

import "slices"

// OccurrenceRange is a range of occurrences of a job, both ends included.
type OccurrenceRange struct{ First, Last int64 }

// occurrenceSet is a set of occurrences. Occurrences complete roughly in the order in which
// they are due, so that few ranges hold them.
type occurrenceSet struct {
	ranges []OccurrenceRange // sorted, with gaps between them
	count  int64
}

// find returns the index of the first range that ends at k or later.
func (s *occurrenceSet) find(k int64) int {
	at, _ := slices.BinarySearchFunc(s.ranges, k, func(r OccurrenceRange, k int64) int { return compare(r.Last, k) })
	return at
}

func (s *occurrenceSet) contains(k int64) bool {
	at := s.find(k)
	return at < len(s.ranges) && s.ranges[at].First <= k
}

// endOfRange returns the first occurrence from k on that is not in the set.
func (s *occurrenceSet) endOfRange(k int64) int64 {
	if !s.contains(k) {
		return k
	}
	return s.ranges[s.find(k)].Last + 1
}

// add adds the occurrences of a range. Some of them may be in the set already.
func (s *occurrenceSet) add(added OccurrenceRange) {
	if added.First > added.Last {
		return
	}
	from := s.find(added.First - 1)
	to := from
	for to < len(s.ranges) && s.ranges[to].First <= added.Last+1 {
		r := s.ranges[to]
		added.First, added.Last = min(added.First, r.First), max(added.Last, r.Last)
		s.count -= r.Last - r.First + 1
		to++
	}
	s.ranges = slices.Replace(s.ranges, from, to, added)
	s.count += added.Last - added.First + 1
}
