package instance

import (
	"context"
	"time"

	"go.uber.org/zap"

	"fuchsiacross/job"
	"fuchsiacross/logevent"
	"fuchsiacross/platform/operator"
	"fuchsiacross/platform/store"
)

// followConfiguration keeps the newest configuration in force. While the process runs, an
// older version never replaces a newer one.
func (i *Instance) followConfiguration() {
	f := store.Follower{
		Client: i.store, Table: operator.ConfigurationTable,
		Read:       i.store.PartitionReader(operator.ConfigurationTable, ""),
		OnSnapshot: i.applyConfigurationRows, OnChange: i.applyConfigurationRows, OnResult: i.recordStoreCall,
	}
	f.Run(i.ctx)
}

// applyConfigurationRows puts a newer configuration in force and passes it to the
// leaderships.
func (i *Instance) applyConfigurationRows(rows []store.Row) {
	for _, row := range rows {
		if row.Key != operator.ConfigurationKey || row.Deleted {
			continue
		}
		c, err := operator.DecodeConfiguration(row.Value)
		if err != nil {
			logevent.ConfigurationInvalid.Log(i.log, zap.Int64("row_version", row.Version), errorField(err))
			continue
		}
		old := i.configuration.Load()
		if old != nil && old.Version >= c.Version {
			continue
		}
		i.configuration.Store(c)
		logevent.ConfigurationInForce.Log(i.log, zap.Int64("version", c.Version), zap.Int("queues", len(c.Queues)))
		if old == nil {
			close(i.configurationKnown)
		}
		for _, s := range i.shards() {
			if term := s.currentLeadership(); term != nil {
				term.postConfiguration(c)
			}
		}
	}
}

// findQueue returns the queue of a request and whether there is one. The last result is
// false while requests cannot be served because the configuration or the map of shards is
// unknown.
func (i *Instance) findQueue(host, path string) (job.Queue, bool, bool) {
	c := i.configuration.Load()
	if c == nil || i.shardTable.Load() == nil {
		return job.Queue{}, false, false
	}
	q, found := c.Route(host, path)
	return q, found, true
}

const defaultMaxBodyBytes = 256 << 10

func (i *Instance) maxBodyBytes() int64 {
	if c := i.configuration.Load(); c != nil && c.MaxBodyBytes > 0 {
		return c.MaxBodyBytes
	}
	return defaultMaxBodyBytes
}

// waitForConfiguration waits until a configuration is known. It returns false if the
// context ends first.
func (i *Instance) waitForConfiguration(ctx context.Context) bool {
	select {
	case <-i.configurationKnown:
		return true
	case <-ctx.Done():
		return false
	}
}

// sleep waits for a duration. It returns false if the context ends first.
func sleep(ctx context.Context, duration time.Duration) bool {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
