package jobstore

import (
	"context"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"

	"fuchsiacross/platform/store"
	"fuchsiacross/shardmap"
)

const (
	shardTable = "shards"
	shardPart  = "" // that of the configuration, so that both are known or none is
	shardKey   = "map"
)

type wireShards struct {
	Shards int            `cbor:"1,keyasint"`
	Racks  map[string]int `cbor:"2,keyasint,omitempty"`
}

// ReadShards reads the map of shards; it is nil if none is stored.
func ReadShardMap(ctx context.Context, c *store.Client) (*shardmap.Map, error) {
	row, err := c.ReadRow(ctx, shardTable, shardPart, shardKey)
	if err != nil || row.Version == 0 {
		return nil, err
	}
	var w wireShards
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

// StoreShards stores the map of shards unless one is stored. ReadShards tells which one is.
func StoreShardMap(ctx context.Context, c *store.Client, m *shardmap.Map) error {
	value, err := encode(wireShards{Shards: m.Shards, Racks: m.Racks}, "encode the map of shards")
	if err != nil {
		return err
	}
	_, err = c.Commit(ctx, store.Transaction{
		Partition: shardPart,
		Expected:  []store.Condition{{Table: shardTable, Key: shardKey}},
		Writes:    []store.Write{{Table: shardTable, Key: shardKey, Value: value}},
	})
	if errors.Is(err, store.ErrConflict) {
		return nil
	}
	return err
}
