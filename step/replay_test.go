package step

import (
	"fmt"
	"time"

	"wisteriacroft/runner"
)

// A replay plays a load against a Table in steps of a tick: engines that make
// tokens at a pace that depends on what they run, attendants that answer each
// second tick, and trainers that ask for steps and end them.
type replay struct {
	baseline bool // no run is moved, and the freest engine is taken
	known    bool // engines' paces are known as they change
	engines  []*simEngine
	now      time.Time
	sheet    simSheet
	table    *Table
	trainers []*simTrainer
}

// A simSheet is what a deployment's sheet says of its engines and items.
type simSheet struct {
	eventTokens int // tokens of an event
	maxEvents   int // of the longest item
	prompt      int // tokens of a prompt
	slots       int // of an engine
	tokens      int // memory of an engine
}

// The sheets of the deployments: one trainer before a dozen engines, four
// before 46, two before 62, whose items are long and short, four before 50 with little
// memory, and four before 38, of which a third are slower and one asks for wide groups.
var (
	smallSheet = simSheet{eventTokens: 64, maxEvents: 195, prompt: 271, slots: 12, tokens: 46422}
	grownSheet = simSheet{eventTokens: 80, maxEvents: 149, prompt: 1016, slots: 8, tokens: 43562}
	largeSheet = simSheet{eventTokens: 64, maxEvents: 195, prompt: 276, slots: 6, tokens: 27652}
	shortSheet = simSheet{eventTokens: 64, maxEvents: 91, prompt: 276, slots: 6, tokens: 27652}
	mixedSheet = simSheet{eventTokens: 80, maxEvents: 156, prompt: 276, slots: 12, tokens: 39466}
	tightSheet = simSheet{eventTokens: 80, maxEvents: 154, prompt: 276, slots: 8, tokens: 31632}
)

// newReplay returns a replay of a sheet with an engine for each factor.
func newReplay(sheet simSheet, factors []float64, trainers []*simTrainer) *replay {
	re := &replay{now: time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC), sheet: sheet, table: NewTable(1, nil), trainers: trainers}
	for i, factor := range factors {
		se := &simEngine{
			factor: factor, id: fmt.Sprintf("engine-%02d", i), runs: map[runner.Key]*simRun{}, sheet: sheet,
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

// loadTime returns how long a load takes that begins now: the store of weights
// serves a fifth of the engines at full speed.
func (re *replay) loadTime() time.Duration {
	loading := 1
	for _, se := range re.engines {
		if !se.loading.IsZero() {
			loading++
		}
	}
	return time.Duration(float64(simLoad) * max(1, float64(loading)*5/float64(len(re.engines))))
}

// playing bounds the loads that are played at once. Taking all processors for a minute,
// they made the tests of real processes late that run beside them.
var playing = make(chan struct{}, 4)

// play plays a load for a time.
func (re *replay) play(length time.Duration, each func(at time.Duration)) {
	playing <- struct{}{}
	defer func() { <-playing }()
	begun := re.now
	for _, tr := range re.trainers {
		tr.start = begun
	}
	for tick := 0; re.now.Sub(begun) < length; tick++ {
		re.now = re.now.Add(simTick)
		if each != nil {
			each(re.now.Sub(begun))
		}
		re.hear(tick)
		re.decideBefore()
		re.table.Place(re.now)
		re.decideAfter()
		re.readOn()
	}
}

// hear lets engines go on for a tick, and half of the attendants answer.
func (re *replay) hear(tick int) {
	var infos []EngineInfo
	for _, se := range re.engines {
		se.advance(re.now)
		infos = append(infos, EngineInfo{ID: se.id, Service: "service", Slots: re.sheet.slots, Tokens: re.sheet.tokens})
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

// decideBefore is what a tick decides before it places items.
func (re *replay) decideBefore() {
	ta := re.table
	ta.EvictSilent(re.now)
	ta.MeasurePace(re.now)
	ta.ChargeUsage(re.now)
	if re.known {
		re.tellPaces()
	}
	ta.DropExpired(re.now)
	if !re.baseline {
		ta.MoveStragglers(re.now)
		ta.RelieveMemory(re.now)
	}
}

// decideAfter is what a tick decides after it has placed items.
func (re *replay) decideAfter() {
	ta := re.table
	ta.Weights(re.now)
	if chunks := ta.Due(re.now); len(chunks) > 0 {
		ta.Listed(chunks, re.now)
	}
}

// readOn lets trainers ask for steps, and read what is listed.
func (re *replay) readOn() {
	for _, tr := range re.trainers {
		tr.ask(re)
		tr.look(re)
	}
}

// tellPaces tells the table the pace of each engine as it is.
func (re *replay) tellPaces() {
	bases := map[string][]time.Duration{}
	for _, se := range re.engines {
		en := re.table.engines[se.id]
		en.base = time.Duration(0.592 * float64(re.sheet.eventTokens) * se.factor * float64(time.Millisecond))
		bases[en.service] = append(bases[en.service], en.base)
	}
	for service, all := range bases {
		re.table.bases[service], re.table.bests[service] = median(all), all[0]
	}
}

func mean(took []time.Duration) time.Duration {
	total := time.Duration(0)
	for _, t := range took {
		total += t
	}
	return total / time.Duration(max(len(took), 1))
}
