package requestjournal

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"fuchsiacross/model"
)

// RecordKind is the kind of a record. It determines which of its fields are set.
type RecordKind uint8

// The kinds of records.
const (
	// RecordClaim makes its holder the writer of the partition.
	RecordClaim RecordKind = iota + 1
	// RecordAccepted is durable before the caller is notified of the acceptance.
	RecordAccepted
	// RecordIntent is durable before an attempt starts that must run at most once.
	RecordIntent
	// RecordTaskResult holds the result of one task of a request with several
	// tasks. Without a result it means that the attempt is known not to have run.
	RecordTaskResult
	// RecordOutcome settles a request.
	RecordOutcome
	// RecordTombstone replaces a settled request after the retention time.
	RecordTombstone
)

// Record is one record of a partition. The comments name the kinds that set a field;
// in records of other kinds it is zero.
type Record struct {
	Kind              RecordKind
	At                time.Time
	ID                model.RequestID   // all kinds but RecordClaim
	Holder            model.InstanceID  // RecordClaim
	HolderIncarnation model.Incarnation // RecordClaim
	Request           *model.Request    // RecordAccepted
	Attempt           model.Attempt     // RecordIntent, RecordTaskResult
	Worker            model.WorkerID    // RecordIntent
	WorkerIncarnation model.Incarnation // RecordIntent; a later incarnation of the worker proves nothing about the attempt
	Result            *model.TaskResult // RecordTaskResult
	Outcome           *model.Outcome    // RecordOutcome
}

// Version is the number of batches appended to a partition. A conditional append
// expects the version that the writer last knew.
type Version uint64

// PartitionOf returns the partition that holds a request.
func PartitionOf(id model.RequestID, partitions uint32) model.Partition {
	return model.Partition(xxhash.Sum64String(string(id)) % uint64(partitions))
}
