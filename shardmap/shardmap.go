// Package shardmap divides a fleet of workers among leaders.
//
// One leader places tasks on a few hundred workers. A larger fleet is divided into shards of
// whole racks, each with its own leader and a part of the jobs. A gang runs within one
// shard. The map is stored once and never changes, so that all instances agree which leader
// is responsible: the shard of a job follows from its ID, that of a worker from its rack.
//
// # Usage
//
//	m := shardmap.Plan(workers)
//	shard := m.ShardOfJob(id)
//	shard, known := m.ShardOfWorker(&worker)
package shardmap

import (
	"cmp"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"

	"fuchsiacross/job"
)

const (
	// minWorkersPerShard is the minimum number of workers of each pool in a shard. A leader
	// can serve somewhat more (docs/platform.md, section "Scale"). With fewer, wide gangs
	// would wait forever, since advice allows them only a third of the workers.
	minWorkersPerShard = 300
	// maxShards is 64 because the store keeps at most 100 tables: each shard has its own
	// table of jobs, and the rest is left for other tables.
	maxShards = 64
)

// Map assigns jobs and workers to shards, which are numbered from zero.
type Map struct {
	Shards int
	// Racks holds the shard of each rack that was known when the map was planned. Racks
	// added later are assigned by a hash of their name.
	Racks map[string]int
}

// Single returns the map of a fleet that has only one shard.
func Single() *Map { return &Map{Shards: 1} }

// Plan divides workers evenly. Each shard gets racks of all pools and all data centres.
func Plan(workers []job.Worker) *Map {
	pools := map[string]int{}
	type rack struct{ pool, dataCentre, name string }
	racks := map[string]rack{}
	for i := range workers {
		w := &workers[i]
		pools[w.Pool]++
		if w.Rack != "" {
			racks[w.Rack] = rack{w.Pool, string(w.DataCentre), w.Rack}
		}
	}
	shards := min(maxShards, len(workers)/minWorkersPerShard)
	for _, n := range pools {
		shards = min(shards, n/minWorkersPerShard)
	}
	if shards <= 1 {
		return Single()
	}
	m := &Map{Shards: shards, Racks: make(map[string]int, len(racks))}
	ordered := slices.SortedFunc(maps.Values(racks), func(a, b rack) int {
		return cmp.Or(cmp.Compare(a.pool, b.pool), cmp.Compare(a.dataCentre, b.dataCentre), cmp.Compare(a.name, b.name))
	})
	for i, r := range ordered {
		m.Racks[r.name] = i % shards
	}
	return m
}

// ShardOfJob returns the shard of a job.
func (m *Map) ShardOfJob(id job.ID) int { return m.hashToShard(string(id)) }

// ShardOfWorker returns the shard of a worker. In a fleet with racks, a registration
// without a rack belongs to no shard, since the same incarnation of the worker may be
// registered with its rack in another one.
func (m *Map) ShardOfWorker(w *job.Worker) (shard int, known bool) {
	switch assigned, ok := m.Racks[w.Rack]; {
	case m.Shards == 1:
		return 0, true
	case ok:
		return assigned, true
	case w.Rack != "":
		return m.hashToShard(w.Rack), true
	case len(m.Racks) > 0:
		return 0, false
	}
	return m.hashToShard(string(w.ID)), true
}

// PreferredShard returns the shard that the instance leads and assists in preference to the
// others.
func (m *Map) PreferredShard(instance string) int { return m.hashToShard(instance) }

// hashToShard uses other bits of the hash than the partitions of the store, so that shards
// and partitions are independent of each other.
func (m *Map) hashToShard(name string) int {
	return int((xxhash.Sum64String(name) >> 32) % uint64(m.Shards))
}
