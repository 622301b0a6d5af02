package settings

import (
	"fmt"
	"net/netip"
	"strings"

	"fuchsiacross/finding"
	"fuchsiacross/model"
)

// maxPeers limits the list of peers. A cell is expected to have about 100 instances
// within two years.
const maxPeers = 1000

// reader decodes nodes into settings and collects the findings.
type reader struct {
	fileName string
	settings *Settings
	findings finding.List
	lines    map[string]int // by JSON pointer
}

func (r *reader) addFinding(line int, pointer, message string) {
	place := fmt.Sprintf("%s:%d", r.fileName, line)
	if pointer != "" {
		place += ": " + pointer
	}
	r.findings.Add(place, message)
}

// findLine returns the line of the value at a JSON pointer or, if the file does not have
// it, of the closest enclosing value.
func (r *reader) findLine(pointer string) int {
	for pointer != "" {
		if line, ok := r.lines[pointer]; ok {
			return line
		}
		pointer = pointer[:strings.LastIndexByte(pointer, '/')]
	}
	return 1
}

// escapePointerToken escapes a name for use in a JSON pointer (RFC 6901).
func escapePointerToken(name string) string {
	return strings.NewReplacer("~", "~0", "/", "~1").Replace(name)
}

func (r *reader) readRoot(root *node) {
	r.lines = map[string]int{}
	if root.value != objectContainer {
		r.addFinding(root.line, "", "the settings are "+root.describeType()+", want an object")
		return
	}
	r.readGroup("", root)
	for i := range fields {
		f := &fields[i]
		if _, present := r.lines[f.pointer]; f.required && !present {
			r.addFinding(root.line, f.pointer, "is missing")
		}
	}
}

// readGroup decodes the members of the root object or of a group of settings.
func (r *reader) readGroup(prefix string, n *node) {
	for _, m := range n.members {
		pointer := prefix + "/" + escapePointerToken(m.name)
		if first, ok := r.lines[pointer]; ok {
			r.addFinding(m.value.line, pointer, fmt.Sprintf("is already set on line %d", first))
			continue
		}
		r.lines[pointer] = m.value.line
		r.readMember(pointer, m.value)
	}
}

func (r *reader) readMember(pointer string, n *node) {
	switch {
	case pointer == "/peers":
		r.readPeers(n)
	case isFieldGroup(pointer):
		if n.value != objectContainer {
			r.addFinding(n.line, pointer, "is "+n.describeType()+", want an object")
			return
		}
		r.readGroup(pointer, n)
	default:
		f := findField(pointer)
		if f == nil {
			r.addFinding(n.line, pointer, "is not a setting")
			return
		}
		if message := f.decode(r.settings, f, n); message != "" {
			r.addFinding(n.line, pointer, message)
		}
	}
}

// isFieldGroup reports whether the table has fields below a JSON pointer.
func isFieldGroup(pointer string) bool {
	for i := range fields {
		if strings.HasPrefix(fields[i].pointer, pointer+"/") {
			return true
		}
	}
	return false
}

func findField(pointer string) *field {
	for i := range fields {
		if fields[i].pointer == pointer {
			return &fields[i]
		}
	}
	return nil
}

func (r *reader) readPeers(n *node) {
	if n.value != arrayContainer {
		r.addFinding(n.line, "/peers", "is "+n.describeType()+", want an array")
		return
	}
	if len(n.items) > maxPeers {
		r.addFinding(n.line, "/peers", fmt.Sprintf("has %d peers, limit %d", len(n.items), maxPeers))
		return
	}
	for i, item := range n.items {
		pointer := fmt.Sprintf("/peers/%d", i)
		r.lines[pointer] = item.line
		r.settings.Peers = append(r.settings.Peers, r.readPeer(pointer, item))
	}
}

func (r *reader) readPeer(pointer string, n *node) model.Instance {
	p := model.Instance{Weight: 1}
	if n.value != objectContainer {
		r.addFinding(n.line, pointer, "is "+n.describeType()+", want an object")
		return p
	}
	seen := map[string]bool{}
	for _, m := range n.members {
		fieldPointer := pointer + "/" + escapePointerToken(m.name)
		r.lines[fieldPointer] = m.value.line
		if seen[m.name] {
			r.addFinding(m.value.line, fieldPointer, "is set twice")
			continue
		}
		seen[m.name] = true
		if message := decodePeerField(&p, m.name, m.value); message != "" {
			r.addFinding(m.value.line, fieldPointer, message)
		}
	}
	for _, name := range []string{"instance", "address", "data_centre"} {
		if !seen[name] {
			r.addFinding(n.line, pointer+"/"+name, "is missing")
		}
	}
	return p
}

// decodePeerField sets one field of a peer and returns an error message or "".
func decodePeerField(p *model.Instance, name string, n *node) string {
	var value, message string
	var address netip.AddrPort
	switch name {
	case "instance":
		value, message = decodeString(n, maxNameBytes)
		p.ID = model.InstanceID(value)
	case "data_centre":
		value, message = decodeString(n, maxNameBytes)
		p.DataCentre = model.DataCentre(value)
	case "address":
		address, message = decodeAddress(n)
		p.Address = address
	default:
		message = "is not a setting of a peer"
	}
	return message
}
