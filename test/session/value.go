package session

import (
	"fmt"
	"reflect"
	"strconv"
	"strings"
	"time"
	"unicode"

	"github.com/pistachiopier/pistachiopier/internal/core"
)

// setFields sets the fields of a struct, given by pointer, from a line's fields. It
// finds them by name, so that new fields of a machine's type need no change here.
func setFields(l line, out any) error {
	value := reflect.ValueOf(out).Elem()
	for _, f := range l.fields {
		target, ok := findField(value, f.key)
		if !ok {
			return l.errorf("%s has no field %q", snakeCase(value.Type().Name()), f.key)
		}
		if err := setValue(target, f.value); err != nil {
			return l.errorf("%s: %v", f.key, err)
		}
	}
	return nil
}

func findField(value reflect.Value, key string) (reflect.Value, bool) {
	for i := range value.NumField() {
		structField := value.Type().Field(i)
		if structField.IsExported() && snakeCase(structField.Name) == key {
			return value.Field(i), true
		}
	}
	return reflect.Value{}, false
}

// setValue parses one value by the type of its target.
func setValue(target reflect.Value, text string) error {
	switch target.Type() {
	case reflect.TypeFor[time.Duration]():
		duration, err := time.ParseDuration(text)
		target.SetInt(int64(duration))
		return err
	case reflect.TypeFor[core.Outcome]():
		return setOutcome(target, text)
	case reflect.TypeFor[[]byte]():
		target.SetBytes([]byte(text))
		return nil
	}
	switch target.Kind() {
	case reflect.String:
		target.SetString(text)
		return nil
	case reflect.Slice:
		return setList(target, text)
	case reflect.Bool:
		parsed, err := strconv.ParseBool(text)
		target.SetBool(parsed)
		return err
	case reflect.Int, reflect.Int64:
		parsed, err := strconv.ParseInt(text, 10, 64)
		target.SetInt(parsed)
		return err
	case reflect.Uint8, reflect.Uint32, reflect.Uint64:
		parsed, err := strconv.ParseUint(text, 10, 64)
		target.SetUint(parsed)
		return err
	case reflect.Float64:
		parsed, err := strconv.ParseFloat(text, 64)
		target.SetFloat(parsed)
		return err
	default:
		return fmt.Errorf("values of type %s are not supported in sessions", target.Type())
	}
}

func setList(target reflect.Value, text string) error {
	texts := strings.Split(text, ",")
	list := reflect.MakeSlice(target.Type(), len(texts), len(texts))
	for i, item := range texts {
		if err := setValue(list.Index(i), item); err != nil {
			return err
		}
	}
	target.Set(list)
	return nil
}

func setOutcome(target reflect.Value, text string) error {
	for _, outcome := range []core.Outcome{core.Unknown, core.Done, core.NotRun} {
		if outcome.String() == text {
			target.SetUint(uint64(outcome))
			return nil
		}
	}
	return fmt.Errorf("%q is not one of unknown, done and not_run", text)
}

// valueNamer returns the name that sessions use for a field's value; false if the
// value is printed according to its type.
type valueNamer func(field string, value any) (string, bool)

// render formats a struct as its type's name and the fields that are not zero.
func render(value any, name valueNamer) string {
	v := reflect.ValueOf(value)
	return snakeCase(v.Type().Name()) + renderFields(v, name)
}

func renderFields(v reflect.Value, name valueNamer) string {
	var b strings.Builder
	for i := range v.NumField() {
		structField := v.Type().Field(i)
		if !structField.IsExported() || v.Field(i).IsZero() {
			continue
		}
		b.WriteString(" " + snakeCase(structField.Name) + "=" + renderValue(structField.Name, v.Field(i), name))
	}
	return b.String()
}

func renderValue(field string, v reflect.Value, name valueNamer) string {
	if text, ok := name(field, v.Interface()); ok {
		return text
	}
	if text, ok := v.Interface().([]byte); ok {
		return string(text)
	}
	if stringer, ok := v.Interface().(fmt.Stringer); ok {
		return stringer.String()
	}
	switch v.Kind() {
	case reflect.Struct:
		return "{" + strings.TrimSpace(renderFields(v, name)) + "}"
	case reflect.Slice:
		items := make([]string, 0, v.Len())
		for i := range v.Len() {
			items = append(items, renderValue(field, v.Index(i), name))
		}
		return "[" + strings.Join(items, " ") + "]"
	default:
		return fmt.Sprint(v.Interface())
	}
}

// snakeCase converts a Go name to snake case.
func snakeCase(name string) string {
	var b strings.Builder
	previousLower := false
	for _, r := range name {
		if unicode.IsUpper(r) && previousLower {
			b.WriteByte('_')
		}
		previousLower = unicode.IsLower(r) || unicode.IsDigit(r)
		b.WriteRune(unicode.ToLower(r))
	}
	return b.String()
}
