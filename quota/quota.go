// Package quota limits what each tenant may have running on all workers at once.
//
// A Ledger keeps the use of each tenant as one leader knows it. Use that a leader cannot know
// yet, because it has not read some workers, counts for every tenant with a limit. The leaders of
// several shards divide a limit, so that they need not agree on the use.
//
// Load pattern: tenants that compete for insufficient capacity, one of which at times submits
// several times its usual work.
//
// # Usage
//
//	l := quota.NewLedger()
//	l.Configure(tenants, shard, shards)
//	n := min(tasks, l.Room("acme", demand))
//	l.Charge("acme", demand)
package quota

import (
	"fmt"
	"math"

	"fuchsiacross/job"
	"fuchsiacross/model"
)

// unlimited replaces the zero fields of a tenant's limit.
const unlimited = math.MaxInt64

// Part returns the part of a tenant's limit that the leader of a shard may use. The parts of all
// shards add up to the limit, and the lowest shards get the remainder. A dimension without a limit
// is math.MaxInt64, since zero is a valid part.
func Part(limit model.Resources, shard, shards int) model.Resources {
	n, s := int64(max(1, shards)), int64(shard)
	part := func(whole int64) int64 {
		if whole <= 0 {
			return unlimited
		}
		p := whole / n
		if s < whole%n {
			p++
		}
		return p
	}
	return model.Resources{
		MilliCPU: part(limit.MilliCPU), MemoryBytes: part(limit.MemoryBytes),
		Accelerators: part(limit.Accelerators), Slots: unlimited,
	}
}

// dimension is an amount of one resource in a demand, a use and a limit.
type dimension struct {
	name                string
	demand, used, limit int64
}

func dimensions(demand, used, limit model.Resources) [3]dimension {
	return [3]dimension{
		{"processors (thousandths)", demand.MilliCPU, used.MilliCPU, limit.MilliCPU},
		{"memory (bytes)", demand.MemoryBytes, used.MemoryBytes, limit.MemoryBytes},
		{"accelerators", demand.Accelerators, used.Accelerators, limit.Accelerators},
	}
}

// CheckStep returns why a step can never run within a limit that Part returned, or an empty
// string. A gang needs capacity for all its tasks at once, any other step for one task.
func CheckStep(s *job.Step, limit model.Resources) string {
	tasks, noun := int64(1), "task"
	if s.Gang {
		tasks, noun = int64(max(1, s.Tasks)), "gang"
	}
	for _, d := range dimensions(s.Demand, model.Resources{}, limit) {
		if d.demand > d.limit/tasks {
			return fmt.Sprintf("a %s needs %d of %s; the tenant's quota allows %d", noun, saturatingProduct(d.demand, tasks), d.name, d.limit)
		}
	}
	return ""
}

// Check returns why a job of a tenant can never run completely under the leader of its shard, or
// an empty string.
func Check(d *job.Definition, limit model.Resources, shard, shards int) string {
	part := Part(limit, shard, shards)
	for i := range d.Steps {
		if reason := CheckStep(&d.Steps[i], part); reason != "" {
			return fmt.Sprintf("step %d: %s", i, reason)
		}
	}
	return ""
}

func saturatingProduct(a, b int64) int64 {
	if b > 0 && a > math.MaxInt64/b {
		return math.MaxInt64
	}
	return a * b
}
