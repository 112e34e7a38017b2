package step

// A memoryMemo caches the memory use of an engine until the engine or its runs change, since placement needs it for
// each item and engine.
type memoryMemo struct {
	coming, comingEnd int     // tokens of items that move here
	endsSoon          bool    // a run is expected to end soon
	changes           int     // value of estimateChanges at the time of the computation
	now, end          int     // tokens of the engine's runs
	rate              float64 // expected ends of runs per second
	valid             bool
}

// tokenUse returns how many tokens an item holds now, and is expected to hold at its end.
func (ir *itemRow) tokenUse() (now, end int) {
	now = ir.tokensNow()
	return now, now + ir.remainingTokens()
}

// tokensNow returns how many tokens an item holds now.
func (ir *itemRow) tokensNow() int {
	return ir.item.Prompt + len(ir.events)*ir.step.estimator.eventTokens()
}

// memoryUse returns how many tokens an engine holds now, and would hold if all of its runs reached their expected
// ends. It includes items that move here; otherwise several could arrive at once and be evicted again for lack of
// memory.
func (en *engineRow) memoryUse() (now, end int) {
	en.refreshMemo()
	return max(en.memo.now, en.report.Tokens) + en.memo.coming, en.memo.end + en.memo.comingEnd
}

// refreshMemo recomputes the memo unless it is valid.
func (en *engineRow) refreshMemo() {
	changes := en.estimateChanges.count()
	if en.memo.valid && en.memo.changes == changes {
		return
	}
	me := memoryMemo{changes: changes, valid: true}
	for _, ir := range en.items {
		me.add(ir, 1)
	}
	for ir := range en.incoming {
		now, end := ir.tokenUse()
		me.coming, me.comingEnd = me.coming+now, me.comingEnd+end
	}
	en.memo = me
}

// add adds a run to the sums if sign is 1. If sign is -1, it subtracts the run, before the run changes.
func (me *memoryMemo) add(ir *itemRow, sign int) {
	now, end := ir.tokenUse()
	me.now, me.end = me.now+sign*now, me.end+sign*end
	me.rate += float64(sign) * ir.endRate()
	me.endsSoon = expectedEnd(me.rate) <= prequeueTime
}

// adjustMemo adds or subtracts one of the engine's runs, see memoryMemo.add, if the memo is valid.
func (en *engineRow) adjustMemo(ir *itemRow, sign int) {
	if en.memo.valid && en.memo.changes == en.estimateChanges.count() {
		en.memo.add(ir, sign)
	}
}

// invalidateMemo invalidates the memo of the engine's memory use.
func (en *engineRow) invalidateMemo() { en.memo.valid = false }

// invalidateTargetMemo invalidates the memo of the engine that an item moves to, as the item's tokens have changed.
func (ta *Table) invalidateTargetMemo(ir *itemRow) {
	if ir.moveTarget != "" {
		if en, ok := ta.engines[ir.moveTarget]; ok {
			en.invalidateMemo()
		}
	}
}
