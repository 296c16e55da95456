// Package strictyaml decodes YAML into structs and reports every problem with
// its line, column, key and a fix. Unknown and repeated keys are problems.
package strictyaml

import (
	"errors"
	"fmt"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"sync"
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

func (d *Document) value(at *path, node *yaml.Node, out reflect.Value) {
	switch {
	case node.Kind == yaml.AliasNode:
		// A short text of aliases to aliases expands to billions of values, on
		// every node at once.
		d.problem(at, node, "an alias is not taken", "write the value itself")
	case out.Kind() == reflect.Pointer && out.Type().Elem().Kind() == reflect.Struct:
		out.Set(reflect.New(out.Type().Elem()))
		d.value(at, node, out.Elem())
	case out.Kind() == reflect.Struct:
		d.mapping(at, node, out)
	case out.Kind() == reflect.Slice:
		d.sequence(at, node, out)
	default:
		d.scalar(at, node, out)
	}
}

func (d *Document) mapping(at *path, node *yaml.Node, out reflect.Value) {
	fields := fieldsOf(out.Type())
	if node.Kind != yaml.MappingNode {
		d.problem(at, node, "want a mapping of keys to values", "write one of: "+strings.Join(keysOf(fields), ", "))
		return
	}
	seen := make([]bool, len(fields))
	for i := 0; i+1 < len(node.Content); i += 2 {
		key := node.Content[i]
		way := &path{parent: at, name: key.Value}
		found := slices.IndexFunc(fields, func(one field) bool { return one.key == key.Value })
		switch {
		case found < 0:
			d.problem(way, key, "unknown key", unknownFix(key.Value, keysOf(fields)))
		case seen[found]:
			d.problem(way, key, "the key stands twice", "keep one of the two")
		default:
			seen[found] = true
			d.value(way, node.Content[i+1], out.FieldByIndex(fields[found].index))
		}
	}
}

func (d *Document) sequence(at *path, node *yaml.Node, out reflect.Value) {
	if node.Kind != yaml.SequenceNode {
		d.problem(at, node, "want a list", "write the values as - items or [a, b]")
		return
	}
	list := reflect.MakeSlice(out.Type(), len(node.Content), len(node.Content))
	for i, item := range node.Content {
		d.value(&path{parent: at, index: i}, item, list.Index(i))
	}
	out.Set(list)
}

func (d *Document) scalar(at *path, node *yaml.Node, out reflect.Value) {
	if node.Kind != yaml.ScalarNode {
		d.problem(at, node, "want one value, not a list or mapping", "write a single "+kindName(out))
		return
	}
	if out.Kind() == reflect.String && node.ShortTag() == "!!str" {
		// Most values are texts, and a decoder for each is most of the cost.
		out.SetString(node.Value)
		return
	}
	if err := node.Decode(out.Addr().Interface()); err != nil {
		var typeError *yaml.TypeError
		if !errors.As(err, &typeError) {
			d.problem(at, node, err.Error(), "write a "+kindName(out))
			return
		}
		d.problem(at, node, fmt.Sprintf("%q is not a %s", node.Value, kindName(out)), "write a "+kindName(out))
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

// field is a field that can be written, by its key. Those of an embedded struct
// count as fields of the outer one.
type field struct {
	key   string
	index []int
}

// knownFields holds the []field of each struct type decoded so far.
var knownFields sync.Map

// fieldsOf lists the fields of a struct that have a key.
func fieldsOf(structType reflect.Type) []field {
	if cached, ok := knownFields.Load(structType); ok {
		return cached.([]field)
	}
	var list []field
	for _, one := range reflect.VisibleFields(structType) {
		key, _, _ := strings.Cut(one.Tag.Get("yaml"), ",")
		if key != "" && key != "-" {
			list = append(list, field{key: key, index: one.Index})
		}
	}
	knownFields.Store(structType, list)
	return list
}

// keysOf lists the keys that can be written.
func keysOf(fields []field) []string {
	keys := make([]string, len(fields))
	for i, one := range fields {
		keys[i] = one.key
	}
	return keys
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
