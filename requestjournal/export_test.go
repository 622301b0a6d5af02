package requestjournal

// SetPace replaces the pace of a budget, so that a test can compare policies.
func (b *WriteBudget) SetPace(pace func(recordRate, share float64) float64) { b.pace = pace }

// Compacted returns the records of a compaction whether or not one is due.
func Compacted(p *Partition) []Record { return p.state.compact() }
