package step

import (
	"cmp"
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"wisteriacroft/forward"
	"wisteriacroft/hold"
	"wisteriacroft/runner"
)

// A tablePair applies the same events to two tables: one places items as schedulers do, the
// other by the reference implementation.
type tablePair struct {
	engines []EngineInfo
	holds   int64 // version of the current holds
	light   bool  // most slots are free, so that runs can move
	now     time.Time
	serial  int
	tables  [2]*Table
}

func (tp *tablePair) both(do func(ta *Table)) {
	for _, ta := range tp.tables {
		do(ta)
	}
}

var (
	pairModels    = []string{"model", "other"}
	pairCustomers = []string{"", "large", "small"}
)

// drawStep submits a step, whose items may have been in earlier steps.
func (tp *tablePair) drawStep(t *rapid.T) {
	st := &Step{
		Accepted: tp.now, Customer: rapid.SampledFrom(pairCustomers).Draw(t, "customer"), ID: fmt.Sprint("step-", tp.serial),
		Due:         time.Duration(rapid.SampledFrom([]int{0, 1000, 4000, 7500}).Draw(t, "due")) * time.Millisecond,
		MaxAttempts: 2, MaxWait: rapid.SampledFrom([]time.Duration{0, 10 * time.Second}).Draw(t, "wait"), MinVersion: uint64(rapid.IntRange(1, 2).Draw(t, "version")),
		Model: rapid.SampledFrom(pairModels).Draw(t, "model"), Service: "service", SingleVersion: rapid.IntRange(0, 3).Draw(t, "single") == 0,
	}
	groups, interleaved := rapid.IntRange(1, 8).Draw(t, "groups"), rapid.Bool().Draw(t, "interleaved")
	items := rapid.IntRange(1, 30).Draw(t, "items")
	if tp.light {
		items = (items + 3) / 4
	}
	first := tp.serial % 3 * 5 // group names recur in later steps
	for i := range items {
		group := i * groups / items
		if interleaved {
			group = i % groups
		}
		it := Item{
			Body: []byte("body"), Group: fmt.Sprint("g", first+group), ID: fmt.Sprintf("i-%d-%d-%s", first+group, i, st.Model),
			Prompt: 100 * (1 + group%3),
			Hint:   rapid.SampledFrom([]int{0, 300, 900, 2500, 6000}).Draw(t, "hint"),
		}
		it.Tokens = it.Prompt + rapid.SampledFrom([]int{500, 3000, 9000}).Draw(t, "tokens")
		if rapid.IntRange(0, 4).Draw(t, "reward") == 0 {
			it.Reward = &forward.Call{ID: it.ID}
		}
		st.Items = append(st.Items, it)
	}
	st.Groups = groups
	tp.serial++
	tp.both(func(ta *Table) { ta.Accept(st, StoredStep{}, false, tp.now) })
}

// drawEngines changes the set of engines and their properties.
func (tp *tablePair) drawEngines(t *rapid.T) {
	for i := range tp.engines {
		if rapid.IntRange(0, 3).Draw(t, "same") > 0 {
			continue
		}
		tp.engines[i].Leaving = rapid.IntRange(0, 3).Draw(t, "leaving") == 0
		tp.engines[i].Slots = rapid.IntRange(1, 5).Draw(t, "slots")
		if tp.light {
			tp.engines[i].Slots += 4
		}
		tp.engines[i].Tokens = rapid.SampledFrom([]int{0, 4000, 12000}).Draw(t, "memory")
	}
	infos := tp.engines
	if rapid.IntRange(0, 3).Draw(t, "gone") == 0 {
		infos = infos[:len(infos)-1]
	}
	tp.both(func(ta *Table) { ta.SetEngines(infos, tp.now) })
}

// drawAnswers delivers exchange responses of most attendants.
func (tp *tablePair) drawAnswers(t *rapid.T) {
	for _, en := range tp.tables[0].sortedEngines {
		if rapid.IntRange(0, 3).Draw(t, "answers") > 0 {
			tp.drawAnswer(t, en)
		}
	}
}

// drawAnswer delivers an exchange response of one engine's attendant.
func (tp *tablePair) drawAnswer(t *rapid.T, en *engineRow) {
	re := runner.ExchangeResponse{Boot: "boot", Reachable: rapid.IntRange(0, 9).Draw(t, "reachable") > 0}
	re.Report = runner.Report{
		Active: len(en.items), Pace: time.Duration(rapid.SampledFrom([]int{40, 40, 48, 150}).Draw(t, "pace")) * time.Millisecond,
		PaceGaps: rapid.IntRange(0, 8).Draw(t, "gaps"), Tokens: rapid.SampledFrom([]int{0, 0, 3000}).Draw(t, "held"),
		Busy: rapid.IntRange(0, 9).Draw(t, "busy") == 0, Versions: map[string]uint64{},
	}
	re.Running = max(0, re.Report.Active-rapid.IntRange(0, 1).Draw(t, "foreign"))
	for _, model := range pairModels {
		re.Report.Versions[model] = max(en.versions[model], uint64(rapid.IntRange(1, 2).Draw(t, "has")))
	}
	keys := []runner.Key{}
	for key := range en.items {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, func(a, b runner.Key) int { return int(a.Attempt) - int(b.Attempt) })
	states := []runner.State{
		runner.Running, runner.Running, runner.Running, runner.Complete, runner.Complete, runner.Failed, runner.NotRun,
		runner.Broken, runner.Impossible, runner.Stopped,
	}
	for _, key := range keys {
		ir := en.items[key]
		state := rapid.SampledFrom(states).Draw(t, "state")
		if ir.run.stopping && rapid.Bool().Draw(t, "stops") {
			state = runner.Stopped
		}
		pr := runner.Progress{Endpoint: en.id, First: len(ir.events), Key: key, State: state, EngineEnded: state == runner.Broken}
		for i := range rapid.IntRange(0, 30).Draw(t, "events") {
			pr.Events = append(pr.Events, runner.Event{Data: []byte("e"), ID: int64(len(ir.events) + i + 1), Version: ir.run.version})
		}
		re.Runs = append(re.Runs, pr)
	}
	restarts := rapid.Bool().Draw(t, "run restarts")
	tp.both(func(ta *Table) {
		rq, _ := ta.Request(en.id)
		ta.HandleResponse(en.id, rq, re, tp.now)
		if restarts {
			ta.restartStopped(tp.now)
		}
	})
}

// drawEventTokens changes the observed number of tokens per event of a model.
func (tp *tablePair) drawEventTokens(t *rapid.T) {
	model, tokens := rapid.SampledFrom(pairModels).Draw(t, "gauge"), rapid.IntRange(20, 120).Draw(t, "tokens per event")
	tp.both(func(ta *Table) {
		for range estimatorMaxRatios {
			if estimator := ta.estimators[model]; estimator != nil {
				estimator.observeHint(tokens*estimatorMinEvents, estimatorMinEvents)
			}
		}
	})
}

// drawScores answers reward calls.
func (tp *tablePair) drawScores(t *rapid.T) {
	took := time.Duration(rapid.IntRange(50, 900).Draw(t, "score")) * time.Millisecond
	tp.both(func(ta *Table) {
		var irs []*itemRow
		for ir := range ta.unscored {
			irs = append(irs, ir)
		}
		slices.SortFunc(irs, func(a, b *itemRow) int {
			return cmp.Or(cmp.Compare(a.step.step.ID, b.step.step.ID), cmp.Compare(a.item.ID, b.item.ID))
		})
		for _, ir := range irs[:len(irs)/2] {
			ta.handleReward(ir, forward.Response{Signature: "score"}, took, tp.now)
		}
	})
}

func (tp *tablePair) drawHold(t *rapid.T) {
	sh := &hold.Set{}
	if customer := rapid.SampledFrom(pairCustomers).Draw(t, "held customer"); customer != "" {
		target := hold.Target{Kind: hold.Customer, Name: customer}
		held, _, err := sh.Apply(hold.Change{Action: hold.Held, Record: hold.Record{By: "ada", Target: target, Why: "test"}})
		assert.NilError(t, err)
		sh = held
	}
	tp.holds++
	sh = sh.WithVersion(tp.holds)
	tp.both(func(ta *Table) { ta.SetHolds(sh, tp.now) })
}

func (tp *tablePair) drawEnd(t *rapid.T) {
	if open := tp.tables[0].openSteps; len(open) > 0 {
		id := open[rapid.IntRange(0, len(open)-1).Draw(t, "step")].step.ID
		tp.both(func(ta *Table) { ta.End(id) })
	}
}

// skipTime advances the time without any events.
func (tp *tablePair) skipTime(t *rapid.T) {
	tp.now = tp.now.Add(time.Duration(rapid.IntRange(1, 4).Draw(t, "passes")) * 600 * time.Millisecond)
}

// tick runs all systems of a tick on both tables, each with its own placement.
func (tp *tablePair) tick() {
	tp.now = tp.now.Add(tickInterval)
	for i, ta := range tp.tables {
		ta.EvictSilent(tp.now)
		ta.MeasurePace(tp.now)
		ta.ChargeUsage(tp.now)
		ta.DropExpired(tp.now)
		ta.MoveStragglers(tp.now)
		ta.RelieveMemory(tp.now)
		if i == 0 {
			ta.Place(tp.now)
		} else {
			referencePlace(ta, tp.now)
		}
		ta.OrderLoads(tp.now)
	}
}

// compare fails unless both tables have the same placements, and the cached sums of engines'
// memory match a full recount.
func (tp *tablePair) compare(t *rapid.T) {
	lines := [2][]string{}
	for i, ta := range tp.tables {
		lines[i] = append(lines[i], fmt.Sprint("rooms ", ta.ServiceLoads(), " ahead ", ta.prequeues("service")))
		for _, sr := range ta.openSteps {
			for _, ir := range sr.items {
				lines[i] = append(lines[i], fmt.Sprint(
					sr.step.ID, " ", ir.item.ID, " state ", ir.state, " at ", ir.run.engineID, " run ", ir.run.key.Attempt, " to ", ir.moveTarget,
					" room ", ir.group.plan.InTime(), " ", ir.group.plan.Position(),
				))
			}
		}
		for _, en := range ta.sortedEngines {
			now, end := en.memoryUse()
			refNow, refEnd := referenceMemory(en)
			assert.Equal(t, fmt.Sprint(now, end), fmt.Sprint(refNow, refEnd), "memory of %s", en.id)
		}
	}
	assert.DeepEqual(t, lines[0], lines[1])
	ta := tp.tables[0]
	assert.Equal(t, fmt.Sprint(ta.customerCounts()), fmt.Sprint(referenceCounts(ta)))
	for _, sr := range ta.openSteps {
		assert.Equal(t, ta.endsIn(sr, tp.now), referenceEndsIn(ta, sr, tp.now), "end of %s", sr.step.ID)
		assert.Assert(t, slices.Equal(ta.runsToMove(sr, tp.now), referenceMoves(ta, sr, tp.now)), "runs of %s to move", sr.step.ID)
	}
}

// Guards against stale caches: placement with state kept between ticks must equal a full
// recomputation after any sequence of events.
func TestPlacementMatchesReference(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tp := &tablePair{now: begin, tables: [2]*Table{NewTable(1, nil), NewTable(1, nil)}}
		tp.light = rapid.Bool().Draw(t, "light")
		for i := range rapid.IntRange(1, 6).Draw(t, "engines") {
			tp.engines = append(tp.engines, EngineInfo{ID: fmt.Sprint("engine-", i), Service: "service", Slots: 2, Tokens: 12000})
		}
		tp.both(func(ta *Table) {
			for _, model := range pairModels {
				ta.SetVersion(model, 2)
			}
			ta.SetEngines(tp.engines, tp.now)
		})
		events := []func(*rapid.T){
			tp.drawStep, tp.drawStep, tp.drawEngines, tp.drawAnswers, tp.drawAnswers, tp.drawAnswers, tp.drawAnswers, tp.drawAnswers,
			tp.drawScores, tp.drawHold, tp.drawEnd, tp.drawEventTokens, tp.skipTime, tp.skipTime,
		}
		for range rapid.IntRange(1, 60).Draw(t, "events") {
			rapid.SampledFrom(events).Draw(t, "event")(t)
			tp.tick()
			tp.compare(t)
		}
	})
}
