package strictyaml

import (
	"fmt"
	"reflect"
	"strings"
	"sync"
)

// field is a struct field with a yaml key. Fields of an embedded struct count as
// fields of the outer struct.
type field struct {
	key   string
	index []int
}

// fieldCache caches the []field of each struct type.
var fieldCache sync.Map

// fieldsOf lists the fields of a struct that have a yaml key.
func fieldsOf(structType reflect.Type) []field {
	if cached, ok := fieldCache.Load(structType); ok {
		return cached.([]field)
	}
	var list []field
	for _, f := range reflect.VisibleFields(structType) {
		key, _, _ := strings.Cut(f.Tag.Get("yaml"), ",")
		if key != "" && key != "-" {
			list = append(list, field{key: key, index: f.Index})
		}
	}
	fieldCache.Store(structType, list)
	return list
}

// keysOf lists the keys of the fields.
func keysOf(fields []field) []string {
	keys := make([]string, len(fields))
	for i, f := range fields {
		keys[i] = f.key
	}
	return keys
}

// unknownKeyFix suggests the known key with the longest common prefix, of at least
// three bytes.
func unknownKeyFix(name string, known []string) string {
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
