package scenario

import (
	"fmt"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/go-faster/errors"
	"github.com/rogpeppe/go-internal/testscript"

	"fuchsiacross/callerv1"
)

// commandFunc implements a command of this package. No command can be negated
// with "!".
type commandFunc func(c *cell, ts *testscript.TestScript, args []string) error

var commands = map[string]func(*testscript.TestScript, bool, []string){}

func init() {
	for name, f := range map[string]commandFunc{
		"cell": cellCommand, "crash": crashCommand, "freeze": freezeCommand, "thaw": thawCommand,
		"terminate": terminateCommand, "home-of": homeOfCommand, "restart": restartCommand,
		"cut": cutCommand, "heal": func(c *cell, _ *testscript.TestScript, _ []string) error { return c.healLinks() },
		"delay": delayCommand, "platform": platformCommand, "worker": workerCommand,
		"load": loadCommand, "cancel-load": cancelLoadCommand, "answers": answersCommand,
		"wait-for": waitForCommand, "code": codeCommand, "starts": startCountCommand,
		"takeover": takeoverCommand, "left": leavingWorkerCommand, "writes-under": writesUnderCommand, "verify": verifyCommand,
	} {
		commands[name] = func(ts *testscript.TestScript, neg bool, args []string) {
			if neg {
				ts.Fatalf("%s cannot be negated", name)
			}
			c := cellOf(ts)
			startedAt := time.Now()
			if err := f(c, ts, args); err != nil {
				c.logDiagnostics(ts, requestIDOf(err))
				ts.Fatalf("%s: %v", name, err)
			}
			ts.Logf("%s took %s", name, elapsedSince(startedAt))
		}
	}
}

// splitOptions returns the positional arguments and the KEY=VALUE options.
func splitOptions(args []string) ([]string, map[string]string) {
	var rest []string
	set := map[string]string{}
	for _, a := range args {
		if key, value, ok := strings.Cut(a, "="); ok {
			set[key] = value
			continue
		}
		rest = append(rest, a)
	}
	return rest, set
}

// parseCount returns the number in text, or -1 if text is not a number.
func parseCount(text string) int {
	n, err := strconv.Atoi(text)
	if err != nil {
		return -1
	}
	return n
}

func requireArguments(args []string, n int, usage string) error {
	if len(args) < n {
		return errors.Errorf("usage: %s", usage)
	}
	return nil
}

func cellCommand(c *cell, ts *testscript.TestScript, args []string) error {
	rest, options := splitOptions(args)
	if err := requireArguments(rest, 2, "cell N W [SETTING=VALUE]"); err != nil {
		return err
	}
	if err := c.startAll(parseCount(rest[0]), parseCount(rest[1]), options); err != nil {
		return err
	}
	var entries, operators []string
	for i, x := range c.instances {
		entries, operators = append(entries, x.callerAddress.String()), append(operators, x.operatorAddress.String())
		ts.Setenv(fmt.Sprintf("entry%d", i+1), x.callerAddress.String())
		ts.Setenv(fmt.Sprintf("operator%d", i+1), x.operatorAddress.String())
	}
	ts.Setenv("balancer", c.balancer.Address.String())
	ts.Setenv("FUCHSIACROSS_ENTRY", strings.Join(entries, ","))
	ts.Setenv("FUCHSIACROSS_OPERATOR", strings.Join(operators, ","))
	ts.Setenv("FUCHSIACROSS_TOKEN_FILE", filepath.Join(c.workDir, "operators.token"))
	return nil
}

// forEachInstance calls f for each named instance and stops at the first error.
func (c *cell) forEachInstance(names []string, f func(name string, x *instance) error) error {
	for _, name := range names {
		x, err := c.findInstance(name)
		if err != nil {
			return err
		}
		if err := f(name, x); err != nil {
			return err
		}
	}
	return nil
}

// recordFailure records that an instance is about to be killed or frozen, and the
// workers whose lease it holds.
func (c *cell) recordFailure(name string, x *instance) error {
	held, err := x.heldWorkers()
	if err != nil {
		return err
	}
	c.failures[name] = instanceFailure{time.Now(), held}
	return nil
}

func crashCommand(c *cell, _ *testscript.TestScript, args []string) error {
	return c.forEachInstance(args, func(name string, x *instance) error {
		if err := c.recordFailure(name, x); err != nil {
			return err
		}
		x.kill()
		return nil
	})
}

func freezeCommand(c *cell, _ *testscript.TestScript, args []string) error {
	return c.forEachInstance(args, func(name string, x *instance) error {
		if err := c.recordFailure(name, x); err != nil {
			return err
		}
		x.frozen = true
		return x.signal(syscall.SIGSTOP)
	})
}

func thawCommand(c *cell, _ *testscript.TestScript, args []string) error {
	return c.forEachInstance(args, func(_ string, x *instance) error {
		if err := x.signal(syscall.SIGCONT); err != nil {
			return err
		}
		x.frozen = false
		return nil
	})
}

func terminateCommand(c *cell, _ *testscript.TestScript, args []string) error {
	return c.forEachInstance(args, func(name string, x *instance) error {
		code, err := x.terminate(waitDeadline())
		if err != nil {
			return err
		}
		if code != 0 {
			return errors.Errorf("%s exited with code %d: %s", name, code, readTail(x.logFile))
		}
		return nil
	})
}

func restartCommand(c *cell, _ *testscript.TestScript, args []string) error {
	for _, name := range args {
		x, err := c.findInstance(name)
		if err != nil {
			return err
		}
		x.kill()
		if err := x.start(); err != nil {
			return err
		}
	}
	return nil
}

func cutCommand(c *cell, _ *testscript.TestScript, args []string) error {
	if err := requireArguments(args, 2, "cut [both] FROM TO"); err != nil {
		return err
	}
	if args[0] != "both" {
		return c.cutDirection(args[0], args[1])
	}
	if err := requireArguments(args, 3, "cut both A B"); err != nil {
		return err
	}
	return errors.Join(c.cutDirection(args[1], args[2]), c.cutDirection(args[2], args[1]))
}

func delayCommand(c *cell, _ *testscript.TestScript, args []string) error {
	if err := requireArguments(args, 2, "delay MS JITTER_MS [LOSS_SHARE]"); err != nil {
		return err
	}
	d := linkDirectionFaults{DelayMilliseconds: int64(parseCount(args[0])), JitterMilliseconds: int64(parseCount(args[1]))}
	if len(args) > 2 {
		fraction, err := strconv.ParseFloat(args[2], 64)
		if err != nil {
			return err
		}
		d.LossFraction = fraction
	}
	return c.delayInstanceLinks(d)
}

func platformCommand(c *cell, _ *testscript.TestScript, args []string) error {
	if err := requireArguments(args, 1, "platform up|down|store-down|hang|slow MS|lose-answers N"); err != nil {
		return err
	}
	faults := map[string]any{}
	switch {
	case args[0] == "up":
		if err := c.platform.sendJSON("POST", "counters/reset", nil); err != nil {
			return err
		}
	case args[0] == "store-down":
		faults["store_down"] = true
	case args[0] == "down" || args[0] == "hang":
		faults[args[0]] = true
	case len(args) == 2 && args[0] == "slow":
		faults["slow_milliseconds"] = parseCount(args[1])
	case len(args) == 2 && args[0] == "lose-answers":
		faults["lose_answers"] = parseCount(args[1])
	default:
		return errors.Errorf("unknown platform state %q", args)
	}
	return c.platform.sendJSON("PUT", "faults", faults)
}

func workerCommand(c *cell, _ *testscript.TestScript, args []string) error {
	if err := requireArguments(args, 2, "worker NAME fault|crash|leave"); err != nil {
		return err
	}
	w, err := c.findWorker(args[0])
	if err != nil {
		return err
	}
	switch args[1] {
	case "fault":
		_, set := splitOptions(args[2:])
		return w.sendJSON("PUT", "faults", toRawJSON(set))
	case "crash":
		return w.sendJSON("POST", "crash", nil)
	case "leave":
		c.leavingSince[w.name] = time.Now()
		return c.publishList()
	}
	return errors.Errorf("unknown worker command %q", args[1])
}

func loadCommand(c *cell, _ *testscript.TestScript, args []string) error {
	rest, set := splitOptions(args)
	if err := requireArguments(rest, 3, "load NAME KIND N [rate= entry= patience= deadline= nowait=true only=true body=]"); err != nil {
		return err
	}
	k, err := findWorkKind(rest[1])
	if err != nil {
		return err
	}
	l := &load{name: rest[0], kind: k, firstEntry: -1}
	for key, value := range set {
		switch key {
		case "rate":
			l.rate, err = strconv.ParseFloat(value, 64)
		case "patience":
			l.callTimeoutSeconds, err = strconv.ParseFloat(value, 64)
		case "entry":
			l.firstEntry = parseCount(value) - 1
		case "deadline":
			l.deadlineSeconds = parseCount(value)
		case "nowait":
			l.noWait = value == "true"
		case "only":
			l.singleEntry = value == "true"
		case "body":
			l.kind.body = value
		default:
			err = errors.Errorf("unknown option %q", key)
		}
		if err != nil {
			return err
		}
	}
	if c.loads[l.name] != nil {
		return errors.Errorf("load %q exists already", l.name)
	}
	c.loads[l.name] = l
	l.start(c, parseCount(rest[2]))
	return nil
}

func answersCommand(c *cell, ts *testscript.TestScript, args []string) error {
	if err := requireArguments(args, 2, "answers NAME STATUS..."); err != nil {
		return err
	}
	l := c.loads[args[0]]
	if l == nil {
		return errors.Errorf("no load %q", args[0])
	}
	counts := map[string]int{}
	var wrong error
	var latencies []time.Duration
	for _, r := range l.finishedRequests() {
		status := statusName(r.outcome)
		if r.outcome == nil {
			status = "refused"
		}
		if l.singleEntry && r.interrupted {
			status = "interrupted"
		}
		counts[status]++
		latencies = append(latencies, r.latency)
		if !slices.Contains(args[1:], status) && wrong == nil {
			wrong = &requestError{r.id, fmt.Sprintf("%s is %s: %s %v", r.id, status, r.outcome.GetReason(), r.lastErr)}
		}
	}
	slices.Sort(latencies)
	ts.Logf("%s: %v, median %s, slowest %s", l.name, counts, latencies[len(latencies)/2], latencies[len(latencies)-1])
	return wrong
}

func waitForCommand(c *cell, _ *testscript.TestScript, args []string) error {
	rest, set := splitOptions(args)
	limit := waitDeadline()
	if text, ok := set["within"]; ok {
		d, err := time.ParseDuration(text)
		if err != nil {
			return err
		}
		limit = time.Now().Add(d)
	}
	condition, err := c.parseCondition(rest)
	if err != nil {
		return err
	}
	return c.waitFor(limit, condition)
}

func codeCommand(_ *cell, ts *testscript.TestScript, args []string) error {
	if err := requireArguments(args, 2, "code N PROGRAM ARGUMENT..."); err != nil {
		return err
	}
	code := 0
	if err := ts.Exec(args[1], args[2:]...); err != nil {
		exit, ok := errors.Into[*exec.ExitError](err)
		if !ok {
			return err
		}
		code = exit.ExitCode()
	}
	if code != parseCount(args[0]) {
		return errors.Errorf("exit code %d, want %s: %s%s", code, args[0], ts.ReadFile("stdout"), ts.ReadFile("stderr"))
	}
	return nil
}

func statusName(o *callerv1.Outcome) string {
	return strings.ToLower(strings.TrimPrefix(o.GetStatus().String(), "STATUS_"))
}
