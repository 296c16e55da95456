// Package strictyaml decodes YAML into structs and reports every problem with
// its line, column, key and a fix. Unknown and repeated keys are problems.
package strictyaml

import (
	"errors"
	"fmt"
	"reflect"
	"strings"
	"time"

	"go.yaml.in/yaml/v3"
)

// Problem is one fault in a text. Line and Column count from 1 and are 0 when
// the place is not known.
type Problem struct {
	Line    int    `json:"line"`
	Column  int    `json:"column"`
	Key     string `json:"key"`
	Message string `json:"message"`
	Fix     string `json:"fix"`
}

// String renders the problem on one line.
func (p Problem) String() string {
	return fmt.Sprintf("line %d, column %d: %s: %s; fix: %s", p.Line, p.Column, p.Key, p.Message, p.Fix)
}

// Problems is a failed decoding or validation.
type Problems []Problem

// Error implements error, one problem a line.
func (p Problems) Error() string {
	lines := make([]string, 0, len(p))
	for _, problem := range p {
		lines = append(lines, problem.String())
	}
	return strings.Join(lines, "\n")
}

// Position is a place in a text, counted from 1.
type Position struct{ Line, Column int }

// Document remembers where each key of a decoded text stands.
type Document struct {
	positions map[string]Position
	problems  Problems
}

// Decode fills out, a pointer to a struct, from text. The document is
// returned also when there are problems, to report further ones by key.
func Decode(text []byte, out any) (*Document, error) {
	doc := &Document{positions: map[string]Position{}}
	var root yaml.Node
	if err := yaml.Unmarshal(text, &root); err != nil {
		doc.Report("", "not valid YAML: "+err.Error(), "correct the syntax")
		return doc, doc.Err()
	}
	if len(root.Content) == 0 {
		doc.Report("", "the text is empty", "write at least the required keys")
		return doc, doc.Err()
	}
	doc.value("", root.Content[0], reflect.ValueOf(out).Elem())
	return doc, doc.Err()
}

// Report adds a problem at the key's place, or at the nearest known parent.
func (d *Document) Report(key, message, fix string) {
	at := d.position(key)
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
	_, ok := d.positions[key]
	return ok
}

func (d *Document) position(key string) Position {
	for {
		if at, ok := d.positions[key]; ok {
			return at
		}
		cut := strings.LastIndexAny(key, ".[")
		if cut < 0 {
			return Position{Line: 1, Column: 1}
		}
		key = key[:cut]
	}
}

func (d *Document) value(key string, node *yaml.Node, out reflect.Value) {
	d.positions[key] = Position{Line: node.Line, Column: node.Column}
	switch {
	case node.Kind == yaml.AliasNode:
		// A short text of aliases to aliases expands to billions of values, on
		// every node at once.
		d.Report(key, "an alias is not taken", "write the value itself")
	case out.Kind() == reflect.Pointer && out.Type().Elem().Kind() == reflect.Struct:
		out.Set(reflect.New(out.Type().Elem()))
		d.value(key, node, out.Elem())
	case out.Kind() == reflect.Struct:
		d.mapping(key, node, out)
	case out.Kind() == reflect.Slice:
		d.sequence(key, node, out)
	default:
		d.scalar(key, node, out)
	}
}

func (d *Document) mapping(key string, node *yaml.Node, out reflect.Value) {
	if node.Kind != yaml.MappingNode {
		d.Report(key, "want a mapping of keys to values", "write one of: "+strings.Join(fieldNames(out.Type()), ", "))
		return
	}
	seen := map[string]bool{}
	for i := 0; i+1 < len(node.Content); i += 2 {
		name := node.Content[i].Value
		path := join(key, name)
		d.positions[path] = Position{Line: node.Content[i].Line, Column: node.Content[i].Column}
		field, ok := fieldByName(out, name)
		switch {
		case !ok:
			d.Report(path, "unknown key", unknownFix(name, fieldNames(out.Type())))
		case seen[name]:
			d.Report(path, "the key stands twice", "keep one of the two")
		default:
			d.value(path, node.Content[i+1], field)
		}
		seen[name] = true
	}
}

func (d *Document) sequence(key string, node *yaml.Node, out reflect.Value) {
	if node.Kind != yaml.SequenceNode {
		d.Report(key, "want a list", "write the values as - items or [a, b]")
		return
	}
	list := reflect.MakeSlice(out.Type(), len(node.Content), len(node.Content))
	for i, item := range node.Content {
		d.value(fmt.Sprintf("%s[%d]", key, i), item, list.Index(i))
	}
	out.Set(list)
}

func (d *Document) scalar(key string, node *yaml.Node, out reflect.Value) {
	if node.Kind != yaml.ScalarNode {
		d.Report(key, "want one value, not a list or mapping", "write a single "+kindName(out))
		return
	}
	if err := node.Decode(out.Addr().Interface()); err != nil {
		var typeError *yaml.TypeError
		if !errors.As(err, &typeError) {
			d.Report(key, err.Error(), "write a "+kindName(out))
			return
		}
		d.Report(key, fmt.Sprintf("%q is not a %s", node.Value, kindName(out)), "write a "+kindName(out))
	}
}

func kindName(out reflect.Value) string {
	if out.Type() == reflect.TypeFor[time.Duration]() {
		return "duration such as 250ms or 3s"
	}
	switch out.Kind() {
	case reflect.Bool:
		return "true or false"
	case reflect.Int, reflect.Int64, reflect.Uint64, reflect.Uint32:
		return "whole number"
	case reflect.Float64:
		return "number"
	default:
		return "text"
	}
}

func fieldName(field reflect.StructField) string {
	name, _, _ := strings.Cut(field.Tag.Get("yaml"), ",")
	return name
}

func fieldByName(out reflect.Value, name string) (reflect.Value, bool) {
	for i := range out.NumField() {
		if fieldName(out.Type().Field(i)) == name && name != "" {
			return out.Field(i), true
		}
	}
	return reflect.Value{}, false
}

func fieldNames(structType reflect.Type) []string {
	var names []string
	for i := range structType.NumField() {
		if name := fieldName(structType.Field(i)); name != "" && name != "-" {
			names = append(names, name)
		}
	}
	return names
}

// unknownFix suggests the known key that shares the longest prefix.
func unknownFix(name string, known []string) string {
	best, bestLength := "", 2
	for _, candidate := range known {
		length := 0
		for length < len(name) && length < len(candidate) && name[length] == candidate[length] {
			length++
		}
		if length > bestLength {
			best, bestLength = candidate, length
		}
	}
	if best != "" {
		return fmt.Sprintf("did you mean %q?", best)
	}
	return "remove it or use one of: " + strings.Join(known, ", ")
}

func join(key, name string) string {
	if key == "" {
		return name
	}
	return key + "." + name
}
