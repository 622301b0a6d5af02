package instance

import (
	"fmt"
	"syscall"
	"time"

	"fuchsiacross/boundedhttp"
	"fuchsiacross/finding"
	"fuchsiacross/intake"
)

const (
	// maxBodyMemoryDivisor keeps body_megabytes below a quarter of memory_megabytes, since
	// the heap limit is about half of it.
	maxBodyMemoryDivisor = 4
)

// checkIntakeSettings adds findings on the bounds of untrusted clients. Zero stands for the
// default.
func checkIntakeSettings(name string, s *Settings, findings *finding.List) {
	ranges := []struct {
		field         string
		value         int64
		least, utmost int64
	}{
		{"max_connections", s.MaxConnections, 16, 65_536},
		{"body_megabytes", s.BodyMegabytes, 1, max(1, s.MemoryMegabytes/maxBodyMemoryDivisor)},
		{"header_timeout_milliseconds", s.HeaderTimeoutMilliseconds, 100, 60_000},
		{"body_timeout_milliseconds", s.BodyTimeoutMilliseconds, 100, 60_000},
	}
	for _, r := range ranges {
		if r.value != 0 && (r.value < r.least || r.value > r.utmost) {
			findings.Add(name+": "+r.field, fmt.Sprintf("must be between %d and %d", r.least, r.utmost))
		}
	}
}

// newServers returns the HTTP servers, which have the bounds of the settings.
func (i *Instance) newServers() *boundedhttp.Servers {
	s := &i.settings
	bounds := intake.DefaultBounds(s.MemoryMegabytes, availableDescriptors(s.MaxDescriptors))
	if s.MaxConnections > 0 {
		bounds.CallerConnections = int(s.MaxConnections)
	}
	if s.BodyMegabytes > 0 {
		bounds.BodyBytes = s.BodyMegabytes << 20
	}
	if s.HeaderTimeoutMilliseconds > 0 {
		bounds.HeaderTimeout = time.Duration(s.HeaderTimeoutMilliseconds) * time.Millisecond
	}
	if s.BodyTimeoutMilliseconds > 0 {
		bounds.BodyTimeout = time.Duration(s.BodyTimeoutMilliseconds) * time.Millisecond
	}
	return boundedhttp.New(boundedhttp.Options{Bounds: bounds, Log: i.log, Metrics: i.metrics})
}

// availableDescriptors returns the smaller one of the setting and the limit of the process,
// or zero if neither is known.
func availableDescriptors(setting int64) int64 {
	var limit syscall.Rlimit
	if syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit) != nil || limit.Cur > 1<<31 {
		return setting
	}
	if setting > 0 {
		return min(setting, int64(limit.Cur))
	}
	return int64(limit.Cur)
}

func callerOptions(b intake.Bounds) intake.Options {
	return intake.Options{MaxConnections: b.CallerConnections, ReceiveBytes: boundedhttp.CallerSocketBytes, SendBytes: boundedhttp.CallerSocketBytes}
}

func peerOptions(b intake.Bounds) intake.Options {
	return intake.Options{MaxConnections: b.PeerConnections, ReceiveBytes: boundedhttp.PeerSocketBytes}
}

func probeOptions(b intake.Bounds) intake.Options {
	return intake.Options{MaxConnections: b.ProbeConnections, ReceiveBytes: boundedhttp.CallerSocketBytes}
}
