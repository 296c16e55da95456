package policy

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func TestFindReturnsTheLongestPrefixOfTheHost(t *testing.T) {
	short := &Route{Name: "short", Host: "search.example", Prefix: "/a/"}
	long := &Route{Name: "long", Host: "search.example", Prefix: "/a/b/"}
	other := &Route{Name: "other", Host: "other.example", Prefix: "/a/b/c/"}
	config := &Config{Routes: []*Route{short, long, other}}
	config.Index()
	require.Equal(t, long, config.Find("search.example", "/a/b/c/d"))
	require.Equal(t, long, config.Find("Search.Example:8104", "/a/b/"))
	require.Equal(t, short, config.Find("search.example", "/a/bc"))
	require.Nil(t, config.Find("search.example", "/a"))
	require.Equal(t, "[::1]", withoutPort("[::1]:80"))
	require.Equal(t, "[::1]", withoutPort("[::1]"))
	require.Nil(t, config.Find("nobody.example", "/a/b/"))
}

func TestMinPartsRoundsUpDespiteBinaryFractions(t *testing.T) {
	shards := make([]string, 20)
	require.Equal(t, 15, (&Gather{Shards: shards, MinCoverage: 0.75}).MinParts())
	require.Equal(t, 18, (&Gather{Shards: shards, MinCoverage: 0.89}).MinParts())
	require.Equal(t, 18, (&Gather{Shards: shards, MinCoverage: 0.9}).MinParts())
	require.Equal(t, 1, (&Gather{Shards: shards}).MinParts())
	require.Equal(t, 20, (&Gather{Shards: shards, MinCoverage: 1.5}).MinParts())
}

// An operator moves a tenth of a route with little traffic to a new service and watches the counts. A random split may
// have sent it none or eight of 40 requests.
func TestSharesAreExactAtLowCounts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		weights := rapid.SliceOfN(rapid.IntRange(1, 20), 2, 5).Draw(t, "weights")
		count := rapid.IntRange(1, 200).Draw(t, "count")
		route := &Route{Name: "r"}
		total := 0
		for i, weight := range weights {
			route.Shares = append(route.Shares, Share{Service: string(rune('a' + i)), Weight: float64(weight)})
			total += weight
		}
		splitter := NewSplitter()
		got := map[string]int{}
		for range count {
			got[splitter.Next(route)]++
		}
		for i, weight := range weights {
			expected := float64(count) * float64(weight) / float64(total)
			require.InDelta(t, expected, got[route.Shares[i].Service], float64(len(weights)))
		}
	})
}

func TestAServiceWithoutWeightGetsNoRequests(t *testing.T) {
	route := &Route{Name: "r", Shares: []Share{{"old", 0}, {"new", 1}}}
	splitter := NewSplitter()
	for range 10 {
		require.Equal(t, "new", splitter.Next(route))
	}
	require.Empty(t, splitter.Next(&Route{Name: "none", Shares: []Share{{"a", 0}, {"b", 0}}}))
}
