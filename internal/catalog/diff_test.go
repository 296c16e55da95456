package catalog

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func parsed(t *testing.T, text string) *Catalog {
	t.Helper()
	c, err := Parse([]byte(text))
	require.NoError(t, err)
	return c
}

const diffBase = `version: 1
indexes: [i]
customers: [{name: big, weight: 4}]
services:
  - name: a
    index: i
    shards:
      - replicas: [{address: "10.0.0.1:1"}, {address: "10.0.0.2:1"}]
      - replicas: [{address: "10.0.0.3:1"}]
  - name: b
    index: i
    shards:
      - replicas: [{address: "10.0.0.4:1"}]
`

func TestDiffListsTheEffectsOfAChange(t *testing.T) {
	after := strings.NewReplacer(
		`{address: "10.0.0.1:1"}`, `{address: "10.0.0.1:1", draining: true}`,
		`{address: "10.0.0.2:1"}`, `{address: "10.0.0.5:1"}`,
		`      - replicas: [{address: "10.0.0.3:1"}]`+"\n", "",
		"name: b\n", "name: c\n    slots: 3\n",
		"weight: 4", "weight: 2",
	).Replace(diffBase)
	d := Diff(parsed(t, diffBase), parsed(t, after))
	assert.Equal(t, []string{"c"}, d.ServicesAdded)
	assert.Equal(t, []string{"b"}, d.ServicesRemoved)
	assert.Empty(t, d.ServicesChanged)
	assert.Equal(t, []string{"c/0"}, d.ShardsAdded)
	assert.Equal(t, []string{"a/1", "b/0"}, d.ShardsRemoved)
	assert.Equal(t, []ReplicaPlacement{{Shard: "a/0", Address: "10.0.0.5:1"}, {Shard: "c/0", Address: "10.0.0.4:1"}}, d.ReplicasAdded)
	assert.Len(t, d.ReplicasRemoved, 3)
	assert.Equal(t, []ReplicaPlacement{{Shard: "a/0", Address: "10.0.0.1:1"}}, d.DrainsBegun)
	assert.Equal(t, []SettingChange{{"big", "weight 4, in_flight 256", "weight 2, in_flight 256"}}, d.Customers)
	assert.Equal(t, 1, d.BundlesKept)
	assert.Len(t, d.BundlesMoved, 3, "a/1 and b/0 are gone, c/0 is new")

	changed := Diff(parsed(t, diffBase), parsed(t, strings.Replace(diffBase, "name: b\n", "name: b\n    slots: 3\n", 1)))
	assert.Equal(t, []ServiceChange{{"b", []SettingChange{{"slots", "2", "3"}}}}, changed.ServicesChanged)
	ended := Diff(parsed(t, after), parsed(t, strings.Replace(after, ", draining: true", "", 1)))
	assert.Len(t, ended.DrainsEnded, 1)
	assert.True(t, Diff(parsed(t, diffBase), parsed(t, diffBase+"# only a comment\n")).Empty())
}
