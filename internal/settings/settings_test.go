package settings

import (
	"fmt"
	"os"
	"reflect"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// leafValues adds each leaf key of a settings struct with its value to into.
func leafValues(value reflect.Value, prefix string, into map[string]string) {
	for i := range value.NumField() {
		key := prefix + value.Type().Field(i).Tag.Get("yaml")
		if field := value.Field(i); field.Kind() == reflect.Struct {
			leafValues(field, key+".", into)
		} else {
			into[key] = fmt.Sprint(field.Interface())
		}
	}
}

func TestTheReferenceListsEverySettingWithItsDefault(t *testing.T) {
	var filled Settings
	ApplyDefaults(&filled)
	defaults := map[string]string{}
	leafValues(reflect.ValueOf(filled), "", defaults)
	listed := map[string]string{}
	for _, entry := range Reference() {
		listed[entry.Key] = strings.Replace(entry.Default, required, "", 1)
	}
	require.Equal(t, defaults, listed)
}

func TestTheSettingsPageIsUpToDate(t *testing.T) {
	page, err := os.ReadFile("../../docs/SETTINGS.md")
	require.NoError(t, err)
	require.Equal(t, Markdown(), string(page), "generate it with: go run ./cmd/pistachiopier settings --markdown > docs/SETTINGS.md")
}

func TestInvalidSettingsNameTheKeyAndTheProblem(t *testing.T) {
	_, err := Parse([]byte("node: a\ncaller_address: here\nlimits: {connections: -1, body_timeout: -1s}\nnights: 1\n"))
	require.Error(t, err)
	for _, part := range []string{"nights", "line 4"} {
		require.ErrorContains(t, err, part)
	}
	_, err = Parse([]byte("node: a\ncaller_address: here\nlimits: {connections: -1, body_timeout: -1s, in_flight: -1, headroom: -1}\n"))
	for _, part := range []string{"caller_address", "is not IP:PORT", "limits.connections", "limits.body_timeout", "limits.in_flight", "limits.headroom", "data_centre"} {
		require.ErrorContains(t, err, part)
	}
}

// Guards against settings that keep outcomes for a shorter time than keys may run:
// a late retry would find no record and run a non-idempotent request again.
func TestOutcomesAreKeptLongerThanKeysMayRun(t *testing.T) {
	_, err := Parse([]byte("once: {accept: 5m, max_run: 1m, retain: 6m}\n"))
	require.ErrorContains(t, err, "once.retain")
	_, err = Parse([]byte("once: {accept: 5m, max_run: 1m, retain: 7m}\n"))
	require.NotContains(t, err.Error(), "once.retain")
}
