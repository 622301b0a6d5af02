package settings

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"strings"
)

// node is a JSON value with the number of the line on which it begins.
type node struct {
	line    int
	members []member // of an object
	items   []*node  // of an array
	value   any      // json.Number, string, bool, nil or a containerType
}

type member struct {
	name  string
	value *node
}

// containerType is the value of a node that is an object or an array.
type containerType string

const (
	objectContainer containerType = "an object"
	arrayContainer  containerType = "an array"
)

// describeType returns the type of a node with its article, for findings.
func (n *node) describeType() string {
	switch v := n.value.(type) {
	case containerType:
		return string(v)
	case json.Number:
		return "a number"
	case string:
		return "a string"
	case bool:
		return "a boolean"
	}
	return "null"
}

// syntaxError is an error that ends the parsing of the file.
type syntaxError struct {
	line    int
	message string
}

// maxNestingDepth limits the nesting of values. Valid settings need three levels.
const maxNestingDepth = 16

type parser struct {
	text    []byte
	decoder *json.Decoder
}

// parse reads text as one JSON value.
func parse(text []byte) (*node, *syntaxError) {
	p := parser{text: text, decoder: json.NewDecoder(bytes.NewReader(text))}
	p.decoder.UseNumber()
	root, err := p.parseValue(0)
	if err != nil {
		return nil, err
	}
	if _, err := p.decoder.Token(); err != io.EOF {
		return nil, p.newSyntaxError("there is more text after the settings")
	}
	return root, nil
}

// currentLine returns the line of the first token at or after the decoder's position.
func (p *parser) currentLine() int {
	end := int(min(p.decoder.InputOffset(), int64(len(p.text))))
	rest := p.text[end:]
	skipped := len(rest) - len(bytes.TrimLeft(rest, " \t\r\n,:"))
	return 1 + bytes.Count(p.text[:end+skipped], []byte("\n"))
}

func (p *parser) newSyntaxError(message string) *syntaxError {
	return &syntaxError{line: p.currentLine(), message: message}
}

func (p *parser) nextToken() (json.Token, *syntaxError) {
	t, err := p.decoder.Token()
	if err == nil {
		return t, nil
	}
	if err == io.EOF || err == io.ErrUnexpectedEOF {
		return nil, p.newSyntaxError("the text ends within a value")
	}
	return nil, p.newSyntaxError(strings.TrimPrefix(err.Error(), "json: "))
}

func (p *parser) parseValue(depth int) (*node, *syntaxError) {
	if depth > maxNestingDepth {
		return nil, p.newSyntaxError(fmt.Sprintf("values are nested more than %d deep", maxNestingDepth))
	}
	n := &node{line: p.currentLine()}
	t, err := p.nextToken()
	if err != nil {
		return nil, err
	}
	switch t {
	case json.Delim('{'):
		n.value = objectContainer
		return n, p.parseObject(n, depth)
	case json.Delim('['):
		n.value = arrayContainer
		return n, p.parseArray(n, depth)
	}
	n.value = t
	return n, nil
}

func (p *parser) parseObject(n *node, depth int) *syntaxError {
	for p.decoder.More() {
		t, err := p.nextToken()
		if err != nil {
			return err
		}
		name, _ := t.(string) // the decoder accepts no other key
		value, err := p.parseValue(depth + 1)
		if err != nil {
			return err
		}
		n.members = append(n.members, member{name: name, value: value})
	}
	_, err := p.nextToken()
	return err
}

func (p *parser) parseArray(n *node, depth int) *syntaxError {
	for p.decoder.More() {
		value, err := p.parseValue(depth + 1)
		if err != nil {
			return err
		}
		n.items = append(n.items, value)
	}
	_, err := p.nextToken()
	return err
}
