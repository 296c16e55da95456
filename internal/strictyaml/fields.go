package strictyaml

import (
	"fmt"
	"reflect"
	"strings"
	"sync"
)

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
