package workerstandin

import (
	"context"
	"net/netip"

	"fuchsiacross/model"
)

// Options configures a Worker.
type Options struct {
	ID         model.WorkerID
	Address    netip.AddrPort // port 0 picks a free one
	DataCentre model.DataCentre
	Rack       model.Rack
	Capacity   model.Resources
	Recorder   *Recorder // nil for one of its own
	Faults     Faults
	// Trusting carries out commands that a correct worker refuses, and records
	// them as violations.
	Permissive bool
	// Unguarded carries out what lease terms and fences exclude, too, and
	// records it. Such starts reach every worker now and then, from an instance
	// that was paused or over a slow connection, and no scheduler can prevent
	// it; a test sets Unguarded to show what terms and fences protect from.
	Unguarded bool
	// FetchBody returns a stored body. A start with a stored body fails its
	// task when it is nil.
	FetchBody func(context.Context, model.Digest) ([]byte, error)
	// Connections is the limit of open connections; 0 for 64, the limit of the
	// runners in both deployments. Connections above it are closed at once.
	Connections int
	// Incarnation of the first life; 0 for 1. Terms of a later incarnation are
	// greater than those of an earlier one, so a stand-in process that is
	// started again at the same address must be given a greater one.
	Incarnation model.Incarnation
	// UsageMilliseconds is the interval of usage reports; 0 for one second.
	UsageIntervalMilliseconds int64
}

const (
	defaultConnections       = 64
	defaultUsageMilliseconds = 1000
)

func (o Options) filled() Options {
	if o.Recorder == nil {
		o.Recorder = NewRecorder()
	}
	if o.Connections <= 0 {
		o.Connections = defaultConnections
	}
	if o.Incarnation == 0 {
		o.Incarnation = 1
	}
	if o.UsageIntervalMilliseconds <= 0 {
		o.UsageIntervalMilliseconds = defaultUsageMilliseconds
	}
	return o
}
