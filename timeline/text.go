package timeline

import (
	"fmt"
	"io"
	"strconv"
	"strings"
	"text/tabwriter"
	"unicode"
)

// timeFormat has a fixed width, so that times align in a column.
const timeFormat = "2006-01-02T15:04:05.000000Z"

// WriteText writes the records in aligned columns, one record per line.
func WriteText(w io.Writer, records []Record) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "TIME\tPROCESS\tKIND\tREQUEST\tWORKER\tPEER\tDETAIL")
	for _, r := range records {
		columns := []string{
			r.At.UTC().Format(timeFormat),
			r.Process,
			r.Kind,
			r.attemptOrRequest(),
			string(r.Worker),
			string(r.Peer),
			r.Detail,
		}
		for i, c := range columns {
			columns[i] = quoteUnprintable(c)
		}
		fmt.Fprintln(t, strings.Join(columns, "\t"))
	}
	return t.Flush()
}

// attemptOrRequest returns the attempt that the record concerns or, if it has none, the
// request.
func (r *Record) attemptOrRequest() string {
	if r.Attempt.Number == 0 {
		return string(r.Request)
	}
	a := r.Attempt
	if a.Request == "" {
		a.Request = r.Request
	}
	return a.String()
}

// quoteUnprintable quotes text with unprintable characters, so that text from other
// processes cannot break the columns or control the terminal. Empty text becomes "-".
func quoteUnprintable(s string) string {
	if s == "" {
		return "-"
	}
	if strings.IndexFunc(s, func(c rune) bool { return !unicode.IsPrint(c) }) < 0 {
		return s
	}
	return strconv.Quote(s)
}
