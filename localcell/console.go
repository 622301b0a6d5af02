package localcell

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"fuchsiacross/tableservicestandin"
	"fuchsiacross/workerstandin"
)

// consoleHelp lists the commands of RunConsole.
const consoleHelp = `kill ENTRY      end an instance at once
stop ENTRY      shut an instance down without interrupting a request
start ENTRY     start an instance that is down
store down|up   take the platform's table and object store away, or give them back
worker W fail   make a worker fail all it starts; "worker W heal" ends it
violations      list what the workers recorded that must not happen
quit            end the cell`

// stopTimeout limits a shutdown that a stop command starts.
const stopTimeout = 30 * time.Second

// RunConsole reads commands from in, one per line, and runs them until the quit
// command, the end of the input or the end of ctx. Results and errors go to out.
func (c *Cell) RunConsole(ctx context.Context, in io.Reader, out io.Writer) {
	fmt.Fprintln(out, consoleHelp)
	lines := make(chan string)
	go func() {
		defer close(lines)
		for s := bufio.NewScanner(in); s.Scan(); {
			select {
			case lines <- s.Text():
			case <-ctx.Done():
				return
			}
		}
	}()
	for {
		select {
		case <-ctx.Done():
			return
		case line, ok := <-lines:
			if !ok || strings.TrimSpace(line) == "quit" {
				return
			}
			if err := c.runCommand(ctx, strings.Fields(line), out); err != nil {
				fmt.Fprintln(out, "error:", err)
			}
		}
	}
}

func (c *Cell) runCommand(ctx context.Context, words []string, out io.Writer) error {
	switch {
	case len(words) == 0:
		return nil
	case len(words) == 1 && words[0] == "violations":
		for _, v := range c.recorder.Violations() {
			fmt.Fprintln(out, v.At.Format(time.RFC3339Nano), v.Rule, v.Worker, v.Attempt, v.Detail)
		}
		return nil
	case len(words) == 2 && words[0] == "store":
		c.platform.SetFaults(tableservicestandin.Faults{Down: words[1] == "down"})
		return nil
	case len(words) == 2:
		return c.runInstanceCommand(ctx, words[0], words[1])
	case len(words) == 3 && words[0] == "worker":
		return c.runWorkerCommand(words[1], words[2])
	}
	return errors.Errorf("no such command; the commands are\n%s", consoleHelp)
}

func (c *Cell) runInstanceCommand(ctx context.Context, verb, id string) error {
	instance, err := c.Instance(id)
	if err != nil {
		return err
	}
	switch verb {
	case "kill":
		c.Kill(instance)
		return nil
	case "stop":
		ctx, cancel := context.WithTimeout(ctx, stopTimeout)
		defer cancel()
		return c.Stop(ctx, instance)
	case "start":
		if instance.Daemon != nil {
			return errors.Errorf("%s runs already", id)
		}
		return c.StartInstance(instance)
	}
	return errors.Errorf("%q is not kill, stop or start", verb)
}

func (c *Cell) runWorkerCommand(id, verb string) error {
	for _, w := range c.workers {
		if string(w.Info().ID) == id {
			w.SetFaults(workerstandin.Faults{FailAll: verb == "fail"})
			return nil
		}
	}
	return errors.Errorf("no worker is called %q", id)
}
