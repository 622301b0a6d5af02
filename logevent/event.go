package logevent

import (
	"fmt"
	"strings"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// Event is a kind of log line.
type Event struct {
	Number      int
	Level       zapcore.Level
	Message     string
	Description string // for the catalogue: when it is logged and what to do
}

// Log writes a log line with the message, the number and the given fields.
func (e Event) Log(l *zap.Logger, fields ...zap.Field) {
	entry := l.WithOptions(zap.AddCallerSkip(1)).Check(e.Level, e.Message)
	if entry == nil {
		return
	}
	entry.Write(append([]zap.Field{zap.Int("event", e.Number)}, fields...)...)
}

// CataloguePage returns the text of docs/logs.md.
func CataloguePage() string {
	var b strings.Builder
	b.WriteString("# Log events\n\n")
	b.WriteString("Every log line of the daemon carries the number of its event in the field `event`.\n")
	b.WriteString("This page is generated from the package `logevent`.\n\n")
	b.WriteString("| event | level | message | description |\n")
	b.WriteString("| ---: | --- | --- | --- |\n")
	for _, e := range All {
		fmt.Fprintf(&b, "| %d | %s | %s | %s |\n", e.Number, e.Level, e.Message, e.Description)
	}
	return b.String()
}
