package instance

import (
	"context"
	"time"

	"go.uber.org/zap"

	"fuchsiacross/job"
	"fuchsiacross/jobstore"
	"fuchsiacross/link"
	"fuchsiacross/logevent"
	"fuchsiacross/platform/operator"
	"fuchsiacross/shardmap"
)

const (
	// planInterval is between two looks for the map of shards, or for workers to plan
	// it from; the plan is made when two readings show the same number of workers.
	planInterval = 250 * time.Millisecond
	// planRank is how much later each further instance plans: a reading of all
	// registrations is large, and one instance that makes it twice is enough.
	planRank = 500 * time.Millisecond
	// planLimit is how long a plan waits for the first worker: several of the intervals
	// of 1.5 s at which workers register.
	planLimit = 7 * time.Second
)

// division is the map of shards with what this instance knows of each.
type division struct {
	shardMap *shardmap.Map
	shards   []*shard
}

// shard is what this instance knows of one shard's leader, or what it leads. The
// instance's mutex guards the fields that change.
type shard struct {
	i        *Instance
	division *division
	number   int
	jobs     *jobstore.Store
	log      *zap.Logger // names the shard if there are several

	leading  *leadership    // nil unless this instance leads
	leader   *link.Conn     // nil unless another instance leads
	token    int64          // of the leader that the link belongs to
	heardAt  time.Time      // of the leader
	saves    time.Duration  // of the leader's last write to the store
	released *release       // what the leader has told of its release; nil unless it has
	rank     int64          // number of instances that are to claim before this one
	resigned bool           // this process has already left the leadership to an instance with more processor time
	untold   []link.Message // jobs stored while no leader was known
}

// release is the end of a leader that has given the leadership up.
type release struct {
	token     int64
	version   int64 // of the released row
	successor bool  // this instance is to claim at once
}

// join learns the shards and takes part in the elections.
func (i *Instance) join() {
	m := i.findShards()
	if m == nil {
		return
	}
	d := &division{shardMap: m}
	for n := range m.Shards {
		s := &shard{i: i, division: d, number: n, jobs: jobstore.New(i.store, n), log: i.log}
		if m.Shards > 1 {
			s.log = i.log.With(zap.Int("shard", n))
		}
		d.shards = append(d.shards, s)
	}
	i.division.Store(d)
	close(i.divided)
	logevent.ShardsKnown.Log(i.log, zap.Int("shards", m.Shards), zap.Int("racks", len(m.Racks)), zap.Int("preferred", m.PreferredShard(i.settings.Name)))
	// Requests are taken meanwhile.
	place := i.readSeniority()
	for _, s := range d.shards {
		i.mu.Lock()
		s.rank = place.larger + place.earlier
		i.mu.Unlock()
		i.running.Go(s.elect)
	}
}

// findShards reads the map of shards, and makes it if there is none. It returns nil
// when the instance ends.
func (i *Instance) findShards() *shardmap.Map {
	limit := time.Now().Add(planLimit)
	var planAt time.Time // zero while there is no worker
	counted := 0
	for {
		m, err := i.readShards()
		switch now := time.Now(); {
		case err != nil:
			logevent.ShardsUnknown.Log(i.log, failure(err))
		case m != nil:
			return m
		case planAt.IsZero():
			if now.After(limit) || i.workersKnown() {
				place := i.readSeniority()
				planAt = now.Add(planRank * time.Duration(place.larger+place.earlier))
			}
		case !now.Before(planAt):
			counted = i.planShards(counted, now.After(limit))
		}
		if !sleep(i.ctx, planInterval) {
			return nil
		}
	}
}

// workersKnown reports whether any worker is registered.
func (i *Instance) workersKnown() bool {
	ctx, cancel := context.WithTimeout(i.ctx, callTimeout)
	defer cancel()
	known, err := i.store.HasRows(ctx, operator.WorkerTable, "")
	i.reached(err)
	if err != nil {
		logevent.ShardsUnknown.Log(i.log, failure(err))
	}
	return known
}

func (i *Instance) readShards() (*shardmap.Map, error) {
	ctx, cancel := context.WithTimeout(i.ctx, callTimeout)
	defer cancel()
	m, err := jobstore.ReadShards(ctx, i.store)
	i.reached(err)
	return m, err
}

// planShards stores a map if the registrations show as many workers as before, or
// in any case if it is due. It returns the number of workers.
func (i *Instance) planShards(before int, due bool) int {
	ctx, cancel := context.WithTimeout(i.ctx, loadTimeout)
	defer cancel()
	rows, _, err := i.store.Read(ctx, operator.WorkerTable, "", "", "")
	i.reached(err)
	if err != nil {
		logevent.ShardsUnknown.Log(i.log, failure(err))
		return 0
	}
	var workers []job.Worker
	for _, row := range rows {
		// The leader reports the registrations that it cannot use.
		if w, err := operator.DecodeWorker(row.Key, row.Value, time.Now()); err == nil {
			workers = append(workers, w)
		}
	}
	if !due && (len(workers) == 0 || len(workers) != before) {
		return len(workers)
	}
	m := shardmap.Plan(workers)
	err = jobstore.StoreShards(ctx, i.store, m)
	i.reached(err)
	logevent.ShardsPlanned.Log(i.log, zap.Int("workers", len(workers)), zap.Int("shards", m.Shards), failure(err))
	return len(workers)
}

// shards returns all shards, none before they are known.
func (i *Instance) shards() []*shard {
	if d := i.division.Load(); d != nil {
		return d.shards
	}
	return nil
}

// shardOf returns the shard of a job. The shards are known when requests arrive.
func (i *Instance) shardOf(id job.ID) *shard {
	d := i.division.Load()
	return d.shards[d.shardMap.ShardOfJob(id)]
}

// leadership returns the term in which this instance leads the shard, or nil.
func (s *shard) leadership() *leadership {
	s.i.mu.Lock()
	defer s.i.mu.Unlock()
	return s.leading
}

// distance is zero for the instances that prefer the shard and one for the others.
func (s *shard) distance(instance string) int64 {
	if s.division.shardMap.PreferredShard(instance) == s.number {
		return 0
	}
	return 1
}

// burden is the number of other shards that this instance leads. Of two that it
// leads, only the later one counts the other, so that only one of them is left to
// another instance. The mutex is held.
func (s *shard) burden() int64 {
	n := int64(0)
	for _, other := range s.division.shards {
		if other != s && other.leading != nil && (s.leading == nil || other.number < s.number) {
			n++
		}
	}
	return n
}

// near reports whether this instance prefers the shard: it hears its leader often and
// is among the first to succeed it.
func (s *shard) near() bool { return s.distance(s.i.settings.Name) == 0 }

// interval is between two confirmations of a sound leader to this instance.
func (s *shard) interval() time.Duration {
	if s.near() {
		return confirmSpan
	}
	return distantSpan
}
