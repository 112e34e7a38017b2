package step

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"wisteriacroft/overload"
	"wisteriacroft/runner"
)

// An overloadCase describes trainers that ask for more than their engines can do.
type overloadCase struct {
	name       string
	factors    []float64 // of the engines' time per event
	deployment simDeployment
	shapes     []shape
}

// A shape is the size of a trainer's steps at a load factor of 1.
type shape struct {
	groups, size, maxEvents int
	trainingTime            time.Duration
}

// overloadCases returns three trainers with 47 engines, three with 46 engines of which a third
// take 2.4 times as long, and four with 38 engines of which a third are slower.
func overloadCases() []overloadCase {
	even := simDeployment{eventTokens: 77, maxEvents: 156, prompt: 276, slots: 8, tokens: 39215}
	tight := simDeployment{eventTokens: 77, maxEvents: 152, prompt: 276, slots: 8, tokens: 32564}
	second := time.Second
	return []overloadCase{
		{"even engines", factors(47), even, []shape{{24, 8, 156, second}, {24, 8, 156, second}, {10, 16, 121, second / 2}}},
		{"uneven engines", unevenFactors(46), tight, []shape{{22, 8, 152, second / 2}, {22, 8, 80, second}, {11, 16, 152, second}}},
		{
			"a third slower", thirdSlower(38), mixedDeployment,
			[]shape{{22, 8, 156, second / 2}, {12, 16, 94, second / 2}, {23, 8, 156, second / 2}, {12, 16, 156, second / 2}},
		},
	}
}

// unevenFactors returns factors of engines of which two thirds are fast.
func unevenFactors(count int) []float64 {
	fas := factors(count)
	for i := range fas {
		fas[i] = []float64{0.7, 0.7, 1.7}[i%3]
	}
	return fas
}

// newReplay returns a replay of the load with steps larger by the factor times.
func (oc *overloadCase) newReplay(times float64, way overload.Discipline) *replay {
	var trainers []*simTrainer
	for i, sh := range oc.shapes {
		deployment := oc.deployment
		deployment.maxEvents = sh.maxEvents
		groups := int(times*float64(sh.groups) + 0.5)
		trainers = append(trainers, newTrainer(deployment, fmt.Sprintf("model-%d", i), groups, sh.size, sh.trainingTime, uint64(100*i)))
	}
	re := newReplay(oc.deployment, oc.factors, trainers)
	re.table.policy = way
	return re
}

// run replays the load. It returns how many groups were in time, how many were requested,
// and the smallest fraction in time of any trainer.
func (oc *overloadCase) run(times float64, way overload.Discipline) (inTime, requested int, minFraction float64) {
	re := oc.newReplay(times, way)
	re.run(replayTime, nil)
	minFraction = 1
	for _, tr := range re.trainers {
		scheduled := int(replayTime/tr.every) * tr.target
		inTime, requested = inTime+tr.inTime, requested+scheduled
		minFraction = min(minFraction, float64(tr.inTime)/float64(scheduled))
	}
	return inTime, requested, minFraction
}

// policies are the overload disciplines to compare.
var policies = []struct {
	name string
	way  overload.Discipline
}{{"standing", overload.LeastSlack}, {"handed-in", overload.FirstInFirstOut}, {"cheapest", overload.ShortestFirst}, {"alike", overload.EqualProgress}}

// TestReplayOverload replays overload. Guards against least-slack placement under
// overload, by which all items end at about the same time, and late.
func TestReplayOverload(t *testing.T) {
	times := []float64{1, 2.5, 4}
	const main = 2 // these first policies are also replayed at lower load
	var lines []string
	var wg sync.WaitGroup
	served := map[string]int{}
	var mu sync.Mutex
	for _, oc := range overloadCases() {
		for i, po := range policies {
			at := len(lines)
			lines = append(lines, "")
			wg.Go(func() {
				line := fmt.Sprintf("%-16s %-10s", oc.name, po.name)
				for _, n := range times {
					if i >= main && n < 4 {
						continue
					}
					inTime, requested, minFraction := oc.run(n, po.way)
					line += fmt.Sprintf("   %4.1f: %4d of %4d, least %.3f", n, inTime, requested, minFraction)
					mu.Lock()
					served[fmt.Sprint(oc.name, po.name, n)] = inTime
					mu.Unlock()
				}
				mu.Lock()
				lines[at] = line + "\n"
				mu.Unlock()
			})
		}
	}
	wg.Wait()
	golden.Assert(t, strings.Join(lines, ""), "crowded.golden")
	for _, oc := range overloadCases() {
		before, after := served[oc.name+"standing4"], served[oc.name+"handed-in4"]
		assert.Assert(t, after > 4*before && after > 0, "%s: %d in time, %d by least slack alone", oc.name, after, before)
	}
}

// A new scheduler must plan capacity for the same groups as its predecessor, or the work
// started for them would be wasted.
func TestNewSchedulerPlansSameGroups(t *testing.T) {
	steps := []*Step{stepOf("first", 4, 4, 4, 4, 4, 4, 4), stepOf("second", 4, 4, 4, 4, 4)}
	for _, st := range steps {
		for i := range st.Items {
			st.Items[i].Hint = 500 + 10*i
		}
	}
	steps[1].Accepted = begin.Add(time.Second)
	plan := func(epoch uint64, order []*Step) string {
		ta := tableOf(t, epoch, "a", "b")
		for _, st := range order {
			ta.Accept(st, StoredStep{}, false, begin.Add(time.Second))
		}
		respond(ta, "a", runner.ExchangeResponse{}, begin.Add(time.Second))
		respond(ta, "b", runner.ExchangeResponse{}, begin.Add(time.Second))
		ta.planCapacity(begin.Add(time.Second))
		assert.Assert(t, ta.overloaded("service"))
		text := ""
		for _, sr := range ta.openSteps {
			for _, ir := range sr.items {
				text += fmt.Sprint(ir.item.ID, " ", ir.group.plan.InTime(), " ", ir.group.plan.Position(), "\n")
			}
		}
		return text
	}
	before := plan(1, steps)
	slices.Reverse(steps) // a scheduler may read them in any order
	assert.Equal(t, plan(2, steps), before)
}

// Steps without a due time never cause overload mode.
func TestStepsWithoutDueTimeCauseNoOverload(t *testing.T) {
	for due, want := range map[time.Duration]bool{0: false, 7500 * time.Millisecond: true} {
		ta := tableOf(t, 1, "a")
		st := stepOf("large", 100, 100)
		st.Due = due
		ta.Accept(st, StoredStep{}, false, begin)
		ta.planCapacity(begin)
		assert.Equal(t, ta.overloaded("service"), want, "due after %s", due)
	}
}

// largeLoad returns six trainers whose step sizes are proportional to the number of engines.
func largeLoad(engines int) *overloadCase {
	oc := &overloadCase{factors: factors(engines), deployment: simDeployment{eventTokens: 77, maxEvents: 156, prompt: 276, slots: 8, tokens: 39215}}
	for range 6 {
		oc.shapes = append(oc.shapes, shape{groups: 280 * engines / 1100, size: 8, maxEvents: 156, trainingTime: time.Second})
	}
	return oc
}

// BenchmarkTick times ticks with six trainers most of whose items wait: placement and whole
// ticks under changing load, placement without changes, and planning alone.
func BenchmarkTick(b *testing.B) {
	for _, engines := range []int{46, 300, 1100} {
		for _, po := range policies[:2] {
			re := largeLoad(engines).newReplay(2.5, po.way)
			re.run(4*time.Second, nil)
			name := fmt.Sprintf("%s-%d", po.name, engines)
			tick := 0
			live := func(b *testing.B, before, timed, after func()) {
				for b.Loop() {
					b.StopTimer()
					re.now = re.now.Add(simTick)
					re.respond(tick)
					before()
					b.StartTimer()
					timed()
					b.StopTimer()
					after()
					re.runTrainers()
					b.StartTimer()
					tick++
				}
			}
			b.Run(name+"-live-place", func(b *testing.B) {
				live(b, re.decideBefore, func() { re.table.Place(re.now) }, re.decideAfter)
			})
			b.Run(name+"-live-all", func(b *testing.B) {
				live(b, func() {}, func() { re.decideBefore(); re.table.Place(re.now); re.decideAfter() }, func() {})
			})
			b.Run(name+"-place", func(b *testing.B) {
				for b.Loop() {
					re.now = re.now.Add(simTick)
					re.table.Place(re.now)
				}
			})
			b.Run(name+"-plan", func(b *testing.B) {
				for b.Loop() {
					re.now = re.now.Add(planInterval)
					re.table.planCapacity(re.now)
				}
			})
		}
	}
}

// Engines that take three times the default time per token, under overload. With the default
// time, work would be underestimated and the overload detected too late.
func TestEnginesOfAnotherType(t *testing.T) {
	deployment := simDeployment{eventTokens: 77, maxEvents: 44, prompt: 276, slots: 8, tokens: 39215}
	oc := overloadCase{factors: factors(47), deployment: deployment, shapes: []shape{{24, 8, 44, time.Second}, {24, 8, 44, time.Second}, {10, 16, 40, time.Second / 2}}}
	for i := range oc.factors {
		oc.factors[i] *= 3
	}
	text := ""
	for _, times := range []float64{2, 3, 4, 6} {
		inTime, requested, minFraction := oc.run(times, overload.FirstInFirstOut)
		text += fmt.Sprintf("%.0f times: %4d of %4d, least %.3f\n", times, inTime, requested, minFraction)
	}
	golden.Assert(t, text, "other-make.golden")
}

// The time per token is measured only if engines differ from the default by more than their
// load explains.
func TestTokenTime(t *testing.T) {
	var es tokenEstimator
	usual := defaultTokenTime * 64
	assert.Equal(t, es.tokenTime(usual, usual), time.Duration(0), "nothing has ended yet")
	for range estimatorMinRatios {
		es.observeHint(64*estimatorMinEvents, estimatorMinEvents)
	}
	assert.Equal(t, es.tokenTime(usual*3, usual*3), time.Duration(0), "hints alone are not enough")
	for range estimatorMinAtLimit {
		es.observeLimit(64*estimatorMinEvents, estimatorMinEvents)
	}
	for name, tc := range map[string]struct{ median, best, want time.Duration }{
		"usual":                   {usual, usual, defaultTokenTime},
		"slowed down for a while": {usual * 3, usual, defaultTokenTime},
		"three times as long":     {usual * 3, usual * 3, defaultTokenTime * 3},
		"a third as long":         {usual / 3, usual / 4, defaultTokenTime / 3},
		"one is faster":           {usual, usual / 4, defaultTokenTime},
		"not measured":            {0, 0, 0},
	} {
		assert.Equal(t, es.tokenTime(tc.median, tc.best), tc.want, name)
	}
}
