package quarantine

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/pistachiopier/pistachiopier/internal/core"
)

func exactKey(name string) Key { return Identity{Path: name}.Names().Exact }

func newFact(name string, incarnation Incarnation, marks Fact) Record {
	return Record{Key: exactKey(name), Head: exactKey(name), Description: name, Facts: map[Incarnation]Fact{incarnation: marks}}
}

func (l *Ledger) merge(name string, id Incarnation, marks Fact) { l.Merge(newFact(name, id, marks), 0) }

func (l *Ledger) standingOf(name string) Standing { return l.observe(exactKey(name), 0) }

// Guards against setting a request aside without confirmation: it takes the ends of two trials in addition to those of
// its first sends.
func TestARequestThatEndsReplicasUnderTrialsIsSetAside(t *testing.T) {
	l := NewLedger()
	for incarnation := range Incarnation(20) {
		l.merge("deadly", incarnation, Ended)
	}
	require.Equal(t, Suspect, l.standingOf("deadly"))
	l.merge("deadly", 20, Trial|Ended)
	require.Equal(t, Suspect, l.standingOf("deadly"), "one ended trial may be chance")
	l.merge("deadly", 21, Trial|Ended)
	require.Equal(t, SetAside, l.standingOf("deadly"))
}

// Guards against rejecting a frequent query because a data centre lost hundreds of replicas while it was in flight at
// each of them: without trials it stays suspect, however many replicas ended.
func TestManyEndsAtOnceRefuseNothing(t *testing.T) {
	l := NewLedger()
	for incarnation := range Incarnation(300) {
		l.merge("popular", incarnation, Ended)
	}
	require.Equal(t, Suspect, l.standingOf("popular"))
	l.MarkAnswered(Identity{Path: "popular"}.Names(), 0)
	require.Equal(t, Trusted, l.standingOf("popular"))
}

// Guards against rejecting a harmless request whose trials run at replicas that the harmful request ends: such ends
// count against the request with more ends.
func TestEndsCountAgainstTheRequestThatHasMostOfThem(t *testing.T) {
	l := NewLedger()
	for incarnation := range Incarnation(20) {
		l.merge("deadly", incarnation, Ended)
	}
	for incarnation := range Incarnation(5) {
		l.merge("beside", incarnation, Ended)
	}
	for incarnation := Incarnation(30); incarnation < 33; incarnation++ {
		l.merge("beside", incarnation, Trial|Ended)
		l.merge("deadly", incarnation, Trial|Ended)
	}
	require.Equal(t, Suspect, l.standingOf("beside"))
	require.Equal(t, SetAside, l.standingOf("deadly"))
}

// Guards against a lasting rejection of a harmless request whose trials become known before the ends of the harmful
// request at the same replicas: the rejection must end once those are known.
func TestARefusalEndsOnceAnotherRequestExplainsTheTrials(t *testing.T) {
	l := NewLedger()
	l.merge("beside", 1, Ended)
	l.merge("beside", 2, Trial|Ended)
	l.merge("beside", 3, Trial|Ended)
	require.Equal(t, SetAside, l.standingOf("beside"))
	for incarnation := Incarnation(2); incarnation < 9; incarnation++ {
		l.merge("deadly", incarnation, Ended)
	}
	require.Equal(t, Suspect, l.standingOf("beside"))
}

// Guards against unlimited trials where no node observes that a trial ended a replica: the trials of a request under
// which three replicas ended are limited too.
func TestTrialsWithoutAnAnswerAreBounded(t *testing.T) {
	l := NewLedger()
	for incarnation := range Incarnation(3) {
		l.merge("deadly", incarnation, Ended)
	}
	l.merge("deadly", 10, Trial)
	l.merge("deadly", 11, Trial)
	require.Equal(t, Suspect, l.standingOf("deadly"))
	l.merge("deadly", 12, Trial)
	require.Equal(t, SetAside, l.standingOf("deadly"))
}

// Two nodes receive the same facts in different orders, one of them twice. Standings and digests must be equal.
func TestTheOrderOfFactsDoesNotMatter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var facts []Record
		for range rapid.IntRange(1, 60).Draw(t, "facts") {
			name := fmt.Sprint("request-", rapid.IntRange(0, 3).Draw(t, "request"))
			record := newFact(name, Incarnation(rapid.IntRange(0, 12).Draw(t, "life")), Fact(rapid.IntRange(1, 31).Draw(t, "marks")))
			for incarnation := range record.Facts {
				record.Shards = map[Incarnation]Shard{incarnation: Shard(incarnation % 3)}
			}
			if rapid.Bool().Draw(t, "broad") {
				record.Key, record.Variants = exactKey(name+" broad"), map[uint64]struct{}{rapid.Uint64Range(0, 3).Draw(t, "variant"): {}}
			}
			facts = append(facts, record)
		}
		first, second := NewLedger(), NewLedger()
		for _, update := range facts {
			first.Merge(update, 0)
		}
		order := rapid.Permutation(facts).Draw(t, "order")
		for _, update := range append(order, facts...) {
			second.Merge(update, 0)
		}
		for _, update := range facts {
			require.Equal(t, first.observe(update.Key, 0), second.observe(update.Key, 0))
			for shard := range Shard(3) {
				require.Equal(t, first.standingAtShard(update.Key, shard), second.standingAtShard(update.Key, shard))
			}
		}
		require.Equal(t, first.Digest(), second.Digest())
	})
}

// Guards against unbounded memory when a caller sends ten thousand different harmful requests, and against evicting a
// request that is set aside in favour of them.
func TestManyDeadlyRequestsStayWithinBounds(t *testing.T) {
	l := NewLedger()
	for incarnation := range Incarnation(3) {
		l.merge("known", incarnation, Trial|Ended)
	}
	require.Equal(t, SetAside, l.standingOf("known"))
	for i := range 10000 {
		l.Merge(newFact(fmt.Sprint("other-", i), Incarnation(100+i), Ended), core.Time(i))
	}
	require.LessOrEqual(t, l.Len(), maxRecords)
	require.LessOrEqual(t, len(l.keysByIncarnation), maxRecords*maxFacts)
	require.LessOrEqual(t, len(l.headCounts), maxRecords)
	require.Equal(t, SetAside, l.standingOf("known"))
}

// Guards against unbounded facts when one request over many shards ends thousands of replicas. Facts of trials must be
// kept, because the standing depends on them.
func TestReplicasOfOneRequestAreBounded(t *testing.T) {
	l := NewLedger()
	l.merge("deadly", 1<<40, Trial|Ended)
	l.merge("deadly", 1<<41, Trial|Ended)
	for incarnation := range Incarnation(5000) {
		l.merge("deadly", incarnation, Ended)
	}
	require.LessOrEqual(t, len(l.Get(exactKey("deadly")).Facts), maxFacts)
	require.Equal(t, SetAside, l.standingOf("deadly"))
}

// A record expires if its request is not received for an hour; each request received renews it.
func TestRequestsNotSeenForAnHourExpire(t *testing.T) {
	l := NewLedger()
	for incarnation := range Incarnation(3) {
		l.merge("deadly", incarnation, Trial|Ended)
		l.merge("gone", 10+incarnation, Trial|Ended)
	}
	names := Names{Exact: exactKey("deadly")}
	require.Equal(t, SetAside, l.Observe(names, 50*time.Minute))
	l.Expire(70 * time.Minute)
	require.Equal(t, SetAside, l.Observe(names, 70*time.Minute))
	require.Equal(t, Trusted, l.standingOf("gone"))
	require.Len(t, l.keysByIncarnation, 3)
}

// The same request is repeated with another query each time. Other requests to the same path are suspect until one of
// them is answered, and are not rejected while replicas ended under one exact name only.
func TestABroadNameIsClearedByAnyRequestThatHasIt(t *testing.T) {
	search := func(query string) Names { return Identity{Path: "/search", Query: query}.Names() }
	merge := func(l *Ledger, query string, incarnation Incarnation, marks Fact) {
		names := search(query)
		l.Merge(Record{Key: names.Exact, Facts: map[Incarnation]Fact{incarnation: marks}}, 0)
		l.Merge(Record{Key: names.Broad, Facts: map[Incarnation]Fact{incarnation: marks}, Variants: map[uint64]struct{}{uint64(names.Exact[0]): {}}}, 0)
	}
	l := NewLedger()
	for incarnation := range Incarnation(20) {
		merge(l, "q=bad", incarnation, Ended)
	}
	merge(l, "q=bad", 20, Trial|Ended)
	merge(l, "q=bad", 21, Trial|Ended)
	require.Equal(t, SetAside, l.Observe(search("q=bad"), 0))
	require.Equal(t, Suspect, l.Observe(search("q=good"), 0), "replicas ended under one exact name only: other requests are not rejected")
	l.MarkAnswered(search("q=good"), 0)
	require.Equal(t, Trusted, l.Observe(search("q=better"), 0))
	require.Equal(t, SetAside, l.Observe(search("q=bad"), 0))
	for incarnation := Incarnation(30); incarnation < 33; incarnation++ {
		merge(l, fmt.Sprint("q=bad&page=", incarnation), incarnation, Trial|Ended)
	}
	require.Equal(t, SetAside, l.Observe(search("q=bad&page=99"), 0))
}

// Guards against parts of an identity running into each other, which would give two requests the same name.
func TestDifferentRequestsHaveDifferentNames(t *testing.T) {
	seen := map[Key]Identity{}
	for _, identity := range []Identity{
		{}, {Method: "GET"}, {Host: "GET"}, {Path: "a", Query: "b"}, {Path: "ab"}, {Path: "a", Caller: "b"}, {Path: "a", Body: []byte("b")}, {Query: "a", Body: []byte("b")}, {Query: "ab"},
	} {
		key := identity.Names().Exact
		require.NotContains(t, seen, key)
		seen[key] = identity
	}
}

// BenchmarkNames measures the cost of a request while another request has a record.
func BenchmarkNames(b *testing.B) {
	identity := Identity{Method: "GET", Host: "search.example", Path: "/all/9dfa92", Query: "page=13&sort=new", Caller: "Accept: */*\nUser-Agent: sdk-client/1.9.3\n"}
	ledger := NewLedger()
	ledger.merge("deadly", 1, Ended)
	b.ReportAllocs()
	for b.Loop() {
		if ledger.HasHead(identity.HeadNames()) {
			b.Fatal("the ledger has a record of this request")
		}
	}
}

func newShardFact(name string, incarnation Incarnation, shard string, marks Fact) Record {
	record := newFact(name, incarnation, marks)
	record.Shards = map[Incarnation]Shard{incarnation: ShardOf(shard)}
	return record
}

// Guards against answers of other shards clearing a request at the shard whose replicas it ends.
func TestAnswersOfOtherShardsDoNotClearARequestAtTheShardThatItEnds(t *testing.T) {
	l := NewLedger()
	names := Names{Exact: exactKey("deadly")}
	l.Merge(newShardFact("deadly", 1, "a", Ended), 0)
	l.MarkAnswered(names, ShardOf("b"))
	require.Equal(t, Trusted, l.Observe(names, 0))
	require.Equal(t, Suspect, l.StandingAtShard(names, ShardOf("a")))
	require.Equal(t, Trusted, l.StandingAtShard(names, ShardOf("b")))
	for incarnation := Incarnation(2); incarnation < 4; incarnation++ {
		l.Merge(newShardFact("deadly", incarnation, "a", Ended|ShardTrial), 0)
		l.MarkAnswered(names, ShardOf("b"))
	}
	require.Equal(t, Trusted, l.Observe(names, 0))
	require.Equal(t, SetAside, l.StandingAtShard(names, ShardOf("a")))
	require.NotZero(t, l.Digest())
	l.MarkAnswered(names, ShardOf("a"))
	require.Equal(t, Trusted, l.StandingAtShard(names, ShardOf("a")))
}

// Guards against setting aside frequent requests at a shard whose replicas crash repeatedly: an answer of the shard
// between two crashes clears them there.
func TestRepeatedCrashesOfAShardSetNothingAside(t *testing.T) {
	l := NewLedger()
	for incarnation := range Incarnation(50) {
		for _, name := range []string{"popular", "other"} {
			l.Merge(newShardFact(name, incarnation, "a", Ended|ShardTrial), 0)
			require.NotEqual(t, SetAside, l.StandingAtShard(Names{Exact: exactKey(name)}, ShardOf("a")))
		}
		l.MarkAnswered(Names{Exact: exactKey("popular")}, ShardOf("a"))
		l.MarkAnswered(Names{Exact: exactKey("other")}, ShardOf("a"))
	}
}

// Guards against setting a broad name aside at a shard whose replicas crashed with searches on one path in flight and then
// stopped responding: other searches on that path must not be rejected there.
func TestAnUnresponsiveShardDoesNotSetABroadNameAside(t *testing.T) {
	l := NewLedger()
	search := func(query string) Names { return Identity{Path: "/search", Query: query}.Names() }
	for incarnation := range Incarnation(6) {
		names := search(fmt.Sprint("q=", incarnation))
		marks := Ended
		if incarnation >= 3 {
			marks = ShardTrial
		}
		l.Merge(Record{
			Key: names.Broad, Facts: map[Incarnation]Fact{incarnation: marks}, Shards: map[Incarnation]Shard{incarnation: ShardOf("a")},
			Variants: map[uint64]struct{}{uint64(incarnation): {}},
		}, 0)
	}
	require.Equal(t, Suspect, l.StandingAtShard(search("q=new"), ShardOf("a")))
}
