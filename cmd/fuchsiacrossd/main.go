// Command fuchsiacrossd runs the daemon of one instance.
//
// # Usage
//
//	fuchsiacrossd --settings FILE
//	fuchsiacrossd --settings FILE --check
//
// The exit code is 0 after a complete shutdown on SIGTERM or SIGINT, 1 after a
// failure and 2 if the settings or the command line are invalid.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"fuchsiacross/commandline"
	"fuchsiacross/daemon"
	"fuchsiacross/logevent"
	"fuchsiacross/settings"
)

const (
	// heapLimitFraction is the part of the memory setting for the Go heap; the rest is for
	// stacks, buffers of sockets and the runtime.
	heapLimitFraction = 0.7
	mebibyte          = 1 << 20
)

type options struct {
	Settings string `long:"settings" required:"true" value-name:"FILE" description:"JSON file with the settings"`
	Check    bool   `long:"check" description:"check the settings and exit"`
}

func main() { os.Exit(run(os.Args[1:])) }

func run(args []string) int {
	var o options
	if code, done := commandline.Parse(&o, args); done {
		return code
	}
	s, err := settings.Load(o.Settings)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return commandline.ExitUsage
	}
	if o.Check {
		return 0
	}
	debug.SetMemoryLimit(int64(heapLimitFraction * float64(s.Limits.MemoryMegabytes*mebibyte)))
	if err := serve(s); err != nil {
		fmt.Fprintln(os.Stderr, "fuchsiacrossd:", err)
		return 1
	}
	return 0
}

func serve(s *settings.Settings) error {
	log, err := newLogger(s.LogLevel)
	if err != nil {
		return err
	}
	defer func() { _ = log.Sync() }()
	log = log.With(zap.String("instance", string(s.Instance)))
	signals, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	d, err := daemon.New(s, log, daemon.Options{})
	if err != nil {
		logevent.StartFailed.Log(log, zap.Error(err))
		return err
	}
	logevent.DaemonStarted.Log(log, zap.Stringer("caller_address", s.CallerAddress))
	<-signals.Done()
	stop()
	logevent.ShutdownStarted.Log(log)
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(s.ShutdownTimeoutSeconds)*time.Second)
	defer cancel()
	if err := d.Shutdown(ctx); err != nil {
		logevent.ShutdownTimedOut.Log(log, zap.Error(err))
		return errors.Wrap(err, "shutdown")
	}
	logevent.ShutdownFinished.Log(log)
	return nil
}

func newLogger(level zapcore.Level) (*zap.Logger, error) {
	c := zap.NewProductionConfig()
	c.Level = zap.NewAtomicLevelAt(level)
	c.Sampling = nil
	c.EncoderConfig.TimeKey = "at"
	c.EncoderConfig.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	return c.Build()
}
