package model

import (
	"strconv"
	"strings"
)

// RequestID identifies a request in the whole cell. The caller chooses it.
type RequestID string

// InstanceID identifies one scheduler instance.
type InstanceID string

// WorkerID identifies one worker.
type WorkerID string

// DataCentre names a data centre.
type DataCentre string

// Rack names a rack within a data centre.
type Rack string

// Team names a team that owns a section of the document.
type Team string

// Workload names a workload within a team's section.
type Workload string

// Term is the number of a scheduler lease, increasing with each lease that a
// worker grants. A worker refuses commands with a term lower than its current one.
type Term uint64

// Incarnation distinguishes the runs of a process that keeps its identifier
// across restarts. It increases with each restart.
type Incarnation uint64

// Revision is the number of a committed version of the document, starting at 1.
// Zero means that no document is known.
type Revision uint64

// Partition is the index of a partition of the request journal, starting at 0.
type Partition uint32

// Attempt identifies one try at running one task of a request. Number starts at
// 1 and is never reused within a task.
type Attempt struct {
	Request RequestID
	Task    uint32
	Number  uint32
}

// String returns the attempt as request/task/number.
func (a Attempt) String() string {
	var b strings.Builder
	b.WriteString(string(a.Request))
	b.WriteByte('/')
	b.WriteString(strconv.FormatUint(uint64(a.Task), 10))
	b.WriteByte('/')
	b.WriteString(strconv.FormatUint(uint64(a.Number), 10))
	return b.String()
}
