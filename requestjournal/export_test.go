package requestjournal

// SetTokenRate replaces the budget's token rate function, so that a test can compare
// policies.
func (b *WriteBudget) SetTokenRate(tokenRate func(recordRate, writeRate float64) float64) {
	b.tokenRate = tokenRate
}

// Compacted returns the records of a compaction, whether or not one is needed.
func Compacted(p *Partition) []Record { return p.state.compactedRecords() }
