package step

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

// A simTrainer simulates a trainer: it submits step k once version k is published, allows
// versions from k-1 on, and has at most two steps open.
type simTrainer struct {
	carriedOver      []string // groups to request again
	customer         string
	due              time.Duration
	every            time.Duration
	exact            bool // hints are right
	groups           int
	lengths          map[string]int
	trainingTime     time.Duration // of training on one step
	model            string
	names            map[string][]Item // items by group
	next             int
	publishedVersion uint64
	open             []*simStep
	rng              *rand.Rand
	deployment       simDeployment
	size             int
	start            time.Time
	target           int
	publications     []time.Time // publication times of the next versions; steps are trained on one by one

	inTime, asked int
	took          []time.Duration
	tails         []time.Duration // by step, from its last result to its end
}

type simStep struct {
	row         *stepRow
	step        *Step
	asked       time.Time
	carriedOver map[string]bool

	inTime int // groups that were read in time
	read   int // results
	reader simReader
}

// A simReader simulates how a trainer polls results: a read waits up to readWait for a
// result, the response takes some time to arrive, and the next poll comes readEvery after
// the start of the read or with the response, whichever is later.
type simReader struct {
	startedAt time.Time // of the read
	waiting   bool      // the read waits for results
	pollAt    time.Time
	release   func(now time.Time)
	arriving  int // results on their way
	arriveAt  time.Time
}

// Parameters of a trainer's reads.
const (
	readEvery = 500 * time.Millisecond
	readWait  = time.Second
	// submitTime is the delay from a trainer's submission to the scheduler.
	submitTime = 100 * time.Millisecond
	// answerTime and answerRate are the latency and the bandwidth of responses.
	answerTime = 20 * time.Millisecond
	answerRate = 5 << 20 // bytes a second
)

// advance progresses a read, and reports whether the trainer polls now.
func (ss *simStep) advance(now time.Time) bool {
	rd := &ss.reader
	if rd.waiting {
		li := ss.row.listingFrom(ss.read)
		if len(li.Results) == 0 && now.Sub(rd.startedAt) < readWait {
			return false
		}
		size := 0
		for _, re := range li.Results {
			size += len(re.Text)
		}
		rd.release(now)
		rd.waiting, rd.arriving = false, len(li.Results)
		rd.arriveAt = now.Add(answerTime + time.Duration(size)*time.Second/answerRate)
		rd.pollAt = rd.startedAt.Add(readEvery)
		if rd.pollAt.Before(rd.arriveAt) {
			rd.pollAt = rd.arriveAt
		}
	}
	if rd.arriving > 0 && !now.Before(rd.arriveAt) {
		ss.read, rd.arriving = ss.read+rd.arriving, 0
	}
	return !now.Before(rd.pollAt)
}

// startRead starts a read.
func (ss *simStep) startRead(now time.Time) {
	ss.reader = simReader{startedAt: now, waiting: true, release: ss.row.addRead(now, readWait)}
}

func (tr *simTrainer) length() int {
	// Lognormal with a mean of 27 events; 8 percent are five times as long.
	events := float64(tr.deployment.maxEvents) / 195 * 20 * math.Exp(0.78*tr.rng.NormFloat64())
	if tr.rng.Float64() < 0.08 {
		events *= 5
	}
	return int(min(max(events, 2), float64(tr.deployment.maxEvents)))
}

func (tr *simTrainer) newGroup(name string) []Item {
	var its []Item
	for i := range tr.size {
		id := fmt.Sprintf("%s-%d", name, i)
		length := tr.length()
		tr.lengths[id] = length
		noise := math.Exp(0.5 * tr.rng.NormFloat64()) // also drawn for exact hints, so that lengths stay the same
		if tr.exact {
			noise = 1
		}
		hint := float64(length*tr.deployment.eventTokens) * noise
		its = append(its, Item{
			ID: id, Group: name, Hint: int(hint), Prompt: tr.deployment.prompt,
			Tokens: tr.deployment.prompt + tr.deployment.maxEvents*tr.deployment.eventTokens,
		})
	}
	return its
}

// submit submits the next step if it is due and its version is published.
func (tr *simTrainer) submit(re *replay) {
	when := tr.start.Add(time.Duration(tr.next) * tr.every)
	if re.now.Before(when) || uint64(tr.next) > tr.publishedVersion {
		return
	}
	st := &Step{
		Accepted: re.now, Due: tr.due, Groups: tr.target, ID: fmt.Sprintf("%s-%d", tr.model, tr.next),
		MinVersion: uint64(max(tr.next-1, 1)), Model: tr.model, Number: tr.next, Service: "service", MaxAttempts: 3, Customer: tr.customer,
	}
	carried := tr.carriedOver[:min(len(tr.carriedOver), tr.target/2)]
	tr.carriedOver = tr.carriedOver[len(carried):]
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
	re.table.Accept(st, StoredStep{}, false, re.now)
	tr.open = append(tr.open, &simStep{row: re.table.steps[st.ID], step: st, asked: re.now, carriedOver: first, reader: simReader{pollAt: re.now}})
	tr.asked += tr.target
	tr.next++
}

// poll reads each open step, and ends those that are complete or timed out.
func (tr *simTrainer) poll(re *replay) {
	for len(tr.publications) > 0 && !re.now.Before(tr.publications[0]) {
		tr.publications = tr.publications[1:]
		tr.publishedVersion++
		re.table.SetVersion(tr.model, tr.publishedVersion)
	}
	tr.open = slices.DeleteFunc(tr.open, func(ss *simStep) bool { return tr.finish(re, ss) })
}

func (tr *simTrainer) finish(re *replay, ss *simStep) bool {
	took := re.now.Sub(ss.asked)
	before := ss.read
	looks := ss.advance(re.now)
	if !looks && ss.read == before && took < 12*time.Second {
		return false
	}
	whole, first := ss.completeGroups(tr.size)
	if took+submitTime <= tr.due+700*time.Millisecond {
		ss.inTime = whole
	}
	if (!looks || whole < tr.target || first < len(ss.carriedOver)) && took < 12*time.Second {
		if looks {
			ss.startRead(re.now)
		}
		return false
	}
	tr.inTime += min(ss.inTime, tr.target)
	tr.took = append(tr.took, took)
	tr.tails = append(tr.tails, re.now.Sub(ss.row.lastDone()))
	tr.carryOver(ss)
	re.table.End(ss.step.ID)
	tr.train(re.now)
	return true
}

// train schedules the training on a step that has ended, after earlier ones.
func (tr *simTrainer) train(now time.Time) {
	begun := now
	if len(tr.publications) > 0 {
		begun = tr.publications[len(tr.publications)-1]
	}
	tr.publications = append(tr.publications, begun.Add(tr.trainingTime))
}

// completeGroups returns how many groups have been read completely, and how many of these had been
// requested before.
func (ss *simStep) completeGroups(size int) (whole, first int) {
	for name, count := range ss.readGroups() {
		if count == size {
			whole++
			if ss.carriedOver[name] {
				first++
			}
		}
	}
	return whole, first
}

// readGroups returns how many items of each group have been read.
func (ss *simStep) readGroups() map[string]int {
	groups := map[string]int{}
	for _, re := range ss.row.results[:ss.read] {
		groups[groupOf(re.Item)]++
	}
	return groups
}

func groupOf(item string) string { return item[:strings.LastIndex(item, "-")] }

// lastDone returns when the last listed item was completed.
func (sr *stepRow) lastDone() time.Time {
	var last time.Time
	for _, ir := range sr.items {
		if ir.listed && ir.doneAt.After(last) {
			last = ir.doneAt
		}
	}
	return last
}

// carryOver keeps incompletely read groups for later steps.
func (tr *simTrainer) carryOver(ss *simStep) {
	read := ss.readGroups()
	for _, it := range ss.step.Items {
		if read[it.Group] < tr.size && !slices.Contains(tr.carriedOver, it.Group) {
			tr.carriedOver = append(tr.carriedOver, it.Group)
		}
	}
	slices.Sort(tr.carriedOver)
}

// newTrainer returns a trainer that waits for 90 percent of its groups, rounded up.
func newTrainer(deployment simDeployment, model string, groups, size int, trainingTime time.Duration, seed uint64) *simTrainer {
	return &simTrainer{
		due: 7500 * time.Millisecond, every: 4 * time.Second, groups: groups, lengths: map[string]int{},
		trainingTime: trainingTime, model: model, publishedVersion: 1,
		names: map[string][]Item{}, rng: rand.New(rand.NewPCG(seed, 1)), deployment: deployment, size: size, target: (groups*9 + 9) / 10,
	}
}
