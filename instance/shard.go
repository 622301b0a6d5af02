package instance

import (
	"context"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"fuchsiacross/election"
	"fuchsiacross/job"
	"fuchsiacross/jobstore"
	"fuchsiacross/link"
	"fuchsiacross/logevent"
	"fuchsiacross/platform/operator"
	"fuchsiacross/runtimes"
	"fuchsiacross/shardmap"
)

const (
	// planInterval is the time between two reads of the map of shards, or of the workers
	// while there is no map. The map is planned when two consecutive reads show the same
	// number of workers.
	planInterval = 250 * time.Millisecond
	// planRankDelay is how much later each further instance plans. A read of all
	// registrations is large, and it is enough if one instance makes it twice.
	planRankDelay = 500 * time.Millisecond
	// planTimeout is how long planning waits for the first worker: several of the 1.5 s
	// intervals at which workers register.
	planTimeout = 7 * time.Second
)

// shardTable is the map of shards with what this instance knows about each shard.
type shardTable struct {
	shardMap *shardmap.Map
	shards   []*shard
}

// shard is what this instance knows about one shard and its leader. The instance's mutex
// guards the fields after log.
type shard struct {
	instance *Instance
	table    *shardTable
	number   int
	jobs     *jobstore.Store
	log      *zap.Logger                     // has the field shard if there are several shards
	runTimes atomic.Pointer[runtimes.Report] // last report of this instance as the leader, or nil
	// tenantGauges are the names of the tenants' gauges; only the goroutine of the term uses them.
	tenantGauges map[string]struct{}

	ownLeadership   *leadership        // nil unless this instance leads
	leaderConn      *link.Conn         // link to the leader; nil unless another instance leads
	token           int64              // token of the last known leader, which may be this instance
	leaderHeardAt   time.Time          // time of the leader's last hello or confirmation; zero without a leader
	leaderWriteTime time.Duration      // duration of the leader's last write to the store
	leaderRelease   *leaderRelease     // the leader's release that the election has not handled yet; nil if there is none
	successionRank  int64              // number of instances that are to claim before this one
	handovers       election.Handovers // of this instance, since its own speed last changed
	unreportedJobs  []link.Message     // notifications of jobs that were stored while no leader was known
}

// leaderRelease is a leader's notice that it has released the leadership.
type leaderRelease struct {
	token     int64
	version   int64 // version of the released row
	successor bool  // this instance is to claim at once
}

// joinElections loads or plans the map of shards and takes part in the election of each
// shard.
func (i *Instance) joinElections() {
	m := i.loadOrPlanShardMap()
	if m == nil {
		return
	}
	table := &shardTable{shardMap: m}
	for n := range m.Shards {
		s := &shard{instance: i, table: table, number: n, jobs: jobstore.New(i.store, n), log: i.log}
		if m.Shards > 1 {
			s.log = i.log.With(zap.Int("shard", n))
		}
		s.jobs.UseLeaderClients(i.controlStore, i.loadStore)
		s.jobs.MaxParallelReads = i.settings.loadConnections()
		s.jobs.OnUnreadableRow = func(key string, err error) {
			logevent.JobUnreadable.Log(s.log, zap.String("key", key), errorField(err))
		}
		table.shards = append(table.shards, s)
	}
	i.shardTable.Store(table)
	close(i.shardsKnown)
	logevent.ShardsKnown.Log(i.log, zap.Int("shards", m.Shards), zap.Int("racks", len(m.Racks)), zap.Int("preferred", m.PreferredShard(i.settings.Name)))
	// Client requests are already accepted while the rank is read.
	rank := i.readInstanceRank()
	for _, s := range table.shards {
		i.mu.Lock()
		s.successionRank = rank.larger + rank.earlier
		i.mu.Unlock()
		i.goroutines.Go(s.runElection)
	}
}

// loadOrPlanShardMap reads the map of shards, and plans it if none is stored. It returns
// nil if the instance is stopped.
func (i *Instance) loadOrPlanShardMap() *shardmap.Map {
	deadline := time.Now().Add(planTimeout)
	var planAt time.Time // zero while no worker is registered
	workerCount := 0
	largestShare := i.settings.ProcessorShare
	for {
		m, err := i.readShardMap()
		switch now := time.Now(); {
		case err != nil:
			logevent.ShardsUnavailable.Log(i.log, errorField(err))
		case m != nil:
			return m
		case planAt.IsZero():
			if now.After(deadline) || i.hasWorkers() {
				rank := i.readInstanceRank()
				largestShare = rank.largestShare
				planAt = now.Add(planRankDelay * time.Duration(rank.larger+rank.earlier))
			}
		case !now.Before(planAt):
			workerCount = i.planShardMap(workerCount, largestShare, now.After(deadline))
		}
		if !sleep(i.ctx, planInterval) {
			return nil
		}
	}
}

// hasWorkers reports whether any worker is registered. It returns false after an error.
func (i *Instance) hasWorkers() bool {
	ctx, cancel := context.WithTimeout(i.ctx, storeCallTimeout)
	defer cancel()
	known, err := i.controlStore.HasRows(ctx, operator.WorkerTable, "")
	i.recordStoreCall(err)
	if err != nil {
		logevent.ShardsUnavailable.Log(i.log, errorField(err))
	}
	return known
}

func (i *Instance) readShardMap() (*shardmap.Map, error) {
	ctx, cancel := context.WithTimeout(i.ctx, storeCallTimeout)
	defer cancel()
	m, err := jobstore.ReadShardMap(ctx, i.controlStore)
	i.recordStoreCall(err)
	return m, err
}

// planShardMap reads the registered workers, and plans and stores a map if their number is
// positive and equal to previousCount, or in any case if isDue is set. The largest instance
// has the given share of a processor. It returns the number of workers, or zero after an
// error.
func (i *Instance) planShardMap(previousCount int, largestShare float64, isDue bool) int {
	ctx, cancel := context.WithTimeout(i.ctx, loadTimeout)
	defer cancel()
	rows, _, err := i.controlStore.Read(ctx, operator.WorkerTable, "", "", "")
	i.recordStoreCall(err)
	if err != nil {
		logevent.ShardsUnavailable.Log(i.log, errorField(err))
		return 0
	}
	var workers []job.Worker
	for _, row := range rows {
		// The leaders log the registrations that cannot be decoded.
		if w, err := operator.DecodeWorker(row.Key, row.Value, time.Now()); err == nil {
			workers = append(workers, w)
		}
	}
	if !isDue && (len(workers) == 0 || len(workers) != previousCount) {
		return len(workers)
	}
	m := shardmap.Plan(workers, largestShare)
	err = jobstore.StoreShardMap(ctx, i.controlStore, m)
	i.recordStoreCall(err)
	logevent.ShardsPlanned.Log(i.log, zap.Int("workers", len(workers)), zap.Float64("processor_share", largestShare), zap.Int("shards", m.Shards), errorField(err))
	return len(workers)
}

// shards returns all shards, or none before the map is known.
func (i *Instance) shards() []*shard {
	if table := i.shardTable.Load(); table != nil {
		return table.shards
	}
	return nil
}

// shardOf returns the shard of a job. The map is known by then, since no request is
// accepted before.
func (i *Instance) shardOf(id job.ID) *shard {
	table := i.shardTable.Load()
	return table.shards[table.shardMap.ShardOfJob(id)]
}

// currentLeadership returns the term in which this instance leads the shard, or nil.
func (s *shard) currentLeadership() *leadership {
	s.instance.mu.Lock()
	defer s.instance.mu.Unlock()
	return s.ownLeadership
}

// preferenceDistance returns zero for an instance that prefers the shard and one for any
// other.
func (s *shard) preferenceDistance(instance string) int64 {
	if s.table.shardMap.PreferredShard(instance) == s.number {
		return 0
	}
	return 1
}

// countOtherLedShards returns the number of other shards that this instance leads. A shard
// that it leads itself counts only those with lower numbers, so that of two shards only one
// is left to another instance. The caller holds the mutex.
func (s *shard) countOtherLedShards() int64 {
	n := int64(0)
	for _, other := range s.table.shards {
		if other != s && other.ownLeadership != nil && (s.ownLeadership == nil || other.number < s.number) {
			n++
		}
	}
	return n
}

// isPreferred reports whether this instance prefers the shard. It then gets the leader's
// confirmations more often and is among the first to succeed the leader.
func (s *shard) isPreferred() bool { return s.preferenceDistance(s.instance.settings.Name) == 0 }

// confirmationInterval returns the interval at which a working leader sends confirmations
// to this instance.
func (s *shard) confirmationInterval() time.Duration {
	if s.isPreferred() {
		return preferredConfirmInterval
	}
	return nonPreferredConfirmInterval
}
