package step

import (
	"fmt"
	"time"

	"wisteriacroft/runner"
)

// A replay simulates a load on a Table tick by tick: engines, attendants that respond every
// second tick, and trainers.
type replay struct {
	baseline   bool // runs aren't moved, and the engine with the most free slots is chosen
	exactPaces bool // the table gets the exact pace of each engine
	engines    []*simEngine
	now        time.Time
	deployment simDeployment
	table      *Table
	trainers   []*simTrainer
}

// A simDeployment holds the properties of a deployment's engines and items.
type simDeployment struct {
	eventTokens int // tokens per event
	maxEvents   int // of the longest item
	prompt      int // tokens per prompt
	slots       int // per engine
	tokens      int // memory per engine
}

// The deployments to simulate, from a dozen to 62 engines.
var (
	smallDeployment = simDeployment{eventTokens: 64, maxEvents: 195, prompt: 271, slots: 12, tokens: 46422}
	grownDeployment = simDeployment{eventTokens: 80, maxEvents: 149, prompt: 1016, slots: 8, tokens: 43562}
	largeDeployment = simDeployment{eventTokens: 64, maxEvents: 195, prompt: 276, slots: 6, tokens: 27652}
	shortDeployment = simDeployment{eventTokens: 64, maxEvents: 91, prompt: 276, slots: 6, tokens: 27652}
	mixedDeployment = simDeployment{eventTokens: 80, maxEvents: 156, prompt: 276, slots: 12, tokens: 39466}
	tightDeployment = simDeployment{eventTokens: 80, maxEvents: 154, prompt: 276, slots: 8, tokens: 31632}
)

// newReplay returns a replay with an engine for each factor.
func newReplay(deployment simDeployment, factors []float64, trainers []*simTrainer) *replay {
	re := &replay{now: time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC), deployment: deployment, table: NewTable(1, nil), trainers: trainers}
	for i, factor := range factors {
		se := &simEngine{
			factor: factor, id: fmt.Sprintf("engine-%02d", i), runs: map[runner.Key]*simRun{}, deployment: deployment,
			versions: map[string]uint64{},
		}
		for _, tr := range trainers {
			se.versions[tr.model] = 1
		}
		re.engines = append(re.engines, se)
	}
	for _, tr := range trainers {
		re.table.SetVersion(tr.model, 1)
	}
	return re
}

// loadTime returns how long a weight load that starts now takes: the weight store serves a
// fifth of the engines at full speed.
func (re *replay) loadTime() time.Duration {
	loading := 1
	for _, se := range re.engines {
		if !se.loading.IsZero() {
			loading++
		}
	}
	return time.Duration(float64(simLoad) * max(1, float64(loading)*5/float64(len(re.engines))))
}

// replaySlots limits concurrent replays, which would otherwise take the processors from tests of
// real processes.
var replaySlots = make(chan struct{}, 4)

// run runs the replay for the given time, and calls each, if not nil, at every tick.
func (re *replay) run(length time.Duration, each func(at time.Duration)) {
	replaySlots <- struct{}{}
	defer func() { <-replaySlots }()
	begun := re.now
	for _, tr := range re.trainers {
		tr.start = begun
	}
	for tick := 0; re.now.Sub(begun) < length; tick++ {
		re.now = re.now.Add(simTick)
		if each != nil {
			each(re.now.Sub(begun))
		}
		re.respond(tick)
		re.decideBefore()
		re.table.Place(re.now)
		re.decideAfter()
		re.runTrainers()
	}
}

// respond advances the engines by a tick and delivers responses of half of the attendants.
func (re *replay) respond(tick int) {
	var infos []EngineInfo
	for _, se := range re.engines {
		se.advance(re.now)
		infos = append(infos, EngineInfo{ID: se.id, Service: "service", Slots: re.deployment.slots, Tokens: re.deployment.tokens})
	}
	ta := re.table
	ta.SetEngines(infos, re.now)
	for i, se := range re.engines {
		if (tick+i)%2 == 0 && !se.dead {
			rq, _ := ta.Request(se.id)
			ta.HandleResponse(se.id, rq, se.exchange(rq, re.trainers, re.loadTime(), re.now), re.now)
		}
	}
}

// decideBefore runs the systems that precede placement.
func (re *replay) decideBefore() {
	ta := re.table
	ta.EvictSilent(re.now)
	ta.MeasurePace(re.now)
	ta.ChargeUsage(re.now)
	if re.exactPaces {
		re.setExactPaces()
	}
	ta.DropExpired(re.now)
	if !re.baseline {
		ta.MoveStragglers(re.now)
		ta.RelieveMemory(re.now)
	}
}

// decideAfter runs the systems that follow placement.
func (re *replay) decideAfter() {
	ta := re.table
	ta.OrderLoads(re.now)
	if chunks := ta.DueChunks(re.now); len(chunks) > 0 {
		ta.ChunksListed(chunks, re.now)
	}
}

// runTrainers lets trainers submit steps and read results.
func (re *replay) runTrainers() {
	for _, tr := range re.trainers {
		tr.submit(re)
		tr.poll(re)
	}
}

// setExactPaces sets the exact base pace of each engine in the table.
func (re *replay) setExactPaces() {
	bases := map[string][]time.Duration{}
	for _, se := range re.engines {
		en := re.table.engines[se.id]
		en.basePace = time.Duration(0.592 * float64(re.deployment.eventTokens) * se.factor * float64(time.Millisecond))
		bases[en.service] = append(bases[en.service], en.basePace)
	}
	for service, all := range bases {
		re.table.medianBases[service], re.table.bestBases[service] = median(all), all[0]
	}
}

func mean(took []time.Duration) time.Duration {
	total := time.Duration(0)
	for _, t := range took {
		total += t
	}
	return total / time.Duration(max(len(took), 1))
}
