package settings

import (
	"fmt"
	"net/netip"
	"os"

	"github.com/go-faster/errors"
	"go.uber.org/zap/zapcore"

	"fuchsiacross/finding"
	"fuchsiacross/model"
)

// Settings are the settings of one daemon. They do not change while it runs.
type Settings struct {
	Instance                      model.InstanceID
	DataCentre                    model.DataCentre
	Weight                        float64 // relative number of workers and partitions that the instance owns
	CallerAddress                 netip.AddrPort
	PeerAddress                   netip.AddrPort // where peers reach this instance
	OperatorAddress               netip.AddrPort
	MetricsAddress                netip.AddrPort // zero if metrics are not served
	PlatformAddress               netip.AddrPort
	Peers                         []model.Instance // known before the platform's list is read
	JournalPartitions             int64
	StoreWritesPerSecond          int64 // journal writes of the whole cell
	HeartbeatIntervalMilliseconds int64
	LeaseDurationMilliseconds     int64
	ListIntervalMilliseconds      int64 // between reads of the platform's list of instances
	HeadIntervalMilliseconds      int64 // between reads of the document's head, which holds its latest revision
	ShutdownTimeoutSeconds        int64
	CredentialsFile               string // empty for none
	PeerSecretFile                string // empty for none
	TLS                           TLS
	Limits                        Limits
	TimelineRecords               int64
	LogLevel                      zapcore.Level
}

// TLS names the files of the certificate that the servers for callers and for operators
// use. Both names are empty if TLS is not used.
type TLS struct {
	CertificateFile string
	KeyFile         string
}

// Limits are upper limits on what the daemon accepts.
type Limits struct {
	MaxBodyBytes  int64
	MaxCalls      int64 // concurrent calls of callers
	MaxQueued     int64 // waiting requests
	MaxTasks      int64 // per request
	MaxFrameBytes int64 // per frame between instances
	MaxPeerQueue  int64 // messages queued for one link

	MemoryMegabytes           int64 // of the process
	MaxConnections            int64 // of callers; zero for a default that follows from the memory
	HeaderTimeoutMilliseconds int64 // for the header of a request
	BodyTimeoutMilliseconds   int64 // for the body of a request
}

// Load reads and validates the file at path. Unless the file cannot be read, the error
// is a *finding.Error.
func Load(path string) (*Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read settings")
	}
	s, findings := Parse(path, text)
	if findings.Any() {
		return nil, findings.Err()
	}
	return s, nil
}

// Parse decodes and validates settings. Name is the file name in the places of the
// findings. If there are no findings, the settings are complete and valid.
func Parse(name string, text []byte) (*Settings, finding.List) {
	r := reader{fileName: name, settings: Default()}
	root, err := parse(text)
	if err != nil {
		r.findings.Add(fmt.Sprintf("%s:%d", name, err.line), err.message)
		return nil, r.findings
	}
	r.readRoot(root)
	for _, f := range r.settings.Validate() {
		r.addFinding(r.findLine(f.Place), f.Place, f.Message)
	}
	return r.settings, r.findings
}

// Default returns settings with the default values of all optional fields.
func Default() *Settings {
	s := &Settings{}
	for i := range fields {
		fields[i].applyDefault(s)
	}
	return s
}
