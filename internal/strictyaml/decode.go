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

// decodeValue decodes a node according to the kind of out.
func (d *Document) decodeValue(at *path, node *yaml.Node, out reflect.Value) {
	switch {
	case node.Kind == yaml.AliasNode:
		// A short text with nested aliases can expand to billions of values, on
		// every node at once.
		d.reportNode(at, node, "aliases are not supported", "write the value itself")
	case out.Kind() == reflect.Pointer && out.Type().Elem().Kind() == reflect.Struct:
		out.Set(reflect.New(out.Type().Elem()))
		d.decodeValue(at, node, out.Elem())
	case out.Kind() == reflect.Struct:
		d.decodeMapping(at, node, out)
	case out.Kind() == reflect.Slice:
		d.decodeSequence(at, node, out)
	default:
		d.decodeScalar(at, node, out)
	}
}

func (d *Document) decodeMapping(at *path, node *yaml.Node, out reflect.Value) {
	fields := fieldsOf(out.Type())
	if node.Kind != yaml.MappingNode {
		d.reportNode(at, node, "expected a mapping of keys to values", "write one of: "+strings.Join(keysOf(fields), ", "))
		return
	}
	seen := make([]bool, len(fields))
	for i := 0; i+1 < len(node.Content); i += 2 {
		key := node.Content[i]
		keyPath := &path{parent: at, name: key.Value}
		matched := slices.IndexFunc(fields, func(f field) bool { return f.key == key.Value })
		switch {
		case matched < 0:
			d.reportNode(keyPath, key, "unknown key", unknownKeyFix(key.Value, keysOf(fields)))
		case seen[matched]:
			d.reportNode(keyPath, key, "duplicate key", "keep one of the two")
		default:
			seen[matched] = true
			d.decodeValue(keyPath, node.Content[i+1], out.FieldByIndex(fields[matched].index))
		}
	}
}

func (d *Document) decodeSequence(at *path, node *yaml.Node, out reflect.Value) {
	if node.Kind != yaml.SequenceNode {
		d.reportNode(at, node, "expected a list", "write the values as - items or [a, b]")
		return
	}
	list := reflect.MakeSlice(out.Type(), len(node.Content), len(node.Content))
	for i, item := range node.Content {
		d.decodeValue(&path{parent: at, index: i}, item, list.Index(i))
	}
	out.Set(list)
}

// decodeScalar decodes a string, number, duration or boolean.
func (d *Document) decodeScalar(at *path, node *yaml.Node, out reflect.Value) {
	if node.Kind != yaml.ScalarNode {
		d.reportNode(at, node, "expected a single value, not a list or mapping", "write a single "+kindName(out))
		return
	}
	if out.Kind() == reflect.String && node.ShortTag() == "!!str" {
		// Most values are strings, and node.Decode creates a decoder for each
		// value, which is most of the cost.
		out.SetString(node.Value)
		return
	}
	if err := node.Decode(out.Addr().Interface()); err != nil {
		var typeError *yaml.TypeError
		if !errors.As(err, &typeError) {
			d.reportNode(at, node, err.Error(), "write a "+kindName(out))
			return
		}
		d.reportNode(at, node, fmt.Sprintf("%q is not a %s", node.Value, kindName(out)), "write a "+kindName(out))
	}
}

// kindName describes the values that the kind accepts, for messages.
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
