package document

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strconv"
	"strings"

	"github.com/go-faster/errors"

	"fuchsiacross/finding"
)

// jsonReader decodes JSON values and collects findings about all their errors.
// encoding/json alone stops at the first wrong type and ignores repeated keys.
type jsonReader struct {
	findings finding.List
}

// objectField is a permitted member of an object and the function that reads its
// value.
type objectField struct {
	name     string
	required bool
	read     func(place string, raw json.RawMessage)
}

// pointerEscapes escapes the keys of an object for a JSON pointer.
var pointerEscapes = strings.NewReplacer("~", "~0", "/", "~1")

func (r *jsonReader) addFinding(place, format string, args ...any) {
	r.findings.Add(place, fmt.Sprintf(format, args...))
}

// checkSyntax reports whether body is a single JSON value.
func (r *jsonReader) checkSyntax(body []byte) bool {
	var raw json.RawMessage
	err := json.Unmarshal(body, &raw)
	if err == nil {
		return true
	}
	place := ""
	if e, ok := errors.Into[*json.SyntaxError](err); ok {
		before := body[:min(max(e.Offset-1, 0), int64(len(body)))]
		line := 1 + bytes.Count(before, []byte("\n"))
		column := len(before) - bytes.LastIndexByte(before, '\n')
		place = fmt.Sprintf("line %d, column %d: ", line, column)
	}
	r.addFinding("", "%sis not JSON: %s", place, err)
	return false
}

// readObject reads the members of an object. The value must be valid JSON.
func (r *jsonReader) readObject(place string, raw json.RawMessage, fields []objectField) {
	if jsonTypeName(raw) != "an object" {
		r.addFinding(place, "is %s, not an object", jsonTypeName(raw))
		return
	}
	d := json.NewDecoder(bytes.NewReader(raw))
	seen := make(map[string]bool, len(fields))
	_, _ = d.Token() // the opening brace
	for d.More() {
		token, err := d.Token()
		key, ok := token.(string)
		var value json.RawMessage
		if err != nil || !ok || d.Decode(&value) != nil {
			r.addFinding(place, "is not JSON")
			return
		}
		memberPlace := place + "/" + pointerEscapes.Replace(key)
		if seen[key] {
			r.addFinding(memberPlace, "is given twice")
			continue
		}
		seen[key] = true
		r.readMember(memberPlace, key, value, fields)
	}
	for _, f := range fields {
		if f.required && !seen[f.name] {
			r.addFinding(place+"/"+f.name, "is missing")
		}
	}
}

func (r *jsonReader) readMember(place, key string, value json.RawMessage, fields []objectField) {
	for _, f := range fields {
		if f.name == key {
			f.read(place, value)
			return
		}
	}
	r.addFinding(place, "is an unknown field")
}

// readArray calls read for each element of an array.
func (r *jsonReader) readArray(place string, raw json.RawMessage, read func(place string, raw json.RawMessage)) {
	var elements []json.RawMessage
	if jsonTypeName(raw) != "an array" || json.Unmarshal(raw, &elements) != nil {
		r.addFinding(place, "is %s, not an array", jsonTypeName(raw))
		return
	}
	for i, e := range elements {
		read(place+"/"+strconv.Itoa(i), e)
	}
}

func (r *jsonReader) readString(place string, raw json.RawMessage) (string, bool) {
	var s string
	if jsonTypeName(raw) != "a string" || json.Unmarshal(raw, &s) != nil {
		r.addFinding(place, "is %s, not a string", jsonTypeName(raw))
		return "", false
	}
	return s, true
}

// booleanReader returns a function that reads a boolean into a variable. The functions
// that integerReader, numberReader, memoryReader and resourcesReader return do the same
// for other types. A value that causes a finding is not stored.
func (r *jsonReader) booleanReader(into *bool) func(string, json.RawMessage) {
	return func(place string, raw json.RawMessage) {
		if jsonTypeName(raw) != "a boolean" {
			r.addFinding(place, "is %s, not a boolean", jsonTypeName(raw))
			return
		}
		*into = raw[0] == 't'
	}
}

func (r *jsonReader) integerReader(into *int64, minimum, maximum int64) func(string, json.RawMessage) {
	return func(place string, raw json.RawMessage) {
		if jsonTypeName(raw) != "a number" {
			r.addFinding(place, "is %s, not an integer", jsonTypeName(raw))
			return
		}
		r.readAmount(place, string(raw), string(raw), 1, into, minimum, maximum)
	}
}

// readAmount parses digits, multiplies the number by unit and checks that the product
// is within bounds. Findings quote the amount as it is written in the section.
func (r *jsonReader) readAmount(place, written, digits string, unit int64, into *int64, minimum, maximum int64) {
	n, err := strconv.ParseInt(digits, 10, 64)
	switch {
	case errors.Is(err, strconv.ErrRange):
		r.addFinding(place, "%s overflows 64 bits", written)
	case err != nil:
		r.addFinding(place, "%s is not an integer", written)
	case n < 0 && minimum >= 0:
		r.addFinding(place, "%s is negative", written)
	case n > maximum/unit || n*unit < minimum:
		r.addFinding(place, "%s is outside %d to %d", written, minimum, maximum)
	default:
		*into = n * unit
	}
}

func (r *jsonReader) numberReader(into *float64, minimum, maximum float64) func(string, json.RawMessage) {
	return func(place string, raw json.RawMessage) {
		if jsonTypeName(raw) != "a number" {
			r.addFinding(place, "is %s, not a number", jsonTypeName(raw))
			return
		}
		v, err := strconv.ParseFloat(string(raw), 64)
		if err != nil || v < minimum || v > maximum {
			r.addFinding(place, "%s is outside %g to %g", raw, minimum, maximum)
			return
		}
		*into = v
	}
}

// jsonTypeName returns the type of a JSON value with its article, for findings.
func jsonTypeName(raw json.RawMessage) string {
	if len(raw) == 0 {
		return "nothing"
	}
	switch raw[0] {
	case '{':
		return "an object"
	case '[':
		return "an array"
	case '"':
		return "a string"
	case 't', 'f':
		return "a boolean"
	case 'n':
		return "null"
	}
	return "a number"
}
