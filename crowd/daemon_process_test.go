//go:build crowd

package crowd

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/hex"
	"encoding/json"
	"encoding/pem"
	"fmt"
	"math/big"
	"net"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"testing"
	"time"

	"connectrpc.com/connect"

	"fuchsiacross/callerv1"
	"fuchsiacross/callerv1/callerv1connect"
	"fuchsiacross/examples"
	"fuchsiacross/model"
	"fuchsiacross/operator"
	"fuchsiacross/operatorv1"
	"fuchsiacross/operatorv1/operatorv1connect"
	"fuchsiacross/tableservicestandin"
)

const (
	// daemonMegabytes is the memory that a daemon may take, by docs/design.md.
	daemonMegabytes = 256
	// daemonDescriptors is the number of descriptors of the smallest machines.
	daemonDescriptors = 3075
	// operatorsToken is the bearer token of the operators.
	operatorsToken = "token-of-the-operators"
)

// daemonProcess is a process of a daemon, the only one of its cell. The cell has no workers, so
// that requests wait until their deadlines.
type daemonProcess struct {
	*process
	caller, operator, peer, counters netip.AddrPort
	encrypted                        bool
	lastID                           int
}

// startDaemon starts a process, commits a document and waits until an ordinary request is
// answered.
func startDaemon(t *testing.T, encrypted bool) *daemonProcess {
	t.Helper()
	platform, err := tableservicestandin.New(tableservicestandin.Options{Address: netip.MustParseAddrPort("127.0.0.1:0")})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = platform.Close() })
	p := &daemonProcess{caller: freeAddress(t), operator: freeAddress(t), peer: freeAddress(t), counters: freeAddress(t), encrypted: encrypted}
	platform.SetList(nil, []model.Instance{{ID: "entry-1", Address: p.peer, DataCentre: "z", Weight: 1}})
	directory := t.TempDir()
	digest := sha256.Sum256([]byte(operatorsToken))
	credentials, err := json.Marshal(map[string][]string{string(operator.OperatorsTeam): {hex.EncodeToString(digest[:])}})
	if err != nil {
		t.Fatal(err)
	}
	credentialsPath := filepath.Join(directory, "credentials.json")
	if err := os.WriteFile(credentialsPath, credentials, 0o600); err != nil {
		t.Fatal(err)
	}
	settings := map[string]any{
		"instance": "entry-1", "data_centre": "z", "caller_address": p.caller.String(), "operator_address": p.operator.String(),
		"peer_address": p.peer.String(), "metrics_address": p.counters.String(), "platform_address": platform.Address().String(),
		"credentials_file": credentialsPath, "shutdown_seconds": 10,
	}
	if encrypted {
		certificate, key := writeCertificate(t, directory)
		settings["tls"] = map[string]string{"certificate_file": certificate, "key_file": key}
	}
	text, err := json.Marshal(settings)
	if err != nil {
		t.Fatal(err)
	}
	p.process = startProcess(t, daemonBinary, text, daemonMegabytes, daemonDescriptors)
	p.commitDocument(t)
	p.requireOrdinaryAnswer(t)
	return p
}

// writeCertificate writes a certificate and its key, which no client checks.
func writeCertificate(t *testing.T, directory string) (certificatePath, keyPath string) {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "entry-1"}, NotAfter: time.Now().Add(time.Hour),
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
	}
	certificate, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		t.Fatal(err)
	}
	keyBytes, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		t.Fatal(err)
	}
	certificatePath, keyPath = filepath.Join(directory, "certificate.pem"), filepath.Join(directory, "key.pem")
	files := []struct {
		path, kind string
		bytes      []byte
	}{
		{certificatePath, "CERTIFICATE", certificate},
		{keyPath, "PRIVATE KEY", keyBytes},
	}
	for _, f := range files {
		if err := os.WriteFile(f.path, pem.EncodeToMemory(&pem.Block{Type: f.kind, Bytes: f.bytes}), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	return certificatePath, keyPath
}

// newClient returns a client that opens a connection for each request, and the scheme of the
// callers' and the operators' addresses.
func (p *daemonProcess) newClient() (client *http.Client, scheme string) {
	transport := &http.Transport{DisableKeepAlives: true, TLSClientConfig: &tls.Config{InsecureSkipVerify: true}} //nolint:gosec // the certificate is the test's own
	scheme = "http://"
	if p.encrypted {
		scheme = "https://"
	}
	return &http.Client{Timeout: requestTimeout, Transport: transport}, scheme
}

// repeat repeats a call until it succeeds, as ordinary clients do, and fails the test after
// startTimeout.
func repeat(t *testing.T, what string, call func(context.Context) error) {
	t.Helper()
	var last error
	for end := time.Now().Add(startTimeout); time.Now().Before(end); time.Sleep(repetitionDelay) {
		ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
		last = call(ctx)
		cancel()
		if last == nil {
			return
		}
	}
	t.Errorf("%s is not answered; the last attempt: %v", what, last)
}

func (p *daemonProcess) operatorClient() operatorv1connect.OperatorServiceClient {
	client, scheme := p.newClient()
	return operatorv1connect.NewOperatorServiceClient(client, scheme+p.operator.String(), connect.WithInterceptors(
		connect.UnaryInterceptorFunc(func(next connect.UnaryFunc) connect.UnaryFunc {
			return func(ctx context.Context, r connect.AnyRequest) (connect.AnyResponse, error) {
				r.Header().Set("Authorization", "Bearer "+operatorsToken)
				return next(ctx, r)
			}
		})))
}

func (p *daemonProcess) commitDocument(t *testing.T) {
	t.Helper()
	sections, err := examples.Sections("coban")
	if err != nil {
		t.Fatal(err)
	}
	for _, s := range sections {
		repeat(t, "the edit of section "+s.Name, func(ctx context.Context) error {
			r, err := p.operatorClient().EditSection(ctx, &operatorv1.EditSectionRequest{Section: s.Name, Body: string(s.Body), EditId: "example-" + s.Name})
			if err == nil && r.GetResult() != operatorv1.EditResult_EDIT_RESULT_COMMITTED {
				err = fmt.Errorf("%s %v", r.GetResult(), r.GetFindings())
			}
			return err
		})
	}
}

// requireOrdinaryAnswer submits a request, lists the instances and reads the readiness, each on
// a connection of its own.
func (p *daemonProcess) requireOrdinaryAnswer(t *testing.T) {
	t.Helper()
	p.lastID++
	client, scheme := p.newClient()
	callers := callerv1connect.NewCallerServiceClient(client, scheme+p.caller.String())
	repeat(t, "an ordinary request", func(ctx context.Context) error {
		_, err := callers.Submit(ctx, &callerv1.SubmitRequest{
			RequestId: fmt.Sprintf("ordinary-%d", p.lastID), Team: "agronomy", Workload: "season_reconciliation", Body: []byte("lot"), NoWait: true,
		})
		return err
	})
	repeat(t, "a call of an operator", func(ctx context.Context) error {
		_, err := p.operatorClient().Instances(ctx, &operatorv1.InstancesRequest{})
		return err
	})
	repeat(t, "a readiness check", func(context.Context) error {
		response, err := client.Get("http://" + p.counters.String() + "/readyz")
		if err != nil {
			return err
		}
		defer func() { _ = response.Body.Close() }()
		if response.StatusCode != http.StatusOK {
			return fmt.Errorf("readiness: %s", response.Status)
		}
		return nil
	})
}
