// Package strictyaml decodes YAML into structs and reports every problem with
// its line, column, key and a fix. Unknown and repeated keys are problems.
package strictyaml

import (
	"reflect"
	"strconv"
	"strings"

	"go.yaml.in/yaml/v3"
)

// Position is a place in a text, counted from 1.
type Position struct{ Line, Column int }

// Document is a decoded text, to report further problems by key.
type Document struct {
	root     *yaml.Node
	problems Problems
}

// Decode fills out, a pointer to a struct, from text. The document is
// returned also when there are problems, to report further ones by key.
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
	doc.value(nil, doc.root, reflect.ValueOf(out).Elem())
	return doc, doc.Err()
}

// Report adds a problem at the key's place, or at the nearest known parent.
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

// Err returns the Problems so far, or nil.
func (d *Document) Err() error {
	if len(d.problems) == 0 {
		return nil
	}
	return d.problems
}

// Has reports whether the text names the key.
func (d *Document) Has(key string) bool {
	_, whole := d.find(key)
	return whole
}

// find walks from the root along a key such as services[0].slots. It returns
// the last node on the way, and whether that is the key's. Walking when a key
// is asked for is cheaper than noting each key's place: a large text has tens
// of thousands and few are asked for.
func (d *Document) find(key string) (node *yaml.Node, whole bool) {
	node = d.root
	for key != "" && node != nil {
		var step string
		step, key = cutKey(key)
		next := child(node, step)
		if next == nil {
			return node, false
		}
		node = next
	}
	return node, node != nil
}

// cutKey cuts the first step off a key: a name, or an index such as [3].
func cutKey(key string) (step, rest string) {
	key = strings.TrimPrefix(key, ".")
	end := strings.IndexAny(key[1:], ".[")
	if end < 0 {
		return key, ""
	}
	return key[:end+1], key[end+1:]
}

func child(node *yaml.Node, step string) *yaml.Node {
	switch node.Kind {
	case yaml.MappingNode:
		for i := 0; i+1 < len(node.Content); i += 2 {
			if node.Content[i].Value == step {
				return node.Content[i+1]
			}
		}
	case yaml.SequenceNode:
		index, err := strconv.Atoi(strings.Trim(step, "[]"))
		if err == nil && index >= 0 && index < len(node.Content) {
			return node.Content[index]
		}
	}
	return nil
}

// path is the way to a value, made into a key only when there is a problem.
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

func (d *Document) problem(at *path, node *yaml.Node, message, fix string) {
	d.reportAt(Position{Line: node.Line, Column: node.Column}, at.String(), message, fix)
}
