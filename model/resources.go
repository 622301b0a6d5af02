package model

import (
	"fmt"

	"fuchsiacross/finding"
)

// Resources is a vector of the resource amounts that a worker offers or a task
// needs. A dimension that is zero is not offered or not needed.
type Resources struct {
	MilliCPU     int64 // thousandths of a processor
	MemoryBytes  int64
	Accelerators int64
	Slots        int64 // runner slots; needed by requests of KindRequest only
}

// Add returns the sum of r and s.
func (r Resources) Add(s Resources) Resources {
	return Resources{
		MilliCPU:     r.MilliCPU + s.MilliCPU,
		MemoryBytes:  r.MemoryBytes + s.MemoryBytes,
		Accelerators: r.Accelerators + s.Accelerators,
		Slots:        r.Slots + s.Slots,
	}
}

// Sub returns r minus s. Dimensions of the result may be negative.
func (r Resources) Sub(s Resources) Resources {
	return Resources{
		MilliCPU:     r.MilliCPU - s.MilliCPU,
		MemoryBytes:  r.MemoryBytes - s.MemoryBytes,
		Accelerators: r.Accelerators - s.Accelerators,
		Slots:        r.Slots - s.Slots,
	}
}

// Fits reports whether r is at most free in every dimension.
func (r Resources) Fits(free Resources) bool {
	return r.MilliCPU <= free.MilliCPU &&
		r.MemoryBytes <= free.MemoryBytes &&
		r.Accelerators <= free.Accelerators &&
		r.Slots <= free.Slots
}

// Max returns the larger of r and s in each dimension.
func (r Resources) Max(s Resources) Resources {
	return Resources{
		MilliCPU:     max(r.MilliCPU, s.MilliCPU),
		MemoryBytes:  max(r.MemoryBytes, s.MemoryBytes),
		Accelerators: max(r.Accelerators, s.Accelerators),
		Slots:        max(r.Slots, s.Slots),
	}
}

// Min returns the smaller of r and s in each dimension.
func (r Resources) Min(s Resources) Resources {
	return Resources{
		MilliCPU:     min(r.MilliCPU, s.MilliCPU),
		MemoryBytes:  min(r.MemoryBytes, s.MemoryBytes),
		Accelerators: min(r.Accelerators, s.Accelerators),
		Slots:        min(r.Slots, s.Slots),
	}
}

// Multiply returns r multiplied by n in each dimension.
func (r Resources) Multiply(n int64) Resources {
	return Resources{
		MilliCPU:     r.MilliCPU * n,
		MemoryBytes:  r.MemoryBytes * n,
		Accelerators: r.Accelerators * n,
		Slots:        r.Slots * n,
	}
}

// HasNegative reports whether any dimension is below zero.
func (r Resources) HasNegative() bool {
	return r.MilliCPU < 0 || r.MemoryBytes < 0 || r.Accelerators < 0 || r.Slots < 0
}

// validate returns a finding for each dimension that is negative or above its
// limit. The places are the field names of the caller's protocol.
func (r Resources) validate(limit Resources) finding.List {
	var fs finding.List
	for _, d := range []struct {
		field        string
		value, limit int64
	}{
		{"milli_cpu", r.MilliCPU, limit.MilliCPU},
		{"memory_bytes", r.MemoryBytes, limit.MemoryBytes},
		{"accelerators", r.Accelerators, limit.Accelerators},
		{"slots", r.Slots, limit.Slots},
	} {
		if d.value < 0 || d.value > d.limit {
			fs.Add(d.field, fmt.Sprintf("%d is outside 0 to %d", d.value, d.limit))
		}
	}
	return fs
}

// IsZero reports whether every dimension is zero.
func (r Resources) IsZero() bool { return r == Resources{} }

// DominantShare returns the largest fraction that r is of total in any dimension,
// as in dominant resource fairness. It is between 0 and 1 if r fits in total.
// Dimensions that are zero in total are skipped.
func (r Resources) DominantShare(total Resources) float64 {
	share := 0.0
	add := func(part, whole int64) {
		if whole > 0 {
			share = max(share, float64(part)/float64(whole))
		}
	}
	add(r.MilliCPU, total.MilliCPU)
	add(r.MemoryBytes, total.MemoryBytes)
	add(r.Accelerators, total.Accelerators)
	add(r.Slots, total.Slots)
	return share
}

// FirstExceeded returns the name of the first dimension in which r is larger
// than limit, or the empty string if there is none.
func (r Resources) FirstExceeded(limit Resources) string {
	switch {
	case r.MilliCPU > limit.MilliCPU:
		return "processors"
	case r.MemoryBytes > limit.MemoryBytes:
		return "memory"
	case r.Accelerators > limit.Accelerators:
		return "accelerators"
	case r.Slots > limit.Slots:
		return "slots"
	}
	return ""
}
