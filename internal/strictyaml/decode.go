package strictyaml

import (
	"errors"
	"fmt"
	"reflect"
	"slices"
	"strings"
	"time"

	"go.yaml.in/yaml/v3"
)

// value decodes a node by the kind of what it is to fill.
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

// scalar decodes a single value: a text, number, duration, true or false.
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

// kindName says in words what can be written.
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
