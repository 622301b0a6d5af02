// Package shardmap divides a fleet of workers among leaders.
//
// One leader places tasks on a few hundred workers. A larger fleet is divided into shards of
// whole racks, each with its own leader and a part of the jobs. A gang runs within one
// shard. The map is stored once and never changes, so that all instances agree which leader
// is responsible: the shard of a job follows from its ID, that of a worker from its rack.
//
// # Usage
//
//	m := shardmap.Plan(workers, 0.8)
//	shard := m.ShardOfJob(id)
//	shard, known := m.ShardOfWorker(&worker)
package shardmap

import (
	"cmp"
	"maps"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"fuchsiacross/job"
)

const (
	// workersPerProcessor is how many workers a leader with one whole processor serves
	// (docs/platform.md, section "Scale").
	workersPerProcessor = 500
	// minWorkersPerShard is the minimum number of workers of each pool in a shard. With
	// fewer, wide gangs would wait forever, since advice allows them only a third of the
	// workers.
	minWorkersPerShard = 240
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

// Plan divides workers evenly. Each shard gets racks of all pools and all data centres. The
// largest instances, which lead, have the given share of a processor.
//
// A rack counts as if it were complete. Some registrations may be missing when the map is
// planned, and the map lasts for the life of the fleet.
func Plan(workers []job.Worker, processorShare float64) *Map {
	type rack struct{ pool, dataCentre, name string }
	type rackPool struct{ rack, pool string } // the machines of a rack may be in several pools
	racks := map[string]rack{}
	sizes := map[rackPool]int{}
	largestSizes := map[string]int{} // by pool
	pools := map[string]int{}        // workers
	for i := range workers {
		w := &workers[i]
		if w.Rack == "" {
			pools[w.Pool]++
			continue
		}
		key := rackPool{w.Rack, w.Pool}
		racks[w.Rack] = rack{w.Pool, string(w.DataCentre), w.Rack}
		sizes[key]++
		largestSizes[w.Pool] = max(largestSizes[w.Pool], sizes[key])
	}
	for key := range sizes {
		pools[key.pool] += largestSizes[key.pool]
	}
	total := 0
	shards := maxShards
	for _, n := range pools {
		total += n
		shards = min(shards, n/minWorkersPerShard)
	}
	shards = min(shards, int(math.Ceil(float64(total)/(workersPerProcessor*processorShare))))
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
