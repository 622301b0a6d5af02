package main

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"io"
	"net/netip"
	"os"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/jessevdk/go-flags"

	"fuchsiacross/client"
)

// Exit codes, documented in docs/client.md.
const (
	exitOK          = 0
	exitFailed      = 1
	exitInput       = 2
	exitUnknown     = 3
	exitUnavailable = 4
	exitConflict    = 5
)

// defaultTimeout limits commands that do not wait for a request to end. It is long
// enough to fail over from one address that does not answer.
const defaultTimeout = 10 * time.Second

const globalHelp = `The client of the fuchsiacross scheduler for callers and operators. The examples of the commands take the addresses from the environment:

export FUCHSIACROSS_ENTRY=10.0.0.1:7000,10.0.0.2:7000
export FUCHSIACROSS_OPERATOR=10.0.0.1:7001,10.0.0.2:7001

Exit codes: 0 done, 1 failed, not run or cancelled, 2 bad input, 3 unknown, 4 unavailable, 5 conflict.`

// app is the state that all commands share.
type app struct {
	ctx            context.Context
	stdin          io.Reader
	stdout, stderr io.Writer
	options        options
	code           int // exit code if the command returns no error
}

type options struct {
	Entries        []string       `long:"entry" value-name:"ADDR" env:"FUCHSIACROSS_ENTRY" env-delim:"," description:"IP address and port of an entry for callers; repeat it to name several, which are tried in order"`
	Operators      []string       `long:"operator" value-name:"ADDR" env:"FUCHSIACROSS_OPERATOR" env-delim:"," description:"IP address and port of an entry for operators; repeatable; the --entry addresses when none is given"`
	TokenFile      flags.Filename `long:"token-file" value-name:"FILE" env:"FUCHSIACROSS_TOKEN_FILE" description:"file that holds the bearer token for operators"`
	CAFile         flags.Filename `long:"ca-file" value-name:"FILE" env:"FUCHSIACROSS_CA_FILE" description:"PEM file of the certificate authorities that sign the certificates of the entries; connections are encrypted when it is given"`
	Output         string         `long:"output" choice:"text" choice:"json" default:"text" description:"format of the output"`
	TimeoutSeconds uint32         `long:"timeout" value-name:"SECONDS" description:"longest time to wait; 10 seconds by default, and no limit where a command waits for a request to end"`
}

// run executes one command line and returns the exit code.
func run(ctx context.Context, args []string, stdin io.Reader, stdout, stderr io.Writer) int {
	a := &app{ctx: ctx, stdin: stdin, stdout: stdout, stderr: stderr}
	parser := flags.NewNamedParser("fuchsiacross", flags.HelpFlag|flags.PassDoubleDash)
	parser.LongDescription = globalHelp
	if err := a.registerCommands(parser); err != nil {
		fmt.Fprintln(stderr, "fuchsiacross:", err)
		return exitInput
	}
	rest, err := parser.ParseArgs(args)
	if err == nil && len(rest) > 0 {
		err = errors.Errorf("unexpected argument %q", rest[0])
	}
	if err == nil {
		return a.code
	}
	if e, ok := errors.Into[*flags.Error](err); ok && e.Type == flags.ErrHelp {
		fmt.Fprintln(stdout, e.Message)
		return exitOK
	}
	fmt.Fprintln(stderr, "fuchsiacross:", err)
	return exitCode(err)
}

func exitCode(err error) int {
	switch client.KindOf(err) {
	case client.KindConflict:
		return exitConflict
	case client.KindUnavailable:
		return exitUnavailable
	case client.KindUnknown:
		return exitUnknown
	}
	return exitInput
}

// registerCommands adds the options and the commands to the parser.
func (a *app) registerCommands(parser *flags.Parser) error {
	if _, err := parser.AddGroup("Global options", "", &a.options); err != nil {
		return err
	}
	commands := []struct {
		name, short, long string
		data              any
	}{
		{"submit", "Run a request", submitHelp, &submitCommand{app: a}},
		{"status", "Show the state of a request", statusHelp, &statusCommand{app: a}},
		{"cancel", "Cancel a request", cancelHelp, &cancelCommand{app: a}},
		{"workers", "List the workers", "Lists the workers as one instance sees them.\n\nExample:\nfuchsiacross workers", &workersCommand{app: a}},
		{"instances", "List the instances", "Lists the instances as one of them sees them, with the document revision that each has in force.\n\nExample:\nfuchsiacross instances", &instancesCommand{app: a}},
		{"queue", "List the waiting requests", "Lists the requests that wait at one instance, with the reason.\n\nExample:\nfuchsiacross queue", &queueCommand{app: a}},
		{"drain", "Give workers no new work", drainHelp, &drainCommand{app: a}},
		{"explain", "Explain the state of a request", explainHelp, &explainCommand{app: a}},
		{"timeline", "Show what happened, across processes", timelineHelp, &timelineCommand{app: a}},
	}
	for _, c := range commands {
		if _, err := parser.AddCommand(c.name, c.short, c.long, c.data); err != nil {
			return err
		}
	}
	return a.registerDocumentCommands(parser)
}

// newClient returns a client for the addresses and credentials of the command line.
func (a *app) newClient() (*client.Client, error) {
	var o client.Options
	var err error
	if o.Entries, err = parseAddresses("--entry", a.options.Entries); err != nil {
		return nil, err
	}
	if o.Operators, err = parseAddresses("--operator", a.options.Operators); err != nil {
		return nil, err
	}
	if len(o.Entries)+len(o.Operators) == 0 {
		return nil, errors.New("--entry or --operator must name an address")
	}
	if path := string(a.options.TokenFile); path != "" {
		data, err := os.ReadFile(path)
		if err != nil {
			return nil, errors.Wrap(err, "--token-file")
		}
		o.Token = strings.TrimSpace(string(data))
	}
	if path := string(a.options.CAFile); path != "" {
		if o.TLS, err = loadTLSConfig(path); err != nil {
			return nil, errors.Wrap(err, "--ca-file")
		}
	}
	return client.New(o), nil
}

// loadTLSConfig returns a TLS configuration that accepts only certificates signed by
// the certificate authorities in a PEM file.
func loadTLSConfig(path string) (*tls.Config, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(data) {
		return nil, errors.Errorf("%s holds no certificate", path)
	}
	return &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS12}, nil
}

func parseAddresses(flag string, texts []string) ([]netip.AddrPort, error) {
	var as []netip.AddrPort
	for _, t := range texts {
		a, err := netip.ParseAddrPort(t)
		if err != nil {
			return nil, errors.Errorf("%s: %q is not an IP address with a port", flag, t)
		}
		as = append(as, a)
	}
	return as, nil
}

// withTimeout returns the context of a call, limited by --timeout. Without that
// option the limit is defaultTimeout, or none if waitsForEnd says that the command
// waits for a request to end.
func (a *app) withTimeout(waitsForEnd bool) (context.Context, context.CancelFunc) {
	if s := a.options.TimeoutSeconds; s > 0 {
		return context.WithTimeout(a.ctx, time.Duration(s)*time.Second)
	}
	if waitsForEnd {
		return context.WithCancel(a.ctx)
	}
	return context.WithTimeout(a.ctx, defaultTimeout)
}

// readInput reads a file, or standard input if the name is "-".
func (a *app) readInput(name flags.Filename) ([]byte, error) {
	if name == "-" {
		return io.ReadAll(a.stdin)
	}
	return os.ReadFile(string(name))
}
