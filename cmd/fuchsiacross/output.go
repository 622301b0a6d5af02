package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"
	"text/tabwriter"
	"time"

	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/timestamppb"

	"fuchsiacross/operatorv1"
)

// isJSONOutput reports whether --output json is given.
func (a *app) isJSONOutput() bool { return a.options.Output == "json" }

// printJSON prints a message as indented JSON with the field names of the protocol.
func (a *app) printJSON(m proto.Message) error {
	data, err := protojson.MarshalOptions{UseProtoNames: true}.Marshal(m)
	if err != nil {
		return err
	}
	// protojson varies its white space randomly, so the output is indented again.
	var b bytes.Buffer
	if err := json.Indent(&b, data, "", "  "); err != nil {
		return err
	}
	_, err = fmt.Fprintln(a.stdout, b.String())
	return err
}

// printTable prints aligned columns, with a hyphen in place of an empty cell.
func (a *app) printTable(rows [][]string) error {
	t := tabwriter.NewWriter(a.stdout, 0, 0, 2, ' ', 0)
	for _, row := range rows {
		cells := make([]string, len(row))
		for i, c := range row {
			cells[i] = strings.Map(replaceControlCharacter, c)
			if c == "" {
				cells[i] = "-"
			}
		}
		fmt.Fprintln(t, strings.Join(cells, "\t"))
	}
	return t.Flush()
}

// replaceControlCharacter replaces control characters by spaces, so that text from
// other processes cannot control the terminal.
func replaceControlCharacter(c rune) rune {
	if c < ' ' || c == 0x7f {
		return ' '
	}
	return c
}

func formatTime(t *timestamppb.Timestamp) string {
	if t == nil {
		return ""
	}
	return t.AsTime().Format(time.RFC3339Nano)
}

// formatResources formats resources as processors/memory/accelerators.
func formatResources(r *operatorv1.Resources) string {
	const mebibyte = 1 << 20
	return fmt.Sprintf("%gcpu/%dMiB/%dacc", float64(r.GetMilliCpu())/1000, r.GetMemoryBytes()/mebibyte, r.GetAccelerators())
}

// joinSetFlags returns the names of the flags that are set, separated by commas.
func joinSetFlags(pairs ...stateFlag) string {
	var set []string
	for _, p := range pairs {
		if p.set {
			set = append(set, p.name)
		}
	}
	return strings.Join(set, ",")
}

type stateFlag struct {
	name string
	set  bool
}
