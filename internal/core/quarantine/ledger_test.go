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

func fact(name string, life Incarnation, marks Fact) Record {
	return Record{Key: exactKey(name), Head: exactKey(name), Description: name, Facts: map[Incarnation]Fact{life: marks}}
}

func (l *Ledger) tell(name string, life Incarnation, marks Fact) { l.Merge(fact(name, life, marks), 0) }

func (l *Ledger) of(name string) Standing { return l.see(exactKey(name), 0) }

// A request ends the replicas of its first sends, then of one trial, then of a second one.
func TestARequestThatEndsReplicasUnderTrialsIsSetAside(t *testing.T) {
	l := NewLedger()
	for life := range Incarnation(20) {
		l.tell("deadly", life, Ended)
	}
	require.Equal(t, Suspect, l.of("deadly"))
	l.tell("deadly", 20, Trial|Ended)
	require.Equal(t, Suspect, l.of("deadly"), "one trial may be chance")
	l.tell("deadly", 21, Trial|Ended)
	require.Equal(t, SetAside, l.of("deadly"))
}

// A data centre loses hundreds of replicas at once, with the same popular question in work at each. However many they
// are, it is not refused for that.
func TestManyEndsAtOnceRefuseNothing(t *testing.T) {
	l := NewLedger()
	for life := range Incarnation(300) {
		l.tell("popular", life, Ended)
	}
	require.Equal(t, Suspect, l.of("popular"))
	l.MarkAnswered(Identity{Path: "popular"}.Names(), 0)
	require.Equal(t, Trusted, l.of("popular"))
}

// An innocent request is on trial at the replicas that the deadly one ends next. The ends count against the one
// that has more of them, and once it is known the other is not refused.
func TestEndsCountAgainstTheRequestThatHasMostOfThem(t *testing.T) {
	l := NewLedger()
	for life := range Incarnation(20) {
		l.tell("deadly", life, Ended)
	}
	for life := range Incarnation(5) {
		l.tell("beside", life, Ended)
	}
	for life := Incarnation(30); life < 33; life++ {
		l.tell("beside", life, Trial|Ended)
		l.tell("deadly", life, Trial|Ended)
	}
	require.Equal(t, Suspect, l.of("beside"))
	require.Equal(t, SetAside, l.of("deadly"))
}

// The innocent request's trials are heard of before the deadly one's ends at the same replicas: it is not refused any
// more once these are known.
func TestARefusalEndsWithTheFactsThatExplainIt(t *testing.T) {
	l := NewLedger()
	l.tell("beside", 1, Ended)
	l.tell("beside", 2, Trial|Ended)
	l.tell("beside", 3, Trial|Ended)
	require.Equal(t, SetAside, l.of("beside"))
	for life := Incarnation(2); life < 9; life++ {
		l.tell("deadly", life, Ended)
	}
	require.Equal(t, Suspect, l.of("beside"))
}

// A trial may end a replica without any node seeing that. The trials of a request that ended three are bounded all
// the same.
func TestTrialsWithoutAnAnswerAreBounded(t *testing.T) {
	l := NewLedger()
	for life := range Incarnation(3) {
		l.tell("deadly", life, Ended)
	}
	l.tell("deadly", 10, Trial)
	l.tell("deadly", 11, Trial)
	require.Equal(t, Suspect, l.of("deadly"))
	l.tell("deadly", 12, Trial)
	require.Equal(t, SetAside, l.of("deadly"))
}

// Two nodes hear the same facts in different orders, and twice. They treat the requests alike and have the same digest.
func TestTheOrderOfFactsDoesNotMatter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var facts []Record
		for range rapid.IntRange(1, 60).Draw(t, "facts") {
			name := fmt.Sprint("request-", rapid.IntRange(0, 3).Draw(t, "request"))
			one := fact(name, Incarnation(rapid.IntRange(0, 12).Draw(t, "life")), Fact(rapid.IntRange(1, 31).Draw(t, "marks")))
			for life := range one.Facts {
				one.Shards = map[Incarnation]Shard{life: Shard(life % 3)}
			}
			if rapid.Bool().Draw(t, "broad") {
				one.Key, one.Variants = exactKey(name+" broad"), map[uint64]struct{}{rapid.Uint64Range(0, 3).Draw(t, "variant"): {}}
			}
			facts = append(facts, one)
		}
		one, other := NewLedger(), NewLedger()
		for _, told := range facts {
			one.Merge(told, 0)
		}
		order := rapid.Permutation(facts).Draw(t, "order")
		for _, told := range append(order, facts...) {
			other.Merge(told, 0)
		}
		for _, told := range facts {
			require.Equal(t, one.see(told.Key, 0), other.see(told.Key, 0))
			for shard := range Shard(3) {
				require.Equal(t, one.seeShard(told.Key, shard), other.seeShard(told.Key, shard))
			}
		}
		require.Equal(t, one.Digest(), other.Digest())
	})
}

// A caller sends ten thousand different deadly requests. What is remembered stays bounded, and what is set aside and
// still comes is not forgotten for it.
func TestManyDeadlyRequestsStayWithinBounds(t *testing.T) {
	l := NewLedger()
	for life := range Incarnation(3) {
		l.tell("known", life, Trial|Ended)
	}
	require.Equal(t, SetAside, l.of("known"))
	for i := range 10000 {
		l.Merge(fact(fmt.Sprint("other-", i), Incarnation(100+i), Ended), core.Time(i))
	}
	require.LessOrEqual(t, l.Len(), maxRecords)
	require.LessOrEqual(t, len(l.at), maxRecords*maxFacts)
	require.LessOrEqual(t, len(l.heads), maxRecords)
	require.Equal(t, SetAside, l.of("known"))
}

// One request over very many shards ends thousands of replicas. The trials are kept, since they decide.
func TestTheReplicasOfOneRequestAreBounded(t *testing.T) {
	l := NewLedger()
	l.tell("deadly", 1<<40, Trial|Ended)
	l.tell("deadly", 1<<41, Trial|Ended)
	for life := range Incarnation(5000) {
		l.tell("deadly", life, Ended)
	}
	require.LessOrEqual(t, len(l.Get(exactKey("deadly")).Facts), maxFacts)
	require.Equal(t, SetAside, l.of("deadly"))
}

// A request that does not come for long is forgotten; one that comes is not.
func TestWhatDoesNotComeIsForgotten(t *testing.T) {
	l := NewLedger()
	for life := range Incarnation(3) {
		l.tell("deadly", life, Trial|Ended)
		l.tell("gone", 10+life, Trial|Ended)
	}
	names := Names{Exact: exactKey("deadly")}
	require.Equal(t, SetAside, l.Observe(names, 50*time.Minute))
	l.Expire(70 * time.Minute)
	require.Equal(t, SetAside, l.Observe(names, 70*time.Minute))
	require.Equal(t, Trusted, l.of("gone"))
	require.Len(t, l.at, 3)
}

// The same request comes with another query each time. Others on the same path are suspected until one of them is
// answered, and never refused.
func TestABroadNameIsClearedByWhateverBearsIt(t *testing.T) {
	search := func(query string) Names { return Identity{Path: "/search", Query: query}.Names() }
	tell := func(l *Ledger, query string, life Incarnation, marks Fact) {
		names := search(query)
		l.Merge(Record{Key: names.Exact, Facts: map[Incarnation]Fact{life: marks}}, 0)
		l.Merge(Record{Key: names.Broad, Facts: map[Incarnation]Fact{life: marks}, Variants: map[uint64]struct{}{uint64(names.Exact[0]): {}}}, 0)
	}
	l := NewLedger()
	for life := range Incarnation(20) {
		tell(l, "q=bad", life, Ended)
	}
	tell(l, "q=bad", 20, Trial|Ended)
	tell(l, "q=bad", 21, Trial|Ended)
	require.Equal(t, SetAside, l.Observe(search("q=bad"), 0))
	require.Equal(t, Suspect, l.Observe(search("q=good"), 0), "under one exact name alone nobody else is refused")
	l.MarkAnswered(search("q=good"), 0)
	require.Equal(t, Trusted, l.Observe(search("q=better"), 0))
	require.Equal(t, SetAside, l.Observe(search("q=bad"), 0))
	for life := Incarnation(30); life < 33; life++ {
		tell(l, fmt.Sprint("q=bad&page=", life), life, Trial|Ended)
	}
	require.Equal(t, SetAside, l.Observe(search("q=bad&page=99"), 0))
}

// Parts of one identity must not run into each other, or one request could be given the name of another.
func TestDifferentRequestsHaveDifferentNames(t *testing.T) {
	seen := map[Key]Identity{}
	for _, one := range []Identity{
		{}, {Method: "GET"}, {Host: "GET"}, {Path: "a", Query: "b"}, {Path: "ab"}, {Path: "a", Caller: "b"}, {Path: "a", Body: []byte("b")}, {Query: "a", Body: []byte("b")}, {Query: "ab"},
	} {
		key := one.Names().Exact
		require.NotContains(t, seen, key)
		seen[key] = one
	}
}

// BenchmarkNames is what a request costs while any other one is remembered.
func BenchmarkNames(b *testing.B) {
	one := Identity{Method: "GET", Host: "search.example", Path: "/all/9dfa92", Query: "page=13&sort=new", Caller: "Accept: */*\nUser-Agent: sdk-client/1.9.3\n"}
	ledger := NewLedger()
	ledger.tell("deadly", 1, Ended)
	b.ReportAllocs()
	for b.Loop() {
		if ledger.HasHead(one.HeadNames()) {
			b.Fatal("it is not known")
		}
	}
}

func shardFact(name string, life Incarnation, shard string, marks Fact) Record {
	one := fact(name, life, marks)
	one.Shards = map[Incarnation]Shard{life: ShardOf(shard)}
	return one
}

// Guards against answers of other shards clearing a request at the shard whose replicas it ends.
func TestAnswersOfOtherShardsDoNotClearARequestAtTheShardThatItEnds(t *testing.T) {
	l := NewLedger()
	names := Names{Exact: exactKey("deadly")}
	l.Merge(shardFact("deadly", 1, "a", Ended), 0)
	l.MarkAnswered(names, ShardOf("b"))
	require.Equal(t, Trusted, l.Observe(names, 0))
	require.Equal(t, Suspect, l.StandingAtShard(names, ShardOf("a")))
	require.Equal(t, Trusted, l.StandingAtShard(names, ShardOf("b")))
	for life := Incarnation(2); life < 4; life++ {
		l.Merge(shardFact("deadly", life, "a", Ended|ShardTrial), 0)
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
	for life := range Incarnation(50) {
		for _, name := range []string{"popular", "other"} {
			l.Merge(shardFact(name, life, "a", Ended|ShardTrial), 0)
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
	for life := range Incarnation(6) {
		names := search(fmt.Sprint("q=", life))
		marks := Ended
		if life >= 3 {
			marks = ShardTrial
		}
		l.Merge(Record{
			Key: names.Broad, Facts: map[Incarnation]Fact{life: marks}, Shards: map[Incarnation]Shard{life: ShardOf("a")},
			Variants: map[uint64]struct{}{uint64(life): {}},
		}, 0)
	}
	require.Equal(t, Suspect, l.StandingAtShard(search("q=new"), ShardOf("a")))
}
