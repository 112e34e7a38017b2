package step

import (
	"slices"
	"time"

	"wisteriacroft/listing"
)

// maxChunks bounds the chunks of one write: each needs an expectation and a value in a transaction.
const maxChunks = 8

// DueChunks returns the results to be listed now, in chunks for one write.
//
// At the end of an outage, all steps may have megabytes of results to list. Those that complete what a trainer waits
// for (listing.Final) go first. Steps that merely exceed the size of an answer (listing.Full) wait for the next
// write.
func (ta *Table) DueChunks(now time.Time) []Chunk {
	reasons := map[*stepRow]listing.Reason{}
	finals := false
	for _, sr := range ta.openSteps {
		st := sr.listingState(now)
		st.EndsIn = ta.endsIn(sr, now)
		sr.ending = st.EndsIn < endingSoon && !sr.served
		reasons[sr] = listing.Decide(st, now)
		finals = finals || reasons[sr] == listing.Final
	}
	var chunks []Chunk
	for _, sr := range ta.openSteps {
		if why := reasons[sr]; why != listing.Wait && (why != listing.Full || !finals) {
			sr.listingReason, sr.writtenAt = why, now
			chunks = append(chunks, sr.pendingChunks(why, maxChunks-len(chunks))...)
		}
	}
	return chunks
}

// endingSoon is the expected time to the end of a step below which exchanges with the attendants of its last items
// follow at lastItemsPause.
const endingSoon = time.Second

// listingState returns the input of the decision whether to list a step's results.
func (sr *stepRow) listingState(now time.Time) listing.State {
	st := listing.State{
		Age: sr.age(now), Due: sr.step.Due, ListedAge: now.Sub(sr.listedAt), ReadAge: now.Sub(sr.readAt),
		Satisfied: sr.satisfied(), Served: sr.served, Target: sr.step.Groups,
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

// endsIn returns the expected time until all groups that a step's trainer waits for are complete.
func (ta *Table) endsIn(sr *stepRow, now time.Time) time.Duration {
	ta.updateSummaries()
	ta.paceRound++
	var repeated time.Duration // for groups that an earlier step requested too
	var others []time.Duration
	missing := min(sr.step.Groups, len(sr.groupList)) - len(sr.groupList)
	for _, gr := range sr.groupList {
		if gr.openItems == 0 {
			continue
		}
		missing++
		if took := ta.groupTime(gr, now); gr.recurring {
			repeated = max(repeated, took)
			missing--
		} else {
			others = append(others, took)
		}
	}
	if missing <= 0 || len(others) == 0 {
		return repeated
	}
	slices.Sort(others)
	return max(repeated, others[min(missing, len(others))-1])
}

// groupTime returns the expected time until all open items of a group end.
func (ta *Table) groupTime(gr *groupRow, now time.Time) time.Duration {
	gs := &gr.summary
	longest := gs.longest
	if gs.scoringCount > 0 {
		longest = max(longest, gr.step.rewards.expected())
	}
	for _, ir := range gs.running {
		longest = max(longest, ta.remainingTimeCached(ir, now))
	}
	return longest
}

// remainingTime returns how long an item is expected to take from now.
func (ta *Table) remainingTime(ir *itemRow, now time.Time) time.Duration {
	if ir.state == scoring {
		return ir.step.rewards.expected()
	}
	en := ir.run.engine
	if ir.state != running || en == nil || en.basePace == 0 {
		return ir.expectedTime()
	}
	return ir.remainingAt(ta.expectedPace(en, nil), now)
}

// remainingAt returns how long a run is expected to take from now if each event takes pace.
func (ir *itemRow) remainingAt(pace time.Duration, now time.Time) time.Duration {
	events := float64(ir.remainingTokens()) / float64(ir.step.estimator.eventTokens())
	return time.Duration(events*float64(pace)) - now.Sub(ir.run.eventAt)
}

// satisfied reports whether all groups that the trainer waits for are complete: as many as it requested, including
// all that an earlier step requested too.
func (sr *stepRow) satisfied() bool {
	completeGroups := 0
	for _, gr := range sr.groups {
		if gr.openItems == 0 {
			completeGroups++
		} else if gr.recurring {
			return false
		}
	}
	return completeGroups >= min(sr.step.Groups, len(sr.groups))
}

// maxJoinWait bounds how long an answer waits for results of its step that are being written. Without them, the
// trainer would need more reads, with a pause before each.
const maxJoinWait = 100 * time.Millisecond

// joinWait returns how long a read that has found results is to wait for those that are being written.
func (sr *stepRow) joinWait(now time.Time) time.Duration {
	if sr.writtenAt.IsZero() || sr.served {
		return 0
	}
	return max(0, maxJoinWait-now.Sub(sr.writtenAt))
}

// addRead registers a read that waits for results of the step, until release is called.
//
// A trainer that reads on after its target was listed waits for more: for groups of an earlier step, which a new
// scheduler has no record of. Clearing served ensures that their results are listed in time.
func (sr *stepRow) addRead(now time.Time, wait time.Duration) (release func(now time.Time)) {
	rd := &listing.Read{Begun: now, Wait: wait}
	sr.reads, sr.readAt, sr.served = append(sr.reads, rd), now, false
	return func(now time.Time) {
		sr.readAt = now
		sr.reads = slices.DeleteFunc(sr.reads, func(other *listing.Read) bool { return other == rd })
	}
}

// clearReads removes the waiting reads, as they are being answered. If they stayed until their goroutines run,
// another listing would be made for them at once, and the trainer's next read would return only that.
func (sr *stepRow) clearReads(now time.Time) {
	if len(sr.reads) > 0 {
		sr.reads, sr.readAt = nil, now
	}
}

// pendingChunks returns a step's unlisted results, in up to limit chunks. Results of complete groups come first. For
// listing.Final they come alone, to make the trainer's last answer smaller.
func (sr *stepRow) pendingChunks(why listing.Reason, limit int) []Chunk {
	var first, rest []*itemRow
	for _, ir := range sr.items {
		switch {
		case ir.listed || ir.open():
		case sr.groups[ir.item.Group].openItems == 0:
			first = append(first, ir)
		default:
			rest = append(rest, ir)
		}
	}
	if why != listing.Final {
		first = append(first, rest...)
	}
	var chunks []Chunk
	for len(first) > 0 && len(chunks) < limit {
		count := countFitting(first)
		ch := Chunk{Number: sr.chunks + len(chunks), Step: sr.step.ID}
		for _, ir := range first[:count] {
			ch.Results = append(ch.Results, ir.result())
		}
		chunks = append(chunks, ch)
		first = first[count:]
	}
	return chunks
}

// countFitting returns how many of the items fit into one value, at least one.
func countFitting(irs []*itemRow) int {
	size := 0
	for i, ir := range irs {
		if size += ir.size; size > partSize && i > 0 {
			return i
		}
	}
	return len(irs)
}

// measureText sets the size of an item's text.
func (ir *itemRow) measureText() {
	ir.size = 0
	for _, ev := range ir.events {
		ir.size += len(ev.Data) + 1
	}
}

// result returns an item's result as it is listed.
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

// ChunksListed records that chunks are stored, and wakes their readers.
func (ta *Table) ChunksListed(chunks []Chunk, now time.Time) {
	for _, ch := range chunks {
		if sr, ok := ta.steps[ch.Step]; ok {
			ta.chunkListed(sr, ch, now)
		}
	}
}

func (ta *Table) chunkListed(sr *stepRow, ch Chunk, now time.Time) {
	sr.results = append(sr.results, ch.Results...)
	sr.chunks = ch.Number + 1
	sr.chunkSizes = append(sr.chunkSizes, len(ch.Results))
	sr.listedAt, sr.writtenAt = now, time.Time{}
	sr.served = sr.served || sr.listingReason == listing.Final
	itemIDs := map[string]bool{}
	for _, re := range ch.Results {
		itemIDs[re.Item] = true
	}
	all, reads := true, len(sr.reads)
	for _, ir := range sr.items {
		if itemIDs[ir.item.ID] {
			ir.listed = true
			ta.forgetRun(ir)
		}
		if ir.listed && sr.groups[ir.item.Group].openItems == 0 {
			ir.events = nil // the results hold the text
		}
		all = all && ir.listed
	}
	sr.idle = sr.idle || all
	sr.clearReads(now)
	sr.notifyReaders()
	ta.log("results listed", map[string]any{
		"chunk": ch.Number, "listed": sr.listedCount(), "reads": reads, stepField: ch.Step, "total": sr.step.Total(),
		whyField: string(sr.listingReason),
	})
}
