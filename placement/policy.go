package placement

// Policy configures placement decisions. Its values come from the cell's section
// of the document, the configuration that operators edit.
type Policy struct {
	WaitingWeight     float64 // weight of free resources left on the worker, 0 or more
	PackingWeight     float64 // weight of a tight fit, 0 or more
	UrgentHeadroom    float64 // fraction of each worker that only urgent work may use, 0 to 0.5
	PreemptionEnabled bool    // whether SelectVictims may return attempts
}
