package step

import (
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"wisteriacroft/runner"
)

// A replay plays a load against a Table in steps of a tick: engines that make
// tokens at a pace that depends on what they run, attendants that answer each
// second tick, and trainers that ask for steps and end them.
type replay struct {
	baseline bool // no run is moved, and the freest engine is taken
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
// before 46, and four before 50 with little memory.
var (
	smallSheet = simSheet{eventTokens: 64, maxEvents: 195, prompt: 271, slots: 12, tokens: 46422}
	grownSheet = simSheet{eventTokens: 80, maxEvents: 149, prompt: 1016, slots: 8, tokens: 43562}
	tightSheet = simSheet{eventTokens: 80, maxEvents: 154, prompt: 276, slots: 8, tokens: 31632}
)

// A simEngine makes tokens as the engines of the deployments do, by their
// sheet: 0.592 ms for a step of all runs, 1.72 us more for each run and 1.63 us
// for each thousand tokens of context.
type simEngine struct {
	id       string
	factor   float64 // slower by
	loading  time.Time
	model    string // that it loads
	target   uint64
	order    []*simRun // by launch
	runs     map[runner.Key]*simRun
	sheet    simSheet
	versions map[string]uint64
	dead     bool
}

type simRun struct {
	launch runner.Launch
	length int // events
	model  string
	made   float64
	events []runner.Event
	state  runner.State
}

const (
	simTick = 50 * time.Millisecond
	simLoad = 900 * time.Millisecond
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

func (se *simEngine) context() float64 {
	tokens := 0.0
	for _, ru := range se.order {
		if ru.state == runner.Running {
			tokens += se.holds(ru)
		}
	}
	return tokens
}

// holds returns how many tokens a run holds.
func (se *simEngine) holds(ru *simRun) float64 {
	return float64(se.sheet.prompt) + (float64(len(ru.launch.Prior))+ru.made)*float64(se.sheet.eventTokens)
}

func (se *simEngine) alive() int {
	count := 0
	for _, ru := range se.runs {
		if ru.state == runner.Running {
			count++
		}
	}
	return count
}

// pace is the time of one event.
func (se *simEngine) pace() time.Duration {
	step := 0.592 + 0.00172*float64(se.alive()) + 0.00163*se.context()/1000
	return time.Duration(step * float64(se.sheet.eventTokens) * se.factor * float64(time.Millisecond))
}

func (se *simEngine) advance(now time.Time) {
	if !se.loading.IsZero() && !now.Before(se.loading) {
		se.versions[se.model], se.loading = se.target, time.Time{}
	}
	if se.dead {
		return
	}
	events := float64(simTick) / float64(se.pace())
	held := 0.0
	for _, ru := range se.order {
		if ru.state != runner.Running {
			continue
		}
		// Out of memory, the newest runs wait until older ones have ended.
		if held += se.holds(ru); held > float64(se.sheet.tokens) {
			continue
		}
		ru.made += events
		prior := len(ru.launch.Prior)
		for len(ru.events) < prior+int(ru.made) && len(ru.events) < ru.length {
			ru.events = append(ru.events, runner.Event{ID: int64(len(ru.events) + 1), Data: []byte("x"), Version: se.versions[ru.model]})
		}
		if len(ru.events) >= ru.length {
			ru.state = runner.Complete
		}
	}
}

// exchange answers a request as an attendant does.
func (se *simEngine) exchange(
	rq runner.ExchangeRequest, trainers []*simTrainer, load time.Duration, now time.Time,
) runner.ExchangeResponse {
	for _, la := range rq.Launches {
		if se.runs[la.Key] != nil {
			continue
		}
		ru := &simRun{launch: la, events: slices.Clone(la.Prior)}
		for _, tr := range trainers {
			if length, ok := tr.lengths[la.Key.Item]; ok {
				ru.length, ru.model = length, tr.model
			}
		}
		// Reading the prompt and what was made elsewhere takes time.
		read := float64(se.sheet.prompt + len(la.Prior)*se.sheet.eventTokens)
		ru.made = -read / 307 / (float64(se.pace()) / float64(time.Millisecond))
		if !se.loading.IsZero() && se.model == ru.model || se.alive() >= se.sheet.slots {
			ru.state = runner.NotRun
		}
		se.runs[la.Key] = ru
		se.order = append(se.order, ru)
	}
	for _, key := range rq.Stops {
		if ru := se.runs[key]; ru != nil && ru.state == runner.Running {
			ru.state = runner.Stopped
		}
	}
	for _, key := range rq.Forget {
		delete(se.runs, key)
		se.order = slices.DeleteFunc(se.order, func(ru *simRun) bool { return ru.launch.Key == key })
	}
	if rq.Order != nil && rq.Order.Version > se.versions[rq.Order.Model] && se.loading.IsZero() {
		se.loading, se.model, se.target = now.Add(load), rq.Order.Model, rq.Order.Version
	}
	re := runner.ExchangeResponse{Boot: "boot", Reachable: true, Report: runner.Report{
		Active: se.alive(), Busy: !se.loading.IsZero(), Pace: se.pace(), PaceGaps: 4 * se.alive(),
		Tokens: int(se.context()), Versions: maps.Clone(se.versions),
	}}
	if !se.loading.IsZero() {
		re.Ordered = se.target
	}
	for _, ru := range se.order {
		re.Runs = append(re.Runs, runner.Progress{
			Endpoint: se.id, Events: slices.Clone(ru.events), Key: ru.launch.Key, State: ru.state,
		})
	}
	return re
}

// A simTrainer asks for steps as the deployments' trainers do: step k once
// version k is named, allowing k-1 and newer, two steps at a time at most.
type simTrainer struct {
	carry   []string // groups that come again
	due     time.Duration
	every   time.Duration
	groups  int
	lengths map[string]int
	lesson  time.Duration // that training takes
	model   string
	names   map[string][]Item // items by group
	next    int
	named   uint64
	open    []*simStep
	rng     *rand.Rand
	sheet   simSheet
	size    int
	start   time.Time
	target  int
	train   time.Time // when the version after the step that ended is named

	inTime, whole, asked int
	took                 []time.Duration
}

type simStep struct {
	row   *stepRow
	step  *Step
	asked time.Time
	first map[string]bool

	inTime  int  // groups that were whole when the step was due
	read    int  // results
	reading bool // a read waits for results
	lookAt  time.Time
}

// readEvery is how often a trainer looks at what it has read and reads on.
const readEvery = 500 * time.Millisecond

// looks reports whether the trainer looks at what it has read now. A read that
// finds results is answered at once, and one that finds none once there are
// some; the trainer takes no notice before it looks again, and reads on if it
// lacks results.
func (ss *simStep) looks(now time.Time) bool {
	if ss.reading && len(ss.row.results) > ss.read {
		ss.read, ss.reading = len(ss.row.results), false
	}
	if now.Before(ss.lookAt) {
		return false
	}
	ss.lookAt = ss.lookAt.Add(readEvery)
	return true
}

// readOn begins a read, unless one waits.
func (ss *simStep) readOn() {
	if !ss.reading && len(ss.row.results) > ss.read {
		ss.read = len(ss.row.results)
		return
	}
	ss.reading = true
}

func (tr *simTrainer) length() int {
	// Lognormal with a mean of 27 events; 8 of 100 last five times as long. The
	// longest are some 7 times the mean.
	events := float64(tr.sheet.maxEvents) / 195 * 20 * math.Exp(0.78*tr.rng.NormFloat64())
	if tr.rng.Float64() < 0.08 {
		events *= 5
	}
	return int(min(max(events, 2), float64(tr.sheet.maxEvents)))
}

func (tr *simTrainer) newGroup(name string) []Item {
	var its []Item
	for i := range tr.size {
		id := fmt.Sprintf("%s-%d", name, i)
		length := tr.length()
		tr.lengths[id] = length
		hint := float64(length*tr.sheet.eventTokens) * math.Exp(0.5*tr.rng.NormFloat64())
		its = append(its, Item{
			ID: id, Group: name, Hint: int(hint), Prompt: tr.sheet.prompt,
			Tokens: tr.sheet.prompt + tr.sheet.maxEvents*tr.sheet.eventTokens,
		})
	}
	return its
}

// ask submits the step that is due, if its version is named.
func (tr *simTrainer) ask(re *replay) {
	when := tr.start.Add(time.Duration(tr.next) * tr.every)
	if re.now.Before(when) || uint64(tr.next) > tr.named {
		return
	}
	st := &Step{
		Accepted: re.now, Due: tr.due, Groups: tr.target, ID: fmt.Sprintf("%s-%d", tr.model, tr.next),
		MinVersion: uint64(max(tr.next-1, 1)), Model: tr.model, Number: tr.next, Service: "service", MaxAttempts: 3,
	}
	carried := tr.carry[:min(len(tr.carry), tr.target/2)]
	tr.carry = tr.carry[len(carried):]
	names := slices.Clone(carried)
	for i := len(names); i < tr.groups; i++ {
		name := fmt.Sprintf("%s-g%d-%d", tr.model, tr.next, i)
		tr.names[name] = tr.newGroup(name)
		names = append(names, name)
	}
	first := map[string]bool{}
	for _, name := range carried {
		first[name] = true
	}
	for _, name := range names {
		st.Items = append(st.Items, tr.names[name]...)
	}
	re.table.Accept(st, Kept{}, false, re.now)
	tr.open = append(tr.open, &simStep{row: re.table.steps[st.ID], step: st, asked: re.now, first: first, lookAt: re.now})
	tr.asked += tr.target
	tr.next++
}

// look reads each open step, and ends those that are whole or out of time.
func (tr *simTrainer) look(re *replay) {
	if !tr.train.IsZero() && !re.now.Before(tr.train) {
		tr.train = time.Time{}
		tr.named++
		re.table.SetVersion(tr.model, tr.named)
	}
	tr.open = slices.DeleteFunc(tr.open, func(ss *simStep) bool { return tr.finish(re, ss) })
}

func (tr *simTrainer) finish(re *replay, ss *simStep) bool {
	took := re.now.Sub(ss.asked)
	if !ss.looks(re.now) && took < 12*time.Second {
		return false
	}
	listed := map[string]int{}
	for _, it := range ss.row.results[:ss.read] {
		listed[it.Item[:strings.LastIndex(it.Item, "-")]]++
	}
	whole, first := 0, 0
	for name, count := range listed {
		if count == tr.size {
			whole++
			if ss.first[name] {
				first++
			}
		}
	}
	if ss.inTime < whole && took <= tr.due+700*time.Millisecond {
		ss.inTime = whole
	}
	if (whole < tr.target || first < len(ss.first)) && took < 12*time.Second {
		ss.readOn()
		return false
	}
	tr.inTime += min(ss.inTime, tr.target)
	tr.whole += min(whole, tr.target)
	tr.took = append(tr.took, took)
	for name := range tr.names {
		if listed[name] < tr.size && slices.ContainsFunc(ss.step.Items, func(it Item) bool { return it.Group == name }) {
			tr.carry = append(tr.carry, name)
		}
	}
	slices.Sort(tr.carry)
	re.table.End(ss.step.ID)
	tr.train = re.now.Add(tr.lesson)
	return true
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

// play plays a load for a time.
func (re *replay) play(length time.Duration, each func(at time.Duration)) {
	begun := re.now
	for _, tr := range re.trainers {
		tr.start = begun
	}
	for tick := 0; re.now.Sub(begun) < length; tick++ {
		re.now = re.now.Add(simTick)
		if each != nil {
			each(re.now.Sub(begun))
		}
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
				ta.Heard(se.id, rq, se.exchange(rq, re.trainers, re.loadTime(), re.now), re.now)
			}
		}
		ta.Silence(re.now)
		ta.Paces(re.now)
		ta.GiveUp(re.now)
		if !re.baseline {
			ta.Move(re.now)
			ta.Relieve(re.now)
		}
		ta.Place(re.now)
		ta.Weights(re.now)
		if chunks := ta.Due(re.now); len(chunks) > 0 {
			ta.Listed(chunks, re.now)
		}
		for _, tr := range re.trainers {
			tr.ask(re)
			tr.look(re)
		}
	}
}

// newTrainer returns a trainer of groups of a size; 9 of 10 groups, rounded up,
// make a step.
func newTrainer(sheet simSheet, model string, groups, size int, lesson time.Duration, seed uint64) *simTrainer {
	return &simTrainer{
		due: 7500 * time.Millisecond, every: 4 * time.Second, groups: groups, lengths: map[string]int{},
		lesson: lesson, model: model, named: 1,
		names: map[string][]Item{}, rng: rand.New(rand.NewPCG(seed, 1)), sheet: sheet, size: size, target: (groups*9 + 9) / 10,
	}
}

func mean(took []time.Duration) time.Duration {
	total := time.Duration(0)
	for _, t := range took {
		total += t
	}
	return total / time.Duration(max(len(took), 1))
}
