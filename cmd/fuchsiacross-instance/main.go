// Command fuchsiacross-instance runs an instance of the scheduler on the users'
// platform. It accepts jobs and, while it is the leader, places their tasks on workers.
//
// # Usage
//
//	fuchsiacross-instance [--settings FILE] [--row-bytes BYTES] [--check]
//
// Without --settings the environment variable FUCHSIACROSS_CONFIG names the file.
// SIGHUP only checks the settings file again and logs whether it differs from the
// settings in use. The exit code is 0 after a shutdown on SIGTERM or SIGINT, 1 if
// the instance cannot start and 2 if the settings or the command line are invalid.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"fuchsiacross/boundedlog"
	"fuchsiacross/commandline"
	"fuchsiacross/instance"
	"fuchsiacross/logevent"
)

const (
	heapLimitFraction        = 0.55 // fraction of the memory setting for the Go heap; the rest is for stacks, buffers and the runtime
	garbageCollectionPercent = 200  // heap growth between two collections, below the heap limit; the default of Go is 100
	mebibyte                 = 1 << 20
	minRowBytes              = 4096 // the progress of one step of a job has to fit into a row
)

type options struct {
	Settings string `long:"settings" env:"FUCHSIACROSS_CONFIG" required:"true" value-name:"FILE" description:"JSON file with the settings"`
	RowBytes int    `long:"row-bytes" env:"FUCHSIACROSS_ROW_BYTES" default:"65536" value-name:"BYTES" description:"largest value of a row that the store accepts"`
	Check    bool   `long:"check" description:"check the settings and exit"`
}

func main() { os.Exit(run(os.Args[1:])) }

func run(args []string) int {
	var o options
	if code, done := commandline.Parse(&o, args); done {
		return code
	}
	if o.RowBytes < minRowBytes {
		fmt.Fprintf(os.Stderr, "--row-bytes: must be at least %d\n", minRowBytes)
		return commandline.ExitUsage
	}
	s, err := loadSettings(o.Settings)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return commandline.ExitUsage
	}
	s.MaxRowBytes = o.RowBytes
	if o.Check {
		return 0
	}
	debug.SetGCPercent(garbageCollectionPercent)
	debug.SetMemoryLimit(int64(heapLimitFraction * float64(s.MemoryMegabytes*mebibyte)))
	writer := boundedlog.New(os.Stdout)
	defer func() { _ = writer.Sync() }()
	encoding := zap.NewProductionEncoderConfig()
	encoding.TimeKey, encoding.EncodeTime = "at", zapcore.RFC3339NanoTimeEncoder
	log := zap.New(zapcore.NewCore(zapcore.NewJSONEncoder(encoding), writer, zapcore.InfoLevel)).With(zap.String("instance", s.Name))

	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	i, err := instance.New(s, log, writer.Dropped)
	if err != nil {
		logevent.StartFailed.Log(log, zap.Error(err))
		return 1
	}
	for received := range signals {
		if received != syscall.SIGHUP {
			break
		}
		next, err := loadSettings(o.Settings)
		if err != nil {
			logevent.SettingsInvalid.Log(log, zap.Error(err))
			continue
		}
		next.MaxRowBytes = s.MaxRowBytes
		logevent.SettingsReloaded.Log(log, zap.Bool("changed", next != s))
	}
	i.Shutdown()
	return 0
}

// loadSettings reads the settings file and the optional settings in the environment.
func loadSettings(path string) (instance.Settings, error) {
	s, err := instance.LoadSettings(path)
	if err == nil {
		err = s.ApplyEnvironment(os.Getenv)
	}
	return s, err
}
