package scenario

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/rogpeppe/go-internal/testscript"

	"fuchsiacross/model"
	"fuchsiacross/timeline"
)

// requestError is a failed check of one request.
type requestError struct {
	request string
	message string
}

// Error returns the message.
func (e *requestError) Error() string { return e.message }

// requestIDOf returns the request that err concerns, or "".
func requestIDOf(err error) string {
	if e, ok := errors.Into[*requestError](err); ok {
		return e.request
	}
	return ""
}

// maxReportedRecords limits the timeline records that logDiagnostics logs if the
// failure concerns no particular request.
const maxReportedRecords = 60

// logDiagnostics logs the timeline and the workers' records of a request, or the
// latest timeline records if id is "", and the log of each instance that exited.
func (c *cell) logDiagnostics(ts *testscript.TestScript, id string) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeoutSeconds*time.Second)
	defer cancel()
	if len(c.instances) > 0 {
		records, _ := c.newClientWithFirst(0).Timeline(ctx, time.Time{}, model.RequestID(id), 0)
		if id == "" && len(records) > maxReportedRecords {
			records = records[len(records)-maxReportedRecords:]
		}
		var text strings.Builder
		_ = timeline.WriteText(&text, records)
		ts.Logf("timeline:\n%s", text.String())
	}
	if r, err := c.readRecord(); err == nil && id != "" {
		ts.Logf("workers:\n%s", r.formatEntries(id))
	}
	for _, x := range c.instances {
		if !x.isRunning() {
			ts.Logf("%s is not running; its log ends with:\n%s", x.name, readTail(x.logFile))
		}
	}
}

// readTail returns the last 2000 bytes of a file.
func readTail(name string) string {
	const bytes = 2000
	text, _ := os.ReadFile(name)
	return string(text[max(0, len(text)-bytes):])
}

// toRawJSON converts the values, which scripts write as JSON.
func toRawJSON(set map[string]string) map[string]json.RawMessage {
	values := map[string]json.RawMessage{}
	for key, value := range set {
		values[key] = json.RawMessage(value)
	}
	return values
}

// homeOfCommand sets a variable to the home of a request: the instance that holds
// its journal partition.
func homeOfCommand(c *cell, ts *testscript.TestScript, args []string) error {
	if err := requireArguments(args, 2, "home-of ID VARIABLE"); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), callTimeoutSeconds*time.Second)
	defer cancel()
	answers, err := c.newClientWithFirst(0).Explain(ctx, model.RequestID(args[0]))
	if err != nil {
		return err
	}
	for _, a := range answers {
		if a.GetHome() != "" {
			ts.Setenv(args[1], a.GetHome())
			return nil
		}
	}
	return &requestError{args[0], "no instance reports the home of the request"}
}

// startCountCommand checks how often the tasks of a request started.
func startCountCommand(c *cell, _ *testscript.TestScript, args []string) error {
	if err := requireArguments(args, 2, "starts ID N"); err != nil {
		return err
	}
	r, err := c.readRecord()
	if err != nil {
		return err
	}
	if n := len(r.startsOf(args[0])); n != parseCount(args[1]) {
		return &requestError{args[0], fmt.Sprintf("%s started %d times, want %s", args[0], n, args[1])}
	}
	return nil
}

// takeoverCommand checks that, within a limit after an instance was killed, each
// worker that it held was granted to another instance and started work.
func takeoverCommand(c *cell, ts *testscript.TestScript, args []string) error {
	if err := requireArguments(args, 2, "takeover NAME DURATION"); err != nil {
		return err
	}
	limit, err := time.ParseDuration(args[1])
	if err != nil {
		return err
	}
	d, ok := c.failures[args[0]]
	if !ok || len(d.heldWorkers) == 0 {
		return errors.Errorf("%s was not killed, or held no worker", args[0])
	}
	r, err := c.readRecord()
	if err != nil {
		return err
	}
	for _, w := range d.heldWorkers {
		var granted, started time.Duration
		for _, e := range r.entries {
			after := e.At.Sub(d.at)
			if e.Worker != w || after < 0 || e.Holder == args[0] && e.Kind == "granted" {
				continue
			}
			if e.Kind == "granted" && granted == 0 {
				granted = after
			}
			if e.Kind == "started" && granted != 0 && started == 0 {
				started = after
			}
		}
		ts.Logf("%s: granted after %s, first start after %s", w, granted, started)
		if started == 0 || started > limit {
			return errors.Errorf("%s: granted after %s, first start after %s, limit %s", w, granted, started, limit)
		}
	}
	return nil
}

// leavingWorkerCommand checks that no task started on a worker later than a limit
// after the list marked the worker as leaving.
func leavingWorkerCommand(c *cell, ts *testscript.TestScript, args []string) error {
	if err := requireArguments(args, 2, "left WORKER DURATION"); err != nil {
		return err
	}
	limit, err := time.ParseDuration(args[1])
	if err != nil {
		return err
	}
	at, ok := c.leavingSince[args[0]]
	if !ok {
		return errors.Errorf("%s was not marked as leaving", args[0])
	}
	r, err := c.readRecord()
	if err != nil {
		return err
	}
	startCount, latestDelay := 0, time.Duration(0)
	var request string
	for _, e := range r.startsOf("*") {
		if e.Worker != args[0] {
			continue
		}
		if startCount++; e.At.Sub(at) > latestDelay {
			latestDelay, request = e.At.Sub(at), e.RequestID
		}
	}
	ts.Logf("%s: %d starts, the last one %s after the list marked it as leaving", args[0], startCount, latestDelay)
	if startCount == 0 {
		return errors.Errorf("%s has no starts, so the check proves nothing", args[0])
	}
	if latestDelay > limit {
		return &requestError{request, fmt.Sprintf("%s started %s after the list marked %s as leaving", request, latestDelay, args[0])}
	}
	return nil
}

// writesUnderCommand checks the highest number of writes per second that the
// platform has counted.
func writesUnderCommand(c *cell, ts *testscript.TestScript, args []string) error {
	if err := requireArguments(args, 1, "writes-under N"); err != nil {
		return err
	}
	var counters struct {
		PeakWrites int `json:"peak_writes"`
		PeakReads  int `json:"peak_reads"`
		Writes     int `json:"writes"`
	}
	if err := c.platform.getJSON("counters", &counters); err != nil {
		return err
	}
	ts.Logf("%d writes, at most %d writes and %d reads in a second", counters.Writes, counters.PeakWrites, counters.PeakReads)
	if counters.PeakWrites > parseCount(args[0]) {
		return errors.Errorf("%d writes in one second", counters.PeakWrites)
	}
	return nil
}

// cancelLoadCommand cancels all requests of a load concurrently, at the instances
// in turn.
func cancelLoadCommand(c *cell, ts *testscript.TestScript, args []string) error {
	if err := requireArguments(args, 1, "cancel-load NAME"); err != nil {
		return err
	}
	l := c.loads[args[0]]
	if l == nil {
		return errors.Errorf("no load %q", args[0])
	}
	counts := map[string]int{}
	var mu sync.Mutex
	var calls sync.WaitGroup
	for i, r := range l.requests {
		calls.Go(func() {
			ctx, cancel := context.WithDeadline(context.Background(), waitDeadline())
			defer cancel()
			o, err := c.instances[i%len(c.instances)].client.Cancel(ctx, model.RequestID(r.id))
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				counts["error: "+err.Error()]++
				return
			}
			counts[statusName(o)]++
			l.mu.Lock()
			r.cancelStatus = statusName(o)
			l.mu.Unlock()
		})
	}
	calls.Wait()
	ts.Logf("cancellations of %s: %v", l.name, counts)
	return nil
}

// verifyCommand checks the invariants and logs the first ten that are broken.
func verifyCommand(c *cell, ts *testscript.TestScript, _ []string) error {
	broken, err := c.checkInvariants()
	if err != nil {
		return err
	}
	if len(broken) == 0 {
		return nil
	}
	slices.SortFunc(broken, func(a, b brokenInvariant) int { return strings.Compare(a.request, b.request) })
	const shown = 10
	for _, f := range broken[:min(shown, len(broken))] {
		ts.Logf("%s %s", f.request, f.message)
	}
	return &requestError{broken[0].request, fmt.Sprintf("%d broken invariants, the first: %s %s", len(broken), broken[0].request, broken[0].message)}
}
