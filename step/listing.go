package step

import (
	"slices"
	"time"

	"wisteriacroft/listing"
)

// maxChunks bounds the chunks of one write: each takes an expectation and a value
// of a transaction, which has 32 at most.
const maxChunks = 8

// Due returns the results that are to be listed now, in chunks of one write.
//
// Load pattern: at the end of an outage all steps have megabytes of results to list. Those
// with which a trainer has all that it waits for (listing.Final) are written first. Steps
// whose results are only more than an answer holds (listing.Full) wait for the next write.
func (ta *Table) Due(now time.Time) []Chunk {
	whys := map[*stepRow]listing.Reason{}
	finals := false
	for _, sr := range ta.openSteps {
		st := sr.listState(now)
		st.EndsIn = ta.endsIn(sr, now)
		sr.ending = st.EndsIn < endingTime && !sr.served
		whys[sr] = listing.Decide(st, now)
		finals = finals || whys[sr] == listing.Final
	}
	var chunks []Chunk
	for _, sr := range ta.openSteps {
		if why := whys[sr]; why != listing.Wait && (why != listing.Full || !finals) {
			sr.listingReason, sr.writtenAt = why, now
			chunks = append(chunks, sr.pending(why, maxChunks-len(chunks))...)
		}
	}
	return chunks
}

// endingTime is how long before its expected end a step's last items are watched
// closely: what the expected length of an item is off by in its last seconds.
const endingTime = time.Second

// listState returns what decides whether a step's results are listed.
func (sr *stepRow) listState(now time.Time) listing.State {
	st := listing.State{
		Age: sr.age(now), Due: sr.step.Due, ListedAge: now.Sub(sr.listedAt), ReadAge: now.Sub(sr.readAt),
		Satisfied: sr.sated(), Served: sr.served, Target: sr.step.Groups,
	}
	for _, rd := range sr.reads {
		st.Reads = append(st.Reads, *rd)
	}
	groups := map[*groupRow]bool{}
	for _, ir := range sr.items {
		if ir.listed || ir.open() {
			continue
		}
		st.Results++
		st.Size += ir.size
		st.PendingAge = max(st.PendingAge, now.Sub(ir.doneAt))
		if gr := sr.groups[ir.item.Group]; gr.openItems == 0 {
			groups[gr] = true
		}
	}
	st.Groups = len(groups)
	return st
}

// endsIn returns when the groups that a step's trainer waits for are expected to
// be whole.
func (ta *Table) endsIn(sr *stepRow, now time.Time) time.Duration {
	ta.updateSummaries()
	ta.paceRound++
	var must time.Duration // for groups that were asked for before
	var others []time.Duration
	missing := min(sr.step.Groups, len(sr.groupList)) - len(sr.groupList)
	for _, gr := range sr.groupList {
		if gr.openItems == 0 {
			continue
		}
		missing++
		if took := ta.longest(gr, now); gr.recurring {
			must = max(must, took)
			missing--
		} else {
			others = append(others, took)
		}
	}
	if missing <= 0 || len(others) == 0 {
		return must
	}
	slices.Sort(others)
	return max(must, others[min(missing, len(others))-1])
}

// longest returns how long the longest of a group's open items is expected to take still.
func (ta *Table) longest(gr *groupRow, now time.Time) time.Duration {
	gw := &gr.summary
	longest := gw.longest
	if gw.scoringCount > 0 {
		longest = max(longest, gr.step.rewards.usual())
	}
	for _, ir := range gw.running {
		longest = max(longest, ta.remainingTimeCached(ir, now))
	}
	return longest
}

// runsFor returns how long an item is expected to take still.
func (ta *Table) runsFor(ir *itemRow, now time.Time) time.Duration {
	if ir.state == scoring {
		return ir.step.rewards.usual()
	}
	en := ir.run.engine
	if ir.state != running || en == nil || en.basePace == 0 {
		return ir.expectedTime()
	}
	return ir.runsAt(ta.expectedPace(en, nil), now)
}

// runsAt returns how long a run is expected to take still at a pace.
func (ir *itemRow) runsAt(pace time.Duration, now time.Time) time.Duration {
	events := float64(ir.remainingTokens()) / float64(ir.step.estimator.eventTokens())
	return time.Duration(events*float64(pace)) - now.Sub(ir.run.eventAt)
}

// sated reports whether the groups that the trainer waits for are whole: as many
// as it asked for, and all that it asked for before.
func (sr *stepRow) sated() bool {
	whole := 0
	for _, gr := range sr.groups {
		if gr.openItems == 0 {
			whole++
		} else if gr.recurring {
			return false
		}
	}
	return whole >= min(sr.step.Groups, len(sr.groups))
}

// joinTime bounds how long an answer waits for results of its step that are being
// written. Without them the trainer would need more reads, with a pause before each.
const joinTime = 100 * time.Millisecond

// joins returns for how long a read that finds results is to wait for those that
// are being written.
func (sr *stepRow) joins(now time.Time) time.Duration {
	if sr.writtenAt.IsZero() || sr.served {
		return 0
	}
	return max(0, joinTime-now.Sub(sr.writtenAt))
}

// hold notes that a read waits for results of the step, until released.
//
// A trainer that reads on, though it was listed all that it was thought to wait for,
// waits for more: for groups that it asked for before, of which a scheduler that is
// new does not know. Otherwise what it lacks would be listed too late for it.
func (sr *stepRow) hold(now time.Time, wait time.Duration) (release func(now time.Time)) {
	rd := &listing.Read{Begun: now, Wait: wait}
	sr.reads, sr.readAt, sr.served = append(sr.reads, rd), now, false
	return func(now time.Time) {
		sr.readAt = now
		sr.reads = slices.DeleteFunc(sr.reads, func(other *listing.Read) bool { return other == rd })
	}
}

// answerReads takes in that the reads that wait are answered. Taken for reads that
// still wait, they had another listing made for them at once, which the trainer's
// next read then found alone.
func (sr *stepRow) answerReads(now time.Time) {
	if len(sr.reads) > 0 {
		sr.reads, sr.readAt = nil, now
	}
}

// pending returns a step's results that are not listed yet, in chunks. Those of
// whole groups come first; when the trainer waits for no more they come alone, as
// its last answer then has less to carry.
func (sr *stepRow) pending(why listing.Reason, limit int) []Chunk {
	var whole, rest []*itemRow
	for _, ir := range sr.items {
		switch {
		case ir.listed || ir.open():
		case sr.groups[ir.item.Group].openItems == 0:
			whole = append(whole, ir)
		default:
			rest = append(rest, ir)
		}
	}
	if why != listing.Final {
		whole = append(whole, rest...)
	}
	var chunks []Chunk
	for len(whole) > 0 && len(chunks) < limit {
		count := fill(whole)
		ch := Chunk{Number: sr.chunks + len(chunks), Step: sr.step.ID}
		for _, ir := range whole[:count] {
			ch.Results = append(ch.Results, ir.result())
		}
		chunks = append(chunks, ch)
		whole = whole[count:]
	}
	return chunks
}

// fill returns how many of some items one value holds, and one at least.
func fill(irs []*itemRow) int {
	size := 0
	for i, ir := range irs {
		if size += ir.size; size > partSize && i > 0 {
			return i
		}
	}
	return len(irs)
}

// measure notes how much text an item has.
func (ir *itemRow) measure() {
	ir.size = 0
	for _, ev := range ir.events {
		ir.size += len(ev.Data) + 1
	}
}

// result returns what is listed of an item.
func (ir *itemRow) result() Result {
	re := Result{Item: ir.item.ID, Lost: ir.state == lost}
	if re.Lost {
		return re
	}
	re.Score = ir.reward.score
	re.Text = make([]byte, 0, ir.size)
	for i, ev := range ir.events {
		if i > 0 {
			re.Text = append(re.Text, '\n')
		}
		re.Text = append(re.Text, ev.Data...)
		if !slices.Contains(re.Versions, ev.Version) {
			re.Versions = append(re.Versions, ev.Version)
		}
	}
	return re
}

// Listed takes in that chunks are listed.
func (ta *Table) Listed(chunks []Chunk, now time.Time) {
	for _, ch := range chunks {
		if sr, ok := ta.steps[ch.Step]; ok {
			ta.listed(sr, ch, now)
		}
	}
}

func (ta *Table) listed(sr *stepRow, ch Chunk, now time.Time) {
	sr.results = append(sr.results, ch.Results...)
	sr.chunks = ch.Number + 1
	sr.chunkSizes = append(sr.chunkSizes, len(ch.Results))
	sr.listedAt, sr.writtenAt = now, time.Time{}
	sr.served = sr.served || sr.listingReason == listing.Final
	positions := map[string]bool{}
	for _, re := range ch.Results {
		positions[re.Item] = true
	}
	all, reads := true, len(sr.reads)
	for _, ir := range sr.items {
		if positions[ir.item.ID] {
			ir.listed = true
			ta.forgetRun(ir)
		}
		if ir.listed && sr.groups[ir.item.Group].openItems == 0 {
			ir.events = nil // the text stands in the results
		}
		all = all && ir.listed
	}
	sr.idle = sr.idle || all
	sr.answerReads(now)
	sr.notifyReaders()
	ta.log("results listed", map[string]any{
		"chunk": ch.Number, "listed": sr.listedCount(), "reads": reads, stepField: ch.Step, "total": sr.step.Total(),
		whyField: string(sr.listingReason),
	})
}
