package step

import (
	"cmp"
	"slices"
	"time"

	"wisteriacroft/runner"
)

// Limits of checkpoints.
const (
	// checkpointInterval is the time between checkpoints of unfinished runs. Text that is newer than the last
	// checkpoint is lost if all instances fail.
	checkpointInterval = 500 * time.Millisecond
	// minFirstEvents is the number of events that a run must have for its first checkpoint. Most items end soon
	// after, and running those again is cheap.
	minFirstEvents = 20
	// minNewEvents is the number of new events that a run must have for each further checkpoint. It is less than a
	// run of usual speed generates in checkpointInterval, so that no checkpoint skips it.
	minNewEvents = 6
	// maxDeletes bounds the keys that one write deletes.
	maxDeletes = 8
)

// A Partial is text of an unfinished item.
type Partial struct {
	Events []runner.Event
	First  int // position of the first of Events in the item's text
	Item   string
}

// A Checkpoint holds the text that a step's runs have generated since the previous checkpoint.
type Checkpoint struct {
	Number   int
	Partials []Partial
	Step     string
}

// Checkpoints returns the checkpoints to be written now.
//
// If all instances lose power, the text of unfinished runs is in no memory. Without checkpoints, long items would
// start again and make their steps late.
//
// The first checkpoints of a new scheduler are made checkpointInterval after it starts to place items: its first
// writes list results that its predecessor left unlisted, and must not wait for the text of all runs.
func (ta *Table) Checkpoints(now time.Time) []Checkpoint {
	if now.Sub(ta.savedAt) < checkpointInterval {
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

// checkpoint returns the text that a step's runs have generated since its last checkpoint, up to the size of one
// value. Items with the most unsaved text come first. In the order of the step, the last items might never be
// included.
func (sr *stepRow) checkpoint() Checkpoint {
	var irs []*itemRow
	for _, ir := range sr.items {
		if ir.open() && ir.unsaved() >= ir.minUnsaved() {
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

// minUnsaved returns how many unsaved events an item must have to be included in a checkpoint.
func (ir *itemRow) minUnsaved() int {
	if ir.savedEvents == 0 {
		return minFirstEvents
	}
	return minNewEvents
}

// unsaved returns how many of an item's events are in no checkpoint.
func (ir *itemRow) unsaved() int { return len(ir.events) - ir.savedEvents }

// CheckpointsSaved records that checkpoints have been written.
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

// restore sets the text of waiting items from the checkpoints of an earlier scheduler.
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

// ObsoleteKeys returns keys to be deleted with the next write.
func (ta *Table) ObsoleteKeys() []string {
	return ta.garbageKeys[:min(len(ta.garbageKeys), maxDeletes)]
}

// KeysDeleted records that the first count obsolete keys have been deleted.
func (ta *Table) KeysDeleted(count int) { ta.garbageKeys = ta.garbageKeys[count:] }
