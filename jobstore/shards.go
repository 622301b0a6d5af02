package jobstore

import (
	"context"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"

	"fuchsiacross/platform/store"
	"fuchsiacross/shardmap"
)

const (
	shardMapTable     = "shards"
	shardMapPartition = "" // the configuration's partition, so that either both are available or neither
	shardMapKey       = "map"
)

type wireShardMap struct {
	Shards int            `cbor:"1,keyasint"`
	Racks  map[string]int `cbor:"2,keyasint,omitempty"`
}

// ReadShardMap reads the map of shards. It returns nil if none is stored.
func ReadShardMap(ctx context.Context, c *store.Client) (*shardmap.Map, error) {
	row, err := c.ReadRow(ctx, shardMapTable, shardMapPartition, shardMapKey)
	if err != nil || row.Version == 0 {
		return nil, err
	}
	var w wireShardMap
	if err := cbor.Unmarshal(row.Value, &w); err != nil {
		return nil, errors.Wrap(err, "decode the map of shards")
	}
	m := &shardmap.Map{Shards: w.Shards, Racks: w.Racks}
	if m.Shards < 1 {
		return nil, errors.Errorf("the map of shards has %d shards", m.Shards)
	}
	for rack, shard := range m.Racks {
		if shard < 0 || shard >= m.Shards {
			return nil, errors.Errorf("rack %s is in shard %d of %d", rack, shard, m.Shards)
		}
	}
	return m, nil
}

// StoreShardMap stores the map of shards unless one is stored already. ReadShardMap
// returns the one that is stored.
func StoreShardMap(ctx context.Context, c *store.Client, m *shardmap.Map) error {
	value, err := encode(wireShardMap{Shards: m.Shards, Racks: m.Racks}, "encode the map of shards")
	if err != nil {
		return err
	}
	_, err = c.Commit(ctx, store.Transaction{
		Partition: shardMapPartition,
		Expected:  []store.Condition{{Table: shardMapTable, Key: shardMapKey}},
		Writes:    []store.Write{{Table: shardMapTable, Key: shardMapKey, Value: value}},
	})
	if errors.Is(err, store.ErrConflict) {
		return nil
	}
	return err
}
