package settings

import (
	"fmt"
	"net/netip"

	"fuchsiacross/finding"
	"fuchsiacross/model"
)

// frameOverheadBytes is the space that a forwarded request needs in a frame in addition
// to its body, for identifiers, resource amounts and headers.
const frameOverheadBytes = 64 << 10

// Validate returns the findings that concern several fields, such as conflicting
// values. Their places are JSON pointers.
func (s *Settings) Validate() finding.List {
	var fs finding.List
	s.validatePeers(&fs)
	s.validateAddresses(&fs)
	if (s.TLS.CertificateFile == "") != (s.TLS.KeyFile == "") {
		fs.Add("/tls", "certificate_file and key_file must both be set or both be absent")
	}
	if s.Limits.MaxFrameBytes < s.Limits.MaxBodyBytes+frameOverheadBytes {
		fs.Add("/limits/max_frame_bytes", fmt.Sprintf(
			"%d is less than max_body_bytes plus %d, so a forwarded request could exceed a frame",
			s.Limits.MaxFrameBytes, frameOverheadBytes))
	}
	if s.LeaseDurationMilliseconds < 2*s.HeartbeatIntervalMilliseconds {
		fs.Add("/lease_milliseconds", fmt.Sprintf(
			"%d is less than two heartbeats of %d ms", s.LeaseDurationMilliseconds, s.HeartbeatIntervalMilliseconds))
	}
	return fs
}

func (s *Settings) validatePeers(fs *finding.List) {
	seen := map[model.InstanceID]int{}
	for i, p := range s.Peers {
		pointer := fmt.Sprintf("/peers/%d/instance", i)
		if p.ID == "" {
			continue // already reported by the reader
		}
		if p.ID == s.Instance {
			fs.Add(pointer, fmt.Sprintf("%q is this instance", p.ID))
		}
		if first, ok := seen[p.ID]; ok {
			fs.Add(pointer, fmt.Sprintf("%q is also /peers/%d", p.ID, first))
			continue
		}
		seen[p.ID] = i
	}
}

// validateAddresses reports addresses that are used more than once, and a peer address
// that peers cannot connect to.
func (s *Settings) validateAddresses(fs *finding.List) {
	seen := map[netip.AddrPort]string{}
	checkUnique := func(pointer string, a netip.AddrPort) {
		if !a.IsValid() {
			return
		}
		if first, ok := seen[a]; ok {
			fs.Add(pointer, fmt.Sprintf("%s is also the address at %s", a, first))
			return
		}
		seen[a] = pointer
	}
	checkUnique("/caller_address", s.CallerAddress)
	checkUnique("/peer_address", s.PeerAddress)
	checkUnique("/operator_address", s.OperatorAddress)
	checkUnique("/metrics_address", s.MetricsAddress)
	checkUnique("/platform_address", s.PlatformAddress)
	for i, p := range s.Peers {
		checkUnique(fmt.Sprintf("/peers/%d/address", i), p.Address)
	}
	if s.PeerAddress.IsValid() && s.PeerAddress.Addr().IsUnspecified() {
		fs.Add("/peer_address", "peers cannot reach an unspecified address")
	}
}
