package finding

import (
	"slices"
	"strings"

	"github.com/go-faster/errors"
)

// Finding is one error in an input.
type Finding struct {
	Place   string // a field name, a JSON pointer, or file:line
	Message string
}

// String returns the finding as "place: message".
func (f Finding) String() string {
	if f.Place == "" {
		return f.Message
	}
	return f.Place + ": " + f.Message
}

// List is a list of findings. The zero value is empty and ready to use.
type List []Finding

// Add appends a finding.
func (l *List) Add(place, message string) {
	*l = append(*l, Finding{Place: place, Message: message})
}

// Append appends the findings of other, with prefix prepended to their places.
func (l *List) Append(prefix string, other List) {
	for _, f := range other {
		l.Add(prefix+f.Place, f.Message)
	}
}

// Any reports whether the list has findings.
func (l List) Any() bool { return len(l) > 0 }

// Sorted returns a copy of the list sorted by place.
func (l List) Sorted() List {
	s := slices.Clone(l)
	slices.SortStableFunc(s, func(a, b Finding) int { return strings.Compare(a.Place, b.Place) })
	return s
}

// String returns the sorted findings, one per line.
func (l List) String() string {
	lines := make([]string, 0, len(l))
	for _, f := range l.Sorted() {
		lines = append(lines, f.String())
	}
	return strings.Join(lines, "\n")
}

// Error is an error that carries a list of findings.
type Error struct {
	List List
}

// Error returns the sorted findings, one per line.
func (e *Error) Error() string { return e.List.String() }

// Err returns the list as an *Error, or nil if it is empty.
func (l List) Err() error {
	if !l.Any() {
		return nil
	}
	return &Error{List: l}
}

// From returns the findings that err or an error it wraps carries. It returns false if
// there are none.
func From(err error) (List, bool) {
	e, ok := errors.Into[*Error](err)
	if !ok {
		return nil, false
	}
	return e.List, true
}
