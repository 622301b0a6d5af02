package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/go-faster/errors"
	"github.com/jessevdk/go-flags"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/timestamppb"

	"fuchsiacross/client"
	"fuchsiacross/model"
	"fuchsiacross/operatorv1"
	"fuchsiacross/timeline"
)

const explainHelp = `Shows the status of a request with its attempts, the reason for the choice of each worker and the reason why it waits. Every given address is asked, because an instance knows only the requests that passed through it.

Example:
fuchsiacross explain appeal-7`

const timelineHelp = `Collects the records of every given address and merges them into one order. Addresses that do not answer are reported on standard error, and the records of the others are still shown.

Examples:
fuchsiacross timeline --request appeal-7
fuchsiacross timeline --html timeline.html`

// callAndPrint calls makeCall with a new client and prints the message that it returns.
func callAndPrint[M proto.Message](a *app, makeCall func(context.Context, *client.Client) (M, error), printText func(M) error) error {
	cl, err := a.newClient()
	if err != nil {
		return err
	}
	ctx, cancel := a.withTimeout(false)
	defer cancel()
	m, err := makeCall(ctx, cl)
	if err != nil {
		return err
	}
	return printMessage(a, m, printText)
}

// printMessage prints a message as JSON or with printText. That function also
// sets the exit code, so for JSON output it is called with its output discarded.
func printMessage[M proto.Message](a *app, m M, printText func(M) error) error {
	if !a.isJSONOutput() {
		return printText(m)
	}
	stdout := a.stdout
	a.stdout = io.Discard
	err := printText(m)
	a.stdout = stdout
	if err != nil {
		return err
	}
	return a.printJSON(m)
}

type workersCommand struct {
	app *app
}

// Execute lists the workers.
func (c *workersCommand) Execute([]string) error {
	return callAndPrint(c.app, func(ctx context.Context, cl *client.Client) (*operatorv1.WorkersResponse, error) {
		return cl.Workers(ctx)
	}, func(m *operatorv1.WorkersResponse) error {
		rows := [][]string{{"WORKER", "ADDRESS", "DATA_CENTRE", "RACK", "HOLDER", "TERM", "TASKS", "RESERVED", "CAPACITY", "STATE"}}
		for _, w := range m.GetWorkers() {
			state := joinSetFlags(stateFlag{"leaving", w.GetLeaving()}, stateFlag{"draining", w.GetDraining()}, stateFlag{"quarantined", w.GetQuarantined()})
			rows = append(rows, []string{
				w.GetId(), w.GetAddress(), w.GetDataCentre(), w.GetRack(), w.GetHolder(), formatNumber(w.GetTerm()),
				formatNumber(uint64(w.GetTasks())), formatResources(w.GetReserved()), formatResources(w.GetCapacity()), state,
			})
		}
		return c.app.printTable(rows)
	})
}

type instancesCommand struct {
	app *app
}

// Execute lists the instances.
func (c *instancesCommand) Execute([]string) error {
	return callAndPrint(c.app, func(ctx context.Context, cl *client.Client) (*operatorv1.InstancesResponse, error) {
		return cl.Instances(ctx)
	}, func(m *operatorv1.InstancesResponse) error {
		rows := [][]string{{"INSTANCE", "ADDRESS", "DATA_CENTRE", "WORKERS", "DOCUMENT", "HEARD_FROM", "STATE"}}
		for _, i := range m.GetInstances() {
			state := joinSetFlags(stateFlag{"self", i.GetSelf()}, stateFlag{"live", i.GetLive()}, stateFlag{"suspected", !i.GetLive()}, stateFlag{"draining", i.GetDraining()})
			rows = append(rows, []string{
				i.GetId(), i.GetAddress(), i.GetDataCentre(), formatNumber(uint64(i.GetWorkers())),
				formatNumber(i.GetDocumentRevision()), formatTime(i.GetHeardFrom()), state,
			})
		}
		return c.app.printTable(rows)
	})
}

type queueCommand struct {
	app *app
}

// Execute lists the waiting requests.
func (c *queueCommand) Execute([]string) error {
	return callAndPrint(c.app, func(ctx context.Context, cl *client.Client) (*operatorv1.QueueResponse, error) {
		return cl.Queue(ctx)
	}, func(m *operatorv1.QueueResponse) error {
		rows := [][]string{{"REQUEST", "TEAM", "WORKLOAD", "CLASS", "SINCE", "DEADLINE", "REASON"}}
		for _, w := range m.GetWaiting() {
			rows = append(rows, []string{
				w.GetRequestId(), w.GetTeam(), w.GetWorkload(), w.GetClass(),
				formatTime(w.GetSince()), formatTime(w.GetDeadline()), w.GetReason(),
			})
		}
		return c.app.printTable(rows)
	})
}

type explainCommand struct {
	app        *app
	Positional requestArgument `positional-args:"yes" required:"yes"`
}

// Execute explains the request.
func (c *explainCommand) Execute([]string) error {
	cl, err := c.app.newClient()
	if err != nil {
		return err
	}
	ctx, cancel := c.app.withTimeout(false)
	defer cancel()
	answers, err := cl.Explain(ctx, model.RequestID(c.Positional.Request))
	for _, m := range answers {
		if err := printMessage(c.app, m, c.print); err != nil {
			return err
		}
	}
	return err
}

func (c *explainCommand) print(m *operatorv1.ExplainResponse) error {
	if m.GetStatus() == model.StatusNotFound.String() {
		c.app.code = exitFailed
	}
	rows := [][]string{
		{"request", m.GetRequestId()},
		{"answered by", m.GetAnsweredBy()},
		{"status", m.GetStatus()},
		{"durability", m.GetDurability()},
		{"home", m.GetHome()},
		{"reason", m.GetReason()},
	}
	if err := c.app.printTable(rows); err != nil || len(m.GetAttempts()) == 0 {
		return err
	}
	rows = [][]string{{"TASK", "ATTEMPT", "WORKER", "STATE", "TIME", "REASON"}}
	for _, a := range m.GetAttempts() {
		rows = append(rows, []string{formatNumber(uint64(a.GetTask())), formatNumber(uint64(a.GetNumber())), a.GetWorker(), a.GetState(), formatTime(a.GetAt()), a.GetReason()})
	}
	return c.app.printTable(rows)
}

type timelineCommand struct {
	app     *app
	HTML    flags.Filename `long:"html" value-name:"FILE" description:"write one page that needs no network"`
	Request string         `long:"request" description:"only records of this request"`
	After   string         `long:"after" value-name:"TIME" description:"only records after this time, such as 2026-12-04T09:00:00Z"`
	Limit   uint32         `long:"limit" description:"largest number of records of each address, the latest ones; 10000 by default"`
}

// Execute collects the records.
func (c *timelineCommand) Execute([]string) error {
	cl, err := c.app.newClient()
	if err != nil {
		return err
	}
	var after time.Time
	if c.After != "" {
		if after, err = time.Parse(time.RFC3339Nano, c.After); err != nil {
			return errors.Wrap(err, "--after")
		}
	}
	ctx, cancel := c.app.withTimeout(false)
	defer cancel()
	records, failures := cl.Timeline(ctx, after, model.RequestID(c.Request), c.Limit)
	if len(records) == 0 && failures != nil {
		return failures
	}
	if err := c.print(records); err != nil {
		return err
	}
	return failures
}

func (c *timelineCommand) print(records []timeline.Record) error {
	if c.HTML != "" {
		return c.writeHTML(records)
	}
	if !c.app.isJSONOutput() {
		return timeline.WriteText(c.app.stdout, records)
	}
	m := &operatorv1.TimelineResponse{}
	for _, r := range records {
		m.Records = append(m.Records, &operatorv1.TimelineRecord{
			At:        timestamppb.New(r.At),
			Process:   r.Process,
			Sequence:  r.Sequence,
			Kind:      r.Kind,
			RequestId: string(r.Request),
			Task:      r.Attempt.Task,
			Attempt:   r.Attempt.Number,
			Worker:    string(r.Worker),
			Peer:      string(r.Peer),
			Detail:    r.Detail,
		})
	}
	return c.app.printJSON(m)
}

func (c *timelineCommand) writeHTML(records []timeline.Record) error {
	f, err := os.Create(string(c.HTML))
	if err != nil {
		return errors.Wrap(err, "--html")
	}
	err = timeline.WriteHTML(f, records)
	if closeErr := f.Close(); err == nil {
		err = closeErr
	}
	if err != nil {
		return errors.Wrap(err, "--html")
	}
	fmt.Fprintf(c.app.stderr, "%d records written to %s\n", len(records), c.HTML)
	return nil
}
