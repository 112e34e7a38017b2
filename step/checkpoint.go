package step

import (
	"cmp"
	"slices"
	"time"

	"wisteriacroft/runner"
)

// Bounds of checkpoints.
const (
	// checkpointEvery is how often the text of runs that are under way is kept.
	// Each costs a call; what runs make after it is lost if all instances are.
	checkpointEvery = 500 * time.Millisecond
	// checkpointEvents is how many events a run must have before its text is kept
	// for the first time: most items end soon after so many, and to run these
	// again costs little.
	checkpointEvents = 20
	// checkpointMore is how many new events it must have from then on: fewer than a run
	// of the usual pace makes between two checkpoints, so that it is in each of them.
	checkpointMore = 6
	// maxDeletes bounds the keys that one write removes.
	maxDeletes = 8
)

// A Partial is text that a run has made of an item that is not whole.
type Partial struct {
	Events []runner.Event
	First  int // position of the first of Events in the item's text
	Item   string
}

// A Checkpoint is the text of a step's runs since its last one.
type Checkpoint struct {
	Number   int
	Partials []Partial
	Step     string
}

// Checkpoints returns the text that is to be kept now.
//
// All instances may lose power at the same moment. The text of runs is then in
// no memory any more; begun again, a long item makes its step miss the time for
// which its trainer waits.
//
// A new scheduler makes none until checkpointEvery after it began to place: its first writes
// list the results that were left without a scheduler, which would otherwise wait for the
// text of all runs to be written.
func (ta *Table) Checkpoints(now time.Time) []Checkpoint {
	if now.Sub(ta.savedAt) < checkpointEvery {
		return nil
	}
	ta.savedAt = now
	var cps []Checkpoint
	for _, sr := range ta.openSteps {
		if cp := sr.checkpoint(); len(cp.Partials) > 0 && len(cps) < maxChunks {
			cps = append(cps, cp)
		}
	}
	return cps
}

// checkpoint returns what a step's runs have made since its last checkpoint, as
// far as one value holds it. Those with the most to lose go first: in the order
// of the step, the last ones would never have their turn.
func (sr *stepRow) checkpoint() Checkpoint {
	var irs []*itemRow
	for _, ir := range sr.items {
		if ir.open() && ir.unsaved() >= ir.worthKeeping() {
			irs = append(irs, ir)
		}
	}
	slices.SortStableFunc(irs, func(a, b *itemRow) int { return cmp.Compare(b.unsaved(), a.unsaved()) })
	cp := Checkpoint{Number: sr.checkpoints, Step: sr.step.ID}
	size := 0
	for _, ir := range irs {
		pa := Partial{Events: ir.events[ir.savedEvents:], First: ir.savedEvents, Item: ir.item.ID}
		for _, ev := range pa.Events {
			size += len(ev.Data)
		}
		if size > partSize && len(cp.Partials) > 0 {
			break
		}
		cp.Partials = append(cp.Partials, pa)
	}
	return cp
}

// worthKeeping returns how many new events an item must have to be in a checkpoint.
func (ir *itemRow) worthKeeping() int {
	if ir.savedEvents == 0 {
		return checkpointEvents
	}
	return checkpointMore
}

// unsaved returns how many of an item's events are in no checkpoint.
func (ir *itemRow) unsaved() int { return len(ir.events) - ir.savedEvents }

// CheckpointsSaved takes in that checkpoints are kept.
func (ta *Table) CheckpointsSaved(cps []Checkpoint) {
	for _, cp := range cps {
		sr, ok := ta.steps[cp.Step]
		if !ok {
			continue
		}
		sr.checkpoints = max(sr.checkpoints, cp.Number+1)
		if sr.ended {
			ta.garbageKeys = append(ta.garbageKeys, checkpointKey(cp.Step, cp.Number))
			continue
		}
		saved := map[string]int{}
		for _, pa := range cp.Partials {
			saved[pa.Item] = pa.First + len(pa.Events)
		}
		for _, ir := range sr.items {
			if count, ok := saved[ir.item.ID]; ok {
				ir.savedEvents = min(count, len(ir.events))
			}
		}
	}
}

// restore gives items the text that an earlier scheduler kept.
func (sr *stepRow) restore(cps []Checkpoint) {
	rows := map[string]*itemRow{}
	for _, ir := range sr.items {
		rows[ir.item.ID] = ir
	}
	for _, cp := range cps {
		sr.checkpoints = max(sr.checkpoints, cp.Number+1)
		for _, pa := range cp.Partials {
			ir := rows[pa.Item]
			if ir == nil || ir.state != waiting || pa.First > len(ir.events) {
				continue
			}
			ir.events = append(ir.events[:pa.First:pa.First], pa.Events...)
			ir.savedEvents = len(ir.events)
		}
	}
	for _, ir := range sr.items {
		if ir.state == waiting && !sr.step.allows(ir.events) {
			ir.events, ir.savedEvents = nil, 0
		}
	}
}

// Garbage returns keys that are no longer needed, to be removed with the next
// write.
func (ta *Table) Garbage() []string { return ta.garbageKeys[:min(len(ta.garbageKeys), maxDeletes)] }

// Removed takes in that keys are removed.
func (ta *Table) Removed(count int) { ta.garbageKeys = ta.garbageKeys[count:] }
