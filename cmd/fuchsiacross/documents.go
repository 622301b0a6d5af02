package main

import (
	"context"
	"fmt"
	"strconv"
	"strings"

	"github.com/go-faster/errors"
	"github.com/jessevdk/go-flags"

	"fuchsiacross/client"
	"fuchsiacross/document"
	"fuchsiacross/model"
	"fuchsiacross/operatorv1"
)

const documentHelp = `Shows, checks and edits the document by which operators control the cell. It has the section cell and one section for each team.`

const showHelp = `Shows the document that is in force at one instance, or the committed one. Given a section, it prints the section's text on standard output and its revision on standard error.

Examples:
fuchsiacross document show
fuchsiacross document show gates --committed > gates.json`

const checkHelp = `Reports everything that is wrong with a section, each finding with its JSON pointer, and changes nothing.

Example:
fuchsiacross document check gates --file gates.json --offline`

const editHelp = `Commits a section if its committed revision is still the given one. Without --revision the condition is the revision that is committed when the command runs. If the text was edited from the output of document show, pass the revision that it printed.

An edit that ends as unknown may be repeated with the same --edit-id and --revision.

Examples:
fuchsiacross document edit gates --file gates.json --revision 4
fuchsiacross --token-file token document edit cell < cell.json`

const historyHelp = `Lists committed edits, newest first.

Example:
fuchsiacross document history gates --limit 10`

const drainHelp = `Adds workers to drained_workers in the section of the cell, or with --undo removes them. A drained worker keeps its running tasks and gets no new one.

Examples:
fuchsiacross --token-file token drain w17 w18
fuchsiacross --token-file token drain --undo w17`

func (a *app) registerDocumentCommands(parser *flags.Parser) error {
	d, err := parser.AddCommand("document", "Show, check and edit the document", documentHelp, &struct{}{})
	if err != nil {
		return err
	}
	commands := []struct {
		name, short, long string
		data              any
	}{
		{"show", "Show the document or a section", showHelp, &showCommand{app: a}},
		{"check", "Check a section", checkHelp, &checkCommand{app: a}},
		{"edit", "Commit a section", editHelp, &editCommand{app: a}},
		{"history", "List committed edits", historyHelp, &historyCommand{app: a}},
	}
	for _, c := range commands {
		if _, err := d.AddCommand(c.name, c.short, c.long, c.data); err != nil {
			return err
		}
	}
	return nil
}

type optionalSection struct {
	Section string `positional-arg-name:"SECTION"`
}

type showCommand struct {
	app        *app
	Committed  bool            `long:"committed" description:"show the committed document instead of the one in force at the instance"`
	Positional optionalSection `positional-args:"yes"`
}

// Execute shows the document.
func (c *showCommand) Execute([]string) error {
	return callAndPrint(c.app, func(ctx context.Context, cl *client.Client) (*operatorv1.ShowDocumentResponse, error) {
		return cl.ShowDocument(ctx, c.Positional.Section, c.Committed)
	}, c.print)
}

func (c *showCommand) print(m *operatorv1.ShowDocumentResponse) error {
	if c.Positional.Section != "" && len(m.GetSections()) == 1 {
		s := m.GetSections()[0]
		fmt.Fprintf(c.app.stderr, "section %s, revision %d, document revision %d\n", s.GetName(), s.GetRevision(), m.GetRevision())
		_, err := fmt.Fprintln(c.app.stdout, strings.TrimRight(s.GetBody(), "\n"))
		return err
	}
	fmt.Fprintf(c.app.stderr, "document revision %d\n", m.GetRevision())
	rows := [][]string{{"SECTION", "REVISION", "OWNERS", "EDIT"}}
	for _, s := range m.GetSections() {
		rows = append(rows, []string{s.GetName(), formatNumber(s.GetRevision()), strings.Join(s.GetOwners(), ","), s.GetEditId()})
	}
	return c.app.printTable(rows)
}

type sectionArgument struct {
	Section string `positional-arg-name:"SECTION" required:"yes"`
}

type checkCommand struct {
	app        *app
	File       flags.Filename  `long:"file" value-name:"FILE" default:"-" description:"file that holds the section; - for standard input"`
	Offline    bool            `long:"offline" description:"check here, without an instance"`
	Positional sectionArgument `positional-args:"yes" required:"yes"`
}

// Execute checks the section.
func (c *checkCommand) Execute([]string) error {
	body, err := c.app.readInput(c.File)
	if err != nil {
		return errors.Wrap(err, "--file")
	}
	if c.Offline {
		m := &operatorv1.CheckSectionResponse{}
		for _, f := range document.CheckSection(c.Positional.Section, body).Sorted() {
			m.Findings = append(m.Findings, &operatorv1.Finding{Place: f.Place, Message: f.Message})
		}
		return printMessage(c.app, m, c.print)
	}
	return callAndPrint(c.app, func(ctx context.Context, cl *client.Client) (*operatorv1.CheckSectionResponse, error) {
		return cl.CheckSection(ctx, c.Positional.Section, string(body))
	}, c.print)
}

func (c *checkCommand) print(m *operatorv1.CheckSectionResponse) error {
	if len(m.GetFindings()) > 0 {
		c.app.code = exitInput
	}
	return c.app.printFindings(m.GetFindings())
}

func (a *app) printFindings(fs []*operatorv1.Finding) error {
	for _, f := range fs {
		line := f.GetMessage()
		if f.GetPlace() != "" {
			line = f.GetPlace() + ": " + line
		}
		if _, err := fmt.Fprintln(a.stdout, strings.Map(replaceControlCharacter, line)); err != nil {
			return err
		}
	}
	return nil
}

type editCommand struct {
	app        *app
	File       flags.Filename  `long:"file" value-name:"FILE" default:"-" description:"file that holds the section; - for standard input"`
	Revision   *uint64         `long:"revision" description:"revision of the section on which the edit is conditional; 0 creates the section"`
	EditID     string          `long:"edit-id" description:"identifier of the edit; a new one by default, printed before sending"`
	Positional sectionArgument `positional-args:"yes" required:"yes"`
}

// Execute commits the section.
func (c *editCommand) Execute([]string) error {
	body, err := c.app.readInput(c.File)
	if err != nil {
		return errors.Wrap(err, "--file")
	}
	return c.app.commitEdit(&c.EditID, func(ctx context.Context, cl *client.Client) (*operatorv1.EditSectionResponse, error) {
		m := &operatorv1.EditSectionRequest{Section: c.Positional.Section, Body: string(body), EditId: c.EditID}
		if c.Revision != nil {
			m.SectionRevision = *c.Revision
		} else {
			revision, err := cl.SectionRevision(ctx, c.Positional.Section)
			if err != nil {
				return nil, err
			}
			m.SectionRevision = uint64(revision)
		}
		return cl.EditSection(ctx, m)
	})
}

type drainCommand struct {
	app        *app
	Undo       bool   `long:"undo" description:"give the workers new work again"`
	EditID     string `long:"edit-id" description:"identifier of the edit; a new one by default, printed before sending"`
	Positional struct {
		Workers []string `positional-arg-name:"WORKER" required:"1"`
	} `positional-args:"yes" required:"yes"`
}

// Execute edits the section of the cell.
func (c *drainCommand) Execute([]string) error {
	var workers []model.WorkerID
	for _, w := range c.Positional.Workers {
		workers = append(workers, model.WorkerID(w))
	}
	return c.app.commitEdit(&c.EditID, func(ctx context.Context, cl *client.Client) (*operatorv1.EditSectionResponse, error) {
		return cl.Drain(ctx, c.EditID, workers, c.Undo)
	})
}

// commitEdit generates an edit identifier if none is given, makes the edit and prints
// its result.
func (a *app) commitEdit(id *string, commit func(context.Context, *client.Client) (*operatorv1.EditSectionResponse, error)) error {
	if *id == "" {
		*id = client.NewID()
	}
	fmt.Fprintln(a.stderr, "edit", *id)
	err := callAndPrint(a, commit, a.printEdit)
	if client.KindOf(err) == client.KindUnknown {
		return errors.Wrapf(err, "edit %s may have been committed; look for it in document history", *id)
	}
	return err
}

func (a *app) printEdit(m *operatorv1.EditSectionResponse) error {
	text := "unknown; look for the edit in document history"
	a.code = exitUnknown
	switch m.GetResult() {
	case operatorv1.EditResult_EDIT_RESULT_COMMITTED:
		a.code = exitOK
		text = fmt.Sprintf("committed as section revision %d, document revision %d", m.GetSectionRevision(), m.GetDocumentRevision())
	case operatorv1.EditResult_EDIT_RESULT_CONFLICT:
		a.code = exitConflict
		text = fmt.Sprintf("conflict: the section has revision %d", m.GetSectionRevision())
	case operatorv1.EditResult_EDIT_RESULT_REFUSED:
		a.code = exitInput
		text = "refused"
	}
	if m.GetMessage() != "" {
		text += ": " + m.GetMessage()
	}
	fmt.Fprintln(a.stderr, strings.Map(replaceControlCharacter, text))
	return a.printFindings(m.GetFindings())
}

type historyCommand struct {
	app        *app
	Limit      uint32          `long:"limit" default:"100" description:"largest number of edits"`
	Positional optionalSection `positional-args:"yes"`
}

// Execute lists the edits.
func (c *historyCommand) Execute([]string) error {
	return callAndPrint(c.app, func(ctx context.Context, cl *client.Client) (*operatorv1.HistoryResponse, error) {
		return cl.History(ctx, c.Positional.Section, c.Limit)
	}, func(m *operatorv1.HistoryResponse) error {
		rows := [][]string{{"TIME", "EDIT", "SECTION", "REVISION", "DOCUMENT", "TEAM"}}
		for _, e := range m.GetEdits() {
			rows = append(rows, []string{formatTime(e.GetAt()), e.GetEditId(), e.GetSection(), formatNumber(e.GetSectionRevision()), formatNumber(e.GetDocumentRevision()), e.GetTeam()})
		}
		return c.app.printTable(rows)
	})
}

func formatNumber(n uint64) string { return strconv.FormatUint(n, 10) }
