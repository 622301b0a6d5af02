// Command measure runs a small cell in one process, sends it load and prints the cost
// of one start of a task. All parts of the cell share one machine, so the figures hold
// only for such a setup.
//
// # Usage
//
//	measure --deployment coban --seconds 10 --rate 5000
package main

import (
	"fmt"
	"os"

	"fuchsiacross/commandline"
	"fuchsiacross/localcell"
	"fuchsiacross/measure"
)

type options struct {
	Deployment string  `long:"deployment" default:"coban" choice:"coban" choice:"schrijfkraam" description:"deployment whose cell is run"`
	Seconds    int64   `long:"seconds" default:"5" description:"seconds for which work is sent"`
	Rate       float64 `long:"rate" default:"1000" description:"requests a second"`
	Seed       uint64  `long:"seed" default:"1" description:"seed of the load"`
	Workers    int     `long:"workers" default:"50" description:"workers of the cell"`
	Urgent     bool    `long:"urgent" description:"send the urgent kind only"`
}

func main() { os.Exit(run(os.Args[1:])) }

func run(args []string) int {
	var o options
	if code, done := commandline.Parse(&o, args); done {
		return code
	}
	d, err := localcell.DeploymentByName(o.Deployment)
	if err != nil {
		fmt.Fprintln(os.Stderr, "measure:", err)
		return commandline.ExitUsage
	}
	d.Workers = o.Workers
	if o.Urgent {
		d.Kinds = d.Kinds[:1]
		d.Kinds[0].LoadFraction = 1
	}
	f, err := measure.RunLoad(measure.LoadOptions{Deployment: d, Rate: o.Rate, Seconds: o.Seconds, Seed: o.Seed})
	if err != nil {
		fmt.Fprintln(os.Stderr, "measure:", err)
		return 1
	}
	printFigures(d, f)
	return 0
}

func printFigures(d localcell.Deployment, f measure.LoadResult) {
	fmt.Printf("starts                  %10.0f in %.1f s, %.0f/s\n", f.LoadCounters.Starts, f.Seconds, f.LoadCounters.Starts/f.Seconds)
	fmt.Printf("control bytes per start %10.0f: worker %.0f, peer %.0f, platform %.0f, of which payload %.0f\n",
		f.BytesPerStart(), f.LoadCounters.WorkerBytes/f.LoadCounters.Starts, f.LoadCounters.PeerBytes/f.LoadCounters.Starts,
		f.LoadCounters.PlatformBytes/f.LoadCounters.Starts, f.PayloadBytes/f.LoadCounters.Starts)
	fmt.Printf("messages per start      %10.2f: worker %.2f, peer %.2f, platform %.2f\n", f.MessagesPerStart(),
		f.LoadCounters.WorkerMessages/f.LoadCounters.Starts, f.LoadCounters.PeerMessages/f.LoadCounters.Starts,
		2*(f.LoadCounters.PlatformReads+f.LoadCounters.PlatformWrites)/f.LoadCounters.Starts)
	fmt.Printf("store                   %10.1f writes/s, %.1f reads/s, %.1f writes per 1,000 journaled requests\n",
		f.LoadCounters.PlatformWrites/f.Seconds, f.LoadCounters.PlatformReads/f.Seconds, f.WritesPerThousand())
	fmt.Printf("idle                    %10.1f bytes/s and %.2f messages/s for each worker session; %.1f bytes/s for each direction of a link\n",
		f.IdleCounters.WorkerBytes/f.IdleSeconds/float64(d.Workers), f.IdleCounters.WorkerMessages/f.IdleSeconds/float64(d.Workers),
		f.IdleCounters.PeerBytes/f.IdleSeconds/float64(d.Instances*(d.Instances-1)))
	fmt.Printf("processor               %10.2f cores for the whole process, %.0f microseconds per start; idle %.4f cores\n",
		f.ProcessorSeconds/f.Seconds, f.ProcessorSeconds/f.LoadCounters.Starts*1e6, f.IdleProcessorSeconds/f.IdleSeconds)
	for _, k := range f.Report.Kinds {
		fmt.Printf("  %-22s submitted %7d done %7d not_run %5d unknown %d errors %d damaged %d p50 %v p99 %v\n",
			k.Kind, k.Submitted, k.Done, k.NotRun, k.Unknown, k.Errors, k.Damaged, k.P50, k.P99)
	}
	fmt.Printf("violations %d\n", f.Report.Violations)
}
