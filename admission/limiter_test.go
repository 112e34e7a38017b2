package admission

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// begin is the start of the tests' clock.
var begin = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func TestParseLoad(t *testing.T) {
	for _, tc := range []struct {
		text string
		want Load
		ok   bool
	}{
		{"3,0,8", Load{Running: 3, Places: 8}, true},
		{" 6, 12 ,6", Load{Running: 6, Waiting: 12, Places: 6}, true},
		{"6,12,6,250", Load{Running: 6, Waiting: 12, Places: 6, Pace: 250}, true},
		{"", Load{}, false},
		{"3,0", Load{}, false},
		{"3,0,8,100,1", Load{}, false},
		{"3,0,x,100", Load{}, false},
		{"3,0,8,2.5", Load{}, false},
		{"-3,0,8", Load{}, false},
	} {
		lo, ok := ParseLoad(tc.text)
		assert.Equal(t, ok, tc.ok, tc.text)
		assert.Equal(t, lo, tc.want, tc.text)
	}
}

const (
	unit   = 24 * time.Millisecond
	target = 60 * time.Millisecond
)

// observe passes count copies of a response, 10 ms apart, and returns the time of the last one.
func observe(li *Limiter, from time.Time, count int, re Response) time.Time {
	for range count {
		from = from.Add(10 * time.Millisecond)
		re.At, re.Slots, re.Target = from, 6, target
		li.Observe(re)
	}
	return from
}

func TestLimiterFollowsLoad(t *testing.T) {
	idle := Response{InFlight: 1, Load: Load{Running: 1, Places: 6}, Told: true, Took: unit}
	overloaded := Response{InFlight: 3, Load: Load{Running: 6, Waiting: 20, Places: 6}, Told: true, Took: 26 * unit / 6}

	var li Limiter
	now := observe(&li, begin, 20, idle)
	assert.Equal(t, li.Limit(), 0.0, "no limit below capacity")
	assert.Assert(t, li.Available(5, 6, now))

	now = observe(&li, now, 20, overloaded)
	assert.Assert(t, li.Limit() > 0 && li.Limit() < 1, li.Limit())
	assert.Assert(t, !li.Available(1, 6, now))

	now = observe(&li, now, 20, idle)
	assert.Assert(t, li.Limit() >= 1, li.Limit())
	assert.Assert(t, li.Available(0, 6, now))
}

// Without load reports the limit follows the latency alone.
func TestLimiterFollowsLatency(t *testing.T) {
	var li Limiter
	now := observe(&li, begin, 20, Response{InFlight: 2, Took: unit})
	assert.Equal(t, li.Limit(), 0.0)
	now = observe(&li, now, 40, Response{InFlight: 8, Took: 8 * unit})
	assert.Assert(t, li.Limit() > 0 && li.Limit() < 7, li.Limit())
	held := li.Limit()
	observe(&li, now, 40, Response{InFlight: 2, Took: unit})
	assert.Assert(t, li.Limit() > held || li.Limit() == 0, li.Limit())
}

// Rejections of requests that were in flight together halve the limit once. Halved for each, it
// would leave the endpoint idle for seconds after a burst.
func TestLimiterHalvesOncePerRoundTrip(t *testing.T) {
	var li Limiter
	now := observe(&li, begin, 20, Response{InFlight: 8, Load: Load{Running: 6, Places: 6}, Told: true, Took: unit})
	for range 12 {
		li.Observe(Response{At: now, InFlight: 8, Refused: true, Slots: 6, Target: target, Took: time.Millisecond})
	}
	assert.Equal(t, li.Limit(), 4.0)
	now = now.Add(2 * unit)
	li.Observe(Response{At: now, InFlight: 8, Refused: true, Slots: 6, Target: target, Took: time.Millisecond})
	assert.Equal(t, li.Limit(), 2.0)
}

// A limit at its minimum recovers with time. If only responses raised it, an idle endpoint would
// get no requests and so never recover.
func TestLimiterRecoversWithTime(t *testing.T) {
	li := Limiter{respondedAt: begin, limit: minLimit, serviceTime: unit}
	assert.Assert(t, li.Available(0, 6, begin))
	li.Sent(0, begin)
	assert.Assert(t, !li.Available(0, 6, begin.Add(10*unit)), "a limit of 1/16 allows one request in 16 service times")
	assert.Assert(t, li.Available(0, 6, begin.Add(16*unit)))
	assert.Assert(t, li.Available(0, 6, begin.Add(loadTTL)))
	assert.Equal(t, li.Limit(), 2*minLimit)
	assert.Assert(t, li.Available(0, 6, begin.Add(time.Minute)))
	assert.Equal(t, li.Limit(), 1.0)
}

// An endpoint whose speed changes many times a second, because it shares its machine, changes the
// expected duration but not the limit.
func TestLimiterFollowsPace(t *testing.T) {
	var li Limiter
	now := begin
	for i := range 50 {
		pace := 100
		if i%2 == 1 {
			pace = 300
		}
		now = observe(&li, now, 1, Response{
			InFlight: 1, Load: Load{Pace: pace, Places: 6, Running: 2}, Told: true, Took: unit * time.Duration(pace) / 100,
		})
		assert.Equal(t, li.ExpectedLatency(0, 6, now), unit*time.Duration(pace)/100)
	}
	assert.Equal(t, li.Limit(), 0.0, "a slowdown does not reduce the limit")
	assert.Assert(t, li.ExpectedLatency(0, 6, now.Add(paceTTL/2)) < 3*unit)
	assert.Equal(t, li.ExpectedLatency(0, 6, now.Add(paceTTL)), unit)
}

func TestLimiterEstimatesOthers(t *testing.T) {
	var li Limiter
	now := observe(&li, begin, 5, Response{InFlight: 3, Load: Load{Running: 6, Waiting: 8, Places: 6}, Told: true, Took: 15 * unit / 6})
	assert.Equal(t, li.OthersInFlight(now), 12)
	assert.Equal(t, li.ReportedLoad(now), 14)
	assert.Equal(t, li.ExpectedLatency(5, 6, now).Round(time.Millisecond), 3*unit)
	assert.Equal(t, li.OthersInFlight(now.Add(loadTTL)), 0)
}

// Many senders with separate limits and delayed feedback converge near the capacity of the
// endpoint they share, whatever their number.
func TestLimitersShareAnEndpoint(t *testing.T) {
	for _, senders := range []int{1, 5, 40, 100} {
		t.Run(fmt.Sprint(senders), func(t *testing.T) {
			limiters := make([]Limiter, senders)
			inFlight := make([]int, senders)
			var queue []int // senders
			sum, full, sent := 0, 0, 0
			for at := range 8000 {
				now := begin.Add(time.Duration(at) * time.Millisecond)
				answer := func(se int, re Response) {
					inFlight[se]--
					re.At, re.InFlight, re.Slots, re.Target, re.Told = now, inFlight[se]+1, 6, target, true
					re.Load = Load{Running: min(len(queue), 6), Waiting: max(len(queue)-6, 0), Places: 6}
					limiters[se].Observe(re)
				}
				for i := range limiters {
					se := (i + at) % senders
					if !limiters[se].Available(inFlight[se], 6, now) {
						continue
					}
					limiters[se].Sent(inFlight[se], now)
					inFlight[se]++
					sent++
					if len(queue) >= 30 {
						full++
						answer(se, Response{Refused: true, Took: time.Millisecond})
						continue
					}
					queue = append(queue, se)
				}
				if at%4 == 0 && len(queue) > 0 { // six slots, 24 ms per request
					se := queue[0]
					queue = queue[1:]
					answer(se, Response{Took: max(unit, time.Duration(len(queue))*4*time.Millisecond)})
				}
				if at == 4000 {
					sum, full, sent = 0, 0, 0
				}
				sum += len(queue)
			}
			mean, refused := float64(sum)/4000, float64(full)/float64(sent)
			t.Logf("%.1f at the endpoint, %.3f refused", mean, refused)
			assert.Assert(t, mean > 7 && mean < 24, "%.1f requests at the endpoint on average", mean)
			assert.Assert(t, refused < 0.02, "%.3f refused", refused)
		})
	}
}
