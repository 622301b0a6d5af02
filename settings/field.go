package settings

import (
	"encoding/json"
	"fmt"
	"math"
	"net/netip"
	"strconv"
	"strings"

	"go.uber.org/zap/zapcore"

	"fuchsiacross/model"
)

// field is one entry of the table of settings.
type field struct {
	pointer          string // JSON pointer
	typeName         string // type in the documentation
	required         bool
	minimum, maximum float64 // range of a number
	defaultJSON      string  // default value in JSON; empty for none
	description      string
	decode           func(*Settings, *field, *node) string // stores the value; returns an error message or ""
}

// applyDefault sets the field to its default value.
func (f *field) applyDefault(s *Settings) {
	if f.defaultJSON == "" {
		return
	}
	n, err := parse([]byte(f.defaultJSON))
	if err != nil {
		panic(f.pointer + ": " + err.message)
	}
	if message := f.decode(s, f, n); message != "" {
		panic(f.pointer + ": " + message)
	}
}

const (
	maxNameBytes = 128
	maxPathBytes = 4096
)

// fields lists all settings except the peers, which are a list of objects.
var fields = []field{
	nameField("/instance", "identifier of this instance, unique in the cell", func(s *Settings) *model.InstanceID { return &s.Instance }),
	nameField("/data_centre", "data centre of this instance", func(s *Settings) *model.DataCentre { return &s.DataCentre }),
	{
		pointer: "/weight", typeName: "number", minimum: 0.01, maximum: 100, defaultJSON: "1",
		description: "share of workers and partitions relative to an ordinary instance",
		decode:      decodeWeight,
	},
	addressField("/caller_address", true, "where callers connect", func(s *Settings) *netip.AddrPort { return &s.CallerAddress }),
	addressField("/peer_address", true, "where other instances reach this one", func(s *Settings) *netip.AddrPort { return &s.PeerAddress }),
	addressField("/operator_address", true, "where operators connect", func(s *Settings) *netip.AddrPort { return &s.OperatorAddress }),
	addressField("/metrics_address", false, "where metrics are read; none when absent", func(s *Settings) *netip.AddrPort { return &s.MetricsAddress }),
	addressField("/platform_address", true, "the platform's services", func(s *Settings) *netip.AddrPort { return &s.PlatformAddress }),
	integerField("/journal_partitions", 1, 4096, 8, "partitions of the request journal; the same at all instances", func(s *Settings) *int64 { return &s.JournalPartitions }),
	integerField("/store_writes_per_second", 1, 300, 200, "journal writes of the whole cell", func(s *Settings) *int64 { return &s.StoreWritesPerSecond }),
	integerField("/heartbeat_milliseconds", 20, 2000, 200, "time between heartbeats; an instance is suspected after four intervals without one", func(s *Settings) *int64 { return &s.HeartbeatIntervalMilliseconds }),
	integerField("/lease_milliseconds", 100, 60_000, 1200, "duration of a worker's scheduler lease, renewed after a third of it", func(s *Settings) *int64 { return &s.LeaseDurationMilliseconds }),
	integerField("/list_milliseconds", 200, 1500, 500, "time between readings of the platform's list", func(s *Settings) *int64 { return &s.ListIntervalMilliseconds }),
	integerField("/head_milliseconds", 200, 3000, 1000, "time between readings of the document's head", func(s *Settings) *int64 { return &s.HeadIntervalMilliseconds }),
	integerField("/shutdown_seconds", 1, 3600, 30, "time in which a shutdown finishes or hands over what is in flight", func(s *Settings) *int64 { return &s.ShutdownTimeoutSeconds }),
	pathField("/credentials_file", "credentials of the operators", func(s *Settings) *string { return &s.CredentialsFile }),
	pathField("/peer_secret_file", "key that all instances share; links are not authenticated without it", func(s *Settings) *string { return &s.PeerSecretFile }),
	pathField("/tls/certificate_file", "certificate of the callers' and the operators' server", func(s *Settings) *string { return &s.TLS.CertificateFile }),
	pathField("/tls/key_file", "key of the certificate", func(s *Settings) *string { return &s.TLS.KeyFile }),
	integerField("/limits/max_body_bytes", 1, 64<<20, 4<<20, "largest body of a request", func(s *Settings) *int64 { return &s.Limits.MaxBodyBytes }),
	integerField("/limits/max_calls", 1, 1_000_000, 10_000, "open calls of callers", func(s *Settings) *int64 { return &s.Limits.MaxCalls }),
	integerField("/limits/max_queued", 1, 1_000_000, 10_000, "waiting requests at this instance", func(s *Settings) *int64 { return &s.Limits.MaxQueued }),
	integerField("/limits/max_tasks", 1, 100_000, 10_000, "tasks of one request", func(s *Settings) *int64 { return &s.Limits.MaxTasks }),
	integerField("/limits/max_frame_bytes", 128<<10, 128<<20, 8<<20, "largest frame between instances", func(s *Settings) *int64 { return &s.Limits.MaxFrameBytes }),
	integerField("/limits/max_peer_queue", 16, 1_000_000, 1024, "messages that wait for one peer", func(s *Settings) *int64 { return &s.Limits.MaxPeerQueue }),
	integerField("/limits/memory_megabytes", 64, 1<<20, 256, "memory of the process in MB; an eighth is for bodies that are received, a sixth for requests that are kept, and connections follow from it ([design/intake.md](design/intake.md))", func(s *Settings) *int64 { return &s.Limits.MemoryMegabytes }),
	integerField("/limits/max_connections", 0, 65_536, 0, "open connections of callers and streams of HTTP/2 together; 0 for a quarter of memory_megabytes at 48 KiB each, at least 192", func(s *Settings) *int64 { return &s.Limits.MaxConnections }),
	integerField("/limits/header_timeout_milliseconds", 100, 60_000, 10_000, "longest time for the header of a request and for the TLS handshake", func(s *Settings) *int64 { return &s.Limits.HeaderTimeoutMilliseconds }),
	integerField("/limits/body_timeout_milliseconds", 100, 3_600_000, 60_000, "longest time for the body of a request; a shorter timeout of the call counts before it", func(s *Settings) *int64 { return &s.Limits.BodyTimeoutMilliseconds }),
	integerField("/timeline_records", 16, 10_000_000, 65_536, "records of the timeline kept in memory", func(s *Settings) *int64 { return &s.TimelineRecords }),
	{
		pointer: "/log_level", typeName: "debug, info, warn or error", defaultJSON: `"info"`,
		description: "lowest level that is logged", decode: decodeLogLevel,
	},
}

// nameField returns the field of a required identifier.
func nameField[T ~string](pointer, description string, destination func(*Settings) *T) field {
	return field{
		pointer: pointer, typeName: "string", required: true, description: description,
		decode: func(s *Settings, _ *field, n *node) string {
			value, message := decodeString(n, maxNameBytes)
			if message == "" {
				*destination(s) = T(value)
			}
			return message
		},
	}
}

func pathField(pointer, description string, destination func(*Settings) *string) field {
	return field{
		pointer: pointer, typeName: "path", description: description,
		decode: func(s *Settings, _ *field, n *node) string {
			value, message := decodeString(n, maxPathBytes)
			if message == "" {
				*destination(s) = value
			}
			return message
		},
	}
}

func addressField(pointer string, required bool, description string, destination func(*Settings) *netip.AddrPort) field {
	return field{
		pointer: pointer, typeName: "ip:port", required: required, description: description,
		decode: func(s *Settings, _ *field, n *node) string {
			value, message := decodeAddress(n)
			if message == "" {
				*destination(s) = value
			}
			return message
		},
	}
}

func integerField(pointer string, minimum, maximum, defaultValue int64, description string, destination func(*Settings) *int64) field {
	return field{
		pointer: pointer, typeName: "integer", description: description,
		minimum: float64(minimum), maximum: float64(maximum), defaultJSON: strconv.FormatInt(defaultValue, 10),
		decode: func(s *Settings, f *field, n *node) string {
			number, ok := n.value.(json.Number)
			if !ok {
				return "is " + n.describeType() + ", want an integer"
			}
			value, err := strconv.ParseInt(number.String(), 10, 64)
			if err != nil {
				return fmt.Sprintf("%s is not an integer", number)
			}
			if value < minimum || value > maximum {
				return f.outOfRangeMessage(number)
			}
			*destination(s) = value
			return ""
		},
	}
}

func decodeWeight(s *Settings, f *field, n *node) string {
	number, ok := n.value.(json.Number)
	if !ok {
		return "is " + n.describeType() + ", want a number"
	}
	value, err := number.Float64()
	if err != nil || math.IsNaN(value) || value < f.minimum || value > f.maximum {
		return f.outOfRangeMessage(number)
	}
	s.Weight = value
	return ""
}

func decodeLogLevel(s *Settings, _ *field, n *node) string {
	value, message := decodeString(n, maxNameBytes)
	if message != "" {
		return message
	}
	for _, level := range []zapcore.Level{zapcore.DebugLevel, zapcore.InfoLevel, zapcore.WarnLevel, zapcore.ErrorLevel} {
		if level.String() == value {
			s.LogLevel = level
			return ""
		}
	}
	return fmt.Sprintf("%q is not debug, info, warn or error", value)
}

// formatRange returns the range of a number for messages and documentation, or "".
func (f *field) formatRange() string {
	if f.minimum == 0 && f.maximum == 0 {
		return ""
	}
	return formatNumber(f.minimum) + " to " + formatNumber(f.maximum)
}

func formatNumber(v float64) string { return strconv.FormatFloat(v, 'f', -1, 64) }

func (f *field) outOfRangeMessage(n json.Number) string {
	return fmt.Sprintf("%s is outside %s", n, f.formatRange())
}

// decodeString returns a non-empty string of at most limit bytes, or an error message.
func decodeString(n *node, limit int) (value, message string) {
	value, ok := n.value.(string)
	switch {
	case !ok:
		return "", "is " + n.describeType() + ", want a string"
	case value == "":
		return "", "is empty"
	case len(value) > limit:
		return "", fmt.Sprintf("has %d bytes, limit %d", len(value), limit)
	}
	return value, ""
}

// decodeAddress returns an IP address with a port other than 0, or an error message.
func decodeAddress(n *node) (value netip.AddrPort, message string) {
	text, message := decodeString(n, maxNameBytes)
	if message != "" {
		return value, message
	}
	value, err := netip.ParseAddrPort(text)
	if err != nil {
		return value, fmt.Sprintf("%q is not an IP address with a port", text)
	}
	if value.Port() == 0 {
		return netip.AddrPort{}, fmt.Sprintf("%q has port 0", text)
	}
	return value, ""
}

// ReferencePage returns the text of docs/settings.md.
func ReferencePage() string {
	var b strings.Builder
	b.WriteString("# Settings\n\n")
	b.WriteString("The daemon reads one JSON file. Unknown fields are refused.\n")
	b.WriteString("This page is generated from the package `settings`.\n\n")
	b.WriteString("| field | type | range | default | description |\n")
	b.WriteString("| --- | --- | --- | --- | --- |\n")
	for i := range fields {
		f := &fields[i]
		defaultText := f.defaultJSON
		if f.required {
			defaultText = "required"
		}
		fmt.Fprintf(&b, "| `%s` | %s | %s | %s | %s |\n", f.pointer, f.typeName, f.formatRange(), defaultText, f.description)
	}
	b.WriteString("| `/peers` | list of objects |  |  | instances known before the platform's list is read, each with `instance`, `address` and `data_centre` |\n")
	b.WriteString(instanceSection)
	return b.String()
}
