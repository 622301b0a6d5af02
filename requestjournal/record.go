package requestjournal

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"fuchsiacross/model"
)

// RecordKind says what a record states.
type RecordKind uint8

// The kinds of records.
const (
	// RecordClaim makes its holder the writer of the partition.
	RecordClaim RecordKind = iota + 1
	// RecordAccepted precedes the caller's notice of acceptance.
	RecordAccepted
	// RecordIntent precedes the start of an attempt that must run at most once.
	RecordIntent
	// RecordTaskResult states the result of one task of a request with several,
	// or without a result that the attempt is known not to have run.
	RecordTaskResult
	// RecordOutcome settles a request.
	RecordOutcome
	// RecordForget drops a settled request after the retention time.
	RecordTombstone
)

// Record is one entry of a partition's journal. The fields that a kind does not
// name are zero.
type Record struct {
	Kind              RecordKind
	At                time.Time
	ID                model.RequestID   // all kinds but RecordClaim
	Holder            model.InstanceID  // RecordClaim
	HolderIncarnation model.Incarnation // RecordClaim
	Request           *model.Request    // RecordAccepted
	Attempt           model.Attempt     // RecordIntent, RecordTaskResult
	Worker            model.WorkerID    // RecordIntent
	WorkerIncarnation model.Incarnation // RecordIntent; a later life of the worker proves nothing about the attempt
	Result            *model.TaskResult // RecordTaskResult
	Outcome           *model.Outcome    // RecordOutcome
}

// Version is the number of batches appended to a partition. A conditional
// append names the version that the writer believes is current.
type Version uint64

// PartitionOf returns the home partition of a request.
func PartitionOf(id model.RequestID, partitions uint32) model.Partition {
	return model.Partition(xxhash.Sum64String(string(id)) % uint64(partitions))
}
