package runtimes

// Member is a worker that a gang may use, with the number of members that it has room for.
type Member struct {
	Speed    *Speed
	Capacity int
}

// EvenRange chooses the workers for a gang of a size among members in the order of their
// LogFactor, fastest first, as an index range. The members of a gang end together: the slowest
// worker determines whether the job is late, and faster ones wait for it. It reports false if
// workers are uniform or have too little room, or if the size is zero.
func (p *Placement) EvenRange(members []Member, size int) (first, last int, ok bool) {
	if !p.uneven || size <= 0 {
		return 0, 0, false
	}
	least, capacity, end := 0.0, 0, 0
	for begin := range members {
		for end < len(members) && capacity < size {
			capacity += members[end].Capacity
			end++
		}
		if capacity < size {
			break
		}
		slowest, fastest := members[end-1].Speed, members[begin].Speed
		cost := p.cost(slowest.LogFactor, slowest.Variance) + waitWeight*(slowest.LogFactor-fastest.LogFactor)
		if !ok || cost < least {
			first, last, ok, least = begin, end, true, cost
		}
		capacity -= members[begin].Capacity
	}
	if !ok {
		return 0, 0, false
	}
	// Workers of about the same speed leave a choice for the other terms of the score.
	slowest, fastest := members[last-1].Speed.LogFactor, members[first].Speed.LogFactor
	for last < len(members) && members[last].Speed.LogFactor <= slowest+evenTolerance {
		last++
	}
	for first > 0 && members[first-1].Speed.LogFactor >= fastest-evenTolerance {
		first--
	}
	return first, last, true
}
