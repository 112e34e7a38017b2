package overload

import (
	"cmp"
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// referencePlan is a reference implementation of Plan in quadratic time per group.
func referencePlan(pl *Planner, steps []*Step, slots float64, now time.Time) {
	var work, due time.Duration
	for _, st := range steps {
		st.work = 0
		due = max(due, st.Due)
		slices.SortStableFunc(st.Groups, func(a, b *Group) int {
			return cmp.Or(compareBool(b.Again, a.Again), cmp.Compare(a.Work, b.Work))
		})
		work += st.wantedWork()
	}
	pl.load = 0
	if work > 0 {
		pl.load = float64(work) / max(1, slots*float64(due))
	}
	short := false
	steps = pl.starvedFirst(steps, now)
	cds := pl.candidates(steps)
	for i := range cds {
		gr, st := cds[i].group, cds[i].step
		cds[i].tier = tierOf(cds[i])
		gr.inTime = cds[i].tier == possible && referenceFits(steps, st, gr.Work, reservableFraction*slots)
		short = short || cds[i].wanted && !gr.inTime && st.Left > 0
		if gr.inTime {
			cds[i].tier = planned
			st.work += gr.Work
		}
	}
	slices.SortStableFunc(cds, func(a, b candidate) int {
		order := cmp.Compare(a.tier, b.tier)
		if order == 0 && a.tier >= late {
			order = cmp.Or(cmp.Compare(a.step.Rank, b.step.Rank), cmp.Compare(a.group.Work, b.group.Work))
		}
		return order
	})
	for position, cd := range cds {
		cd.group.position = position
	}
	switch {
	case pl.Way == LeastSlack:
	case pl.load >= overloadFraction:
		pl.overloaded = true
	case pl.load < idleFraction, pl.load < clearFraction && (!pl.Lingers || !short):
		pl.overloaded = false
	}
}

func referenceFits(steps []*Step, st *Step, work time.Duration, slots float64) bool {
	for _, until := range steps {
		if until.Left < st.Left {
			continue
		}
		total := work
		for _, other := range steps {
			if other.Left <= until.Left {
				total += other.work
			}
		}
		if float64(total) > slots*float64(until.Left) {
			return false
		}
	}
	return true
}

// drawSteps draws steps, many of them similar, and returns them with a deep copy.
func drawSteps(t *rapid.T) (steps, twins []*Step) {
	seconds := rapid.SampledFrom([]int{-1, 0, 1, 2, 2, 5, 8})
	for i := range rapid.IntRange(0, 6).Draw(t, "steps") {
		st := &Step{
			Due: 8 * time.Second, GivesUp: time.Duration(seconds.Draw(t, "gives up")) * time.Second,
			Left: time.Duration(seconds.Draw(t, "left")) * time.Second, Rank: rapid.IntRange(0, 2).Draw(t, "rank"),
			Trainer: fmt.Sprint(i % 4), Wanted: rapid.IntRange(-1, 6).Draw(t, "wanted"),
		}
		twin := *st
		for range rapid.IntRange(0, 8).Draw(t, "groups") {
			gr := Group{
				Again:   rapid.IntRange(0, 3).Draw(t, "again") == 0,
				Longest: time.Duration(rapid.IntRange(1, 4).Draw(t, "longest")) * time.Second,
				Work:    time.Duration(rapid.IntRange(1, 6).Draw(t, "work")) * time.Second,
			}
			other := gr
			st.Groups, twin.Groups = append(st.Groups, &gr), append(twin.Groups, &other)
		}
		steps, twins = append(steps, st), append(twins, &twin)
	}
	return steps, twins
}

func describe(pl *Planner, steps []*Step) []string {
	lines := []string{fmt.Sprint(pl.Overloaded(), " ", pl.Load())}
	for i, st := range steps {
		for _, gr := range st.Groups {
			lines = append(lines, fmt.Sprint("step ", i, " again ", gr.Again, " longest ", gr.Longest, " work ", gr.Work, " room ", gr.InTime(), " ", gr.Position()))
		}
	}
	return lines
}

// Guards against optimizations of Plan that change its result.
func TestPlanMatchesReference(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		way := rapid.SampledFrom([]Discipline{FirstInFirstOut, ShortestFirst, EqualProgress, LeastSlack}).Draw(t, "way")
		lingers := rapid.Bool().Draw(t, "lingers")
		pl, twin := &Planner{Lingers: lingers, Way: way}, &Planner{Lingers: lingers, Way: way}
		now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
		for range rapid.IntRange(1, 5).Draw(t, "plans") {
			steps, twins := drawSteps(t)
			slots := float64(rapid.IntRange(0, 12).Draw(t, "places"))
			pl.Plan(steps, slots, now)
			referencePlan(twin, twins, slots, now)
			assert.DeepEqual(t, describe(pl, steps), describe(twin, twins))
			now = now.Add(10 * time.Second)
		}
	})
}
