package step

// A memoryMemo keeps what memory returns until an event of the engine or of its runs
// changes it, as placing asks for it again for each item and engine.
type memoryMemo struct {
	coming, comingEnd int     // tokens of runs that move here
	endsSoon          bool    // one of its runs is about to end
	gauges            int     // changes of gauges when it was made
	now, end          int     // tokens of its runs
	rate              float64 // ends of runs a second
	valid             bool
}

// holds returns how many tokens an item holds now, and is expected to hold at
// its end.
func (ir *itemRow) holds() (now, end int) {
	now = ir.holdsNow()
	return now, now + ir.remainingTokens()
}

// holdsNow returns how many tokens an item holds now.
func (ir *itemRow) holdsNow() int {
	return ir.item.Prompt + len(ir.events)*ir.step.estimator.eventTokens()
}

// memory returns how many tokens an engine holds now, and would hold if all of
// its runs came to their expected ends. Runs that move here count, or several
// would come at once and leave again for want of memory.
func (en *engineRow) memory() (now, end int) {
	en.refreshMemo()
	return max(en.memo.now, en.report.Tokens) + en.memo.coming, en.memo.end + en.memo.comingEnd
}

// refreshMemo makes the memo anew from the engine's runs, unless it is still valid.
func (en *engineRow) refreshMemo() {
	changes := en.estimateChanges.count()
	if en.memo.valid && en.memo.gauges == changes {
		return
	}
	me := memoryMemo{gauges: changes, valid: true}
	for _, ir := range en.items {
		me.add(ir, 1)
	}
	for ir := range en.incoming {
		now, end := ir.holds()
		me.coming, me.comingEnd = me.coming+now, me.comingEnd+end
	}
	en.memo = me
}

// add counts a run so many times: 1, or -1 to take it out before it changes.
func (me *memoryMemo) add(ir *itemRow, times int) {
	now, end := ir.holds()
	me.now, me.end = me.now+times*now, me.end+times*end
	me.rate += float64(times) * ir.endRate()
	me.endsSoon = expectedEnd(me.rate) <= aheadTime
}

// recount adds one of the engine's runs to the memo so many times, if the memo is valid.
func (en *engineRow) recount(ir *itemRow, times int) {
	if en.memo.valid && en.memo.gauges == en.estimateChanges.count() {
		en.memo.add(ir, times)
	}
}

// dropMemo notes that what the engine holds may have changed.
func (en *engineRow) dropMemo() { en.memo.valid = false }

// dropTargetMemo notes that what an item holds has changed, for the engine that keeps a place
// for it.
func (ta *Table) dropTargetMemo(ir *itemRow) {
	if ir.moveTarget != "" {
		if en, ok := ta.engines[ir.moveTarget]; ok {
			en.dropMemo()
		}
	}
}
