// Package strictyaml decodes YAML into structs and reports every problem with
// its line, column, key and a fix. Unknown and duplicate keys are problems.
package strictyaml

import (
	"reflect"
	"strconv"
	"strings"

	"go.yaml.in/yaml/v3"
)

// Position is a line and a column of a text, counted from 1.
type Position struct{ Line, Column int }

// Document is a decoded text. Validation reports further problems to it by key.
type Document struct {
	root     *yaml.Node
	problems Problems
}

// Decode decodes text into out, a pointer to a struct. It returns the document
// even if there are problems, so that further ones can be reported by key.
func Decode(text []byte, out any) (*Document, error) {
	doc := &Document{}
	var root yaml.Node
	if err := yaml.Unmarshal(text, &root); err != nil {
		doc.Report("", "not valid YAML: "+err.Error(), "correct the syntax")
		return doc, doc.Err()
	}
	if len(root.Content) == 0 {
		doc.Report("", "the text is empty", "write at least the required keys")
		return doc, doc.Err()
	}
	doc.root = root.Content[0]
	doc.decodeValue(nil, doc.root, reflect.ValueOf(out).Elem())
	return doc, doc.Err()
}

// Report adds a problem at the position of the key, or of its nearest parent in
// the text.
func (d *Document) Report(key, message, fix string) {
	at := Position{Line: 1, Column: 1}
	if node, _ := d.find(key); node != nil {
		at = Position{Line: node.Line, Column: node.Column}
	}
	d.reportAt(at, key, message, fix)
}

func (d *Document) reportAt(at Position, key, message, fix string) {
	d.problems = append(d.problems, Problem{Line: at.Line, Column: at.Column, Key: key, Message: message, Fix: fix})
}

// Err returns the Problems reported so far, or nil if there are none.
func (d *Document) Err() error {
	if len(d.problems) == 0 {
		return nil
	}
	return d.problems
}

// Has reports whether the text contains the key.
func (d *Document) Has(key string) bool {
	_, found := d.find(key)
	return found
}

// find walks from the root along a key such as services[0].slots. It returns
// the last node that it reached, and whether that is the key's. Walking on demand
// is cheaper than recording the position of each key: a large text has tens of
// thousands of keys and few of them are looked up.
func (d *Document) find(key string) (node *yaml.Node, found bool) {
	node = d.root
	for key != "" && node != nil {
		var segment string
		segment, key = cutKey(key)
		next := child(node, segment)
		if next == nil {
			return node, false
		}
		node = next
	}
	return node, node != nil
}

// cutKey splits the first segment off a key: a name, or an index such as [3].
func cutKey(key string) (segment, rest string) {
	key = strings.TrimPrefix(key, ".")
	end := strings.IndexAny(key[1:], ".[")
	if end < 0 {
		return key, ""
	}
	return key[:end+1], key[end+1:]
}

func child(node *yaml.Node, segment string) *yaml.Node {
	switch node.Kind {
	case yaml.MappingNode:
		for i := 0; i+1 < len(node.Content); i += 2 {
			if node.Content[i].Value == segment {
				return node.Content[i+1]
			}
		}
	case yaml.SequenceNode:
		index, err := strconv.Atoi(strings.Trim(segment, "[]"))
		if err == nil && index >= 0 && index < len(node.Content) {
			return node.Content[index]
		}
	}
	return nil
}

// path is the location of a value; it is rendered as a key only for a problem.
type path struct {
	parent *path
	name   string
	index  int
}

// String renders the path as a key such as services[0].slots.
func (p *path) String() string {
	switch {
	case p == nil:
		return ""
	case p.name == "":
		return p.parent.String() + "[" + strconv.Itoa(p.index) + "]"
	case p.parent == nil:
		return p.name
	default:
		return p.parent.String() + "." + p.name
	}
}

func (d *Document) reportNode(at *path, node *yaml.Node, message, fix string) {
	d.reportAt(Position{Line: node.Line, Column: node.Column}, at.String(), message, fix)
}
