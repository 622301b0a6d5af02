package instance

import (
	"context"
	"time"

	"go.uber.org/zap"

	"fuchsiacross/job"
	"fuchsiacross/logevent"
	"fuchsiacross/platform/client"
	"fuchsiacross/platform/operator"
	"fuchsiacross/platform/store"
	"fuchsiacross/tenant"
)

// configurationInForce is a configuration with what is derived from it. A request uses one of
// them for all its checks. It is immutable.
type configurationInForce struct {
	*job.Configuration
	row         []byte // for instances that cannot read the store; without keys
	directory   *tenant.Directory
	requirement tenant.Requirement
}

// followConfiguration keeps the newest configuration in force. While the process runs, an
// older version never replaces a newer one.
func (i *Instance) followConfiguration() {
	f := store.Follower{
		Client: i.configurationStore, Table: operator.ConfigurationTable,
		Read:       i.configurationStore.PartitionReader(operator.ConfigurationTable, ""),
		OnSnapshot: i.applyConfigurationRows, OnChange: i.applyConfigurationRows, OnResult: i.recordStoreCall,
		OnCall: i.feed.RecordCall, OnRead: i.recordConfigurationReading, Wait: i.configurationWait,
	}
	f.Run(i.ctx)
}

// applyConfigurationRows puts a newer configuration in force.
func (i *Instance) applyConfigurationRows(rows []store.Row) {
	for _, row := range rows {
		if row.Key != operator.ConfigurationKey || row.Deleted {
			continue
		}
		c, err := operator.DecodeConfiguration(row.Value)
		relayed := row.Value
		if err == nil && len(c.Tenants) > 0 {
			relayed, err = operator.WithoutKeys(row.Value)
		}
		if err != nil {
			i.refuseConfiguration(row.Version, err)
			continue
		}
		i.applyConfiguration(c, relayed)
	}
}

// refuseConfiguration records that a configuration is invalid. The one in force stays.
func (i *Instance) refuseConfiguration(rowVersion int64, err error) {
	i.counter("configuration.refused").Inc(1)
	logevent.ConfigurationInvalid.Log(i.log, zap.Int64("row_version", rowVersion), errorField(err))
}

// applyConfiguration puts a configuration in force, unless one of the same version or a newer
// one is, and passes it to the leaderships. The row is its form for other instances.
func (i *Instance) applyConfiguration(c *job.Configuration, row []byte) bool {
	i.configurationMutex.Lock()
	defer i.configurationMutex.Unlock()
	old := i.configuration.Load()
	if old != nil && old.Version >= c.Version {
		return false
	}
	i.configuration.Store(&configurationInForce{
		Configuration: c, row: row, directory: tenant.NewDirectory(c.Tenants),
		requirement: tenant.Requirement{
			FeatureSet: i.settings.HasFeature(FeatureTenants),
			HadTenants: len(c.Tenants) > 0 || old != nil && old.requirement.HadTenants,
		},
	})
	logevent.ConfigurationInForce.Log(i.log, zap.Int64("version", c.Version), zap.Int("queues", len(c.Queues)), zap.Int("tenants", len(c.Tenants)),
		zap.Duration("unconfirmed", i.feed.Unconfirmed(time.Now())))
	if old == nil {
		close(i.configurationKnown)
	}
	for _, s := range i.shards() {
		if term := s.currentLeadership(); term != nil {
			term.postConfiguration(c)
		}
	}
	return true
}

// findRoute returns the route of a request and whether there is one. The last result is
// false while requests cannot be served because the configuration or the map of shards is
// unknown.
func (i *Instance) findRoute(host, path string) (client.Route, bool, bool) {
	c := i.configuration.Load()
	if c == nil || i.shardTable.Load() == nil {
		return client.Route{}, false, false
	}
	q, found := c.Route(host, path)
	route := client.Route{Queue: q}
	if c.requirement.KeysRequired() {
		route.Authenticate = func(authorization []string) (string, *job.Response) { return i.authenticate(c, &q, authorization) }
	}
	return route, found, true
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
