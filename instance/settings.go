package instance

import (
	"bytes"
	"encoding/json"
	"net/netip"
	"os"
	"slices"
	"strings"

	"github.com/go-faster/errors"

	"fuchsiacross/finding"
	"fuchsiacross/model"
)

// Settings are the settings of one instance.
type Settings struct {
	Name                    string
	DataCentre              model.DataCentre
	CallerAddress           netip.AddrPort
	ReadinessAddress        netip.AddrPort
	PeerAddress             netip.AddrPort
	AdvertisedAddress       netip.AddrPort // address at which other instances reach PeerAddress
	MetricsAddress          netip.AddrPort
	StoreAddress            netip.AddrPort
	AdviceAddress           netip.AddrPort // invalid if no queue needs advice
	ProcessorShare          float64        // share of one processor
	MemoryMegabytes         int64
	GraceSeconds            float64 // time from the request to stop to the end of the process
	MaxHoldMilliseconds     int64   // longest lease that a worker grants
	StopTimeoutMilliseconds int64   // longest time that a worker needs for a stop
	RetentionSeconds        int64   // time for which clients can query a job after its end
	LinkMegabits            float64 // bandwidth of the machine's link, megabits a second; zero if unknown
	MaxDescriptors          int64   // file descriptors of the process; zero if unknown
	Features                string  // optional rules that the deployment asks for, separated by commas
	// StrictRevocation is set if requests with a key are refused once the configuration has
	// not been confirmed for RevocationMilliseconds.
	StrictRevocation       bool
	RevocationMilliseconds int64
	// Bounds of untrusted clients; zero for the default of package intake.
	MaxConnections            int64
	BodyMegabytes             int64 // memory for bodies of requests
	HeaderTimeoutMilliseconds int64
	BodyTimeoutMilliseconds   int64
	MaxRowBytes               int // largest value of a row in the store; set from the command line or the environment
}

// wireSettings is the JSON form of Settings.
type wireSettings struct {
	Name                    string  `json:"instance"`
	DataCentre              string  `json:"data_centre"`
	CallerAddress           string  `json:"caller_address"`
	ReadinessAddress        string  `json:"readiness_address"`
	PeerAddress             string  `json:"peer_address"`
	AdvertisedAddress       string  `json:"advertised_peer_address"`
	MetricsAddress          string  `json:"metrics_address"`
	StoreAddress            string  `json:"store_address"`
	AdviceAddress           string  `json:"advice_address"`
	ProcessorShare          float64 `json:"processor_share"`
	MemoryMegabytes         int64   `json:"memory_megabytes"`
	GraceSeconds            float64 `json:"grace_seconds"`
	MaxHoldMilliseconds     int64   `json:"max_hold_milliseconds"`
	StopTimeoutMilliseconds int64   `json:"stop_timeout_milliseconds"`
	RetentionSeconds        int64   `json:"retention_seconds"`
	LinkMegabits            float64 `json:"link_megabits"`
	MaxDescriptors          int64   `json:"max_descriptors"`
	Features                string  `json:"features"`
	StrictRevocation        bool    `json:"strict_revocation"`
	RevocationMilliseconds  int64   `json:"revocation_milliseconds"`

	MaxConnections            int64 `json:"max_connections"`
	BodyMegabytes             int64 `json:"body_megabytes"`
	HeaderTimeoutMilliseconds int64 `json:"header_timeout_milliseconds"`
	BodyTimeoutMilliseconds   int64 `json:"body_timeout_milliseconds"`
}

// FeatureTenants is the feature of deployments whose requests carry keys of tenants.
const FeatureTenants = "tenants"

// HasFeature reports whether the deployment asks for an optional rule.
func (s *Settings) HasFeature(name string) bool {
	return slices.Contains(strings.Split(s.Features, ","), name)
}

// LoadSettings reads and checks the settings file at path. The error carries a finding.List
// unless the file cannot be read.
func LoadSettings(path string) (Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, errors.Wrap(err, "read settings")
	}
	return ParseSettings(path, text)
}

// ParseSettings parses and checks settings. The name is that of their source, as it appears
// in the findings.
func ParseSettings(name string, text []byte) (Settings, error) {
	var findings finding.List
	var w wireSettings
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&w); err != nil {
		findings.Add(name, err.Error())
		return Settings{}, findings.Err()
	}
	s := Settings{
		Name: w.Name, DataCentre: model.DataCentre(w.DataCentre), ProcessorShare: w.ProcessorShare,
		MemoryMegabytes: w.MemoryMegabytes, GraceSeconds: w.GraceSeconds, MaxHoldMilliseconds: w.MaxHoldMilliseconds,
		StopTimeoutMilliseconds: w.StopTimeoutMilliseconds, RetentionSeconds: w.RetentionSeconds,
		LinkMegabits: w.LinkMegabits, MaxDescriptors: w.MaxDescriptors, Features: w.Features,
		StrictRevocation: w.StrictRevocation, RevocationMilliseconds: w.RevocationMilliseconds,
		MaxConnections: w.MaxConnections, BodyMegabytes: w.BodyMegabytes,
		HeaderTimeoutMilliseconds: w.HeaderTimeoutMilliseconds, BodyTimeoutMilliseconds: w.BodyTimeoutMilliseconds,
	}
	addresses := []struct {
		field    string
		text     string
		target   *netip.AddrPort
		optional bool
	}{
		{"caller_address", w.CallerAddress, &s.CallerAddress, false},
		{"readiness_address", w.ReadinessAddress, &s.ReadinessAddress, false},
		{"peer_address", w.PeerAddress, &s.PeerAddress, false},
		{"advertised_peer_address", w.AdvertisedAddress, &s.AdvertisedAddress, true},
		{"metrics_address", w.MetricsAddress, &s.MetricsAddress, true},
		{"store_address", w.StoreAddress, &s.StoreAddress, false},
		{"advice_address", w.AdviceAddress, &s.AdviceAddress, true},
	}
	for _, a := range addresses {
		if a.text == "" && a.optional {
			continue
		}
		address, err := netip.ParseAddrPort(a.text)
		if err != nil {
			findings.Add(name+": "+a.field, "is not an address and a port: "+err.Error())
			continue
		}
		*a.target = address
	}
	if !s.AdvertisedAddress.IsValid() {
		s.AdvertisedAddress = s.PeerAddress
	}
	positive := []struct {
		field string
		value float64
	}{
		{"processor_share", s.ProcessorShare},
		{"memory_megabytes", float64(s.MemoryMegabytes)},
		{"grace_seconds", s.GraceSeconds},
		{"max_hold_milliseconds", float64(s.MaxHoldMilliseconds)},
		{"stop_timeout_milliseconds", float64(s.StopTimeoutMilliseconds)},
		{"retention_seconds", float64(s.RetentionSeconds)},
	}
	for _, p := range positive {
		if p.value <= 0 {
			findings.Add(name+": "+p.field, "must be positive")
		}
	}
	s.checkNotNegative(name, &findings)
	checkIntakeSettings(name, &s, &findings)
	if s.Name == "" {
		findings.Add(name+": instance", "must not be empty")
	}
	return s, findings.Err()
}

// checkNotNegative adds findings on optional settings that are negative.
func (s *Settings) checkNotNegative(name string, findings *finding.List) {
	notNegative := []struct {
		field string
		value float64
	}{
		{"link_megabits", s.LinkMegabits},
		{"max_descriptors", float64(s.MaxDescriptors)},
		{"revocation_milliseconds", float64(s.RevocationMilliseconds)},
	}
	for _, n := range notNegative {
		if n.value < 0 {
			findings.Add(name+": "+n.field, "must not be negative")
		}
	}
}
