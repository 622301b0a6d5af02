package main

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/jessevdk/go-flags"
	"google.golang.org/protobuf/types/known/timestamppb"

	"fuchsiacross/callerv1"
	"fuchsiacross/client"
	"fuchsiacross/model"
)

const submitHelp = `Runs a request of a team's workload and prints its answer on standard output. Its state goes to standard error. Options that are not given default to the values of the workload in the document.

Repeating a command with the same --id joins the earlier submission instead of running the request again.

Examples:
fuchsiacross submit gates moisture_check --body lot.json
fuchsiacross submit desks permit_appeal --id appeal-7 --no-wait < draft.txt`

const statusHelp = `Shows the state of a request, and its answer once it is done.

Example:
fuchsiacross status appeal-7 --wait`

const cancelHelp = `Cancels a request and shows its outcome. A request that ended before the cancellation keeps its outcome.

Example:
fuchsiacross cancel appeal-7`

type submitCommand struct {
	app             *app
	ID              string         `long:"id" description:"identifier of the request; a new one by default, printed before sending"`
	Body            flags.Filename `long:"body" value-name:"FILE" default:"-" description:"file that holds the body; - for standard input"`
	Kind            string         `long:"kind" choice:"request" choice:"batch" choice:"service" description:"kind of work"`
	Class           string         `long:"class" choice:"urgent" choice:"standard" choice:"background" description:"priority class"`
	Tasks           uint32         `long:"tasks" default:"1" description:"number of tasks"`
	Gang            bool           `long:"gang" description:"start all tasks together or none"`
	Idempotent      string         `long:"idempotent" choice:"true" choice:"false" description:"whether the request may run more than once"`
	DeadlineSeconds uint32         `long:"deadline-seconds" description:"time to the deadline"`
	MilliCPU        *int64         `long:"milli-cpu" description:"thousandths of a processor for each task; with the next two options, replaces the workload's resources"`
	MemoryBytes     *int64         `long:"memory-bytes" description:"memory for each task"`
	Accelerators    *int64         `long:"accelerators" description:"accelerators for each task"`
	NoWait          bool           `long:"no-wait" description:"return once the request is accepted"`
	Positional      struct {
		Team     string `positional-arg-name:"TEAM"`
		Workload string `positional-arg-name:"WORKLOAD"`
	} `positional-args:"yes" required:"yes"`
}

// Execute submits the request.
func (c *submitCommand) Execute([]string) error {
	cl, err := c.app.newClient()
	if err != nil {
		return err
	}
	m, err := c.buildRequest(time.Now())
	if err != nil {
		return err
	}
	ctx, cancel := c.app.withTimeout(!c.NoWait)
	defer cancel()
	o, err := cl.Submit(ctx, m)
	if client.KindOf(err) == client.KindUnknown {
		return errors.Wrapf(err, "request %s may have been accepted; ask for its status", m.GetRequestId())
	}
	if err != nil {
		return err
	}
	c.app.code = outcomeExitCode(o)
	return c.app.printOutcome(o)
}

func (c *submitCommand) buildRequest(now time.Time) (*callerv1.SubmitRequest, error) {
	body, err := c.app.readInput(c.Body)
	if err != nil {
		return nil, errors.Wrap(err, "--body")
	}
	m := &callerv1.SubmitRequest{
		RequestId: c.ID,
		Team:      c.Positional.Team,
		Workload:  c.Positional.Workload,
		Kind:      callerv1.Kind(callerv1.Kind_value["KIND_"+strings.ToUpper(c.Kind)]),
		Class:     callerv1.Class(callerv1.Class_value["CLASS_"+strings.ToUpper(c.Class)]),
		Tasks:     c.Tasks,
		Gang:      c.Gang,
		Body:      body,
		NoWait:    c.NoWait,
	}
	if m.RequestId == "" {
		m.RequestId = client.NewID()
		fmt.Fprintln(c.app.stderr, "request", m.RequestId)
	}
	if c.Idempotent != "" {
		idempotent := c.Idempotent == "true"
		m.Idempotent = &idempotent
	}
	if c.DeadlineSeconds > 0 {
		m.Deadline = timestamppb.New(now.Add(time.Duration(c.DeadlineSeconds) * time.Second))
	}
	if c.MilliCPU != nil || c.MemoryBytes != nil || c.Accelerators != nil {
		m.Resources = &callerv1.Resources{
			MilliCpu:     valueOrZero(c.MilliCPU),
			MemoryBytes:  valueOrZero(c.MemoryBytes),
			Accelerators: valueOrZero(c.Accelerators),
		}
	}
	return m, nil
}

func valueOrZero(n *int64) int64 {
	if n == nil {
		return 0
	}
	return *n
}

type requestArgument struct {
	Request string `positional-arg-name:"REQUEST"`
}

type statusCommand struct {
	app        *app
	Wait       bool            `long:"wait" description:"wait until the request has ended"`
	Positional requestArgument `positional-args:"yes" required:"yes"`
}

// Execute shows the state of the request.
func (c *statusCommand) Execute([]string) error {
	return c.app.printCallOutcome(c.Wait, outcomeExitCode, func(ctx context.Context, cl *client.Client) (*callerv1.Outcome, error) {
		return cl.Status(ctx, model.RequestID(c.Positional.Request), c.Wait)
	})
}

type cancelCommand struct {
	app        *app
	Positional requestArgument `positional-args:"yes" required:"yes"`
}

// Execute cancels the request.
func (c *cancelCommand) Execute([]string) error {
	return c.app.printCallOutcome(false, cancelExitCode, func(ctx context.Context, cl *client.Client) (*callerv1.Outcome, error) {
		return cl.Cancel(ctx, model.RequestID(c.Positional.Request))
	})
}

// printCallOutcome makes a call, prints the outcome that it returns and sets the exit code.
func (a *app) printCallOutcome(waitsForEnd bool, exitCodeOf func(*callerv1.Outcome) int, call func(context.Context, *client.Client) (*callerv1.Outcome, error)) error {
	cl, err := a.newClient()
	if err != nil {
		return err
	}
	ctx, cancel := a.withTimeout(waitsForEnd)
	defer cancel()
	o, err := call(ctx, cl)
	if err != nil {
		return err
	}
	a.code = exitCodeOf(o)
	return a.printOutcome(o)
}

// outcomeExitCode returns the exit code for the status of a request.
func outcomeExitCode(o *callerv1.Outcome) int {
	switch o.GetStatus() {
	case callerv1.Status_STATUS_WAITING, callerv1.Status_STATUS_RUNNING, callerv1.Status_STATUS_DONE:
		return exitOK
	case callerv1.Status_STATUS_UNKNOWN, callerv1.Status_STATUS_EXPIRED, callerv1.Status_STATUS_UNSPECIFIED:
		return exitUnknown
	}
	return exitFailed
}

// cancelExitCode returns the exit code for the status of a request after a
// cancellation: success means that the request did not run to its end.
func cancelExitCode(o *callerv1.Outcome) int {
	switch o.GetStatus() {
	case callerv1.Status_STATUS_CANCELLED, callerv1.Status_STATUS_NOT_RUN:
		return exitOK
	case callerv1.Status_STATUS_UNKNOWN, callerv1.Status_STATUS_EXPIRED, callerv1.Status_STATUS_UNSPECIFIED:
		return exitUnknown
	}
	return exitFailed
}

// printOutcome prints the outcome as JSON, or as text with the answer on standard
// output and the status on standard error.
func (a *app) printOutcome(o *callerv1.Outcome) error {
	if a.isJSONOutput() {
		return a.printJSON(o)
	}
	state := strings.ToLower(strings.TrimPrefix(o.GetStatus().String(), "STATUS_"))
	parts := []string{"request", o.GetRequestId() + ":", state}
	if o.GetProof() != callerv1.Proof_PROOF_UNSPECIFIED {
		parts = append(parts, "("+strings.ToLower(strings.TrimPrefix(o.GetProof().String(), "PROOF_"))+")")
	}
	if o.GetWorker() != "" {
		parts = append(parts, "on worker", o.GetWorker())
	}
	if o.GetReason() != "" {
		parts = append(parts, "-", o.GetReason())
	}
	fmt.Fprintln(a.stderr, strings.Map(replaceControlCharacter, strings.Join(parts, " ")))
	_, err := a.stdout.Write(o.GetAnswer())
	return err
}
