package scale

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const second = time.Second

var begin = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// serviceOf returns a service of two failure domains with endpoints of ten places.
func serviceOf(a, b int, shares ...Share) Service {
	return Service{
		Bounds: Bounds{Startup: 3 * second, Max: 8, Min: 1}, Domains: map[string]int{"a": a, "b": b}, Name: "llm", Places: 10, Work: shares,
	}
}

func TestWant(t *testing.T) {
	// Eight of ten places count: an endpoint does 8 s of work a second.
	for name, tc := range map[string]struct {
		work Work
		want int
	}{
		"nothing":                      {nil, 0},
		"little":                       {Work{{Due: 8 * second, Work: second}}, 1},
		"as much as there is":          {Work{{Due: 8 * second, Work: 128 * second}}, 2},
		"more, which new ones share":   {Work{{Due: 8 * second, Work: 192 * second}}, 4}, // 64 s left, 5 s to do them
		"due before new ones serve":    {Work{{Due: 4 * second, Work: 128 * second}}, 4},
		"late":                         {Work{{Due: -9 * second, Work: 32 * second}}, 2},
		"later work waits for sooner":  {Work{{Due: 16 * second, Work: 128 * second}, {Due: 8 * second, Work: 64 * second}}, 2},
		"later work alone would do":    {Work{{Due: 16 * second, Work: 64 * second}}, 1},
		"sum matters, not one of them": {Work{{Due: 8 * second, Work: 64 * second}, {Due: 8 * second, Work: 64 * second}}, 2},
	} {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, serviceOf(1, 1, tc.work...).Desired(), tc.want)
		})
	}
}

func TestSpread(t *testing.T) {
	bo := Bounds{Max: 4, Min: 1}
	for _, tc := range []struct {
		want int
		a, b int
	}{{0, 1, 1}, {1, 1, 1}, {3, 2, 1}, {6, 3, 3}, {99, 4, 4}} {
		assert.DeepEqual(t, Spread(tc.want, []string{"b", "a"}, bo), map[string]int{"a": tc.a, "b": tc.b})
	}
}

// A play is a load pattern: how much work a second comes, to be done within 8 s, by the
// moment. Endpoints come when they were ordered and have started, and go at once.
type play struct {
	load   func(at time.Duration) float64 // endpoints that it takes
	span   time.Duration
	orders []int // sums of the targets, each time that they changed
	paid   float64
	short  float64 // endpoints that were missing, by the second
}

func (pl *play) run(t *testing.T, start int) {
	t.Helper()
	var ta Table
	targets := map[string]int{"a": start / 2, "b": start - start/2}
	type coming struct {
		at    time.Duration
		count int
	}
	serving := start
	var boots []coming
	for at := time.Duration(0); at < pl.span; at += second / 2 {
		for len(boots) > 0 && boots[0].at <= at {
			serving, boots = serving+boots[0].count, boots[1:]
		}
		need := pl.load(at)
		se := serviceOf(serving/2, serving-serving/2, Share{Due: 8 * second, Work: time.Duration(need * 64 * float64(second))})
		changed := 0
		for _, or := range ta.Decide([]Service{se}, begin.Add(at)) {
			changed += or.Target - targets[or.Domain]
			targets[or.Domain] = or.Target
		}
		if changed > 0 {
			boots = append(boots, coming{at: at + se.Bounds.Startup, count: changed})
		}
		if changed < 0 {
			serving += changed
		}
		if changed != 0 {
			pl.orders = append(pl.orders, targets["a"]+targets["b"])
		}
		pl.paid += float64(targets["a"]+targets["b"]) / 2
		pl.short += max(0, need-float64(serving)) / 2
	}
}

// Load pattern: demand grows for half a minute, stays, and falls again. Endpoints follow
// it up without a step back, and go once the most of a while is less.
func TestRamp(t *testing.T) {
	pl := play{span: 90 * second, load: func(at time.Duration) float64 {
		switch s := at.Seconds(); {
		case s < 30:
			return 2 + s/5
		case s < 50:
			return 8
		default:
			return max(2, 8-(s-50)/2)
		}
	}}
	pl.run(t, 2)
	top := 0
	for i, count := range pl.orders {
		if count >= top && i > 0 {
			assert.Assert(t, count != pl.orders[i-1])
		}
		top = max(top, count)
	}
	assert.Assert(t, top >= 8 && top <= 12, "%v", pl.orders)
	assert.Equal(t, pl.orders[len(pl.orders)-1], 2, "%v", pl.orders)
	turns := 0
	for i := 2; i < len(pl.orders); i++ {
		if (pl.orders[i] > pl.orders[i-1]) != (pl.orders[i-1] > pl.orders[i-2]) {
			turns++
		}
	}
	assert.Equal(t, turns, 1, "up and then down, once: %v", pl.orders)
}

// Load pattern: all of a step comes at once and is gone half a second later. An endpoint
// that starts for it comes too late to be of use.
func TestBurstIsNotChased(t *testing.T) {
	pl := play{span: 40 * second, load: func(at time.Duration) float64 {
		if at%(10*second) == 0 {
			return 12
		}
		return 1.5
	}}
	pl.run(t, 2)
	assert.Equal(t, len(pl.orders), 0, "%v", pl.orders)
}

// Load pattern: a burst that lasts. It is answered by one order up, and one down long
// after its end.
func TestLastingBurst(t *testing.T) {
	pl := play{span: 60 * second, load: func(at time.Duration) float64 {
		if at >= 10*second && at < 25*second {
			return 6
		}
		return 2
	}}
	pl.run(t, 2)
	assert.Assert(t, len(pl.orders) <= 4, "%v", pl.orders)
	assert.Equal(t, pl.orders[len(pl.orders)-1], 2, "%v", pl.orders)
	assert.Assert(t, pl.short <= 6*4+4, "served within the time that new ones take: %.1f", pl.short)
}

// Load pattern: demand rocks around a whole number of endpoints, by the second and by
// several. The number stays at the upper end.
func TestRockingDoesNotFlap(t *testing.T) {
	for _, period := range []time.Duration{second, 2 * second, 4 * second, 8 * second, 11 * second} {
		pl := play{span: 120 * second, load: func(at time.Duration) float64 {
			if at%period < period/2 {
				return 3.9
			}
			return 4.1
		}}
		pl.run(t, 4)
		assert.Assert(t, len(pl.orders) <= 1, "period %s: %v", period, pl.orders)
	}
}

func TestDarkDomainKeepsItsPart(t *testing.T) {
	// Symptom: endpoints are ordered and given away in one failure domain while another
	// one flaps.
	// Sequence: the endpoints of a failure domain are gone for some seconds, and back.
	// Cause: their part went to the other one at once.
	var ta Table
	work := Share{Due: 8 * second, Work: 256 * second} // four endpoints
	for at := time.Duration(0); at < 30*second; at += second / 2 {
		se := serviceOf(2, 2, work)
		if at%(10*second) > 5*second {
			delete(se.Domains, "b")
			se.Work = Work{{Due: 8 * second, Work: 128 * second}}
		}
		assert.Equal(t, len(ta.Decide([]Service{se}, begin.Add(at))), 0, "%s", at)
	}
}

func TestSuccessorGivesNothingAway(t *testing.T) {
	// Symptom: after a change of holder endpoints are given away and ordered again.
	// Sequence: a holder ordered six; the next one sees a moment without work.
	// Cause: it knew of no load before that moment.
	var ta Table
	ta.Adopt(map[Subject]int{{Domain: "a", Service: "llm"}: 3, {Domain: "b", Service: "llm"}: 3})
	for at := time.Duration(0); at < 11*second; at += second / 2 {
		assert.Equal(t, len(ta.Decide([]Service{serviceOf(1, 3)}, begin.Add(at))), 0, "%s", at)
	}
	assert.Equal(t, len(ta.Decide([]Service{serviceOf(3, 3)}, begin.Add(13*second))), 2)
}

func TestNothingToOrder(t *testing.T) {
	busy := Share{Due: 8 * second, Work: 9999 * second}
	for name, se := range map[string]Service{
		"no bounds":         {Domains: map[string]int{"a": 1}, Name: "llm", Places: 10, Work: Work{busy}},
		"bounds cross":      {Bounds: Bounds{Max: 1, Min: 3}, Domains: map[string]int{"a": 1}, Name: "llm", Places: 10, Work: Work{busy}},
		"no domain known":   {Bounds: Bounds{Max: 3, Min: 1}, Name: "llm", Places: 10, Work: Work{busy}},
		"bounds are met":    {Bounds: Bounds{Max: 3, Min: 3}, Domains: map[string]int{"a": 3}, Name: "llm", Places: 10, Work: Work{busy}},
		"as many as wanted": serviceOf(1, 1, Share{Due: 8 * second, Work: 128 * second}),
	} {
		t.Run(name, func(t *testing.T) {
			var ta Table
			for at := time.Duration(0); at < 30*second; at += second / 2 {
				assert.Equal(t, len(ta.Decide([]Service{se}, begin.Add(at))), 0)
			}
		})
	}
}

func TestInexactClock(t *testing.T) {
	// Symptom: orders fall to the minimum, whatever the load.
	// Sequence: looks are some microseconds early or late, and now and then one is missed.
	// Cause: a number counted only if two looks were a second apart to the nanosecond.
	for name, skipEvery := range map[string]int{"jitter": 0, "jitter and a missed look": 5} {
		t.Run(name, func(t *testing.T) {
			var ta Table
			work, more := Share{Due: 8 * second, Work: 4 * 64 * second}, 0 // four endpoints
			for i := range 70 {
				if skipEvery > 0 && i%skipEvery == skipEvery-1 {
					continue
				}
				at := time.Duration(i)*second/2 + time.Duration(i*i*37%61-30)*time.Microsecond
				if i == 60 {
					work.Work *= 2
				}
				for _, or := range ta.Decide([]Service{serviceOf(2, 2, work)}, begin.Add(at)) {
					assert.Assert(t, or.Target > or.From, "%s: %+v", at, or)
					assert.Assert(t, i >= 62, "%s: %+v", at, or)
					more++
				}
			}
			assert.Equal(t, more, 2, "both failure domains get more")
		})
	}
}
