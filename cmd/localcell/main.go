// Command localcell runs a small cell (instances, workers and a platform) in one
// process and sends it every kind of work of a named deployment.
//
// # Usage
//
//	localcell --deployment coban --seconds 10 --rate 200
//	localcell --hold
//
// With --hold it sends no work. It prints the environment variables with which the
// client reaches the cell, and reads commands such as "kill entry-3" from standard
// input.
//
// Otherwise it prints one line for each kind of work and a verdict. The exit code is 0
// only if every caller received a known outcome, every answer was complete and no worker
// recorded a violation of an invariant. Failed and not_run are known outcomes.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"fuchsiacross/commandline"
	"fuchsiacross/localcell"
)

type options struct {
	Deployment string  `long:"deployment" default:"coban" choice:"coban" choice:"schrijfkraam" description:"deployment whose cell is run"`
	Seconds    int64   `long:"seconds" default:"5" description:"seconds for which work is sent"`
	Rate       float64 `long:"rate" default:"200" description:"requests a second"`
	Seed       uint64  `long:"seed" default:"1" description:"seed of the load"`
	Hold       bool    `long:"hold" description:"keep the cell running for the client and read commands from standard input"`
	JSON       bool    `long:"json" description:"print one JSON object on the last line"`
}

func main() { os.Exit(run(os.Args[1:])) }

func run(args []string) int {
	var o options
	if code, done := commandline.Parse(&o, args); done {
		return code
	}
	if o.Seconds <= 0 || o.Rate <= 0 {
		fmt.Fprintln(os.Stderr, "localcell: --seconds and --rate must be above 0")
		return commandline.ExitUsage
	}
	cell, err := startCell(o)
	if err != nil {
		fmt.Fprintln(os.Stderr, "localcell:", err)
		return 1
	}
	defer cell.Close()
	if o.Hold {
		return holdCell(cell)
	}
	report := sendLoad(cell, o)
	printReport(report, o.JSON)
	if !report.Passed() {
		return 1
	}
	return 0
}

// holdCell prints how to reach the cell and executes commands from standard input
// until the input ends or the process is interrupted.
func holdCell(cell *localcell.Cell) int {
	file, err := cell.TokenFile()
	if err != nil {
		fmt.Fprintln(os.Stderr, "localcell:", err)
		return 1
	}
	var entries, operators []string
	for _, e := range cell.Instances() {
		fmt.Printf("%s in %s\n", e.Info.ID, e.Info.DataCentre)
		entries = append(entries, e.Settings.CallerAddress.String())
		operators = append(operators, e.Settings.OperatorAddress.String())
	}
	fmt.Printf("export FUCHSIACROSS_ENTRY=%s\n", strings.Join(entries, ","))
	fmt.Printf("export FUCHSIACROSS_OPERATOR=%s\n", strings.Join(operators, ","))
	fmt.Printf("export FUCHSIACROSS_TOKEN_FILE=%s\n", file)
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	cell.RunConsole(ctx, os.Stdin, os.Stdout)
	return 0
}

// startTimeout limits the start of the cell.
const startTimeout = 30 * time.Second

func startCell(o options) (*localcell.Cell, error) {
	d, err := localcell.DeploymentByName(o.Deployment)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	return localcell.Start(ctx, localcell.Options{Deployment: d})
}

func sendLoad(cell *localcell.Cell, o options) localcell.Report {
	load := localcell.Load{
		End:  time.Now().Add(time.Duration(o.Seconds) * time.Second),
		Rate: o.Rate,
		Seed: o.Seed,
	}
	if isTerminal(os.Stderr) {
		load.Progress = func(sent int, left time.Duration) {
			fmt.Fprintf(os.Stderr, "\r%d sent, %s left ", sent, left.Round(time.Second))
		}
		defer fmt.Fprint(os.Stderr, "\r\033[K")
	}
	return cell.RunLoad(context.Background(), load)
}

func isTerminal(f *os.File) bool {
	info, err := f.Stat()
	return err == nil && info.Mode()&os.ModeCharDevice != 0
}

type kindJSON struct {
	Kind            string `json:"kind"`
	Submitted       int    `json:"submitted"`
	Done            int    `json:"done"`
	Failed          int    `json:"failed"`
	NotRun          int    `json:"not_run"`
	Unknown         int    `json:"unknown"`
	Errors          int    `json:"errors"`
	Damaged         int    `json:"damaged"`
	P50Microseconds int64  `json:"p50_microseconds"`
	P99Microseconds int64  `json:"p99_microseconds"`
}

type reportJSON struct {
	Kinds      []kindJSON `json:"kinds"`
	Packing    float64    `json:"packing"`
	Violations int        `json:"violations"`
}

func printReport(r localcell.Report, asJSON bool) {
	out := reportJSON{Packing: r.MeanPacking, Violations: r.Violations}
	fmt.Printf("%-24s %9s %6s %6s %7s %7s %6s %10s %10s\n",
		"kind", "submitted", "done", "failed", "not_run", "unknown", "errors", "p50", "p99")
	for _, k := range r.Kinds {
		fmt.Printf("%-24s %9d %6d %6d %7d %7d %6d %10s %10s\n",
			k.Kind, k.Submitted, k.Done, k.Failed, k.NotRun, k.Unknown, k.Errors,
			k.P50.Round(10*time.Microsecond), k.P99.Round(10*time.Microsecond))
		out.Kinds = append(out.Kinds, kindJSON{
			Kind:            k.Kind,
			Submitted:       k.Submitted,
			Done:            k.Done,
			Failed:          k.Failed,
			NotRun:          k.NotRun,
			Unknown:         k.Unknown,
			Errors:          k.Errors,
			Damaged:         k.Damaged,
			P50Microseconds: k.P50.Microseconds(),
			P99Microseconds: k.P99.Microseconds(),
		})
	}
	fmt.Printf("packing: %.1f%% of the dominant resource reserved on average, %.1f%% at the peak\n", 100*r.MeanPacking, 100*r.PeakPacking)
	verdict := "every caller got its whole answer and no invariant was violated"
	if !r.Passed() {
		verdict = fmt.Sprintf("FAILED: %d violations", r.Violations)
	}
	fmt.Println(verdict)
	if asJSON {
		line, _ := json.Marshal(out)
		fmt.Println(string(line))
	}
}
