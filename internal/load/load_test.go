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

type askerFunc func(ctx context.Context, request Request) Reply

func (f askerFunc) Send(ctx context.Context, request Request) Reply { return f(ctx, request) }

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

// A server stands still for half a second while chefs go on asking. A load
// tool that waits for each answer before it asks again sends one request into
// that half second and reports one late answer; the chefs saw fifty.
func TestAStalledServerShowsInEveryLatency(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		started := time.Now()
		stalled := askerFunc(func(context.Context, Request) Reply {
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

// The caller's process itself is held up: the request leaves late. Its
// latency counts from when it should have left.
func TestLatencyCountsFromTheScheduledArrival(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		recorder := NewRecorder()
		r := &runner{asker: askerFunc(func(context.Context, Request) Reply { return answer(20) }), recorder: recorder, slots: make(chan struct{}, 1)}
		scheduled := time.Now()
		time.Sleep(30 * time.Millisecond)
		r.send(t.Context(), profile().Mix[0], scheduled)
		r.open.Wait()
		require.InDelta(t, 30, Millis(recorder.All.Quantile(1)), 0.1)
	})
}

func TestLoadIsBounded(t *testing.T) {
	never := askerFunc(func(ctx context.Context, _ Request) Reply {
		<-ctx.Done()
		return Reply{Outcome: "unknown", Code: "lost"}
	})
	for _, one := range []struct {
		name   string
		alter  func(*Profile)
		sent   int
		unsent int
	}{
		{"outstanding", func(p *Profile) { p.MaxOutstanding = 5 }, 5, 95},
		{"number", func(p *Profile) { p.MaxRequests = 12 }, 12, 0},
		{"time", func(p *Profile) { p.Duration = 300 * time.Millisecond }, 30, 0},
	} {
		t.Run(one.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := profile()
				one.alter(&p)
				ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
				defer cancel()
				recorder := NewRecorder()
				require.NoError(t, Run(ctx, p, never, recorder))
				require.Equal(t, one.sent, recorder.All.Requests)
				require.Equal(t, one.unsent, recorder.All.Unsent)
				require.Equal(t, one.sent, recorder.All.Outcomes["unknown/lost"])
			})
		})
	}
	unbounded := profile()
	unbounded.MaxOutstanding = 0
	require.Error(t, Run(t.Context(), unbounded, never, NewRecorder()))
}

func TestScheduleFollowsFromTheSeed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		kind := rapid.SampledFrom([]Arrivals{ArrivalsFixed, ArrivalsPoisson, ArrivalsBursty}).Draw(t, "kind")
		rate := rapid.Float64Range(10, 5000).Draw(t, "rate")
		seed := rapid.Uint64().Draw(t, "seed")
		one := newSchedule(kind, rate, rand.New(rand.NewPCG(seed, seedSchedule)))
		two := newSchedule(kind, rate, rand.New(rand.NewPCG(seed, seedSchedule)))
		const arrivals = 2000
		var last time.Duration
		for range arrivals {
			next := one.offset()
			require.Equal(t, next, two.offset())
			require.GreaterOrEqual(t, next, last)
			last = next
		}
		require.InEpsilon(t, arrivals/rate, last.Seconds(), 0.15)
	})
}

// Two halves of a load merged must say what one recorder of the whole says.
func TestMergeEqualsOneRecorder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		whole, one, two := NewRecorder(), NewRecorder(), NewRecorder()
		shares := profile().Mix
		for range rapid.IntRange(1, 200).Draw(t, "requests") {
			share := rapid.SampledFrom(shares).Draw(t, "share")
			latency := time.Duration(rapid.Int64Range(0, int64(time.Second)).Draw(t, "latency"))
			reply := rapid.SampledFrom([]Reply{answer(20), answer(3), {Outcome: "not_run", Code: "overloaded"}}).Draw(t, "reply")
			half := rapid.SampledFrom([]*Recorder{one, two}).Draw(t, "half")
			whole.add(share, latency, reply)
			half.add(share, latency, reply)
		}
		one.Merge(two)
		got, want := one.Report("", 1), whole.Report("", 1)
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
	recorder.unsent(profile().Mix[0])
	recorder.ran(10 * time.Second)
	report := recorder.Report("golden", 4)
	var text, document bytes.Buffer
	report.WriteText(&text)
	require.NoError(t, report.WriteJSON(&document))
	golden := goldie.New(t)
	golden.Assert(t, "report_text", text.Bytes())
	golden.Assert(t, "report_json", document.Bytes())
	golden.Assert(t, "report_svg", []byte(report.SVG()))
}
