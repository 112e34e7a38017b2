package scale

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestLoad(t *testing.T) {
	// Endpoints of ten places, of which eight count.
	for name, tc := range map[string]struct {
		load Load
		want int
	}{
		"nothing":                       {Load{}, 0},
		"as much as two can do":         {Load{Begun: 160, Used: 16}, 2},
		"a little more":                 {Load{Begun: 165, Used: 16.5}, 3},
		"some are refused":              {Load{Begun: 160, Refused: 80, Used: 16}, 3},
		"many come again":               {Load{Begun: 160, Refused: 9999, Used: 16}, 4},
		"some wait":                     {Load{Begun: 160, Used: 16, Waiting: 160}, 3},
		"all are refused":               {Load{Refused: 100}, 2},
		"streams that began long ago":   {Load{Used: 30}, 4},
		"streams, and some are refused": {Load{Refused: 1, Used: 30}, 6},
	} {
		t.Run(name, func(t *testing.T) {
			se := serviceOf(1, 1)
			se.Work = tc.load.Work(se.Places)
			assert.Equal(t, se.Desired(), tc.want)
		})
	}
}

// A crowd is entries before a plain service whose requests have a place for 100 ms. Its
// endpoints come when they were ordered and have started, and go at once. Requests that
// find no place come again five times a second.
type crowd struct {
	census  LoadAggregator
	cut     func(entry int, at time.Duration) bool // from the holder
	entries int
	load    func(at time.Duration) float64 // places that requests ask for, on the mean
	orders  []int                          // sums of the targets, each time that they changed
	change  time.Duration                  // when the holder changes; 0 is never
	span    time.Duration
	short   float64 // places that were missing, by the second
	serving int
	targets map[string]int
	table   Table
}

// run plays the crowd's load.
func (cr *crowd) run(t *testing.T, start int) {
	t.Helper()
	type coming struct {
		at    time.Duration
		count int
	}
	cr.serving, cr.targets = start, map[string]int{"a": start / 2, "b": start - start/2}
	var boots []coming
	rng := rand.New(rand.NewPCG(1, 2))
	cr.census.Begin(0, begin)
	for at := time.Duration(0); at < cr.span; at += second / 2 {
		now := begin.Add(at)
		for len(boots) > 0 && boots[0].at <= at {
			cr.serving, boots = cr.serving+boots[0].count, boots[1:]
		}
		if cr.change > 0 && at == cr.change {
			cr.succeed(now)
		}
		asked := cr.load(at)
		used := min(asked, float64(cr.serving*10))
		cr.short += (asked - used) / 2
		for entry := range cr.entries {
			if cr.cut != nil && cr.cut(entry, at) {
				continue
			}
			part := (0.9 + 0.2*rng.Float64()) / float64(cr.entries)
			cr.census.Report(fmt.Sprint("entry-", entry), map[string]Observation{"desk": {
				Begun: int(math.Round(used * part * 10 / 2)), Busy: time.Duration(used * part * float64(second) / 2),
				Refused: int(math.Round((asked - used) * part * 10 * 5 / 2)), Span: second / 2,
			}}, now)
		}
		changed := cr.look(now)
		if changed > 0 {
			boots = append(boots, coming{at: at + 3*second, count: changed})
		}
		cr.serving += min(changed, 0)
	}
}

// look decides once, and returns how many more endpoints are ordered.
func (cr *crowd) look(now time.Time) int {
	loads, known := cr.census.Loads(now)
	se := serviceOf(cr.serving/2, cr.serving-cr.serving/2)
	se.Name, se.Slack, se.Unknown, se.Work = "desk", PlainSlack, !known, loads["desk"].Work(se.Places)
	changed := 0
	for _, or := range cr.table.Decide([]Service{se}, now) {
		changed += or.Target - cr.targets[or.Domain]
		cr.targets[or.Domain] = or.Target
	}
	if changed != 0 {
		cr.orders = append(cr.orders, cr.targets["a"]+cr.targets["b"])
	}
	return changed
}

// succeed puts another holder in the place of the first: it knows what lasts.
func (cr *crowd) succeed(now time.Time) {
	count := cr.census.EntryCount(now)
	cr.census = LoadAggregator{}
	cr.census.Begin(count, now)
	targets := map[Subject]int{}
	for domain, target := range cr.targets {
		targets[Subject{Domain: domain, Service: "desk"}] = target
	}
	cr.table = Table{}
	cr.table.Adopt(targets)
}

// Load pattern: callers become three times as many within half a minute, stay, and leave.
func TestPlainRamp(t *testing.T) {
	cr := &crowd{entries: 6, span: 100 * second, load: func(at time.Duration) float64 {
		switch s := at.Seconds(); {
		case s < 30:
			return 15 + s
		case s < 60:
			return 45
		default:
			return max(15, 45-(s-60)*2)
		}
	}}
	cr.run(t, 2)
	top := 0
	for i, count := range cr.orders {
		if count < top {
			for j := i + 1; j < len(cr.orders); j++ {
				assert.Assert(t, cr.orders[j] < cr.orders[j-1], "up, and down again: %v", cr.orders)
			}
			break
		}
		top = count
	}
	assert.Assert(t, top >= 6 && top <= 7, "%v", cr.orders)
	assert.Assert(t, cr.orders[len(cr.orders)-1] <= 4, "%v", cr.orders)
	assert.Assert(t, cr.short < 5, "%v place seconds", cr.short)
}

// Load pattern: callers come in one moment, four times as many as endpoints have places
// for. Those that are refused come again and again, and count many times.
func TestPlainBurst(t *testing.T) {
	cr := &crowd{entries: 6, span: 60 * second, load: func(at time.Duration) float64 {
		if at < 10*second {
			return 10
		}
		return 60
	}}
	cr.run(t, 2)
	last := cr.orders[len(cr.orders)-1]
	assert.Assert(t, last == 8 || last == 9, "%v", cr.orders)
	for _, count := range cr.orders {
		assert.Assert(t, count <= 10, "%v", cr.orders)
	}
	assert.Assert(t, len(cr.orders) <= 4, "%v", cr.orders)
}

// Load pattern: demand rocks around what two endpoints can do, within seconds. Endpoints
// are ordered once and stay.
func TestPlainRocksAroundABound(t *testing.T) {
	for _, period := range []float64{2, 3, 5, 8} {
		cr := &crowd{entries: 6, span: 120 * second, load: func(at time.Duration) float64 {
			return 16 + 4*math.Sin(2*math.Pi*at.Seconds()/period)
		}}
		cr.run(t, 2)
		assert.Assert(t, len(cr.orders) <= 1, "%v s: %v", period, cr.orders)
	}
}

// Half of the entries are cut off from the holder for 40 s, and their callers are not:
// the load looks like half. No endpoint is given away, nor for a while after it.
func TestSilentEntriesGiveNothingAway(t *testing.T) {
	for name, tc := range map[string]struct {
		change time.Duration // of the holder, in the midst of it
		cut    int
	}{
		"half":                     {cut: 3},
		"all":                      {cut: 6},
		"one":                      {cut: 1},
		"half, with a new holder":  {cut: 3, change: 40 * second},
		"no one, and a new holder": {change: 40 * second},
	} {
		t.Run(name, func(t *testing.T) {
			cr := &crowd{
				entries: 6, change: tc.change, span: 100 * second, load: func(time.Duration) float64 { return 44 },
				cut: func(entry int, at time.Duration) bool { return entry < tc.cut && at >= 30*second && at < 70*second },
			}
			cr.run(t, 6)
			assert.Equal(t, len(cr.orders), 0, "%v", cr.orders)
		})
	}
}

// Entries were taken away while the holder changed. After a minute the new one believes
// that they are gone, and goes by what the others see.
func TestEntriesThatAreGone(t *testing.T) {
	cr := &crowd{
		entries: 6, change: 30 * second, span: 130 * second,
		cut: func(entry int, at time.Duration) bool { return entry < 3 && at >= 30*second },
		load: func(at time.Duration) float64 {
			if at < 30*second {
				return 44
			}
			return 20
		},
	}
	cr.run(t, 6)
	assert.Assert(t, len(cr.orders) > 0, "%v", cr.orders)
	assert.Equal(t, cr.orders[len(cr.orders)-1], 2, "%v", cr.orders) // they see half of what there is
}

func TestCensus(t *testing.T) {
	var ce LoadAggregator
	known := func(at time.Duration) bool {
		_, ok := ce.Loads(begin.Add(at))
		return ok
	}
	tell := func(at time.Duration, count int) {
		for entry := range count {
			ce.Report(fmt.Sprint(entry), map[string]Observation{"desk": {Begun: 1, Span: second}}, begin.Add(at))
		}
	}
	assert.Assert(t, !known(0), "no one has told")
	ce.Begin(4, begin)
	tell(0, 4)
	assert.Assert(t, !known(second), "not all have had the time to")
	tell(2*second, 4)
	assert.Assert(t, known(2*second))
	tell(4*second, 3)
	assert.Assert(t, known(4*second), "three of four")
	tell(6*second, 2)
	assert.Assert(t, !known(6*second), "two of four")
	loads, _ := ce.Loads(begin.Add(6 * second))
	assert.Equal(t, loads["desk"].Begun, 4.0, "who is silent counts with what it told last")
	tell(70*second, 2)
	assert.Assert(t, known(70*second), "the others are gone")
	assert.Equal(t, ce.EntryCount(begin.Add(70*second)), 2)
}
