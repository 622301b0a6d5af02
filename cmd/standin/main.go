// Command standin runs one stand-in, a replacement of a real component for tests, in a
// process of its own: a worker, the platform, the platform's load balancer, or the
// network links between instances.
//
// # Usage
//
//	standin worker --id worker-1 --data-centre a --rack a-1 --ready-file worker.json
//	standin platform --address 0.0.0.0:0 --ready-file platform.json
//	standin balancer --entry 127.0.0.1:7000 --entry 127.0.0.2:7000 --ready-file balancer.json
//	standin link --relay a-b=127.0.0.2:7002 --ready-file link.json
//
// A stand-in writes its addresses to the ready file once it listens, so that a script
// can wait for that file instead of a fixed time. The packages workerstandin,
// tableservicestandin and linkstandin describe the control calls under /standin/. The
// load balancer accepts PUT /standin/entries with a JSON list of addresses at its
// control address. A stand-in ends on SIGTERM or SIGINT.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"

	"github.com/go-faster/errors"
	"github.com/jessevdk/go-flags"
)

// commonOptions are the options of every subcommand.
type commonOptions struct {
	Address   string `long:"address" default:"127.0.0.1:0" value-name:"ADDR" description:"IP address and port to listen on; port 0 for any"`
	ReadyFile string `long:"ready-file" value-name:"FILE" description:"file that gets the addresses once the stand-in listens"`
}

// readyInfo is the content of the ready file.
type readyInfo struct {
	Address netip.AddrPort            `json:"address"`
	Control netip.AddrPort            `json:"control"` // address of the calls under /standin/
	Links   map[string]netip.AddrPort `json:"links,omitempty"`
}

func main() { os.Exit(run(os.Args[1:])) }

func run(args []string) int {
	parser := flags.NewNamedParser("standin", flags.Default)
	for _, c := range []struct {
		name, short string
		data        any
	}{
		{"worker", "Run a worker", &workerCommand{}},
		{"platform", "Run the platform", &platformCommand{}},
		{"balancer", "Run the platform's load balancer", &balancerCommand{}},
		{"link", "Run links between instances", &linkCommand{}},
	} {
		if _, err := parser.AddCommand(c.name, c.short, c.short+".", c.data); err != nil {
			fmt.Fprintln(os.Stderr, "standin:", err)
			return 1
		}
	}
	_, err := parser.ParseArgs(args)
	if err == nil {
		return 0
	}
	e, ok := errors.Into[*flags.Error](err)
	switch {
	case ok && e.Type == flags.ErrHelp:
		return 0
	case ok:
		return 2
	}
	return 1
}

// runUntilSignal writes the ready file and waits for SIGTERM or SIGINT.
func (c commonOptions) runUntilSignal(r readyInfo) error {
	if c.ReadyFile != "" {
		if err := writeReadyFile(c.ReadyFile, r); err != nil {
			return errors.Wrap(err, "--ready-file")
		}
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	<-ctx.Done()
	return nil
}

// writeReadyFile writes a temporary file and renames it, so that a reader never sees
// a partial file.
func writeReadyFile(name string, r readyInfo) error {
	text, err := json.Marshal(r)
	if err != nil {
		return err
	}
	f, err := os.CreateTemp(filepath.Dir(name), filepath.Base(name))
	if err != nil {
		return err
	}
	if _, err := f.Write(text); err != nil {
		return err
	}
	if err := f.Close(); err != nil {
		return err
	}
	return os.Rename(f.Name(), name)
}

// serveControl serves control calls on a free port of the host and returns its address.
func serveControl(host netip.Addr, handler http.Handler) (netip.AddrPort, error) {
	listener, err := net.Listen("tcp", netip.AddrPortFrom(host, 0).String())
	if err != nil {
		return netip.AddrPort{}, errors.Wrap(err, "listen for control")
	}
	server := &http.Server{Handler: handler}
	go func() { _ = server.Serve(listener) }()
	return listener.Addr().(*net.TCPAddr).AddrPort(), nil
}

func parseAddress(flag, text string) (netip.AddrPort, error) {
	a, err := netip.ParseAddrPort(text)
	if err != nil {
		return a, &flags.Error{Type: flags.ErrMarshal, Message: fmt.Sprintf("%s: %q is not an IP address with a port", flag, text)}
	}
	return a, nil
}
