package step

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

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

// newTrainer returns a trainer of groups of a size; 9 of 10 groups, rounded up,
// make a step.
func newTrainer(sheet simSheet, model string, groups, size int, lesson time.Duration, seed uint64) *simTrainer {
	return &simTrainer{
		due: 7500 * time.Millisecond, every: 4 * time.Second, groups: groups, lengths: map[string]int{},
		lesson: lesson, model: model, named: 1,
		names: map[string][]Item{}, rng: rand.New(rand.NewPCG(seed, 1)), sheet: sheet, size: size, target: (groups*9 + 9) / 10,
	}
}
