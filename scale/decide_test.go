package scale

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const second = time.Second

var begin = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// serviceOf returns a service in two failure domains, with ten slots per endpoint.
func serviceOf(a, b int, shares ...Share) Service {
	return Service{
		Bounds: Bounds{Startup: 3 * second, Max: 8, Min: 1}, Domains: map[string]int{"a": a, "b": b}, Name: "llm", Places: 10, Work: shares,
	}
}

func TestDesired(t *testing.T) {
	// At 80% utilization, an endpoint with ten slots does 8 s of work per second.
	for name, tc := range map[string]struct {
		work Work
		want int
	}{
		"no work":                     {nil, 0},
		"little work":                 {Work{{Due: 8 * second, Work: second}}, 1},
		"fits":                        {Work{{Due: 8 * second, Work: 128 * second}}, 2},
		"exceeds, new endpoints help": {Work{{Due: 8 * second, Work: 192 * second}}, 4}, // 64 s left, to do in 5 s
		"due before startup":          {Work{{Due: 4 * second, Work: 128 * second}}, 4},
		"missed deadline":             {Work{{Due: -9 * second, Work: 32 * second}}, 2},
		"later deadline after sooner": {Work{{Due: 16 * second, Work: 128 * second}, {Due: 8 * second, Work: 64 * second}}, 2},
		"later deadline only":         {Work{{Due: 16 * second, Work: 64 * second}}, 1},
		"sum of shares":               {Work{{Due: 8 * second, Work: 64 * second}, {Due: 8 * second, Work: 64 * second}}, 2},
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

// A simulation runs a Table with a load over time, with a deadline of 8 s. New endpoints serve after
// their startup time; removed ones stop at once.
type simulation struct {
	load    func(at time.Duration) float64 // in endpoints
	span    time.Duration
	orders  []int // total target after each change
	paid    float64
	missing float64 // missing capacity, in endpoint seconds
}

func (si *simulation) run(t *testing.T, start int) {
	t.Helper()
	var ta Table
	targets := map[string]int{"a": start / 2, "b": start - start/2}
	type launch struct {
		at    time.Duration
		count int
	}
	serving := start
	var launches []launch
	for at := time.Duration(0); at < si.span; at += second / 2 {
		for len(launches) > 0 && launches[0].at <= at {
			serving, launches = serving+launches[0].count, launches[1:]
		}
		need := si.load(at)
		se := serviceOf(serving/2, serving-serving/2, Share{Due: 8 * second, Work: time.Duration(need * 64 * float64(second))})
		changed := 0
		for _, or := range ta.Decide([]Service{se}, begin.Add(at)) {
			changed += or.Target - targets[or.Domain]
			targets[or.Domain] = or.Target
		}
		if changed > 0 {
			launches = append(launches, launch{at: at + se.Bounds.Startup, count: changed})
		}
		if changed < 0 {
			serving += changed
		}
		if changed != 0 {
			si.orders = append(si.orders, targets["a"]+targets["b"])
		}
		si.paid += float64(targets["a"]+targets["b"]) / 2
		si.missing += max(0, need-float64(serving)) / 2
	}
}

// Demand rises, stays, and falls. Endpoints must rise and fall monotonically.
func TestRamp(t *testing.T) {
	si := simulation{span: 90 * second, load: func(at time.Duration) float64 {
		switch s := at.Seconds(); {
		case s < 30:
			return 2 + s/5
		case s < 50:
			return 8
		default:
			return max(2, 8-(s-50)/2)
		}
	}}
	si.run(t, 2)
	top := 0
	for i, count := range si.orders {
		if count >= top && i > 0 {
			assert.Assert(t, count != si.orders[i-1])
		}
		top = max(top, count)
	}
	assert.Assert(t, top >= 8 && top <= 12, "%v", si.orders)
	assert.Equal(t, si.orders[len(si.orders)-1], 2, "%v", si.orders)
	turns := 0
	for i := 2; i < len(si.orders); i++ {
		if (si.orders[i] > si.orders[i-1]) != (si.orders[i-1] > si.orders[i-2]) {
			turns++
		}
	}
	assert.Equal(t, turns, 1, "one rise and one fall: %v", si.orders)
}

// Guards against ordering endpoints for bursts that are shorter than their startup.
func TestShortBursts(t *testing.T) {
	si := simulation{span: 40 * second, load: func(at time.Duration) float64 {
		if at%(10*second) == 0 {
			return 12
		}
		return 1.5
	}}
	si.run(t, 2)
	assert.Equal(t, len(si.orders), 0, "%v", si.orders)
}

// A long burst must cause at most four orders, of which the last restores the initial number.
func TestLongBurst(t *testing.T) {
	si := simulation{span: 60 * second, load: func(at time.Duration) float64 {
		if at >= 10*second && at < 25*second {
			return 6
		}
		return 2
	}}
	si.run(t, 2)
	assert.Assert(t, len(si.orders) <= 4, "%v", si.orders)
	assert.Equal(t, si.orders[len(si.orders)-1], 2, "%v", si.orders)
	assert.Assert(t, si.missing <= 6*4+4, "capacity is missing only during the startup: %.1f", si.missing)
}

// Guards against flapping if the demand oscillates around a whole number of endpoints.
func TestOscillatingDemand(t *testing.T) {
	for _, period := range []time.Duration{second, 2 * second, 4 * second, 8 * second, 11 * second} {
		si := simulation{span: 120 * second, load: func(at time.Duration) float64 {
			if at%period < period/2 {
				return 3.9
			}
			return 4.1
		}}
		si.run(t, 4)
		assert.Assert(t, len(si.orders) <= 1, "period %s: %v", period, si.orders)
	}
}

func TestUnreachableDomainKeepsTarget(t *testing.T) {
	// Guards against scaling one failure domain up and down while another one is unreachable
	// for some seconds.
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

func TestNewHolderKeepsTargets(t *testing.T) {
	// Guards against a new holder scaling down at once because it has not observed the load
	// before.
	var ta Table
	ta.Adopt(map[Subject]int{{Domain: "a", Service: "llm"}: 3, {Domain: "b", Service: "llm"}: 3})
	for at := time.Duration(0); at < 11*second; at += second / 2 {
		assert.Equal(t, len(ta.Decide([]Service{serviceOf(1, 3)}, begin.Add(at))), 0, "%s", at)
	}
	assert.Equal(t, len(ta.Decide([]Service{serviceOf(3, 3)}, begin.Add(13*second))), 2)
}

func TestNoOrders(t *testing.T) {
	busy := Share{Due: 8 * second, Work: 9999 * second}
	for name, se := range map[string]Service{
		"no bounds":       {Domains: map[string]int{"a": 1}, Name: "llm", Places: 10, Work: Work{busy}},
		"invalid bounds":  {Bounds: Bounds{Max: 1, Min: 3}, Domains: map[string]int{"a": 1}, Name: "llm", Places: 10, Work: Work{busy}},
		"no known domain": {Bounds: Bounds{Max: 3, Min: 1}, Name: "llm", Places: 10, Work: Work{busy}},
		"at the bounds":   {Bounds: Bounds{Max: 3, Min: 3}, Domains: map[string]int{"a": 3}, Name: "llm", Places: 10, Work: Work{busy}},
		"demand met":      serviceOf(1, 1, Share{Due: 8 * second, Work: 128 * second}),
	} {
		t.Run(name, func(t *testing.T) {
			var ta Table
			for at := time.Duration(0); at < 30*second; at += second / 2 {
				assert.Equal(t, len(ta.Decide([]Service{se}, begin.Add(at))), 0)
			}
		})
	}
}

func TestSampleJitter(t *testing.T) {
	// Guards against ignoring the demand if samples are not exactly confirmTime apart.
	for name, skipEvery := range map[string]int{"jitter": 0, "jitter and missed samples": 5} {
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
			assert.Equal(t, more, 2, "both failure domains are scaled up")
		})
	}
}
