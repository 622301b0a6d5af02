package workerstandin

import (
	"context"
	"net/netip"

	"fuchsiacross/model"
)

// Options configures a Worker.
type Options struct {
	ID         model.WorkerID
	Address    netip.AddrPort // to listen on; port 0 for any free one
	DataCentre model.DataCentre
	Rack       model.Rack
	Capacity   model.Resources
	Recorder   *Recorder // nil for a new one
	Faults     Faults
	// Permissive carries out starts that a correct worker refuses, other than
	// those of IgnoreFencing, and records them as violations.
	Permissive bool
	// IgnoreFencing carries out commands of older terms and starts of fenced
	// attempts, and records such starts as violations. They occur with every
	// scheduler now and then, because a paused instance or a slow connection
	// may delay a start until its term has ended. Tests set IgnoreFencing to
	// show what terms and fences protect from.
	IgnoreFencing bool
	// FetchBody returns the body with a digest from the object store. If it is
	// nil, tasks with a stored body fail.
	FetchBody func(context.Context, model.Digest) ([]byte, error)
	// MaxConnections limits the open connections; 0 for 64, the limit of the
	// runners in both deployments. Connections above the limit are closed as
	// soon as they are accepted.
	MaxConnections int
	// Incarnation is the number of the first incarnation; 0 for 1. The terms of a
	// later incarnation are greater than those of an earlier one, so a stand-in
	// process that is restarted at the same address needs a greater number.
	Incarnation model.Incarnation
	// UsageIntervalMilliseconds is the period of usage reports; 0 for 1000.
	UsageIntervalMilliseconds int64
}

const (
	defaultMaxConnections            = 64
	defaultUsageIntervalMilliseconds = 1000
)

func (o Options) withDefaults() Options {
	if o.Recorder == nil {
		o.Recorder = NewRecorder()
	}
	if o.MaxConnections <= 0 {
		o.MaxConnections = defaultMaxConnections
	}
	if o.Incarnation == 0 {
		o.Incarnation = 1
	}
	if o.UsageIntervalMilliseconds <= 0 {
		o.UsageIntervalMilliseconds = defaultUsageIntervalMilliseconds
	}
	return o
}
