package load

import (
	"bytes"
	"context"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sebdah/goldie/v2"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/pistachiopier/pistachiopier/internal/core"
)

type senderFunc func(ctx context.Context, request Request) Reply

func (f senderFunc) Send(ctx context.Context, request Request) Reply { return f(ctx, request) }

func answer(answered int) Reply { return Reply{Outcome: "done", Asked: 20, Answered: answered} }

func profile() Profile {
	return Profile{
		Arrivals:       ArrivalsFixed,
		Rate:           100,
		Duration:       time.Second,
		MaxRequests:    1000,
		MaxOutstanding: 1000,
		Mix:            []MixEntry{{Customer: "large", Service: "search", Weight: 3}, {Customer: "small", Service: "search", Weight: 1}},
		Seed:           7,
	}
}

// A server stalls for half a second while requests keep arriving. A closed-loop
// load generator, which waits for each reply, sends one request in that time and
// reports one late reply; open-loop arrivals show all fifty.
func TestStalledServerRaisesEveryLatency(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		started := time.Now()
		stalled := senderFunc(func(context.Context, Request) Reply {
			at := time.Since(started)
			if at >= 200*time.Millisecond && at < 700*time.Millisecond {
				time.Sleep(700*time.Millisecond - at)
			}
			time.Sleep(time.Millisecond)
			return answer(20)
		})
		recorder := NewRecorder()
		require.NoError(t, Run(t.Context(), profile(), stalled, recorder))
		require.Equal(t, 100, recorder.All.Requests)
		require.InDelta(t, 1, Millis(recorder.All.Quantile(0.49)), 0.01)
		require.InDelta(t, 251, Millis(recorder.All.Quantile(0.75)), 10)
		require.InDelta(t, 501, Millis(recorder.All.Quantile(1)), 1)
	})
}

// The load generator itself is delayed and sends a request late. The latency
// must count from the scheduled arrival.
func TestLatencyCountsFromTheScheduledArrival(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		recorder := NewRecorder()
		r := &runner{sender: senderFunc(func(context.Context, Request) Reply { return answer(20) }), recorder: recorder, slots: make(chan struct{}, 1)}
		scheduled := time.Now()
		time.Sleep(30 * time.Millisecond)
		r.send(t.Context(), profile().Mix[0], scheduled)
		r.inFlight.Wait()
		require.InDelta(t, 30, Millis(recorder.All.Quantile(1)), 0.1)
	})
}

func TestLoadIsBounded(t *testing.T) {
	neverReplies := senderFunc(func(ctx context.Context, _ Request) Reply {
		<-ctx.Done()
		return Reply{Outcome: "unknown", Code: "lost"}
	})
	for _, test := range []struct {
		name   string
		alter  func(*Profile)
		sent   int
		unsent int
	}{
		{"outstanding", func(p *Profile) { p.MaxOutstanding = 5 }, 5, 95},
		{"number", func(p *Profile) { p.MaxRequests = 12 }, 12, 0},
		{"time", func(p *Profile) { p.Duration = 300 * time.Millisecond }, 30, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := profile()
				test.alter(&p)
				ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
				defer cancel()
				recorder := NewRecorder()
				require.NoError(t, Run(ctx, p, neverReplies, recorder))
				require.Equal(t, test.sent, recorder.All.Requests)
				require.Equal(t, test.unsent, recorder.All.Unsent)
				require.Equal(t, test.sent, recorder.All.Outcomes["unknown/lost"])
			})
		})
	}
	unbounded := profile()
	unbounded.MaxOutstanding = 0
	require.Error(t, Run(t.Context(), unbounded, neverReplies, NewRecorder()))
}

func TestScheduleIsDeterministicForASeed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		kind := rapid.SampledFrom([]Arrivals{ArrivalsFixed, ArrivalsPoisson, ArrivalsBursty}).Draw(t, "kind")
		rate := rapid.Float64Range(10, 5000).Draw(t, "rate")
		seed := rapid.Uint64().Draw(t, "seed")
		first := newSchedule(kind, rate, rand.New(rand.NewPCG(seed, seedSchedule)))
		second := newSchedule(kind, rate, rand.New(rand.NewPCG(seed, seedSchedule)))
		const arrivals = 2000
		var last time.Duration
		for range arrivals {
			next := first.offset()
			require.Equal(t, next, second.offset())
			require.GreaterOrEqual(t, next, last)
			last = next
		}
		require.InEpsilon(t, arrivals/rate, last.Seconds(), 0.15)
	})
}

// Merging the recorders of two halves of a load must equal one recorder of the whole.
func TestMergeEqualsOneRecorder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		whole, first, second := NewRecorder(), NewRecorder(), NewRecorder()
		shares := profile().Mix
		for range rapid.IntRange(1, 200).Draw(t, "requests") {
			share := rapid.SampledFrom(shares).Draw(t, "share")
			latency := time.Duration(rapid.Int64Range(0, int64(time.Second)).Draw(t, "latency"))
			reply := rapid.SampledFrom([]Reply{answer(20), answer(3), {Outcome: "not_run", Code: "overloaded"}}).Draw(t, "reply")
			half := rapid.SampledFrom([]*Recorder{first, second}).Draw(t, "half")
			whole.add(share, latency, reply)
			half.add(share, latency, reply)
		}
		first.Merge(second)
		got, want := first.Report("", 1), whole.Report("", 1)
		require.InDelta(t, want.All.MeanCoverage, got.All.MeanCoverage, 1e-9)
		got.All.MeanCoverage = want.All.MeanCoverage
		require.Equal(t, want.All, got.All)
		require.Equal(t, want.series, got.series)
		require.Len(t, got.Customers, len(want.Customers))
	})
}

func TestReportGolden(t *testing.T) {
	recorder := NewRecorder()
	for i := range 1000 {
		reply := answer(20)
		if i%50 == 0 {
			reply = answer(17)
			reply.Missing = []core.Reason{core.ReasonDeadline, core.ReasonDeadline, core.ReasonOverloaded}
		}
		if i%200 == 0 {
			reply = Reply{Outcome: "not_run", Code: "overloaded"}
		}
		recorder.add(profile().Mix[i%2], time.Duration(i+1)*100*time.Microsecond, reply)
	}
	recorder.addUnsent(profile().Mix[0])
	recorder.addElapsed(10 * time.Second)
	report := recorder.Report("golden", 4)
	var text, document bytes.Buffer
	report.WriteText(&text)
	require.NoError(t, report.WriteJSON(&document))
	golden := goldie.New(t)
	golden.Assert(t, "report_text", text.Bytes())
	golden.Assert(t, "report_json", document.Bytes())
	golden.Assert(t, "report_svg", []byte(report.SVG()))
}
