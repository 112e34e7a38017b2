package overload

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var begin = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// stepOf returns a step with a group for each number of seconds of work, in items of a second.
func stepOf(trainer string, left time.Duration, seconds ...int) *Step {
	st := &Step{Due: 8 * time.Second, Left: left, Trainer: trainer, Wanted: len(seconds)}
	for _, se := range seconds {
		st.Groups = append(st.Groups, &Group{Longest: time.Second, Work: time.Duration(se) * time.Second})
	}
	return st
}

// inTime returns a character for each group of a step: x if capacity is reserved for it.
func inTime(st *Step) string {
	text := ""
	for _, gr := range st.Groups {
		if gr.InTime() {
			text += "x"
		} else {
			text += "-"
		}
	}
	return text
}

func TestPlan(t *testing.T) {
	tooLong := stepOf("a", 3*time.Second, 2, 2)
	tooLong.Groups[1].Longest = 4 * time.Second
	fewWanted := stepOf("a", 8*time.Second, 2, 1, 3)
	fewWanted.Wanted = 1
	again := stepOf("a", 8*time.Second, 1, 9)
	again.Wanted, again.Groups[1].Again = 1, true
	for _, tc := range []struct {
		name  string
		steps []*Step
		slots float64
		want  []string // by step, groups ordered by work
	}{
		{"capacity for all", []*Step{stepOf("a", 8*time.Second, 2, 2), stepOf("b", 8*time.Second, 2, 2)}, 4, []string{"xx", "xx"}},
		{"capacity for one step", []*Step{stepOf("a", 8*time.Second, 5, 5), stepOf("b", 8*time.Second, 5, 5)}, 2, []string{"xx", "--"}},
		{"the smallest groups of a step", []*Step{stepOf("a", 8*time.Second, 9, 3, 3)}, 1, []string{"xx-"}},
		{"a later step has more time", []*Step{stepOf("a", 4*time.Second, 5), stepOf("b", 8*time.Second, 5)}, 1.2, []string{"-", "x"}},
		{"an item that lasts too long", []*Step{tooLong}, 4, []string{"x-"}},
		{"a step that is late", []*Step{stepOf("a", -time.Second, 1), stepOf("b", 8*time.Second, 1)}, 4, []string{"-", "x"}},
		{"groups that nobody waits for", []*Step{fewWanted}, 4, []string{"x--"}},
		{"recurring groups go first", []*Step{again}, 2, []string{"x-"}},
		{"no slots", []*Step{stepOf("a", 8*time.Second, 1)}, 0, []string{"-"}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var pl Planner
			pl.Plan(tc.steps, tc.slots, begin)
			for i, st := range tc.steps {
				assert.Equal(t, inTime(st), tc.want[i], "step %d", i)
			}
		})
	}
}

// Overload mode must not toggle while the load varies around the threshold.
func TestOverloadHysteresis(t *testing.T) {
	var pl Planner
	changes, was := 0, false
	for i := range 100 {
		work := 10 // of 16, above the threshold
		if i%2 == 0 {
			work = 8
		}
		pl.Plan([]*Step{stepOf("a", 8*time.Second, work)}, 2, begin.Add(time.Duration(i)*time.Second))
		if pl.Overloaded() != was {
			changes, was = changes+1, pl.Overloaded()
		}
	}
	assert.Equal(t, changes, 1)
	pl.Plan(nil, 2, begin)
	assert.Assert(t, !pl.Overloaded())
}

// Guards against starving a trainer whose steps always come after those of others.
func TestStarvedTrainerGoesFirst(t *testing.T) {
	var pl Planner
	first, second := stepOf("first", 8*time.Second, 8), stepOf("second", 8*time.Second, 8)
	longest := time.Duration(0)
	servedAt := map[string]time.Time{"first": begin, "second": begin}
	for at := time.Duration(0); at < 2*time.Minute; at += time.Second {
		now := begin.Add(at)
		for _, st := range []*Step{first, second} {
			st.ServedAt = servedAt[st.Trainer]
		}
		pl.Plan([]*Step{first, second}, 1.5, now)
		for _, st := range []*Step{first, second} {
			if st.Groups[0].InTime() {
				servedAt[st.Trainer] = now
			}
			longest = max(longest, now.Sub(servedAt[st.Trainer]))
		}
	}
	assert.Assert(t, longest <= starvationFactor*8*time.Second+time.Second, "waited %s", longest)
}

// Time in which a trainer waits for nothing doesn't count as starvation.
func TestPauseIsNoStarvation(t *testing.T) {
	for _, tc := range []struct {
		name          string
		pause, waited time.Duration // without a step, and with one that isn't served
		want          bool          // the trainer goes first
	}{
		{"just back", 30 * time.Second, 0, false},
		{"waited as long as others wait", 30 * time.Second, 10 * time.Second, false},
		{"waited too long before and after", 30 * time.Second, 15 * time.Second, true},
		{"no pause", 0, 15 * time.Second, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var pl Planner
			first, second := stepOf("first", 8*time.Second, 8), stepOf("second", 8*time.Second, 8)
			second.ServedAt = begin
			plan := func(from, to time.Duration, steps ...*Step) {
				for at := from; at <= to; at += time.Second {
					first.ServedAt = begin.Add(at)
					pl.Plan(steps, 1.5, begin.Add(at))
				}
			}
			plan(0, 2*time.Second, first, second)
			second.ServedAt = time.Time{} // of a new step
			back := 2*time.Second + tc.pause
			if tc.pause > 0 {
				plan(3*time.Second, back-time.Second, first)
			}
			plan(back, back+tc.waited, first, second)
			assert.Equal(t, second.Groups[0].InTime(), tc.want)
		})
	}
}

// Overload mode lasts while a wanted group has no capacity, even if the load falls below the
// threshold: least-slack order would make late steps displace those that are in time.
func TestOverloadLastsUntilAllHaveCapacity(t *testing.T) {
	pl := Planner{Lingers: true}
	st := stepOf("a", 8*time.Second, 6, 6)
	pl.Plan([]*Step{st}, 2, begin)
	assert.Assert(t, pl.Overloaded())
	st.Groups, st.Left, st.Wanted = st.Groups[:1], 2*time.Second, 1 // 6 s of work in 2 s
	for i := range 3 {
		pl.Plan([]*Step{st}, 2, begin.Add(time.Duration(i)*time.Second))
		assert.Assert(t, pl.Load() < clearFraction && pl.Overloaded())
	}
	small, strict := pl, pl
	small.Plan([]*Step{stepOf("a", time.Second, 3)}, 2, begin.Add(4*time.Second))
	assert.Assert(t, !small.Overloaded(), "idle slots suffice for the rest")
	strict.Lingers = false
	strict.Plan([]*Step{st}, 2, begin.Add(4*time.Second))
	assert.Assert(t, !strict.Overloaded(), "a customer within its share waits")
	st.Left = -time.Second // a late step doesn't prolong the overload
	pl.Plan([]*Step{st}, 2, begin.Add(4*time.Second))
	pl.Plan([]*Step{st}, 2, begin.Add(5*time.Second))
	assert.Assert(t, !pl.Overloaded())
}

// For random steps, positions are unique, groups in time come first, and their work fits into
// the capacity until their steps are due.
func TestPlanInvariants(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	for round := range 2000 {
		var steps []*Step
		total := 0
		for i := range rng.IntN(4) {
			st := stepOf(fmt.Sprint(i%3), time.Duration(rng.IntN(10)-2)*time.Second)
			for range rng.IntN(6) {
				work := time.Duration(1+rng.IntN(9000)) * time.Millisecond
				st.Groups = append(st.Groups, &Group{Again: rng.IntN(4) == 0, Longest: work / 2, Work: work})
			}
			st.Wanted = rng.IntN(len(st.Groups) + 1)
			total += len(st.Groups)
			steps = append(steps, st)
		}
		pl := Planner{Way: Discipline(rng.IntN(3))}
		slots := 3 * rng.Float64()
		pl.Plan(steps, slots, begin)
		checkPlan(t, steps, slots, total, round)
	}
}

func checkPlan(t *testing.T, steps []*Step, slots float64, total, round int) {
	t.Helper()
	taken := map[int]bool{}
	lastInTime, firstLate := -1, total
	for _, st := range steps {
		var work time.Duration
		for _, other := range steps {
			for _, gr := range other.Groups {
				if gr.InTime() && other.Left <= st.Left {
					work += gr.Work
				}
			}
		}
		assert.Assert(t, float64(work) <= slots*float64(max(st.Left, 0)), "round %d: more work than capacity", round)
		for _, gr := range st.Groups {
			assert.Assert(t, !taken[gr.Position()] && gr.Position() < total, "round %d: position %d", round, gr.Position())
			taken[gr.Position()] = true
			if gr.InTime() {
				lastInTime = max(lastInTime, gr.Position())
			} else {
				firstLate = min(firstLate, gr.Position())
			}
		}
	}
	assert.Assert(t, lastInTime < firstLate, "round %d: a late group goes before one in time", round)
}
