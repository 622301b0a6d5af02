package placement

// Policy weighs the goals of a placement against each other. It comes from
// the cell's section of the document.
type Policy struct {
	WaitingWeight     float64 // 0 or more
	PackingWeight     float64 // 0 or more
	UrgentHeadroom    float64 // share of each worker that only urgent work may use, 0 to 0.5
	PreemptionEnabled bool    // Victims may name attempts
}
